#ifndef BURDOCKPULLEY_KEEPER_CONTROLLER_H
#define BURDOCKPULLEY_KEEPER_CONTROLLER_H

#include "burdockpulley/grants.h"
#include "burdockpulley/keepers.h"
#include "burdockpulley/ownership.h"

#include <utility>

namespace burdockpulley {

/// Query that a host sends to the others when its contact with the store is
/// late, or while it waits for a majority to have seen a new epoch.
struct VersionQuery {
  std::uint64_t m_round = 0;
  StoreVersion m_seen; ///< The sender's tables are complete up to here.
};

/// Makes all decisions of one host as a keeper: which upstreams it keeps, what
/// it grants them, and when it releases their partitions. Does no I/O: a
/// driver, or a test, carries out what the plan functions return and reports
/// the results.
///
/// Thread safety: none.
class KeeperController {
public:
  KeeperController(HostId Self, std::string Incarnation,
                   Mutation DisabledRule = Mutation::None)
      : m_self(std::move(Self)), m_incarnation(std::move(Incarnation)),
        m_disabledRule(DisabledRule) {}

  /// The tables that the decisions are based on.
  struct Tables {
    const Declarations &m_declared;
    const OwnershipTable &m_ownership;
    const KeeperTable &m_keepers;
    const std::set<HostId> &m_lost; ///< Hosts that do not respond.
    StoreVersion m_seen; ///< Ownership and keepers are complete up to here.
  };

  /// A grant request to send to an upstream.
  struct OutgoingGrant {
    UpstreamId m_upstream;
    GrantRequest m_request;
  };

  /// A read of the store that was sent at \p ReadStart has been answered and
  /// applied.
  void onContact(Instant ReadStart, Instant Now);
  /// A host has responded to a version query. \p Seen is the store's version
  /// that it has seen.
  void onVersionResponse(std::uint64_t Round, const HostId &Host,
                         StoreVersion Seen, const Tables &Current, Instant Now);
  /// An upstream has responded to a grant request. Has no effect unless the
  /// request is the one in flight.
  void onGrantResponse(const UpstreamId &Upstream, KeeperEpoch Epoch,
                       std::uint64_t Sequence, const GrantResponse &Response,
                       Instant Now);
  /// A grant request has failed. Has no effect unless the request is the one
  /// in flight.
  void onGrantFailure(const UpstreamId &Upstream, KeeperEpoch Epoch,
                      std::uint64_t Sequence);
  /// The store, at version \p At, has responded that it did not apply a
  /// release.
  void onNotApplied(const StoreTransaction &Change, StoreVersion At);

  /// Updates the leases from the table of keepers. The results of the plan
  /// functions depend on it.
  void refresh(const Tables &Current, Instant Now);

  /// The query to send to all other hosts, when one is due.
  std::optional<VersionQuery> planVersionQuery(const Tables &Current,
                                               Instant Now);
  /// Changes of the keeper records.
  std::vector<StoreTransaction> planKeeperChanges(const Tables &Current,
                                                  Instant Now) const;
  /// Releases of partitions whose revoked grants have ended: the target, or
  /// nobody, becomes the owner. Also cancels moves whose target is down or not
  /// declared any more.
  std::vector<StoreTransaction> planReleases(const Tables &Current,
                                             Instant Now);
  /// The grant requests to send. Each upstream has at most one in flight.
  std::vector<OutgoingGrant> planGrantRequests(const Tables &Current,
                                               Instant Now);

  /// True while this host may send a request under a grant. Upstreams that do
  /// not check their grants rely on this check.
  bool mayServe(const UpstreamId &Upstream, PartitionIndex Partition,
                FencingToken Token, Instant Now) const;

  /// When the last contact with the store began.
  std::optional<Instant> lastContact() const {
    return m_authority.lastContact();
  }

private:
  /// An upstream that this process is the keeper of.
  struct KeptUpstream {
    DomainId m_domain;
    ServiceId m_service;
    UpstreamLease m_lease;
    KeeperRecord m_record;
    /// A version of the store that contains this epoch.
    StoreVersion m_epochVersion;
    std::optional<std::uint64_t> m_inFlight; ///< Sequence of the request.
    Instant m_sentAt{};
  };
  /// A release whose outcome is not visible in the tables yet.
  struct PendingRelease {
    StoreVersion m_chunkVersion; ///< The version that it replaces.
    std::set<PartitionIndex> m_partitions;
    std::optional<StoreVersion> m_rejectedAt; ///< Version of the store.
  };

  KeeperView view(const Tables &Current) const;
  void startKeeping(const Tables &Current, const DomainId &Domain,
                    const UpstreamId &Name, const KeeperRecord &Record);
  std::set<UpstreamId> silentUpstreams(Instant Now) const;
  void determineEarlierGrantsEnd(const Tables &Current, Instant Now);
  void eraseSettledReleases(const Tables &Current);
  bool releasePartition(PartitionIndex Partition, PartitionOwnership &Ownership,
                        const Tables &Current, const std::set<UpstreamId> &Down,
                        Instant Now) const;
  std::optional<StoreTransaction>
  planChunkRelease(const ServiceId &Service, std::uint32_t Number,
                   const Tables &Current, const std::set<UpstreamId> &Down,
                   Instant Now);
  GrantList wantedGrants(const UpstreamId &Name, const KeptUpstream &Kept,
                         const Tables &Current) const;

  HostId m_self;
  std::string m_incarnation;
  Mutation m_disabledRule;
  KeeperAuthority m_authority;
  VersionQuorum m_quorum;
  std::map<UpstreamId, KeptUpstream> m_keptUpstreams;
  std::map<std::string, PendingRelease> m_releases; ///< By the chunk's key.
  std::optional<Instant> m_lastQuery;
};

} // namespace burdockpulley

#endif
