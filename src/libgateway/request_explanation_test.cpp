#include "request_explanation.h"

#include "no_codec.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <set>

using namespace burdockpulley;
using nlohmann::json;

namespace {

Instant at(double Seconds) {
  return Instant(Duration(static_cast<std::int64_t>((1000 + Seconds) * 1e6)));
}

RouteRule route(const std::string &Name, std::vector<RouteTarget> Targets) {
  RouteRule Rule;
  Rule.m_name = Name;
  Rule.m_host = "x.example";
  Rule.m_prefix = "/" + Name + "/";
  Rule.m_latencyGoal = std::chrono::milliseconds(300);
  Rule.m_timeout = std::chrono::seconds(2);
  Rule.m_targets = std::move(Targets);
  return Rule;
}

std::shared_ptr<RoutingConfiguration> configuration() {
  auto Result = std::make_shared<RoutingConfiguration>();
  Result->m_revision = Revision(7);
  for (const char *Name : {"fee", "herd", "toll"}) {
    ServicePolicy &Policy = Result->m_services[ServiceId(Name)];
    Policy.m_name = ServiceId(Name);
    Policy.m_keyed = Policy.m_name.value() == "herd";
    Policy.m_coldRate = 1;
  }
  Result->m_routes = {
      route("fee", {{ServiceId("fee")}}), route("herd", {{ServiceId("herd")}}),
      route("split", {{ServiceId("fee"), 1}, {ServiceId("toll"), 3}})};
  return Result;
}

struct FreeBase {
  void operator()(event_base *Base) const { event_base_free(Base); }
};

/// The deciding parts of a host, without connections.
struct Host {
  explicit Host(
      std::shared_ptr<RoutingConfiguration> Configuration = configuration()) {
    m_state.m_routes.apply(std::move(Configuration));
  }

  UpstreamState &add(const std::string &Id, const std::string &Service = "fee",
                     const std::string &Domain = "a") {
    UpstreamRecord Record;
    Record.m_id = UpstreamId(Id);
    Record.m_service = ServiceId(Service);
    Record.m_domain = DomainId(Domain);
    Record.m_slots = 2;
    m_state.m_registry.onRecord(Record, at(0));
    return *m_state.m_registry.find(Record.m_id);
  }

  void own(const std::string &Owner) {
    KeyTable Table;
    Table.m_service = ServiceId("herd");
    Table.m_version = 1;
    KeyRange All;
    All.m_last = ShardKeyCount - 1;
    All.m_owner = UpstreamId(Owner);
    Table.m_ranges = {All};
    m_state.m_owners.apply(Table, {});
  }

  RequestDeciders deciders() const {
    return {m_state, m_intake, m_suspects, m_assignment, m_waiting, m_random};
  }

  HttpResponse ask(const std::string &Query, double Seconds = 1) const {
    return explain({"GET", "/explain?" + Query, {}, "", ""}, deciders(),
                   at(Seconds));
  }
  json told(const std::string &Query, double Seconds = 1) const {
    HttpResponse Response = ask(Query, Seconds);
    BOOST_TEST_INFO(Response.m_body);
    BOOST_REQUIRE(Response.m_status == 200);
    return json::parse(Response.m_body);
  }

  /// A new request of a caller for \p Path.
  std::unique_ptr<PendingRequest> request(const std::string &Path,
                                          const std::string &Key = "") {
    auto Pending = std::make_unique<PendingRequest>();
    AskedRequest Asked;
    Asked.m_host = "x.example";
    Asked.m_target = Path;
    Asked.m_key = Key;
    BOOST_REQUIRE(!m_intake.preview(Asked, *Pending, at(1)));
    Pending->m_number = RequestNumber(++m_requests);
    return Pending;
  }

