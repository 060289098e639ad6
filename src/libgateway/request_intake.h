#ifndef BURDOCKPULLEY_LIBGATEWAY_REQUEST_INTAKE_H
#define BURDOCKPULLEY_LIBGATEWAY_REQUEST_INTAKE_H

#include "burdockpulley/upstream_selection.h"
#include "gateway_state.h"
#include "pending_request.h"

namespace burdockpulley {

/// Reads and checks requests as they arrive, and finds their route and service.
/// Thread safety: none; it belongs to the loop's thread.
class RequestIntake {
public:
  /// Precondition: \p State and \p Times outlive the object.
  RequestIntake(GatewayState &State, const ServiceTimes &Times)
      : m_state(State), m_serviceTimes(Times) {}

  /// Reads a request. Responds to it and returns null if it cannot be relayed.
  std::unique_ptr<PendingRequest>
  read(const std::shared_ptr<Exchange> &CallerExchange,
       std::optional<ForwardedRequest> Forwarded, Instant Now);

private:
  /// The target that the forwarding host or the route's weights choose; null if
  /// the route has no such target.
  const RouteTarget *chooseTarget(const PendingRequest &Pending);
  /// Finds the team of the caller. Returns false if the route needs an API key
  /// and the request has no known one.
  static bool readTeam(PendingRequest &Pending, const HeaderNames &Names);
  /// Returns false if the deadline header is malformed; it may be missing.
  bool readDeadline(PendingRequest &Pending, Instant Now);
  /// Returns false if the shard key header is malformed or missing.
  bool readKey(PendingRequest &Pending);

  GatewayState &m_state;
  const ServiceTimes &m_serviceTimes;
  TrafficSplitter m_splitter;
  std::uint64_t m_nextNumber = 0;
};

} // namespace burdockpulley

#endif
