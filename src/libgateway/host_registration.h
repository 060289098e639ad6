#ifndef BURDOCKPULLEY_LIBGATEWAY_HOST_REGISTRATION_H
#define BURDOCKPULLEY_LIBGATEWAY_HOST_REGISTRATION_H

#include "gateway_state.h"

namespace burdockpulley {

/// Keeps this host's record in the store, under a lease, and sees to it that
/// hosts have a key by which they know each other.
/// Thread safety: none; it belongs to the loop's thread.
class HostRegistration {
public:
  /// Preconditions: \p State and \p Source outlive the object.
  HostRegistration(GatewayState &State, WatchableStore &Source)
      : m_state(State), m_source(Source) {}

  /// Call it many times a second; \p StoreInReach as far as is known.
  void tick(bool StoreInReach, Instant Now);

  /// Takes the record back.
  void end();

private:
  void makeLease();
  void writeRecord();
  void offerPeerKey();
  void keep();
  void onFailure();

  GatewayState &m_state;
  WatchableStore &m_source;
  StoreLease m_lease;
  bool m_registered = false;
  bool m_keyOffered = false;
  bool m_calling = false;
  Instant m_nextCall;
};

} // namespace burdockpulley

#endif
