#include "burdockpulley/attempt_policy.h"
#include "burdockpulley/crash_suspects.h"
#include "burdockpulley/key_owners.h"
#include "burdockpulley/peer_loads.h"
#include "burdockpulley/route_table.h"
#include "burdockpulley/shared_limits.h"
#include "burdockpulley/stop_plan.h"
#include "burdockpulley/upstream_selection.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>

using namespace burdockpulley;

namespace {

Instant at(double Seconds) {
  return Instant(Duration(static_cast<std::int64_t>((1000 + Seconds) * 1e6)));
}

UpstreamRecord record(const char *Id, const char *Domain = "a",
                      std::int64_t Incarnation = 1,
                      std::uint64_t Sequence = 1) {
  UpstreamRecord Record;
  Record.m_id = UpstreamId(Id);
  Record.m_service = ServiceId("fee");
  Record.m_domain = DomainId(Domain);
  Record.m_slots = 4;
  Record.m_incarnation = UpstreamIncarnation(Incarnation);
  Record.m_sequence = Sequence;
  return Record;
}

std::shared_ptr<RoutingConfiguration> configuration(std::uint64_t Number) {
  auto Configuration = std::make_shared<RoutingConfiguration>();
  Configuration->m_revision = Revision(Number);
  for (const char *Prefix : {"/a/", "/a/b/"}) {
    RouteRule Rule;
    Rule.m_name = Prefix;
    Rule.m_host = "X.example";
    Rule.m_prefix = Prefix;
    Rule.m_targets = {{ServiceId("fee"), 1}};
    Configuration->m_routes.push_back(Rule);
  }
  return Configuration;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins) {
  RouteTable Table;
  BOOST_TEST(Table.find("x.example", "/a/") == nullptr);
  BOOST_TEST(Table.apply(configuration(3)));
  BOOST_TEST(Table.find("x.EXAMPLE:80", "/a/b/c?d")->m_prefix == "/a/b/");
  BOOST_TEST(Table.find("x.example", "/a/bc")->m_prefix == "/a/");
  BOOST_TEST(Table.find("x.example", "/b/") == nullptr);
  BOOST_TEST(Table.find("y.example", "/a/") == nullptr);
}

BOOST_AUTO_TEST_CASE(an_older_or_equal_configuration_is_refused) {
  RouteTable Table;
  BOOST_TEST(Table.apply(configuration(3)));
  BOOST_TEST(!Table.apply(configuration(2)));
  BOOST_TEST(!Table.apply(configuration(3)));
  BOOST_TEST(Table.current()->m_revision.value() == 3u);
}

BOOST_AUTO_TEST_CASE(each_target_of_a_route_receives_its_weight) {
  BOOST_TEST(rc::check([] {
    RouteRule Rule;
    Rule.m_name = "r";
    auto Weights = *rc::gen::container<std::vector<int>>(
        *rc::gen::inRange(2, 5), rc::gen::inRange(1, 100));
    double Sum = 0;
    for (std::size_t I = 0; I < Weights.size(); ++I) {
      Rule.m_targets.push_back(
          {ServiceId("s" + std::to_string(I)), double(Weights[I])});
      Sum += Weights[I];
    }
    TrafficSplitter Splitter;
    std::map<ServiceId, int> Counts;
    for (int Total = 1; Total <= 400; ++Total) {
      ++Counts[Splitter.next(Rule).m_service];
      for (const RouteTarget &Target : Rule.m_targets)
        RC_ASSERT(std::abs(Counts[Target.m_service] -
                           Total * Target.m_weight / Sum) <= 2);
    }
  }));
}

BOOST_AUTO_TEST_CASE(only_an_upstream_itself_says_that_it_has_not_run) {
  for (int Status = 200; Status < 600; ++Status) {
    bool Promises =
        Status == 408 || Status == 421 || Status == 429 || Status == 503;
    for (bool Keyed : {false, true}) {
      AttemptOutcome Silent = outcomeOfResponse(Status, false, Keyed);
      bool Delivered = Silent == AttemptOutcome::Answered ||
                       Silent == AttemptOutcome::ServerError;
      BOOST_TEST(Delivered == !Promises);
      bool NotRun = Silent == AttemptOutcome::NotRun ||
                    Silent == AttemptOutcome::WrongOwner;
      BOOST_TEST(NotRun == (Status == 421));
      AttemptOutcome Stated = outcomeOfResponse(Status, true, Keyed);
      BOOST_TEST((Stated == (Status == 421 && Keyed ? AttemptOutcome::WrongOwner
                                                    : AttemptOutcome::NotRun)));
    }
  }
}

BOOST_AUTO_TEST_CASE(
    a_request_that_may_have_run_is_neither_retried_nor_reported_not_run) {
  BOOST_TEST(rc::check([] {
    AttemptFacts Facts;
    Facts.m_outcome =
        *rc::gen::element(AttemptOutcome::Answered, AttemptOutcome::ServerError,
                          AttemptOutcome::NotSent, AttemptOutcome::NotRun,
                          AttemptOutcome::WrongOwner, AttemptOutcome::Unknown,
                          AttemptOutcome::TimedOut);
    Facts.m_idempotent = *rc::gen::arbitrary<bool>();
    Facts.m_keyed = *rc::gen::arbitrary<bool>();
    Facts.m_mayHaveRun = *rc::gen::arbitrary<bool>();
    Facts.m_otherUpstream = *rc::gen::arbitrary<bool>();
    Facts.m_sent = *rc::gen::inRange(0U, 5U);
    Facts.m_maxAttempts = *rc::gen::inRange(1U, 4U);
    Facts.m_left = Duration(*rc::gen::inRange(-1000, 1'000'000));
    Facts.m_workTime = Duration(60'000);
    AttemptAction Action = decideNextAction(Facts);
    bool MayHaveRun = Facts.m_mayHaveRun ||
                      Facts.m_outcome == AttemptOutcome::Unknown ||
                      Facts.m_outcome == AttemptOutcome::TimedOut ||
                      Facts.m_outcome == AttemptOutcome::ServerError;
    bool IsRetry = Action == AttemptAction::Retry ||
                   Action == AttemptAction::RetryFree ||
                   Action == AttemptAction::AwaitOwner;
    RC_ASSERT(!(IsRetry && MayHaveRun && !Facts.m_idempotent));
    RC_ASSERT(!(Action == AttemptAction::RefuseNotRun && MayHaveRun));
    RC_ASSERT(!(IsRetry && Facts.m_outcome != AttemptOutcome::NotSent &&
                Facts.m_sent >= Facts.m_maxAttempts));
    if (Facts.m_outcome == AttemptOutcome::Answered)
      RC_ASSERT(Action == AttemptAction::Deliver);
  }));
}

BOOST_AUTO_TEST_CASE(all_hosts_together_stay_within_the_retry_budget) {
  BOOST_TEST(rc::check([](std::uint32_t Seed) {
    std::mt19937_64 Random(Seed);
    std::size_t Hosts = 1 + Random() % 12;
    SharedRetryBudget::Settings Settings;
    std::vector<SharedRetryBudget> Budgets(
        Hosts, SharedRetryBudget(Settings, at(-60)));
    std::deque<double> Requests;
    std::deque<double> Retries;
    for (double Now = 0; Now < 30; Now += 0.02) {
      auto &Budget = Budgets[Random() % Hosts];
      if (Random() % 3 == 0) {
        Budget.onRequest(at(Now));
        Requests.push_back(Now);
      }
      if (Budget.take(Hosts, at(Now)))
        Retries.push_back(Now);
      while (!Requests.empty() && Requests.front() < Now - 10)
        Requests.pop_front();
      while (!Retries.empty() && Retries.front() < Now - 10)
        Retries.pop_front();
      RC_ASSERT(Retries.size() <=
                Settings.m_ratio * Requests.size() + Settings.m_allowance);
    }
  }));
}

// Restarted hosts spent their shares again and again.
BOOST_AUTO_TEST_CASE(hosts_that_restart_stay_within_the_retry_budget) {
  BOOST_TEST(rc::check([](std::uint32_t Seed) {
    std::mt19937_64 Random(Seed);
    std::size_t Hosts = 1 + Random() % 30;
    double RestartsPerSecond = 0.1 * static_cast<double>(Random() % 100);
    SharedRetryBudget::Settings Settings;
    std::vector<SharedRetryBudget> Budgets(
        Hosts, SharedRetryBudget(Settings, at(-60)));
    std::deque<double> Requests;
    std::deque<double> Retries;
    std::bernoulli_distribution Restarts(RestartsPerSecond * 0.02);
    for (double Now = 0; Now < 30; Now += 0.02) {
      for (SharedRetryBudget &Budget : Budgets)
        if (Restarts(Random))
          Budget = SharedRetryBudget(Settings, at(Now));
      auto &Budget = Budgets[Random() % Hosts];
      if (Random() % 3 == 0) {
        Budget.onRequest(at(Now));
        Requests.push_back(Now);
      }
      for (SharedRetryBudget &Each : Budgets)
        if (Each.take(Hosts, at(Now)))
          Retries.push_back(Now);
      while (!Requests.empty() && Requests.front() < Now - 10)
        Requests.pop_front();
      while (!Retries.empty() && Retries.front() < Now - 10)
        Retries.pop_front();
      RC_ASSERT(Retries.size() <=
                Settings.m_ratio * Requests.size() + Settings.m_allowance);
    }
  }));
}

BOOST_AUTO_TEST_CASE(
    all_hosts_together_stay_within_the_rate_of_a_cold_upstream) {
  constexpr std::size_t Hosts = 10;
  constexpr double Rate = 19;
  std::vector<ColdStartLimiter> Limiters(Hosts);
  std::deque<double> Sent;
  for (double Now = 0; Now < 10; Now += 0.001)
    for (ColdStartLimiter &Limiter : Limiters) {
      if (!Limiter.available(Rate, Hosts, at(Now)))
        continue;
      Limiter.take();
      Sent.push_back(Now);
      while (Sent.front() < Now - 1)
        Sent.pop_front();
      // A cold upstream can handle 1.5 times its rate plus 5 in a second.
      BOOST_REQUIRE(Sent.size() <= Rate * 1.5 + 5);
    }
}

BOOST_AUTO_TEST_CASE(
    many_hosts_that_send_a_burst_to_a_cold_upstream_stay_within_its_rate) {
  constexpr std::size_t Hosts = 100;
  constexpr double Rate = 4.3;
  std::mt19937_64 Random(20261204);
  std::uniform_real_distribution<double> Phase(0, 1);
  std::vector<ColdStartLimiter> Limiters;
  for (std::size_t Count = 0; Count < Hosts; ++Count)
    Limiters.emplace_back(Phase(Random));
  std::deque<double> Sent;
  std::size_t SentInTotal = 0;
  // All hosts know the upstream from the start; the burst comes after 60 s.
  for (ColdStartLimiter &Limiter : Limiters)
    Limiter.available(Rate, Hosts, at(0));
  for (double Now = 60; Now < 90; Now += 0.01)
    for (ColdStartLimiter &Limiter : Limiters) {
      if (!Limiter.available(Rate, Hosts, at(Now)))
        continue;
      Limiter.take();
      ++SentInTotal;
      Sent.push_back(Now);
      while (Sent.front() < Now - 1)
        Sent.pop_front();
      BOOST_REQUIRE(Sent.size() <= Rate * 1.5 + 5);
    }
  // Most of the upstream's rate is used.
  BOOST_TEST(SentInTotal > 30 * Rate * 0.6);
}

BOOST_AUTO_TEST_CASE(an_older_record_of_the_same_start_takes_nothing_back) {
  UpstreamRegistry Registry;
  Registry.onRecord(record("u", "a", 5, 10), at(0));
  UpstreamRecord Draining = record("u", "a", 5, 12);
  Draining.m_draining = true;
  Registry.onRecord(Draining, at(1));
  UpstreamState &Upstream = *Registry.find(UpstreamId("u"));
  // As after a restore of the store.
  Registry.onRecord(record("u", "a", 5, 11), at(2));
  BOOST_TEST(Upstream.leaving());
  Registry.onRecord(record("u", "a", 6, 1), at(3));
  BOOST_TEST(!Upstream.leaving());
}

BOOST_AUTO_TEST_CASE(a_record_of_an_earlier_incarnation_is_ignored) {
  UpstreamRegistry Registry;
  using Change = UpstreamRegistry::Change;
  BOOST_TEST((Registry.onRecord(record("u", "a", 5), at(0)) == Change::Joined));
  BOOST_TEST(
      (Registry.onRecord(record("u", "a", 9), at(1)) == Change::Restarted));
  BOOST_TEST((Registry.onRecord(record("u", "a", 5), at(2)) == Change::None));
  BOOST_TEST(Registry.find(UpstreamId("u"))->m_record.m_incarnation.value() ==
             9);
}

BOOST_AUTO_TEST_CASE(
    a_record_lost_by_the_store_is_kept_if_it_comes_back_in_time) {
  UpstreamRegistry Registry;
  UpstreamId Kept("kept");
  UpstreamId Lost("lost");
  Registry.onRecord(record("kept"), at(0));
  Registry.onRecord(record("lost"), at(0));
  Registry.holdRemovals(at(12));
  BOOST_TEST(Registry.onRemoved(Kept, at(10)) == nullptr);
  BOOST_TEST(Registry.onRemoved(Lost, at(10)) == nullptr);
  Registry.onRecord(record("kept", "a", 1, 2), at(11));
  BOOST_TEST(Registry.sweep(at(11.9)).empty());
  BOOST_TEST(Registry.sweep(at(12.1)).size() == 1u);
  BOOST_TEST(Registry.usable(*Registry.find(Kept)));
  BOOST_TEST(!Registry.usable(*Registry.find(Lost)));
}

BOOST_AUTO_TEST_CASE(
    a_record_replaced_by_an_unreadable_entry_is_not_kept_for_ever) {
  UpstreamRegistry Registry;
  UpstreamId Ended("ended");
  UpstreamId Alive("alive");
  Registry.onRecord(record("ended"), at(0));
  Registry.onRecord(record("alive"), at(0));
  Registry.onUnreadable(Ended, at(3));
  Registry.onUnreadable(Alive, at(3));
  Registry.onUnreadable(UpstreamId("unknown"), at(3));
  BOOST_TEST(Registry.usable(*Registry.find(Ended)));
  Registry.onRecord(record("alive", "a", 1, 2), at(2));
  // Written again and again, it changes nothing.
  Registry.onUnreadable(Ended, at(5));
  BOOST_TEST(Registry.sweep(at(2.9)).empty());
  std::vector<UpstreamId> Removed = Registry.sweep(at(3.1));
  BOOST_REQUIRE(Removed.size() == 1u);
  BOOST_TEST(Removed[0].value() == "ended");
  BOOST_TEST(!Registry.usable(*Registry.find(Ended)));
  BOOST_TEST(Registry.usable(*Registry.find(Alive)));
  Registry.onRecord(record("ended", "a", 1, 3), at(4));
  BOOST_TEST(Registry.usable(*Registry.find(Ended)));
}

BOOST_AUTO_TEST_CASE(
    an_unreadable_entry_removes_nothing_while_removals_are_held) {
  UpstreamRegistry Registry;
  UpstreamId Kept("kept");
  Registry.onRecord(record("kept"), at(0));
  Registry.onUnreadable(Kept, at(3));
  Registry.holdRemovals(at(12));
  BOOST_TEST(Registry.sweep(at(4)).empty());
  BOOST_TEST(Registry.usable(*Registry.find(Kept)));
  BOOST_TEST(Registry.sweep(at(12.1)).size() == 1u);
}

BOOST_AUTO_TEST_CASE(
    an_unreachable_upstream_is_used_again_after_a_later_heartbeat) {
  UpstreamRegistry Registry;
  UpstreamId Id("u");
  Registry.onRecord(record("u"), at(0));
  Registry.onUnreachable(Id, at(1));
  BOOST_TEST(!Registry.usable(*Registry.find(Id)));
  Registry.onRecord(record("u", "a", 1, 2), at(1.5));
  BOOST_TEST(Registry.usable(*Registry.find(Id)));
}

BOOST_AUTO_TEST_CASE(
    a_domain_that_is_taken_back_into_service_is_treated_as_cold) {
  UpstreamRegistry Registry;
  Registry.onRecord(record("u", "a"), at(0));
  Registry.setDomainOut(DomainId("a"), true, std::chrono::seconds(3), at(1));
  BOOST_TEST(!Registry.usable(*Registry.find(UpstreamId("u"))));
  Registry.setDomainOut(DomainId("a"), false, std::chrono::seconds(3), at(9));
  BOOST_TEST(Registry.usable(*Registry.find(UpstreamId("u"))));
  BOOST_TEST(Registry.find(UpstreamId("u"))->cold(at(11)));
  BOOST_TEST(!Registry.find(UpstreamId("u"))->cold(at(13)));
}

BOOST_AUTO_TEST_CASE(an_upstream_slowed_by_a_noisy_neighbour_is_avoided) {
  UpstreamRegistry Registry;
  for (const char *Id : {"slow", "fast"})
    Registry.onRecord(record(Id), at(0));
  UpstreamState *Slow = Registry.find(UpstreamId("slow"));
  UpstreamState *Fast = Registry.find(UpstreamId("fast"));
  Slow->m_report = {1, 0, 3.0};
  Slow->m_reportAt = at(10);
  Fast->m_outstanding = 3;
  SelectionRequest Request;
  Request.m_workTime = std::chrono::milliseconds(60);
  Request.m_domain = DomainId("a");
  auto Upstreams = Registry.ofService(ServiceId("fee"));
  auto Selected = selectUpstream(Registry, Upstreams, Request, at(10.1));
  BOOST_TEST(Selected.m_upstream == Fast);
  // The load report of the slow upstream has expired.
  Selected = selectUpstream(Registry, Upstreams, Request, at(11));
  BOOST_TEST(Selected.m_upstream == Slow);
  // Full upstreams are not selected; now both are full.
  Fast->m_peerOutstanding = 3;
  Slow->m_outstanding = 5;
  Selected = selectUpstream(Registry, Upstreams, Request, at(11));
  BOOST_TEST(Selected.m_upstream == nullptr);
  BOOST_TEST(Selected.m_anyUsable);
}

BOOST_AUTO_TEST_CASE(
    an_upstream_that_fails_requests_is_avoided_and_tried_again_later) {
  UpstreamRegistry Registry;
  for (const char *Id : {"failing", "healthy"})
    Registry.onRecord(record(Id), at(0));
  UpstreamState *Failing = Registry.find(UpstreamId("failing"));
  UpstreamState *Healthy = Registry.find(UpstreamId("healthy"));
  Duration Work = std::chrono::milliseconds(60);
  // Half of its requests fail while its health check passes.
  for (int Count = 0; Count < 40; ++Count) {
    if (Count % 2 == 0)
      observeFailure(*Failing, at(1));
    else
      observeServiceTime(*Failing, Work, Work, at(1));
    observeServiceTime(*Healthy, Work, Work, at(1));
  }
  Healthy->m_outstanding = 3;
  SelectionRequest Request;
  Request.m_workTime = Work;
  Request.m_domain = DomainId("a");
  auto Upstreams = Registry.ofService(ServiceId("fee"));
  BOOST_TEST(selectUpstream(Registry, Upstreams, Request, at(1)).m_upstream ==
             Healthy);
  for (double Now = 1; Now < 25; Now += 0.25)
    decayServiceTimeRatio(*Failing, std::chrono::milliseconds(250), at(Now));
  BOOST_TEST(selectUpstream(Registry, Upstreams, Request, at(25)).m_upstream ==
             Failing);
}

BOOST_AUTO_TEST_CASE(large_requests_stay_in_the_failure_domain_of_the_host) {
  UpstreamRegistry Registry;
  Registry.onRecord(record("here", "a"), at(0));
  Registry.onRecord(record("there", "b"), at(0));
  Registry.find(UpstreamId("here"))->m_outstanding = 2;
  SelectionRequest Request;
  Request.m_workTime = std::chrono::milliseconds(60);
  Request.m_domain = DomainId("a");
  Request.m_bytes = 100'000;
  auto Upstreams = Registry.ofService(ServiceId("fee"));
  BOOST_TEST(selectUpstream(Registry, Upstreams, Request, at(1))
                 .m_upstream->m_record.m_id.value() == "here");
}

BOOST_AUTO_TEST_CASE(peers_that_stop_reporting_are_not_counted) {
  UpstreamRegistry Registry;
  Registry.onRecord(record("u"), at(0));
  PeerLoads Peers(Registry);
  PeerLoad Load;
  Load.m_upstreams.push_back({nameHash("u"), 3, 2, 1, 0, false, {}, {}});
  Load.m_waiting[nameHash("fee")] = 7;
  Peers.onLoad(HostId("h1"), Load, at(1));
  Peers.onLoad(HostId("h2"), Load, at(1.5));
  UpstreamState *Upstream = Registry.find(UpstreamId("u"));
  BOOST_TEST(Upstream->m_peerOutstanding == 6u);
  BOOST_TEST(Upstream->m_peerWaiting == 4u);
  BOOST_TEST(Peers.queues(ServiceId("fee")).total() == 14);
  Peers.expire(at(2.8));
  BOOST_TEST(Upstream->m_peerOutstanding == 3u);
  Peers.onLoad(HostId("h2"), PeerLoad(), at(2.9));
  BOOST_TEST(Upstream->m_peerOutstanding == 0u);
  BOOST_TEST(Peers.hosts() == 1u);
}

// At 195 hosts, status messages of other failure domains come every 1.2 s.
BOOST_AUTO_TEST_CASE(one_lost_status_message_drops_no_host_of_a_large_fleet) {
  for (int Hosts : {3, 88, 195, 1100}) {
    UpstreamRegistry Registry;
    PeerLoads Loads(Registry);
    double Interval = std::chrono::duration<double>(
                          statusInterval(static_cast<std::size_t>(Hosts)))
                          .count() *
                      RemoteStatusPeriod;
    for (int Round = 0; Round < 4; ++Round) {
      for (int Host = 0; Host < Hosts; ++Host)
        if (Round != 2 || Host != 0)
          Loads.onLoad(HostId("h" + std::to_string(Host)), {},
                       at(Round * Interval));
      Loads.expire(at((Round + 0.99) * Interval));
      BOOST_TEST(Loads.hosts() == static_cast<std::size_t>(Hosts));
    }
    Loads.expire(at(9 * Interval + 2));
    BOOST_TEST(Loads.hosts() == 0u);
  }
}

BOOST_AUTO_TEST_CASE(kept_connections_of_all_hosts_stay_below_the_limit) {
  for (std::uint32_t Limit : {120U, 550U, 1200U})
    for (std::size_t Hosts : {1U, 10U, 82U, 195U}) {
      std::size_t Kept = keptConnections(Limit, Hosts);
      BOOST_TEST(Kept >= 1u);
      if (Limit > Hosts)
        BOOST_TEST(Kept * Hosts < Limit);
    }
  BOOST_TEST(keptConnections(0, 195) == keptConnections(100'000, 1));
  // More hosts than connections: each needs one for its requests.
  BOOST_TEST(keptConnections(120, 1100) == 1u);
}

BOOST_AUTO_TEST_CASE(an_address_is_taken_by_a_later_start_of_another_upstream) {
  UpstreamRegistry Registry;
  auto Register = [&](const char *Id, std::uint16_t Port, std::int64_t Start) {
    UpstreamRecord Record = record(Id, "a", Start);
    Record.m_address = {"10.0.0.1", Port};
    Registry.onRecord(Record, at(0));
  };
  Register("owner", 7000, 50);
  const UpstreamState &Owner = *Registry.find(UpstreamId("owner"));
  BOOST_TEST(!Registry.addressTaken(Owner));
  Register("other", 7001, 60);
  Register("earlier", 7000, 40);
  BOOST_TEST(!Registry.addressTaken(Owner));
  Register("later", 7000, 60);
  BOOST_TEST(Registry.addressTaken(Owner));
  Registry.onRemoved(UpstreamId("later"), at(1));
  BOOST_TEST(!Registry.addressTaken(Owner));
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_upstreams_is_refused) {
  CrashSuspects Suspects;
  Fingerprint Bad(1);
  for (int Crash = 0; Crash < 3; ++Crash) {
    UpstreamId Upstream("u" + std::to_string(Crash));
    BOOST_TEST(!Suspects.blocked(Bad, at(Crash)));
    Suspects.onInterrupted(Bad, Upstream, at(Crash));
    BOOST_TEST(Suspects.onUpstreamDown(Upstream, at(Crash + 0.5)).size() == 1u);
  }
  BOOST_TEST(Suspects.blocked(Bad, at(4)));
  BOOST_TEST(!Suspects.blocked(Fingerprint(2), at(4)));
  BOOST_TEST(!Suspects.blocked(Bad, at(120)));
  // A connection that broke long before the upstream went down does not count.
  Suspects.onInterrupted(Fingerprint(3), UpstreamId("u"), at(10));
  BOOST_TEST(Suspects.onUpstreamDown(UpstreamId("u"), at(20)).empty());
}

BOOST_AUTO_TEST_CASE(connections_that_a_path_fault_broke_are_no_crashes) {
  CrashSuspects Suspects;
  UpstreamId Upstream("u");
  Suspects.onInterrupted(Fingerprint(1), Upstream, at(1));
  Suspects.onInterrupted(Fingerprint(1), UpstreamId("v"), at(1));
  Suspects.forgetInterruptions(Upstream);
  BOOST_TEST(Suspects.onUpstreamDown(Upstream, at(1.5)).empty());
  BOOST_TEST(Suspects.onUpstreamDown(UpstreamId("v"), at(1.5)).size() == 1u);
}

BOOST_AUTO_TEST_CASE(the_newest_key_table_is_kept_from_whichever_source) {
  auto Table = [](std::uint64_t Version, const char *Owner) {
    KeyTable Keys;
    Keys.m_service = ServiceId("herd");
    Keys.m_version = Version;
    Keys.m_ranges.push_back({0, ShardKeyCount - 1, UpstreamId(Owner),
                             UpstreamIncarnation(1), FencingToken(1), ""});
    return Keys;
  };
  KeyOwners Owners;
  BOOST_TEST(Owners.apply(Table(4, "a"), {0, 2}));
  BOOST_TEST(!Owners.apply(Table(4, "b"), {0, 2}));
  BOOST_TEST(!Owners.apply(Table(3, "b"), {0, 9}));
  BOOST_TEST(Owners.owner(ServiceId("herd"), ShardKey(7)).value() == "a");
  BOOST_TEST(Owners.apply(Table(4, "b"), {0, 3}));
  BOOST_TEST(Owners.apply(Table(5, "c"), {0, 0}));
  BOOST_TEST(Owners.owner(ServiceId("herd"), ShardKey(7)).value() == "c");
}

BOOST_AUTO_TEST_CASE(
    a_key_table_is_decoded_unchanged_and_an_invalid_one_is_refused) {
  BOOST_TEST(rc::check([] {
    KeyTable Table;
    Table.m_service = ServiceId("herd");
    Table.m_version = *rc::gen::inRange(0U, 1U << 30);
    std::uint32_t First = 0;
    while (First < ShardKeyCount) {
      std::uint32_t Last =
          std::min(ShardKeyCount - 1, First + *rc::gen::inRange(0U, 9000U));
      Table.m_ranges.push_back({First, Last,
                                UpstreamId(*rc::gen::arbitrary<std::string>()),
                                UpstreamIncarnation(7), FencingToken(First),
                                *rc::gen::arbitrary<std::string>()});
      First = Last + 1;
    }
    auto Decoded = decodeKeyTable(encodeKeyTable(Table));
    RC_ASSERT(Decoded.has_value());
    RC_ASSERT(encodeKeyTable(*Decoded) == encodeKeyTable(Table));
    Table.m_ranges.pop_back();
    RC_ASSERT(!decodeKeyTable(encodeKeyTable(Table)).has_value());
  }));
  BOOST_TEST(rc::check([](const std::string &Bytes) {
    decodeKeyTable(Bytes); // Must neither crash nor hang.
  }));
}

// Requests that came late in a planned stop were passed on, and cut at its end.
BOOST_AUTO_TEST_CASE(a_stopping_host_takes_no_request_that_it_would_cut) {
  BOOST_TEST(rc::check([] {
    Duration StopTime =
        std::chrono::milliseconds(*rc::gen::inRange(800, 30'000));
    StopPlan Plan(at(0), StopTime);
    Instant Now = at(0) + StopTime * *rc::gen::inRange(0, 100) / 100;
    Instant Deadline =
        Now + std::chrono::milliseconds(*rc::gen::inRange(0, 5000));
    RC_ASSERT(Plan.endsRequestsAt() < Plan.endsAt());
    RC_ASSERT(Plan.endsAt() < at(0) + StopTime);
    bool Late =
        Now - at(0) > std::min<Duration>(StopTime / 2, std::chrono::seconds(3));
    RC_ASSERT(Plan.mayTake(Deadline, Now) ==
              (!Late || Deadline <= Plan.endsRequestsAt()));
    Duration WorkTime = std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
    if (Plan.mayBegin(WorkTime, Now))
      RC_ASSERT(Now + WorkTime <= Plan.endsRequestsAt());
  }));
  StopPlan Plan(at(0), std::chrono::seconds(6));
  BOOST_TEST(Plan.mayTake(at(9), at(2.9)));
  BOOST_TEST(!Plan.mayTake(at(5.7), at(3.1)));
  BOOST_TEST(Plan.mayTake(at(5.1), at(5)));
  BOOST_TEST(!Plan.mayTake(at(5.3), at(5)));
  BOOST_TEST(Plan.mayBegin(std::chrono::milliseconds(100), at(4.8)));
  BOOST_TEST(!Plan.mayBegin(std::chrono::milliseconds(250), at(4.8)));
}

// With a long stop time, requests were taken for half of it that could last
// longer than the rest.
BOOST_AUTO_TEST_CASE(a_long_stop_takes_no_late_request_that_it_would_cut) {
  StopPlan Plan(at(0), std::chrono::seconds(10));
  BOOST_TEST(Plan.mayTake(at(12.9), at(2.9)));
  BOOST_TEST(!Plan.mayTake(at(13.1), at(3.1)));
  BOOST_TEST(!Plan.mayTake(at(9.7), at(4.9)));
  BOOST_TEST(Plan.mayTake(at(9.1), at(4.9)));
}
