#ifndef BURDOCKPULLEY_CRASH_SUSPECTS_H
#define BURDOCKPULLEY_CRASH_SUSPECTS_H

#include "burdockpulley/upstream_registry.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace burdockpulley {

/// Recognises a request that comes again: by its method, path and body.
using Fingerprint = Strong<struct FingerprintTag, std::uint64_t>;

/// Finds requests that crash each upstream that runs them.
///
/// A request was running when its connection broke, and then the upstream was
/// found dead: that speaks against every request that it was running. One that
/// has done so at several upstreams is refused for a while.
/// Thread safety: none.
class CrashSuspects {
public:
  /// A connection broke while an upstream may have been running a request.
  void onInterrupted(Fingerprint Request, const UpstreamId &Where, Instant Now);

  /// An upstream was found dead or restarted. Returns the requests that are
  /// suspected because of that.
  std::vector<Fingerprint> onUpstreamDown(const UpstreamId &Where, Instant Now);

  /// Another host suspects a request.
  void onSuspicion(Fingerprint Request, const UpstreamId &Where, Instant Now);

  /// True when the request must not reach another upstream.
  bool blocked(Fingerprint Request, Instant Now) const;

  /// Forgets what is long past.
  void sweep(Instant Now);

private:
  struct Interruption {
    Fingerprint m_request;
    UpstreamId m_where;
    Instant m_at;
  };
  struct Suspect {
    std::uint32_t m_crashes = 0;
    Instant m_last;
  };

  std::vector<Interruption> m_recent;
  std::map<Fingerprint, Suspect> m_suspects;
};

} // namespace burdockpulley

#endif
