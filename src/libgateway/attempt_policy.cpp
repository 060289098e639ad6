#include "burdockpulley/attempt_policy.h"

namespace burdockpulley {

const char *toString(AttemptOutcome Outcome) {
  switch (Outcome) {
  case AttemptOutcome::Answered:
    return "answered";
  case AttemptOutcome::ServerError:
    return "server-error";
  case AttemptOutcome::NotSent:
    return "not-sent";
  case AttemptOutcome::NotRun:
    return "not-run";
  case AttemptOutcome::WrongOwner:
    return "wrong-owner";
  case AttemptOutcome::Unknown:
    return "unknown";
  case AttemptOutcome::TimedOut:
    return "timed-out";
  }
  return "unknown";
}

AttemptOutcome outcomeOfResponse(int Status, bool SaysNotRun, bool Keyed) {
  constexpr int RequestTimeout = 408;
  constexpr int TooManyRequests = 429;
  constexpr int Unavailable = 503;
  constexpr int MinServerError = 500;
  if (Status == StatusMisdirected && Keyed)
    return AttemptOutcome::WrongOwner;
  if (SaysNotRun || Status == StatusMisdirected)
    return AttemptOutcome::NotRun;
  if (Status == RequestTimeout || Status == TooManyRequests ||
      Status == Unavailable)
    return AttemptOutcome::Unknown;
  return Status >= MinServerError ? AttemptOutcome::ServerError
                                  : AttemptOutcome::Answered;
}

AttemptAction decideNextAction(const AttemptFacts &Facts) {
  if (Facts.m_outcome == AttemptOutcome::Answered)
    return AttemptAction::Deliver;
  bool MayHaveRun = Facts.m_mayHaveRun;
  if (Facts.m_outcome == AttemptOutcome::Unknown ||
      Facts.m_outcome == AttemptOutcome::TimedOut ||
      Facts.m_outcome == AttemptOutcome::ServerError)
    MayHaveRun = true;
  AttemptAction FinalAction =
      MayHaveRun ? AttemptAction::ReportUnknown : AttemptAction::RefuseNotRun;
  if (Facts.m_outcome == AttemptOutcome::ServerError)
    FinalAction = AttemptAction::Deliver;
  bool Retryable = Facts.m_idempotent || !MayHaveRun;
  bool TimeLeft = Facts.m_left > Facts.m_workTime / 2;
  if (!Retryable || !TimeLeft || Facts.m_outcome == AttemptOutcome::TimedOut)
    return FinalAction;
  if (Facts.m_outcome == AttemptOutcome::NotSent)
    return Facts.m_keyed           ? AttemptAction::AwaitOwner
           : Facts.m_otherUpstream ? AttemptAction::RetryFree
                                   : FinalAction;
  if (Facts.m_sent >= Facts.m_maxAttempts)
    return FinalAction;
  if (Facts.m_keyed)
    return Facts.m_outcome == AttemptOutcome::ServerError
               ? AttemptAction::Retry
               : AttemptAction::AwaitOwner;
  return Facts.m_otherUpstream ? AttemptAction::Retry : FinalAction;
}

} // namespace burdockpulley
