#ifndef BURDOCKPULLEY_OWNER_THROTTLE_H
#define BURDOCKPULLEY_OWNER_THROTTLE_H

#include "burdockpulley/upstream_registry.h"

#include <random>

namespace burdockpulley {

/// Shares one owner's room among the hosts at which requests for its keys wait.
///
/// It answers a hot owner on a large fleet: all hosts see at the same moment
/// that it has room, and together send it far more than its queue holds. So
/// each host draws its part of the room once for each time that news take.
/// Thread safety: none.
class OwnerThrottle {
public:
  /// True when this host may send one more request to the owner now. Hosts
  /// hear of each other's load once in \p NewsAge; requests take \p WorkTime at
  /// an upstream of usual speed.
  bool available(const UpstreamState &Row, Duration WorkTime, Duration NewsAge,
                 std::mt19937_64 &Random, Instant Now);

  /// One request is sent. Precondition: it was available.
  void take() { m_left -= m_left > 0 ? 1 : 0; }

private:
  Instant m_nextDraw;
  std::uint32_t m_left = 0;
};

} // namespace burdockpulley

#endif
