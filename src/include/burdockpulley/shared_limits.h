#ifndef BURDOCKPULLEY_SHARED_LIMITS_H
#define BURDOCKPULLEY_SHARED_LIMITS_H

#include "burdockpulley/types.h"

#include <cstdint>
#include <deque>
#include <map>

namespace burdockpulley {

/// This host's part of a budget of repeated sends that all hosts share.
///
/// A host may repeat a share of the requests that it took in itself during the
/// window, and its part of a fixed allowance. Parts add up to no more than the
/// whole, whatever hosts are lost, cut off or restarted.
/// Thread safety: none.
class SharedRetryBudget {
public:
  struct Settings {
    double m_ratio = 0.2; ///< Repeats for each request.
    Duration m_window = std::chrono::seconds(10);
    double m_allowance = 60; ///< Repeats beside the ratio, of all hosts.
  };

  explicit SharedRetryBudget(Settings Shared) : m_settings(Shared) {}

  /// A caller's request has come.
  void onRequest(Instant Now);

  /// Takes one repeat, if \p Hosts hosts share the allowance.
  bool take(std::size_t Hosts, Instant Now);

private:
  void age(Instant Now);

  Settings m_settings;
  std::deque<Instant> m_requests;
  std::deque<Instant> m_repeats;
};

/// This host's part of the rate that a cold upstream bears from all hosts.
///
/// It answers a burst that meets a cold upstream while each of many hosts has
/// saved a request for it: together these would be more than the upstream
/// bears in a second. So where there are many hosts, what is saved is soon
/// lost, and their times to send lie apart by chance.
/// Thread safety: none.
class ColdStartLimiter {
public:
  /// \p Phase from 0 to 1 is drawn by chance for each host and upstream.
  explicit ColdStartLimiter(double Phase = 0) : m_phase(Phase) {}

  /// True when this host may send a request now, if \p Hosts hosts have equal
  /// parts of \p Rate requests a second.
  bool available(double Rate, std::size_t Hosts, Instant Now);

  /// One request is sent. Precondition: it is available.
  void take() { m_tokens -= 1; }

private:
  double m_phase;
  bool m_begun = false;
  double m_tokens = 0;
  Instant m_at;
};

} // namespace burdockpulley

#endif
