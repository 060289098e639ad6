#include "burdockpulley/shared_limits.h"

#include <algorithm>
#include <cmath>

namespace burdockpulley {

namespace {

/// Fraction of the budget that is used. The rest is a reserve for restarted
/// hosts, which have forgotten what they used, for hosts that do not know of
/// each other yet, and for repeated requests that callers' own losses cause.
constexpr double UsedRatioShare = 0.75;
constexpr double UsedAllowanceShare = 0.5;
/// Fraction of a cold upstream's rate that is used.
constexpr double UsedColdRateShare = 0.8;
/// In any second, a cold upstream can handle its rate times ColdBurstFactor,
/// plus ColdBurstRequests.
constexpr double ColdBurstFactor = 1.5;
constexpr double ColdBurstRequests = 5;
/// Time for which tokens may be saved when there are many hosts.
constexpr Duration MaxTokenSavingTime{500'000};

} // namespace

void SharedRetryBudget::removeExpired(Instant Now) {
  while (!m_requests.empty() && Now - m_requests.front() > m_settings.m_window)
    m_requests.pop_front();
  while (!m_retries.empty() && Now - m_retries.front() > m_settings.m_window)
    m_retries.pop_front();
}

void SharedRetryBudget::onRequest(Instant Now) {
  removeExpired(Now);
  m_requests.push_back(Now);
}

bool SharedRetryBudget::take(std::size_t Hosts, Instant Now) {
  removeExpired(Now);
  double Earned = std::chrono::duration<double>(Now - m_started) /
                  std::chrono::duration<double>(m_settings.m_window);
  double Allowed = m_settings.m_ratio * UsedRatioShare *
                       static_cast<double>(m_requests.size()) +
                   m_settings.m_allowance * UsedAllowanceShare *
                       std::min(1.0, Earned) /
                       static_cast<double>(std::max<std::size_t>(Hosts, 1));
  if (static_cast<double>(m_retries.size()) + 1 > Allowed)
    return false;
  m_retries.push_back(Now);
  return true;
}

bool ColdStartLimiter::available(double Rate, std::size_t Hosts, Instant Now) {
  double HostRate = Rate * UsedColdRateShare /
                    static_cast<double>(std::max<std::size_t>(Hosts, 1));
  bool ManyHosts =
      static_cast<double>(Hosts) >
      (ColdBurstFactor - UsedColdRateShare) * Rate + ColdBurstRequests;
  if (!m_started) {
    m_started = true;
    m_refilledAt = Now;
    m_tokens = ManyHosts ? m_phase : 0;
  }
  double Elapsed = std::chrono::duration<double>(Now - m_refilledAt).count();
  m_refilledAt = Now;
  m_tokens += Elapsed * HostRate;
  double SavedTokens =
      HostRate * std::chrono::duration<double>(MaxTokenSavingTime).count();
  if (!ManyHosts)
    m_tokens = std::min(1.0, m_tokens);
  else if (m_tokens > 1 + SavedTokens)
    m_tokens = std::fmod(m_tokens, 1);
  return m_tokens >= 1;
}

std::size_t keptConnections(std::uint32_t Limit, std::size_t Hosts) {
  /// Kept without a limit, and at most.
  constexpr std::size_t MaxKept = 64;
  /// Share of the limit that idle connections may take.
  constexpr double KeptShare = 0.75;
  if (Limit == 0)
    return MaxKept;
  auto Share = static_cast<std::size_t>(
      Limit * KeptShare / static_cast<double>(std::max<std::size_t>(Hosts, 1)));
  return std::clamp<std::size_t>(Share, 1, MaxKept);
}

} // namespace burdockpulley
