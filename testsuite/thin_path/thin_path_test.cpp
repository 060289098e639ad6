// A request travels caller -> host -> keeper -> upstream and back, keyed and
// not, on real processes.
#include "burdockpulley/http.h"
#include "burdockpulley/testkit.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <set>

using namespace burdockpulley;

BOOST_AUTO_TEST_CASE(requests_reach_their_owner_from_every_host) {
  Deployment System;
  System.startStore();
  System.startUpstream(sampleUpstream("fee-1", "fee", "talca"), false);
  System.startUpstream(sampleUpstream("herd-1", "herd", "talca"), true);
  System.startUpstream(sampleUpstream("herd-2", "herd", "curico"), true);
  System.startHost("talca-1", "talca");
  System.startHost("talca-2", "talca");
  System.startHost("curico-1", "curico");
  BOOST_REQUIRE(System.publish(sampleSet()));
  for (const auto &[Name, Host] : System.m_hosts)
    BOOST_REQUIRE(waitUntil([&, &Host = Host] {
      for (int Key = 0; Key < 16; ++Key) {
        std::string Target = "/herds/" + std::to_string(Key);
        if (callAsTeam(Host.m_callers, "GET", Target, "").m_status != 200)
          return false;
      }
      return callAsTeam(Host.m_callers, "POST", "/fees", "").m_status == 200;
    }));
  std::set<std::string> Owners;
  for (int Key = 0; Key < 100; ++Key) {
    std::set<std::string> Seen;
    std::string Target = "/herds/" + std::to_string(Key);
    for (const auto &[Name, Host] : System.m_hosts) {
      HttpResponse Answer = callAsTeam(Host.m_callers, "PUT", Target, Target);
      BOOST_REQUIRE(Answer.m_status == 200);
      auto Body = nlohmann::json::parse(Answer.m_body);
      BOOST_TEST(Body["target"] == Target);
      BOOST_TEST(Body["body"] == Target);
      Seen.insert(Body["upstream"]);
    }
    BOOST_TEST(Seen.size() == 1u);
    Owners.merge(Seen);
  }
  BOOST_TEST(Owners.size() == 2u);
  const Endpoint &Where = System.m_hosts.begin()->second.m_callers;
  BOOST_TEST(callOnce(Where, {"GET", "/herds/1", {}, ""}).m_status == 401);
  BOOST_TEST(callAsTeam(Where, "GET", "/elsewhere", "").m_status == 404);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_is_gone_is_told_as_not_run) {
  Deployment System;
  System.startStore();
  auto &Fee =
      System.startUpstream(sampleUpstream("fee-1", "fee", "talca"), false);
  System.startUpstream(sampleUpstream("herd-1", "herd", "talca"), true);
  auto &Host = System.startHost("talca-1", "talca");
  System.startHost("curico-1", "curico");
  BOOST_REQUIRE(System.publish(sampleSet()));
  Fee.m_process.reset();
  HttpResponse Answer = callAsTeam(Host.m_callers, "POST", "/fees", "10");
  BOOST_TEST(Answer.m_status == 503);
  BOOST_TEST(Answer.header("X-Burdockpulley-Outcome") == "not-run");
}
