// Compares placement by load with plain consistent hashing, in virtual time:
// imbalance under a hot set that moves, and churn against the minimum. The
// only time that passes is the argument of the functions under study.
#include "burdockpulley/hashing.h"
#include "burdockpulley/placement.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>

using namespace burdockpulley;

namespace {

const ServiceId Herd("herd");
constexpr Duration Tick{500'000};
constexpr int Domains = 3;
constexpr double HotWeight = 6;
constexpr int HotPartitions = 64;

/// A service of equal upstreams whose moves take effect at once.
class Study {
public:
  Study(int Servers, std::uint32_t Partitions) : m_partitions(Partitions) {
    Service Row;
    Row.m_name = Herd;
    Row.m_keySource = KeySource::Header;
    Row.m_partitions = Partitions;
    m_set.m_services = {Row};
    for (int I = 0; I < Servers; ++I)
      addServer(I);
    m_weights.assign(Partitions, 1);
    for (const StoreTransaction &Change : planFirstOwners(m_set, m_table))
      m_table.apply({Change.m_writes[0].m_key, Change.m_writes[0].m_value,
                     StoreVersion(++m_version)});
  }

  void addServer(int Number) {
    char Name[16];
    snprintf(Name, sizeof(Name), "u%05d", Number);
    Upstream Row;
    Row.m_name = UpstreamId(Name);
    Row.m_service = Herd;
    Row.m_domain = DomainId("d" + std::to_string(Number % Domains));
    Row.m_slots = 4;
    m_set.m_upstreams.push_back(Row);
  }

  void heat(std::mt19937 &Random) {
    m_weights.assign(m_partitions, 1);
    for (int Hot = 0; Hot < HotPartitions; ++Hot)
      m_weights[Random() % m_partitions] = HotWeight;
  }

  std::size_t run(Duration Time) {
    std::size_t Moved = 0;
    for (Instant End = m_now + Time; m_now < End; m_now += Tick) {
      reportLoads();
      auto Start = std::chrono::steady_clock::now();
      auto Moves = m_placement.plan(m_set, m_table, m_loads, {}, m_now);
      m_spent += std::chrono::steady_clock::now() - Start;
      ++m_plans;
      Moved += Moves.size();
      apply(Moves);
    }
    return Moved;
  }

  double imbalance() {
    reportLoads();
    return imbalanceOf(m_set, Herd, m_table, m_loads);
  }

  /// The same weights under rendezvous hashing of partitions to upstreams.
  double hashedImbalance() const {
    std::map<UpstreamId, double> Loads;
    double Sum = 0;
    for (std::uint32_t I = 0; I < m_partitions; ++I) {
      Loads[hashedOwner(I)] += m_weights[I];
      Sum += m_weights[I];
    }
    double Highest = 0;
    for (const auto &[Name, Load] : Loads)
      Highest = std::max(Highest, Load);
    return Highest * static_cast<double>(m_set.m_upstreams.size()) / Sum;
  }

  std::size_t owned(const DomainId &Domain) const {
    std::size_t Count = 0;
    for (const OwnershipChunk &Chunk : m_table.chunks(Herd))
      for (const PartitionOwnership &Row : Chunk.m_partitions)
        Count += m_set.findUpstream(Row.m_owner)->m_domain == Domain;
    return Count;
  }

  double microsPerPlan() const {
    return std::chrono::duration<double, std::micro>(m_spent).count() / m_plans;
  }

  Declarations m_set;

private:
  UpstreamId hashedOwner(std::uint32_t Partition) const {
    const Upstream *Best = nullptr;
    std::uint64_t BestScore = 0;
    for (const Upstream &Row : m_set.m_upstreams) {
      std::uint64_t Score =
          rendezvousScore(std::to_string(Partition), Row.m_name.value());
      if (Best && Score <= BestScore)
        continue;
      Best = &Row;
      BestScore = Score;
    }
    return Best->m_name;
  }

  void apply(const std::vector<PlannedMove> &Moves) {
    std::map<std::uint32_t, OwnershipChunk> Changed;
    for (const PlannedMove &Move : Moves) {
      std::uint32_t Number = Move.m_partition.value() / PartitionsPerChunk;
      auto [Chunk, Fresh] = Changed.try_emplace(Number);
      if (Fresh)
        Chunk->second = m_table.chunks(Herd)[Number];
      Chunk->second.m_partitions[Move.m_partition.value() % PartitionsPerChunk]
          .m_owner = Move.m_to;
    }
    for (const auto &[Number, Chunk] : Changed)
      m_table.apply({ownershipKey(Herd, Number), encodeChunk(Chunk),
                     StoreVersion(++m_version)});
  }

  void reportLoads() {
    std::map<UpstreamId, UpstreamLoad> Reports;
    for (const Upstream &Row : m_set.m_upstreams)
      Reports[Row.m_name];
    for (std::uint32_t I = 0; I < m_partitions; ++I) {
      const PartitionOwnership *Row = m_table.find(Herd, PartitionIndex(I));
      UpstreamLoad &Load = Reports[Row->m_owner];
      Load.m_requestsPerSecond += m_weights[I];
      if (m_weights[I] > 1)
        Load.m_busiest.push_back({PartitionIndex(I), m_weights[I]});
    }
    for (auto &[Name, Load] : Reports)
      m_loads.report(Herd, Name, std::move(Load));
  }

  std::uint32_t m_partitions;
  std::vector<double> m_weights;
  OwnershipTable m_table;
  LoadTable m_loads;
  Placement m_placement;
  Instant m_now{};
  std::int64_t m_version = 0;
  std::chrono::steady_clock::duration m_spent{};
  int m_plans = 0;
};

void studyHotSet() {
  std::printf("hot set: 20 upstreams, 256 partitions, %d of weight %.0f that "
              "change each minute\n",
              HotPartitions, HotWeight);
  std::printf("%8s %12s %12s %12s %8s\n", "minute", "at shift", "after 60 s",
              "hashing", "moved");
  Study Run(20, 256);
  std::mt19937 Random(20261204);
  for (int Minute = 1; Minute <= 5; ++Minute) {
    Run.heat(Random);
    double Before = Run.imbalance();
    std::size_t Moved = Run.run(std::chrono::minutes(1));
    std::printf("%8d %12.3f %12.3f %12.3f %8zu\n", Minute, Before,
                Run.imbalance(), Run.hashedImbalance(), Moved);
  }
}

void studyChurn() {
  std::printf("\nchurn: 20 upstreams in 3 failure domains, 256 partitions\n");
  std::printf("%-24s %8s %8s\n", "event", "moved", "minimum");
  Study Join(20, 256);
  Join.addServer(20);
  std::printf("%-24s %8zu %8d\n", "join", Join.run(std::chrono::minutes(3)),
              256 / 21);
  Study Leave(20, 256);
  Leave.m_set.m_maintenance = {{"out", UpstreamId("u00003"), DomainId()}};
  std::printf("%-24s %8zu %8d\n", "leave", Leave.run(std::chrono::minutes(3)),
              256 / 20);
  Study Out(20, 256);
  std::size_t Share = Out.owned(DomainId("d1"));
  Out.m_set.m_maintenance = {{"out", UpstreamId(), DomainId("d1")}};
  std::printf("%-24s %8zu %8zu\n", "domain out",
              Out.run(std::chrono::minutes(3)), Share);
  Out.m_set.m_maintenance.clear();
  std::printf("%-24s %8zu %8zu\n", "domain back",
              Out.run(std::chrono::minutes(4)), Share);
}

void studyCost() {
  std::printf("\ncost of one plan\n%10s %12s %14s\n", "upstreams", "partitions",
              "microseconds");
  const std::pair<int, std::uint32_t> Sizes[] = {
      {20, 256}, {100, 4096}, {300, 16384}, {1100, 65536}};
  for (auto [Servers, Partitions] : Sizes) {
    Study Run(Servers, Partitions);
    Run.run(std::chrono::seconds(5));
    std::printf("%10d %12u %14.0f\n", Servers, Partitions, Run.microsPerPlan());
  }
}

} // namespace

int main() {
  studyHotSet();
  studyChurn();
  studyCost();
  return 0;
}
