// What tables cost by their size: owners of partitions, and declarations.
#include "experiments.h"
#include "process_usage.h"
#include "workload.h"

#include "burdockpulley/ownership.h"

#include <boost/leaf/handle_errors.hpp>

#include <array>
#include <memory>
#include <random>

namespace burdockpulley::bench {

namespace {

constexpr int Lookups = 1'000'000;
constexpr int UpstreamCount = 400;
constexpr int UpstreamsPerService = 20;
constexpr int UpstreamsPerHost = 9;
constexpr int DomainCount = 19;
constexpr int RegionCount = 6;
const ServiceId Herd("herd");

std::string upstreamName(std::uint64_t Number) {
  return "herd-lookup-" + std::to_string(Number);
}

std::vector<StoreEntry> makeChunks(std::uint32_t Partitions) {
  std::vector<StoreEntry> Entries;
  for (std::uint32_t First = 0; First < Partitions;
       First += PartitionsPerChunk) {
    OwnershipChunk Chunk;
    for (std::uint32_t I = 0; I < PartitionsPerChunk; ++I)
      Chunk.m_partitions.push_back({UpstreamId(upstreamName(I % UpstreamCount)),
                                    FencingToken(First + I + 1)});
    StoreEntry Entry;
    Entry.m_key = ownershipKey(Herd, First / PartitionsPerChunk);
    Entry.m_value = encodeChunk(Chunk);
    Entry.m_modified = StoreVersion(1);
    Entries.push_back(std::move(Entry));
  }
  return Entries;
}

double lookupNanos(const OwnershipTable &Table, std::uint32_t Partitions,
                   std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::vector<std::string> Keys;
  for (int I = 0; I < 4096; ++I)
    Keys.push_back("cl-" + std::to_string(Random()));
  std::uint64_t Sum = 0;
  Instant Start = benchNow();
  for (int I = 0; I < Lookups; ++I) {
    const PartitionOwnership *Row = Table.find(
        Herd, partitionOf(Keys[std::size_t(I) % Keys.size()], Partitions));
    Sum += Row ? Row->m_token.value() : 0;
  }
  Duration Spent = benchNow() - Start;
  return Sum ? double(Spent.count()) * 1000 / Lookups : 0;
}

void measureTable(std::uint32_t Partitions, std::uint64_t Seed, Report &Found) {
  std::vector<StoreEntry> Entries = makeChunks(Partitions);
  double Stored = 0;
  for (const StoreEntry &Entry : Entries)
    Stored += double(Entry.m_value.size());
  std::uint64_t Before = allocatedBytes();
  auto Table = std::make_unique<OwnershipTable>();
  Instant Start = benchNow();
  for (const StoreEntry &Entry : Entries)
    Table->apply(Entry);
  Duration Applied = benchNow() - Start;
  double Bytes = double(allocatedBytes() - Before);
  Found.add({{"partitions", Partitions},
             {"lookup ns", rounded(lookupNanos(*Table, Partitions, Seed))},
             {"memory bytes/partition", rounded(Bytes / Partitions)},
             {"store bytes/partition", rounded(Stored / Partitions)},
             {"store values", Entries.size()},
             {"decode us/value",
              rounded(double(Applied.count()) / double(Entries.size()))}});
}

Declarations setOfSize(int Upstreams) {
  Declarations Set;
  Set.m_teams = workloadSet(1, 1).m_teams;
  for (int I = 0; I < DomainCount; ++I)
    Set.m_domains.push_back({DomainId("domain-" + std::to_string(I)),
                             "region-" + std::to_string(I % RegionCount),
                             {}});
  for (int I = 0; I < std::max(DomainCount, Upstreams / UpstreamsPerHost);
       ++I) {
    std::string Address =
        "10.1." + std::to_string(I / 250) + "." + std::to_string(I % 250 + 1);
    Set.m_domains[std::size_t(I % DomainCount)].m_hosts.push_back(
        {HostId("host-" + std::to_string(I)), {Address, 7000}});
  }
  int Services = std::max(1, Upstreams / UpstreamsPerService);
  Service Pattern = workloadSet(1, 256).m_services[1];
  for (int I = 0; I < Services; ++I) {
    Pattern.m_name = ServiceId("herd-" + std::to_string(I));
    Set.m_services.push_back(Pattern);
    Set.m_routes.push_back({"route-" + std::to_string(I), Pattern.m_team,
                            "/herds-" + std::to_string(I), Pattern.m_name});
  }
  for (int I = 0; I < Upstreams; ++I) {
    Upstream Row;
    Row.m_name = UpstreamId("upstream-" + std::to_string(I));
    Row.m_service = Set.m_services[std::size_t(I % Services)].m_name;
    Row.m_domain = Set.m_domains[std::size_t(I % DomainCount)].m_name;
    Row.m_address = {"10.0." + std::to_string(I / 250 % 250) + "." +
                         std::to_string(I % 250 + 1),
                     std::uint16_t(8000 + I / 62500)};
    Set.m_upstreams.push_back(Row);
  }
  return Set;
}

void measureSet(int Upstreams, Report &Found) {
  Declarations Set = setOfSize(Upstreams);
  Instant Start = benchNow();
  std::string Text = encodeDeclarations(Set);
  Duration Encoded = benchNow() - Start;
  std::uint64_t Before = allocatedBytes();
  Start = benchNow();
  std::unique_ptr<Declarations> Read;
  std::size_t Faults = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::size_t> {
        BOOST_LEAF_AUTO(Decoded, decodeDeclarations(Text));
        Read = std::make_unique<Declarations>(std::move(Decoded));
        return std::size_t(0);
      },
      [](const DeclarationFaults &Which) { return Which.m_faults.size(); },
      [] { return std::size_t(1); });
  Duration Decoded = benchNow() - Start;
  double Bytes = double(allocatedBytes() - Before);
  Found.add({{"upstreams", Upstreams},
             {"services", Set.m_services.size()},
             {"faults", Faults},
             {"text KB", rounded(double(Text.size()) / 1024)},
             {"write ms", rounded(double(Encoded.count()) / 1000)},
             {"parse and check ms", rounded(double(Decoded.count()) / 1000)},
             {"memory KB", rounded(Bytes / 1024)}});
}

} // namespace

Report runLookup(const BenchOptions &Options) {
  Report Found("lookup: owner of a key, by partitions of one service");
  for (std::uint32_t Partitions : {4096U, 65536U, 1048576U})
    measureTable(Partitions, Options.m_seed, Found);
  return Found;
}

Report runDeclarations(const BenchOptions &) {
  Report Found(
      "declarations: a set in canonical form, 20 upstreams a service, 9 a "
      "host, 19 failure domains");
  for (int Upstreams : {100, 1000, 10000})
    measureSet(Upstreams, Found);
  return Found;
}

} // namespace burdockpulley::bench
