#ifndef BURDOCKPULLEY_LIBGATEWAY_UPSTREAM_ASSIGNMENT_H
#define BURDOCKPULLEY_LIBGATEWAY_UPSTREAM_ASSIGNMENT_H

#include "burdockpulley/owner_throttle.h"
#include "burdockpulley/request_limiter.h"
#include "burdockpulley/shared_limits.h"
#include "burdockpulley/upstream_pace.h"
#include "burdockpulley/upstream_selection.h"
#include "gateway_state.h"
#include "pending_request.h"
#include "service_reserves.h"

#include <random>

namespace burdockpulley {

/// What UpstreamAssignment would decide about a request now, and why.
struct AssignmentPreview {
  struct Candidate {
    UpstreamState m_upstream; ///< A copy.
    Obstacle m_obstacle = Obstacle::None;
  };
  /// The upstreams of the service, or the owner of the key.
  std::vector<Candidate> m_candidates;
  /// The upstream that would be chosen; nothing if there is none.
  std::optional<UpstreamId> m_chosen;
  bool m_canWait = false; ///< See UpstreamAssignment::chooseUpstream().
};

/// Decides which upstream, or which other host, a request may be sent to now,
/// within the limits that all hosts share, and what capacity the upstreams of
/// its service have.
/// Thread safety: none; it belongs to the loop's thread.
class UpstreamAssignment {
public:
  /// Precondition: the arguments outlive the object.
  UpstreamAssignment(GatewayState &State, const RequestForwarder &Forwarder,
                     const ServiceReserves &Reserves);

  /// True if the slots that the request's priority may hold are in use.
  bool heldForUrgent(const PendingRequest &Pending) const;

  /// Returns null if no upstream can take the request now. \p CanWait says
  /// whether one may be able to later.
  UpstreamState *chooseUpstream(const PendingRequest &Pending, bool &CanWait,
                                Instant Now);
  /// What chooseUpstream() would decide about a request that has not been sent
  /// yet. Draws no share of a limit, and changes nothing else.
  AssignmentPreview preview(const PendingRequest &Pending, Instant Now) const;
  /// True if more requests that are more urgent wait at other hosts for the
  /// upstreams that the request may be sent to than these can take now.
  /// Requests of a limited priority do not yield: their slots are without those
  /// for the more urgent ones.
  bool yieldsToPeers(const PendingRequest &Pending, Instant Now) const;
  /// The host to which to forward a request for which this host has no usable
  /// upstream; null if there is none that reaches one.
  const ForwardingPeer *chooseForwardingPeer(const PendingRequest &Pending,
                                             Instant Now) const;
  /// Capacity of the upstreams that the request may be sent to.
  ServiceCapacity capacityFor(const PendingRequest &Pending, Instant Now) const;

  /// Charges the limits of an upstream with a request that is sent now.
  void onSend(const PendingRequest &Pending, UpstreamState &Upstream,
              Instant Now);

  /// Follows the paces of all upstreams, and discards the state of upstreams
  /// that are gone. Call it a few times a second.
  void sweep(Instant Now);

private:
  struct OwnerLookup {
    UpstreamState *m_upstream = nullptr; ///< Null if it may not be used.
    bool m_unreachable = false;
  };
  /// Precondition: the request has a key.
  OwnerLookup findOwner(const PendingRequest &Pending, Instant Now) const;
  UpstreamState *chooseOwner(const PendingRequest &Pending, bool &CanWait,
                             Instant Now);
  /// True if the request may wait for the owner of its key.
  static bool mayAwaitOwner(const OwnerLookup &KeyOwner,
                            const PendingRequest &Pending, Instant Now);
  /// Why this host may not send one more request to the owner of its key, which
  /// may be used.
  Obstacle ownerObstacle(UpstreamState &Owner, const PendingRequest &Pending,
                         Instant Now);
  /// The obstacles of upstreams that chooseAmong() has left out by their
  /// limits.
  using Limits = std::map<UpstreamId, Obstacle>;
  /// Chooses among the upstreams of the service of a request without a key.
  /// \p LeftOut may be null.
  UpstreamState *chooseAmong(std::vector<UpstreamState *> Upstreams,
                             const PendingRequest &Pending, bool &CanWait,
                             Limits *LeftOut, Instant Now);
  /// Why the limits of an upstream of such a service forbid one more request.
  Obstacle limitOf(UpstreamState &Upstream, const PendingRequest &Pending,
                   const UpstreamPace::Terms &Terms, Instant Now);
  /// Why the owner of the request's key may not be used, or may not be sent
  /// one more request.
  Obstacle previewOwner(const OwnerLookup &KeyOwner, UpstreamState &Owner,
                        const PendingRequest &Pending, Instant Now);
  /// True if the upstream is neither cold nor paced, or if this host may send
  /// it one more request within its share.
  bool allowedByPace(UpstreamState &Upstream, const PendingRequest &Pending,
                     const UpstreamPace::Terms &Terms, Instant Now);
  /// The same without paces: True if the upstream is not cold, or if this host
  /// may send it one more request within its share of the cold start rate.
  bool allowedByColdStartLimit(const UpstreamState &Upstream,
                               const PendingRequest &Pending, Instant Now);
  /// The terms apart from those of a request.
  UpstreamPace::Terms paceTerms(const ServiceId &Service) const;
  UpstreamPace::Terms paceTerms(const PendingRequest &Pending) const;
  UpstreamPresence presenceOf(const UpstreamState &Upstream) const;
  /// Updates the pace of an upstream, and logs its begin and end.
  void updatePace(UpstreamPace &Pace, UpstreamState &Upstream,
                  const UpstreamPace::Terms &Terms, Instant Now);
  /// True if the upstream does not limit its requests, or if this host may send
  /// it one more.
  bool allowedByRequestLimit(const UpstreamState &Upstream, Instant Now);

  GatewayState &m_state;
  const RequestForwarder &m_forwarder;
  const ServiceReserves &m_reserves;
  std::map<UpstreamId, UpstreamPace> m_paces;
  std::map<UpstreamId, ColdStartLimiter> m_coldStartLimiters;
  std::map<UpstreamId, OwnerThrottle> m_ownerThrottles;
  std::map<UpstreamId, RequestLimiter> m_requestLimiters;
  std::mt19937_64 m_random;
  bool m_isPreview = false; ///< It is a copy, made by preview().
};

} // namespace burdockpulley

#endif