  std::unique_ptr<event_base, FreeBase> m_base{event_base_new()};
  NoCodec m_codec;
  GatewayState m_state{m_base.get(), GatewaySettings(), m_codec};
  ServiceTimes m_times;
  RequestForwarder m_forwarder{m_state};
  RequestIntake m_intake{m_state, m_times};
  CrashSuspects m_suspects;
  ServiceReserves m_reserves{m_state.m_registry, m_state.m_peerLoads,
                             m_state.m_workTimes};
  UpstreamAssignment m_assignment{m_state, m_forwarder, m_reserves};
  WaitingRequests m_waiting{m_state.m_registry};
  std::mt19937_64 m_random{5};
  std::uint64_t m_requests = 0;
};

const std::string Fee = "host=x.example&path=/fee/x";
const std::string Herd = "host=x.example&path=/herd/x&key=9";

/// The obstacles by upstream.
std::map<std::string, std::string> obstacles(const json &Told) {
  std::map<std::string, std::string> Result;
  for (const json &Candidate : Told["candidates"])
    Result[Candidate["upstream"]] =
        Candidate["obstacle"].is_null()
            ? ""
            : Candidate["obstacle"].get<std::string>();
  return Result;
}

} // namespace

// An operator who is told nothing, or another reason than the host goes by,
// looks for the cause in the wrong place.
BOOST_AUTO_TEST_CASE(each_reason_against_a_candidate_is_named) {
  Host Asked;
  Asked.add("fine");
  Asked.add("leaving").m_saidLeaving = true;
  Asked.add("out", "fee", "b");
  Asked.m_state.m_registry.setDomainOut(DomainId("b"), true, {}, at(0));
  Asked.add("lost");
  Asked.m_state.m_registry.onUnreachable(UpstreamId("lost"), at(0.5));
  Asked.add("paused").m_pausedUntil = at(2);
  Asked.add("cold").m_coldUntil = at(9);
  Asked.add("full").m_peerOutstanding = 3;
  Asked.add("limited").m_requestLimit.m_rate = 1;
  Asked.add("toll-a", "toll");
  json Told = Asked.told(Fee);
  std::map<std::string, std::string> Expected = {{"fine", ""},
                                                 {"leaving", "leaving"},
                                                 {"out", "out-of-service"},
                                                 {"lost", "unreachable"},
                                                 {"paused", "paused"},
                                                 {"cold", "cold"},
                                                 {"full", "no-capacity"},
                                                 {"limited", "request-limit"}};
  BOOST_TEST((obstacles(Told) == Expected));
  BOOST_TEST(Told["response"].dump() ==
             R"({"outcome":"sent","upstream":"fine"})");
  BOOST_TEST(Told["route"]["name"] == "fee");
  BOOST_TEST(Told["service"] == "fee");
  BOOST_TEST(Told["revision"] == 7);
}

// Slots that look free are kept for others: without being told so, an operator
// takes the upstreams for the cause.
BOOST_AUTO_TEST_CASE(a_request_held_for_urgent_ones_is_told_so) {
  auto Configuration = configuration();
  Configuration->m_routes.front().m_priority = 2;
  Host Asked(std::move(Configuration));
  constexpr int Upstreams = 16; // Two slots each.
  for (int Number = 0; Number < Upstreams; ++Number)
    Asked.add("fee-" + std::to_string(Number));
  BOOST_TEST(!Asked.told(Fee)["queue"]["heldForUrgent"].get<bool>());
  const ServiceId Service("fee");
  std::uint32_t Priority = priorityOf(*Asked.request("/fee/x"));
  BOOST_REQUIRE(Priority > 1u);
  for (int Arrived = 0; Arrived < 500; ++Arrived) {
    Asked.m_reserves.onArrival(Service, 0, std::chrono::milliseconds(100),
                               at(1));
    Asked.m_reserves.onArrival(Service, Priority,
                               std::chrono::milliseconds(100), at(1));
  }
  Asked.m_reserves.update({}, at(1));
  json Told = Asked.told(Fee);
  BOOST_TEST(Told["queue"]["heldForUrgent"].get<bool>());
  BOOST_TEST(Told["response"]["outcome"] != "sent");
  BOOST_TEST(obstacles(Told)["fee-0"] == "");
}

