// Keys are served again after an upstream or the host that keeps it is lost,
// and no upstream runs a request under a token that has been replaced.
#include "burdockpulley/hashing.h"
#include "burdockpulley/http.h"
#include "burdockpulley/testkit.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <signal.h>

#include <algorithm>
#include <fstream>
#include <set>

using namespace burdockpulley;

namespace {

constexpr int Keys = 48;

/// A run as an upstream has logged it.
struct TokenRun {
  std::int64_t m_time;
  std::uint64_t m_partition;
  std::uint64_t m_token;
};

Declarations threeDomains() {
  Declarations Set;
  Set.m_teams = {{TeamId("censo"), sha256Hex("secret")}};
  for (const char *Name : {"curico", "linares", "talca"})
    Set.m_domains.push_back({DomainId(Name), "cl", {}});
  Service Herd;
  Herd.m_name = ServiceId("herd");
  Herd.m_team = TeamId("censo");
  Herd.m_keySource = KeySource::PathSegment;
  Herd.m_keySegment = 1;
  Herd.m_keyName = "1";
  Herd.m_partitions = 64;
  Herd.m_idempotentMethods = {"GET"};
  Set.m_services = {Herd};
  Set.m_routes = {{"herds", TeamId("censo"), "/herds", Herd.m_name}};
  return Set;
}

/// Three domains with two hosts and one upstream each.
struct Fleet {
  Fleet() {
    m_system.startStore();
    for (const char *Domain : {"curico", "linares", "talca"}) {
      Upstream Row;
      Row.m_name = UpstreamId(std::string("herd-") + Domain);
      Row.m_service = ServiceId("herd");
      Row.m_domain = DomainId(Domain);
      Row.m_slots = 4;
      m_system.startUpstream(Row, true, {"--grant-log", grantLog(Domain)});
      for (const char *Suffix : {"-1", "-2"})
        m_system.startHost(std::string(Domain) + Suffix, Domain);
    }
    BOOST_REQUIRE(m_system.publish(threeDomains()));
    BOOST_REQUIRE(waitUntil([&] { return servedEverywhere("curico-1"); }));
  }

  std::string grantLog(const std::string &Domain) const {
    return m_system.m_folder + "/herd-" + Domain + ".grants";
  }

  /// The upstream that answers for a key; empty when none does.
  std::string owner(const std::string &Host, int Key) {
    HttpResponse Answer = callOnce(m_system.m_hosts.at(Host).m_callers,
                                   {"GET",
                                    "/herds/" + std::to_string(Key),
                                    {{"Authorization", "Bearer secret"}},
                                    ""});
    if (Answer.m_status != 200)
      return "";
    return nlohmann::json::parse(Answer.m_body)["upstream"];
  }

  bool servedEverywhere(const std::string &Host) {
    for (int Key = 0; Key < Keys; ++Key)
      if (owner(Host, Key).empty())
        return false;
    return true;
  }

  std::vector<std::string> owners(const std::string &Host) {
    std::vector<std::string> Found;
    for (int Key = 0; Key < Keys; ++Key)
      Found.push_back(owner(Host, Key));
    return Found;
  }

  /// The host that last sent a whole list which the upstream took.
  std::string keeper(const std::string &Domain) const {
    std::ifstream Input(grantLog(Domain));
    std::string Last;
    for (std::string Line; std::getline(Input, Line);)
      if (Line.starts_with("taken "))
        Last = Line.substr(6, Line.find(' ', 6) - 6);
    return Last;
  }

  /// Runs of a partition under a lower token than one that ran before.
  int runsUnderOldTokens() const {
    std::vector<TokenRun> Runs;
    for (const char *Domain : {"curico", "linares", "talca"}) {
      std::ifstream Input(grantLog(Domain));
      for (std::string Line; std::getline(Input, Line);) {
        TokenRun Run{};
        if (std::sscanf(Line.c_str(), "run %lu %lu %ld", &Run.m_partition,
                        &Run.m_token, &Run.m_time) == 3)
          Runs.push_back(Run);
      }
    }
    BOOST_TEST(!Runs.empty());
    std::sort(Runs.begin(), Runs.end(),
              [](const auto &Left, const auto &Right) {
                return Left.m_time < Right.m_time;
              });
    std::map<std::uint64_t, std::uint64_t> Highest;
    int Old = 0;
    for (const TokenRun &Run : Runs) {
      std::uint64_t &Token = Highest[Run.m_partition];
      Old += Run.m_token < Token ? 1 : 0;
      Token = std::max(Token, Run.m_token);
    }
    return Old;
  }

  /// How long until all keys are served; the limit is not a speed check.
  Duration timeUntilServed(const std::string &Host) {
    auto Start = std::chrono::steady_clock::now();
    BOOST_REQUIRE(waitUntil([&] { return servedEverywhere(Host); }));
    return std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - Start);
  }

  Deployment m_system;
};

