#ifndef BURDOCKPULLEY_LIBGATEWAY_REQUEST_RELAY_H
#define BURDOCKPULLEY_LIBGATEWAY_REQUEST_RELAY_H

#include "attempt_results.h"
#include "burdockpulley/return_planner.h"
#include "burdockpulley/shared_limits.h"
#include "connection_pools.h"
#include "gateway_state.h"
#include "request_explanation.h"
#include "request_forwarder.h"
#include "request_intake.h"
#include "service_reserves.h"
#include "upstream_assignment.h"
#include "waiting_requests.h"

#include <functional>
#include <optional>

namespace burdockpulley {

/// Forwards callers' requests to upstreams and returns the responses.
///
/// Each request ends with exactly one response: the upstream's; a refusal,
/// which guarantees that the request has not run; or an error, which says that
/// it is unknown whether the request has run.
/// Thread safety: none; it belongs to the loop's thread.
class RequestRelay {
public:
  /// Precondition: \p State outlives the relay.
  explicit RequestRelay(GatewayState &State);

  /// Accepts a request from a caller.
  void onRequest(std::shared_ptr<Exchange> CallerExchange, Instant Now);

  /// Accepts a request that another host forwards because it has no path to the
  /// upstreams. It is served like a caller's, but not forwarded again.
  void onForwardedRequest(std::shared_ptr<Exchange> PeerExchange, Instant Now);

  /// Finds out whether this host has lost its paths to all upstreams. Call it
  /// many times a second.
  void updateReachability(Instant Now);

  /// Sends waiting requests for which an upstream has a free slot, and refuses
  /// those that can no longer be served. Call it whenever upstreams, owners or
  /// their loads have changed, and many times a second.
  void dispatchWaiting(Instant Now);

  /// Closes idle connections and discards state that is no longer needed. Call
  /// it a few times a second.
  void sweep(Instant Now);

  /// Ends all requests, because this process is about to. Those that no
  /// upstream can have run are refused; for the others the outcome is unknown.
  void endAll(Instant Now);

  /// An upstream's process has ended or was restarted.
  void onUpstreamDown(const UpstreamId &Upstream, Instant Now) {
    m_results.onUpstreamDown(Upstream, Now);
  }

  CrashSuspects &suspects() { return m_results.suspects(); }
  /// Requests that have no response yet, waiting ones included.
  std::size_t inFlight() const { return m_pending.size(); }
  /// Requests that wait for a free slot at an upstream.
  std::size_t waiting() const { return m_waiting.size(); }
  /// Waiting requests of each service by priority; services without any are
  /// left out.
  std::map<ServiceId, std::map<std::uint32_t, QueuedWork>>
  waitingByService() const {
    return m_waiting.byService();
  }

  /// What decides about new requests; valid as long as the relay.
  RequestDeciders deciders() const {
    return {m_state,      m_intake,  m_results.suspects(),
            m_assignment, m_waiting, m_random};
  }

  /// Reads the load of all services for the limits of their priorities, if that
  /// is due. Call it every SlotReserve::UpdateInterval.
  void updateReserves(Instant Now);
  /// Load of this host by priority, of the services for which the other hosts
  /// have to know it.
  std::map<ServiceId, std::vector<PriorityDemand>>
  demandByService(Instant Now) const {
    return m_reserves.report(Now);
  }

  /// Requests that wait at all hosts, by the priority of their team.
  std::map<std::uint32_t, double> waitingByTeamPriority() const;

  /// Requests received for each shard key, by service. The coordinator uses
  /// these counts to place keys.
  struct KeyRequestCounts {
    std::map<ServiceId, std::map<std::uint32_t, std::uint32_t>> m_counts;
  };
  /// Returns the counts since the previous call.
  KeyRequestCounts takeKeyRequestCounts() {
    return std::exchange(m_keyRequestCounts, {});
  }

