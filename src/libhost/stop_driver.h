#ifndef BURDOCKPULLEY_LIBHOST_STOP_DRIVER_H
#define BURDOCKPULLEY_LIBHOST_STOP_DRIVER_H

#include "burdockpulley/repeating_timer.h"
#include "host_state.h"

#include "burdockpulley/peer.h"

#include <functional>
#include <memory>
#include <optional>

namespace burdockpulley {

/// The graceful stop of this host, and what it knows of the stops of others.
///
/// A host that stops tells the others, so that they take over the upstreams
/// that it keeps and send it no new work. It goes on serving until the
/// platform's balancer has had time to see that it is not ready, nothing is in
/// flight, and no upstream is kept here any more, or the limit is over.
///
/// Thread safety: none; it belongs to the loop's thread.
class StopDriver {
public:
  /// What the driver asks of the rest of the host.
  struct Hooks {
    std::function<std::size_t()> m_inFlight; ///< Requests without an answer.
    std::function<void()> m_stopListening;
    std::function<void()> m_hostsChanged; ///< HostState::m_leavingHosts.
    std::function<void()> m_finished;     ///< Called once.
  };

  StopDriver(event_base *Base, HostState &State, PeerNetwork &Peers,
             Hooks Calls);

  /// Starts the stop; a second call ends it at once.
  void stop(Instant Now);

  bool stopping() const { return m_timer != nullptr; }

  /// A peer says that it is stopping.
  void onLeaving(const HostId &Peer);

  /// The connection to a peer has broken: its process may be a new one.
  void onPeerLost(const HostId &Peer);

private:
  void tick(Instant Now);
  void announce();
  void finish();
  bool keepsAny() const;

  event_base *m_base;
  HostState &m_state;
  PeerNetwork &m_peers;
  Hooks m_hooks;
  Instant m_began{};
  bool m_listeningStopped = false;
  bool m_finished = false;
  std::optional<Instant> m_idleSince; ///< Handed over, and nothing in progress.
  std::unique_ptr<RepeatingTimer> m_timer;
};

} // namespace burdockpulley

#endif
