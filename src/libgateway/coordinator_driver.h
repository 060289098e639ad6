#ifndef BURDOCKPULLEY_LIBGATEWAY_COORDINATOR_DRIVER_H
#define BURDOCKPULLEY_LIBGATEWAY_COORDINATOR_DRIVER_H

#include "burdockpulley/channel_pool.h"
#include "burdockpulley/key_coordinator.h"
#include "command_queue.h"
#include "gateway_state.h"

#include <functional>
#include <optional>
#include <random>
#include <set>

namespace burdockpulley {

/// Takes part in the election of the coordinator and, while this host holds the
/// coordinator lease, carries out the decisions of one KeyCoordinator for each
/// sharded service.
///
/// The coordinator is the host whose id is stored under the coordinator key,
/// attached to that host's lease. It acts only while the lease cannot have
/// expired, by a clock that also advances while the machine is suspended.
/// Thread safety: none; all calls come from the event loop's thread.
class CoordinatorDriver {
public:
  /// Preconditions: \p State and \p Store outlive the driver.
  CoordinatorDriver(GatewayState &State, WatchableStore &Store);

  /// The stored coordinator record was changed by the write with \p Version.
  /// \p Host: the coordinator; empty when there is none.
  void onCoordinatorRecord(const HostId &Host, StoreVersion Version,
                           Instant Now);

  /// The store has come back from an older copy. A host that coordinates stops
  /// until it is elected again; the others leave it time for that.
  void onStoreRestored(Instant Now);
  /// True if a restore has interrupted this host while it coordinated, and it
  /// may still go on with the owners that it knows.
  bool interrupted() const { return !m_interrupted.empty(); }

  /// A stored key table is of an earlier era of the store: it has come back
  /// from an older copy before this host has started.
  void onOlderTable(Instant Now);

  /// The store has been read completely. Without a coordinator record, an
  /// election may now start.
  void onRegistryLoaded(Instant Now);

  /// Adds requests that a host has counted for a key. Ignored while another
  /// host is coordinator.
  void onKeyLoad(const ServiceId &Service, std::uint32_t Key,
                 std::uint32_t Count);

  /// Says whether the coordinator has sent something lately.
  void setCoordinatorHeard(bool Heard) { m_coordinatorHeard = Heard; }

  /// Makes due calls to the store and the upstreams. To be called many times a
  /// second.
  void tick(Instant Now);

  /// Ends the coordinator lease, so that another host can be elected at once.
  /// This host then starts no further election.
  void resign(Instant Now);

  /// True while this host is coordinator.
  bool coordinating() const { return m_epoch != 0; }
  /// Epoch of this host's coordinator lease; zero when it is not coordinator.
  std::int64_t epoch() const { return m_epoch; }
  /// The coordinator as far as this host knows; empty when there is none.
  HostId coordinator() const { return m_coordinator; }

  /// Called on the coordinator when owners of keys have changed.
  std::function<void(const KeyTable &, std::uint32_t Step)> m_onOwnersChanged;

private:
  /// State of the coordination of one service.
  struct ServiceCoordination {
    KeyCoordinator m_keyCoordinator;
    KeyLoad m_keyLoad;
    StoreVersion m_tableVersion; ///< Of the stored key table.
    /// A key table that is not yet known to be stored.
    std::optional<KeyTable> m_pendingTable;
    bool m_callInFlight = false; ///< A store call for the key table.
    Instant m_nextCall;          ///< Earliest time of the next such call.
    /// The last step that was passed to m_onOwnersChanged.
    std::uint32_t m_publishedStep = 0;
    /// The connection that carried the first grant under each token. Renewals
    /// must use the same one.
    std::map<FencingToken, std::uint64_t> m_firstGrantConnections;
    /// Upstreams at whose address another one has responded to a command, and
    /// when. They are not candidates for a while.
    std::map<std::pair<UpstreamId, UpstreamIncarnation>, Instant>
        m_misdirectedAt;
  };

