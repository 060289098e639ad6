#ifndef BURDOCKPULLEY_CRASH_SUSPECTS_H
#define BURDOCKPULLEY_CRASH_SUSPECTS_H

#include "burdockpulley/upstream_registry.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace burdockpulley {

/// Hash of a request's method, path and body; equal for repeated requests.
using Fingerprint = Strong<struct FingerprintTag, std::uint64_t>;

/// Detects requests that crash the upstreams that run them, and blocks them.
///
/// When an upstream's process ends shortly after its connections broke, every
/// request that it may have been running is suspected. A request that has been
/// suspected of several crashes is refused for some time.
/// Thread safety: none.
class CrashSuspects {
public:
  /// Records that a connection broke while the upstream may have been running
  /// the request.
  void onInterrupted(Fingerprint Request, const UpstreamId &Upstream,
                     Instant Now);

  /// Records that the process of an upstream has ended or restarted. Returns
  /// the requests that are suspected of this crash.
  std::vector<Fingerprint> onUpstreamDown(const UpstreamId &Upstream,
                                          Instant Now);

  /// Removes the interruptions at an upstream: its process has not ended, and
  /// its connections broke for another reason.
  void forgetInterruptions(const UpstreamId &Upstream);

  /// Counts one crash of an upstream against a request that this host or
  /// another one suspects.
  void onSuspicion(Fingerprint Request, const UpstreamId &Upstream,
                   Instant Now);

  /// True when the request must not be sent to another upstream.
  bool blocked(Fingerprint Request, Instant Now) const;

  /// Removes expired interruptions and suspects.
  void sweep(Instant Now);

private:
  struct Interruption {
    Fingerprint m_request;
    UpstreamId m_upstream;
    Instant m_interruptedAt;
  };
  struct Suspect {
    std::uint32_t m_crashes = 0;
    Instant m_lastCrashAt;
  };

  std::vector<Interruption> m_interruptions;
  std::map<Fingerprint, Suspect> m_suspects;
};

} // namespace burdockpulley

#endif
