#ifndef BURDOCKPULLEY_COLD_START_RAMP_H
#define BURDOCKPULLEY_COLD_START_RAMP_H

#include "burdockpulley/types.h"

#include <cstdint>

namespace burdockpulley {

/// Limits the concurrency at an upstream that may be cold.
///
/// It starts at one request, and doubles after a share of the warm-up time
/// when the runs at the present level succeeded and took about as long as at
/// the level below. Failures halve it. A jump of the latency at full
/// concurrency is taken for a cold start that was not announced: the ramp
/// begins again. Only runs that the caller observed count, not what the
/// upstream reports.
///
/// Thread safety: none.
class ColdStartRamp {
public:
  /// Preconditions: \p Slots is not zero, \p WarmUp is not negative.
  ColdStartRamp(std::uint32_t Slots, Duration WarmUp, Instant Now);

  /// Concurrency that the upstream bears now; from one to its slots.
  std::uint32_t allowed() const { return m_allowed; }

  /// True when it bears all its slots.
  bool warm() const { return m_allowed == m_slots; }

  /// A run has succeeded after \p Latency.
  void onSuccess(Duration Latency, Instant Now);

  /// A run has failed or timed out.
  void onFailure(Instant Now);

  /// The upstream has certainly restarted, or was not reachable.
  void onRestart(Instant Now);

private:
  void enter(std::uint32_t Level, Instant Now);
  void judgeLevel(Instant Now);

  std::uint32_t m_slots;
  std::uint32_t m_allowed = 1;
  Duration m_step;
  Instant m_since;
  std::uint32_t m_successes = 0;
  Duration m_mean;      ///< Latency at this level.
  Duration m_reference; ///< Latency at the level below; zero at the lowest.
};

} // namespace burdockpulley

#endif
