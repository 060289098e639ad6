#include "burdockpulley/request_limiter.h"

#include "burdockpulley/event_log.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace burdockpulley {

namespace {

/// An upstream that takes no requests still gets this rate, since only its
/// responses show when that ends.
constexpr double MinRequestsPerSecond = 0.25;
/// Time for which unused requests are saved.
constexpr double SavedSeconds = 1;
/// Time for which requests beyond the rate reduce what may be sent later.
constexpr double OwedSeconds = 2;
/// Time constant with which the counts of recent requests decay.
constexpr double RecentSeconds = 1;

} // namespace

void onRequestLimit(UpstreamState &Upstream, std::optional<double> Rate,
                    Instant StatedAt, const HostId &Host, bool IsLocal,
                    Instant Now) {
  RequestLimit &Limit = Upstream.m_requestLimit;
  if (StatedAt <= Limit.m_statedAt)
    return;
  Limit.m_statedAt = StatedAt;
  Limit.m_isLocal = IsLocal;
  if (Rate.has_value() != Limit.m_rate.has_value()) {
    Limit.m_changedAt = Now;
    logEvent(Severity::Warning, "upstream_limit_changed",
             {{"upstream", Upstream.m_record.m_id.value()},
              {"limited", Rate.has_value()},
              {"requests_per_s", Rate.value_or(0)},
              {"received_by", Host.value()},
              {"age_ms", (Now - StatedAt).count() / 1000}});
  }
  Limit.m_rate = Rate;
}

double requestRate(const UpstreamState &Upstream) {
  if (!Upstream.m_requestLimit.m_rate)
    return std::numeric_limits<double>::infinity();
  return std::max(*Upstream.m_requestLimit.m_rate, MinRequestsPerSecond);
}

void RequestLimiter::refill(const UpstreamState &Upstream, double Rate,
                            Instant Now) {
  if (!m_started) {
    m_started = true;
    m_refilledAt = Now;
    m_peerSent = Upstream.m_peerSent;
  }
  double Seconds = std::chrono::duration<double>(Now - m_refilledAt).count();
  // The count starts anew when the upstream does.
  double PeersSent =
      Upstream.m_peerSent - std::min(m_peerSent, Upstream.m_peerSent);
  m_tokens += Rate * Seconds - PeersSent;
  m_tokens = std::clamp(m_tokens, -Rate * OwedSeconds,
                        std::max(1.0, Rate * SavedSeconds));
  double Remaining = std::exp(-Seconds / RecentSeconds);
  m_recentlySent *= Remaining;
  m_recentlySentByPeers = m_recentlySentByPeers * Remaining + PeersSent;
  m_refilledAt = Now;
  m_peerSent = Upstream.m_peerSent;
}

bool RequestLimiter::available(const UpstreamState &Upstream,
                               const LimitSharers &Sharers,
                               std::mt19937_64 &Random, Instant Now) {
  auto Reporting = static_cast<double>(Sharers.m_reporting);
  auto Registered =
      static_cast<double>(std::max(Sharers.m_registered, Sharers.m_reporting));
  refill(Upstream, requestRate(Upstream) * Reporting / Registered, Now);
  if (Now < m_nextDrawAt)
    return m_drawn > 0;
  m_nextDrawAt = Now + Sharers.m_reportInterval;
  double Demand = Upstream.m_waiting + m_recentlySent;
  double PeerDemand = Upstream.m_peerWaiting + m_recentlySentByPeers;
  double Share = (1 + Demand) / (Reporting + Demand + PeerDemand);
  std::uniform_real_distribution<double> RandomFraction(0, 1);
  m_drawn = static_cast<std::uint32_t>(std::max(0.0, m_tokens) * Share +
                                       RandomFraction(Random));
  if (m_tokens <= 0)
    m_drawn = 0;
  return m_drawn > 0;
}

void RequestLimiter::take() {
  m_tokens -= 1;
  m_recentlySent += 1;
  m_drawn -= m_drawn > 0 ? 1 : 0;
}

} // namespace burdockpulley
