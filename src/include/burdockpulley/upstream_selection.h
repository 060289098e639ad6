#ifndef BURDOCKPULLEY_UPSTREAM_SELECTION_H
#define BURDOCKPULLEY_UPSTREAM_SELECTION_H

#include "burdockpulley/upstream_registry.h"

#include <random>
#include <set>
#include <span>
#include <string>

namespace burdockpulley {

/// How long the requests of each route take at an upstream of usual speed.
/// Thread safety: none.
class ServiceTimes {
public:
  /// A request has been answered after \p Spent at an upstream whose speed and
  /// momentary slowness together are \p Factor.
  void onAnswer(const std::string &Route, Duration Spent, double Factor);

  /// The expected time; \p Guess when nothing has been observed.
  Duration expected(const std::string &Route, Duration Guess) const;

private:
  struct Row {
    double m_micros = 0;
    std::uint32_t m_samples = 0;
  };
  std::map<std::string, Row, std::less<>> m_rows;
};

/// What placing one request depends on.
struct SelectionRequest {
  Duration m_workTime{};   ///< Expected at an upstream of usual speed.
  std::size_t m_bytes = 0; ///< Request and expected answer.
  DomainId m_domain;       ///< Failure domain of this host.
  const std::set<UpstreamId> *m_tried = nullptr; ///< Not to be used again.
  /// Each upstream's finish counts as later by a random share up to this, so
  /// that hosts with the same old news do not all choose the same upstream.
  double m_jitter = 0;
  std::mt19937_64 *m_random = nullptr; ///< Needed when there is jitter.
};

/// The jitter for hosts that hear of each other's load once in \p NewsAge,
/// while requests take \p WorkTime. Thread safety: safe.
double jitterFor(Duration NewsAge, Duration WorkTime);

/// Where a request goes, or that it has to wait.
struct Selection {
  UpstreamState *m_upstream = nullptr; ///< Null when no upstream has room.
  bool m_anyUsable = false; ///< Some upstream may be used once it has room.
};

/// How many times longer than usual work takes at an upstream just now.
/// Thread safety: safe.
double slownessFactor(const UpstreamState &Row, Instant Now);

/// Expected time until an answer of \p Row, without the way there.
/// Thread safety: safe.
Duration expectedFinish(const UpstreamState &Row, Duration WorkTime,
                        Instant Now);

/// What is queued behind full slots, so that a slot is not idle for the time
/// that news of its being free takes.
constexpr std::uint32_t QueueAhead = 1;

/// True when an upstream has a slot free or all but free, so that a request
/// sent now does not wait in a queue that knows no urgency.
/// Thread safety: safe.
bool hasRoom(const UpstreamState &Row);

/// Chooses the usable upstream with the least expected finish among those that
/// have room. Distance and bytes between failure domains count as time.
///
/// It answers uneven load: upstreams differ in speed, and some are slowed for
/// moments by neighbours, while others of the service stand idle. And it
/// answers many hosts with old news of each other, which would send what
/// comes between two news to the same few upstreams.
/// Thread safety: safe.
Selection selectUpstream(const UpstreamRegistry &Registry,
                         std::span<UpstreamState *const> Rows,
                         const SelectionRequest &Request, Instant Now);

/// Takes in what an answer shows of an upstream's speed.
/// Thread safety: none.
void observeServiceTime(UpstreamState &Row, Duration Spent, Duration Expected,
                        Instant Now);

/// Takes in that an upstream failed a request, or refused it. What fails counts
/// as slow: others are to be preferred, and keys to leave it.
///
/// It answers upstreams that fail part of their requests while their health
/// check is good.
/// Thread safety: none.
void observeFailure(UpstreamState &Row, Instant Now);

/// An upstream that gets little work shows nothing of its speed: what was
/// known is forgotten with time, so that it is tried again. Call it a few times
/// a second. Thread safety: none.
void decayServiceTimeRatio(UpstreamState &Row, Duration Passed, Instant Now);

/// Takes in the mean of several such observations, this host's or another's.
/// Thread safety: none.
void mergeServiceTimeRatio(UpstreamState &Row, double Mean,
                           std::uint32_t Samples, Instant Now);

} // namespace burdockpulley

#endif
