// Upstreams and an entry host are killed under mixed load. The run logs of the
// upstreams judge what the callers were told.
#include "burdockpulley/hashing.h"
#include "burdockpulley/http.h"
#include "burdockpulley/testkit.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <random>
#include <sstream>

using namespace burdockpulley;

namespace {

constexpr int RequestCount = 4000;
constexpr int Concurrency = 24;
constexpr int RequestsPerKill = 150;
constexpr int HostKillAt = RequestCount / 2;
constexpr Duration CallTimeout{10'000'000};

Declarations declared() {
  Declarations Set;
  Set.m_tenants = {{TenantId("censo"), sha256Hex("secret")}};
  Set.m_domains = {{DomainId("curico"), "cl", {}},
                   {DomainId("talca"), "cl", {}}};
  Service Fee;
  Fee.m_name = ServiceId("fee");
  Fee.m_tenant = TenantId("censo");
  Fee.m_idempotentMethods = {"GET"};
  Service Herd = Fee;
  Herd.m_name = ServiceId("herd");
  Herd.m_keySource = KeySource::PathSegment;
  Herd.m_keySegment = 1;
  Herd.m_keyName = "1";
  Herd.m_partitions = 64;
  Set.m_services = {Fee, Herd};
  Set.m_routes = {{"fees", TenantId("censo"), "/fees", ServiceId("fee")},
                  {"herds", TenantId("censo"), "/herds", ServiceId("herd")}};
  return Set;
}

void startAll(Deployment &System) {
  System.startStore();
  for (const char *Domain : {"curico", "talca"})
    for (const char *Number : {"1", "2"}) {
      Upstream Row;
      Row.m_domain = DomainId(Domain);
      Row.m_slots = 4;
      Row.m_warmUp = std::chrono::milliseconds(200);
      for (const char *Service : {"fee", "herd"}) {
        Row.m_service = ServiceId(Service);
        Row.m_name =
            UpstreamId(std::string(Service) + "-" + Domain + "-" + Number);
        System.startUpstream(Row, std::string(Service) == "herd");
      }
      System.startHost(std::string(Domain) + "-" + Number, Domain);
    }
}

/// One request and what its caller was told.
struct Told {
  std::string m_method;
  std::string m_target;
  std::string m_outcome;
};

/// Sends the requests and kills processes between them.
class Load {
public:
  Load(event_base *Base, Deployment &System)
      : m_base(Base), m_system(System), m_told(RequestCount) {
    for (const auto &[Name, Host] : System.m_hosts)
      m_clients.push_back(
          std::make_unique<HttpClient>(Base, Host.m_callers, Concurrency));
  }

  void run() {
    for (int I = 0; I < Concurrency; ++I)
      sendNext();
    event_base_dispatch(m_base);
  }

  const std::vector<Told> &told() const { return m_told; }
  int wrong() const { return m_wrong; }

private:
  void sendNext() {
    if (m_sent == RequestCount)
      return;
    int Number = m_sent++;
    if (Number % RequestsPerKill == RequestsPerKill - 1)
      killUpstream();
    if (Number == HostKillAt)
      m_system.m_hosts.at("curico-2").m_process->signal(SIGKILL);
    bool Keyed = Number % 2 == 0;
    Told &Row = m_told[Number];
    Row.m_method = Number % 4 < 2 ? "GET" : "POST";
    Row.m_target = Keyed ? "/herds/" + std::to_string(Number % 97) : "/fees";
    std::string Body = Row.m_method == "POST" ? std::to_string(Number) : "";
    HttpRequest Request{Row.m_method,
                        Row.m_target,
                        {{"Authorization", "Bearer secret"},
                         {"X-Sequence", std::to_string(Number)}},
                        Body};
    m_clients[m_random() % m_clients.size()]->call(
        std::move(Request), CallTimeout,
        [this, Number, Body](HttpError Error, HttpResponse &&Response) {
          judge(m_told[Number], Body, Error, Response);
          sendNext();
          if (++m_done == RequestCount)
            event_base_loopbreak(m_base);
        });
  }

