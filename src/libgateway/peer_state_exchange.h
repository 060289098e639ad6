#ifndef BURDOCKPULLEY_LIBGATEWAY_PEER_STATE_EXCHANGE_H
#define BURDOCKPULLEY_LIBGATEWAY_PEER_STATE_EXCHANGE_H

#include "coordinator_driver.h"
#include "gateway_state.h"
#include "owner_updates.h"
#include "peer_transport.h"
#include "request_relay.h"

namespace burdockpulley {

/// What this host tells the others, and what it makes of what they tell: load
/// of upstreams, who serves which keys, how keys are used, and requests that
/// crash upstreams.
/// Thread safety: none; it belongs to the loop's thread.
class PeerStateExchange {
public:
  /// Precondition: the arguments outlive the object.
  PeerStateExchange(GatewayState &State, RequestRelay &Relay,
                    CoordinatorDriver &Coordinator);

  /// See PeerTransport::listen().
  std::uint16_t listen(const Endpoint &Where) {
    return m_transport.listen(Where);
  }
  void setKey(const std::string &Key) { m_transport.setKey(Key); }
  void addPeer(const HostId &Host, const HostAddress &Where) {
    m_transport.addPeer(Host, Where);
  }
  void unlistPeer(const HostId &Host) { m_transport.unlistPeer(Host); }
  std::uint64_t rejected() const { return m_transport.rejected(); }

  /// Call it many times a second.
  void tick(Instant Now);
  void sweep(Instant Now) { m_transport.sweep(Now); }

  /// Who serves which keys has changed; the other hosts are told soon.
  void onTableChanged(Instant Now);

  /// Passes on to the failure domain what a watch of the store has brought:
  /// changes, and the keys of upstreams' records that were just renewed.
  void tellStore(StoreVersion After, const StoreEvents &Changes,
                 const std::vector<std::string> &Renewed);

  /// True when this host is to watch the store for its failure domain.
  bool watchesStore(Instant Now) const {
    return m_transport.isFirstOf(m_state.m_settings.m_domain,
                                 m_state.m_settings.highBandwidth(), Now);
  }

  /// True when another host coordinates and has not been heard of lately.
  bool coordinatorSilent(Instant Now) const;
  /// True when this host coordinates, or has heard of the one that does.
  bool coordinatorHeard(Instant Now) const;

  /// Called when waiting requests may find room or an owner now.
  std::function<void()> m_onChange;
  /// Called with what another host's watch of the store has brought.
  std::function<void(StoreVersion, const StoreEvents &)> m_onStoreNews;

private:
  void onMessage(const HostId &From, const wire::Datagram &Message);
  void onNews(const HostId &From, const wire::HostStatus &News, Instant Now);
  void onStoreNews(const HostId &From, const wire::StoreUpdate &News,
                   Instant Now);
  void onLoad(const wire::KeyLoadReport &News);
  void tellLoad(Instant Now);
  void tellKeyUse();
  void tellOwners(Instant Now);
  void onOwners(const HostId &From, const wire::OwnersUpdate &News,
                Instant Now);
  void onOwnersRequest(const HostId &From, const wire::OwnersRequest &Request,
                       Instant Now);
  void sendStorePart(StoreVersion After, const StoreEvents &Part,
                     const std::vector<std::int32_t> &Renewed);

  GatewayState &m_state;
  RequestRelay &m_relay;
  CoordinatorDriver &m_coordinator;
  PeerTransport m_transport;
  Instant m_nextNews;
  std::uint64_t m_newsSent = 0;
  Instant m_nextKeyUse;
  OwnerDeltaBuilder m_deltaBuilder;
  Instant m_nextOwners;
  Instant m_ownersRoomAt; ///< When the bytes last told have left.
  Instant m_ownersAsked;  ///< When this host last asked for all keys.
  /// Requests for all keys that are answered now; grows with time.
  double m_wholeAllowance = 0;
  Instant m_wholeAllowanceAt;
  HostId m_watched; ///< The coordinator whose news are awaited.
  Instant m_coordinatorHeard;
};

} // namespace burdockpulley

#endif
