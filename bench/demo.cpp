// Shows the product on real processes: starts a small deployment, sends keyed
// and unkeyed requests through every host, and prints what came of them.
#include "burdockpulley/hashing.h"
#include "burdockpulley/http.h"
#include "burdockpulley/testkit.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <map>

using namespace burdockpulley;

namespace {

constexpr int RequestCount = 3000;
constexpr int Concurrency = 12;
constexpr int KeyCount = 500;
constexpr Duration CallTimeout{5'000'000};

Declarations demoSet() {
  Declarations Set;
  Set.m_teams = {{TeamId("censo"), sha256Hex("demo-token")}};
  Set.m_domains = {{DomainId("curico"), "cl-central", {}},
                   {DomainId("rancagua"), "cl-central", {}},
                   {DomainId("talca"), "cl-central", {}}};
  Service Fee;
  Fee.m_name = ServiceId("fee-collection");
  Fee.m_team = TeamId("censo");
  Service Herd = Fee;
  Herd.m_name = ServiceId("herd-lookup");
  Herd.m_keySource = KeySource::PathSegment;
  Herd.m_keySegment = 1;
  Herd.m_keyName = "1";
  Herd.m_partitions = 256;
  Herd.m_idempotentMethods = {"GET"};
  Set.m_services = {Fee, Herd};
  Set.m_routes = {
      {"fees", TeamId("censo"), "/fees", ServiceId("fee-collection")},
      {"herds", TeamId("censo"), "/herds", ServiceId("herd-lookup")}};
  return Set;
}

void startAll(Deployment &System) {
  System.startStore();
  for (const char *Domain : {"talca", "curico", "rancagua"}) {
    for (int I = 1; I <= 2; ++I) {
      Upstream Row;
      Row.m_domain = DomainId(Domain);
      Row.m_slots = 4;
      Row.m_service = ServiceId("herd-lookup");
      Row.m_name =
          UpstreamId("herd-" + std::string(Domain) + "-" + std::to_string(I));
      System.startUpstream(Row, true);
      Row.m_service = ServiceId("fee-collection");
      Row.m_name =
          UpstreamId("fee-" + std::string(Domain) + "-" + std::to_string(I));
      System.startUpstream(Row, false);
      System.startHost(std::string(Domain) + "-" + std::to_string(I), Domain);
    }
  }
}

/// Sends the requests, a fixed number at a time, and judges each answer.
class Callers {
public:
  Callers(event_base *Base, const Deployment &System) : m_base(Base) {
    for (const auto &[Name, Host] : System.m_hosts)
      m_clients.push_back(
          std::make_unique<HttpClient>(Base, Host.m_callers, Concurrency));
  }

  void run() {
    for (int I = 0; I < Concurrency; ++I)
      sendNext();
    event_base_dispatch(m_base);
  }

  int print() {
    std::sort(m_micros.begin(), m_micros.end());
    std::printf("requests    %d (keyed and unkeyed, through every host)\n",
                RequestCount);
    for (const auto &[Name, Count] : m_outcomes)
      std::printf("  %-10s%d\n", Name.c_str(), Count);
    std::printf("latency     p50 %.2f ms   p99 %.2f ms\n",
                m_micros[m_micros.size() / 2] / 1000.0,
                m_micros[m_micros.size() * 99 / 100] / 1000.0);
    std::map<std::string, int> Owned;
    for (const auto &[Key, Owner] : m_owners)
      ++Owned[Owner];
    std::printf("owners      of the %zu keys seen\n", m_owners.size());
    for (const auto &[Owner, Count] : Owned)
      std::printf("  %-18s%d keys\n", Owner.c_str(), Count);
    std::printf("wrong       %d\n", m_wrong);
    return m_wrong == 0 && m_outcomes["answered"] == RequestCount ? 0 : 1;
  }

private:
  void sendNext() {
    if (m_sent == RequestCount)
      return;
    int Number = m_sent++;
    bool Keyed = Number % 3 != 0;
    std::string Key = std::to_string(Number % KeyCount);
    HttpRequest Request{Keyed ? "GET" : "POST",
                        Keyed ? "/herds/" + Key : "/fees",
                        {{"Authorization", "Bearer demo-token"}},
                        Keyed ? "" : "fee " + std::to_string(Number)};
    std::string Target = Request.m_target;
    std::string Body = Request.m_body;
    auto Start = std::chrono::steady_clock::now();
    m_clients[Number % m_clients.size()]->call(
        std::move(Request), CallTimeout,
        [=, this](HttpError Error, HttpResponse &&Response) {
          auto Spent = std::chrono::steady_clock::now() - Start;
          m_micros.push_back(
              std::chrono::duration_cast<Duration>(Spent).count());
          judge(Error, Response, Target, Body, Keyed ? Key : "");
          sendNext();
          if (++m_done == RequestCount)
            event_base_loopbreak(m_base);
        });
  }

  void judge(HttpError Error, const HttpResponse &Response,
             const std::string &Target, const std::string &Body,
             const std::string &Key) {
    if (Error != HttpError::None || Response.m_status != 200) {
      std::string Outcome(Response.header("X-Burdockpulley-Outcome"));
      ++m_outcomes[Outcome.empty() ? "lost" : Outcome];
      return;
    }
    ++m_outcomes["answered"];
    auto Answer = nlohmann::json::parse(Response.m_body, nullptr, false);
    if (!Answer.is_object() || Answer["target"] != Target ||
        Answer["body"] != Body) {
      ++m_wrong;
      return;
    }
    if (Key.empty())
      return;
    auto [Known, Fresh] = m_owners.emplace(Key, Answer["upstream"]);
    if (Known->second != Answer["upstream"])
      ++m_wrong;
  }

  event_base *m_base;
  std::vector<std::unique_ptr<HttpClient>> m_clients;
  int m_sent = 0;
  int m_done = 0;
  int m_wrong = 0;
  std::map<std::string, int> m_outcomes;
  std::map<std::string, std::string> m_owners;
  std::vector<std::int64_t> m_micros;
};

bool everyKeyServed(const Deployment &System) {
  for (const auto &[Name, Host] : System.m_hosts)
    for (int Key = 0; Key < KeyCount; Key += 10) {
      HttpRequest Request{"GET",
                          "/herds/" + std::to_string(Key),
                          {{"Authorization", "Bearer demo-token"}},
                          ""};
      if (callOnce(Host.m_callers, Request).m_status != 200)
        return false;
    }
  return true;
}

} // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  Deployment System;
  startAll(System);
  std::printf("started     1 store, %zu upstreams, %zu entry hosts in 3 "
              "failure domains\n",
              System.m_upstreams.size(), System.m_hosts.size());
  if (!System.publish(demoSet()) ||
      !waitUntil([&] { return everyKeyServed(System); })) {
    std::printf("the deployment did not become ready\n");
    return 1;
  }
  std::printf(
      "published   declarations are in force, every key has an owner\n");
  event_base *Base = event_base_new();
  int Code = 1;
  {
    Callers Load(Base, System);
    Load.run();
    Code = Load.print();
  }
  event_base_free(Base);
  return Code;
}
