#include "burdockpulley/stop_plan.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// Time before the end of the stop time at which requests are ended, and the
/// largest part of a short stop time. Half of it is for sending the responses;
/// then the process ends, which may have to wait for a busy processor.
constexpr Duration StopMargin{800'000};
constexpr double MaxStopMarginPart = 0.4;
/// For this long, all requests are taken, as callers may not know of the stop
/// yet: balancers remove a host after two failed checks, of which there is one
/// a second. Also, for no longer than this part of the stop time, so that
/// nearly all requests end in the rest.
constexpr Duration FullServiceTime{3'000'000};
constexpr int FullServiceDivisor = 2;
/// Multiple of the expected service time that an attempt has to have left. Few
/// requests take longer.
constexpr int WorkTimeMargin = 2;

Duration stopMargin(Duration StopTime) {
  auto Part =
      std::chrono::duration_cast<Duration>(StopTime * MaxStopMarginPart);
  return std::min(StopMargin, Part);
}

} // namespace

Instant StopPlan::endsRequestsAt() const {
  return m_started + m_stopTime - stopMargin(m_stopTime);
}

Instant StopPlan::endsAt() const {
  return m_started + m_stopTime - stopMargin(m_stopTime) / 2;
}

bool StopPlan::mayTake(Instant Deadline, Instant Now) const {
  return Now - m_started <=
             std::min(FullServiceTime, m_stopTime / FullServiceDivisor) ||
         Deadline <= endsRequestsAt();
}

bool StopPlan::mayBegin(Duration WorkTime, Instant Now) const {
  return Now + WorkTime * WorkTimeMargin <= endsRequestsAt();
}

} // namespace burdockpulley
