#include "pending_request.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// Attempts per request, including those that an upstream refused to run.
constexpr std::uint32_t MaxAttempts = 4;

} // namespace

std::uint32_t maxAttempts(const PendingRequest &Pending) {
  std::uint32_t Most = std::min(Pending.m_route->m_maxAttempts, MaxAttempts);
  return Pending.m_forwarded
             ? std::min(Most, Pending.m_forwarded->m_maxAttempts)
             : Most;
}

} // namespace burdockpulley
