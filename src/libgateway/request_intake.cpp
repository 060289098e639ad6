#include "request_intake.h"

#include "burdockpulley/event_log.h"
#include "burdockpulley/hashing.h"
#include "local_response.h"

#include <algorithm>
#include <charconv>

namespace burdockpulley {

namespace {

/// Until a route's service time has been measured, it is taken to be the
/// route's latency goal divided by this.
constexpr int GoalToWorkTimeRatio = 3;
/// Retry-After if the configurations of two hosts differ.
constexpr Duration NoServiceRetryAfter{250'000};
constexpr Duration NoConfigurationRetryAfter{300'000};
/// Longest deadline that a caller may set: one hour.
constexpr std::int64_t MaxDeadlineMillis = 3'600'000;

template <class Number> bool parseNumber(std::string_view Text, Number &Value) {
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Error == std::errc() && End == Text.data() + Text.size() &&
         !Text.empty();
}

Fingerprint fingerprintOf(const HttpRequest &Request) {
  std::string_view Body(Request.m_body);
  return Fingerprint(stableHash(
      Request.m_target, stableHash(Body, stableHash(Request.m_method))));
}

} // namespace

const RouteTarget *RequestIntake::chooseTarget(const PendingRequest &Pending) {
  if (!Pending.m_forwarded)
    return &m_splitter.next(*Pending.m_route);
  const auto &Targets = Pending.m_route->m_targets;
  auto Target =
      std::find_if(Targets.begin(), Targets.end(), [&](const auto &Each) {
        return Each.m_service == Pending.m_forwarded->m_service;
      });
  return Target == Targets.end() ? nullptr : &*Target;
}

std::unique_ptr<PendingRequest>
RequestIntake::read(const std::shared_ptr<Exchange> &CallerExchange,
                    std::optional<ForwardedRequest> Forwarded, Instant Now) {
  const HttpRequest &Request = CallerExchange->request();
  const HeaderNames &Names = m_state.m_codec.headers();
  auto Pending = std::make_unique<PendingRequest>();
  Pending->m_number = RequestNumber(++m_nextNumber);
  Pending->m_exchange = CallerExchange;
  Pending->m_requestId = Request.header(Names.m_requestId);
  Pending->m_forwarded = std::move(Forwarded);
  Pending->m_arrived = Now;
  Pending->m_configuration = m_state.m_routes.current();
  auto Reject = [&](LocalStatus Status, const char *Reason,
                    Duration RetryAfter) {
    logEvent(Severity::Warning, "request_rejected",
             {{"request", Pending->m_requestId},
              {"reason", Reason},
              {"status", static_cast<int>(Status)},
              {"revision", Pending->m_configuration
                               ? Pending->m_configuration->m_revision.value()
                               : 0}});
    m_state.m_metrics.onRequestEnded("none", Reason, Duration());
    HttpResponse Response = localResponse(Status, RetryAfter);
    if (!Pending->m_requestId.empty())
      Response.m_headers.push_back({Names.m_requestId, Pending->m_requestId});
    CallerExchange->answer(Response);
    return nullptr;
  };
  // Without an id, a late response to an earlier request could not be told from
  // the response to this one.
  if (Pending->m_requestId.empty())
    return Reject(LocalStatus::BadRequest, "no-request-id", {});
  if (!Pending->m_configuration)
    return Reject(LocalStatus::Unavailable, "no-configuration",
                  NoConfigurationRetryAfter);
  Pending->m_route =
      m_state.m_routes.find(Request.header("Host"), Request.m_target);
  if (!Pending->m_route || Pending->m_route->m_targets.empty())
    return Reject(LocalStatus::NotFound, "no-route", {});
  if (!readTeam(*Pending, Names)) {
    if (Pending->m_forwarded) // The configurations of the hosts differ.
      return Reject(LocalStatus::Unavailable, "no-team", NoServiceRetryAfter);
    m_state.m_metrics.onUnknownApiKey();
    return Reject(LocalStatus::Unauthorized, "no-api-key", {});
  }
  const RouteTarget *Target = chooseTarget(*Pending);
  if (!Target) // The configurations of the two hosts differ.
    return Reject(LocalStatus::Unavailable, "no-service", NoServiceRetryAfter);
  auto Service = Pending->m_configuration->m_services.find(Target->m_service);
  if (Service == Pending->m_configuration->m_services.end())
    return Reject(LocalStatus::Unavailable, "no-service", NoServiceRetryAfter);
  Pending->m_service = &Service->second;
  if (!readDeadline(*Pending, Now))
    return Reject(LocalStatus::BadRequest, "bad-deadline", {});
  if (Pending->m_service->m_keyed && !readKey(*Pending))
    return Reject(LocalStatus::BadRequest, "bad-key", {});
  Pending->m_goalTime = Now + Pending->m_route->m_latencyGoal;
  Pending->m_workTime = m_serviceTimes.expected(
      Pending->m_route->m_name,
      Pending->m_route->m_latencyGoal / GoalToWorkTimeRatio);
  Pending->m_fingerprint = fingerprintOf(Request);
  return Pending;
}

bool RequestIntake::readTeam(PendingRequest &Pending,
                             const HeaderNames &Names) {
  const TeamDirectory &Teams = Pending.m_configuration->m_teams;
  if (Teams.empty())
    return true;
  if (Pending.m_forwarded && !Pending.m_forwarded->m_team.value().empty()) {
    // The forwarding host has checked the key.
    Pending.m_team = Teams.findByName(Pending.m_forwarded->m_team);
    return Pending.m_team != nullptr;
  }
  std::string_view Key =
      apiKeyOf(Pending.m_exchange->request().header(Names.m_credentials));
  if (!Key.empty())
    Pending.m_team = Teams.findByKey(Key);
  return Pending.m_team || Pending.m_route->m_public;
}

bool RequestIntake::readDeadline(PendingRequest &Pending, Instant Now) {
  std::string_view Text = Pending.m_exchange->request().header(
      m_state.m_codec.headers().m_deadline);
  Pending.m_deadline = Now + Pending.m_route->m_timeout;
  if (Text.empty())
    return true;
  std::int64_t RemainingMillis = 0;
  if (!parseNumber(Text, RemainingMillis) || RemainingMillis < 0 ||
      RemainingMillis > MaxDeadlineMillis)
    return false;
  Instant Stated = Now + std::chrono::milliseconds(RemainingMillis);
  if (!Pending.m_forwarded)
    Pending.m_callerDeadline = Stated;
  Pending.m_deadline = std::min(Pending.m_deadline, Stated);
  return true;
}

bool RequestIntake::readKey(PendingRequest &Pending) {
  std::string_view Text = Pending.m_exchange->request().header(
      m_state.m_codec.headers().m_shardKey);
  std::uint32_t Value = 0;
  if (!parseNumber(Text, Value) || Value >= ShardKeyCount)
    return false;
  Pending.m_key = ShardKey(Value);
  return true;
}

} // namespace burdockpulley
