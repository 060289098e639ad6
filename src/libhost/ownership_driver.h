#ifndef BURDOCKPULLEY_LIBHOST_OWNERSHIP_DRIVER_H
#define BURDOCKPULLEY_LIBHOST_OWNERSHIP_DRIVER_H

#include "burdockpulley/repeating_timer.h"
#include "host_state.h"
#include "upstream_pool.h"

#include "burdockpulley/keeper_controller.h"
#include "burdockpulley/peer.h"
#include "burdockpulley/placement.h"

#include <functional>

namespace burdockpulley {

namespace wire {
class VersionResponse;
class VersionRequest;
} // namespace wire

/// Carries out what the ownership code decides: commits to the store, orders
/// to the upstreams that this host keeps, and questions to the other hosts.
///
/// Thread safety: none; it belongs to the loop's thread.
class OwnershipDriver {
public:
  /// \p Committed runs when the store has something new to read.
  OwnershipDriver(event_base *Base, Store &Target, HostState &State,
                  UpstreamPool &Pool, PeerNetwork &Peers,
                  std::function<void()> Committed);

  /// Looks for work at once; called when the tables have changed.
  void wake();

  /// A read of the store that was sent at \p Began has been taken over.
  void onContact(Instant Began);

  /// Another host asks how far this one has seen the store.
  void onQuestion(const HostId &From, const wire::VersionRequest &Question);
  void onAnswer(const HostId &From, wire::VersionResponse &&Answer);

  /// True while a request under this grant may be sent to an upstream that does
  /// not check it.
  bool mayServe(const UpstreamId &Upstream, PartitionIndex Partition,
                FencingToken Token, Instant Now) const {
    return m_keeping.mayServe(Upstream, Partition, Token, Now);
  }

private:
  KeeperController::Tables tables();
  void tick(Instant Now);
  void coordinate(Instant Now);
  std::size_t coordinatorRank() const;
  void commitAll(const std::vector<StoreTransaction> &Plan,
                 std::size_t &Waiting);
  void onCommit(const StoreTransaction &Change,
                const StoreReply<StoreCommit> &Reply);
  void ask(const VersionQuery &Question);
  void send(const KeeperController::OutgoingGrant &What);
  void onOrderEnd(const UpstreamId &Name, const GrantRequest &Order,
                  bool Checks, HttpError Error, const HttpResponse &Response);

  Store &m_store;
  HostState &m_state;
  UpstreamPool &m_pool;
  PeerNetwork &m_peers;
  std::function<void()> m_committed;
  KeeperController m_keeping;
  Placement m_placement;
  std::set<HostId> m_absentHosts; ///< Lost or stopping.
  std::size_t m_keeperWrites = 0;
  std::size_t m_releaseWrites = 0;
  std::size_t m_coordinatorWrites = 0;
  std::optional<Instant> m_workSince;
  std::optional<Instant> m_lastPlan;
  RepeatingTimer m_timer;
};

} // namespace burdockpulley

#endif