  void judge(Told &Row, const std::string &Body, HttpError Error,
             const HttpResponse &Response) {
    if (Error == HttpError::ConnectFailed)
      Row.m_outcome = "not-run";
    else if (Error != HttpError::None)
      Row.m_outcome = "unknown";
    else if (Response.m_status != 200)
      Row.m_outcome = Response.header("X-Burdockpulley-Outcome");
    else
      Row.m_outcome = "answered";
    if (Row.m_outcome != "answered")
      return;
    auto Answer = nlohmann::json::parse(Response.m_body, nullptr, false);
    bool Own = Answer.is_object() && Answer["target"] == Row.m_target &&
               Answer["body"] == Body && Answer["method"] == Row.m_method;
    m_wrong += Own ? 0 : 1;
  }

  void killUpstream() {
    auto Victim = m_system.m_upstreams.begin();
    std::advance(Victim, m_random() % m_system.m_upstreams.size());
    Victim->second.m_process->signal(SIGKILL);
    Victim->second.m_process->wait();
    Upstream Declared = Victim->second.m_declared;
    m_system.startUpstream(Declared, Declared.m_service.value() == "herd");
  }

  event_base *m_base;
  Deployment &m_system;
  std::vector<std::unique_ptr<HttpClient>> m_clients;
  std::vector<Told> m_told;
  std::mt19937_64 m_random{20261204};
  int m_sent = 0;
  int m_done = 0;
  int m_wrong = 0;
};

/// How often each request was run, over all upstreams.
std::vector<int> countRuns(const Deployment &System) {
  std::vector<int> Runs(RequestCount);
  for (const auto &[Name, Row] : System.m_upstreams) {
    std::ifstream Log(Row.m_runLog);
    for (std::string Line; std::getline(Log, Line);) {
      std::string Sequence = Line.substr(Line.rfind(' ') + 1);
      if (!Sequence.empty())
        ++Runs.at(std::stoul(Sequence));
    }
  }
  return Runs;
}

bool everyKeyServed(const Deployment &System) {
  for (const auto &[Name, Host] : System.m_hosts)
    for (int Key = 0; Key < 97; ++Key) {
      HttpRequest Request{"GET",
                          "/herds/" + std::to_string(Key),
                          {{"Authorization", "Bearer secret"}},
                          ""};
      if (callOnce(Host.m_callers, Request).m_status != 200)
        return false;
    }
  return true;
}

} // namespace

BOOST_AUTO_TEST_CASE(callers_are_told_the_truth_while_servers_are_killed) {
  std::signal(SIGPIPE, SIG_IGN);
  Deployment System;
  startAll(System);
  BOOST_REQUIRE(System.publish(declared()));
  BOOST_REQUIRE(waitUntil([&] { return everyKeyServed(System); }));
  event_base *Base = event_base_new();
  std::map<std::string, int> Outcomes;
  int FalseNotRun = 0;
  int DoubleRuns = 0;
  int FalseAnswers = 0;
  {
    Load Driver(Base, System);
    Driver.run();
    std::vector<int> Runs = countRuns(System);
    for (int I = 0; I < RequestCount; ++I) {
      const Told &Row = Driver.told()[I];
      ++Outcomes[Row.m_method + " " + Row.m_outcome];
      FalseNotRun += Row.m_outcome == "not-run" && Runs[I] > 0;
      DoubleRuns += Row.m_method == "POST" && Runs[I] > 1;
      FalseAnswers += Row.m_outcome == "answered" && Runs[I] == 0;
    }
    BOOST_TEST(Driver.wrong() == 0);
  }
  event_base_free(Base);
  for (const auto &[Name, Count] : Outcomes)
    BOOST_TEST_MESSAGE(Name << " " << Count);
  BOOST_TEST(FalseNotRun == 0);
  BOOST_TEST(DoubleRuns == 0);
  BOOST_TEST(FalseAnswers == 0);
  BOOST_TEST(Outcomes["GET "] == 0);
  BOOST_TEST(Outcomes["POST "] == 0);
  BOOST_TEST(Outcomes["POST answered"] > RequestCount / 4);
}
