#ifndef BURDOCKPULLEY_LIBGATEWAY_UPSTREAM_CONNECTIONS_H
#define BURDOCKPULLEY_LIBGATEWAY_UPSTREAM_CONNECTIONS_H

#include "burdockpulley/channel_pool.h"
#include "gateway_state.h"

#include <map>
#include <memory>

namespace burdockpulley {

/// Connection pools from this host to the upstreams, for callers' requests.
/// Thread safety: none; it belongs to the loop's thread.
class UpstreamConnections {
public:
  /// Precondition: \p State outlives the object.
  explicit UpstreamConnections(GatewayState &State) : m_state(State) {}

  /// Connections to one upstream. An upstream that has changed its address
  /// gets a new pool.
  ChannelPool &pool(const UpstreamState &Upstream);

  /// Closes idle connections, and removes the pools of upstreams that are no
  /// longer registered once they have no open connection.
  void sweep(Instant Now);

private:
  struct AddressedPool {
    Endpoint m_address;
    std::unique_ptr<ChannelPool> m_pool;
  };

  GatewayState &m_state;
  std::map<UpstreamId, AddressedPool> m_pools;
  /// Pools of former addresses. Each is removed once it has no open connection.
  std::vector<std::unique_ptr<ChannelPool>> m_retired;
};

} // namespace burdockpulley

#endif
