// Connections that break, stall or end early, between real processes.
#include "burdockpulley/http.h"
#include "burdockpulley/testkit.h"

#include <boost/test/unit_test.hpp>

#include <fstream>

using namespace burdockpulley;

namespace {

constexpr int KeyCount = 16;
constexpr std::size_t BodyBytes = 4000;
/// Longer than several leases of grants.
constexpr auto CutLength = std::chrono::seconds(5);

bool everyKeyServed(const Endpoint &Where) {
  for (int Key = 0; Key < KeyCount; ++Key)
    if (callAsTeam(Where, "GET", "/herds/" + std::to_string(Key), "")
            .m_status != 200)
      return false;
  return true;
}

int lines(const std::string &Path) {
  std::ifstream Input(Path);
  int Count = 0;
  for (std::string Line; std::getline(Input, Line);)
    ++Count;
  return Count;
}

/// One upstream behind a proxy, one host, and a large answer to ask for.
struct BrokenAnswers {
  BrokenAnswers() {
    m_system.startStore();
    m_system.startUpstream(sampleUpstream("fee-1", "fee", "talca"), false);
    m_system.startUpstream(sampleUpstream("herd-1", "herd", "talca"), true);
    m_proxy = &m_system.proxyUpstream("fee-1");
    m_system.startHost("talca-1", "talca");
    m_system.startHost("curico-1", "curico");
    BOOST_REQUIRE(m_system.publish(sampleSet()));
    m_ready = waitUntil([this] { return pay().m_status == 200; });
    BOOST_REQUIRE(m_ready);
  }

  HttpResponse pay() {
    return callAsTeam(m_system.m_hosts.at("talca-1").m_callers, "POST", "/fees",
                      std::string(BodyBytes, 'x'));
  }

  int runs() { return lines(m_system.m_upstreams.at("fee-1").m_runLog); }

  /// A payment whose answer breaks off ran once, and its caller hears so much.
  void checkOneUnknownRun(const std::string &Faults) {
    int Before = runs();
    BOOST_REQUIRE(m_system.setFaults(*m_proxy, Faults));
    HttpResponse Answer = pay();
    BOOST_TEST(Answer.m_status >= 500);
    BOOST_TEST(Answer.header("X-Burdockpulley-Outcome") == "unknown");
    BOOST_TEST(runs() == Before + 1);
    BOOST_REQUIRE(m_system.setFaults(*m_proxy, "{}"));
    BOOST_TEST(waitUntil([this] { return pay().m_status == 200; }));
  }

  Deployment m_system;
  Deployment::ProxyProcess *m_proxy = nullptr;
  bool m_ready = false;
};

} // namespace

BOOST_AUTO_TEST_CASE(an_answer_that_breaks_off_is_never_passed_off_as_whole) {
  BrokenAnswers Case;
  // Within the header fields, within the body, and before the last bytes.
  Case.checkOneUnknownRun(R"({"truncateAfter": 0})");
  Case.checkOneUnknownRun(R"({"truncateAfter": 30})");
  Case.checkOneUnknownRun(R"({"truncateAfter": 1000})");
  Case.checkOneUnknownRun(R"({"truncateAfter": 4000})");
  Case.checkOneUnknownRun(R"({"halfCloseAfter": 1000})");
}

BOOST_AUTO_TEST_CASE(a_reset_within_an_answer_is_told_as_unknown) {
  BrokenAnswers Case;
  Case.checkOneUnknownRun(R"({"resetAfter": 0})");
  Case.checkOneUnknownRun(R"({"resetAfter": 1000})");
}

BOOST_AUTO_TEST_CASE(an_answer_that_stalls_is_told_as_unknown) {
  BrokenAnswers Case;
  Case.checkOneUnknownRun(R"({"cutToCaller": true})");
}

BOOST_AUTO_TEST_CASE(a_refused_connection_is_told_as_not_run) {
  BrokenAnswers Case;
  Case.m_system.m_upstreams.at("fee-1").m_process.reset();
  Case.m_proxy->m_process.reset();
  int Before = Case.runs();
  HttpResponse Answer;
  // The broken connection that was kept may first be told as unknown.
  BOOST_TEST(waitUntil([&] {
    Answer = Case.pay();
    return Answer.header("X-Burdockpulley-Outcome") == "not-run";
  }));
  BOOST_TEST(Case.runs() == Before);
}

BOOST_AUTO_TEST_CASE(keyed_requests_go_on_while_the_store_is_away) {
  Deployment System;
  System.startStore();
  System.startUpstream(sampleUpstream("fee-1", "fee", "talca"), false);
  System.startUpstream(sampleUpstream("herd-1", "herd", "talca"), true);
  System.startUpstream(sampleUpstream("herd-2", "herd", "curico"), true);
  auto &Talca = System.proxyStore("talca");
  auto &Curico = System.proxyStore("curico");
  const Endpoint Where = System.startHost("talca-1", "talca").m_callers;
  System.startHost("curico-1", "curico");
  BOOST_REQUIRE(System.publish(sampleSet()));
  BOOST_REQUIRE(waitUntil([&] { return everyKeyServed(Where); }));
  std::string Cut = R"({"cutToTarget": true, "cutToCaller": true})";
  BOOST_REQUIRE(System.setFaults(Talca, Cut));
  BOOST_REQUIRE(System.setFaults(Curico, Cut));
  int Failed = 0;
  auto End = std::chrono::steady_clock::now() + CutLength;
  while (std::chrono::steady_clock::now() < End)
    Failed += everyKeyServed(Where) ? 0 : 1;
  BOOST_TEST(Failed == 0);
}

BOOST_AUTO_TEST_CASE(a_domain_cut_off_serves_unkeyed_work_by_itself) {
  Deployment System;
  System.startStore();
  System.startUpstream(sampleUpstream("fee-1", "fee", "talca"), false);
  System.startUpstream(sampleUpstream("fee-2", "fee", "curico"), false);
  System.startUpstream(sampleUpstream("herd-1", "herd", "curico"), true);
  auto &Store = System.proxyStore("talca");
  const Endpoint Where = System.startHost("talca-1", "talca").m_callers;
  System.startHost("curico-1", "curico");
  auto &ToTalca = System.proxyPeers("talca-1");
  auto &ToCurico = System.proxyPeers("curico-1");
  BOOST_REQUIRE(System.publish(sampleSet()));
  auto Pay = [&] {
    return callAsTeam(Where, "POST", "/fees", "").m_status == 200;
  };
  BOOST_REQUIRE(waitUntil(Pay));
  std::string Cut = R"({"cutToTarget": true, "cutToCaller": true})";
  BOOST_REQUIRE(System.setFaults(Store, Cut));
  BOOST_REQUIRE(System.setFaults(ToTalca, Cut));
  BOOST_REQUIRE(System.setFaults(ToCurico, Cut));
  constexpr int Needed = 20;
  int InARow = 0;
  BOOST_TEST(waitUntil([&] {
    InARow = Pay() ? InARow + 1 : 0;
    return InARow == Needed;
  }));
}
