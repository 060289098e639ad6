#include "request_relay.h"

#include "burdockpulley/clock.h"
#include "burdockpulley/event_log.h"
#include "local_response.h"
#include "request_encoding.h"
#include "upstream_notice.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// Pause before a keyed request looks up its key's owner again.
constexpr Duration OwnerRetryPause{20'000};
/// Retry-After of a refusal if no better estimate exists.
constexpr Duration DefaultRetryAfter{250'000};
/// Retry-After if the owner of a key is unreachable: half of the time for which
/// it may still hold the key. Callers retry only a few times, so they must not
/// come back long before the key has a new owner.
constexpr Duration LostOwnerRetryAfter{1'750'000};

/// Reason of a refusal because this process is being stopped.
constexpr const char *StoppingReason = "stopping";

std::int64_t millis(Duration Time) { return Time.count() / 1000; }

} // namespace

RequestRelay::RequestRelay(GatewayState &State)
    : m_state(State), m_connections(State.m_base, State.requestPoolSettings()),
      m_forwarder(State), m_results(State),
      m_intake(State, m_results.serviceTimes()),
      m_reserves(State.m_registry, State.m_peerLoads, State.m_workTimes),
      m_assignment(State, m_forwarder, m_reserves), m_waiting(State.m_registry),
      m_started(bootClockNow()), m_random(std::random_device()()) {}

void RequestRelay::onRequest(std::shared_ptr<Exchange> CallerExchange,
                             Instant Now) {
  auto NewRequest = m_intake.read(CallerExchange, std::nullopt, Now);
  if (!NewRequest)
    return;
  if (NewRequest->m_key)
    ++m_keyRequestCounts
          .m_counts[NewRequest->m_service->m_name][NewRequest->m_key->value()];
  retryBudget(NewRequest->m_service->m_name).onRequest(Now);
  accept(std::move(NewRequest), Now);
}

void RequestRelay::onForwardedRequest(std::shared_ptr<Exchange> PeerExchange,
                                      Instant Now) {
  auto Forwarded = readForwardHeaders(PeerExchange->request());
  if (!Forwarded)
    return PeerExchange->answer(localResponse(LocalStatus::BadRequest));
  // The forwarding host counts the request for the placement of keys and for
  // the retry budget.
  auto NewRequest = m_intake.read(PeerExchange, std::move(Forwarded), Now);
  if (NewRequest)
    accept(std::move(NewRequest), Now);
}

void RequestRelay::accept(std::unique_ptr<PendingRequest> NewRequest,
                          Instant Now) {
  PendingRequest &Pending = *NewRequest;
  m_pending[Pending.m_number] = std::move(NewRequest);
  Pending.m_exchange->onCallerGone(
      [this, Number = Pending.m_number] { onCallerGone(Number); });
  if (m_state.m_stop && !m_state.m_stop->mayTake(Pending.m_deadline, Now))
    return refuse(Pending, StoppingReason, {}, Now);
  if (m_results.suspects().blocked(Pending.m_fingerprint, Now))
    return refuse(Pending, "crashes-upstreams", {}, Now);
  detectReturn(Pending, Now);
  if (!chargeQuota(Pending, Now))
    return finish(Pending,
                  localResponse(LocalStatus::TooManyRequests,
                                m_state.m_teamQuota.retryAfter(
                                    *Pending.m_team, m_state.limitSharers())),
                  "not-run", "team-quota", Now);
  // Without paths to upstreams, the request arrives at another host again.
  if (usesReserve(Pending) && !m_state.m_registry.pathsLost())
    m_reserves.onArrival(Pending.m_service->m_name, priorityOf(Pending),
                         Pending.m_workTime, Now);
  QueueKey Key = queueOf(Pending);
  checkShare(Pending, Key);
  if (m_waiting.anyBefore(Pending, Key, Now)) {
    enqueue(Pending, Now);
    // Those before it may wait for something else than capacity.
    dispatchQueue(Key, false, Now);
  } else if (!tryDispatch(Pending, Now)) {
    enqueue(Pending, Now);
  }
}

void RequestRelay::detectReturn(PendingRequest &Pending, Instant Now) {
  if (!Pending.m_callerDeadline)
    return;
  const std::string &Team =
      Pending.m_team ? Pending.m_team->m_name.value() : "";
  ReturnPlanner::Arrival Arrival =
      m_returns.onArrival(Pending.m_route->m_name + '\n' + Team,
                          *Pending.m_callerDeadline - Now, Now);
  Pending.m_returning = Arrival.m_returning;
  Pending.m_goalTime -= Arrival.m_spent;
}

void RequestRelay::checkShare(PendingRequest &Pending, const QueueKey &Key) {
  if (!Pending.m_team || !anyWaits(m_waiting, m_state.m_peerLoads, Key))
    return;
  Pending.m_aboveShare = m_state.m_teamShares.aboveShare(*Pending.m_team);
  if (Pending.m_aboveShare)
    m_state.m_metrics.onAboveShare(Pending.m_team->m_name);
}

void RequestRelay::updateReserves(Instant Now) {
  if (m_reserves.updateDue(Now))
    m_reserves.update(m_waiting.byService(), Now);
}

bool RequestRelay::heldForUrgent(PendingRequest &Pending) {
  if (!m_assignment.heldForUrgent(Pending))
    return false;
  if (!std::exchange(Pending.m_heldForUrgent, true))
    m_state.m_metrics.onHeldForUrgent(Pending.m_route->m_name);
  return true;
}

bool RequestRelay::usesReserve(const PendingRequest &Pending) const {
  return m_state.m_settings.m_reserveSlots && !Pending.m_key;
}

void RequestRelay::releaseSlot(const PendingRequest &Pending) {
  if (Pending.m_attemptInFlight && usesReserve(Pending))
    m_reserves.onEnded(Pending.m_service->m_name, priorityOf(Pending));
}

std::map<std::uint32_t, double> RequestRelay::waitingByTeamPriority() const {
  std::map<std::uint32_t, double> Sums;
  for (const auto &[Service, Priorities] : m_waiting.byService())
    for (const auto &[Priority, Queued] : Priorities)
      Sums[teamPriorityOf(Priority)] += Queued.m_requests;
  for (const auto &[Service, Queues] : m_state.m_peerLoads.queues())
    for (const auto &[Priority, Queued] : Queues.m_byPriority)
      Sums[teamPriorityOf(Priority)] += Queued.m_requests;
  return Sums;
}

Duration RequestRelay::plannedRetryAfter(const PendingRequest &Pending,
                                         const ServiceCapacity &Capacity,
                                         Duration Wait, Instant Now) {
  ReturnPlanner::Refused Refused;
  Refused.m_wait = Wait;
  Refused.m_left = Pending.m_callerDeadline.value_or(Pending.m_deadline) - Now;
  Refused.m_workTime = Pending.m_workTime;
  Refused.m_slots = Capacity.slotsFor(priorityOf(Pending));
  Refused.m_requestRate = Capacity.m_requestRate;
  Refused.m_hosts = m_state.hosts();
  QueueKey Key = queueOf(Pending);
  return m_returns
      .retryAfter(Key.first.value() + '\n' + Key.second.value(), Refused,
                  m_random, Now)
      .value_or(Duration());
}

bool RequestRelay::chargeQuota(PendingRequest &Pending, Instant Now) {
  // The host that forwards a request has charged it.
  if (!Pending.m_team || Pending.m_forwarded)
    return true;
  Pending.m_chargedToQuota = m_state.m_teamQuota.admit(
      *Pending.m_team, m_state.limitSharers(), m_random, Now);
  if (!Pending.m_chargedToQuota)
    m_state.m_metrics.onQuotaRefusal(Pending.m_team->m_name);
  return Pending.m_chargedToQuota;
}

void RequestRelay::refundQuota(PendingRequest &Pending) {
  if (std::exchange(Pending.m_chargedToQuota, false))
    m_state.m_teamQuota.refund(*Pending.m_team);
}

SharedRetryBudget &RequestRelay::retryBudget(const ServiceId &Service) {
  auto It = m_retryBudgets.find(Service);
  if (It == m_retryBudgets.end()) {
    const GatewaySettings &Settings = m_state.m_settings;
    SharedRetryBudget::Settings Budget{Settings.m_retryRatio,
                                       Settings.m_retryWindow,
                                       Settings.m_retryAllowance};
    It = m_retryBudgets.emplace(Service, SharedRetryBudget(Budget, m_started))
             .first;
  }
  return It->second;
}

bool RequestRelay::stopPrevents(const PendingRequest &Pending,
                                const UpstreamState *Upstream,
                                Instant Now) const {
  if (!m_state.m_stop)
    return false;
  // The service time may have been measured since the request arrived.
  Duration Expected = m_results.serviceTimes().expected(Pending.m_route->m_name,
                                                        Pending.m_workTime);
  if (Upstream)
    Expected = expectedFinish(*Upstream, Expected, Now);
  return !m_state.m_stop->mayBegin(Expected, Now);
}

bool RequestRelay::tryDispatch(PendingRequest &Pending, Instant Now) {
  if (stopPrevents(Pending, nullptr, Now)) {
    endUnsent(Pending, StoppingReason, {}, Now);
    return true;
  }
  if (Now < Pending.m_notBefore || heldForUrgent(Pending))
    return false;
  bool CanWait = false;
  UpstreamState *Upstream = m_assignment.chooseUpstream(Pending, CanWait, Now);
  const ForwardingPeer *Peer = nullptr;
  if (!Upstream && !CanWait)
    Peer = m_assignment.chooseForwardingPeer(Pending, Now);
  if (!Upstream && !CanWait && !Peer) {
    endUnsent(Pending, NoUpstreamReason,
              Pending.m_key ? LostOwnerRetryAfter
                            : refusalRetryAfter(Pending, Now),
              Now);
    return true;
  }
  if (!Upstream && !Peer)
    return false;
  if (Upstream && stopPrevents(Pending, Upstream, Now)) {
    endUnsent(Pending, StoppingReason, {}, Now);
    return true;
  }
  if (Upstream && m_assignment.yieldsToPeers(Pending, Now))
    return false;
  if (Pending.m_usesRetryBudget && !retryBudget(Pending.m_service->m_name)
                                        .take(m_state.sharingHosts(), Now)) {
    if (Pending.m_mayHaveRun)
      reportUnknown(Pending, AttemptOutcome::Unknown, Now);
    else
      refuse(Pending, "retry-budget", refusalRetryAfter(Pending, Now), Now);
    return true;
  }
  if (Pending.m_attempts > 0 || !Pending.m_forwardHosts.empty())
    m_state.m_metrics.onRetry(Pending.m_service->m_name,
                              Pending.m_usesRetryBudget);
  if (Peer)
    forward(Pending, *Peer, Now);
  else
    send(Pending, *Upstream, Now);
  return true;
}

Duration RequestRelay::refusalRetryAfter(const PendingRequest &Pending,
                                         Instant Now) const {
  Duration Remaining = std::max(Duration(), Pending.m_deadline - Now);
  return std::min(DefaultRetryAfter, std::max(Remaining / 4, Duration(1000)));
}

QueueKey RequestRelay::queueOf(const PendingRequest &Pending) const {
  return WaitingRequests::queueOf(Pending, m_state.m_owners);
}

void RequestRelay::enqueue(PendingRequest &Pending, Instant Now) {
  heldForUrgent(Pending);
  ServiceCapacity Capacity = m_assignment.capacityFor(Pending, Now);
  auto Refusal = m_waiting.add(Pending, queueOf(Pending), Capacity, Now);
  if (Refusal)
    refuse(Pending, refusalReason(Capacity),
           plannedRetryAfter(Pending, Capacity, Refusal->m_wait, Now), Now);
}

void RequestRelay::dispatchWaiting(Instant Now) {
  updateReserves(Now);
  std::vector<RequestNumber> Expired = m_waiting.giveUp(
      [this, Now](RequestNumber First) -> std::optional<ServiceCapacity> {
        auto It = m_pending.find(First);
        if (It == m_pending.end())
          return std::nullopt;
        return m_assignment.capacityFor(*It->second, Now);
      },
      Now);
  for (RequestNumber Number : Expired)
    abandon(Number, Now);
  bool TryAll = Now >= m_nextFullDispatch;
  if (TryAll)
    m_nextFullDispatch = Now + OwnerRetryPause;
  for (const QueueKey &Key : m_waiting.queues())
    dispatchQueue(Key, TryAll, Now);
}

void RequestRelay::dispatchQueue(const QueueKey &Key, bool TryAll,
                                 Instant Now) {
  auto Number = m_waiting.first(Key, Now);
  while (Number) {
    auto It = m_pending.find(*Number);
    // What less urgent requests keep is theirs also while this one is held.
    bool Held = It != m_pending.end() && heldForUrgent(*It->second);
    Number = Held ? m_waiting.afterPriority(Key, *Number)
                  : m_waiting.after(Key, *Number);
    if (Held || It == m_pending.end())
      continue;
    PendingRequest &Pending = *It->second;
    bool Paused = Now < Pending.m_notBefore;
    // The rest of the queue can use no other upstreams than this request,
    // unless that has tried some before, or the owner of its key has changed.
    bool Stops = Pending.m_key ? !TryAll && queueOf(Pending) == Key
                               : Pending.m_triedUpstreams.empty();
    if (!tryDispatch(Pending, Now) && Stops && !Paused)
      break;
  }
}

void RequestRelay::abandon(RequestNumber Number, Instant Now) {
  auto It = m_pending.find(Number);
  if (It == m_pending.end())
    return;
  PendingRequest &Pending = *It->second;
  heldForUrgent(Pending);
  if (Pending.m_mayHaveRun)
    reportUnknown(Pending, AttemptOutcome::TimedOut, Now);
  else
    refuse(Pending, "deadline-near",
           plannedRetryAfter(Pending, m_assignment.capacityFor(Pending, Now),
                             Pending.m_workTime, Now),
           Now);
}

void RequestRelay::send(PendingRequest &Pending, UpstreamState &Upstream,
                        Instant Now) {
  m_waiting.remove(Pending);
  m_assignment.onSend(Pending, Upstream, Now);
  m_state.m_reachability.onSent(Now);
  Pending.m_upstream = Upstream.m_record.m_id;
  Pending.m_triedUpstreams.insert(Upstream.m_record.m_id);
  Pending.m_attemptInFlight = true;
  if (usesReserve(Pending))
    m_reserves.onSent(Pending.m_service->m_name, priorityOf(Pending));
  ++Upstream.m_outstanding;
  HttpRequest Request = encodeRequest(Pending, m_state.m_codec.headers(), Now);
  Request.m_headers.push_back({m_state.m_codec.headers().m_expectedUpstream,
                               Upstream.m_record.m_id.value()});
  auto Reuse = Pending.m_route->m_idempotent ? ChannelPool::Reuse::Any
                                             : ChannelPool::Reuse::RecentlyUsed;
  Duration Remaining = std::max(Duration(1000), Pending.m_deadline - Now);
  ChannelPool &Pool =
      m_connections.pool(Upstream.m_record.m_id, Upstream.m_record.m_address);
  Pool.setMaxConnections(keptConnections(Pending.m_service->m_connectionLimit,
                                         m_state.sharingHosts()));
  Pending.m_call =
      Pool.call(Request, Pending.m_requestId, Remaining, Reuse,
                [this, Number = Pending.m_number](ChannelResult &&Result) {
                  onResult(Number, std::move(Result));
                });
}

void RequestRelay::forward(PendingRequest &Pending, const ForwardingPeer &Peer,
                           Instant Now) {
  m_waiting.remove(Pending);
  Pending.m_forwardedTo = Peer.m_host;
  Pending.m_forwardHosts.insert(Peer.m_host);
  HttpRequest Request = encodeRequest(Pending, m_state.m_codec.headers(), Now);
  addForwardHeaders(Request,
                    {Pending.m_service->m_name,
                     maxAttempts(Pending) - Pending.m_attempts,
                     Pending.m_team ? Pending.m_team->m_name : TeamId()});
  Duration Remaining = std::max(Duration(1000), Pending.m_deadline - Now);
  Pending.m_call = m_forwarder.call(
      Peer, Request, Pending.m_requestId, Remaining,
      [this, Number = Pending.m_number](ChannelResult &&Result) {
        onForwardResult(Number, std::move(Result));
      });
}

void RequestRelay::onForwardResult(RequestNumber Number,
                                   ChannelResult &&Result) {
  auto It = m_pending.find(Number);
  if (It == m_pending.end())
    return;
  PendingRequest &Pending = *It->second;
  Instant Now = bootClockNow();
  HostId Peer = *std::exchange(Pending.m_forwardedTo, std::nullopt);
  ForwardedEnd End;
  if (Result.m_error == ChannelError::None)
    End = readForwardedEnd(Result.m_response);
  else if (Result.m_error != ChannelError::ConnectFailed)
    End = {ForwardOutcome::Unknown, 1};
  ForwardOutcome Outcome = End.m_outcome;
  logEvent(Severity::Info, "forward_ended",
           {{"request", Pending.m_requestId},
            {"host", Peer.value()},
            {"outcome", toString(Outcome)},
            {"error", toString(Result.m_error)},
            {"problem", Result.m_problem},
            {"status", Result.m_response.m_status},
            {"upstream", readUpstream(Result.m_response).value()},
            {"attempts", End.m_attempts},
            {"spent_ms", millis(Result.m_spent)}});
  m_state.m_metrics.onAttempt(Pending.m_service->m_name, "forwarded");
  if (Outcome == ForwardOutcome::Answered &&
      m_state.m_codec.decodeNotice(Result.m_response).m_leaving)
    if (UpstreamState *Upstream =
            m_state.m_registry.find(readUpstream(Result.m_response)))
      applyLeavingOfPeer(*Upstream, Peer, Now);
  if (Outcome == ForwardOutcome::Answered)
    return deliver(Pending, std::move(Result.m_response), Now);
  Pending.m_attempts += End.m_attempts;
  if (Outcome == ForwardOutcome::NotServed)
    return retry(Pending, {}, Now);
  bool Final = Result.m_error == ChannelError::None && !End.m_noUpstreamLeft;
  if (Final && Outcome == ForwardOutcome::NotRun && !Pending.m_mayHaveRun)
    return deliverLocal(Pending, std::move(Result.m_response), "not-run", Now);
  if (Final && Outcome == ForwardOutcome::Unknown)
    return deliverLocal(Pending, std::move(Result.m_response), "unknown", Now);
  AttemptOutcome Attempt = AttemptOutcome::Unknown;
  if (Outcome == ForwardOutcome::NotRun)
    Attempt = AttemptOutcome::NotRun;
  else if (Result.m_error == ChannelError::TimedOut)
    Attempt = AttemptOutcome::TimedOut;
  applyNextAction(Pending, Attempt, {}, Now);
}

void RequestRelay::onResult(RequestNumber Number, ChannelResult &&Result) {
  auto It = m_pending.find(Number);
  if (It == m_pending.end())
    return;
  PendingRequest &Pending = *It->second;
  Instant Now = bootClockNow();
  releaseSlot(Pending);
  Pending.m_attemptInFlight = false;
  AttemptOutcome Outcome = m_results.classify(Pending, Result);
  m_results.record(Pending, Result, Outcome, Now);
  if (Outcome != AttemptOutcome::NotSent)
    ++Pending.m_attempts;
  updateReachability(Now);
  applyNextAction(Pending, Outcome, std::move(Result.m_response), Now);
  dispatchWaiting(Now);
}

void RequestRelay::updateReachability(Instant Now) {
  bool Lost = m_state.m_reachability.lost(m_state.m_registry);
  if (Lost == m_state.m_registry.pathsLost())
    return;
  m_state.m_registry.setPathsLost(Lost, Now);
  m_state.m_pathsChangedAt = Now;
  m_state.m_metrics.setPathsLost(Lost);
  logEvent(Severity::Warning, Lost ? "upstreams_lost" : "upstreams_regained",
           {{"forwarding_hosts", m_state.m_forwardingPeers.size()}});
  if (!Lost)
    return;
  // Idle connections may hang although no error was reported on them.
  m_connections.closeIdle();
}

void RequestRelay::applyNextAction(PendingRequest &Pending,
                                   AttemptOutcome Outcome,
                                   HttpResponse &&Response, Instant Now) {
  AttemptFacts Facts;
  Facts.m_outcome = Outcome;
  Facts.m_idempotent = Pending.m_route->m_idempotent;
  Facts.m_keyed = Pending.m_key.has_value();
  Facts.m_mayHaveRun = Pending.m_mayHaveRun;
  Facts.m_sent = Pending.m_attempts;
  Facts.m_maxAttempts = maxAttempts(Pending);
  Facts.m_left = Pending.m_deadline - Now;
  Facts.m_workTime = Pending.m_workTime;
  for (const UpstreamState *Upstream :
       m_state.m_registry.ofService(Pending.m_service->m_name))
    Facts.m_otherUpstream |=
        m_state.m_registry.usable(*Upstream) &&
        !Pending.m_triedUpstreams.count(Upstream->m_record.m_id);
  Facts.m_otherUpstream |=
      m_assignment.chooseForwardingPeer(Pending, Now) != nullptr;
  bool MayHaveRun = Outcome == AttemptOutcome::Unknown ||
                    Outcome == AttemptOutcome::TimedOut ||
                    Outcome == AttemptOutcome::ServerError;
  Pending.m_mayHaveRun |= MayHaveRun;
  AttemptAction Action = decideNextAction(Facts);
  if (Action != AttemptAction::Deliver)
    logEvent(Severity::Info, "attempt_ended",
             {{"request", Pending.m_requestId},
              {"upstream", Pending.m_upstream.value()},
              {"end", toString(Outcome)},
              {"status", Response.m_status},
              {"attempts", Pending.m_attempts},
              {"left_ms", millis(Facts.m_left)},
              {"other_upstream", Facts.m_otherUpstream}});
  switch (Action) {
  case AttemptAction::Deliver:
    return deliver(Pending, std::move(Response), Now);
  case AttemptAction::RefuseNotRun:
    return refuse(Pending, toString(Outcome), refusalRetryAfter(Pending, Now),
                  Now);
  case AttemptAction::ReportUnknown:
    return reportUnknown(Pending, Outcome, Now);
  case AttemptAction::RetryFree:
    return retry(Pending, {}, Now);
  case AttemptAction::Retry:
    Pending.m_usesRetryBudget = true;
    return retry(Pending, {}, Now);
  case AttemptAction::AwaitOwner:
    Pending.m_usesRetryBudget = Outcome != AttemptOutcome::NotSent;
    return retry(Pending, OwnerRetryPause, Now);
  }
}

void RequestRelay::retry(PendingRequest &Pending, Duration Pause, Instant Now) {
  Pending.m_notBefore = Now + Pause;
  if (!tryDispatch(Pending, Now))
    enqueue(Pending, Now);
}

void RequestRelay::onCallerGone(RequestNumber Number) {
  auto It = m_pending.find(Number);
  if (It == m_pending.end())
    return;
  PendingRequest &Pending = *It->second;
  Instant Now = bootClockNow();
  releaseSlot(Pending);
  if (Pending.m_attemptInFlight) {
    UpstreamState *Upstream = m_state.m_registry.find(Pending.m_upstream);
    m_connections.cancel(Pending.m_upstream, Pending.m_call);
    if (Upstream)
      Upstream->m_outstanding -= std::min(Upstream->m_outstanding, 1U);
  }
  if (Pending.m_forwardedTo)
    m_forwarder.cancel(*Pending.m_forwardedTo, Pending.m_call);
  m_waiting.remove(Pending);
  logEvent(Severity::Info, "caller_left",
           {{"request", Pending.m_requestId},
            {"upstream", Pending.m_upstream.value()},
            {"sent", Pending.m_attemptInFlight},
            {"spent_ms", millis(Now - Pending.m_arrived)}});
  if (!Pending.m_attemptInFlight && !Pending.m_forwardedTo &&
      !Pending.m_mayHaveRun)
    refundQuota(Pending);
  m_state.m_metrics.onRequestEnded(Pending.m_route->m_name, "caller-left",
                                   Now - Pending.m_arrived);
  m_pending.erase(It);
}

void RequestRelay::deliver(PendingRequest &Pending, HttpResponse &&Response,
                           Instant Now) {
  // The host that has forwarded the request has to know of a leaving upstream.
  bool ForCaller = !Pending.m_forwarded;
  removeInternalHeaders(Response, m_state.m_codec.headers(), ForCaller);
  finish(Pending, std::move(Response), "answered", "", Now);
}

void RequestRelay::deliverLocal(PendingRequest &Pending,
                                HttpResponse &&Response, const char *Outcome,
                                Instant Now) {
  removeInternalHeaders(Response);
  finish(Pending, std::move(Response), Outcome, "forwarded", Now);
}

void RequestRelay::refuse(PendingRequest &Pending, const char *Reason,
                          Duration RetryAfter, Instant Now) {
  finish(Pending, localResponse(LocalStatus::Unavailable, RetryAfter),
         "not-run", Reason, Now);
}

void RequestRelay::endUnsent(PendingRequest &Pending, const char *Reason,
                             Duration RetryAfter, Instant Now) {
  if (!Pending.m_mayHaveRun)
    return refuse(Pending, Reason, RetryAfter, Now);
  finish(Pending, localResponse(LocalStatus::BadGateway), "unknown", Reason,
         Now);
}

void RequestRelay::reportUnknown(PendingRequest &Pending,
                                 AttemptOutcome Outcome, Instant Now) {
  LocalStatus Status = Outcome == AttemptOutcome::TimedOut
                           ? LocalStatus::GatewayTimeout
                           : LocalStatus::BadGateway;
  finish(Pending, localResponse(Status), "unknown", toString(Outcome), Now);
}

void RequestRelay::finish(PendingRequest &Pending, HttpResponse &&Response,
                          const char *Outcome, const char *Reason,
                          Instant Now) {
  m_waiting.remove(Pending);
  if (std::string_view(Outcome) == "not-run")
    refundQuota(Pending);
  Duration Spent = Now - Pending.m_arrived;
  bool Succeeded = Response.m_status < 400;
  logEvent(Succeeded ? Severity::Info : Severity::Warning, "request_ended",
           {{"request", Pending.m_requestId},
            {"route", Pending.m_route->m_name},
            {"service", Pending.m_service->m_name.value()},
            {"team", Pending.m_team ? Pending.m_team->m_name.value() : ""},
            {"outcome", Outcome},
            {"reason", Reason},
            {"status", Response.m_status},
            {"upstream", Pending.m_upstream.value()},
            {"attempts", Pending.m_attempts},
            {"spent_ms", millis(Spent)},
            {"left_ms", millis(Pending.m_deadline - Now)},
            {"priority", priorityOf(Pending)},
            {"returning", Pending.m_returning},
            {"above_share", Pending.m_aboveShare},
            {"held_for_urgent", Pending.m_heldForUrgent},
            {"forwarded", Pending.m_forwarded.has_value()},
            {"revision", Pending.m_configuration->m_revision.value()}});
  if (Pending.m_forwarded)
    addOutcomeHeaders(Response, Outcome, Reason, Pending.m_upstream,
                      Pending.m_attempts);
  else
    m_state.m_metrics.onRequestEnded(Pending.m_route->m_name, Outcome, Spent);
  if (Pending.m_returning)
    m_state.m_metrics.onReturnEnded(Pending.m_route->m_name, Outcome);
  std::shared_ptr<Exchange> CallerExchange = Pending.m_exchange;
  const std::string &IdHeader = m_state.m_codec.headers().m_requestId;
  std::string_view RequestId = CallerExchange->request().header(IdHeader);
  if (Response.header(IdHeader).empty() && !RequestId.empty())
    Response.m_headers.push_back({IdHeader, std::string(RequestId)});
  m_pending.erase(Pending.m_number);
  CallerExchange->answer(std::move(Response));
}

void RequestRelay::endAll(Instant Now) {
  std::vector<RequestNumber> Numbers;
  for (const auto &[Number, Pending] : m_pending)
    Numbers.push_back(Number);
  for (RequestNumber Number : Numbers) {
    auto It = m_pending.find(Number);
    if (It == m_pending.end())
      continue;
    PendingRequest &Pending = *It->second;
    bool Sent = Pending.m_attemptInFlight || Pending.m_forwardedTo;
    releaseSlot(Pending);
    if (Pending.m_attemptInFlight)
      m_connections.cancel(Pending.m_upstream, Pending.m_call);
    if (Pending.m_forwardedTo)
      m_forwarder.cancel(*Pending.m_forwardedTo, Pending.m_call);
    if (Sent || Pending.m_mayHaveRun)
      reportUnknown(Pending, AttemptOutcome::Unknown, Now);
    else
      refuse(Pending, StoppingReason, {}, Now);
  }
}

void RequestRelay::sweep(Instant Now) {
  m_connections.sweep(
      [this](const UpstreamId &Id) {
        return m_state.m_registry.find(Id) != nullptr;
      },
      Now);
  m_forwarder.sweep(Now);
  m_results.sweep(Now);
  m_assignment.sweep(Now);
  for (const auto &[Service, Slots] : m_reserves.reserved())
    m_state.m_metrics.setReservedSlots(Service, Slots);
  m_reserves.sweep();
  m_waiting.sweep(Now);
  m_returns.sweep(Now);
}

} // namespace burdockpulley
