#include "burdockpulley/placement.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <numeric>
#include <random>

using namespace burdockpulley;

namespace {

const ServiceId Herd("herd");
constexpr Duration Tick{250'000};
constexpr std::uint32_t Partitions = 256;

/// Simulates a service in which each planned move takes effect at once.
class SimulatedFleet {
public:
  SimulatedFleet(int Servers, int Domains) {
    Service HerdService;
    HerdService.m_name = Herd;
    HerdService.m_keySource = KeySource::Header;
    HerdService.m_partitions = Partitions;
    m_declared.m_services = {HerdService};
    for (int I = 0; I < Servers; ++I)
      addServer(I, "d" + std::to_string(I % Domains));
    m_weights.assign(Partitions, 1);
    for (const StoreTransaction &Change : planFirstOwners(m_declared, m_table))
      write(Change.m_writes[0].m_value);
  }

  void addServer(int Number, const std::string &Domain) {
    char Name[16];
    snprintf(Name, sizeof(Name), "u%03d", Number);
    Upstream Server;
    Server.m_name = UpstreamId(Name);
    Server.m_service = Herd;
    Server.m_domain = DomainId(Domain);
    Server.m_slots = 4;
    m_declared.m_upstreams.push_back(Server);
  }

  /// Plans and applies moves for \p Time; returns the number of moves.
  std::size_t run(Duration Time) {
    std::size_t Moved = 0;
    for (Instant End = m_now + Time; m_now < End; m_now += Tick) {
      reportLoads();
      auto Moves = m_placement.plan(m_declared, m_table, m_loads, {}, m_now);
      Moved += Moves.size();
      apply(Moves);
    }
    reportLoads();
    return Moved;
  }

  double imbalance() {
    reportLoads();
    return imbalanceOf(m_declared, Herd, m_table, m_loads);
  }

  std::size_t owned(const DomainId &Domain) const {
    std::size_t Count = 0;
    for (const PartitionOwnership &Partition : partitions())
      Count += m_declared.findUpstream(Partition.m_owner)->m_domain == Domain;
    return Count;
  }

  const std::vector<PartitionOwnership> &partitions() const {
    return m_table.chunks(Herd)[0].m_partitions;
  }

  Declarations m_declared;
  std::vector<double> m_weights;

private:
  void apply(const std::vector<PlannedMove> &Moves) {
    if (Moves.empty())
      return;
    OwnershipChunk Chunk = m_table.chunks(Herd)[0];
    for (const PlannedMove &Move : Moves) {
      PartitionOwnership &Partition =
          Chunk.m_partitions[Move.m_partition.value()];
      BOOST_REQUIRE((Partition.m_owner == Move.m_from));
      BOOST_REQUIRE((Move.m_to != Move.m_from));
      Partition.m_owner = Move.m_to;
      Partition.m_token = FencingToken(Partition.m_token.value() + 1);
    }
    write(encodeChunk(Chunk));
  }

  void write(const std::string &Value) {
    m_table.apply({ownershipKey(Herd, 0), Value, StoreVersion(++m_version)});
  }

  void reportLoads() {
    std::map<UpstreamId, UpstreamLoad> Reports;
    for (const Upstream &Server : m_declared.m_upstreams)
      Reports[Server.m_name];
    for (std::uint32_t I = 0; I < Partitions; ++I) {
      UpstreamLoad &Load = Reports[partitions()[I].m_owner];
      Load.m_requestsPerSecond += m_weights[I];
      if (m_weights[I] > 1)
        Load.m_busiest.push_back({PartitionIndex(I), m_weights[I]});
    }
    for (auto &[Name, Load] : Reports)
      m_loads.report(Herd, Name, Load);
  }

  OwnershipTable m_table;
  LoadTable m_loads;
  Placement m_placement;
  Instant m_now{};
  std::int64_t m_version = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_balanced_service_moves_no_partition) {
  SimulatedFleet Fleet(20, 3);
  BOOST_TEST(Fleet.run(std::chrono::minutes(2)) == 0u);
}

BOOST_AUTO_TEST_CASE(a_domain_out_of_service_is_empty_within_two_seconds) {
  SimulatedFleet Fleet(20, 3);
  std::size_t Owned = Fleet.owned(DomainId("d1"));
  BOOST_REQUIRE(Owned > 0u);
  Fleet.m_declared.m_maintenance = {{"out", UpstreamId(), DomainId("d1")}};
  std::size_t Moved = Fleet.run(std::chrono::seconds(2));
  BOOST_TEST(Fleet.owned(DomainId("d1")) == 0u);
  // No more than the partitions of the domain and what balancing costs.
  BOOST_TEST(Moved <= Owned + Partitions / 20);
  BOOST_TEST(Fleet.imbalance() < 1.15);
}

BOOST_AUTO_TEST_CASE(a_domain_that_returns_gets_its_share_with_bounded_moves) {
  SimulatedFleet Fleet(20, 3);
  std::size_t Share = Fleet.owned(DomainId("d1"));
  Fleet.m_declared.m_maintenance = {{"out", UpstreamId(), DomainId("d1")}};
  Fleet.run(std::chrono::seconds(5));
  Fleet.m_declared.m_maintenance.clear();
  std::size_t Moved = Fleet.run(std::chrono::minutes(4));
  BOOST_TEST(Fleet.imbalance() < 1.15);
  BOOST_TEST(Moved <= Share + Share / 5);
}

BOOST_AUTO_TEST_CASE(a_join_moves_about_the_share_of_the_joining_upstream) {
  SimulatedFleet Fleet(20, 3);
  Fleet.addServer(20, "d0");
  std::size_t Moved = Fleet.run(std::chrono::minutes(3));
  std::size_t Minimum = Partitions / 21;
  BOOST_TEST(Moved >= Minimum - 2);
  BOOST_TEST(Moved <= Minimum + 4);
}

BOOST_AUTO_TEST_CASE(shifting_hot_partitions_are_balanced_within_a_minute) {
  BOOST_TEST(rc::check("imbalance comes back under 1.15", [] {
    SimulatedFleet Fleet(20, 3);
    auto Seed = *rc::gen::arbitrary<std::uint32_t>();
    std::mt19937 Random(Seed);
    for (int Shift = 0; Shift < 3; ++Shift) {
      Fleet.m_weights.assign(Partitions, 1);
      for (int I = 0; I < 64; ++I)
        Fleet.m_weights[Random() % Partitions] += 1.5;
      std::size_t Moved = Fleet.run(std::chrono::minutes(1));
      RC_ASSERT(Moved <= Partitions / 3);
      RC_ASSERT(Fleet.imbalance() < 1.15);
    }
  }));
}

BOOST_AUTO_TEST_CASE(one_very_hot_partition_causes_no_endless_moves) {
  SimulatedFleet Fleet(20, 3);
  Fleet.m_weights[7] = 1000;
  std::size_t InitialMoves = Fleet.run(std::chrono::minutes(4));
  BOOST_TEST(Fleet.run(std::chrono::minutes(4)) == 0u);
  BOOST_TEST(InitialMoves < Partitions);
}

BOOST_AUTO_TEST_CASE(a_doubled_fleet_is_balanced_within_the_move_budget) {
  SimulatedFleet Fleet(10, 3);
  for (int I = 10; I < 20; ++I)
    Fleet.addServer(I, "d" + std::to_string(I % 3));
  BOOST_TEST(Fleet.run(std::chrono::minutes(1)) <= Partitions / 4);
  BOOST_TEST(Fleet.run(std::chrono::minutes(2)) <= Partitions / 2);
  BOOST_TEST(Fleet.imbalance() < 1.15);
}
