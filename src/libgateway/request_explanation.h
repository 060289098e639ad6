#ifndef BURDOCKPULLEY_LIBGATEWAY_REQUEST_EXPLANATION_H
#define BURDOCKPULLEY_LIBGATEWAY_REQUEST_EXPLANATION_H

#include "burdockpulley/crash_suspects.h"
#include "request_intake.h"
#include "upstream_assignment.h"
#include "waiting_requests.h"

#include <nlohmann/json_fwd.hpp>

#include <random>
#include <string>
#include <string_view>

namespace burdockpulley {

/// Path on the metrics address at which a host explains its decisions.
inline constexpr std::string_view ExplanationPath = "/explain";

/// The objects that decide about a new request.
struct RequestDeciders {
  const GatewayState &m_state;
  const RequestIntake &m_intake;
  const CrashSuspects &m_suspects;
  const UpstreamAssignment &m_assignment;
  const WaitingRequests &m_waiting;
  const std::mt19937_64 &m_random; ///< Used for quotas.
};

/// True if the path of \p Target is ExplanationPath. Thread safety: safe.
bool asksForExplanation(std::string_view Target);

/// Explains what this host would do with a request now, as JSON: status 200,
/// 404 if there is no such route or team, or 400 with the name and the value of
/// a parameter that is unknown, doubled, missing or invalid.
///
/// Used when an operator has to find out why requests are refused or go
/// elsewhere. Nothing is sent, charged, counted or learned: decisions that draw
/// from a shared limit are made on copies. A new request of a caller is
/// assumed, with an empty body and an API key of the given team.
/// \p Request: with parameters host, path and, if wanted, team, key, method and
/// deadline in its query. Thread safety: none.
HttpResponse explain(const HttpRequest &Request, const RequestDeciders &By,
                     Instant Now);

} // namespace burdockpulley

#endif
