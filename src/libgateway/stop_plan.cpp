#include "burdockpulley/stop_plan.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// Time before the end of the stop time at which requests are ended. Half of it
/// is for sending the responses; then the process ends.
constexpr Duration StopMargin{400'000};
/// For this long, all requests are taken, as callers may not know of the stop
/// yet: balancers remove a host after two failed checks, of which there is one
/// a second. Also, for no longer than this part of the stop time, so that
/// nearly all requests end in the rest.
constexpr Duration FullServiceTime{3'000'000};
constexpr int FullServiceDivisor = 2;
/// Multiple of the expected service time that an attempt has to have left. Few
/// requests take longer.
constexpr int WorkTimeMargin = 2;

} // namespace

Instant StopPlan::endsRequestsAt() const {
  return m_started + m_stopTime - StopMargin;
}

Instant StopPlan::endsAt() const {
  return m_started + m_stopTime - StopMargin / 2;
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
