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

/// Number of consecutive partitions that are stored in one value of the store.
constexpr std::uint32_t PartitionsPerChunk = 4096;

/// The owner of one partition and its fencing token. A partition with a target
/// is moving: the grant of its owner is being revoked; after that the target
/// becomes the owner under the next token.
struct PartitionOwnership {
  UpstreamId m_owner; ///< Empty while the partition has no owner.
  FencingToken m_token;
  UpstreamId m_target; ///< Empty while the partition is not moving.

  bool moving() const { return !m_target.value().empty(); }

  friend bool operator==(const PartitionOwnership &,
                         const PartitionOwnership &) = default;
};

/// One value of the store: consecutive partitions of one service.
struct OwnershipChunk {
  StoreVersion m_version; ///< Zero when the chunk is not in the store yet.
  std::vector<PartitionOwnership> m_partitions;
};

/// Key of a chunk in the store. Thread safety: safe.
std::string ownershipKey(const ServiceId &Service, std::uint32_t Chunk);
/// Parses the key of a chunk; returns false for any other text.
/// Thread safety: safe.
bool parseOwnershipKey(std::string_view Key, ServiceId &Service,
                       std::uint32_t &Chunk);
/// Encodes the partitions of a chunk as a store value. Thread safety: safe.
std::string encodeChunk(const OwnershipChunk &Chunk);
/// Decodes the partitions of a chunk; returns false for any other text.
/// Thread safety: safe.
bool decodeChunk(std::string_view Text, OwnershipChunk &Chunk);

/// Local copy of the owners that the store records. A chunk of an older
/// version never replaces a newer one.
///
/// Thread safety: none.
class OwnershipTable {
public:
  /// Applies an entry of the store. Returns false when the entry is not a
  /// chunk, or is not newer than the chunk in the table.
  bool apply(const StoreEntry &Entry);

  /// The owner of a partition; null when the table does not contain it.
  const PartitionOwnership *find(const ServiceId &Service,
                                 PartitionIndex Partition) const;

  /// The chunks written after \p Version, as store entries.
  std::vector<StoreEntry> entriesSince(StoreVersion Version) const;

  /// The chunks of a service, in order.
  std::span<const OwnershipChunk> chunks(const ServiceId &Service) const;

private:
  std::map<ServiceId, std::vector<OwnershipChunk>> m_services;
};

/// The partition that a key belongs to.
/// Precondition: \p Partitions is not zero. Thread safety: safe.
PartitionIndex partitionOf(std::string_view Key, std::uint32_t Partitions);

/// Chooses the keeper of an upstream among \p LiveHosts by rendezvous hashing.
/// Null when there are none. Thread safety: safe.
const HostId *chooseKeeper(const UpstreamId &Upstream,
                           std::span<const HostId> LiveHosts);

/// Assigns partitions without an owner to upstreams that are in service and
/// not in \p Down, in proportion to their slots. Returns the transactions that
/// write the new owners, one for each chunk.
/// Thread safety: safe.
std::vector<StoreTransaction>
planFirstOwners(const Declarations &Declared, const OwnershipTable &Table,
                const std::set<UpstreamId> &Down = {});

/// A move that placement requests.
struct PlannedMove {
  ServiceId m_service;
  PartitionIndex m_partition;
  UpstreamId m_from;
  UpstreamId m_to;
};

/// The transactions that record moves as intents (targets of partitions), one
/// for each chunk. Omits a move when the partition no longer belongs to the
/// upstream that it moves from, or is moving already.
/// Thread safety: safe.
std::vector<StoreTransaction>
planMoveIntents(std::span<const PlannedMove> Moves,
                const OwnershipTable &Table);

} // namespace burdockpulley

#endif
