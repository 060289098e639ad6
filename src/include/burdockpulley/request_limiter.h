#ifndef BURDOCKPULLEY_REQUEST_LIMITER_H
#define BURDOCKPULLEY_REQUEST_LIMITER_H

#include "burdockpulley/shared_token_bucket.h"
#include "burdockpulley/upstream_registry.h"

#include <optional>
#include <random>

namespace burdockpulley {

/// Records what an upstream has said about its limit of requests: \p Rate
/// requests a second, or that it has none. Older statements than the one known
/// are ignored; a change is logged.
/// \p StatedAt is when \p Host received the response; \p IsLocal says whether
/// that is this host.
/// Thread safety: none.
void onRequestLimit(UpstreamState &Upstream, std::optional<double> Rate,
                    Instant StatedAt, const HostId &Host, bool IsLocal,
                    Instant Now);

/// Requests a second that an upstream takes from all hosts together; infinity
/// when it has no limit. Thread safety: safe.
double requestRate(const UpstreamState &Upstream);

/// Decides when this host may send a request to an upstream that limits them.
///
/// All hosts share a bucket (see SharedTokenBucket), from which they draw in
/// proportion to their waiting and their recent requests. For hosts that do not
/// report, an equal part of the rate is not used.
/// Thread safety: none.
class RequestLimiter {
public:
  /// True when this host may send a request now.
  /// Precondition: the upstream has a limit.
  bool available(const UpstreamState &Upstream, const LimitSharers &Sharers,
                 std::mt19937_64 &Random, Instant Now);

  /// Counts one request as sent. Precondition: available() returned true.
  void take() { m_bucket.take(); }

private:
  SharedTokenBucket m_bucket;
  /// UpstreamState::m_peerSent at the last refill.
  std::optional<std::uint32_t> m_peerSent;
};

} // namespace burdockpulley

#endif
