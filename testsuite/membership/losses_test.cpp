// Hosts are killed, frozen, and started while the store is down.
#include "burdockpulley/hashing.h"
#include "burdockpulley/http.h"
#include "burdockpulley/testkit.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <fstream>

using namespace burdockpulley;

namespace {

constexpr int Keys = 16;

Declarations herdLookup(const std::vector<std::string> &Prefixes) {
  Declarations Set;
  Set.m_teams = {{TeamId("censo"), sha256Hex("secret")}};
  Set.m_domains = {{DomainId("curico"), "cl", {}},
                   {DomainId("talca"), "cl", {}}};
  Service Herd;
  Herd.m_name = ServiceId("herd");
  Herd.m_team = TeamId("censo");
  Herd.m_keySource = KeySource::PathSegment;
  Herd.m_keySegment = 1;
  Herd.m_keyName = "1";
  Herd.m_partitions = 32;
  Herd.m_idempotentMethods = {"GET"};
  Set.m_services = {Herd};
  for (const std::string &Prefix : Prefixes)
    Set.m_routes.push_back(
        {Prefix, TeamId("censo"), "/" + Prefix, Herd.m_name});
  return Set;
}

/// Four upstreams in talca, so that each of its hosts keeps some.
void startProcesses(Deployment &System) {
  System.startStore();
  for (int I = 1; I <= 4; ++I) {
    Upstream Row;
    Row.m_name = UpstreamId("herd-" + std::to_string(I));
    Row.m_service = ServiceId("herd");
    Row.m_domain = DomainId("talca");
    Row.m_slots = 4;
    System.startUpstream(Row, true);
  }
  for (const char *Host : {"talca-1", "talca-2", "talca-3"})
    System.startHost(Host, "talca");
  System.startHost("curico-1", "curico");
}

bool servesAllKeys(const Deployment::HostProcess &Host,
                   const std::string &Prefix) {
  for (int Key = 0; Key < Keys; ++Key) {
    HttpRequest Request{"GET",
                        "/" + Prefix + "/" + std::to_string(Key),
                        {{"Authorization", "Bearer secret"}},
                        ""};
    if (callOnce(Host.m_callers, Request).m_status != 200)
      return false;
  }
  return true;
}

/// True when the host's present process has logged a text.
bool logged(const Deployment &System, const std::string &Host,
            const std::string &Text) {
  std::ifstream Log(System.m_folder + "/" + Host + ".log");
  bool Found = false;
  for (std::string Line; std::getline(Log, Line);) {
    bool Starts = Line.find("event=started") != std::string::npos;
    Found = !Starts && (Found || Line.find(Text) != std::string::npos);
  }
  return Found;
}

void requireAllServe(Deployment &System, const std::string &Prefix,
                     const std::string &Except = "") {
  for (const auto &[Name, Host] : System.m_hosts)
    if (Name != Except)
      BOOST_REQUIRE(
          waitUntil([&, &Host = Host] { return servesAllKeys(Host, Prefix); }));
}

} // namespace

BOOST_AUTO_TEST_CASE(keys_that_a_killed_host_kept_are_served_again) {
  Deployment System;
  startProcesses(System);
  BOOST_REQUIRE(System.publish(herdLookup({"herds"})));
  requireAllServe(System, "herds");
  System.m_hosts.at("talca-1").m_process->signal(SIGKILL);
  requireAllServe(System, "herds", "talca-1");
  for (const char *Host : {"talca-2", "talca-3", "curico-1"})
    BOOST_TEST(waitUntil(
        [&] { return logged(System, Host, "event=host-lost lost=talca-1"); }));
}

BOOST_AUTO_TEST_CASE(a_frozen_host_is_replaced_and_comes_back) {
  Deployment System;
  startProcesses(System);
  BOOST_REQUIRE(System.publish(herdLookup({"herds"})));
  requireAllServe(System, "herds");
  ChildProcess &Frozen = *System.m_hosts.at("talca-2").m_process;
  Frozen.signal(SIGSTOP);
  requireAllServe(System, "herds", "talca-2");
  BOOST_TEST(waitUntil([&] {
    return logged(System, "talca-1", "event=host-lost lost=talca-2");
  }));
  Frozen.signal(SIGCONT);
  BOOST_TEST(waitUntil([&] {
    return logged(System, "talca-1", "event=host-back back=talca-2");
  }));
  requireAllServe(System, "herds");
  BOOST_TEST(!logged(System, "talca-2", "event=host-lost"));
}

BOOST_AUTO_TEST_CASE(a_host_that_starts_without_the_store_learns_from_peers) {
  Deployment System;
  startProcesses(System);
  BOOST_REQUIRE(System.publish(herdLookup({"herds"})));
  BOOST_REQUIRE(System.publish(herdLookup({"herds", "flocks"})));
  requireAllServe(System, "flocks");
  System.m_store.reset();
  System.m_hosts.at("talca-3").m_process.reset();
  std::string Seed = toString(System.m_hosts.at("curico-1").m_peers);
  auto &Started = System.startHost("talca-3", "talca", {"--seeds", Seed});
  BOOST_REQUIRE(waitUntil([&] { return servesAllKeys(Started, "flocks"); }));
  BOOST_TEST(logged(System, "talca-3", "config-in-force revision=2"));
  BOOST_TEST(!logged(System, "talca-3", "config-in-force revision=1"));
}
