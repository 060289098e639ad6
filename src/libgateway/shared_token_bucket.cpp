#include "burdockpulley/shared_token_bucket.h"

#include <algorithm>
#include <cmath>

namespace burdockpulley {

namespace {

/// Time constant with which the counts of recent requests decay.
constexpr double RecentSeconds = 1;

} // namespace

double LimitSharers::reportingShare() const {
  auto Reporting = static_cast<double>(m_reporting);
  return Reporting / static_cast<double>(std::max(m_registered, m_reporting));
}

void SharedTokenBucket::refill(const Limits &Current, double PeerRequests,
                               Instant Now) {
  if (!m_started) {
    m_started = true;
    m_refilledAt = Now;
  }
  double Seconds = std::chrono::duration<double>(Now - m_refilledAt).count();
  m_tokens += Current.m_rate * Seconds - PeerRequests;
  m_tokens = std::clamp(m_tokens, -Current.m_maxDebt, Current.m_capacity);
  double Remaining = std::exp(-Seconds / RecentSeconds);
  m_recentlySent *= Remaining;
  m_recentlySentByPeers = m_recentlySentByPeers * Remaining + PeerRequests;
  m_refilledAt = Now;
}

bool SharedTokenBucket::draw(const LimitSharers &Sharers, double Demand,
                             double PeerDemand, std::mt19937_64 &Random,
                             Instant Now) {
  double Share = (1 + Demand) / (static_cast<double>(Sharers.m_reporting) +
                                 Demand + PeerDemand);
  return draw(m_tokens * Share, Sharers.m_reportInterval, Random, Now);
}

bool SharedTokenBucket::draw(double Tokens, Duration Interval,
                             std::mt19937_64 &Random, Instant Now) {
  if (Now < m_nextDrawAt)
    return m_drawn > 0;
  m_nextDrawAt = Now + Interval;
  std::uniform_real_distribution<double> RandomFraction(0, 1);
  m_drawn = static_cast<std::uint32_t>(std::max(0.0, Tokens) +
                                       RandomFraction(Random));
  if (Tokens <= 0)
    m_drawn = 0;
  return m_drawn > 0;
}

void SharedTokenBucket::take() {
  m_tokens -= 1;
  m_recentlySent += 1;
  m_drawn -= m_drawn > 0 ? 1 : 0;
}

void SharedTokenBucket::raiseTo(double Tokens) {
  m_tokens = std::max(m_tokens, Tokens);
}

void SharedTokenBucket::lowerTo(double Tokens) {
  m_tokens = std::min(m_tokens, Tokens);
}

} // namespace burdockpulley
