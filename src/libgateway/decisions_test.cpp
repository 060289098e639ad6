#include "burdockpulley/attempt_policy.h"
#include "burdockpulley/crash_suspects.h"
#include "burdockpulley/key_owners.h"
#include "burdockpulley/peer_loads.h"
#include "burdockpulley/route_table.h"
#include "burdockpulley/shared_limits.h"
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
  UpstreamRecord Made;
  Made.m_id = UpstreamId(Id);
  Made.m_service = ServiceId("fee");
  Made.m_domain = DomainId(Domain);
  Made.m_slots = 4;
  Made.m_incarnation = UpstreamIncarnation(Incarnation);
  Made.m_sequence = Sequence;
  return Made;
}

std::shared_ptr<RoutingConfiguration> configuration(std::uint64_t Number) {
  auto Made = std::make_shared<RoutingConfiguration>();
  Made->m_revision = Revision(Number);
  for (const char *Prefix : {"/a/", "/a/b/"}) {
    RouteRule Each;
    Each.m_name = Prefix;
    Each.m_host = "X.example";
    Each.m_prefix = Prefix;
    Each.m_targets = {{ServiceId("fee"), 1}};
    Made->m_routes.push_back(Each);
  }
  return Made;
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

BOOST_AUTO_TEST_CASE(a_configuration_never_goes_back) {
  RouteTable Table;
  BOOST_TEST(Table.apply(configuration(3)));
  BOOST_TEST(!Table.apply(configuration(2)));
  BOOST_TEST(!Table.apply(configuration(3)));
  BOOST_TEST(Table.current()->m_revision.value() == 3u);
}

BOOST_AUTO_TEST_CASE(each_part_of_a_split_route_gets_its_weight) {
  BOOST_TEST(rc::check([] {
    RouteRule Which;
    Which.m_name = "r";
    auto Weights = *rc::gen::container<std::vector<int>>(
        *rc::gen::inRange(2, 5), rc::gen::inRange(1, 100));
    double Sum = 0;
    for (std::size_t I = 0; I < Weights.size(); ++I) {
      Which.m_targets.push_back(
          {ServiceId("s" + std::to_string(I)), double(Weights[I])});
      Sum += Weights[I];
    }
    TrafficSplitter Splitter;
    std::map<ServiceId, int> Counts;
    for (int Total = 1; Total <= 400; ++Total) {
      ++Counts[Splitter.next(Which).m_service];
      for (const RouteTarget &Each : Which.m_targets)
        RC_ASSERT(std::abs(Counts[Each.m_service] -
                           Total * Each.m_weight / Sum) <= 2);
    }
  }));
}

BOOST_AUTO_TEST_CASE(what_may_have_run_is_never_repeated_nor_called_not_run) {
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
    AttemptAction Step = decideNextAction(Facts);
    bool MayHaveRun = Facts.m_mayHaveRun ||
                      Facts.m_outcome == AttemptOutcome::Unknown ||
                      Facts.m_outcome == AttemptOutcome::TimedOut ||
                      Facts.m_outcome == AttemptOutcome::ServerError;
    bool Again = Step == AttemptAction::Retry ||
                 Step == AttemptAction::RetryFree ||
                 Step == AttemptAction::AwaitOwner;
    RC_ASSERT(!(Again && MayHaveRun && !Facts.m_idempotent));
    RC_ASSERT(!(Step == AttemptAction::RefuseNotRun && MayHaveRun));
    RC_ASSERT(!(Again && Facts.m_outcome != AttemptOutcome::NotSent &&
                Facts.m_sent >= Facts.m_maxAttempts));
    if (Facts.m_outcome == AttemptOutcome::Answered)
      RC_ASSERT(Step == AttemptAction::Deliver);
  }));
}

BOOST_AUTO_TEST_CASE(hosts_together_never_overspend_the_retry_budget) {
  BOOST_TEST(rc::check([](std::uint32_t Seed) {
    std::mt19937_64 Random(Seed);
    std::size_t Hosts = 1 + Random() % 12;
    SharedRetryBudget::Settings Shared;
    std::vector<SharedRetryBudget> Parts(Hosts, SharedRetryBudget(Shared));
    std::deque<double> Requests;
    std::deque<double> Repeats;
    for (double Now = 0; Now < 30; Now += 0.02) {
      auto &Part = Parts[Random() % Hosts];
      if (Random() % 3 == 0) {
        Part.onRequest(at(Now));
        Requests.push_back(Now);
      }
      if (Part.take(Hosts, at(Now)))
        Repeats.push_back(Now);
      while (!Requests.empty() && Requests.front() < Now - 10)
        Requests.pop_front();
      while (!Repeats.empty() && Repeats.front() < Now - 10)
        Repeats.pop_front();
      RC_ASSERT(Repeats.size() <=
                Shared.m_ratio * Requests.size() + Shared.m_allowance);
    }
  }));
}

