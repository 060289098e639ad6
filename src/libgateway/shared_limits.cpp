#include "burdockpulley/shared_limits.h"

#include <algorithm>
#include <cmath>

namespace burdockpulley {

namespace {

/// Part of the budget that is spent; the rest is for hosts that do not know of
/// each other yet, and for repeats that callers' losses cause by themselves.
constexpr double SpentRatioShare = 0.75;
constexpr double SpentAllowanceShare = 0.5;
/// Part of a cold upstream's rate that is used.
constexpr double ColdShare = 0.8;
/// A cold upstream bears so many times its rate in a second, and so many
/// requests beside.
constexpr double ColdOverage = 1.5;
constexpr double ColdSlack = 5;
/// How long a request may be saved where there are many hosts.
constexpr Duration ColdSavedTime{500'000};

} // namespace

void SharedRetryBudget::age(Instant Now) {
  while (!m_requests.empty() && Now - m_requests.front() > m_settings.m_window)
    m_requests.pop_front();
  while (!m_repeats.empty() && Now - m_repeats.front() > m_settings.m_window)
    m_repeats.pop_front();
}

void SharedRetryBudget::onRequest(Instant Now) {
  age(Now);
  m_requests.push_back(Now);
}

bool SharedRetryBudget::take(std::size_t Hosts, Instant Now) {
  age(Now);
  double Allowed = m_settings.m_ratio * SpentRatioShare *
                       static_cast<double>(m_requests.size()) +
                   m_settings.m_allowance * SpentAllowanceShare /
                       static_cast<double>(std::max<std::size_t>(Hosts, 1));
  if (static_cast<double>(m_repeats.size()) + 1 > Allowed)
    return false;
  m_repeats.push_back(Now);
  return true;
}

bool ColdStartLimiter::available(double Rate, std::size_t Hosts, Instant Now) {
  double Mine =
      Rate * ColdShare / static_cast<double>(std::max<std::size_t>(Hosts, 1));
  bool Many =
      static_cast<double>(Hosts) > (ColdOverage - ColdShare) * Rate + ColdSlack;
  if (!m_begun) {
    m_begun = true;
    m_at = Now;
    m_tokens = Many ? m_phase : 0;
  }
  double Passed = std::chrono::duration<double>(Now - m_at).count();
  m_at = Now;
  m_tokens += Passed * Mine;
  double Saved = Mine * std::chrono::duration<double>(ColdSavedTime).count();
  if (!Many)
    m_tokens = std::min(1.0, m_tokens);
  else if (m_tokens > 1 + Saved)
    m_tokens = std::fmod(m_tokens, 1);
  return m_tokens >= 1;
}

} // namespace burdockpulley
