// How long keys are unavailable when something is lost under load.
#include "experiments.h"
#include "load.h"
#include "timeline.h"
#include "workload.h"

#include "burdockpulley/ownership.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <set>
#include <thread>

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
  std::function<void()> m_settle; ///< After the load; may be empty.
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
  if (Which.m_settle)
    Which.m_settle();
  addRow(Which, Result, Plan.m_length, Found);
  if (!Options.m_plot.empty())
    plotTimeline(Options.m_plot + "-" + Which.m_name, Title, Result);
  return Found;
}

/// Takes a failure domain out and brings it back, and watches when its
/// upstreams have run their last request and run again.
class DomainSwitch {
public:
  DomainSwitch(Deployment &System, int Domain)
      : m_system(System), m_domain(domainName(Domain)) {}
  ~DomainSwitch() { join(); }

  /// Publishes on a thread of its own, so that the load goes on.
  void change(bool Out) {
    join();
    m_thread = std::thread([this, Out] { publishAndWatch(Out); });
  }

  void join() {
    if (m_thread.joinable())
      m_thread.join();
  }

  double lastRunMillis() const { return m_lastRun; }
  double firstRunMillis() const { return m_firstRun; }

private:
  static constexpr auto WatchStep = std::chrono::milliseconds(10);
  static constexpr int WatchSteps = 300;

  std::uintmax_t runBytes() const {
    std::uintmax_t Bytes = 0;
    for (const auto &[Name, Row] : m_system.m_upstreams)
      if (Row.m_declared.m_domain.value() == m_domain)
        Bytes += std::filesystem::file_size(Row.m_runLog);
    return Bytes;
  }

  void publishAndWatch(bool Out) {
    Declarations Set = workloadSet(DomainCount, Partitions);
    if (Out)
      Set.m_maintenance = {{"out", UpstreamId(), DomainId(m_domain)}};
    auto Start = std::chrono::steady_clock::now();
    std::uintmax_t Known = runBytes();
    m_system.publish(Set);
    for (int Step = 0; Step < WatchSteps; ++Step) {
      std::uintmax_t Now = runBytes();
      std::chrono::duration<double, std::milli> Spent =
          std::chrono::steady_clock::now() - Start;
      if (Now != Known && Out)
        m_lastRun = Spent.count();
      if (Now != Known && !Out && m_firstRun == 0)
        m_firstRun = Spent.count();
      Known = Now;
      std::this_thread::sleep_for(WatchStep);
    }
  }

  Deployment &m_system;
  std::string m_domain;
  std::thread m_thread;
  double m_lastRun = 0;
  double m_firstRun = 0;
};

} // namespace

Report runDomainOut(const BenchOptions &Options) {
  std::unique_ptr<DomainSwitch> Switch;
  auto Strike = [&](Deployment &System) {
    Switch = std::make_unique<DomainSwitch>(System, 1);
    Switch->change(true);
  };
  auto Heal = [&](Deployment &) { Switch->change(false); };
  auto Settle = [&] { Switch->join(); };
  Report Found = measure("domain-out: one of 3 failure domains is taken out, "
                         "then brought back",
                         {"domain-out", Strike, Heal, "", Settle}, Options);
  if (Switch)
    Found.note("Last run on the domain " +
               std::to_string(int(Switch->lastRunMillis())) +
               " ms after the order to take it out was sent; first run " +
               std::to_string(int(Switch->firstRunMillis())) +
               " ms after the order to bring it back.");
  return Found;
}

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
