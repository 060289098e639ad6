#ifndef BURDOCKPULLEY_LIBHOST_KEEPER_DRIVER_H
#define BURDOCKPULLEY_LIBHOST_KEEPER_DRIVER_H

#include "host_state.h"
#include "upstream_pool.h"

#include <functional>

namespace burdockpulley {

namespace wire {
class ForwardReply;
class ForwardRequest;
} // namespace wire

/// The keeper's role for requests: sends each to its upstream and turns what
/// comes back into the one final reply.
///
/// Thread safety: none; it belongs to the loop's thread.
class KeeperDriver {
public:
  using Callback = std::function<void(wire::ForwardReply &&)>;

  KeeperDriver(HostState &State, UpstreamPool &Pool)
      : m_state(State), m_pool(Pool) {}

  /// Runs a request on its upstream. \p Done is called once.
  void serve(wire::ForwardRequest &&Request, Callback Done);

private:
  HostState &m_state;
  UpstreamPool &m_pool;
};

} // namespace burdockpulley

#endif
