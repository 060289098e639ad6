// Partitions follow the load that the keepers measure, on real processes.
#include "burdockpulley/hashing.h"
#include "burdockpulley/http.h"
#include "burdockpulley/testkit.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <map>

using namespace burdockpulley;

namespace {

const ServiceId Herd("herd");

Declarations oneService() {
  Declarations Set;
  Set.m_teams = {{TeamId("censo"), sha256Hex("secret")}};
  Set.m_domains = {{DomainId("curico"), "cl", {}},
                   {DomainId("talca"), "cl", {}}};
  Service Row;
  Row.m_name = Herd;
  Row.m_team = TeamId("censo");
  Row.m_keySource = KeySource::PathSegment;
  Row.m_keySegment = 1;
  Row.m_keyName = "1";
  Row.m_partitions = 64;
  Row.m_idempotentMethods = {"GET"};
  Set.m_services = {Row};
  Set.m_routes = {{"herds", TeamId("censo"), "/herds", Herd}};
  return Set;
}

void start(Deployment &System, const std::string &Name,
           const std::string &Domain) {
  Upstream Row;
  Row.m_name = UpstreamId(Name);
  Row.m_service = Herd;
  Row.m_domain = DomainId(Domain);
  Row.m_slots = 4;
  Row.m_warmUp = Duration();
  System.startUpstream(Row, true);
}

/// The upstream that answers for a key; empty when none does.
std::string ownerOf(const Endpoint &Host, int Key) {
  HttpRequest Request{"GET",
                      "/herds/" + std::to_string(Key),
                      {{"Authorization", "Bearer secret"}},
                      ""};
  HttpResponse Answer = callOnce(Host, Request);
  if (Answer.m_status != 200)
    return "";
  return nlohmann::json::parse(Answer.m_body).value("upstream", "");
}

} // namespace

BOOST_AUTO_TEST_CASE(keys_that_get_busy_on_one_upstream_are_spread) {
  Deployment System;
  System.startStore();
  start(System, "herd-1", "talca");
  start(System, "herd-2", "curico");
  const Endpoint &Host = System.startHost("talca-1", "talca").m_callers;
  System.startHost("curico-1", "curico");
  BOOST_REQUIRE(System.publish(oneService()));
  std::vector<int> Busy;
  BOOST_REQUIRE(waitUntil([&] {
    Busy.clear();
    for (int Key = 0; Key < 60; ++Key) {
      std::string Owner = ownerOf(Host, Key);
      if (Owner.empty())
        return false;
      if (Owner == "herd-1")
        Busy.push_back(Key);
    }
    return true;
  }));
  // All further load is on keys of herd-1, until some of them have moved.
  BOOST_REQUIRE(Busy.size() > 8u);
  BOOST_TEST(waitUntil([&] {
    std::map<std::string, std::size_t> Counts;
    for (int Key : Busy)
      ++Counts[ownerOf(Host, Key)];
    return Counts["herd-2"] >= Busy.size() / 4 && Counts["herd-1"] > 0;
  }));
}

BOOST_AUTO_TEST_CASE(
    a_domain_goes_out_and_comes_back_without_a_failed_request) {
  Deployment System;
  System.startStore();
  start(System, "herd-1", "talca");
  start(System, "herd-2", "curico");
  const Endpoint &Host = System.startHost("talca-1", "talca").m_callers;
  System.startHost("curico-1", "curico");
  Declarations Set = oneService();
  BOOST_REQUIRE(System.publish(Set));
  int Failed = 0;
  auto Owners = [&] {
    std::map<std::string, int> Counts;
    for (int Key = 0; Key < 60; ++Key)
      ++Counts[ownerOf(Host, Key)];
    Failed += Counts[""];
    return Counts;
  };
  BOOST_REQUIRE(waitUntil([&] { return Owners()[""] == 0; }));
  Failed = 0;
  Set.m_maintenance = {{"out", UpstreamId(), DomainId("talca")}};
  BOOST_REQUIRE(System.publish(Set));
  BOOST_TEST(waitUntil([&] { return Owners()["herd-1"] == 0; }));
  const std::string &RunLog = System.m_upstreams["herd-1"].m_runLog;
  auto Runs = std::filesystem::file_size(RunLog);
  BOOST_TEST(Owners()["herd-2"] == 60);
  BOOST_TEST(std::filesystem::file_size(RunLog) == Runs);
  Set.m_maintenance.clear();
  BOOST_REQUIRE(System.publish(Set));
  BOOST_TEST(waitUntil([&] { return Owners()["herd-1"] > 8; }));
  BOOST_TEST(Failed == 0);
}
