#ifndef BURDOCKPULLEY_KEEPER_CONTROLLER_H
#define BURDOCKPULLEY_KEEPER_CONTROLLER_H

#include "burdockpulley/grants.h"
#include "burdockpulley/keepers.h"
#include "burdockpulley/ownership.h"

#include <utility>

namespace burdockpulley {

/// What a host asks the others when its contact with the store is late.
struct VersionQuery {
  std::uint64_t m_round = 0;
  StoreVersion m_seen; ///< The asker's tables are complete up to here.
};

/// Decides all that one host does as a keeper: which upstreams it keeps, what
/// it grants them, and when it gives their partitions free. It does no I/O:
/// a driver, or a test, carries out what it returns and tells what came of it.
///
/// Thread safety: none.
class KeeperController {
public:
  KeeperController(HostId Self, std::string Incarnation,
                   Mutation Rules = Mutation::None)
      : m_self(std::move(Self)), m_incarnation(std::move(Incarnation)),
        m_rules(Rules) {}

  /// The tables that the decisions rest on.
  struct Tables {
    const Declarations &m_declared;
    const OwnershipTable &m_ownership;
    const KeeperTable &m_keepers;
    const std::set<HostId> &m_lost;
    StoreVersion m_seen; ///< Ownership and keepers are complete up to here.
  };

  /// An order for one upstream.
  struct OutgoingGrant {
    UpstreamId m_upstream;
    GrantRequest m_order;
  };

  /// A read that was sent at \p Began has been answered and taken over.
  void onContact(Instant Began, Instant Now);
  void onVersionAnswer(std::uint64_t Round, const HostId &Host,
                       StoreVersion Seen, const Tables &In, Instant Now);
  void onGrantAnswer(const UpstreamId &Upstream, KeeperEpoch Epoch,
                     std::uint64_t Sequence, const GrantResponse &Answer,
                     Instant Now);
  void onGrantFailure(const UpstreamId &Upstream, KeeperEpoch Epoch,
                      std::uint64_t Sequence);
  /// The store, at version \p At, has answered that it did not apply a release.
  void onNotApplied(const StoreTransaction &Change, StoreVersion At);

  /// Brings the leases in line with the keepers' table. The other plans rest
  /// on it.
  void refresh(const Tables &In, Instant Now);

  /// The question to send to all other hosts, when one is due.
  std::optional<VersionQuery> planVersionQuery(const Tables &In, Instant Now);
  /// Changes of the keepers' records.
  std::vector<StoreTransaction> planKeeperChanges(const Tables &In,
                                                  Instant Now) const;
  /// Partitions whose revocation is over: they go to the target or get free.
  std::vector<StoreTransaction> planReleases(const Tables &In, Instant Now);
  /// The orders to send. At most one an upstream is under way.
  std::vector<OutgoingGrant> planOrders(const Tables &In, Instant Now);

  /// True while this host may send a request under a grant. Upstreams that do
  /// not check their grants depend on it.
  bool mayServe(const UpstreamId &Upstream, PartitionIndex Partition,
                FencingToken Token, Instant Now) const;

  /// When the last contact with the store began.
  std::optional<Instant> lastContact() const {
    return m_authority.lastContact();
  }

private:
  struct Kept {
    DomainId m_domain;
    ServiceId m_service;
    UpstreamLease m_lease;
    KeeperRecord m_record;
    StoreVersion m_since; ///< The store's version with this epoch or later.
    std::optional<std::uint64_t> m_underWay;
    Instant m_sent{};
  };
  /// A release whose outcome does not show in the tables yet.
  struct Release {
    StoreVersion m_chunkVersion; ///< The version that it replaces.
    std::set<PartitionIndex> m_partitions;
    std::optional<StoreVersion> m_refusedAt;
  };

  KeeperView view(const Tables &In) const;
  void keep(const Tables &In, const DomainId &Domain, const UpstreamId &Name,
            const KeeperRecord &Record);
  std::set<UpstreamId> silentUpstreams(Instant Now) const;
  void settleEarlier(const Tables &In, Instant Now);
  void forgetSettledReleases(const Tables &In);
  bool releaseRow(PartitionIndex Partition, PartitionRow &Row, const Tables &In,
                  const std::set<UpstreamId> &Down, Instant Now) const;
  std::optional<StoreTransaction>
  planChunk(const ServiceId &Service, std::uint32_t Number, const Tables &In,
            const std::set<UpstreamId> &Down, Instant Now);
  GrantList wanted(const UpstreamId &Name, const Kept &Row,
                   const Tables &In) const;

  HostId m_self;
  std::string m_incarnation;
  Mutation m_rules;
  KeeperAuthority m_authority;
  VersionQuorum m_quorum;
  std::map<UpstreamId, Kept> m_kept;
  std::map<std::string, Release> m_releases; ///< By the chunk's key.
  std::optional<Instant> m_lastQuestion;
};

} // namespace burdockpulley

#endif