  /// True when this host has lost its paths to the upstreams, but others have
  /// not.
  bool othersReachUpstreams() const;
  /// Takes note of what the end of a command says about the path to an
  /// upstream.
  void recordReachability(const UpstreamId &Upstream,
                          const ChannelResult &Result, Instant Now);
  void startElectionIfDue(Instant Now);
  void delayElection(Duration MaxDelay, Instant Now);
  void onElectionLease(const StoreReply<StoreLease> &Reply, Instant Began);
  void onElectionResult(const StoreReply<StoreCommit> &Reply, Instant Began);
  void readStoredTables();
  void onStoredTables(const StoreReply<StoreRange> &Reply);
  /// Uses the connections from before a restore of the store again.
  void returnInterruptedQueues();
  void renewLease(Instant Now);
  void stepDown(const char *Reason);
  bool leaseValid(Instant Now) const;
  void startRestore(Instant Now);
  /// Takes over a service from its stored table, or goes on with what this host
  /// knew before a restore of the store.
  void takeOver(const ServiceId &Service, ServiceCoordination &Coordination,
                Instant Now);
  /// Returns the state of a service; the first call takes over its stored
  /// table.
  ServiceCoordination &coordination(const ServiceId &Service);
  void tickService(const ServiceId &Service, ServiceCoordination &Coordination,
                   Instant Now);
  KeyCandidates candidates(const ServiceId &Service,
                           const ServiceCoordination &Coordination,
                           Instant Now) const;
  /// The rates at which upstreams of a service count as busy and as full.
  OwnerRates ownerRates(const ServiceId &Service) const;
  /// Logs and counts why keys have lost their owner.
  void reportFreed(const ServiceId &Service, const FreedKeys &Freed,
                   Instant Now) const;
  void writeTable(const ServiceId &Service, Instant Now);
  void onTableWritten(const ServiceId &Service,
                      const StoreReply<StoreCommit> &Reply);
  void verifyTableWrite(const ServiceId &Service);
  /// The stored table is the one that was to be written. Finds out whether this
  /// host has written it.
  void verifyWriter(const ServiceId &Service, StoreVersion TableVersion);
  void sendGrant(const ServiceId &Service, const GrantCommand &Command);
  void sendRelease(const ServiceId &Service, const ReleaseCommand &Command);
  /// Adds an id that no other command has, and returns it.
  std::string addCommandId(HttpRequest &Request);
  /// Another upstream has responded to a command for \p Owner.
  void onMisdirected(ServiceCoordination &Coordination, const KeyRange &Range,
                     Instant Now);
  /// Returns null when the upstream is not registered.
  CommandQueue *commandQueue(const UpstreamId &Upstream);

  GatewayState &m_state;
  WatchableStore &m_store;
  HostId m_coordinator;
  /// The coordinator record, or its absence, has been read from the store.
  bool m_coordinatorKnown = false;
  bool m_electionInProgress = false;
  bool m_resigned = false;
  /// Earliest time of the next election or lease renewal.
  Instant m_nextLeaseAttempt;
  /// Counts elections, so that late replies to earlier ones are ignored.
  std::uint32_t m_electionNumber = 0;
  StoreLease m_lease;
  StoreVersion m_coordinatorRecordVersion;
  Instant m_leaseValidUntil;
  Instant m_lastRenewal; ///< Start of the last successful renewal.
  bool m_renewing = false;
  bool m_storeReachable = true; ///< A recent lease renewal has succeeded.
  std::int64_t m_epoch = 0;     ///< Zero when this host is not coordinator.
  bool m_storedTablesRead = false;
  std::map<ServiceId, KeyTable> m_storedTables;
  std::map<ServiceId, StoreVersion> m_storedTableVersions;
  std::map<ServiceId, ServiceCoordination> m_coordinations;
  /// Coordinations of this host that a restore of the store has interrupted,
  /// the era before it, and the end of the lease that this host held then.
  std::map<ServiceId, ServiceCoordination> m_interrupted;
  StoreEra m_interruptedEra;
  Instant m_interruptedUntil;
  /// The queues of that time, kept until then: only over their connections can
  /// owners be asked what tokens they have seen.
  std::map<UpstreamId, std::unique_ptr<CommandQueue>> m_interruptedQueues;
  bool m_restored = false; ///< This host knows of a restore of the store.
  Instant m_restoredAt;    ///< When it has learned of the last one.
  /// After a restore, the time before which this host is not elected.
  Instant m_electionHeldUntil;
  /// The coordinator's record that came back with the older copy, and the time
  /// from which on it can be replaced if no coordinator is heard.
  StoreVersion m_restoredRecord;
  bool m_awaitsRestoredRecord = false; ///< It has not been read yet.
  Instant m_recordReplaceableAt;
  bool m_coordinatorHeard = false;
  std::uint64_t m_commandsSent = 0;
  std::map<UpstreamId, std::unique_ptr<CommandQueue>> m_commandQueues;
  /// Queues to addresses that upstreams had before, until their commands have
  /// ended.
  std::vector<std::unique_ptr<CommandQueue>> m_formerQueues;
  std::map<Endpoint, std::unique_ptr<ChannelPool>> m_releasePools;
  std::mt19937_64 m_random;
};

} // namespace burdockpulley

#endif
