#ifndef BURDOCKPULLEY_LIBGATEWAY_REQUEST_RELAY_H
#define BURDOCKPULLEY_LIBGATEWAY_REQUEST_RELAY_H

#include "burdockpulley/attempt_policy.h"
#include "burdockpulley/caller_listener.h"
#include "burdockpulley/crash_suspects.h"
#include "burdockpulley/owner_throttle.h"
#include "burdockpulley/shared_limits.h"
#include "burdockpulley/upstream_selection.h"
#include "burdockpulley/wait_queue.h"
#include "gateway_state.h"
#include "upstream_connections.h"

#include <functional>
#include <optional>

namespace burdockpulley {

/// Takes callers' requests to upstreams and brings the answers back.
///
/// Each request ends with exactly one answer: the upstream's, a refusal that
/// is true, or that it is unknown whether it ran.
/// Thread safety: none; it belongs to the loop's thread.
class RequestRelay {
public:
  /// Precondition: \p State outlives the relay.
  explicit RequestRelay(GatewayState &State);

  /// A caller's request has come.
  void onRequest(std::shared_ptr<Exchange> From, Instant Now);

  /// Sends waiting requests for which there is room now, and refuses those
  /// that can not be served any more. Call it when something has changed, and
  /// many times a second.
  void dispatchWaiting(Instant Now);

  /// Closes idle connections and forgets old facts; a few times a second.
  void sweep(Instant Now);

  /// An upstream was found dead or restarted.
  void onUpstreamDown(const UpstreamId &Which, Instant Now);

  CrashSuspects &suspects() { return m_suspects; }
  std::size_t inFlight() const { return m_jobs.size(); }
  std::size_t waiting() const;
  /// Requests of each service that wait for room.
  std::map<ServiceId, std::uint32_t> waitingByService() const;

  /// Counts since the last call; the coordinator places keys by them.
  struct KeyUse {
    std::map<ServiceId, std::map<std::uint32_t, std::uint32_t>> m_counts;
  };
  KeyUse takeKeyUse() { return std::exchange(m_keyUse, {}); }

  /// Called when a request is suspected to crash upstreams.
  std::function<void(Fingerprint, const UpstreamId &)> m_onSuspicion;

private:
  /// Requests without a key wait for any upstream of their service, those
  /// with one for the key's owner.
  using QueueKey = std::pair<ServiceId, UpstreamId>;

  struct Job {
    RequestNumber m_number;
    std::shared_ptr<Exchange> m_from;
    std::shared_ptr<const RoutingConfiguration> m_configuration;
    const RouteRule *m_route = nullptr;
    const ServicePolicy *m_service = nullptr;
    std::string m_id;
    std::optional<ShardKey> m_key;
    Fingerprint m_fingerprint;
    Instant m_arrived;
    Instant m_goal;
    Instant m_deadline;
    Duration m_workTime{};

    UpstreamId m_upstream; ///< Where it is, or was last.
    bool m_sent = false;
    std::optional<QueueKey> m_queue; ///< In which it waits.
    ChannelCallId m_call;
    std::set<UpstreamId> m_tried;
    std::uint32_t m_attempts = 0; ///< That reached an upstream.
    bool m_mayHaveRun = false;
    bool m_repeat = false; ///< The next attempt costs a repeat.
    Instant m_notBefore;
  };
  /// Reads and checks the request; answers it itself when it can not be
  /// relayed.
  std::unique_ptr<Job> makeJob(const std::shared_ptr<Exchange> &From,
                               Instant Now);
  bool readDeadline(Job &Made, Instant Now);
  bool readKey(Job &Made);
  /// Sends a request if there is room. False when it has to wait.
  bool place(Job &Each, Instant Now);
  UpstreamState *chooseRow(const Job &Each, bool &MayWait, Instant Now);
  struct Owner {
    UpstreamState *m_row = nullptr; ///< Null when nothing may be sent to it.
    bool m_lost = false;            ///< It does not answer any more.
  };
  Owner ownerOf(const Job &Each, Instant Now);
  bool mayBeCold(const UpstreamState &Row, const Job &Each, Instant Now);
  void wait(Job &Each, Instant Now);
  void send(Job &Each, UpstreamState &Row, Instant Now);
  HttpRequest encode(const Job &Each, const UpstreamState &Row,
                     Instant Now) const;
  void onResult(RequestNumber Number, ChannelResult &&Result);
  AttemptOutcome classify(const Job &Each, const ChannelResult &Result) const;
  void learn(Job &Each, const ChannelResult &Result, AttemptOutcome End,
             Instant Now);
  void proceed(Job &Each, AttemptOutcome End, HttpResponse &&Response,
               Instant Now);
  void retry(Job &Each, Duration Pause, Instant Now);
  void onCallerGone(RequestNumber Number);
  void deliver(Job &Each, HttpResponse &&Response, Instant Now);
  void refuse(Job &Each, const char *Reason, Duration RetryAfter, Instant Now);
  void reportUnknown(Job &Each, AttemptOutcome End, Instant Now);
  void finish(Job &Each, const HttpResponse &Response, const char *Outcome,
              const char *Reason, Instant Now);
  void removeFromQueue(Job &Each);
  void countWaiting(const UpstreamId &Owner);
  void giveUp(RequestNumber Number, Instant Now);
  ServiceCapacity capacityFor(const Job &Each, Instant Now);
  SharedRetryBudget &budget(const ServiceId &Service);
  Duration refusalPause(const Job &Each, Instant Now) const;

  GatewayState &m_state;
  UpstreamConnections m_links;
  TrafficSplitter m_splitter;
  ServiceTimes m_times;
  CrashSuspects m_suspects;
  std::map<ServiceId, SharedRetryBudget> m_budgets;
  std::map<UpstreamId, ColdStartLimiter> m_coldStartLimiters;
  std::map<UpstreamId, OwnerThrottle> m_ownerThrottles;
  std::map<RequestNumber, std::unique_ptr<Job>> m_jobs;
  std::map<QueueKey, WaitQueue> m_queues;
  KeyUse m_keyUse;
  std::uint64_t m_nextNumber = 0;
  std::mt19937_64 m_random;
};

} // namespace burdockpulley

#endif
