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

bool RequestLimiter::available(const UpstreamState &Upstream,
                               const LimitSharers &Sharers,
                               std::mt19937_64 &Random, Instant Now) {
  double Rate = requestRate(Upstream) * Sharers.reportingShare();
  // The count starts anew when the upstream does.
  std::uint32_t PeerSentBefore =
      std::min(m_peerSent.value_or(Upstream.m_peerSent), Upstream.m_peerSent);
  m_peerSent = Upstream.m_peerSent;
  m_bucket.refill(
      {Rate, std::max(1.0, Rate * SavedSeconds), Rate * OwedSeconds},
      Upstream.m_peerSent - PeerSentBefore, Now);
  return m_bucket.draw(Sharers, Upstream.m_waiting + m_bucket.recentlySent(),
                       Upstream.m_peerWaiting + m_bucket.recentlySentByPeers(),
                       Random, Now);
}

} // namespace burdockpulley
