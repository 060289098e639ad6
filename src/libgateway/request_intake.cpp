#include "request_intake.h"

#include "burdockpulley/event_log.h"
#include "burdockpulley/hashing.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace burdockpulley {

namespace {

/// Until a route's service time has been measured, it is taken to be the
/// route's latency goal divided by this.
constexpr int GoalToWorkTimeRatio = 3;
/// Retry-After if the configurations of two hosts differ.
constexpr Duration NoServiceRetryAfter{250'000};
constexpr Duration NoConfigurationRetryAfter{300'000};
constexpr RequestIntake::Rejection NoApiKey{LocalStatus::Unauthorized,
                                            "no-api-key"};

template <class Number> bool parseNumber(std::string_view Text, Number &Value) {
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Error == std::errc() && End == Text.data() + Text.size() &&
         !Text.empty();
}

Fingerprint fingerprintOf(std::string_view Method, std::string_view Target,
                          std::string_view Body) {
  return Fingerprint(stableHash(Target, stableHash(Body, stableHash(Method))));
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
  auto Reject = [&](const Rejection &Found) {
    auto [Status, Reason, RetryAfter] = Found;
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
    return Reject({LocalStatus::BadRequest, "no-request-id"});
  if (auto Found =
          findRoute(*Pending, Request.header("Host"), Request.m_target))
    return Reject(*Found);
  if (!readTeam(*Pending, Names)) {
    if (Pending->m_forwarded) // The configurations of the hosts differ.
      return Reject({LocalStatus::Unavailable, "no-team", NoServiceRetryAfter});
    m_state.m_metrics.onUnknownApiKey();
    return Reject(NoApiKey);
  }
  if (auto Found = findService(*Pending, chooseTarget(*Pending),
                               Request.header(Names.m_deadline),
                               Request.header(Names.m_shardKey), Now))
    return Reject(*Found);
  Pending->m_fingerprint =
      fingerprintOf(Request.m_method, Request.m_target, Request.m_body);
  return Pending;
}

std::optional<RequestIntake::Rejection>
RequestIntake::preview(const AskedRequest &Asked, PendingRequest &Pending,
                       Instant Now) const {
  // It would be behind all that wait.
  Pending.m_number = RequestNumber(std::numeric_limits<std::uint64_t>::max());
  Pending.m_arrived = Now;
  Pending.m_configuration = m_state.m_routes.current();
  if (auto Found = findRoute(Pending, Asked.m_host, Asked.m_target))
    return Found;
  Pending.m_team = Asked.m_team;
  if (!Pending.m_configuration->m_teams.empty() && !Pending.m_team &&
      !Pending.m_route->m_public)
    return NoApiKey;
  Pending.m_fingerprint = fingerprintOf(Asked.m_method, Asked.m_target, "");
  return findService(Pending, &m_splitter.peek(*Pending.m_route),
                     Asked.m_deadline, Asked.m_key, Now);
}

std::optional<RequestIntake::Rejection>
RequestIntake::findRoute(PendingRequest &Pending, std::string_view Host,
                         std::string_view Target) const {
  if (!Pending.m_configuration)
    return Rejection{LocalStatus::Unavailable, "no-configuration",
                     NoConfigurationRetryAfter};
  Pending.m_route = m_state.m_routes.find(Host, Target);
  if (!Pending.m_route || Pending.m_route->m_targets.empty())
    return Rejection{LocalStatus::NotFound, "no-route"};
  return std::nullopt;
}

std::optional<RequestIntake::Rejection>
RequestIntake::findService(PendingRequest &Pending, const RouteTarget *Target,
                           std::string_view Deadline, std::string_view Key,
                           Instant Now) const {
  Rejection NoService{LocalStatus::Unavailable, "no-service",
                      NoServiceRetryAfter};
  if (!Target) // The configurations of the two hosts differ.
    return NoService;
  auto Service = Pending.m_configuration->m_services.find(Target->m_service);
  if (Service == Pending.m_configuration->m_services.end())
    return NoService;
  Pending.m_service = &Service->second;
  if (!readDeadline(Pending, Deadline, Now))
    return Rejection{LocalStatus::BadRequest, "bad-deadline"};
  if (Pending.m_service->m_keyed && !readKey(Pending, Key))
    return Rejection{LocalStatus::BadRequest, "bad-key"};
  Pending.m_goalTime = Now + Pending.m_route->m_latencyGoal;
  Pending.m_workTime = m_serviceTimes.expected(Pending.m_route->m_name,
                                               Pending.m_route->m_latencyGoal /
                                                   GoalToWorkTimeRatio);
  return std::nullopt;
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

bool RequestIntake::readDeadline(PendingRequest &Pending, std::string_view Text,
                                 Instant Now) {
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

bool RequestIntake::readKey(PendingRequest &Pending, std::string_view Text) {
  std::uint32_t Value = 0;
  if (!parseNumber(Text, Value) || Value >= ShardKeyCount)
    return false;
  Pending.m_key = ShardKey(Value);
  return true;
}

} // namespace burdockpulley
