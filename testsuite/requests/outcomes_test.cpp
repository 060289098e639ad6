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
#include <iomanip>
#include <random>
#include <sstream>

using namespace burdockpulley;

namespace {

constexpr int RequestCount = 4000;
constexpr int Concurrency = 24;
constexpr int RequestsPerKill = 150;
constexpr int HostKillAt = RequestCount / 2;
constexpr int MaxRepeats = 3;
constexpr Duration CallTimeout{10'000'000};

/// The sample set with its idempotent methods on both services.
Declarations declared() {
  Declarations Set = sampleSet();
  for (Service &Each : Set.m_services)
    Each.m_idempotentMethods = {"GET"};
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

/// A version 7 UUID, issued now.
std::string idempotencyKey() {
  auto Since1970 = std::chrono::system_clock::now().time_since_epoch();
  auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Since1970);
  std::ostringstream Time;
  Time << std::hex << std::setw(12) << std::setfill('0') << Millis.count();
  std::string Digits = Time.str();
  return Digits.substr(0, 8) + "-" + Digits.substr(8) + "-7" +
         randomUuid().substr(15);
}

/// One request and what its caller was told last.
struct Told {
  std::string m_method;
  std::string m_target;
  std::string m_key; ///< Idempotency key; may be empty.
  std::string m_outcome;
  std::string m_answer;
  int m_repeats = 0;
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
  int replayed() const { return m_replayed; }

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
    if (Number % 8 >= 6)
      Row.m_key = idempotencyKey();
    Row.m_target = Keyed ? "/herds/" + std::to_string(Number % 97) : "/fees";
    send(Number);
  }

  void send(int Number) {
    const Told &Row = m_told[Number];
    std::string Body = Row.m_method == "POST" ? std::to_string(Number) : "";
    HttpRequest Request{Row.m_method,
                        Row.m_target,
                        {{"Authorization", "Bearer secret"},
                         {"X-Sequence", std::to_string(Number)}},
                        Body};
    if (!Row.m_key.empty())
      Request.m_headers.push_back({"Idempotency-Key", Row.m_key});
    m_clients[m_random() % m_clients.size()]->call(
        std::move(Request), CallTimeout,
        [this, Number, Body](HttpError Error, HttpResponse &&Response) {
          judge(m_told[Number], Body, Error, Response);
          if (repeat(m_told[Number]))
            return send(Number);
          sendNext();
          if (++m_done == RequestCount)
            event_base_loopbreak(m_base);
        });
  }

  /// Callers with a key repeat, mostly through another host, also when they
  /// have been answered.
  bool repeat(Told &Row) {
    if (Row.m_key.empty() || Row.m_repeats == MaxRepeats)
      return false;
    ++Row.m_repeats;
    return true;
  }

  void judge(Told &Row, const std::string &Body, HttpError Error,
             const HttpResponse &Response) {
    // A host that can not be reached says nothing about earlier tries.
    if (Error == HttpError::ConnectFailed && Row.m_outcome.empty())
      Row.m_outcome = "not-run";
    else if (Error == HttpError::ConnectFailed)
      return;
    else if (Error != HttpError::None)
      Row.m_outcome = "unknown";
    else if (Response.m_status != 200)
      Row.m_outcome = Response.header("X-Burdockpulley-Outcome");
    else
      Row.m_outcome = "answered";
    if (Row.m_outcome != "answered")
      return;
    bool Changed = !Row.m_answer.empty() && Row.m_answer != Response.m_body;
    Row.m_answer = Response.m_body;
    m_wrong += Changed ? 1 : 0;
    m_replayed += Response.header("X-Burdockpulley-Replayed") == "true";
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
  int m_replayed = 0;
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

/// Ledger hosts that have just started do not grant keys yet.
bool keysGranted(const Deployment &System) {
  for (const auto &[Name, Host] : System.m_hosts) {
    HttpRequest Request{"POST",
                        "/fees",
                        {{"Authorization", "Bearer secret"},
                         {"Idempotency-Key", idempotencyKey()}},
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
  BOOST_REQUIRE(waitUntil([&] { return keysGranted(System); }));
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
      ++Outcomes[Row.m_method + (Row.m_key.empty() ? " " : "+key ") +
                 Row.m_outcome];
      FalseNotRun += Row.m_outcome == "not-run" && Runs[I] > 0;
      DoubleRuns += Row.m_method == "POST" && Runs[I] > 1;
      FalseAnswers += Row.m_outcome == "answered" && Runs[I] == 0;
    }
    BOOST_TEST(Driver.wrong() == 0);
    BOOST_TEST_MESSAGE("replayed " << Driver.replayed());
    BOOST_TEST(Driver.replayed() > RequestCount / 8);
  }
  event_base_free(Base);
  for (const auto &[Name, Count] : Outcomes)
    BOOST_TEST_MESSAGE(Name << " " << Count);
  BOOST_TEST(FalseNotRun == 0);
  BOOST_TEST(DoubleRuns == 0);
  BOOST_TEST(FalseAnswers == 0);
  BOOST_TEST(Outcomes["GET "] == 0);
  BOOST_TEST(Outcomes["POST "] == 0);
  BOOST_TEST(Outcomes["POST answered"] > RequestCount / 8);
  BOOST_TEST(Outcomes["POST+key answered"] > RequestCount / 8);
}
