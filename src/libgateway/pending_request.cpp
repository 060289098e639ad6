#include "pending_request.h"

#include "burdockpulley/team_shares.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// Attempts per request, including those that an upstream refused to run.
constexpr std::uint32_t MaxAttempts = 4;
/// Less urgent priorities are not told apart.
constexpr std::uint32_t RoutePriorityBits = 16;
constexpr std::uint32_t LeastRoutePriority = (1U << RoutePriorityBits) - 1;

} // namespace

std::uint32_t maxAttempts(const PendingRequest &Pending) {
  std::uint32_t Most = std::min(Pending.m_route->m_maxAttempts, MaxAttempts);
  return Pending.m_forwarded
             ? std::min(Most, Pending.m_forwarded->m_maxAttempts)
             : Most;
}

std::uint32_t priorityOf(const PendingRequest &Pending) {
  std::uint32_t Team = 0;
  if (Pending.m_team)
    Team = teamPriority(*Pending.m_team);
  else if (!Pending.m_configuration->m_teams.empty())
    Team = LeastTeamPriority;
  std::uint32_t Route =
      std::min(Pending.m_route->m_priority, LeastRoutePriority);
  return withShare((Team << RoutePriorityBits | Route) << 1 |
                       (Pending.m_returning ? 0U : 1U),
                   Pending.m_aboveShare);
}

} // namespace burdockpulley
