#ifndef BURDOCKPULLEY_LIBGATEWAY_UPSTREAM_PROBER_H
#define BURDOCKPULLEY_LIBGATEWAY_UPSTREAM_PROBER_H

#include "connection_pools.h"
#include "gateway_state.h"

#include <random>

namespace burdockpulley {

/// Sends health checks to a few upstreams while this host has lost its paths to
/// all of them, or may have, so that no caller's request is spent on finding
/// out. Each check makes a new connection.
/// Thread safety: none; it belongs to the loop's thread.
class UpstreamProber {
public:
  /// Precondition: \p State outlives the object.
  explicit UpstreamProber(GatewayState &State);

  /// Sends the checks that are due. Call it many times a second.
  void tick(Instant Now);

private:
  /// Upstreams to check, from different failure domains if possible.
  std::vector<const UpstreamState *> choose(Instant Now);
  void probe(const UpstreamState &Upstream);

  GatewayState &m_state;
  ConnectionPools<UpstreamId> m_connections;
  Instant m_nextProbes;
  std::mt19937_64 m_random;
};

} // namespace burdockpulley

#endif
