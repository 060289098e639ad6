#include "attempt_results.h"

#include "burdockpulley/event_log.h"
#include "burdockpulley/request_limiter.h"
#include "upstream_notice.h"

namespace burdockpulley {

namespace {

/// Time after which an upstream that has refused a connection is taken to have
/// ended, unless it has responded to any host meanwhile or this host has lost
/// its paths to all upstreams.
constexpr Duration RefusalDecisionTime{1'000'000};

constexpr int StatusUnavailable = 503;

std::int64_t millis(Duration Time) { return Time.count() / 1000; }

} // namespace

AttemptOutcome AttemptResults::classify(const PendingRequest &Pending,
                                        const ChannelResult &Result) const {
  switch (Result.m_error) {
  case ChannelError::ConnectFailed:
    return AttemptOutcome::NotSent;
  case ChannelError::Interrupted:
  case ChannelError::BadAnswer:
    return AttemptOutcome::Unknown;
  case ChannelError::TimedOut:
    return AttemptOutcome::TimedOut;
  case ChannelError::None:
    break;
  }
  const HttpResponse &Response = Result.m_response;
  bool SaysNotRun =
      !Response.header(m_state.m_codec.headers().m_notRun).empty();
  return outcomeOfResponse(Response.m_status, SaysNotRun,
                           Pending.m_key.has_value());
}

void AttemptResults::record(PendingRequest &Pending,
                            const ChannelResult &Result, AttemptOutcome Outcome,
                            Instant Now) {
  m_state.m_metrics.onAttempt(Pending.m_service->m_name, toString(Outcome));
  if (*Result.m_problem != '\0')
    logEvent(Severity::Warning, "response_unusable",
             {{"request", Pending.m_requestId},
              {"upstream", Pending.m_upstream.value()},
              {"problem", Result.m_problem},
              {"spent_ms", millis(Result.m_spent)}});
  UpstreamState *Upstream = m_state.m_registry.find(Pending.m_upstream);
  if (!Upstream)
    return;
  Upstream->m_outstanding -= std::min(Upstream->m_outstanding, 1U);
  if (metFullUpstream(*Upstream, Result, Outcome))
    m_state.m_metrics.onFullUpstream(Pending.m_service->m_name);
  if (Result.m_error == ChannelError::ConnectFailed ||
      Result.m_error == ChannelError::Interrupted)
    m_state.m_reachability.onFailure(Pending.m_upstream, Now);
  if (Outcome == AttemptOutcome::Answered) {
    double Slowness = slownessFactor(*Upstream, Now);
    observeServiceTime(*Upstream, Result.m_spent, Pending.m_workTime, Now);
    m_serviceTimes.onAnswer(Pending.m_route->m_name, Result.m_spent, Slowness);
    m_state.m_workTimes[Pending.m_service->m_name] =
        m_serviceTimes.expected(Pending.m_route->m_name, Pending.m_workTime);
  } else if (Outcome == AttemptOutcome::ServerError ||
             Outcome == AttemptOutcome::NotRun ||
             (Upstream->m_paceLimit && Outcome == AttemptOutcome::TimedOut)) {
    observeFailure(*Upstream, Now);
  }
  if (Result.responded())
    m_state.m_reachability.onResponse();
  if (Result.m_error == ChannelError::None)
    recordResponse(Pending, *Upstream, Result.m_response, Outcome, Now);
  bool Misdirected = Result.m_error == ChannelError::None && !Pending.m_key &&
                     Result.m_response.m_status == StatusMisdirected;
  if (Misdirected) // Another upstream uses this address now.
    m_state.m_registry.onUnreachable(Pending.m_upstream, Now);
  if (Result.m_error == ChannelError::Interrupted && Result.m_sent)
    m_suspects.onInterrupted(Pending.m_fingerprint, Pending.m_upstream, Now);
  if (Result.m_error == ChannelError::ConnectFailed)
    recordConnectFailure(Pending, *Upstream, Result.m_refused, Now);
}

bool AttemptResults::metFullUpstream(const UpstreamState &Upstream,
                                     const ChannelResult &Result,
                                     AttemptOutcome Outcome) const {
  if (Outcome == AttemptOutcome::TimedOut)
    return Upstream.m_report.m_running >= Upstream.m_record.m_slots;
  if (Outcome != AttemptOutcome::NotRun ||
      Result.m_response.m_status != StatusUnavailable)
    return false;
  // The same status tells that the upstream leaves or wants a pause.
  UpstreamNotice Notice = m_state.m_codec.decodeNotice(Result.m_response);
  return !Notice.m_leaving && Notice.m_pause <= Duration();
}

void AttemptResults::recordResponse(PendingRequest &Pending,
                                    UpstreamState &Upstream,
                                    const HttpResponse &Response,
                                    AttemptOutcome Outcome, Instant Now) {
  Upstream.m_answeredAt = Now;
  auto Report = m_state.m_codec.decodeLoad(
      Response.header(m_state.m_codec.headers().m_load));
  if (Report) {
    Upstream.m_report = *Report;
    Upstream.m_reportAt = Now;
    Upstream.m_reportIsLocal = true;
  }
  recordRequestLimit(Upstream, Response, Outcome, Now);
  // A misdirected request was refused by another upstream, or for its key.
  if (Response.m_status != StatusMisdirected)
    applyNotice(Upstream, m_state.m_codec.decodeNotice(Response),
                Pending.m_requestId, Now);
}

void AttemptResults::recordConnectFailure(const PendingRequest &Pending,
                                          UpstreamState &Upstream, bool Refused,
                                          Instant Now) {
  bool NewlyUnreachable = !Upstream.m_unreachable;
  m_state.m_registry.onUnreachable(Pending.m_upstream, Now);
  if (!NewlyUnreachable)
    return;
  logEvent(Severity::Warning, "upstream_unreachable",
           {{"upstream", Pending.m_upstream.value()},
            {"refused", Refused},
            {"request", Pending.m_requestId}});
  if (Refused)
    m_refusedAt.try_emplace(Pending.m_upstream, Now);
}

void AttemptResults::decideRefusals(Instant Now) {
  for (auto It = m_refusedAt.begin(); It != m_refusedAt.end();) {
    auto [Id, RefusedAt] = *It;
    const UpstreamState *Upstream = m_state.m_registry.find(Id);
    bool PathFault = (Upstream && Upstream->respondedSince(RefusedAt)) ||
                     m_state.m_registry.pathsLost();
    if (!PathFault && Now - RefusedAt < RefusalDecisionTime) {
      ++It;
      continue;
    }
    It = m_refusedAt.erase(It);
    if (PathFault)
      m_suspects.forgetInterruptions(Id);
    else
      onUpstreamDown(Id, Now);
  }
}

void AttemptResults::recordRequestLimit(UpstreamState &Upstream,
                                        const HttpResponse &Response,
                                        AttemptOutcome Outcome, Instant Now) {
  std::string_view Header =
      Response.header(m_state.m_codec.headers().m_requestLimit);
  // Only a response to a request that has run shows that the limit has ended.
  // Some errors come from other parts of an upstream, or from another one.
  if (Header.empty() && Outcome != AttemptOutcome::Answered)
    return;
  std::optional<double> Rate;
  if (!Header.empty()) {
    Rate = m_state.m_codec.decodeRequestLimit(Header);
    if (!Rate)
      return logEvent(Severity::Warning, "upstream_limit_unreadable",
                      {{"upstream", Upstream.m_record.m_id.value()}});
  }
  onRequestLimit(Upstream, Rate, Now, m_state.m_settings.m_host, true, Now);
}

void AttemptResults::onUpstreamDown(const UpstreamId &Upstream, Instant Now) {
  for (Fingerprint Suspect : m_suspects.onUpstreamDown(Upstream, Now)) {
    logEvent(
        Severity::Warning, "request_suspected",
        {{"fingerprint", Suspect.value()}, {"upstream", Upstream.value()}});
    if (m_onSuspicion)
      m_onSuspicion(Suspect, Upstream);
  }
}

void AttemptResults::sweep(Instant Now) {
  decideRefusals(Now);
  m_suspects.sweep(Now);
}

} // namespace burdockpulley
