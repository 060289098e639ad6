// The platform's store down, slow, or losing an answer after the effect, while
// operators publish and hosts serve.
#include "burdockpulley/configuration.h"
#include "burdockpulley/hashing.h"
#include "burdockpulley/http.h"
#include "command_runner.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace burdockpulley;

namespace {

const std::string Censo = BURDOCKPULLEY_SOURCE_DIR "/examples/censo";

void setFaults(const Deployment &System, const std::string &Faults) {
  HttpRequest Order{"POST", "/.standin", {}, Faults};
  BOOST_REQUIRE(callOnce(System.m_storeAddress, Order).m_status == 200);
}

nlohmann::json counts(const Deployment &System) {
  HttpRequest Query{"GET", "/.standin/counts", {}, ""};
  return nlohmann::json::parse(callOnce(System.m_storeAddress, Query).m_body);
}

std::size_t revisions(CommandRunner &Commands) {
  auto Result = Commands.run({"history", "--output", "json"});
  return nlohmann::json::parse(Result.m_output).size();
}

/// One domain with one keyed service, served by real processes.
struct Fixture {
  Fixture() : m_commands(m_system) {
    Declarations Set;
    Set.m_teams = {{TeamId("censo"), sha256Hex("secret")}};
    Set.m_domains = {{DomainId("talca"), "cl", {}}};
    Service Herd;
    Herd.m_name = ServiceId("herd");
    Herd.m_team = TeamId("censo");
    Herd.m_keySource = KeySource::PathSegment;
    Herd.m_keySegment = 1;
    Herd.m_keyName = "1";
    Herd.m_partitions = 16;
    Herd.m_idempotentMethods = {"GET"};
    Set.m_services = {Herd};
    Set.m_routes = {{"herds", TeamId("censo"), "/herds", ServiceId("herd")}};
    m_system.startStore();
    for (const char *Name : {"herd-1", "herd-2"}) {
      Upstream Row;
      Row.m_name = UpstreamId(Name);
      Row.m_service = ServiceId("herd");
      Row.m_domain = DomainId("talca");
      Row.m_slots = 4;
      m_system.startUpstream(Row, true);
    }
    m_system.startHost("talca-1", "talca");
    m_system.startHost("talca-2", "talca");
    BOOST_REQUIRE(m_system.publish(Set));
    BOOST_REQUIRE(waitUntil([this] { return served() == Keys; }));
  }

  HttpResponse get(const Endpoint &Where, int Key) {
    return callOnce(Where, {"GET",
                            "/herds/" + std::to_string(Key),
                            {{"Authorization", "Bearer secret"}},
                            ""});
  }

  /// Keys that every host serves.
  int served() {
    int Count = 0;
    for (int Key = 0; Key < Keys; ++Key) {
      bool Good = true;
      for (const auto &[Name, Host] : m_system.m_hosts)
        Good = Good && get(Host.m_callers, Key).m_status == 200;
      Count += Good ? 1 : 0;
    }
    return Count;
  }

  static constexpr int Keys = 20;
  Deployment m_system;
  CommandRunner m_commands;
};

} // namespace

BOOST_AUTO_TEST_CASE(an_answer_lost_after_the_effect_is_settled) {
  Deployment System;
  System.startStore();
  CommandRunner Commands(System);
  Commands.run({"publish", Censo});
  setFaults(System, std::string(R"({"dropAnswers":1,"dropKey":")") +
                        ConfigRootKey + "\"}");
  CommandResult Result =
      Commands.run({"drain", "herd-01", "--store-timeout-ms", "500"});
  BOOST_TEST(Result.m_exitCode == 0);
  BOOST_TEST(Result.says("accepted as revision 2"));
  BOOST_TEST(revisions(Commands) == 2u);
}

BOOST_AUTO_TEST_CASE(a_store_that_answers_with_errors_changes_nothing) {
  Deployment System;
  System.startStore();
  CommandRunner Commands(System);
  Commands.run({"publish", Censo});
  setFaults(System, R"({"down":true})");
  BOOST_TEST(Commands.run({"drain", "herd-01"}).m_exitCode == 4);
  BOOST_TEST(Commands.run({"history"}).m_exitCode == 4);
  setFaults(System, R"({"down":false})");
  BOOST_TEST(revisions(Commands) == 1u);
}

BOOST_AUTO_TEST_CASE(a_slow_store_is_waited_for) {
  Deployment System;
  System.startStore();
  CommandRunner Commands(System);
  setFaults(System, R"({"delayMs":200})");
  BOOST_TEST(Commands.run({"publish", Censo}).m_exitCode == 0);
  BOOST_TEST(Commands.run({"diff", Censo}).m_exitCode == 0);
}

BOOST_FIXTURE_TEST_CASE(hosts_serve_on_while_the_store_is_down, Fixture) {
  setFaults(m_system, R"({"down":true})");
  auto Reads = counts(m_system)["/v3/kv/range"].get<int>();
  // Several reads of each host have failed before the requests are sent.
  BOOST_REQUIRE(waitUntil([&] {
    return counts(m_system)["/v3/kv/range"].get<int>() > Reads + 10;
  }));
  BOOST_TEST(served() == Keys);
  setFaults(m_system, R"({"down":false})");
  CommandResult Drain = m_commands.run({"drain", "herd-2"});
  BOOST_TEST(Drain.says("accepted as revision 2"));
}

BOOST_FIXTURE_TEST_CASE(the_owner_that_is_named_answers, Fixture) {
  for (int Key = 0; Key < Keys; ++Key) {
    CommandResult Owner =
        m_commands.run({"owner", "herd", std::to_string(Key)});
    BOOST_REQUIRE(Owner.m_exitCode == 0);
    const Endpoint &Where = m_system.m_hosts.begin()->second.m_callers;
    auto Answer = nlohmann::json::parse(get(Where, Key).m_body);
    BOOST_TEST(Owner.says(Answer["upstream"].get<std::string>() + " ("));
  }
  BOOST_TEST(m_commands.run({"owner", "fee", "1"}).m_exitCode == 6);
}
