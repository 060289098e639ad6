#ifndef BURDOCKPULLEY_UPSTREAM_REACHABILITY_H
#define BURDOCKPULLEY_UPSTREAM_REACHABILITY_H

#include "burdockpulley/upstream_registry.h"

#include <optional>
#include <set>

namespace burdockpulley {

/// Tells the loss of this host's paths to all upstreams from faults of single
/// upstreams.
///
/// The paths count as lost when requests or probes to several upstreams, in
/// more than one failure domain if there are several, have failed and no
/// upstream has responded in between. One response from any upstream shows that
/// they are back. While connections hang, few requests fail, so probes are
/// wanted after the first failure and after a time without any response.
/// Thread safety: none.
class UpstreamReachability {
public:
  /// A request was sent to an upstream, or is about to be.
  void onSent(Instant Now);
  /// A connection to an upstream could not be made or has broken, or a probe
  /// had no response in time.
  void onFailure(const UpstreamId &Upstream, Instant Now);
  /// An upstream has responded, whatever the response says.
  void onResponse();

  /// True when the paths to the upstreams of \p Registry count as lost.
  bool lost(const UpstreamRegistry &Registry) const;

  /// True when probes are to be sent: since the last response of any upstream,
  /// something has failed or a request has waited for long.
  bool wantsProbes(Instant Now) const;

private:
  std::set<UpstreamId> m_failed; ///< Since the last response of any upstream.
  /// When the first request since then was sent, and the first failure was.
  std::optional<Instant> m_firstSent;
  std::optional<Instant> m_firstFailure;
};

} // namespace burdockpulley

#endif