BOOST_AUTO_TEST_CASE(a_load_report_is_told_with_its_age) {
  Host Asked;
  UpstreamState &Upstream = Asked.add("fee-a");
  BOOST_TEST(Asked.told(Fee)["candidates"][0]["report"].is_null());
  Upstream.m_report = {2, 1, 1.5};
  Upstream.m_reportAt = at(0.88);
  Upstream.m_outstanding = 1;
  json Candidate = Asked.told(Fee)["candidates"][0];
  BOOST_TEST(Candidate["report"].dump() ==
             R"({"ageMs":120,"running":2,"slowness":1.5,"waiting":1})");
  BOOST_TEST(Candidate["slots"] == 2);
  BOOST_TEST(Candidate["inFlight"] == 1);
}

BOOST_AUTO_TEST_CASE(a_refusal_for_lack_of_upstreams_is_foretold) {
  Host Asked;
  json Response = Asked.told(Fee)["response"];
  BOOST_TEST(Response.dump() ==
             R"({"outcome":"refused","reason":"no-upstream","status":503})");
  // Paused for longer than the deadline allows.
  Asked.add("fee-a").m_pausedUntil = at(8);
  BOOST_TEST(Asked.told(Fee)["response"]["reason"] == "upstream-pause");
}

BOOST_AUTO_TEST_CASE(the_owner_of_a_key_is_the_only_candidate) {
  Host Asked;
  UpstreamState &Owner = Asked.add("herd-a", "herd");
  Asked.add("herd-b", "herd");
  json Told = Asked.told(Herd);
  BOOST_TEST(Told["owner"].is_null());
  BOOST_TEST(Told["candidates"].empty());
  BOOST_TEST(Told["response"]["outcome"] == "queued");
  Asked.own("herd-a");
  using Expected = std::map<std::string, std::string>;
  Told = Asked.told(Herd);
  BOOST_TEST(Told["owner"] == "herd-a");
  BOOST_TEST(Told["key"] == 9);
  BOOST_TEST((obstacles(Told) == Expected{{"herd-a", ""}}));
  BOOST_TEST(Told["response"]["upstream"] == "herd-a");
  Owner.m_outstanding = 3;
  Told = Asked.told(Herd);
  BOOST_TEST((obstacles(Told) == Expected{{"herd-a", "no-capacity"}}));
  BOOST_TEST(Told["response"]["outcome"] == "queued");
  BOOST_TEST(Told["queue"]["expectedWaitMs"].get<int>() > 0);
  Asked.m_state.m_registry.onUnreachable(UpstreamId("herd-a"), at(0.5));
  Told = Asked.told(Herd);
  BOOST_TEST((obstacles(Told) == Expected{{"herd-a", "unreachable"}}));
  BOOST_TEST(Told["response"]["reason"] == "no-upstream");
  // Without a key, the request itself is wrong.
  BOOST_TEST(Asked.told("host=x.example&path=/herd/x")["response"]["status"] ==
             400);
}

BOOST_AUTO_TEST_CASE(the_place_in_the_queue_is_told) {
  Host Asked;
  Asked.add("fee-a").m_outstanding = 3;
  std::vector<std::unique_ptr<PendingRequest>> Waiting;
  for (int Count = 0; Count < 4; ++Count) {
    json Queue = Asked.told(Fee)["queue"];
    BOOST_TEST(Queue["ahead"] == Count);
    // 100 ms of work for each, on two slots.
    BOOST_TEST(Queue["expectedWaitMs"] == Count * 50);
    Waiting.push_back(Asked.request("/fee/x"));
    QueueKey Key =
        WaitingRequests::queueOf(*Waiting.back(), Asked.m_state.m_owners);
    ServiceCapacity Capacity =
        Asked.m_assignment.capacityFor(*Waiting.back(), at(1));
    BOOST_REQUIRE(!Asked.m_waiting.add(*Waiting.back(), Key, Capacity, at(1)));
  }
  // Those that miss their latency goal by now go behind a new one, although
  // the queue has not been looked at since.
  BOOST_TEST(Asked.told(Fee, 1.25)["queue"]["ahead"] == 0);
  BOOST_TEST(Asked.told(Fee)["queue"]["ahead"] == 4);
}

