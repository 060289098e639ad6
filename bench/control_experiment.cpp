// What an idle deployment costs by the number of its hosts.
#include "experiments.h"
#include "process_usage.h"
#include "workload.h"

#include <charconv>
#include <cmath>

namespace burdockpulley::bench {

namespace {

constexpr int DomainCount = 3;
constexpr int KeyedUpstreams = 6;
constexpr std::uint32_t Partitions = 64;
constexpr int HostsUnderGrants = 3;

struct Totals {
  double m_cpuMicros = 0;
  double m_read = 0;
  double m_written = 0;
  double m_resident = 0;
  double m_storeCalls = 0;
};

double storeCalls(const Deployment &System) {
  HttpResponse Answer =
      callOnce(System.m_storeAddress, {"GET", "/standin/calls", {}, ""});
  std::uint64_t Calls = 0;
  std::from_chars(Answer.m_body.data(),
                  Answer.m_body.data() + Answer.m_body.size(), Calls);
  return double(Calls);
}

Totals readTotals(const Deployment &System) {
  Totals Sum;
  for (const auto &[Name, Host] : System.m_hosts) {
    ProcessUsage Usage = readUsage(Host.m_process->pid());
    Sum.m_cpuMicros += double(Usage.m_cpu.count());
    Sum.m_read += double(Usage.m_readBytes);
    Sum.m_written += double(Usage.m_writtenBytes);
    Sum.m_resident += double(Usage.m_residentBytes);
  }
  Sum.m_storeCalls = storeCalls(System);
  return Sum;
}

bool start(Deployment &System, int Hosts, std::uint32_t OwnedPartitions) {
  System.startStore();
  for (int I = 0; I < KeyedUpstreams; ++I)
    startUpstream(System, "herd-" + std::to_string(I), "herd", I % DomainCount,
                  4, Duration(1000));
  startUpstream(System, "fee-1", "fee", 0, 4, Duration(1000));
  startUpstream(System, "search-1", "search", 0, 4, Duration(1000));
  for (int I = 0; I < Hosts; ++I)
    System.startHost("host-" + std::to_string(I), domainName(I % DomainCount));
  return System.publish(workloadSet(DomainCount, OwnedPartitions)) &&
         waitForKeys(System.m_hosts.begin()->second, 20);
}

/// What the hosts use together while nobody calls.
Totals measureIdle(const Deployment &System, const BenchOptions &Options) {
  Totals Before = readTotals(System);
  Instant Start = benchNow();
  waitUntil([&] { return benchNow() - Start >= Options.m_length; });
  Totals Spent = readTotals(System);
  double Seconds = double((benchNow() - Start).count()) / 1e6;
  Spent.m_cpuMicros = (Spent.m_cpuMicros - Before.m_cpuMicros) / Seconds;
  Spent.m_read = (Spent.m_read - Before.m_read) / Seconds;
  Spent.m_written = (Spent.m_written - Before.m_written) / Seconds;
  Spent.m_storeCalls = (Spent.m_storeCalls - Before.m_storeCalls) / Seconds;
  return Spent;
}

/// Time from a publish until every host routes by the new set; negative when
/// that does not come about.
double publishMillis(Deployment &System) {
  Declarations Set = workloadSet(DomainCount, Partitions);
  Set.m_routes.push_back(
      {"more", Set.m_teams[0].m_name, "/more", ServiceId("fee")});
  Instant Start = benchNow();
  if (!System.publish(Set))
    return -1;
  for (const auto &[Name, Host] : System.m_hosts)
    if (!waitUntil([&, &Host = Host] {
          HttpRequest Request = callerRequest("POST", "/more");
          return callOnce(Host.m_callers, Request).m_status != 404;
        }))
      return -1;
  return double((benchNow() - Start).count()) / 1000;
}

void measureHosts(int Hosts, const BenchOptions &Options, Report &Found) {
  Deployment System;
  if (!start(System, Hosts, Partitions)) {
    Found.note(std::to_string(Hosts) + " hosts did not become ready.");
    return;
  }
  Totals Idle = measureIdle(System, Options);
  Found.add({{"hosts", Hosts},
             {"CPU % of a core/host", rounded(Idle.m_cpuMicros / 1e4 / Hosts)},
             {"RSS MB/host", rounded(Idle.m_resident / Hosts / 1048576)},
             {"read bytes/s/host", std::round(Idle.m_read / Hosts)},
             {"written bytes/s/host", std::round(Idle.m_written / Hosts)},
             {"store calls/s/host", rounded(Idle.m_storeCalls / Hosts)},
             {"store calls/s", rounded(Idle.m_storeCalls)},
             {"publish to all in force ms", rounded(publishMillis(System))}});
}

void measureGrants(std::uint32_t Owned, const BenchOptions &Options,
                   Report &Found) {
  Deployment System;
  if (!start(System, HostsUnderGrants, Owned)) {
    Found.note(std::to_string(Owned) + " partitions did not become ready.");
    return;
  }
  Totals Idle = measureIdle(System, Options);
  Found.add(
      {{"partitions", Owned},
       {"CPU ms/s, all hosts", rounded(Idle.m_cpuMicros / 1000)},
       {"written bytes/s, all hosts", std::round(Idle.m_written)},
       {"bytes/s/partition", rounded(Idle.m_written / Owned)},
       {"RSS MB/host", rounded(Idle.m_resident / HostsUnderGrants / 1048576)}});
}

} // namespace

Report runControl(const BenchOptions &Options) {
  Report Found("control: an idle deployment of 3 failure domains, 6 keyed "
               "upstreams and 64 partitions");
  for (int Hosts : Options.m_hosts)
    measureHosts(Hosts, Options, Found);
  Found.note("Bytes are all that a host's process reads and writes: peers, "
             "store and grants to upstreams, HTTP included.");
  return Found;
}

Report runGrants(const BenchOptions &Options) {
  Report Found("grants: an idle deployment of 3 hosts and 6 keyed upstreams, "
               "by the number of partitions");
  for (std::uint32_t Owned : {4096U, 16384U, 65536U})
    measureGrants(Owned, Options, Found);
  return Found;
}

} // namespace burdockpulley::bench
