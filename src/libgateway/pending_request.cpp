#include "pending_request.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// Attempts per request, including those that an upstream refused to run.
constexpr std::uint32_t MaxAttempts = 4;
/// Less urgent priorities are not told apart.
constexpr std::uint32_t LeastTeamPriority = (1U << 14) - 1;
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
    Team = std::min(Pending.m_team->m_priority, LeastTeamPriority - 1);
  else if (!Pending.m_configuration->m_teams.empty())
    Team = LeastTeamPriority;
  std::uint32_t Route =
      std::min(Pending.m_route->m_priority, LeastRoutePriority);
  return (Team << RoutePriorityBits | Route) << 1 |
         (Pending.m_returning ? 0U : 1U);
}

} // namespace burdockpulley
