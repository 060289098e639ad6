#ifndef BURDOCKPULLEY_LIBHOST_MEMBERSHIP_DRIVER_H
#define BURDOCKPULLEY_LIBHOST_MEMBERSHIP_DRIVER_H

#include "burdockpulley/repeating_timer.h"
#include "host_state.h"
#include "table_spread.h"

#include "burdockpulley/membership.h"
#include "burdockpulley/peer.h"

#include <functional>

namespace burdockpulley {

/// Runs the failure detector over the peer network and keeps
/// HostState::m_lostHosts. Its messages also carry the versions of this host's
/// tables, from which TableSpread learns who is behind.
///
/// Thread safety: none; it belongs to the loop's thread.
class MembershipDriver {
public:
  /// \p Lost runs for each host that is newly lost, \p Changed after each
  /// change of the lost hosts.
  MembershipDriver(event_base *Base, HostState &State, PeerNetwork &Peers,
                   TableSpread &Spread,
                   std::function<void(const HostId &)> Lost,
                   std::function<void()> Changed);

  /// Takes over the declared hosts; called when the tables have changed.
  void onTablesChanged(Instant Now);

  /// Takes a message of the failure detector.
  void onMessage(const HostId &From, const wire::MemberMessage &Message,
                 Instant Now);

  const Membership &members() const { return m_members; }

private:
  void tick(Instant Now);
  void flush();
  void publishLosses();

  HostState &m_state;
  PeerNetwork &m_peers;
  TableSpread &m_spread;
  std::function<void(const HostId &)> m_lost;
  std::function<void()> m_changed;
  Membership m_members;
  std::vector<Member> m_declared;
  std::uint64_t m_seenChanges = 0;
  RepeatingTimer m_timer;
};

} // namespace burdockpulley

#endif
