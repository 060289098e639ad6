#include "burdockpulley/ownership.h"

namespace burdockpulley {

namespace {

using ChunkId = std::pair<ServiceId, std::uint32_t>;

bool intend(const PlannedMove &Move, OwnershipChunk &Chunk) {
  std::uint32_t Offset = Move.m_partition.value() % PartitionsPerChunk;
  if (Offset >= Chunk.m_rows.size())
    return false;
  PartitionRow &Row = Chunk.m_rows[Offset];
  if (Row.moving() || Row.m_owner != Move.m_from || Move.m_to == Move.m_from)
    return false;
  Row.m_target = Move.m_to;
  return true;
}

} // namespace

std::vector<StoreTransaction>
planMoveIntents(std::span<const PlannedMove> Moves,
                const OwnershipTable &Table) {
  std::map<ChunkId, OwnershipChunk> Changed;
  for (const PlannedMove &Move : Moves) {
    std::uint32_t Number = Move.m_partition.value() / PartitionsPerChunk;
    std::span<const OwnershipChunk> Chunks = Table.chunks(Move.m_service);
    if (Number >= Chunks.size())
      continue;
    ChunkId Id(Move.m_service, Number);
    auto Known = Changed.find(Id);
    OwnershipChunk Draft =
        Known == Changed.end() ? Chunks[Number] : Known->second;
    if (intend(Move, Draft))
      Changed[Id] = std::move(Draft);
  }
  std::vector<StoreTransaction> Plan;
  for (const auto &[Id, Chunk] : Changed) {
    std::string Key = ownershipKey(Id.first, Id.second);
    Plan.push_back(
        {{{Key, Chunk.m_version}}, {{Key, encodeChunk(Chunk), false, {}}}});
  }
  return Plan;
}

} // namespace burdockpulley
