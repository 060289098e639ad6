#ifndef BURDOCKPULLEY_LIBGATEWAY_OWNER_UPDATES_H
#define BURDOCKPULLEY_LIBGATEWAY_OWNER_UPDATES_H

#include "burdockpulley/key_owners.h"
#include "gateway_types.h"

#include <optional>

namespace burdockpulley {

/// Decides what the coordinator tells of who owns which key. Hosts are told
/// what has changed over the last second or two, so that a lost message is
/// made up for by the next one; a host that has missed more asks for all keys.
/// Thread safety: none.
class OwnerDeltaBuilder {
public:
  /// What is to be told of a service now, as a coordinator with \p Epoch;
  /// nothing when \p Current does not come from it. Without changes it lets
  /// hosts find out that they have missed some.
  std::optional<OwnerDelta> changes(const KeyOwners::Snapshot &Current,
                                    std::int64_t Epoch, Instant Now);

private:
  struct Told {
    std::uint64_t m_baseVersion = 0; ///< Of what was told a second ago.
    CoordinatorStep m_base;
    std::vector<KeySpan> m_changed; ///< Between the base and the next base.
    std::uint64_t m_nextVersion = 0;
    CoordinatorStep m_next;
    std::vector<KeySpan> m_changedSince; ///< Since the next base.
    Instant m_nextAt;                    ///< When the next base was told.
    KeyTable m_last;                     ///< What was told last.
  };

  std::map<ServiceId, Told> m_told;
};

/// Changes of owners as they travel. Thread safety: safe.
wire::OwnersUpdate toWire(const OwnerDelta &Changes);

/// All owners of a table as they travel. Thread safety: safe.
wire::OwnersUpdate toWire(const KeyOwners::Snapshot &Whole);

/// Takes what a coordinator told. Nothing when it can not be read.
/// Thread safety: as \p Owners.
std::optional<KeyOwners::ApplyResult>
applyOwnersUpdate(KeyOwners &Owners, const wire::OwnersUpdate &News);

} // namespace burdockpulley

#endif
