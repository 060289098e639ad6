#ifndef BURDOCKPULLEY_KEY_TABLE_H
#define BURDOCKPULLEY_KEY_TABLE_H

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

/// Consecutive keys with one owner.
struct KeyRange {
  std::uint32_t m_first = 0;
  std::uint32_t m_last = 0; ///< Belongs to the range.
  UpstreamId m_owner;       ///< Empty when nobody may hold it.
  /// Start of the owner that it was given to.
  UpstreamIncarnation m_incarnation;
  FencingToken m_token;
  std::string m_handover; ///< What the last holder gave at its release.

  std::uint32_t keys() const { return m_last - m_first + 1; }
};

/// Who owns the keys of one service. It stands in the store, written under a
/// condition before any grant that it allows is sent.
struct KeyTable {
  ServiceId m_service;
  std::uint64_t m_version = 0;    ///< Grows with each write.
  FencingToken m_lastToken;       ///< Highest that was ever given out.
  std::vector<KeyRange> m_ranges; ///< In order; together they hold all keys.

  /// The range of a key; null when the table is empty.
  const KeyRange *find(ShardKey Key) const;
};

/// Writes a table as it stands in the store. Thread safety: safe.
std::string encodeKeyTable(const KeyTable &Table);

/// Reads a table. Nothing when it can not be read or does not hold each key
/// exactly once. Thread safety: safe.
std::optional<KeyTable> decodeKeyTable(const std::string &Bytes);

/// Joins neighbouring ranges that agree in everything but their keys.
/// Thread safety: safe.
void mergeRanges(std::vector<KeyRange> &Ranges);

} // namespace burdockpulley

#endif
