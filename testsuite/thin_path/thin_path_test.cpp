// A request travels caller -> host -> keeper -> upstream and back, keyed and
// not, on real processes.
#include "burdockpulley/hashing.h"
#include "burdockpulley/http.h"
#include "burdockpulley/testkit.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <set>

using namespace burdockpulley;

namespace {

Declarations twoDomains() {
  Declarations Set;
  Set.m_tenants = {{TenantId("censo"), sha256Hex("secret")}};
  Set.m_domains = {{DomainId("curico"), "cl", {}},
                   {DomainId("talca"), "cl", {}}};
  Service Fee;
  Fee.m_name = ServiceId("fee");
  Fee.m_tenant = TenantId("censo");
  Service Herd = Fee;
  Herd.m_name = ServiceId("herd");
  Herd.m_keySource = KeySource::PathSegment;
  Herd.m_keySegment = 1;
  Herd.m_keyName = "1";
  Herd.m_partitions = 64;
  Herd.m_idempotentMethods = {"GET"};
  Set.m_services = {Fee, Herd};
  Set.m_routes = {{"fees", TenantId("censo"), "/fees", ServiceId("fee")},
                  {"herds", TenantId("censo"), "/herds", ServiceId("herd")}};
  return Set;
}

Upstream upstream(const std::string &Name, const std::string &Service,
                  const std::string &Domain) {
  Upstream Row;
  Row.m_name = UpstreamId(Name);
  Row.m_service = ServiceId(Service);
  Row.m_domain = DomainId(Domain);
  Row.m_slots = 4;
  return Row;
}

HttpResponse send(const Endpoint &Where, const std::string &Method,
                  const std::string &Target, const std::string &Body) {
  return callOnce(Where,
                  {Method, Target, {{"Authorization", "Bearer secret"}}, Body});
}

} // namespace

BOOST_AUTO_TEST_CASE(requests_reach_their_owner_from_every_host) {
  Deployment System;
  System.startStore();
  System.startUpstream(upstream("fee-1", "fee", "talca"), false);
  System.startUpstream(upstream("herd-1", "herd", "talca"), true);
  System.startUpstream(upstream("herd-2", "herd", "curico"), true);
  System.startHost("talca-1", "talca");
  System.startHost("talca-2", "talca");
  System.startHost("curico-1", "curico");
  BOOST_REQUIRE(System.publish(twoDomains()));
  for (const auto &[Name, Host] : System.m_hosts)
    BOOST_REQUIRE(waitUntil([&, &Host = Host] {
      for (int Key = 0; Key < 16; ++Key) {
        std::string Target = "/herds/" + std::to_string(Key);
        if (send(Host.m_callers, "GET", Target, "").m_status != 200)
          return false;
      }
      return send(Host.m_callers, "POST", "/fees", "").m_status == 200;
    }));
  std::set<std::string> Owners;
  for (int Key = 0; Key < 100; ++Key) {
    std::set<std::string> Seen;
    std::string Target = "/herds/" + std::to_string(Key);
    for (const auto &[Name, Host] : System.m_hosts) {
      HttpResponse Answer = send(Host.m_callers, "PUT", Target, Target);
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
  BOOST_TEST(send(Where, "GET", "/elsewhere", "").m_status == 404);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_is_gone_is_told_as_not_run) {
  Deployment System;
  System.startStore();
  auto &Fee = System.startUpstream(upstream("fee-1", "fee", "talca"), false);
  System.startUpstream(upstream("herd-1", "herd", "talca"), true);
  auto &Host = System.startHost("talca-1", "talca");
  System.startHost("curico-1", "curico");
  BOOST_REQUIRE(System.publish(twoDomains()));
  Fee.m_process.reset();
  HttpResponse Answer = send(Host.m_callers, "POST", "/fees", "10");
  BOOST_TEST(Answer.m_status == 503);
  BOOST_TEST(Answer.header("X-Burdockpulley-Outcome") == "not-run");
}
