#ifndef BURDOCKPULLEY_KEY_OWNERS_H
#define BURDOCKPULLEY_KEY_OWNERS_H

#include "burdockpulley/key_table.h"

#include <map>
#include <vector>

namespace burdockpulley {

/// Orders the changes that a coordinator has carried out since it wrote a
/// version of the table.
struct CoordinatorStep {
  /// Epoch of the coordinator; zero when the table was read from the store.
  std::int64_t m_epoch = 0;
  std::uint32_t m_step = 0; ///< Grows with each change of the owners.
};

/// Consecutive keys with one owner, or with none.
struct OwnedSpan {
  std::uint32_t m_first = 0;
  std::uint32_t m_last = 0; ///< Inclusive.
  UpstreamId m_owner;       ///< Empty when the keys have no owner.

  friend bool operator==(const OwnedSpan &, const OwnedSpan &) = default;
};

/// Consecutive keys.
struct KeySpan {
  std::uint32_t m_first = 0;
  std::uint32_t m_last = 0; ///< Inclusive.
};

/// The keys whose owner differs between two tables, in order.
/// Thread safety: safe.
std::vector<KeySpan> changedKeys(const KeyTable &Before, const KeyTable &After);

/// The keys that are in either of two ordered lists, in order. Thread safety:
/// safe.
std::vector<KeySpan> unite(const std::vector<KeySpan> &Left,
                           const std::vector<KeySpan> &Right);

/// The owners of the keys of an ordered list. Thread safety: safe.
std::vector<OwnedSpan> ownersOf(const KeyTable &Table,
                                const std::vector<KeySpan> &Keys);

/// Changed owners of the keys of one service. Holds all keys whose owner has
/// changed since a base, also those that have changed back.
struct OwnerDelta {
  ServiceId m_service;
  /// Version and step of the base from which the changes are counted.
  std::uint64_t m_baseVersion = 0;
  std::uint32_t m_baseStep = 0;
  /// Version and step after the changes.
  std::uint64_t m_version = 0;
  CoordinatorStep m_step;
  std::vector<OwnedSpan> m_spans; ///< In order.
};

/// The owner of each key as far as this host knows. For each service, the
/// newest table is kept, whether it came from the store or from the
/// coordinator.
/// Thread safety: none.
class KeyOwners {
public:
  /// Result of applying a delta.
  enum class ApplyResult {
    Stale,   ///< Its version and step are not newer than the known ones.
    Applied, ///< It was newer.
    Gap,     ///< Changes before its base are missing; it was not applied.
  };

  /// Replaces the table of a service. Returns false, and keeps the known table,
  /// when \p Table is not newer.
  bool apply(const KeyTable &Table, CoordinatorStep Step);

  /// Applies a delta. As it holds all keys that have changed since its base, it
  /// can be applied to the base and to each later state of the same
  /// coordinator.
  ApplyResult apply(const OwnerDelta &Delta);

  /// The owner of a key; empty when the key has none or it is not known.
  UpstreamId owner(const ServiceId &Service, ShardKey Key) const;

  bool knows(const ServiceId &Service) const {
    return m_tables.count(Service) != 0;
  }

  struct Snapshot {
    KeyTable m_table;
    CoordinatorStep m_step;
  };
  const std::map<ServiceId, Snapshot> &all() const { return m_tables; }

private:
  std::map<ServiceId, Snapshot> m_tables;
};

} // namespace burdockpulley

#endif
