#ifndef BURDOCKPULLEY_KEY_OWNERS_H
#define BURDOCKPULLEY_KEY_OWNERS_H

#include "burdockpulley/key_table.h"

#include <map>
#include <vector>

namespace burdockpulley {

/// Tells apart what a coordinator has carried out since it wrote a table.
struct CoordinatorStep {
  std::int64_t m_epoch = 0; ///< The coordinator's; zero: read in the store.
  std::uint32_t m_step = 0; ///< Grows with all that it carries out.
};

/// Consecutive keys with one owner, or with none.
struct OwnedSpan {
  std::uint32_t m_first = 0;
  std::uint32_t m_last = 0; ///< Belongs to the span.
  UpstreamId m_owner;

  friend bool operator==(const OwnedSpan &, const OwnedSpan &) = default;
};

/// Consecutive keys.
struct KeySpan {
  std::uint32_t m_first = 0;
  std::uint32_t m_last = 0; ///< Belongs to the span.
};

/// The keys whose owner differs between two tables, in order.
/// Thread safety: safe.
std::vector<KeySpan> changedKeys(const KeyTable &Before, const KeyTable &After);

/// The keys of either of two ordered lists, in order. Thread safety: safe.
std::vector<KeySpan> unite(const std::vector<KeySpan> &Left,
                           const std::vector<KeySpan> &Right);

/// Who owns the keys of an ordered list. Thread safety: safe.
std::vector<OwnedSpan> ownersOf(const KeyTable &Table,
                                const std::vector<KeySpan> &Keys);

/// Changes of who owns the keys of one service: all keys that have changed
/// since a base, also those that have changed back.
struct OwnerDelta {
  ServiceId m_service;
  std::uint64_t m_baseVersion = 0; ///< Of the table that they follow on.
  std::uint32_t m_baseStep = 0;
  std::uint64_t m_version = 0;
  CoordinatorStep m_step;
  std::vector<OwnedSpan> m_spans; ///< In order.
};

/// What this host believes of who owns which key. The newest table of each
/// service holds, whether it came from the store or from the coordinator.
/// Thread safety: none.
class KeyOwners {
public:
  /// How changes fit to what is known.
  enum class ApplyResult {
    Stale,   ///< All of it was known.
    Applied, ///< It was new.
    Gap,     ///< Something between is missing; nothing was applied.
  };

  /// Takes a table that is newer. False when it is not.
  bool apply(const KeyTable &Table, CoordinatorStep Step);

  /// Takes changes. They hold all that differs since their base, so they may
  /// follow on any state from there on.
  ApplyResult apply(const OwnerDelta &Changes);

  /// The owner of a key; empty when it has none or is not known.
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
