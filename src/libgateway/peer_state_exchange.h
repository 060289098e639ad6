#ifndef BURDOCKPULLEY_LIBGATEWAY_PEER_STATE_EXCHANGE_H
#define BURDOCKPULLEY_LIBGATEWAY_PEER_STATE_EXCHANGE_H

#include "coordinator_driver.h"
#include "gateway_state.h"
#include "owner_updates.h"
#include "peer_transport.h"
#include "request_relay.h"

namespace burdockpulley {

/// Publishes this host's state to the other hosts, and applies the state that
/// they publish: load of upstreams, owners of keys, request counts by key,
/// changes of the store, and requests suspected to crash upstreams.
/// Thread safety: none; all calls come from the event loop's thread.
class PeerStateExchange {
public:
  /// Precondition: the arguments outlive the object.
  PeerStateExchange(GatewayState &State, RequestRelay &Relay,
                    CoordinatorDriver &Coordinator);

  /// See PeerTransport::listen().
  std::uint16_t listen(const Endpoint &Address) {
    return m_transport.listen(Address);
  }
  /// See PeerTransport::setKey().
  void setKey(const std::string &Key) { m_transport.setKey(Key); }
  /// See PeerTransport::addPeer().
  void addPeer(const HostId &Host, const HostRecord &Record) {
    m_transport.addPeer(Host, Record);
  }
  /// See PeerTransport::markUnlisted().
  void markUnlisted(const HostId &Host) { m_transport.markUnlisted(Host); }
  /// See PeerTransport::rejected().
  std::uint64_t rejected() const { return m_transport.rejected(); }

  /// Sends the messages that are due. To be called many times a second.
  void tick(Instant Now);
  /// See PeerTransport::sweep().
  void sweep(Instant Now) { m_transport.sweep(Now); }

  /// Owners of keys have changed on this host, the coordinator. The other hosts
  /// receive the changes after a short delay.
  void onTableChanged(Instant Now);

  /// Forwards the result of a watch of the store to the hosts of this failure
  /// domain and of the next one. Each host thus receives changes from two
  /// hosts, so that none depends on one of them.
  /// \p After: version of the store before the changes.
  /// \p Renewed: keys of upstreams' records that were renewed unchanged.
  void publishStoreUpdate(StoreVersion After, const StoreEvents &Changes,
                          const std::vector<std::string> &Renewed);

  /// Says whether this host's last call to the store has succeeded. The other
  /// hosts are told at once when that changes.
  void setReachesStore(bool Reaches, Instant Now);

  /// True when this host has to watch the store for its failure domain.
  bool watchesStore(Instant Now) const {
    return m_transport.isFirstInDomain(m_state.m_settings.m_domain,
                                       m_state.m_settings.highBandwidth(), Now);
  }

  /// True when another host is coordinator and has sent nothing for 1.2 s.
  bool coordinatorSilent(Instant Now) const;
  /// True when this host is coordinator or has received a message from the
  /// coordinator within the last 1.2 s.
  bool coordinatorReachable(Instant Now) const;

  /// True when another host has said lately that it is the coordinator.
  bool coordinatorActs(Instant Now) const;

  /// Called when an update may let waiting requests be sent, because an
  /// upstream has free slots or a key has got an owner.
  std::function<void()> m_onChange;
  /// Called with the result of another host's watch of the store. Returns the
  /// version after which this host has missed changes, if it has.
  std::function<std::optional<StoreVersion>(StoreVersion After,
                                            const StoreEvents &)>
      m_onStoreUpdate;
  /// Returns the changes of the store after a version, if all are known.
  std::function<std::optional<StoreEvents>(StoreVersion After)> m_storeChanges;
  /// Returns the last entry of a key that is not newer than a version of the
  /// store, if it is known.
  std::function<const StoreEntry *(const std::string &Key,
                                   StoreVersion Version)>
      m_storeEntry;
  /// Returns the era of the store as far as this host knows.
  std::function<StoreEra()> m_storeEra;

private:
  /// Limits the rate of large replies to other hosts.
  struct ReplyAllowance {
    /// Returns false when the rate is exceeded; the host will ask again.
    bool take(Instant Now);

    double m_replies = 0; ///< That may be sent now; grows with time.
    Instant m_updatedAt;
  };
  using StoreUpdateSender = std::function<void(
      StoreVersion After, const StoreEvents &Part, bool LastPart)>;

  void onMessage(const HostId &Sender, const wire::Datagram &Message);
  void onHostStatus(const HostId &Sender, const wire::HostStatus &Status,
                    Instant Now);
  void onStoreUpdate(const HostId &Sender, const wire::StoreUpdate &Update,
                     Instant Now);
  /// The value of a forwarded change; nothing if the message is not enough to
  /// tell it.
  std::optional<std::string> valueOf(const wire::StoreChange &Change,
                                     StoreEra Era) const;
  void onKeyLoadReport(const wire::KeyLoadReport &Report);
  void sendHostStatus(Instant Now);
  /// Adds what waits at this host, and its load by priority.
  void addQueues(wire::HostStatus &Status, Instant Now);
  /// Adds what concerns this host and no upstream.
  void addHostState(wire::HostStatus &Status, Instant Now);
  void sendKeyLoad();
  void sendOwners(Instant Now);
  void onOwnersUpdate(const HostId &Sender, const wire::OwnersUpdate &Update,
                      Instant Now);
  void onOwnersRequest(const HostId &Sender, const wire::OwnersRequest &Request,
                       Instant Now);
  void requestStoreUpdate(const HostId &Host, StoreVersion After, Instant Now);
  void onStoreUpdateRequest(const HostId &Sender,
                            const wire::StoreUpdateRequest &Request,
                            Instant Now);
  /// The era of the versions in a message.
  StoreEra eraOfMessage(bool HasEra, std::int64_t Era) const;
  /// Splits changes so that each part fits into a datagram.
  static void splitStoreUpdate(StoreVersion After, const StoreEvents &Changes,
                               const StoreUpdateSender &Send);

  GatewayState &m_state;
  RequestRelay &m_relay;
  CoordinatorDriver &m_coordinator;
  PeerTransport m_transport;
  Instant m_nextStatus;
  std::uint64_t m_statusesSent = 0;
  Instant m_nextKeyLoad;
  OwnerDeltaBuilder m_deltaBuilder;
  Instant m_nextOwnersUpdate;
  /// When the bandwidth for updates of owners is free again after the last one.
  Instant m_ownersBandwidthFreeAt;
  Instant m_lastOwnersRequest; ///< When this host last requested all owners.
  ReplyAllowance m_ownersReplies;
  ReplyAllowance m_storeUpdateReplies;
  /// When the bandwidth for incomplete replies is free again after the last
  /// one.
  Instant m_incompleteReplyAllowedAt;
  bool m_reachesStore = true;
  /// UpstreamRegistry::pathsLost() as of the last tick.
  bool m_reportedPathsLost = false;
  Instant m_lastStoreUpdateRequest;
  /// The coordinator from which messages are expected.
  HostId m_monitoredCoordinator;
  Instant m_lastCoordinatorMessage;
  /// When a host has last said that it is the coordinator.
  Instant m_lastClaim;
  /// Highest epoch of the coordinators from which updates of owners came.
  std::int64_t m_heardEpoch = 0;
};

} // namespace burdockpulley

#endif
