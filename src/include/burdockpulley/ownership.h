#ifndef BURDOCKPULLEY_OWNERSHIP_H
#define BURDOCKPULLEY_OWNERSHIP_H

#include "burdockpulley/declarations.h"
#include "burdockpulley/store.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace burdockpulley {

/// Partitions whose rows stand together in one value of the store.
constexpr std::uint32_t PartitionsPerChunk = 4096;

/// Who owns a partition, and since which token. A row with a target is moving:
/// its owner is being revoked, and then the target becomes the owner under the
/// next token.
struct PartitionRow {
  UpstreamId m_owner; ///< Empty while nobody owns it.
  FencingToken m_token;
  UpstreamId m_target; ///< Empty while the row is stable.

  bool moving() const { return !m_target.value().empty(); }

  friend bool operator==(const PartitionRow &, const PartitionRow &) = default;
};

/// One value of the store: consecutive partitions of one service.
struct OwnershipChunk {
  StoreVersion m_version; ///< Zero when the store has none yet.
  std::vector<PartitionRow> m_rows;
};

/// Key of a chunk in the store. Thread safety: safe.
std::string ownershipKey(const ServiceId &Service, std::uint32_t Chunk);
/// Reads such a key; false when it is not one. Thread safety: safe.
bool parseOwnershipKey(std::string_view Key, ServiceId &Service,
                       std::uint32_t &Chunk);
/// Writes the rows of a chunk as a store value. Thread safety: safe.
std::string encodeChunk(const OwnershipChunk &Chunk);
/// Reads the rows of a chunk; false when the text is not one.
/// Thread safety: safe.
bool decodeChunk(std::string_view Text, OwnershipChunk &Chunk);

/// Who owns what, as the store says. Rows of an older version never replace
/// rows of a newer one.
///
/// Thread safety: none.
class OwnershipTable {
public:
  /// Takes over an entry of the store. False when it is not a chunk, or is not
  /// newer than what is here.
  bool apply(const StoreEntry &Entry);

  /// The row of a partition; null when the store has none.
  const PartitionRow *find(const ServiceId &Service,
                           PartitionIndex Partition) const;

  /// The entries that were written after a version, as the store has them.
  std::vector<StoreEntry> entriesSince(StoreVersion Version) const;

  /// The chunks of a service, in order.
  std::span<const OwnershipChunk> chunks(const ServiceId &Service) const;

private:
  std::map<ServiceId, std::vector<OwnershipChunk>> m_services;
};

/// The partition that a key belongs to.
/// Precondition: \p Partitions is not zero. Thread safety: safe.
PartitionIndex partitionOf(std::string_view Key, std::uint32_t Partitions);

/// Chooses the host that keeps an upstream among the live hosts of its failure
/// domain. Null when there is none. Thread safety: safe.
const HostId *chooseKeeper(const UpstreamId &Upstream,
                           std::span<const HostId> LiveHosts);

/// Gives partitions without an owner to upstreams in service, in proportion to
/// their slots. Upstreams that do not answer get none. Returns the transactions
/// that write them.
/// Thread safety: safe.
std::vector<StoreTransaction>
planFirstOwners(const Declarations &Declared, const OwnershipTable &Table,
                const std::set<UpstreamId> &Down = {});

/// A move that placement asks for.
struct PlannedMove {
  ServiceId m_service;
  PartitionIndex m_partition;
  UpstreamId m_from;
  UpstreamId m_to;
};

/// The transactions that write moves as intents, one a chunk. A move whose row
/// has another owner by now, or is moving already, is left out.
/// Thread safety: safe.
std::vector<StoreTransaction>
planMoveIntents(std::span<const PlannedMove> Moves,
                const OwnershipTable &Table);

} // namespace burdockpulley

#endif
