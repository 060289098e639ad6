#ifndef BURDOCKPULLEY_STOP_PLAN_H
#define BURDOCKPULLEY_STOP_PLAN_H

#include "burdockpulley/types.h"

namespace burdockpulley {

/// Decides which requests a host that is being stopped still serves.
///
/// The load it answers: callers keep sending over connections that were open
/// before the stop, and over new ones until the balancer has taken the host
/// out. What is in progress when the stop time is over is cut, and a request
/// that is not idempotent can then not be repeated. So a late request is only
/// taken if its deadline is before, and no attempt begins that is expected to
/// be cut. Callers that are refused can go to another host at once.
/// Thread safety: safe.
class StopPlan {
public:
  /// \p StopTime: from \p Started until the process is killed.
  StopPlan(Instant Started, Duration StopTime)
      : m_started(Started), m_stopTime(StopTime) {}

  /// When requests that are still in progress are ended.
  Instant endsRequestsAt() const;
  /// When the process ends, also with responses that are not sent yet.
  Instant endsAt() const;

  /// True if a request that arrives now, and ends at \p Deadline at the latest,
  /// is taken.
  bool mayTake(Instant Deadline, Instant Now) const;
  /// True if an attempt that is expected to take \p WorkTime may begin now.
  bool mayBegin(Duration WorkTime, Instant Now) const;

private:
  Instant m_started;
  Duration m_stopTime;
};

} // namespace burdockpulley

#endif