BOOST_AUTO_TEST_CASE(unknown_paths_and_teams_are_not_found) {
  Host Asked;
  HttpResponse Response = Asked.ask("host=x.example&path=/none/");
  BOOST_TEST(Response.m_status == 404);
  BOOST_TEST(json::parse(Response.m_body)["response"]["reason"] == "no-route");
  Response = Asked.ask(Fee + "&team=none");
  BOOST_TEST(Response.m_status == 404);
  BOOST_TEST(json::parse(Response.m_body)["error"] == "there is no team none");
}

BOOST_AUTO_TEST_CASE(a_team_over_its_quota_is_told_so) {
  auto Configuration = configuration();
  TeamPolicy Team;
  Team.m_name = TeamId("blue");
  Team.m_requestRate = 10;
  Team.m_burst = 5;
  BOOST_REQUIRE(!Configuration->m_teams.add(Team, {"secret-1"}));
  const TeamPolicy &Known = *Configuration->m_teams.findByName(Team.m_name);
  Host Asked(Configuration);
  Asked.add("fee-a");
  BOOST_TEST(Asked.told(Fee)["response"].dump() ==
             R"({"outcome":"refused","reason":"no-api-key","status":401})");
  TeamQuota &Quota = Asked.m_state.m_teamQuota;
  LimitSharers Sharers = Asked.m_state.limitSharers();
  Quota.admit(Known, Sharers, Asked.m_random, at(0));
  json Told = Asked.told(Fee + "&team=blue");
  BOOST_TEST(Told["team"]["quota"]["admitted"] == true);
  BOOST_TEST(Told["team"]["quota"]["left"] == 10.0);
  BOOST_TEST(Told["response"]["outcome"] == "sent");
  for (int Count = 0; Count < 10; ++Count)
    BOOST_TEST(Quota.admit(Known, Sharers, Asked.m_random, at(1)));
  std::string Text = Asked.ask(Fee + "&team=blue").m_body;
  Told = json::parse(Text);
  BOOST_TEST(Told["response"]["status"] == 429);
  BOOST_TEST(Told["response"]["reason"] == "team-quota");
  BOOST_TEST(Told["team"]["quota"]["left"] == 0.0);
  BOOST_TEST(Text.find("secret-1") == std::string::npos);
  BOOST_TEST(!Quota.admit(Known, Sharers, Asked.m_random, at(1)));
  BOOST_TEST(Told["response"]["retryAfterMs"] ==
             Quota.retryAfter(Known, Sharers).count() / 1000);
}

BOOST_AUTO_TEST_CASE(the_next_part_of_a_split_is_told) {
  Host Asked;
  Asked.add("fee-a");
  Asked.add("toll-a", "toll");
  json Told = Asked.told("host=x.example&path=/split/x");
  BOOST_TEST(Told["route"]["split"].dump() ==
             R"([{"service":"fee","weight":1.0},)"
             R"({"service":"toll","weight":3.0}])");
  BOOST_TEST(Told["service"] == "toll");
}

// A mistyped parameter that is ignored gives the answer to another question.
BOOST_AUTO_TEST_CASE(an_invalid_query_is_refused_with_name_and_value) {
  Host Asked;
  const std::pair<std::string, std::string> Cases[] = {
      {"", R"(host null)"},
      {"host=x.example", R"(path null)"},
      {"path=/fee/", R"(host null)"},
      {Fee + "&kee=3", R"(kee "3")"},
      {Fee + "&team=a&team=b", R"(team "b")"},
      {Fee + "&key=65536", R"(key "65536")"},
      {Fee + "&key=-1", R"(key "-1")"},
      {Fee + "&key=", R"(key "")"},
      {Fee + "&deadline=3600001", R"(deadline "3600001")"},
      {Fee + "&deadline=1s", R"(deadline "1s")"},
      {Fee + "&method=get", R"(method "get")"},
      {Fee + "&team=", R"(team "")"},
      {"host=x&path=fee", R"(path "fee")"},
      {"host=x&path=/a%20b", R"(path "/a b")"},
      {"host=x&path=/a%0Ab", R"(path "/a\nb")"},
      {"host=x&path=/a%00b", R"(query "host=x&path=/a%00b")"},
      {"host", R"(query "host")"}};
  for (const auto &[Query, Expected] : Cases)
    BOOST_TEST_CONTEXT(Query) {
      HttpResponse Response = Asked.ask(Query);
      BOOST_TEST(Response.m_status == 400);
      json Body = json::parse(Response.m_body);
      BOOST_TEST(Body["parameter"].get<std::string>() + " " +
                     Body["value"].dump() ==
                 Expected);
    }
}

