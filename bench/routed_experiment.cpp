// What the system adds between a caller and an upstream, over one host and
// over two.
#include "experiments.h"
#include "load.h"
#include "process_usage.h"
#include "workload.h"

namespace burdockpulley::bench {

namespace {

constexpr std::size_t BodyBytes = 1024;
constexpr double DefaultRate = 2000;
constexpr std::uint32_t Slots = 64;
constexpr std::uint32_t Connections = 64;

/// The deployment: upstream and host "near" in one failure domain, host "far"
/// in another.
struct Processes {
  pid_t m_near;
  pid_t m_far;
};

struct Phase {
  const char *m_name;
  Endpoint m_target;
};

void measure(const Phase &Which, const Processes &Hosts,
             const BenchOptions &Options, Report &Found) {
  Loop Events;
  LoadPlan Plan;
  Plan.m_ratePerSecond = Options.m_rate > 0 ? Options.m_rate : DefaultRate;
  Plan.m_length = Options.m_length;
  Plan.m_seed = Options.m_seed;
  HttpClient Client(Events.base(), Which.m_target, Connections);
  std::string Body(BodyBytes, 'x');
  OpenLoad Load(Events.base(), Plan, [&](std::uint64_t, OpenLoad::Done Done) {
    Client.call(callerRequest("POST", "/fees", Body), Plan.m_timeout,
                std::move(Done));
  });
  Duration Near = readUsage(Hosts.m_near).m_cpu;
  Duration Far = readUsage(Hosts.m_far).m_cpu;
  LoadResult Result = Load.run();
  Near = readUsage(Hosts.m_near).m_cpu - Near;
  Far = readUsage(Hosts.m_far).m_cpu - Far;
  auto Sent = static_cast<double>(Result.m_samples.size());
  Latencies Seen = Result.answered();
  Found.add({{"path", Which.m_name},
             {"requests", Sent},
             {"answered", Result.outcomes()["answered"]},
             {"p50 ms", rounded(Seen.percentileMillis(0.5))},
             {"p99 ms", rounded(Seen.percentileMillis(0.99))},
             {"p99.9 ms", rounded(Seen.percentileMillis(0.999))},
             {"near host CPU us/request", rounded(double(Near.count()) / Sent)},
             {"far host CPU us/request", rounded(double(Far.count()) / Sent)},
             {"sum us/request", rounded(double((Near + Far).count()) / Sent)}});
}

} // namespace

Report runRouted(const BenchOptions &Options) {
  Report Found("routed: straight to the upstream, over one host, over two "
               "hosts; POST with 1 KB each way");
  Deployment System;
  System.startStore();
  startUpstream(System, "fee-1", "fee", 0, Slots, Duration(0));
  startUpstream(System, "herd-1", "herd", 0, Slots, Duration(0));
  startUpstream(System, "search-1", "search", 0, Slots, Duration(0));
  auto &Near = System.startHost("near", domainName(0));
  auto &Far = System.startHost("far", domainName(1));
  auto Served = [](const Deployment::HostProcess &Host) {
    return callOnce(Host.m_callers, callerRequest("POST", "/fees")).m_status ==
           200;
  };
  if (!System.publish(workloadSet(2, 64)) ||
      !waitUntil([&] { return Served(Near) && Served(Far); })) {
    Found.note("The deployment did not become ready.");
    return Found;
  }
  Processes Hosts{Near.m_process->pid(), Far.m_process->pid()};
  const Endpoint &Upstream =
      System.m_upstreams.at("fee-1").m_declared.m_address;
  for (const Phase &Which :
       {Phase{"direct", Upstream}, Phase{"one host", Near.m_callers},
        Phase{"two hosts", Far.m_callers}})
    measure(Which, Hosts, Options, Found);
  return Found;
}

} // namespace burdockpulley::bench
