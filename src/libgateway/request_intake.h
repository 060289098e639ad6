#ifndef BURDOCKPULLEY_LIBGATEWAY_REQUEST_INTAKE_H
#define BURDOCKPULLEY_LIBGATEWAY_REQUEST_INTAKE_H

#include "burdockpulley/upstream_selection.h"
#include "gateway_state.h"
#include "local_response.h"
#include "pending_request.h"

namespace burdockpulley {

/// Longest deadline that a caller may set: one hour.
inline constexpr std::int64_t MaxDeadlineMillis = 3'600'000;

/// What a request that is only explained would say. Views are valid as long as
/// what the caller passes.
struct AskedRequest {
  std::string_view m_host;
  std::string_view m_target;
  std::string_view m_method = "GET";
  const TeamPolicy *m_team = nullptr; ///< Whose API key it would have.
  std::string_view m_deadline; ///< As in the deadline header; may be empty.
  std::string_view m_key;      ///< As in the shard key header; may be empty.
};

/// Reads and checks requests as they arrive, and finds their route and service.
/// Thread safety: none; it belongs to the loop's thread.
class RequestIntake {
public:
  /// Precondition: \p State and \p Times outlive the object.
  RequestIntake(GatewayState &State, const ServiceTimes &Times)
      : m_state(State), m_serviceTimes(Times) {}

  /// The response to a request that cannot be relayed.
  struct Rejection {
    LocalStatus m_status;
    const char *m_reason; ///< For the log.
    Duration m_retryAfter{};
  };

  /// Reads a request. Responds to it and returns null if it cannot be relayed.
  std::unique_ptr<PendingRequest>
  read(const std::shared_ptr<Exchange> &CallerExchange,
       std::optional<ForwardedRequest> Forwarded, Instant Now);

  /// Reads a request as read() would, without a response, a count or a charge.
  /// Its body counts as empty. What is filled in of \p Pending is valid also if
  /// there is a rejection.
  std::optional<Rejection> preview(const AskedRequest &Asked,
                                   PendingRequest &Pending, Instant Now) const;

private:
  /// Returns the rejection if there is no configuration or no route.
  std::optional<Rejection> findRoute(PendingRequest &Pending,
                                     std::string_view Host,
                                     std::string_view Target) const;
  /// Finds the service and reads the two header values. \p Target: may be null.
  std::optional<Rejection> findService(PendingRequest &Pending,
                                       const RouteTarget *Target,
                                       std::string_view Deadline,
                                       std::string_view Key, Instant Now) const;
  /// The target that the forwarding host or the route's weights choose; null if
  /// the route has no such target.
  const RouteTarget *chooseTarget(const PendingRequest &Pending);
  /// Finds the team of the caller. Returns false if the route needs an API key
  /// and the request has no known one.
  static bool readTeam(PendingRequest &Pending, const HeaderNames &Names);
  /// Returns false if the deadline header is malformed; it may be missing.
  static bool readDeadline(PendingRequest &Pending, std::string_view Text,
                           Instant Now);
  /// Returns false if the shard key header is malformed or missing.
  static bool readKey(PendingRequest &Pending, std::string_view Text);

  GatewayState &m_state;
  const ServiceTimes &m_serviceTimes;
  TrafficSplitter m_splitter;
  std::uint64_t m_nextNumber = 0;
};

} // namespace burdockpulley

#endif
