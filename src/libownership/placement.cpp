#include "burdockpulley/hashing.h"
#include "burdockpulley/ownership.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// A candidate owner and the number of partitions that it owns.
struct Candidate {
  const Upstream *m_upstream;
  std::uint32_t m_partitions = 0;

  double partitionsPerSlot() const {
    return static_cast<double>(m_partitions) / m_upstream->m_slots;
  }
};

std::vector<Candidate> candidatesOf(const Declarations &Declared,
                                    const Service &DeclaredService,
                                    const OwnershipTable &Table,
                                    const std::set<UpstreamId> &Down) {
  std::vector<Candidate> Candidates;
  for (const Upstream &Server : Declared.m_upstreams)
    if (Server.m_service == DeclaredService.m_name &&
        !Declared.outOfService(Server) && !Down.count(Server.m_name))
      Candidates.push_back({&Server});
  for (const OwnershipChunk &Chunk : Table.chunks(DeclaredService.m_name))
    for (const PartitionOwnership &Partition : Chunk.m_partitions)
      for (Candidate &Owner : Candidates)
        if (Owner.m_upstream->m_name == Partition.m_owner)
          ++Owner.m_partitions;
  return Candidates;
}

/// Assigns each partition without an owner to the candidate with the fewest
/// partitions per slot. True when any was assigned.
bool assignOwners(std::vector<PartitionOwnership> &Partitions,
                  std::vector<Candidate> &Candidates) {
  bool Changed = false;
  for (PartitionOwnership &Partition : Partitions) {
    if (!Partition.m_owner.value().empty())
      continue;
    auto Least = std::min_element(
        Candidates.begin(), Candidates.end(),
        [](const Candidate &Left, const Candidate &Right) {
          return Left.partitionsPerSlot() < Right.partitionsPerSlot();
        });
    Partition.m_owner = Least->m_upstream->m_name;
    Partition.m_token = FencingToken(Partition.m_token.value() + 1);
    ++Least->m_partitions;
    Changed = true;
  }
  return Changed;
}

/// Appends the transactions that give an owner to partitions of the service
/// that have none.
void planService(const Service &DeclaredService, const Declarations &Declared,
                 const OwnershipTable &Table, const std::set<UpstreamId> &Down,
                 std::vector<StoreTransaction> &Plan) {
  std::vector<Candidate> Candidates =
      candidatesOf(Declared, DeclaredService, Table, Down);
  if (Candidates.empty())
    return;
  std::span<const OwnershipChunk> Chunks = Table.chunks(DeclaredService.m_name);
  std::uint32_t ChunkCount =
      (DeclaredService.m_partitions + PartitionsPerChunk - 1) /
      PartitionsPerChunk;
  for (std::uint32_t Number = 0; Number < ChunkCount; ++Number) {
    OwnershipChunk Chunk;
    if (Number < Chunks.size())
      Chunk = Chunks[Number];
    std::uint32_t FirstPartition = Number * PartitionsPerChunk;
    std::uint32_t Size = std::min(
        PartitionsPerChunk, DeclaredService.m_partitions - FirstPartition);
    Chunk.m_partitions.resize(Size);
    if (!assignOwners(Chunk.m_partitions, Candidates))
      continue;
    std::string Key = ownershipKey(DeclaredService.m_name, Number);
    Plan.push_back(
        {{{Key, Chunk.m_version}}, {{Key, encodeChunk(Chunk), false, {}}}});
  }
}

} // namespace

const HostId *chooseKeeper(const UpstreamId &Upstream,
                           std::span<const HostId> LiveHosts) {
  const HostId *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const HostId &Host : LiveHosts) {
    std::uint64_t Score = rendezvousScore(Upstream.value(), Host.value());
    if (Best && Score <= BestScore)
      continue;
    Best = &Host;
    BestScore = Score;
  }
  return Best;
}

std::vector<StoreTransaction>
planFirstOwners(const Declarations &Declared, const OwnershipTable &Table,
                const std::set<UpstreamId> &Down) {
  std::vector<StoreTransaction> Plan;
  for (const Service &DeclaredService : Declared.m_services)
    if (DeclaredService.keyed())
      planService(DeclaredService, Declared, Table, Down, Plan);
  return Plan;
}

} // namespace burdockpulley
