#ifndef BURDOCKPULLEY_OWNER_THROTTLE_H
#define BURDOCKPULLEY_OWNER_THROTTLE_H

#include "burdockpulley/upstream_registry.h"

#include <random>

namespace burdockpulley {

/// Divides the free slots of one owner among the hosts at which requests for
/// its keys wait.
///
/// Used when many hosts send to one hot owner: all of them learn at the same
/// moment that the owner has free slots, and would together send far more than
/// its queue holds. Each host therefore takes a random share of the free slots,
/// proportional to its waiting requests, once per status interval.
/// Thread safety: none.
class OwnerThrottle {
public:
  /// True when this host may send one more request to the owner now. Hosts
  /// receive each other's load once per \p StatusInterval; a request takes
  /// \p WorkTime at an upstream of average speed.
  bool available(const UpstreamState &Owner, Duration WorkTime,
                 Duration StatusInterval, std::mt19937_64 &Random, Instant Now);
  /// The same for requests without keys, of which \p Here wait at this host and
  /// \p Elsewhere at the others.
  bool available(const UpstreamState &Owner, double Here, double Elsewhere,
                 Duration WorkTime, Duration StatusInterval,
                 std::mt19937_64 &Random, Instant Now);

  /// Counts one request as sent. Precondition: available() returned true.
  void take() { m_remaining -= m_remaining > 0 ? 1 : 0; }

private:
  Instant m_nextShareAt;
  std::uint32_t m_remaining = 0; ///< Requests left of the current share.
};

} // namespace burdockpulley

#endif
