#ifndef BURDOCKPULLEY_LIBHOST_FRONT_DRIVER_H
#define BURDOCKPULLEY_LIBHOST_FRONT_DRIVER_H

#include "burdockpulley/repeating_timer.h"
#include "error_answer.h"
#include "host_state.h"
#include "keeper_driver.h"
#include "ledger_driver.h"
#include "router.h"
#include "upstream_selector.h"

#include "burdockpulley/peer.h"
#include "peer_types.h"

#include <map>
#include <memory>

namespace burdockpulley {

/// The caller-facing role: finds the route of each request, sends it to the
/// host that keeps the upstream, tries again where that is safe, and gives the
/// caller its one answer.
///
/// Thread safety: none; it belongs to the loop's thread.
class FrontDriver {
public:
  FrontDriver(event_base *Base, HostState &State, PeerNetwork &Peers,
              KeeperDriver &Keeper, LedgerDriver &Ledger);

  /// Takes a caller's request.
  void onRequest(HttpRequest &&Request,
                 std::shared_ptr<HttpResponder> Responder, Instant Now);

  /// Takes a keeper's reply.
  void onReply(wire::ForwardReply &&Reply, Instant Now);

  /// Ends what was under way to a peer that is lost.
  void onPeerLost(const HostId &Peer, Instant Now);

  /// Requests that have no answer yet.
  std::size_t inFlight() const { return m_pending.size(); }

  /// Replies that came after their request had ended; they were dropped.
  std::uint64_t lateReplies() const { return m_lateReplies; }

private:
  /// A caller's request. Each attempt has an id of its own, so that a late
  /// reply to an earlier attempt finds nothing.
  struct Pending {
    std::shared_ptr<HttpResponder> m_responder;
    wire::Message m_message; ///< The request as it is forwarded.
    ServiceId m_service;
    PartitionIndex m_partition;
    bool m_keyed = false;
    std::size_t m_bytes = 0;
    HostId m_keeper; ///< Empty when no attempt is under way.
    UpstreamId m_upstream;
    std::vector<UpstreamId> m_tried;
    Instant m_started;
    Instant m_sent;
    Instant m_deadline;
    Instant m_retryAt;
    std::string m_ledgerScope; ///< Empty without an idempotency key.
    AttemptId m_ledgerAttempt; ///< Empty until the ledger lets it run.
    bool m_askingLedger = false;
    bool m_mayHaveRun = false; ///< An earlier attempt ended as unknown.
    bool m_callerGone = false;
    Span m_span; ///< Of the whole request; used with a tracer only.
    Span m_hop;  ///< Of the attempt that is with a peer.
    bool m_watched = false;
  };
  using Table = std::map<std::int64_t, Pending>;

  bool accept(const HttpRequest &Request, HttpResponder &Responder,
              const std::string &RequestId);
  void askLedger(std::int64_t Id, const std::string &Key, Instant Now);
  void onLedger(std::int64_t Id, LedgerDriver::Answer &&Answer);
  void endInLedger(const Pending &Row, Outcome Value,
                   const HttpResponse &Response);
  void attempt(std::int64_t Id, Instant Now);
  const Upstream *target(Pending &Row);
  void onFailed(std::int64_t Id, int Status, Outcome Value,
                const std::string &Reason, Duration RetryAfter, Instant Now);
  bool tryAgain(Table::iterator Found, int Status, Outcome Value,
                const std::string &Reason, Instant Now);
  void endAttempt(Pending &Row, Outcome Value, const std::string &Reason,
                  Instant Now);
  void beginHop(Pending &Row, Instant Now);
  void cancel(const Pending &Row, std::int64_t Id);
  void finish(std::int64_t Id, Outcome Value, const HttpResponse &Response);
  void sweep(Instant Now);
  void expire(std::int64_t Id, Instant Now);
  void watch(std::int64_t Id, Pending &Row);

  HostState &m_state;
  PeerNetwork &m_peers;
  KeeperDriver &m_keeper;
  LedgerDriver &m_ledger;
  UpstreamSelector m_selector;
  Table m_pending;
  std::int64_t m_lastId = 0;
  std::size_t m_bytes = 0; ///< Bodies of the requests in flight.
  std::uint64_t m_lateReplies = 0;
  RepeatingTimer m_timer;
};

} // namespace burdockpulley

#endif