  /// Sets the function that is called when a request is suspected of crashing
  /// upstreams.
  void
  onSuspicion(std::function<void(Fingerprint, const UpstreamId &)> Callback) {
    m_results.m_onSuspicion = std::move(Callback);
  }

private:
  /// Charges the quota of the request's team. Returns false if it is used up.
  bool chargeQuota(PendingRequest &Pending, Instant Now);
  /// Takes back the charge of a request that no upstream has run.
  void refundQuota(PendingRequest &Pending);
  /// Finds out whether a new request was refused before.
  void detectReturn(PendingRequest &Pending, Instant Now);
  /// Finds out whether a new request is above its team's share, if requests
  /// wait for its service. \p Key: its queue.
  void checkShare(PendingRequest &Pending, const QueueKey &Key);
  /// True if a request has to wait as slots are reserved for other priorities.
  /// Counts and marks the request if so.
  bool heldForUrgent(PendingRequest &Pending);
  /// Its service reserves slots for the more urgent requests.
  bool usesReserve(const PendingRequest &Pending) const;
  /// Tells the reserve that an attempt, if one is in flight, has ended. To be
  /// called before that is reset.
  void releaseSlot(const PendingRequest &Pending);
  /// Retry-After of a request for which there will be capacity after \p Wait;
  /// zero if it would be refused again.
  Duration plannedRetryAfter(const PendingRequest &Pending,
                             const ServiceCapacity &Capacity, Duration Wait,
                             Instant Now);
  /// Sends a new request, or queues it.
  void accept(std::unique_ptr<PendingRequest> NewRequest, Instant Now);
  /// Sends a request to an upstream, or ends it if no upstream may run it or
  /// the retry budget is used up. Returns false if it has to wait.
  bool tryDispatch(PendingRequest &Pending, Instant Now);
  /// This process is being stopped, and would have to cut an attempt that
  /// begins now, at \p Upstream unless that is null.
  bool stopPrevents(const PendingRequest &Pending,
                    const UpstreamState *Upstream, Instant Now) const;
  QueueKey queueOf(const PendingRequest &Pending) const;
  /// Queues a request, or refuses it if it would not be served in time.
  void enqueue(PendingRequest &Pending, Instant Now);
  /// Sends the requests of a queue for which there is capacity. \p TryAll: also
  /// those behind one for which there is none.
  void dispatchQueue(const QueueKey &Key, bool TryAll, Instant Now);
  void send(PendingRequest &Pending, UpstreamState &Upstream, Instant Now);
  /// Sends a request to a host that serves it in place of this one.
  void forward(PendingRequest &Pending, const ForwardingPeer &Peer,
               Instant Now);
  void onForwardResult(RequestNumber Number, ChannelResult &&Result);
  void onResult(RequestNumber Number, ChannelResult &&Result);
  /// Retries the request or ends it, as decideNextAction() says.
  void applyNextAction(PendingRequest &Pending, AttemptOutcome Outcome,
                       HttpResponse &&Response, Instant Now);
  void retry(PendingRequest &Pending, Duration Pause, Instant Now);
  void onCallerGone(RequestNumber Number);
  void deliver(PendingRequest &Pending, HttpResponse &&Response, Instant Now);
  /// Passes on a response that another host has generated itself.
  void deliverLocal(PendingRequest &Pending, HttpResponse &&Response,
                    const char *Outcome, Instant Now);
  void refuse(PendingRequest &Pending, const char *Reason, Duration RetryAfter,
              Instant Now);
  void reportUnknown(PendingRequest &Pending, AttemptOutcome Outcome,
                     Instant Now);
  /// Ends a request that is not sent, or not sent again: refuses it unless an
  /// earlier attempt may have run it.
  void endUnsent(PendingRequest &Pending, const char *Reason,
                 Duration RetryAfter, Instant Now);
  /// Sends the final response, logs and counts it, and removes the request.
  void finish(PendingRequest &Pending, HttpResponse &&Response,
              const char *Outcome, const char *Reason, Instant Now);
  /// Ends a waiting request whose deadline cannot be met.
  void abandon(RequestNumber Number, Instant Now);
  SharedRetryBudget &retryBudget(const ServiceId &Service);
  Duration refusalRetryAfter(const PendingRequest &Pending, Instant Now) const;

  GatewayState &m_state;
  ConnectionPools<UpstreamId> m_connections;
  RequestForwarder m_forwarder;
  AttemptResults m_results;
  RequestIntake m_intake;
  ServiceReserves m_reserves;
  UpstreamAssignment m_assignment;
  WaitingRequests m_waiting;
  ReturnPlanner m_returns;
  std::map<ServiceId, SharedRetryBudget> m_retryBudgets;
  std::map<RequestNumber, std::unique_ptr<PendingRequest>> m_pending;
  KeyRequestCounts m_keyRequestCounts;
  Instant m_started;
  Instant m_nextFullDispatch; ///< When all requests with a key are tried.
  std::mt19937_64 m_random;
};

} // namespace burdockpulley

#endif
