#ifndef BURDOCKPULLEY_LIBGATEWAY_HOST_REGISTRATION_H
#define BURDOCKPULLEY_LIBGATEWAY_HOST_REGISTRATION_H

#include "gateway_state.h"

#include <functional>
#include <string>

namespace burdockpulley {

/// Registers this host in the store under a lease, and creates the shared
/// secret with which hosts authenticate each other's datagrams.
/// Thread safety: none; all calls come from the event loop's thread.
class HostRegistration {
public:
  /// Preconditions: \p State and \p Store outlive the object.
  HostRegistration(GatewayState &State, WatchableStore &Store)
      : m_state(State), m_store(Store) {}

  /// Makes the next call to the store when it is due, unless the store is known
  /// to be unreachable. To be called many times a second.
  void tick(bool StoreReachable, Instant Now);

  /// Called with the shared secret that is stored.
  std::function<void(const std::string &)> m_onPeerKey;
  /// The peer key is known from elsewhere; it needs no calls any more.
  void onPeerKeyKnown(const std::string &Key) {
    m_peerKey = Key;
    m_peerKeyExists = m_peerKeyRead = true;
  }
  /// The stored peer key has gone with an older copy of the store. It is
  /// written again, unless another host has written one.
  void onPeerKeyLost() { m_peerKeyExists = m_peerKeyRead = false; }

  /// Removes this host's record by ending its lease.
  void end();

private:
  void acquireLease();
  void writeRecord();
  void createPeerKey();
  void readPeerKey();
  void renewLease();
  void scheduleRetry(const char *Call, StoreError Error);

  GatewayState &m_state;
  WatchableStore &m_store;
  StoreLease m_lease; ///< Zero when there is none.
  bool m_registered = false;
  std::string m_peerKey; ///< Empty if it is not known.
  bool m_peerKeyExists = false;
  bool m_peerKeyRead = false;
  bool m_callInFlight = false;
  Instant m_nextCall;
};

} // namespace burdockpulley

#endif
