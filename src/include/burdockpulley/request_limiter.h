#ifndef BURDOCKPULLEY_REQUEST_LIMITER_H
#define BURDOCKPULLEY_REQUEST_LIMITER_H

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

/// The hosts that share the request limits of upstreams.
struct LimitSharers {
  /// Hosts whose requests are known to this host, including itself.
  std::size_t m_reporting = 1;
  std::size_t m_registered = 1; ///< All hosts, including those that are silent.
  Duration m_reportInterval{};  ///< Age that a host's report may reach.
};

/// Decides when this host may send a request to an upstream that limits them.
///
/// Each host keeps a token bucket of its own that is refilled at the upstream's
/// rate and charged with the requests of all hosts. As reports of the others
/// arrive late, hosts do not take tokens as they see them: each draws its share
/// once per report interval, in proportion to its waiting and its recent
/// requests and rounded at random, so that together they draw about what the
/// bucket holds. For hosts that do not report, an equal part of the rate is
/// not used.
/// Thread safety: none.
class RequestLimiter {
public:
  /// True when this host may send a request now.
  /// Precondition: the upstream has a limit.
  bool available(const UpstreamState &Upstream, const LimitSharers &Sharers,
                 std::mt19937_64 &Random, Instant Now);

  /// Counts one request as sent. Precondition: available() returned true.
  void take();

private:
  void refill(const UpstreamState &Upstream, double Rate, Instant Now);

  bool m_started = false;
  double m_tokens = 0; ///< Below zero when the hosts have sent too much.
  Instant m_refilledAt;
  std::uint32_t m_peerSent = 0; ///< UpstreamState::m_peerSent at m_refilledAt.
  Instant m_nextDrawAt;
  std::uint32_t m_drawn = 0; ///< Requests left of the current draw.
  /// Requests sent lately, by this host and by the others; older ones count for
  /// less.
  double m_recentlySent = 0;
  double m_recentlySentByPeers = 0;
};

} // namespace burdockpulley

#endif
