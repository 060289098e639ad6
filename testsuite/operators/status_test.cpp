// What operators see of running hosts, and what tenants do not.
#include "burdockpulley/hashing.h"
#include "burdockpulley/http.h"
#include "command_runner.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace burdockpulley;

namespace {

HttpResponse get(const Endpoint &Where, const std::string &Target) {
  return callOnce(Where,
                  {"GET", Target, {{"Authorization", "Bearer secret"}}, ""});
}

struct Fixture {
  Fixture() : m_commands(m_system) {
    Declarations Set;
    Set.m_teams = {{TeamId("censo"), sha256Hex("secret")}};
    Set.m_domains = {{DomainId("talca"), "cl", {}}};
    Service Fee;
    Fee.m_name = ServiceId("fee");
    Fee.m_team = TeamId("censo");
    Set.m_services = {Fee};
    Set.m_routes = {{"fees", TeamId("censo"), "/fees", ServiceId("fee")}};
    Upstream Row;
    Row.m_name = UpstreamId("fee-1");
    Row.m_service = ServiceId("fee");
    Row.m_domain = DomainId("talca");
    Row.m_slots = 4;
    m_system.startStore();
    m_system.startUpstream(Row, false);
    m_system.startHost("talca-1", "talca");
    m_system.startHost("talca-2", "talca");
    BOOST_REQUIRE(m_system.publish(Set));
    for (const auto &[Name, Host] : m_system.m_hosts)
      BOOST_REQUIRE(waitUntil([&, &Host = Host] {
        return get(Host.m_callers, "/fees/1").m_status == 200;
      }));
  }

  Deployment m_system;
  CommandRunner m_commands;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(status_shows_every_host_and_what_it_lacks, Fixture) {
  CommandResult Good = m_commands.run({"status"});
  BOOST_TEST(Good.m_exitCode == 0);
  for (const char *Part : {"failure domain talca", "talca-1  revision 1",
                           "talca-2  revision 1", "peers 1/1", "keeps 1 up"})
    BOOST_TEST(Good.says(Part), Part << " in " << Good.m_output);
  m_system.m_hosts.at("talca-2").m_process.reset();
  CommandResult Lost = m_commands.run({"status", "--output", "json"});
  BOOST_TEST(Lost.m_exitCode == 8);
  auto Hosts = nlohmann::json::parse(Lost.m_output)["hosts"];
  BOOST_TEST(Hosts["talca-2"].is_null());
  BOOST_TEST(Hosts["talca-1"]["failureDomain"] == "talca");
}

BOOST_FIXTURE_TEST_CASE(tenants_do_not_reach_the_operators_pages, Fixture) {
  const auto &Host = m_system.m_hosts.at("talca-1");
  for (const char *Path : {"/status", "/metrics"}) {
    BOOST_TEST(get(Host.m_callers, Path).m_status == 404);
    BOOST_TEST(callOnce(Host.m_callers, {"GET", Path, {}, ""}).m_status == 401);
    BOOST_TEST(get(Host.m_admin, Path).m_status == 200);
  }
  BOOST_TEST(get(Host.m_admin, "/fees/1").m_status == 404);
  for (const char *Path : {"/healthz", "/readyz"}) {
    BOOST_TEST(get(Host.m_callers, Path).m_status == 200);
    BOOST_TEST(get(Host.m_admin, Path).m_status == 200);
  }
}

BOOST_FIXTURE_TEST_CASE(metrics_count_requests_without_their_keys, Fixture) {
  const auto &Host = m_system.m_hosts.at("talca-1");
  BOOST_TEST(get(Host.m_callers, "/fees/herd-4711").m_status == 200);
  std::string Text = get(Host.m_admin, "/metrics").m_body;
  for (const char *Part :
       {"burdockpulley_requests_total{outcome=\"answered\",service=\"fee\"}",
        "burdockpulley_request_seconds_count{service=\"fee\"}",
        "burdockpulley_config_revision 1", "burdockpulley_requests_in_flight 0",
        "burdockpulley_store_calls_total{call=\"read\",result=\"answered\"}"})
    BOOST_TEST(Text.find(Part) != Text.npos, Part << " in " << Text);
  for (const char *Secret : {"4711", "secret", "/fees", "127.0.0.1"})
    BOOST_TEST(Text.find(Secret) == Text.npos, Secret);
}

BOOST_AUTO_TEST_CASE(a_single_host_runs_with_an_embedded_store) {
  Deployment System;
  System.m_embedded = true;
  const auto &Host = System.startHost("talca-1", "talca");
  // The command line reaches the store through the operators' address.
  System.m_storeAddress = Host.m_admin;
  CommandRunner Commands(System);
  std::string Censo = BURDOCKPULLEY_SOURCE_DIR "/examples/censo";
  BOOST_TEST(Commands.run({"publish", Censo}).m_exitCode == 0);
  BOOST_TEST(waitUntil(
      [&] { return get(Host.m_callers, "/readyz").m_status == 200; }));
  BOOST_TEST(Commands.run({"diff", Censo}).m_exitCode == 0);
  BOOST_TEST(get(Host.m_callers, "/v3/kv/range").m_status != 200);
}
