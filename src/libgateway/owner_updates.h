#ifndef BURDOCKPULLEY_LIBGATEWAY_OWNER_UPDATES_H
#define BURDOCKPULLEY_LIBGATEWAY_OWNER_UPDATES_H

#include "burdockpulley/key_owners.h"
#include "gateway_types.h"

#include <optional>

namespace burdockpulley {

/// Builds the updates with which the coordinator publishes the owners of keys.
/// Each update holds all changes of the last one to two seconds, so that the
/// next update makes up for a lost one. A host that has missed more requests
/// the owners of all keys.
/// Thread safety: none.
class OwnerDeltaBuilder {
public:
  /// The changes of a service to be published now by the coordinator with
  /// \p Epoch; empty when \p Current does not come from that coordinator. A
  /// delta without spans is to be published too: its version and step let
  /// hosts detect that they have missed changes.
  std::optional<OwnerDelta> buildDelta(const KeyOwners::Snapshot &Current,
                                       std::int64_t Epoch, Instant Now);

private:
  /// What was published of one service. The base of its deltas is replaced by
  /// the next base once that is RepeatInterval old.
  struct PublishedState {
    std::uint64_t m_baseVersion = 0;
    CoordinatorStep m_baseStep;
    /// Keys changed between the base and the next base.
    std::vector<KeySpan> m_changedUntilNextBase;
    std::uint64_t m_nextBaseVersion = 0;
    CoordinatorStep m_nextBaseStep;
    std::vector<KeySpan> m_changedSinceNextBase;
    Instant m_nextBaseAt; ///< When the next base was published.
    KeyTable m_lastTable; ///< The table that was published last.
  };

  std::map<ServiceId, PublishedState> m_published;
};

/// Converts a delta to its wire format. Thread safety: safe.
wire::OwnersUpdate toWire(const OwnerDelta &Delta);

/// Converts all owners of a table to their wire format. Thread safety: safe.
wire::OwnersUpdate toWire(const KeyOwners::Snapshot &Snapshot);

/// Applies an update of the coordinator to \p Owners. Empty, with nothing
/// applied, when the update is malformed.
/// Thread safety: as \p Owners.
std::optional<KeyOwners::ApplyResult>
applyOwnersUpdate(KeyOwners &Owners, const wire::OwnersUpdate &Update);

} // namespace burdockpulley

#endif
