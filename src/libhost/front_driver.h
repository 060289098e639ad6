#ifndef BURDOCKPULLEY_LIBHOST_FRONT_DRIVER_H
#define BURDOCKPULLEY_LIBHOST_FRONT_DRIVER_H

#include "clock.h"
#include "error_answer.h"
#include "host_state.h"
#include "keeper_driver.h"
#include "router.h"

#include "burdockpulley/peer.h"

#include <map>
#include <memory>

namespace burdockpulley {

/// The caller-facing role: finds the route of each request, sends it to the
/// host that keeps the upstream, and gives the caller its one answer.
///
/// Thread safety: none; it belongs to the loop's thread.
class FrontDriver {
public:
  FrontDriver(event_base *Base, HostState &State, PeerNetwork &Peers,
              KeeperDriver &Keeper);

  /// Takes a caller's request.
  void onRequest(HttpRequest &&Request,
                 std::shared_ptr<HttpResponder> Responder, Instant Now);

  /// Takes a keeper's reply.
  void onReply(wire::ForwardReply &&Reply);

  /// Ends what was under way to a peer that is lost.
  void onPeerLost(const HostId &Peer);

  /// Requests that have no answer yet.
  std::size_t inFlight() const { return m_pending.size(); }

private:
  struct Pending {
    std::shared_ptr<HttpResponder> m_responder;
    std::string m_requestId;
    HostId m_keeper;
    Instant m_deadline;
  };

  const Upstream *chooseUpstream(const RouteMatch &Match,
                                 wire::ForwardRequest &Forward);
  const Upstream *chooseUnkeyed(const Service &Target);
  void dispatch(const Upstream &Target, wire::ForwardRequest &&Forward);
  void finish(std::int64_t Id, const HttpResponse &Response);
  void fail(std::int64_t Id, int Status, Outcome Value, const std::string &Code,
            Duration RetryAfter = Duration());
  void expire(Instant Now);

  HostState &m_state;
  PeerNetwork &m_peers;
  KeeperDriver &m_keeper;
  std::map<std::int64_t, Pending> m_pending;
  std::int64_t m_lastId = 0;
  std::size_t m_nextUnkeyed = 0;
  RepeatingTimer m_timer;
};

} // namespace burdockpulley

#endif
