#ifndef BURDOCKPULLEY_SHARED_LIMITS_H
#define BURDOCKPULLEY_SHARED_LIMITS_H

#include "burdockpulley/types.h"

#include <cstdint>
#include <deque>
#include <map>

namespace burdockpulley {

/// This host's share of a retry budget that all hosts have in common.
///
/// A host may retry a fraction of the requests that it received itself within
/// the window, plus its share of a fixed allowance. The shares add up to no
/// more than the whole budget, whichever hosts are lost, partitioned or
/// restarted: hosts that are not heard have their shares, too, and a process
/// earns its share over its first window, as the one before it may have used
/// it. Thread safety: none.
class SharedRetryBudget {
public:
  struct Settings {
    double m_ratio = 0.2; ///< Retries per request.
    Duration m_window = std::chrono::seconds(10);
    double m_allowance = 60; ///< Further retries in the window, of all hosts.
  };

  /// \p Started: when this process has started.
  SharedRetryBudget(Settings Budget, Instant Started)
      : m_settings(Budget), m_started(Started) {}

  /// Records a request from a caller.
  void onRequest(Instant Now);

  /// Takes one retry from the budget when \p Hosts hosts share the allowance,
  /// including those that are not heard. Returns false, and takes nothing, when
  /// the budget is used up.
  bool take(std::size_t Hosts, Instant Now);

private:
  void removeExpired(Instant Now);

  Settings m_settings;
  Instant m_started;
  std::deque<Instant> m_requests;
  std::deque<Instant> m_retries;
};

/// Token bucket with this host's share of the request rate that a cold upstream
/// can handle from all hosts.
///
/// Prevents a burst from overloading a cold upstream when each of many hosts
/// has saved a token for it: together these requests would be more than the
/// upstream can handle in a second. With many hosts, saved tokens therefore
/// expire soon, and a random phase spreads the send times of the hosts.
/// UpstreamPace has replaced it; its tests compare it with this rule.
/// Thread safety: none.
class ColdStartLimiter {
public:
  /// \p Phase is a random number from 0 to 1, drawn for each host and upstream.
  explicit ColdStartLimiter(double Phase = 0) : m_phase(Phase) {}

  /// True when this host may send a request now. \p Hosts hosts, including
  /// those that are not heard, have equal shares of \p Rate requests a second.
  bool available(double Rate, std::size_t Hosts, Instant Now);

  /// Counts one request as sent. Precondition: available() returned true.
  void take() { m_tokens -= 1; }

private:
  double m_phase;
  bool m_started = false;
  double m_tokens = 0;
  Instant m_refilledAt;
};

/// Connections that each of \p Hosts hosts keeps to an upstream that accepts
/// \p Limit connections from all of them; zero stands for no limit.
///
/// Used when many hosts share many upstreams: idle connections of all hosts add
/// up to the limit, and the upstream resets those with requests on them. A part
/// of the limit is left for connections beyond those kept. Thread safety: safe.
std::size_t keptConnections(std::uint32_t Limit, std::size_t Hosts);

} // namespace burdockpulley

#endif
