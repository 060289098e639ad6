#include "request_explanation.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <map>

namespace burdockpulley {

using nlohmann::json;

namespace {

constexpr std::size_t MaxMethodLength = 32;

/// What is wrong with a query.
struct QueryFault {
  std::string m_parameter;
  json m_value; ///< Null if the parameter is missing.
  std::string m_problem;
};

using Parameters = std::map<std::string, std::string>;

bool isText(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char Character) {
    return Character >= ' ' && Character <= '~';
  });
}

bool isNumber(std::string_view Text, std::int64_t Most) {
  std::int64_t Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Error == std::errc() && End == Text.data() + Text.size() &&
         Value >= 0 && Value <= Most;
}

/// Says what a parameter has to be; empty if it is right. A null result means
/// that there is no such parameter.
const char *problemOf(const std::string &Name, const std::string &Value) {
  if (Name == "host" || Name == "team")
    return !Value.empty() && isText(Value) ? "" : "is not printable text";
  if (Name == "path") {
    bool Legal = Value.starts_with('/') && isText(Value) &&
                 Value.find(' ') == std::string::npos;
    return Legal ? "" : "does not begin with a slash, or has illegal bytes";
  }
  if (Name == "key")
    return isNumber(Value, ShardKeyCount - 1) ? "" : "is not from 0 to 65535";
  if (Name == "deadline")
    return isNumber(Value, MaxDeadlineMillis) ? ""
                                              : "is not from 0 to 3600000 ms";
  if (Name != "method")
    return nullptr;
  bool Legal = !Value.empty() && Value.size() <= MaxMethodLength &&
               std::all_of(Value.begin(), Value.end(), [](char Letter) {
                 return (Letter >= 'A' && Letter <= 'Z') || Letter == '-';
               });
  return Legal ? "" : "is not a method in capital letters";
}

std::optional<QueryFault> addParameter(Parameters &Found,
                                       const std::string &Name,
                                       const std::string &Value) {
  const char *Problem = problemOf(Name, Value);
  if (!Problem)
    return QueryFault{Name, Value, "is not known"};
  if (*Problem)
    return QueryFault{Name, Value, Problem};
  if (!Found.emplace(Name, Value).second)
    return QueryFault{Name, Value, "is there twice"};
  return std::nullopt;
}

std::optional<QueryFault> readQuery(std::string_view Target,
                                    Parameters &Found) {
  std::size_t Mark = Target.find('?');
  std::string Query(Mark == std::string_view::npos ? ""
                                                   : Target.substr(Mark + 1));
  QueryFault Unreadable{"query", Query, "cannot be read"};
  // The library's strings end at a zero byte.
  if (Query.find("%00") != std::string::npos)
    return Unreadable;
  evkeyvalq Fields;
  if (evhttp_parse_query_str(Query.c_str(), &Fields) != 0)
    return Unreadable;
  std::optional<QueryFault> Fault;
  for (const evkeyval *Field = Fields.tqh_first; Field && !Fault;
       Field = Field->next.tqe_next)
    Fault = addParameter(Found, Field->key, Field->value);
  evhttp_clear_headers(&Fields);
  for (const char *Needed : {"host", "path"})
    if (!Fault && !Found.count(Needed))
      Fault = QueryFault{Needed, nullptr, "is missing"};
  return Fault;
}

std::int64_t millis(Duration Time) { return Time.count() / 1000; }

double rounded(double Value) { return std::round(Value * 100) / 100; }

