#ifndef BURDOCKPULLEY_UPSTREAM_REGISTRY_H
#define BURDOCKPULLEY_UPSTREAM_REGISTRY_H

#include "burdockpulley/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace burdockpulley {

/// Distinguishes the starts of an upstream that use the same id: the wall-clock
/// time of the start in milliseconds, as reported by the upstream itself.
using UpstreamIncarnation = Strong<struct UpstreamIncarnationTag, std::int64_t>;

/// An upstream's registration, written by the upstream itself.
struct UpstreamRecord {
  UpstreamId m_id;
  ServiceId m_service;
  Endpoint m_address;
  DomainId m_domain;
  std::uint32_t m_slots = 1;
  bool m_draining = false;
  Duration m_coldLeft{}; ///< Remaining time for which it is cold.
  UpstreamIncarnation m_incarnation;
  std::uint64_t m_sequence = 0; ///< Grows with each heartbeat of one start.
};

/// Least value of LoadReport::m_slowness: work is divided by it.
constexpr double MinSlowness = 0.1;

/// Load that an upstream reported in a response.
struct LoadReport {
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  double m_slowness = 1; ///< Current service time relative to the usual one.
};

/// What an upstream has said last about the requests that it takes.
struct RequestLimit {
  /// Requests a second from all hosts together; nothing if it has no limit.
  std::optional<double> m_rate;
  Instant m_statedAt;     ///< When a host received the response that says so.
  Instant m_changedAt;    ///< When m_rate was last set or cleared on this host.
  bool m_isLocal = false; ///< The response came to this host.
};

