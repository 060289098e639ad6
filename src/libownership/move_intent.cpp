#include "burdockpulley/ownership.h"

namespace burdockpulley {

namespace {

using ChunkId = std::pair<ServiceId, std::uint32_t>;

/// Sets the target of the partition in its chunk. False when the partition is
/// moving already or no longer belongs to the upstream that it moves from.
bool setTarget(const PlannedMove &Move, OwnershipChunk &Chunk) {
  std::uint32_t Offset = Move.m_partition.value() % PartitionsPerChunk;
  if (Offset >= Chunk.m_partitions.size())
    return false;
  PartitionOwnership &Partition = Chunk.m_partitions[Offset];
  if (Partition.moving() || Partition.m_owner != Move.m_from ||
      Move.m_to == Move.m_from)
    return false;
  Partition.m_target = Move.m_to;
  return true;
}

} // namespace

std::vector<StoreTransaction>
planMoveIntents(std::span<const PlannedMove> Moves,
                const OwnershipTable &Table) {
  std::map<ChunkId, OwnershipChunk> ChangedChunks;
  for (const PlannedMove &Move : Moves) {
    std::uint32_t Number = Move.m_partition.value() / PartitionsPerChunk;
    std::span<const OwnershipChunk> Chunks = Table.chunks(Move.m_service);
    if (Number >= Chunks.size())
      continue;
    ChunkId Id(Move.m_service, Number);
    auto It = ChangedChunks.find(Id);
    OwnershipChunk Draft =
        It == ChangedChunks.end() ? Chunks[Number] : It->second;
    if (setTarget(Move, Draft))
      ChangedChunks[Id] = std::move(Draft);
  }
  std::vector<StoreTransaction> Plan;
  for (const auto &[Id, Chunk] : ChangedChunks) {
    std::string Key = ownershipKey(Id.first, Id.second);
    Plan.push_back(
        {{{Key, Chunk.m_version}}, {{Key, encodeChunk(Chunk), false, {}}}});
  }
  return Plan;
}

} // namespace burdockpulley
