#include "burdockpulley/retry_policy.h"

namespace burdockpulley {

namespace {

constexpr Duration MinAttempt{10'000};

} // namespace

RetryVerdict decideRetry(const FailedAttempt &Attempt, RetryBudget &Budget) {
  bool Safe = Attempt.m_notRun || Attempt.m_idempotent;
  if (!Safe || Attempt.m_left < MinAttempt)
    return RetryVerdict::Final;
  if (!Attempt.m_keyed) {
    if (Attempt.m_otherUpstream && Budget.take())
      return RetryVerdict::AtOnce;
    bool Wait = Attempt.m_notRun && Attempt.m_keeperUnsettled &&
                Attempt.m_mayWaitForOwner;
    return Wait ? RetryVerdict::AfterWait : RetryVerdict::Final;
  }
  if (Attempt.m_notRun && Attempt.m_ownerUnsettled)
    return Attempt.m_mayWaitForOwner ? RetryVerdict::AfterWait
                                     : RetryVerdict::Final;
  if (Attempt.m_overloaded || Attempt.m_timedOut)
    return RetryVerdict::Final;
  bool Retry = Attempt.m_mayWaitForOwner && Budget.take();
  return Retry ? RetryVerdict::AfterWait : RetryVerdict::Final;
}

} // namespace burdockpulley
