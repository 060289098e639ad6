#ifndef BURDOCKPULLEY_RETRY_POLICY_H
#define BURDOCKPULLEY_RETRY_POLICY_H

#include "burdockpulley/retry_budget.h"
#include "burdockpulley/types.h"

namespace burdockpulley {

/// How one attempt to run a request has ended without an answer.
struct FailedAttempt {
  bool m_notRun = false;         ///< Proven: no upstream has run it or will.
  bool m_timedOut = false;       ///< The upstream was too slow.
  bool m_overloaded = false;     ///< The upstream's queue refused it.
  bool m_ownerUnsettled = false; ///< Refused as not the owner, or no owner.
  /// The keeper was not reached, or does not know the upstream yet.
  bool m_keeperUnsettled = false;
  bool m_idempotent = false;
  bool m_keyed = false;         ///< Only the key's owner may run it.
  bool m_otherUpstream = false; ///< One that was not tried may run it.
  bool m_mayWaitForOwner = false;
  Duration m_left; ///< Until the deadline.
};

/// What to do after a failed attempt.
enum class RetryVerdict { Final, AtOnce, AfterWait };

/// Decides whether a request is tried again. A request that is not idempotent
/// is only ever tried again after a proven not-run; a slow upstream never gets
/// the same request twice; retries other than for a change of owner or keeper
/// are taken from \p Budget. Thread safety: none, for the budget.
RetryVerdict decideRetry(const FailedAttempt &Attempt, RetryBudget &Budget);

} // namespace burdockpulley

#endif
