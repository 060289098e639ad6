#ifndef BURDOCKPULLEY_UPSTREAM_PACE_H
#define BURDOCKPULLEY_UPSTREAM_PACE_H

#include "burdockpulley/owner_throttle.h"
#include "burdockpulley/shared_token_bucket.h"
#include "burdockpulley/upstream_registry.h"

#include <optional>
#include <random>

namespace burdockpulley {

/// What a cold upstream can handle from all hosts together: in any second, its
/// rate times m_overage, plus m_slack.
struct ColdBound {
  double m_overage = 1.5;
  double m_slack = 5;
};

/// Requests a second that all hosts together aim for at a cold upstream that
/// can handle \p ColdRate: the bound, less a margin for the random rounding of
/// their shares and for reports that are late. Thread safety: safe.
double usableColdRate(const ColdBound &Bound, double ColdRate);

/// Whether an upstream receives requests, as this host sees it.
enum class UpstreamPresence {
  Serving,
  Unusable, ///< Unreachable, leaving, or its failure domain is out of service.
  Unknown,  ///< The host's own paths are lost, or only its path to it.
};

/// Limits the requests at an upstream that has started or come back, until it
/// is known to bear its full load, and those at a cold upstream.
///
/// Handles an upstream that returns to a service under load: at its full share
/// at once, it would be overloaded while caches are cold or the fault lasts,
/// and a fixed ramp would leave a healthy one unused. The concurrency limit
/// starts low, doubles per service time while responses arrive in time, and
/// falls when requests fail, are refused or take much longer than usual there.
/// Responses to other hosts count, too, so that all hosts have about the same
/// limit. Hosts divide the free slots by what waits (see OwnerThrottle). At a
/// cold upstream, or when few other hosts report, the limit divided by the
/// service time, at most the usable part of the cold bound, is a rate that the
/// hosts share by demand (see SharedTokenBucket).
///
/// Thread safety: none.
class UpstreamPace {
public:
  /// Circumstances of a decision.
  struct Terms {
    LimitSharers m_sharers;
    ColdBound m_bound;
    double m_coldRate = 0; ///< Zero if the service has none.
    Duration m_workTime{}; ///< Of a request at an upstream of average speed.
    /// The request has a key: OwnerThrottle can divide the free slots.
    bool m_byOwnerThrottle = false;
    /// Requests without keys that wait for the service at the other hosts, for
    /// each of its usable upstreams.
    double m_waitingElsewhere = 0;
  };

  enum class Change { None, Began, Ended };

  /// Follows the state of the upstream, and judges the responses since the last
  /// call. Sets the m_pace members of UpstreamState. Call it a few
  /// times a second, and before available() unless the upstream is settled.
  Change update(UpstreamState &Upstream, UpstreamPresence Presence,
                const Terms &Current, Instant Now);

  /// True if the pace divides the upstream among the hosts, so that no
  /// OwnerThrottle has to.
  bool divides(const UpstreamState &Upstream, const Terms &Current,
               Instant Now) const;

  /// True if this host may send one more request to the upstream now.
  bool available(const UpstreamState &Upstream, const Terms &Current,
                 std::mt19937_64 &Random, Instant Now);

  /// Counts one request as sent. Precondition: available() returned true.
  void take() {
    m_bucket.take();
    m_throttle.take();
  }

  bool active() const { return m_active; }
  /// Why the last pace began; a word for the log.
  const char *reason() const { return m_reason; }
  Instant beganAt() const { return m_beganAt; }

private:
  enum class Absence { None, Unusable, Paused, Slow };

  /// Why the upstream gets no or few requests now.
  Absence absenceOf(const UpstreamState &Upstream, UpstreamPresence Presence,
                    Instant Now) const;
  /// The reason for which a pace has to begin; null if there is none.
  const char *returned(const UpstreamState &Upstream, UpstreamPresence Presence,
                       Instant Now);
  /// Expected time of a response, in seconds.
  double responseSeconds(const UpstreamState &Upstream, Duration WorkTime,
                         Instant Now) const;
  void begin(UpstreamState &Upstream, const char *Reason, Instant Now);
  void judge(const UpstreamState &Upstream,
             const PaceObservations &Observations, const Terms &Current,
             Instant Now);
  /// Raises the limit after responses in time.
  void grow(const UpstreamState &Upstream, std::uint32_t Answered,
            double ReportingShare, Instant Now);
  void reduce(double Factor, Duration HoldOff, Instant Now);
  bool sustained(const UpstreamState &Upstream, Instant Now) const;
  /// True if the hosts share a rate instead of the free slots.
  bool limitsRate(const UpstreamState &Upstream, const Terms &Current,
                  Instant Now) const;
  SharedTokenBucket::Limits limits(const UpstreamState &Upstream,
                                   const Terms &Current, Instant Now) const;

  bool m_known = false; ///< update() was called before.
  UpstreamIncarnation m_incarnation;
  Absence m_absence = Absence::None;
  /// Service time ratio of the upstream while it is not paced.
  double m_usualRatio = 1;

  bool m_active = false;
  const char *m_reason = "";
  Instant m_beganAt;
  double m_limit = 0;     ///< Requests in flight, from all hosts.
  bool m_reduced = false; ///< The limit has fallen since m_beganAt.
  Instant m_reducedAt;    ///< When it fell last, or m_beganAt.
  /// Responses to requests that were sent before the limit fell are ignored.
  Instant m_ignoreUntil;
  double m_recentRatio = 1; ///< Of recent responses.
  double m_recentSamples = 0;
  double m_recentFailures = 0;
  double m_inTimeAtFullLimit = 0;

  OwnerThrottle m_throttle; ///< For requests without keys.
  SharedTokenBucket m_bucket;
  bool m_limiting = false; ///< The bucket is in use.
  /// UpstreamState::m_peerSent at the last refill.
  std::optional<std::uint32_t> m_peerSent;
  Instant m_demandReportedAt;
  /// Demand of this host at that time, and a report interval before; the latter
  /// is known to the other hosts.
  double m_demand = 0;
  double m_reportedDemand = 0;
};

} // namespace burdockpulley

#endif
