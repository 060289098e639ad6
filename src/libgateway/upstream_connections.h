#ifndef BURDOCKPULLEY_LIBGATEWAY_UPSTREAM_CONNECTIONS_H
#define BURDOCKPULLEY_LIBGATEWAY_UPSTREAM_CONNECTIONS_H

#include "burdockpulley/channel_pool.h"
#include "gateway_state.h"

#include <map>
#include <memory>

namespace burdockpulley {

/// Connections of this host to the upstreams, for callers' requests.
/// Thread safety: none; it belongs to the loop's thread.
class UpstreamConnections {
public:
  /// Precondition: \p State outlives the object.
  explicit UpstreamConnections(GatewayState &State) : m_state(State) {}

  /// Connections to one upstream. An upstream that came back at another
  /// address gets new ones.
  ChannelPool &pool(const UpstreamState &Row);

  /// Closes what is idle or belongs to upstreams that are gone.
  void sweep(Instant Now);

private:
  struct Link {
    Endpoint m_address;
    std::unique_ptr<ChannelPool> m_pool;
  };

  GatewayState &m_state;
  std::map<UpstreamId, Link> m_links;
  /// Pools of former addresses; they go once nothing is open.
  std::vector<std::unique_ptr<ChannelPool>> m_retired;
};

} // namespace burdockpulley

#endif
