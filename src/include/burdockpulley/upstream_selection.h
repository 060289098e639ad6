#ifndef BURDOCKPULLEY_UPSTREAM_SELECTION_H
#define BURDOCKPULLEY_UPSTREAM_SELECTION_H

#include "burdockpulley/upstream_registry.h"

#include <random>
#include <set>
#include <span>
#include <string>

namespace burdockpulley {

/// Mean service time of each route at an upstream of average speed.
/// Thread safety: none.
class ServiceTimes {
public:
  /// Adds a response that took \p Spent at an upstream whose slownessFactor()
  /// was \p Factor.
  void onAnswer(const std::string &Route, Duration Spent, double Factor);

  /// The expected time; \p Default when the route has no responses yet.
  Duration expected(const std::string &Route, Duration Default) const;

private:
  struct RouteMean {
    double m_micros = 0;
    std::uint32_t m_samples = 0;
  };
  std::map<std::string, RouteMean, std::less<>> m_means;
};

/// Input of selectUpstream() for one request.
struct SelectionRequest {
  Duration m_workTime{};   ///< Expected at an upstream of average speed.
  std::size_t m_bytes = 0; ///< Size of the request and expected response.
  DomainId m_domain;       ///< Failure domain of this host.
  const std::set<UpstreamId> *m_tried = nullptr; ///< Not to be selected.
  /// Upper bound of the random share that is added to each upstream's expected
  /// finish time, so that hosts with the same stale load reports do not all
  /// select the same upstream.
  double m_jitter = 0;
  std::mt19937_64 *m_random = nullptr; ///< Set if jitter is above 0.
};

/// The jitter for hosts that receive each other's load once per
/// \p StatusInterval, while requests take \p WorkTime. Thread safety: safe.
double jitterFor(Duration StatusInterval, Duration WorkTime);

/// Result of selectUpstream().
struct Selection {
  UpstreamState *m_upstream = nullptr; ///< Null when none has capacity.
  bool m_anyUsable = false; ///< Some upstream is usable, if perhaps full.
};

/// Current service time of an upstream relative to one of average speed.
/// Thread safety: safe.
double slownessFactor(const UpstreamState &Upstream, Instant Now);

/// Time that a request takes in a slot, relative to an upstream of average
/// speed. Failures do not count while the upstream is paced: the limit depends
/// on them. Thread safety: safe.
double slotTimeFactor(const UpstreamState &Upstream, Instant Now);

/// Expected time until \p Upstream responds to a request that is sent now,
/// without network time. Thread safety: safe.
Duration expectedFinish(const UpstreamState &Upstream, Duration WorkTime,
                        Instant Now);

/// Requests that an upstream may queue beyond its slots, so that a slot that
/// becomes free is not idle until the hosts are informed of it.
constexpr std::uint32_t MaxQueuedBeyondSlots = 1;

/// Requests from all hosts that an upstream may have at a time: its slots and
/// MaxQueuedBeyondSlots, or the limit of its pace. Thread safety: safe.
std::uint32_t maxInFlight(const UpstreamState &Upstream);

/// True when an upstream has fewer requests than maxInFlight(). More requests
/// would wait in the upstream's own queue, which ignores priorities. Thread
/// safety: safe.
bool hasCapacity(const UpstreamState &Upstream);

/// Selects the usable upstream with capacity that has the least expected finish
/// time. Distance and bytes between failure domains count as time.
///
/// Used when load is uneven: upstreams differ in speed, and some are slowed for
/// moments by noisy neighbours while others of the service are idle. The jitter
/// prevents many hosts with stale load reports of each other from sending all
/// requests that arrive between two reports to the same few upstreams.
/// Thread safety: safe.
Selection selectUpstream(const UpstreamRegistry &Registry,
                         std::span<UpstreamState *const> Upstreams,
                         const SelectionRequest &Request, Instant Now);

/// Updates an upstream's service time ratio with one response that took
/// \p Spent; \p Expected is the time at an upstream of average speed.
/// Thread safety: none.
void observeServiceTime(UpstreamState &Upstream, Duration Spent,
                        Duration Expected, Instant Now);

/// Updates an upstream's service time ratio after it failed or refused a
/// request. A failure counts as a slow response, so that other upstreams are
/// preferred and keys are moved away.
///
/// Used when upstreams fail part of their requests while their health check
/// passes.
/// Thread safety: none.
void observeFailure(UpstreamState &Upstream, Instant Now);

/// Moves the service time ratio of an upstream towards 1 when it has had no
/// samples lately. An upstream that receives little work yields no samples, and
/// would otherwise not be tried again. \p Elapsed is the time since the last
/// call; call it a few times a second. Thread safety: none.
void decayServiceTimeRatio(UpstreamState &Upstream, Duration Elapsed,
                           Instant Now);

/// Sample of the service time ratio for a failed request.
constexpr double FailureSample = 6;

/// Merges the mean of several samples, of this host or another one, into the
/// service time ratio. \p Failures of them are failed requests.
/// Thread safety: none.
void mergeServiceTimeRatio(UpstreamState &Upstream, double Mean,
                           std::uint32_t Samples, std::uint32_t Failures,
                           Instant Now);

} // namespace burdockpulley

#endif