/// Error of the times at which other hosts say that they received a response.
constexpr Duration PeerTimeError{100'000};

/// Responses of an upstream to all hosts, as far as this host knows of them and
/// UpstreamPace has not judged them yet.
struct PaceObservations {
  double m_ratioSum = 0; ///< Of the service time ratios of all samples.
  std::uint32_t m_samples = 0;
  std::uint32_t m_failures = 0; ///< Samples that were refusals or failures.
};

/// One upstream as this host sees it.
struct UpstreamState {
  UpstreamRecord m_record;
  bool m_registered = true; ///< False once its record is removed.
  /// When this host first learned that it leaves or is gone.
  Instant m_leftAt;
  /// It has said in a response that it leaves. Only a later start of the
  /// upstream takes that back, whatever its record says.
  bool m_saidLeaving = false;
  bool m_leavingIsLocal = false; ///< The response came to this host.
  /// It has asked this host to send it no requests until then.
  Instant m_pausedUntil;
  Instant m_coldUntil; ///< According to its heartbeats.
  /// Assumed by this host when the upstream may have become cold unnoticed.
  Instant m_assumedColdUntil;
  /// Set by a refused or failed connection. The upstream is not used until a
  /// later heartbeat shows that it is alive, or some time has passed.
  bool m_unreachable = false;
  Instant m_unreachableSince;
  /// Last response to this host, and the newest one to another host.
  Instant m_answeredAt;
  Instant m_peerAnsweredAt;
  HostId m_answeredPeer; ///< The host that received the latter.

  std::uint32_t m_outstanding = 0;     ///< Requests of this host at it.
  std::uint32_t m_peerOutstanding = 0; ///< Requests of all other hosts at it.
  /// Those of m_peerOutstanding from hosts that do not report their load at its
  /// service by priority.
  std::uint32_t m_peerUnreported = 0;
  std::uint32_t m_waiting = 0;     ///< Requests waiting here for its keys.
  std::uint32_t m_peerWaiting = 0; ///< The same at all other hosts.
  LoadReport m_report;
  Instant m_reportAt;
  bool m_reportIsLocal = false; ///< m_report came in a response to this host.
  /// Service time relative to the other upstreams; above 1 is slower.
  double m_serviceTimeRatio = 1;
  std::uint32_t m_serviceTimeSamples = 0;
  Instant m_serviceTimeObservedAt; ///< Time of the last sample.
  RequestLimit m_requestLimit;
  std::uint32_t m_sent = 0; ///< Requests that this host has sent to it.
  /// Requests that the other hosts have sent to it while it limits them, as far
  /// as they have reported them.
  std::uint32_t m_peerSent = 0;
  double m_localRatioSum = 0; ///< Sum of this host's samples not sent to peers.
  std::uint32_t m_localRatioCount = 0; ///< Number of these samples.
  std::uint32_t m_localFailures = 0;   ///< Those that were failures.
  PaceObservations m_unjudged;
  /// Requests in flight from all hosts to which UpstreamPace limits it.
  std::optional<double> m_paceLimit;
  /// While it is limited: service time relative to the usual one, without the
  /// failures, on which the limit depends already.
  double m_paceSlowness = 1;
  /// UpstreamPace has found nothing to follow at its last update.
  bool m_paceSettled = false;
  /// It was registered while this host already knew the others.
  bool m_joinedLate = false;

  /// True when it has certainly responded to some host after \p When.
  bool respondedSince(Instant When) const {
    return m_answeredAt > When || m_peerAnsweredAt > When + PeerTimeError;
  }
  bool leaving() const {
    return !m_registered || m_record.m_draining || m_saidLeaving;
  }
  bool paused(Instant Now) const { return Now < m_pausedUntil; }
  bool cold(Instant Now) const {
    return Now < m_coldUntil || Now < m_assumedColdUntil;
  }
};

/// Why a request may not be sent to an upstream now.
enum class Obstacle {
  None,
  Leaving,
  OutOfService, ///< Its failure domain is.
  Unreachable,
  Paused,       ///< It has asked for a pause.
  Cold,         ///< This host has used up its share of what it may get.
  Paced,        ///< The same while UpstreamPace limits it.
  RequestLimit, ///< The same of the requests a second that it has named.
  NoCapacity,   ///< Its slots are in use.
  OtherHosts,   ///< The other hosts have the rest of its free slots.
};

/// Returns the name of an obstacle; empty for None. Thread safety: safe.
const char *toString(Obstacle Reason);

/// The registered upstreams and their state as seen by this host.
///
/// A record that disappears because of a fault of the store may come back, so
/// its removal is deferred (see holdRemovals()).
/// Thread safety: none.
class UpstreamRegistry {
public:
  enum class Change {
    None,
    Joined,
    Restarted,
    Draining,
    Updated,
    Renewed, ///< A heartbeat without any change.
  };

  /// Applies a record that was written to the store.
  Change onRecord(const UpstreamRecord &Record, Instant Now);

  /// Applies a heartbeat of a known upstream that brings no change.
  void onRenewed(UpstreamState &Upstream, Instant Now) const;

  /// Applies the removal of a record. Returns the upstream; null when it was
  /// not registered or the removal is held.
  UpstreamState *onRemoved(const UpstreamId &Id, Instant Now);

  /// Applies an entry that cannot be read, in the place of an upstream's
  /// record. The upstream itself may still be there: it is removed at \p Until,
  /// or at the time of an earlier call, unless its record has returned.
  void onUnreadable(const UpstreamId &Id, Instant Until);

  /// Called when the store has lost records that may come back. Removals before
  /// \p Until are held, and carried out then if the record has not returned.
  void holdRemovals(Instant Until) { m_holdRemovalsUntil = Until; }

  /// Carries out held removals that are due, makes unreachable upstreams usable
  /// again after a timeout, and erases upstreams that were removed long ago.
  /// Returns the upstreams whose held removals were carried out.
  std::vector<UpstreamId> sweep(Instant Now);

  /// Takes a failure domain out of service or back in. Upstreams of a domain
  /// that is taken back may have become cold meanwhile, and are treated as cold
  /// for \p ColdTime.
  void setDomainOut(const DomainId &Domain, bool IsOut, Duration ColdTime,
                    Instant Now);
  bool domainOut(const DomainId &Domain) const {
    return m_domainsOut.count(Domain) != 0;
  }
  const std::set<DomainId> &domainsOut() const { return m_domainsOut; }

  /// True when another registered upstream has the address of \p Upstream and
  /// has started later. As an upstream keeps its address until its process
  /// ends, that process has ended, provided that the address is no longer
  /// answered by it.
  bool addressTaken(const UpstreamState &Upstream) const;

  /// Records that a connection to the upstream was refused or has failed.
  void onUnreachable(const UpstreamId &Id, Instant Now);

  /// Says whether this host has lost its paths to all upstreams. While it has,
  /// they are unreachable: heartbeats show only that they reach the store. When
  /// the paths are back, all are usable again.
  void setPathsLost(bool Lost, Instant Now);
  bool pathsLost() const { return m_pathsLost; }

  /// Why no new requests may be sent to the upstream, whatever its load.
  Obstacle obstacle(const UpstreamState &Upstream) const {
    if (Upstream.leaving())
      return Obstacle::Leaving;
    if (Upstream.m_unreachable)
      return Obstacle::Unreachable;
    return domainOut(Upstream.m_record.m_domain) ? Obstacle::OutOfService
                                                 : Obstacle::None;
  }
  /// True when new requests may be sent to the upstream.
  bool usable(const UpstreamState &Upstream) const {
    return obstacle(Upstream) == Obstacle::None;
  }

  UpstreamState *find(const UpstreamId &Id);
  const UpstreamState *find(const UpstreamId &Id) const;
  std::vector<UpstreamState *> ofService(const ServiceId &Service);
  std::map<UpstreamId, UpstreamState> &upstreams() { return m_upstreams; }
  const std::map<UpstreamId, UpstreamState> &upstreams() const {
    return m_upstreams;
  }
  /// Version of the set of upstreams; changes when one is added or erased.
  std::uint64_t membership() const { return m_membership; }

private:
  std::map<UpstreamId, UpstreamState> m_upstreams;
  std::map<UpstreamId, Instant> m_heldRemovals;
  std::set<DomainId> m_domainsOut;
  Instant m_holdRemovalsUntil;
  bool m_pathsLost = false;
  std::uint64_t m_membership = 1;
};

} // namespace burdockpulley

#endif
