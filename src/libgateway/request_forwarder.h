#ifndef BURDOCKPULLEY_LIBGATEWAY_REQUEST_FORWARDER_H
#define BURDOCKPULLEY_LIBGATEWAY_REQUEST_FORWARDER_H

#include "connection_pools.h"
#include "gateway_state.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace burdockpulley {

/// How a host to which a request was forwarded has ended it.
enum class ForwardOutcome {
  Answered,  ///< The response is that of an upstream.
  NotRun,    ///< Refused; no upstream has run it.
  NotServed, ///< Refused, and sent to no upstream, as that host has none for
             ///< it.
  Unknown,   ///< An upstream may have run it.
};

/// What a host says of a forwarded request that it has ended.
struct ForwardedEnd {
  ForwardOutcome m_outcome = ForwardOutcome::NotServed;
  /// Attempts that reached an upstream. They count towards the attempts of the
  /// request, and a further one towards the retry budget.
  std::uint32_t m_attempts = 0;
  /// It was ended as that host had no further upstream for it. Another host may
  /// have one.
  bool m_noUpstreamLeft = false;
};

/// Returns the name of an outcome for logs. Thread safety: safe.
const char *toString(ForwardOutcome Outcome);

/// What a host that forwards a request has decided about it.
struct ForwardedRequest {
  ServiceId m_service;             ///< The route's target that was chosen.
  std::uint32_t m_maxAttempts = 1; ///< Upstreams that may still be tried.
  TeamId m_team;                   ///< Of the caller; empty if it has none.
};

/// Adds to a request what a host that serves it for another one has to know.
/// Thread safety: safe.
void addForwardHeaders(HttpRequest &Request, const ForwardedRequest &Forwarded);
/// Returns nothing when the headers are missing or malformed.
/// Thread safety: safe.
std::optional<ForwardedRequest> readForwardHeaders(const HttpRequest &Request);
/// Adds to a response how its request has ended, as RequestRelay logs it, the
/// upstream of the last attempt, if there was one, and the number of attempts
/// that reached an upstream. Thread safety: safe.
void addOutcomeHeaders(HttpResponse &Response, std::string_view Outcome,
                       std::string_view Reason, const UpstreamId &Upstream,
                       std::uint32_t Attempts);
/// Reads the upstream that addOutcomeHeaders() has added; empty if it has added
/// none, or the host is of an older version. Thread safety: safe.
UpstreamId readUpstream(const HttpResponse &Response);
/// Reads what addOutcomeHeaders() has added. A response without it was refused
/// before an upstream was chosen. Hosts of older versions do not tell the
/// attempts: one is assumed if they name an upstream. Thread safety: safe.
ForwardedEnd readForwardedEnd(const HttpResponse &Response);
/// True for headers that only hosts send to each other. Thread safety: safe.
bool isForwardHeader(std::string_view Name);

/// Reason of the end of a request for which no upstream could be used.
inline constexpr const char *NoUpstreamReason = "no-upstream";

/// Sends requests to other hosts, which serve them in place of this one when it
/// has no path to the upstreams.
/// Thread safety: none; it belongs to the loop's thread.
class RequestForwarder {
public:
  /// Precondition: \p State outlives the object.
  explicit RequestForwarder(GatewayState &State);

  /// Chooses a host that knows teams, if \p NeedsTeams: \p Preferred if it can
  /// serve requests, else the one with the fewest requests of this host, with
  /// preference for hosts of this failure domain and for wide links. Null if
  /// there is none but those in \p Tried.
  const ForwardingPeer *choose(const std::optional<HostId> &Preferred,
                               const std::set<HostId> &Tried, bool NeedsTeams,
                               Instant Now) const;

  /// Sends a request to a host. See ChannelPool::call().
  ChannelCallId call(const ForwardingPeer &Peer, const HttpRequest &Request,
                     const std::string &RequestId, Duration Timeout,
                     ChannelPool::Callback Done);
  /// Cancels a call; its callback does not run.
  void cancel(const HostId &Host, ChannelCallId Call);

  /// Closes idle connections. Call it a few times a second.
  void sweep(Instant Now);

private:
  struct Load {
    std::size_t m_inFlight = 0;
    Instant m_failedUntil; ///< A request has failed; it is not chosen.
  };

  GatewayState &m_state;
  ConnectionPools<HostId> m_connections;
  std::map<HostId, Load> m_loads;
};

} // namespace burdockpulley

#endif