std::string otherHost(const std::string &Keeper) {
  std::string Other = Keeper;
  Other.back() = Keeper.back() == '1' ? '2' : '1';
  return Other;
}

} // namespace

BOOST_AUTO_TEST_CASE(keys_of_a_killed_upstream_are_served_by_others) {
  Fleet All;
  All.m_system.m_upstreams.at("herd-talca").m_process.reset();
  Duration Time = All.timeUntilServed("curico-1");
  BOOST_TEST_MESSAGE("upstream killed, ms: " << Time.count() / 1000);
  std::vector<std::string> Now = All.owners("curico-1");
  BOOST_TEST(std::count(Now.begin(), Now.end(), "herd-talca") == 0);
  BOOST_TEST(All.runsUnderOldTokens() == 0);
}

BOOST_AUTO_TEST_CASE(a_frozen_upstream_comes_back_without_its_keys) {
  Fleet All;
  ChildProcess &Frozen = *All.m_system.m_upstreams.at("herd-talca").m_process;
  Frozen.signal(SIGSTOP);
  All.timeUntilServed("curico-1");
  // Its socket holds orders from before; they must grant nothing any more.
  Frozen.signal(SIGCONT);
  BOOST_REQUIRE(waitUntil([&] {
    std::vector<std::string> Now = All.owners("linares-1");
    return std::count(Now.begin(), Now.end(), "") == 0;
  }));
  BOOST_TEST(All.runsUnderOldTokens() == 0);
}

BOOST_AUTO_TEST_CASE(keys_of_a_killed_keeper_stay_where_they_are) {
  Fleet All;
  std::vector<std::string> Before = All.owners("curico-1");
  std::string Keeper = All.keeper("talca");
  BOOST_REQUIRE(Keeper.starts_with("talca-"));
  All.m_system.m_hosts.at(Keeper).m_process.reset();
  BOOST_REQUIRE(
      waitUntil([&] { return All.keeper("talca") == otherHost(Keeper); }));
  Duration Time = All.timeUntilServed("curico-1");
  BOOST_TEST_MESSAGE("served after takeover, ms: " << Time.count() / 1000);
  BOOST_TEST((All.owners("curico-1") == Before));
  BOOST_TEST(All.runsUnderOldTokens() == 0);
}

BOOST_AUTO_TEST_CASE(a_paused_keeper_is_refused_when_it_returns) {
  Fleet All;
  std::string Keeper = All.keeper("talca");
  ChildProcess &Paused = *All.m_system.m_hosts.at(Keeper).m_process;
  Paused.signal(SIGSTOP);
  BOOST_REQUIRE(
      waitUntil([&] { return All.keeper("talca") == otherHost(Keeper); }));
  All.timeUntilServed("curico-1");
  Paused.signal(SIGCONT);
  // The host that was paused serves its callers again, by the new keeper.
  BOOST_REQUIRE(waitUntil([&] { return All.servedEverywhere(Keeper); }));
  BOOST_TEST(All.keeper("talca") == otherHost(Keeper));
  BOOST_TEST(All.runsUnderOldTokens() == 0);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_does_not_check_follows_its_keepers) {
  Deployment System;
  System.startStore();
  Upstream Row;
  Row.m_name = UpstreamId("herd-talca");
  Row.m_service = ServiceId("herd");
  Row.m_domain = DomainId("talca");
  Row.m_slots = 4;
  Row.m_checksGrants = false;
  System.startUpstream(Row, false);
  for (const char *Name : {"talca-1", "talca-2", "talca-3"})
    System.startHost(Name, "talca");
  System.startHost("curico-1", "curico");
  System.startHost("linares-1", "linares");
  BOOST_REQUIRE(System.publish(threeDomains()));
  auto Served = [&] {
    HttpRequest Request{
        "GET", "/herds/7", {{"Authorization", "Bearer secret"}}, ""};
    return callOnce(System.m_hosts.at("curico-1").m_callers, Request)
               .m_status == 200;
  };
  BOOST_REQUIRE(waitUntil(Served));
  for (const char *Name : {"talca-1", "talca-2", "talca-3"}) {
    System.m_hosts.at(Name).m_process.reset();
    BOOST_TEST(waitUntil(Served), "not served without " << Name);
    System.startHost(Name, "talca");
  }
}

BOOST_AUTO_TEST_CASE(a_store_that_hangs_stops_no_keyed_service) {
  Fleet All;
  All.m_system.m_store->signal(SIGSTOP);
  // Longer than the hold and the lease together.
  auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  int Unserved = 0;
  while (std::chrono::steady_clock::now() < End) {
    std::vector<std::string> Now = All.owners("curico-1");
    Unserved += static_cast<int>(std::count(Now.begin(), Now.end(), ""));
  }
  BOOST_TEST(Unserved == 0);
  All.m_system.m_store->signal(SIGCONT);
  BOOST_TEST(waitUntil([&] { return All.servedEverywhere("talca-1"); }));
}
