#include "burdockpulley/attempt_policy.h"

namespace burdockpulley {

const char *toString(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Answered:
    return "answered";
  case AttemptEnd::ServerError:
    return "server-error";
  case AttemptEnd::NotSent:
    return "not-sent";
  case AttemptEnd::NotRun:
    return "not-run";
  case AttemptEnd::WrongOwner:
    return "wrong-owner";
  case AttemptEnd::Unknown:
    return "unknown";
  case AttemptEnd::TimedOut:
    return "timed-out";
  }
  return "unknown";
}

AttemptStep nextStep(const AttemptFacts &Facts) {
  if (Facts.m_end == AttemptEnd::Answered)
    return AttemptStep::Deliver;
  bool MayHaveRun = Facts.m_mayHaveRun;
  if (Facts.m_end == AttemptEnd::Unknown ||
      Facts.m_end == AttemptEnd::TimedOut ||
      Facts.m_end == AttemptEnd::ServerError)
    MayHaveRun = true;
  AttemptStep Final =
      MayHaveRun ? AttemptStep::ReportUnknown : AttemptStep::RefuseNotRun;
  if (Facts.m_end == AttemptEnd::ServerError)
    Final = AttemptStep::Deliver;
  bool Repeatable = Facts.m_idempotent || !MayHaveRun;
  bool TimeLeft = Facts.m_left > Facts.m_workTime / 2;
  if (!Repeatable || !TimeLeft || Facts.m_end == AttemptEnd::TimedOut)
    return Final;
  if (Facts.m_end == AttemptEnd::NotSent)
    return Facts.m_keyed           ? AttemptStep::AwaitOwner
           : Facts.m_otherUpstream ? AttemptStep::RetryFree
                                   : Final;
  if (Facts.m_sent >= Facts.m_maxAttempts)
    return Final;
  if (Facts.m_keyed)
    return Facts.m_end == AttemptEnd::ServerError ? AttemptStep::Retry
                                                  : AttemptStep::AwaitOwner;
  return Facts.m_otherUpstream ? AttemptStep::Retry : Final;
}

} // namespace burdockpulley
