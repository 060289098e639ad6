#ifndef BURDOCKPULLEY_LIBGATEWAY_PENDING_REQUEST_H
#define BURDOCKPULLEY_LIBGATEWAY_PENDING_REQUEST_H

#include "burdockpulley/caller_listener.h"
#include "burdockpulley/channel_pool.h"
#include "burdockpulley/crash_suspects.h"
#include "burdockpulley/ownership.h"
#include "burdockpulley/route_table.h"
#include "burdockpulley/wait_queue.h"
#include "request_forwarder.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace burdockpulley {

/// Requests with a key wait for the key's owner. Requests without one wait for
/// any upstream of their service; their upstream id is empty.
using QueueKey = std::pair<ServiceId, UpstreamId>;

/// A caller's request that has no response yet.
struct PendingRequest {
  RequestNumber m_number;
  std::shared_ptr<Exchange> m_exchange;
  std::shared_ptr<const RoutingConfiguration> m_configuration;
  const RouteRule *m_route = nullptr;
  const ServicePolicy *m_service = nullptr;
  std::string m_requestId; ///< As sent by the caller.
  /// Null if the configuration has no teams, or the route needs no key.
  const TeamPolicy *m_team = nullptr;
  bool m_chargedToQuota = false; ///< Of the team, by this host.
  std::optional<ShardKey> m_key;
  Fingerprint m_fingerprint;
  Instant m_arrived;
  Instant m_goalTime; ///< When the route's latency goal is over.
  Instant m_deadline;
  /// Until when the caller waits, which may be after m_deadline; nothing if it
  /// has not said so, or is another host.
  std::optional<Instant> m_callerDeadline;
  /// It was refused before, and has waited as it was told.
  bool m_returning = false;
  /// Its team is above its share of the capacity (see TeamShares).
  bool m_aboveShare = false;
  /// It was held back as slots are reserved for other priorities.
  bool m_heldForUrgent = false;
  Duration m_workTime{}; ///< Expected at an upstream of usual speed.

  /// Set if another host has forwarded the request to this one.
  std::optional<ForwardedRequest> m_forwarded;

  UpstreamId m_upstream; ///< Of the current or the last attempt.
  /// Host to which the current attempt was forwarded, if it was.
  std::optional<HostId> m_forwardedTo;
  std::set<HostId> m_forwardHosts; ///< All to which it was forwarded.
  bool m_attemptInFlight = false;
  std::optional<QueueKey> m_queue; ///< Empty if it does not wait.
  ChannelCallId m_call;
  std::set<UpstreamId> m_triedUpstreams;
  std::uint32_t m_attempts = 0; ///< Those that reached an upstream.
  bool m_mayHaveRun = false;    ///< In an earlier attempt.
  /// The next attempt is charged to the retry budget.
  bool m_usesRetryBudget = false;
  Instant m_notBefore; ///< Earliest time of the next attempt.
};

/// Upstreams that the request may be sent to, at most. Thread safety: safe.
std::uint32_t maxAttempts(const PendingRequest &Pending);

/// The priority of the request's team before that of its route, then requests
/// of teams within their share before the others, then returning requests
/// before new ones, as one number. Requests of no team rank behind those of all
/// teams. Thread safety: safe.
std::uint32_t priorityOf(const PendingRequest &Pending);

} // namespace burdockpulley

#endif
