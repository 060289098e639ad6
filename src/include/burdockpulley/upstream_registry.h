#ifndef BURDOCKPULLEY_UPSTREAM_REGISTRY_H
#define BURDOCKPULLEY_UPSTREAM_REGISTRY_H

#include "burdockpulley/types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace burdockpulley {

/// Tells two starts of an upstream apart that go by one id: the wall-clock
/// millisecond of the start, as the upstream itself says.
using UpstreamIncarnation = Strong<struct UpstreamIncarnationTag, std::int64_t>;

/// What an upstream has registered about itself.
struct UpstreamRecord {
  UpstreamId m_id;
  ServiceId m_service;
  Endpoint m_address;
  DomainId m_domain;
  std::uint32_t m_slots = 1;
  bool m_draining = false;
  Duration m_coldLeft{}; ///< How much longer it is cold.
  UpstreamIncarnation m_incarnation;
  std::uint64_t m_sequence = 0; ///< Grows with each heartbeat of a start.
};

/// What an upstream said of its load in an answer.
struct LoadReport {
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  double m_slowness = 1; ///< How many times longer work takes just now.
};

/// One upstream as this host sees it.
struct UpstreamState {
  UpstreamRecord m_record;
  bool m_registered = true;   ///< False once its record is gone.
  Instant m_leftAt;           ///< When it was first seen draining or gone.
  Instant m_coldUntil;        ///< As its heartbeats say.
  Instant m_assumedColdUntil; ///< As this host has reason to fear.
  /// Set by a refused or failed connection: not used until a heartbeat that
  /// came later shows that it lives, or some time has passed.
  bool m_unreachable = false;
  Instant m_unreachableSince;

  std::uint32_t m_outstanding = 0;     ///< Requests of this host at it.
  std::uint32_t m_peerOutstanding = 0; ///< Requests of all other hosts at it.
  std::uint32_t m_waiting = 0;         ///< Requests at this host for its keys.
  std::uint32_t m_peerWaiting = 0;     ///< The same at all other hosts.
  LoadReport m_report;
  Instant m_reportAt;
  bool m_reportOwn = false; ///< It came in an answer to this host.
  /// Time that work takes, relative to its peers.
  double m_serviceTimeRatio = 1;
  std::uint32_t m_serviceTimeSamples = 0;
  Instant m_serviceTimeObservedAt; ///< When the speed was last observed.
  double m_localRatioSum = 0; ///< Of this host's samples not yet told to peers.
  std::uint32_t m_localRatioCount = 0;

  bool leaving() const { return !m_registered || m_record.m_draining; }
  bool cold(Instant Now) const {
    return Now < m_coldUntil || Now < m_assumedColdUntil;
  }
};

/// The upstreams that have registered, and what this host knows of each.
///
/// A record that vanished while the store was in trouble may come back; until
/// the time for that is over it is kept (see holdRemovals()).
/// Thread safety: none.
class UpstreamRegistry {
public:
  enum class Change {
    None,
    Joined,
    Restarted,
    Draining,
    Updated,
    Renewed, ///< A heartbeat that says nothing new.
  };

  /// A record was written.
  Change onRecord(const UpstreamRecord &Record, Instant Now);

  /// A heartbeat of a known upstream came that says nothing new.
  void onRenewed(UpstreamState &Row, Instant Now) const;

  /// A record was removed. Returns the row, or null when there was none.
  UpstreamState *onRemoved(const UpstreamId &Which, Instant Now);

  /// The store lost records that may come back: removals until \p Until are
  /// carried out then, if the record has not returned.
  void holdRemovals(Instant Until) { m_holdUntil = Until; }

  /// Carries out held removals whose time has come, gives unreachable
  /// upstreams another try, and forgets those that are long gone. Returns
  /// those that are gone now.
  std::vector<UpstreamId> sweep(Instant Now);

  /// Takes a failure domain out of service or back in. Its upstreams may have
  /// become cold meanwhile: they are taken to be so for \p ColdTime.
  void setDomainOut(const DomainId &Domain, bool Out, Duration ColdTime,
                    Instant Now);
  bool domainOut(const DomainId &Domain) const {
    return m_domainsOut.count(Domain) != 0;
  }
  const std::set<DomainId> &domainsOut() const { return m_domainsOut; }

  /// A connection to the upstream was refused or broke off.
  void onUnreachable(const UpstreamId &Which, Instant Now);

  /// True when new requests may be sent to it.
  bool usable(const UpstreamState &Row) const {
    return !Row.leaving() && !Row.m_unreachable &&
           !domainOut(Row.m_record.m_domain);
  }

  UpstreamState *find(const UpstreamId &Which);
  const UpstreamState *find(const UpstreamId &Which) const;
  std::vector<UpstreamState *> ofService(const ServiceId &Service);
  std::map<UpstreamId, UpstreamState> &upstreams() { return m_upstreams; }
  const std::map<UpstreamId, UpstreamState> &upstreams() const {
    return m_upstreams;
  }
  /// Changes whenever an upstream gets a row or loses it.
  std::uint64_t membership() const { return m_membership; }

private:
  std::map<UpstreamId, UpstreamState> m_upstreams;
  std::map<UpstreamId, Instant> m_heldRemovals;
  std::set<DomainId> m_domainsOut;
  Instant m_holdUntil;
  std::uint64_t m_membership = 1;
};

} // namespace burdockpulley

#endif