// Drawing a random number or a share of a limit for an explanation would change
// where later requests go; so would judging the pace of an upstream early.
BOOST_AUTO_TEST_CASE(asking_a_thousand_times_changes_no_later_decision) {
  for (bool Paced : {false, true}) {
    Host Asked;
    Asked.m_state.m_settings.m_paceUpstreams = Paced;
    for (const char *Id : {"fee-a", "fee-b", "fee-c", "fee-d"})
      Asked.add(Id).m_requestLimit.m_rate = 200;
    UpstreamState &Cold = Asked.add("fee-cold");
    Cold.m_coldUntil = at(9);
    Cold.m_joinedLate = true; // With paces, one begins.
    Asked.m_state.m_registeredHosts = 3;
    std::string Metrics = Asked.m_state.m_metrics.text();
    std::set<std::string> Chosen;
    int Sent = 0;
    for (int Step = 0; Step < 200; ++Step) {
      double Seconds = 1 + Step * 0.01;
      std::string First = Asked.ask(Fee, Seconds).m_body;
      int Repeats = Step == 100 ? 1000 : 3;
      for (int Repeat = 0; Repeat < Repeats; ++Repeat)
        BOOST_REQUIRE(Asked.ask(Fee, Seconds).m_body == First);
      json Response = json::parse(First)["response"];
      auto Pending = Asked.request("/fee/x");
      bool CanWait = false;
      UpstreamState *Upstream =
          Asked.m_assignment.chooseUpstream(*Pending, CanWait, at(Seconds));
      BOOST_REQUIRE((Response["outcome"] == "sent") == (Upstream != nullptr));
      if (!Upstream)
        continue;
      BOOST_REQUIRE(Response["upstream"] == Upstream->m_record.m_id.value());
      Chosen.insert(Upstream->m_record.m_id.value());
      Asked.m_assignment.onSend(*Pending, *Upstream, at(Seconds));
      ++Sent;
    }
    BOOST_TEST(Sent > 50);
    BOOST_TEST(Chosen.size() > 3u);
    BOOST_TEST(Asked.m_state.m_metrics.text() == Metrics);
  }
}

BOOST_AUTO_TEST_CASE(a_paced_upstream_is_named) {
  Host Asked;
  Asked.m_state.m_settings.m_paceUpstreams = true;
  UpstreamState &Upstream = Asked.add("fee-a");
  bool CanWait = false;
  BOOST_REQUIRE(Asked.m_assignment.chooseUpstream(*Asked.request("/fee/x"),
                                                  CanWait, at(1)));
  // It restarts: a pace begins that allows two requests.
  Upstream.m_record.m_incarnation = UpstreamIncarnation(5);
  Upstream.m_paceSettled = false;
  Upstream.m_outstanding = 2;
  json Told = Asked.told(Fee);
  BOOST_TEST(obstacles(Told)["fee-a"] == "paced");
  BOOST_TEST(Told["response"]["outcome"] == "queued");
  // It begins with the next request, not with the question.
  BOOST_TEST(!Upstream.m_paceLimit.has_value());
}

BOOST_AUTO_TEST_CASE(only_the_path_of_explanations_asks_for_one) {
  BOOST_TEST(asksForExplanation("/explain"));
  BOOST_TEST(asksForExplanation("/explain?host=x"));
  BOOST_TEST(!asksForExplanation("/metrics?/explain"));
  BOOST_TEST(!asksForExplanation("/explained"));
}
