#ifndef BURDOCKPULLEY_LIBHOST_OWNERSHIP_DRIVER_H
#define BURDOCKPULLEY_LIBHOST_OWNERSHIP_DRIVER_H

#include "clock.h"
#include "host_state.h"
#include "upstream_pool.h"

namespace burdockpulley {

/// Carries out what the ownership code decides: writes first owners to the
/// store, and sends grants to the upstreams that this host keeps.
///
/// Thread safety: none; it belongs to the loop's thread.
class OwnershipDriver {
public:
  OwnershipDriver(event_base *Base, Store &Target, HostState &State,
                  UpstreamPool &Pool);

  /// Looks for work at once; called when the tables have changed.
  void wake();

private:
  void assignOwners();
  void renewGrants();
  void sendGrants(const Upstream &Which);

  Store &m_store;
  HostState &m_state;
  UpstreamPool &m_pool;
  std::size_t m_writing = 0;
  RepeatingTimer m_timer;
};

} // namespace burdockpulley

#endif
