// What the failure detector costs by the size of the fleet: members in this
// process that exchange messages in virtual time.
#include "experiments.h"
#include "process_usage.h"

#include "virtual_fleet.h"

#include <unistd.h>

#include <array>

namespace burdockpulley::bench {

namespace {

constexpr Duration Settling{2'000'000};
constexpr Duration Span{2'000'000};
constexpr Duration DetectionStep{50'000};
constexpr Duration DetectionLimit{5'000'000};
/// Frame, kind, sequence, incarnation, digest and field headers on the wire.
constexpr std::size_t MessageOverhead = 36;
constexpr std::size_t UpdateOverhead = 14;
constexpr std::size_t DigestOverhead = 12;

std::size_t estimatedBytes(const MemberMessage &Message) {
  std::size_t Bytes = MessageOverhead + Message.m_target.value().size();
  for (const MemberUpdate &Each : Message.m_updates)
    Bytes += UpdateOverhead + Each.m_host.value().size() +
             Each.m_observer.value().size();
  for (const DomainDigest &Each : Message.m_digests)
    Bytes += DigestOverhead + Each.m_domain.value().size();
  return Bytes;
}

/// Time until all others count a killed member as lost; negative when some do
/// not.
double detectionMillis(VirtualFleet &Fleet) {
  Instant Killed = Fleet.now();
  Instant Seen{};
  Fleet.kill(0);
  auto Watch = [&] {
    for (std::size_t I = 1; I < Fleet.size() && Seen == Instant{}; ++I)
      if (!Fleet.lost(I, 0))
        return;
    Seen = Seen == Instant{} ? Fleet.now() : Seen;
  };
  while (Seen == Instant{} && Fleet.now() - Killed < DetectionLimit)
    Fleet.run(DetectionStep, Watch);
  return Seen == Instant{} ? -1 : double((Seen - Killed).count()) / 1000;
}

void measure(std::size_t Hosts, std::size_t Domains,
             const BenchOptions &Options, Report &Found) {
  std::uint64_t Memory = allocatedBytes();
  VirtualFleet Fleet(Hosts, Domains, Options.m_seed);
  Fleet.run(Settling);
  Memory = allocatedBytes() - Memory;
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
  Fleet.m_onSend = [&](const MemberMessage &Message) {
    ++Messages;
    Bytes += estimatedBytes(Message);
  };
  Duration Cpu = readUsage(getpid()).m_cpu;
  Fleet.run(Span);
  Cpu = readUsage(getpid()).m_cpu - Cpu;
  Fleet.m_onSend = {};
  double MemberSeconds = double(Hosts) * double(Span.count()) / 1e6;
  Found.add(
      {{"hosts", Hosts},
       {"failure domains", Domains},
       {"messages sent/s/host", rounded(double(Messages) / MemberSeconds)},
       {"estimated bytes sent/s/host", rounded(double(Bytes) / MemberSeconds)},
       {"CPU us/s/host", rounded(double(Cpu.count()) / MemberSeconds)},
       {"memory KB/host", rounded(double(Memory) / double(Hosts) / 1024)},
       {"all know of a kill after ms", detectionMillis(Fleet)}});
}

} // namespace

Report runMembership(const BenchOptions &Options) {
  Report Found("membership: the failure detector alone, in virtual time");
  struct Size {
    std::size_t m_hosts;
    std::size_t m_domains;
  };
  for (const Size &Each :
       std::array<Size, 4>{{{12, 3}, {24, 3}, {48, 4}, {96, 4}}})
    measure(Each.m_hosts, Each.m_domains, Options, Found);
  Found.note("CPU includes the virtual network; encoding and sockets are not "
             "in it. Bytes are the sizes of the fields, not of packets.");
  return Found;
}

} // namespace burdockpulley::bench