BOOST_AUTO_TEST_CASE(hosts_together_keep_to_the_rate_of_a_cold_upstream) {
  constexpr std::size_t Hosts = 10;
  constexpr double Rate = 19;
  std::vector<ColdStartLimiter> Parts(Hosts);
  std::deque<double> Sent;
  for (double Now = 0; Now < 10; Now += 0.001)
    for (ColdStartLimiter &Each : Parts) {
      if (!Each.available(Rate, Hosts, at(Now)))
        continue;
      Each.take();
      Sent.push_back(Now);
      while (Sent.front() < Now - 1)
        Sent.pop_front();
      // What an upstream bears: half as much again, and five.
      BOOST_REQUIRE(Sent.size() <= Rate * 1.5 + 5);
    }
}

BOOST_AUTO_TEST_CASE(
    many_hosts_that_all_meet_a_cold_upstream_keep_to_its_rate) {
  constexpr std::size_t Hosts = 100;
  constexpr double Rate = 4.3;
  std::mt19937_64 Random(20261204);
  std::uniform_real_distribution<double> Phase(0, 1);
  std::vector<ColdStartLimiter> Parts;
  for (std::size_t Count = 0; Count < Hosts; ++Count)
    Parts.emplace_back(Phase(Random));
  std::deque<double> Sent;
  std::size_t All = 0;
  // All hosts know of it from the first, and a burst comes after a minute.
  for (ColdStartLimiter &Each : Parts)
    Each.available(Rate, Hosts, at(0));
  for (double Now = 60; Now < 90; Now += 0.01)
    for (ColdStartLimiter &Each : Parts) {
      if (!Each.available(Rate, Hosts, at(Now)))
        continue;
      Each.take();
      ++All;
      Sent.push_back(Now);
      while (Sent.front() < Now - 1)
        Sent.pop_front();
      BOOST_REQUIRE(Sent.size() <= Rate * 1.5 + 5);
    }
  // Not much of what it bears is left unused.
  BOOST_TEST(All > 30 * Rate * 0.6);
}

BOOST_AUTO_TEST_CASE(a_record_of_an_earlier_start_changes_nothing) {
  UpstreamRegistry Registry;
  using Change = UpstreamRegistry::Change;
  BOOST_TEST((Registry.onRecord(record("u", "a", 5), at(0)) == Change::Joined));
  BOOST_TEST(
      (Registry.onRecord(record("u", "a", 9), at(1)) == Change::Restarted));
  BOOST_TEST((Registry.onRecord(record("u", "a", 5), at(2)) == Change::None));
  BOOST_TEST(Registry.find(UpstreamId("u"))->m_record.m_incarnation.value() ==
             9);
}

