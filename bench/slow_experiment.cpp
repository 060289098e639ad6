// Tail latency while some upstreams are ten times slower than the others.
#include "experiments.h"
#include "load.h"
#include "workload.h"

#include <algorithm>

namespace burdockpulley::bench {

namespace {

constexpr int UpstreamCount = 20;
constexpr int DomainCount = 3;
constexpr std::uint32_t Slots = 4;
constexpr Duration ServiceTime{10'000};
constexpr int Slowdown = 10;
constexpr double DefaultRate = 1000;
constexpr std::uint32_t Connections = 512;

using Clients = std::vector<std::unique_ptr<HttpClient>>;

/// Chooses the client for the next request of a load.
using Choice = std::function<HttpClient &(Clients &, std::uint64_t Number)>;

HttpClient &roundRobin(Clients &All, std::uint64_t Number) {
  return *All[Number % All.size()];
}

HttpClient &leastConnections(Clients &All, std::uint64_t) {
  return **std::min_element(All.begin(), All.end(),
                            [](const auto &A, const auto &B) {
                              return A->inFlight() < B->inFlight();
                            });
}

struct Phase {
  std::string m_name;
  std::vector<Endpoint> m_targets;
  Choice m_choose;
  std::function<HttpRequest(std::uint64_t)> m_request;
};

void measure(const Phase &Which, int SlowCount, const BenchOptions &Options,
             Report &Found) {
  Loop Events;
  LoadPlan Plan;
  Plan.m_ratePerSecond = Options.m_rate > 0 ? Options.m_rate : DefaultRate;
  Plan.m_length = Options.m_length;
  Plan.m_seed = Options.m_seed;
  Clients All;
  for (const Endpoint &Target : Which.m_targets)
    All.push_back(
        std::make_unique<HttpClient>(Events.base(), Target, Connections));
  OpenLoad Load(
      Events.base(), Plan, [&](std::uint64_t Number, OpenLoad::Done Done) {
        Which.m_choose(All, Number)
            .call(Which.m_request(Number), Plan.m_timeout, std::move(Done));
      });
  LoadResult Result = Load.run();
  Latencies Seen = Result.answered();
  std::map<std::string, int> Outcomes = Result.outcomes();
  Found.add({{"slow of 20", SlowCount},
             {"policy", Which.m_name},
             {"requests", Result.m_samples.size()},
             {"answered", Outcomes["answered"]},
             {"not-run", Outcomes["not-run"]},
             {"unknown", Outcomes["unknown"]},
             {"lost", Outcomes["lost"]},
             {"p50 ms", rounded(Seen.percentileMillis(0.5))},
             {"p99 ms", rounded(Seen.percentileMillis(0.99))},
             {"p99.9 ms", rounded(Seen.percentileMillis(0.999))}});
}

bool start(Deployment &System, int SlowCount) {
  System.startStore();
  for (int I = 0; I < UpstreamCount; ++I) {
    Duration Time = I < SlowCount ? ServiceTime * Slowdown : ServiceTime;
    std::string Number = std::to_string(I);
    startUpstream(System, "search-" + Number, "search", I % DomainCount, Slots,
                  Time);
    startUpstream(System, "herd-" + Number, "herd", I % DomainCount, Slots,
                  Time);
  }
  startUpstream(System, "fee-1", "fee", 0, Slots, ServiceTime);
  for (int I = 0; I < DomainCount; ++I)
    System.startHost("host-" + std::to_string(I), domainName(I));
  if (!System.publish(workloadSet(DomainCount, 256)))
    return false;
  for (const auto &[Name, Host] : System.m_hosts)
    if (!waitForKeys(Host, UpstreamCount))
      return false;
  return true;
}

void measureAll(int SlowCount, const BenchOptions &Options, Report &Found) {
  Deployment System;
  if (!start(System, SlowCount)) {
    Found.note("The deployment did not become ready.");
    return;
  }
  std::vector<Endpoint> Upstreams;
  for (const auto &[Name, Row] : System.m_upstreams)
    if (Row.m_declared.m_service == ServiceId("search"))
      Upstreams.push_back(Row.m_declared.m_address);
  std::vector<Endpoint> Hosts;
  for (const auto &[Name, Row] : System.m_hosts)
    Hosts.push_back(Row.m_callers);
  auto Search = [](std::uint64_t) { return callerRequest("GET", "/search"); };
  auto Keyed = [](std::uint64_t Number) {
    return callerRequest("GET", "/herds/" + std::to_string(Number % 1000));
  };
  for (const Phase &Which :
       {Phase{"round robin (baseline)", Upstreams, roundRobin, Search},
        Phase{"least connections (baseline)", Upstreams, leastConnections,
              Search},
        Phase{"burdockpulley, unkeyed", Hosts, roundRobin, Search},
        Phase{"burdockpulley, keyed", Hosts, roundRobin, Keyed}})
    measure(Which, SlowCount, Options, Found);
}

} // namespace

Report runSlow(const BenchOptions &Options) {
  Report Found("slow: 20 upstreams of 4 slots and 10 ms, some at 100 ms");
  for (int SlowCount : {0, 1, 3})
    measureAll(SlowCount, Options, Found);
  Found.note("The baselines call the upstreams straight from the load tool; "
             "least connections sees all requests of the fleet.");
  return Found;
}

} // namespace burdockpulley::bench
