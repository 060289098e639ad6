#ifndef BURDOCKPULLEY_LIBGATEWAY_ATTEMPT_RESULTS_H
#define BURDOCKPULLEY_LIBGATEWAY_ATTEMPT_RESULTS_H

#include "burdockpulley/attempt_policy.h"
#include "burdockpulley/crash_suspects.h"
#include "burdockpulley/upstream_selection.h"
#include "gateway_state.h"
#include "pending_request.h"

#include <functional>

namespace burdockpulley {

/// Classifies the results of attempts, and learns from them: about upstreams,
/// service times, paths, and requests that crash upstreams.
/// Thread safety: none; it belongs to the loop's thread.
class AttemptResults {
public:
  /// Precondition: \p State outlives the object.
  explicit AttemptResults(GatewayState &State) : m_state(State) {}

  AttemptOutcome classify(const PendingRequest &Pending,
                          const ChannelResult &Result) const;
  /// Updates the upstream's state, the metrics and the crash suspects with the
  /// result of an attempt.
  void record(PendingRequest &Pending, const ChannelResult &Result,
              AttemptOutcome Outcome, Instant Now);

  /// An upstream's process has ended or was restarted.
  void onUpstreamDown(const UpstreamId &Upstream, Instant Now);

  /// Decides about refused connections, and discards state that is no longer
  /// needed. Call it a few times a second.
  void sweep(Instant Now);

  CrashSuspects &suspects() { return m_suspects; }
  const CrashSuspects &suspects() const { return m_suspects; }
  const ServiceTimes &serviceTimes() const { return m_serviceTimes; }

  /// Called when a request is suspected of crashing upstreams.
  std::function<void(Fingerprint, const UpstreamId &)> m_onSuspicion;

private:
  /// Updates what is known of an upstream with a response.
  void recordResponse(PendingRequest &Pending, UpstreamState &Upstream,
                      const HttpResponse &Response, AttemptOutcome Outcome,
                      Instant Now);
  /// True if the upstream has refused the attempt as full, or has not answered
  /// it and is full by its newest load report.
  bool metFullUpstream(const UpstreamState &Upstream,
                       const ChannelResult &Result,
                       AttemptOutcome Outcome) const;
  /// Takes note of the request limit that a response states, or no longer
  /// states.
  void recordRequestLimit(UpstreamState &Upstream, const HttpResponse &Response,
                          AttemptOutcome Outcome, Instant Now);
  /// Takes note of a connection that could not be established.
  void recordConnectFailure(const PendingRequest &Pending,
                            UpstreamState &Upstream, bool Refused, Instant Now);
  /// Decides whether upstreams that have refused connections have ended.
  void decideRefusals(Instant Now);

  GatewayState &m_state;
  ServiceTimes m_serviceTimes;
  CrashSuspects m_suspects;
  /// Upstreams that have refused a connection of this host, and when. Whether
  /// their processes have ended is not decided yet.
  std::map<UpstreamId, Instant> m_refusedAt;
};

} // namespace burdockpulley

#endif
