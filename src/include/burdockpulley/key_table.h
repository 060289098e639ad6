#ifndef BURDOCKPULLEY_KEY_TABLE_H
#define BURDOCKPULLEY_KEY_TABLE_H

#include "burdockpulley/store.h"
#include "burdockpulley/upstream_registry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockpulley {

/// A key of a service that is divided by key.
using ShardKey = Strong<struct ShardKeyTag, std::uint32_t>;

/// Number of keys of each such service.
constexpr std::uint32_t ShardKeyCount = 65536;

/// Owner of keys in a stored table if any upstream may still hold them under
/// an unknown grant. No upstream is registered under this name, so hosts of
/// earlier versions treat it as an owner that does not respond: its keys stay
/// with it until the longest grant has expired.
constexpr const char *UnknownOwner = "/unknown";

/// Consecutive keys with one owner.
struct KeyRange {
  std::uint32_t m_first = 0;
  std::uint32_t m_last = 0; ///< Inclusive.
  UpstreamId m_owner;       ///< Empty when no upstream may hold the keys.
  /// Incarnation of the owner to which the keys were assigned.
  UpstreamIncarnation m_incarnation;
  FencingToken m_token;
  std::string m_handover; ///< What the last owner returned at its release.

  std::uint32_t keys() const { return m_last - m_first + 1; }
};

/// The owners of the keys of one service. The table is kept in the store, and
/// each change is written by a conditional write before any grant that it
/// allows is sent.
struct KeyTable {
  ServiceId m_service;
  std::uint64_t m_version = 0; ///< Grows with each write.
  FencingToken m_lastToken;    ///< Highest token ever issued.
  /// Era of the store in which the table was written; zero if it is not known.
  StoreEra m_era;
  std::vector<KeyRange> m_ranges; ///< In order; together they hold all keys.

  /// The range of a key; null when the table is empty.
  const KeyRange *find(ShardKey Key) const;
};

/// Encodes a table as it is kept in the store. Thread safety: safe.
std::string encodeKeyTable(const KeyTable &Table);

/// Decodes a stored table. Empty when \p Bytes cannot be decoded or do not
/// cover each key exactly once. Thread safety: safe.
std::optional<KeyTable> decodeKeyTable(const std::string &Bytes);

/// Merges neighbouring ranges that differ in nothing but their keys.
/// Thread safety: safe.
void mergeRanges(std::vector<KeyRange> &Ranges);

} // namespace burdockpulley

#endif
