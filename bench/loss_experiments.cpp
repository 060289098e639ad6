// How long keys are unavailable when something is lost under load.
#include "experiments.h"
#include "load.h"
#include "timeline.h"
#include "workload.h"

#include "burdockpulley/ownership.h"

#include <algorithm>
#include <csignal>
#include <set>

namespace burdockpulley::bench {

namespace {

constexpr int DomainCount = 3;
constexpr int KeyCount = 40;
constexpr int HostsPerDomain = 2;
constexpr int UpstreamsPerDomain = 2;
constexpr std::uint32_t Partitions = 256;
constexpr double DefaultRate = 800;
constexpr Duration Before{2'000'000};

using Action = std::function<void(Deployment &)>;

struct Events {
  const char *m_name;
  Action m_strike;
  Action m_heal;        ///< Halfway through what is left; may be empty.
  std::string m_spared; ///< Host to which callers send: they fail over too.
};

bool start(Deployment &System) {
  System.startStore();
  for (int I = 0; I < DomainCount * UpstreamsPerDomain; ++I)
    startUpstream(System, "herd-" + std::to_string(I), "herd", I % DomainCount,
                  4, Duration(1000));
  startUpstream(System, "fee-1", "fee", 0, 4, Duration(1000));
  startUpstream(System, "search-1", "search", 0, 4, Duration(1000));
  for (int I = 0; I < DomainCount * HostsPerDomain; ++I)
    System.startHost("host-" + std::to_string(I), domainName(I % DomainCount));
  if (!System.publish(workloadSet(DomainCount, Partitions)))
    return false;
  for (const auto &[Name, Host] : System.m_hosts)
    if (!waitForKeys(Host, KeyCount))
      return false;
  return true;
}

int keyOf(std::uint64_t Number) { return int(Number % KeyCount); }

/// The longest time of each key from its first failed request to the next
/// answered one; failed until the end when there is none.
std::map<int, Duration> unavailable(const LoadResult &Result, Duration End) {
  std::vector<Sample> Ordered = Result.m_samples;
  std::sort(Ordered.begin(), Ordered.end(),
            [](const Sample &A, const Sample &B) {
              return A.m_scheduled < B.m_scheduled;
            });
  std::map<int, Duration> Since;
  std::map<int, Duration> Longest;
  for (const Sample &Each : Ordered) {
    int Key = keyOf(Each.m_number);
    if (Each.m_outcome != "answered") {
      Since.emplace(Key, Each.m_scheduled);
      continue;
    }
    auto Failed = Since.find(Key);
    if (Failed == Since.end())
      continue;
    Longest[Key] = std::max(Longest[Key], Each.m_scheduled - Failed->second);
    Since.erase(Failed);
  }
  for (const auto &[Key, From] : Since)
    Longest[Key] = std::max(Longest[Key], End - From);
  return Longest;
}

void addRow(const Events &Which, LoadResult &Result, Duration End,
            Report &Found) {
  std::map<int, Duration> Away = unavailable(Result, End);
  std::vector<Duration> Times;
  for (const auto &[Key, Time] : Away)
    Times.push_back(Time);
  std::sort(Times.begin(), Times.end());
  auto Millis = [](Duration Span) { return double(Span.count()) / 1000; };
  std::map<std::string, int> Outcomes = Result.outcomes();
  std::set<int> Open;
  for (const Sample &Each : Result.m_samples)
    if (Each.m_outcome != "answered" && Each.m_scheduled > End - Before)
      Open.insert(keyOf(Each.m_number));
  Latencies Seen = Result.answered();
  Found.add({{"event", Which.m_name},
             {"requests", Result.m_samples.size()},
             {"answered", Outcomes["answered"]},
             {"not-run", Outcomes["not-run"]},
             {"unknown", Outcomes["unknown"]},
             {"lost", Outcomes["lost"]},
             {"keys hit of 40", Away.size()},
             {"unavailable ms, median hit key",
              Times.empty() ? 0.0 : Millis(Times[Times.size() / 2])},
             {"worst key", Times.empty() ? 0.0 : Millis(Times.back())},
             {"keys failing in the last 2 s", Open.size()},
             {"p99 ms", rounded(Seen.percentileMillis(0.99))}});
}

/// Runs keyed reads through all hosts but those named, with the event.
Report measure(const std::string &Title, const Events &Which,
               const BenchOptions &Options) {
  Report Found(Title);
  Deployment System;
  if (!start(System)) {
    Found.note("The deployment did not become ready.");
    return Found;
  }
  Loop Events;
  LoadPlan Plan;
  Plan.m_ratePerSecond = Options.m_rate > 0 ? Options.m_rate : DefaultRate;
  Plan.m_length = Before + 2 * Options.m_length;
  Plan.m_seed = Options.m_seed;
  std::vector<std::unique_ptr<HttpClient>> Clients;
  for (const auto &[Name, Host] : System.m_hosts)
    if (Name != Which.m_spared)
      Clients.push_back(
          std::make_unique<HttpClient>(Events.base(), Host.m_callers, 256));
  OpenLoad Load(
      Events.base(), Plan, [&](std::uint64_t Number, OpenLoad::Done Done) {
        std::string Target = "/herds/" + std::to_string(keyOf(Number));
        Clients[Number / KeyCount % Clients.size()]->call(
            callerRequest("GET", Target), Plan.m_timeout, std::move(Done));
      });
  Load.at(Before, [&] { Which.m_strike(System); });
  if (Which.m_heal)
    Load.at(Before + Options.m_length, [&] { Which.m_heal(System); });
  LoadResult Result = Load.run();
  addRow(Which, Result, Plan.m_length, Found);
  if (!Options.m_plot.empty())
    plotTimeline(Options.m_plot + "-" + Which.m_name, Title, Result);
  return Found;
}

} // namespace

Report runUpstreamKill(const BenchOptions &Options) {
  auto Strike = [](Deployment &System) {
    System.m_upstreams.at("herd-0").m_process.reset();
  };
  return measure("upstream-kill: one of 6 keyed upstreams is killed",
                 {"upstream-kill", Strike, {}, ""}, Options);
}

Report runHostKill(const BenchOptions &Options) {
  std::vector<HostId> Candidates;
  for (int I = 0; I < DomainCount * HostsPerDomain; I += DomainCount)
    Candidates.push_back(HostId("host-" + std::to_string(I)));
  std::string Keeper = chooseKeeper(UpstreamId("herd-0"), Candidates)->value();
  auto Strike = [=](Deployment &System) {
    System.m_hosts.at(Keeper).m_process.reset();
  };
  return measure("host-kill: the host that keeps an upstream is killed, one "
                 "of 6; callers use the others",
                 {"host-kill", Strike, {}, Keeper}, Options);
}

Report runStoreDown(const BenchOptions &Options) {
  auto Strike = [](Deployment &System) { System.m_store->signal(SIGSTOP); };
  auto Heal = [](Deployment &System) { System.m_store->signal(SIGCONT); };
  return measure("store-down: the store hangs, then goes on",
                 {"store-down", Strike, Heal, ""}, Options);
}

} // namespace burdockpulley::bench