HttpResponse jsonResponse(int Status, const json &Body) {
  return {Status,
          {{"Content-Type", "application/json"}},
          Body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
}

json toJson(const AssignmentPreview::Candidate &Candidate, Instant Now) {
  const UpstreamState &Upstream = Candidate.m_upstream;
  json Report;
  if (Upstream.m_reportAt != Instant())
    Report = {{"running", Upstream.m_report.m_running},
              {"waiting", Upstream.m_report.m_waiting},
              {"slowness", rounded(Upstream.m_report.m_slowness)},
              {"ageMs", millis(Now - Upstream.m_reportAt)}};
  json Reason;
  if (Candidate.m_obstacle != Obstacle::None)
    Reason = toString(Candidate.m_obstacle);
  return {
      {"upstream", Upstream.m_record.m_id.value()},
      {"domain", Upstream.m_record.m_domain.value()},
      {"slots", Upstream.m_record.m_slots},
      {"mostInFlight", maxInFlight(Upstream)},
      {"inFlight", Upstream.m_outstanding},
      {"inFlightElsewhere", Upstream.m_peerOutstanding},
      {"pauseMs", millis(std::max(Duration(), Upstream.m_pausedUntil - Now))},
      {"report", Report},
      {"obstacle", Reason}};
}

json refusal(LocalStatus Status, const char *Reason, Duration RetryAfter = {}) {
  json Response = {{"outcome", "refused"},
                   {"status", static_cast<int>(Status)},
                   {"reason", Reason}};
  if (RetryAfter > Duration())
    Response["retryAfterMs"] = millis(RetryAfter);
  return Response;
}

HttpResponse refuseQuery(const QueryFault &Fault) {
  std::string Value =
      Fault.m_value.is_null() ? "" : "=" + Fault.m_value.get<std::string>();
  return jsonResponse(static_cast<int>(LocalStatus::BadRequest),
                      {{"error", "parameter " + Fault.m_parameter + Value +
                                     " " + Fault.m_problem},
                       {"parameter", Fault.m_parameter},
                       {"value", Fault.m_value}});
}

/// Follows the decisions of RequestRelay about one request.
class Explanation {
public:
  Explanation(const RequestDeciders &By, Instant Now) : m_by(By), m_now(Now) {}

  json of(const AskedRequest &Asked) {
    auto Rejection = m_by.m_intake.preview(Asked, m_pending, m_now);
    addRoute();
    if (m_pending.m_team)
      addTeam(*m_pending.m_team);
    if (Rejection) {
      m_result["response"] = refusal(Rejection->m_status, Rejection->m_reason,
                                     Rejection->m_retryAfter);
      return m_result;
    }
    addDecision();
    return m_result;
  }

private:
  void addRoute() {
    const GatewayState &State = m_by.m_state;
    m_result["host"] = State.m_settings.m_host.value();
    if (m_pending.m_configuration)
      m_result["revision"] = m_pending.m_configuration->m_revision.value();
    const RouteRule *Route = m_pending.m_route;
    if (!Route)
      return;
    json Split = json::array();
    for (const RouteTarget &Target : Route->m_targets)
      Split.push_back(
          {{"service", Target.m_service.value()}, {"weight", Target.m_weight}});
    m_result["route"] = {{"name", Route->m_name},
                         {"priority", Route->m_priority},
                         {"latencyGoalMs", millis(Route->m_latencyGoal)},
                         {"timeoutMs", millis(Route->m_timeout)},
                         {"split", Split}};
    if (m_pending.m_service)
      m_result["service"] = m_pending.m_service->m_name.value();
  }

  void addTeam(const TeamPolicy &Team) {
    m_quota = m_by.m_state.m_teamQuota.outlook(
        Team, m_by.m_state.limitSharers(), m_by.m_random, m_now);
    m_result["team"] = {{"name", Team.m_name.value()},
                        {"priority", Team.m_priority},
                        {"partWithinShare",
                         rounded(m_by.m_state.m_teamShares.partWithin(Team))},
                        {"quota", nullptr}};
    if (Team.m_requestRate > 0)
      m_result["team"]["quota"] = {{"ratePerS", Team.m_requestRate},
                                   {"burst", Team.m_burst},
                                   {"left", rounded(m_quota.m_left)},
                                   {"most", rounded(m_quota.m_most)},
                                   {"admitted", m_quota.m_admitted}};
  }

  void addDecision() {
    QueueKey Key = WaitingRequests::queueOf(m_pending, m_by.m_state.m_owners);
    if (m_pending.m_key) {
      m_result["key"] = m_pending.m_key->value();
      m_result["owner"] =
          Key.second.value().empty() ? json() : json(Key.second.value());
    }
    m_pending.m_aboveShare =
        m_pending.m_team &&
        anyWaits(m_by.m_waiting, m_by.m_state.m_peerLoads, Key) &&
        m_by.m_state.m_teamShares.nextAboveShare(*m_pending.m_team);
    if (m_pending.m_team)
      m_result["team"]["aboveShare"] = m_pending.m_aboveShare;
    AssignmentPreview Preview = m_by.m_assignment.preview(m_pending, m_now);
    m_result["candidates"] = json::array();
    for (const auto &Candidate : Preview.m_candidates)
      m_result["candidates"].push_back(toJson(Candidate, m_now));
    ServiceCapacity Capacity = m_by.m_assignment.capacityFor(m_pending, m_now);
    WaitProspect Wait =
        m_by.m_waiting.prospect(m_pending, Key, Capacity, m_now);
    json Response = response(Preview, Capacity, Wait);
    bool AtOnce =
        Response["outcome"] == "sent" || Response["outcome"] == "forwarded";
    m_result["queue"] = {
        {"ahead", static_cast<std::uint64_t>(Wait.m_ahead)},
        {"aheadElsewhere",
         rounded(Capacity.elsewhere(priorityOf(m_pending), 1).m_requests)},
        {"heldForUrgent", m_by.m_assignment.heldForUrgent(m_pending)},
        {"expectedWaitMs", AtOnce ? 0 : millis(Wait.m_wait)}};
    m_result["response"] = std::move(Response);
  }

  /// As RequestRelay::accept() and tryDispatch() decide.
  json response(const AssignmentPreview &Preview,
                const ServiceCapacity &Capacity,
                const WaitProspect &Wait) const {
    if (m_by.m_suspects.blocked(m_pending.m_fingerprint, m_now))
      return refusal(LocalStatus::Unavailable, "crashes-upstreams");
    if (!m_quota.m_admitted)
      return refusal(LocalStatus::TooManyRequests, "team-quota",
                     m_quota.m_retryAfter);
    const UpstreamAssignment &Assignment = m_by.m_assignment;
    if (Assignment.heldForUrgent(m_pending)) {
      // Waits, whatever upstream is free.
    } else if (Wait.m_ahead < 1 && Preview.m_chosen) {
      if (!Assignment.yieldsToPeers(m_pending, m_now))
        return {{"outcome", "sent"}, {"upstream", Preview.m_chosen->value()}};
    } else if (Wait.m_ahead < 1 && !Preview.m_canWait) {
      if (const ForwardingPeer *Peer =
              Assignment.chooseForwardingPeer(m_pending, m_now))
        return {{"outcome", "forwarded"}, {"host", Peer->m_host.value()}};
      return refusal(LocalStatus::Unavailable, NoUpstreamReason);
    }
    if (Wait.m_refused)
      return refusal(LocalStatus::Unavailable, refusalReason(Capacity));
    return {{"outcome", "queued"}};
  }

  const RequestDeciders &m_by;
  Instant m_now;
  PendingRequest m_pending;
  TeamQuota::Outlook m_quota;
  json m_result;
};

} // namespace

bool asksForExplanation(std::string_view Target) {
  return Target.substr(0, Target.find('?')) == ExplanationPath;
}

HttpResponse explain(const HttpRequest &Request, const RequestDeciders &By,
                     Instant Now) {
  Parameters Found;
  if (auto Fault = readQuery(Request.m_target, Found))
    return refuseQuery(*Fault);
  AskedRequest Asked;
  Asked.m_host = Found["host"];
  Asked.m_target = Found["path"];
  Asked.m_deadline = Found["deadline"];
  Asked.m_key = Found["key"];
  if (Found.count("method"))
    Asked.m_method = Found["method"];
  const auto &Configuration = By.m_state.m_routes.current();
  if (Found.count("team") && Configuration) {
    Asked.m_team = Configuration->m_teams.findByName(TeamId(Found["team"]));
    if (!Asked.m_team)
      return jsonResponse(static_cast<int>(LocalStatus::NotFound),
                          {{"error", "there is no team " + Found["team"]}});
  }
  json Body = Explanation(By, Now).of(Asked);
  bool Unknown = Body["response"].value("reason", "") == "no-route";
  return jsonResponse(Unknown ? static_cast<int>(LocalStatus::NotFound) : 200,
                      Body);
}

} // namespace burdockpulley