BOOST_AUTO_TEST_CASE(records_lost_with_the_store_may_come_back) {
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

BOOST_AUTO_TEST_CASE(an_unreachable_upstream_waits_for_a_later_heartbeat) {
  UpstreamRegistry Registry;
  UpstreamId Id("u");
  Registry.onRecord(record("u"), at(0));
  Registry.onUnreachable(Id, at(1));
  BOOST_TEST(!Registry.usable(*Registry.find(Id)));
  Registry.onRecord(record("u", "a", 1, 2), at(1.5));
  BOOST_TEST(Registry.usable(*Registry.find(Id)));
}

BOOST_AUTO_TEST_CASE(a_domain_that_returns_is_taken_to_be_cold) {
  UpstreamRegistry Registry;
  Registry.onRecord(record("u", "a"), at(0));
  Registry.setDomainOut(DomainId("a"), true, std::chrono::seconds(3), at(1));
  BOOST_TEST(!Registry.usable(*Registry.find(UpstreamId("u"))));
  Registry.setDomainOut(DomainId("a"), false, std::chrono::seconds(3), at(9));
  BOOST_TEST(Registry.usable(*Registry.find(UpstreamId("u"))));
  BOOST_TEST(Registry.find(UpstreamId("u"))->cold(at(11)));
  BOOST_TEST(!Registry.find(UpstreamId("u"))->cold(at(13)));
}

BOOST_AUTO_TEST_CASE(load_goes_past_upstreams_that_a_neighbour_slows) {
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
  auto Rows = Registry.ofService(ServiceId("fee"));
  auto Chosen = selectUpstream(Registry, Rows, Request, at(10.1));
  BOOST_TEST(Chosen.m_upstream == Fast);
  // The report says nothing of the neighbour a while later.
  Chosen = selectUpstream(Registry, Rows, Request, at(11));
  BOOST_TEST(Chosen.m_upstream == Slow);
  // Full upstreams are passed over, until none has room.
  Fast->m_peerOutstanding = 3;
  Slow->m_outstanding = 5;
  Chosen = selectUpstream(Registry, Rows, Request, at(11));
  BOOST_TEST(Chosen.m_upstream == nullptr);
  BOOST_TEST(Chosen.m_anyUsable);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_fails_is_avoided_and_tried_again_later) {
  UpstreamRegistry Registry;
  for (const char *Id : {"grey", "sound"})
    Registry.onRecord(record(Id), at(0));
  UpstreamState *Grey = Registry.find(UpstreamId("grey"));
  UpstreamState *Sound = Registry.find(UpstreamId("sound"));
  Duration Work = std::chrono::milliseconds(60);
  for (int Count = 0; Count < 40; ++Count) { // Its health check is good.
    if (Count % 2 == 0)
      observeFailure(*Grey, at(1));
    else
      observeServiceTime(*Grey, Work, Work, at(1));
    observeServiceTime(*Sound, Work, Work, at(1));
  }
  Sound->m_outstanding = 3;
  SelectionRequest Request;
  Request.m_workTime = Work;
  Request.m_domain = DomainId("a");
  auto Rows = Registry.ofService(ServiceId("fee"));
  BOOST_TEST(selectUpstream(Registry, Rows, Request, at(1)).m_upstream ==
             Sound);
  for (double Now = 1; Now < 25; Now += 0.25)
    decayServiceTimeRatio(*Grey, std::chrono::milliseconds(250), at(Now));
  BOOST_TEST(selectUpstream(Registry, Rows, Request, at(25)).m_upstream ==
             Grey);
}

BOOST_AUTO_TEST_CASE(large_requests_stay_in_their_domain) {
  UpstreamRegistry Registry;
  Registry.onRecord(record("here", "a"), at(0));
  Registry.onRecord(record("there", "b"), at(0));
  Registry.find(UpstreamId("here"))->m_outstanding = 2;
  SelectionRequest Request;
  Request.m_workTime = std::chrono::milliseconds(60);
  Request.m_domain = DomainId("a");
  Request.m_bytes = 100'000;
  auto Rows = Registry.ofService(ServiceId("fee"));
  BOOST_TEST(selectUpstream(Registry, Rows, Request, at(1))
                 .m_upstream->m_record.m_id.value() == "here");
}

BOOST_AUTO_TEST_CASE(peers_that_fall_silent_count_for_nothing) {
  UpstreamRegistry Registry;
  Registry.onRecord(record("u"), at(0));
  PeerLoads Peers(Registry);
  PeerLoad Told;
  Told.m_upstreams.push_back({nameHash("u"), 3, 2, 1, 0, false, {}, {}});
  Told.m_waiting[nameHash("fee")] = 7;
  Peers.onLoad(HostId("h1"), Told, at(1));
  Peers.onLoad(HostId("h2"), Told, at(1.5));
  UpstreamState *Row = Registry.find(UpstreamId("u"));
  BOOST_TEST(Row->m_peerOutstanding == 6u);
  BOOST_TEST(Row->m_peerWaiting == 4u);
  BOOST_TEST(Peers.waiting(ServiceId("fee")) == 14u);
  Peers.expire(at(2.8));
  BOOST_TEST(Row->m_peerOutstanding == 3u);
  Peers.onLoad(HostId("h2"), PeerLoad(), at(2.9));
  BOOST_TEST(Row->m_peerOutstanding == 0u);
  BOOST_TEST(Peers.hosts() == 1u);
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_upstreams_is_refused) {
  CrashSuspects Suspects;
  Fingerprint Bad(1);
  for (int Time = 0; Time < 3; ++Time) {
    UpstreamId Where("u" + std::to_string(Time));
    BOOST_TEST(!Suspects.blocked(Bad, at(Time)));
    Suspects.onInterrupted(Bad, Where, at(Time));
    BOOST_TEST(Suspects.onUpstreamDown(Where, at(Time + 0.5)).size() == 1u);
  }
  BOOST_TEST(Suspects.blocked(Bad, at(4)));
  BOOST_TEST(!Suspects.blocked(Fingerprint(2), at(4)));
  BOOST_TEST(!Suspects.blocked(Bad, at(120)));
  // A connection that broke long before the upstream went is no evidence.
  Suspects.onInterrupted(Fingerprint(3), UpstreamId("u"), at(10));
  BOOST_TEST(Suspects.onUpstreamDown(UpstreamId("u"), at(20)).empty());
}

BOOST_AUTO_TEST_CASE(the_newest_key_table_holds_wherever_it_comes_from) {
  auto Table = [](std::uint64_t Version, const char *Owner) {
    KeyTable Made;
    Made.m_service = ServiceId("herd");
    Made.m_version = Version;
    Made.m_ranges.push_back({0, ShardKeyCount - 1, UpstreamId(Owner),
                             UpstreamIncarnation(1), FencingToken(1), ""});
    return Made;
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

BOOST_AUTO_TEST_CASE(a_key_table_survives_its_encoding_and_bad_ones_do_not) {
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
    auto Read = decodeKeyTable(encodeKeyTable(Table));
    RC_ASSERT(Read.has_value());
    RC_ASSERT(encodeKeyTable(*Read) == encodeKeyTable(Table));
    Table.m_ranges.pop_back();
    RC_ASSERT(!decodeKeyTable(encodeKeyTable(Table)).has_value());
  }));
  BOOST_TEST(rc::check([](const std::string &Bytes) {
    decodeKeyTable(Bytes); // Must neither crash nor take for ever.
  }));
}
