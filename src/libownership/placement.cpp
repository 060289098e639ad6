#include "burdockpulley/hashing.h"
#include "burdockpulley/ownership.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// A candidate owner while partitions are handed out.
struct Candidate {
  const Upstream *m_upstream;
  std::uint32_t m_partitions = 0;

  double load() const {
    return static_cast<double>(m_partitions) / m_upstream->m_slots;
  }
};

std::vector<Candidate> candidatesOf(const Declarations &Declared,
                                    const Service &Target,
                                    const OwnershipTable &Table,
                                    const std::set<UpstreamId> &Down) {
  std::vector<Candidate> Candidates;
  for (const Upstream &Server : Declared.m_upstreams)
    if (Server.m_service == Target.m_name && !Declared.outOfService(Server) &&
        !Down.count(Server.m_name))
      Candidates.push_back({&Server});
  for (const OwnershipChunk &Chunk : Table.chunks(Target.m_name))
    for (const PartitionRow &Row : Chunk.m_rows)
      for (Candidate &Each : Candidates)
        if (Each.m_upstream->m_name == Row.m_owner)
          ++Each.m_partitions;
  return Candidates;
}

bool assignOwners(std::vector<PartitionRow> &Rows,
                  std::vector<Candidate> &Candidates) {
  bool Changed = false;
  for (PartitionRow &Row : Rows) {
    if (!Row.m_owner.value().empty())
      continue;
    auto Least =
        std::min_element(Candidates.begin(), Candidates.end(),
                         [](const Candidate &Left, const Candidate &Right) {
                           return Left.load() < Right.load();
                         });
    Row.m_owner = Least->m_upstream->m_name;
    Row.m_token = FencingToken(Row.m_token.value() + 1);
    ++Least->m_partitions;
    Changed = true;
  }
  return Changed;
}

void planService(const Service &Target, const Declarations &Declared,
                 const OwnershipTable &Table, const std::set<UpstreamId> &Down,
                 std::vector<StoreTransaction> &Plan) {
  std::vector<Candidate> Candidates =
      candidatesOf(Declared, Target, Table, Down);
  if (Candidates.empty())
    return;
  std::span<const OwnershipChunk> Chunks = Table.chunks(Target.m_name);
  std::uint32_t Count =
      (Target.m_partitions + PartitionsPerChunk - 1) / PartitionsPerChunk;
  for (std::uint32_t Number = 0; Number < Count; ++Number) {
    OwnershipChunk Chunk;
    if (Number < Chunks.size())
      Chunk = Chunks[Number];
    std::uint32_t First = Number * PartitionsPerChunk;
    std::uint32_t Size =
        std::min(PartitionsPerChunk, Target.m_partitions - First);
    Chunk.m_rows.resize(Size);
    if (!assignOwners(Chunk.m_rows, Candidates))
      continue;
    std::string Key = ownershipKey(Target.m_name, Number);
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
  for (const Service &Target : Declared.m_services)
    if (Target.keyed())
      planService(Target, Declared, Table, Down, Plan);
  return Plan;
}

} // namespace burdockpulley
