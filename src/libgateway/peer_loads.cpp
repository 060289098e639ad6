#include "burdockpulley/peer_loads.h"

#include "burdockpulley/hashing.h"
#include "burdockpulley/request_limiter.h"
#include "burdockpulley/upstream_selection.h"
#include "upstream_notice.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace burdockpulley {

namespace {

/// A host is no longer counted after this time without a report, or after
/// statusSilenceLimit() if that is longer.
constexpr Duration MinHostTimeout{1'500'000};
constexpr Duration MinStatusInterval{40'000};
constexpr Duration StatusIntervalPerHost{2'000};
/// Status messages in a row that may be lost.
constexpr int ToleratedLosses = 1;
/// Unit of the arrivals in messages, in requests a second.
constexpr double ArrivalsUnit = 0.01;
/// Added to their intervals, as messages are sent and read with delays.
constexpr Duration StatusDelay{100'000};

void addSigned(std::uint32_t &Sum, std::uint32_t Amount, int Sign) {
  if (Sign > 0)
    Sum += Amount;
  else
    Sum -= std::min(Sum, Amount);
}

} // namespace

Duration statusInterval(std::size_t Hosts) {
  return std::max<Duration>(MinStatusInterval,
                            StatusIntervalPerHost * static_cast<int>(Hosts));
}

Duration statusSilenceLimit(std::size_t Hosts, bool InOtherDomain) {
  Duration Interval = statusInterval(Hosts);
  if (InOtherDomain)
    Interval *= static_cast<int>(RemoteStatusPeriod);
  return Interval * (1 + ToleratedLosses) + StatusDelay;
}

NameHash nameHash(const std::string &Name) {
  return NameHash(static_cast<std::int32_t>(stableHash(Name)));
}

UpstreamState *PeerLoads::find(NameHash Hash) {
  if (m_indexedMembership != m_registry.membership()) {
    m_indexedMembership = m_registry.membership();
    m_idsByHash.clear();
    for (const auto &[Id, Upstream] : m_registry.upstreams())
      m_idsByHash[nameHash(Id.value())] = Id;
  }
  auto It = m_idsByHash.find(Hash);
  return It == m_idsByHash.end() ? nullptr : m_registry.find(It->second);
}

void PeerLoads::addToTotals(const PeerLoad &Load, int Sign) {
  addQueues(Load, Sign);
  addDemands(Load, Sign);
  // Upstreams of one service mostly follow one another.
  const ServiceId *Service = nullptr;
  bool Divided = false; // The host reports its load there by priority.
  for (const PeerUpstreamLoad &Reported : Load.m_upstreams) {
    if (Reported.m_outstanding == 0 && Reported.m_waiting == 0)
      continue;
    UpstreamState *Upstream = find(Reported.m_upstream);
    if (!Upstream)
      continue;
    addSigned(Upstream->m_peerOutstanding, Reported.m_outstanding, Sign);
    addSigned(Upstream->m_peerWaiting, Reported.m_waiting, Sign);
    if (!Load.m_demands.empty() &&
        (!Service || *Service != Upstream->m_record.m_service)) {
      Service = &Upstream->m_record.m_service;
      Divided = Load.m_demands.count(nameHash(Service->value())) != 0;
    }
    if (!Divided)
      addSigned(Upstream->m_peerUnreported, Reported.m_outstanding, Sign);
  }
}

void PeerLoads::onUpstreamLoad(const HostId &Host,
                               const PeerUpstreamLoad &Reported,
                               const PeerLoad &Previous, Instant Now) {
  UpstreamState *Upstream = find(Reported.m_upstream);
  if (!Upstream)
    return;
  mergeServiceTimeRatio(*Upstream, Reported.m_serviceTimeRatio,
                        Reported.m_serviceTimeSamples, Reported.m_failures,
                        Now);
  if (Reported.m_hasReport &&
      Now - Reported.m_reportAge > Upstream->m_reportAt) {
    Upstream->m_report = Reported.m_report;
    Upstream->m_reportAt = Now - Reported.m_reportAge;
    Upstream->m_reportIsLocal = false;
  }
  if (Reported.m_answeredAge &&
      Now - *Reported.m_answeredAge > Upstream->m_peerAnsweredAt) {
    Upstream->m_peerAnsweredAt = Now - *Reported.m_answeredAge;
    Upstream->m_answeredPeer = Host;
  }
  if (Reported.m_hasRequestLimit)
    onRequestLimit(*Upstream, Reported.m_requestLimit,
                   Now - Reported.m_requestLimitAge, Host, false, Now);
  if (Reported.m_leavingIncarnation == Upstream->m_record.m_incarnation)
    applyLeavingOfPeer(*Upstream, Host, Now);
  if (Reported.m_sent)
    addSent(*Upstream, Reported, Previous);
}

void PeerLoads::addSent(UpstreamState &Upstream,
                        const PeerUpstreamLoad &Reported,
                        const PeerLoad &Previous) {
  auto Before =
      std::find_if(Previous.m_upstreams.begin(), Previous.m_upstreams.end(),
                   [&Reported](const PeerUpstreamLoad &Each) {
                     return Each.m_upstream == Reported.m_upstream;
                   });
  if (Before == Previous.m_upstreams.end() || !Before->m_sent) {
    // What was sent before the first count is unknown, except for what is still
    // in flight.
    if (!Upstream.m_requestLimit.m_rate)
      Upstream.m_peerSent += Reported.m_outstanding;
    return;
  }
  // A count that went back is that of a restarted host.
  if (*Reported.m_sent > *Before->m_sent)
    Upstream.m_peerSent += *Reported.m_sent - *Before->m_sent;
}

void PeerLoads::onLoad(const HostId &Host, PeerLoad Load, Instant Now) {
  HostLoad &Current = m_hosts[Host];
  addToTotals(Current.m_load, -1);
  for (const PeerUpstreamLoad &Reported : Load.m_upstreams)
    onUpstreamLoad(Host, Reported, Current.m_load, Now);
  Current.m_load = std::move(Load);
  Current.m_receivedAt = Now;
  m_oldestReport = std::min(m_oldestReport, Now);
  addToTotals(Current.m_load, 1);
}

void PeerLoads::expire(Instant Now) {
  Duration HostTimeout =
      std::max<Duration>(MinHostTimeout, statusSilenceLimit(hosts(), true));
  if (Now - m_oldestReport <= HostTimeout)
    return;
  m_oldestReport = Now;
  for (auto It = m_hosts.begin(); It != m_hosts.end();) {
    if (Now - It->second.m_receivedAt <= HostTimeout) {
      m_oldestReport = std::min(m_oldestReport, It->second.m_receivedAt);
      ++It;
      continue;
    }
    addToTotals(It->second.m_load, -1);
    It = m_hosts.erase(It);
  }
}

void PeerLoads::addQueues(const PeerLoad &Load, int Sign) {
  for (const auto &[Service, Waiting] : Load.m_waiting) {
    PeerQueues &Queues = m_queues[Service];
    auto Priorities = Load.m_priorities.find(Service);
    if (Priorities == Load.m_priorities.end()) {
      addSigned(Queues.m_unknownPriority, Waiting, Sign);
    } else {
      for (const PriorityLoad &Each : Priorities->second) {
        QueuedWork &Sum = Queues.m_byPriority[Each.m_priority];
        Sum.m_requests += Sign * Each.m_queued.m_requests;
        Sum.m_work += Sign * Each.m_queued.m_work;
      }
      std::erase_if(Queues.m_byPriority, [](const auto &Entry) {
        return Entry.second.m_requests < 1;
      });
    }
    if (Queues.m_unknownPriority == 0 && Queues.m_byPriority.empty())
      m_queues.erase(Service);
  }
}

void PeerLoads::addDemands(const PeerLoad &Load, int Sign) {
  for (const auto &[Service, Demands] : Load.m_demands) {
    auto &Sums = m_demands[Service];
    for (const PriorityDemand &Each : Demands) {
      PriorityDemand &Sum = Sums[Each.m_priority];
      Sum.m_priority = Each.m_priority;
      Sum.m_inFlight += Sign * Each.m_inFlight;
      // Rounded, as sums that are not exactly zero again count as arrivals.
      Sum.m_arrivals =
          std::round((Sum.m_arrivals + Sign * Each.m_arrivals) / ArrivalsUnit) *
          ArrivalsUnit;
    }
    std::erase_if(Sums, [](const auto &Entry) {
      return Entry.second.m_inFlight <= 0 && Entry.second.m_arrivals <= 0;
    });
    if (Sums.empty())
      m_demands.erase(Service);
  }
}

std::vector<PriorityDemand> PeerLoads::demands(const ServiceId &Service) const {
  std::vector<PriorityDemand> Demands;
  auto It = m_demands.find(nameHash(Service.value()));
  if (It != m_demands.end())
    for (const auto &[Priority, Sum] : It->second)
      Demands.push_back(Sum);
  for (const auto &[Priority, Queued] : queues(Service).m_byPriority)
    Demands.push_back({Priority, 0, 0, Queued.m_requests});
  return Demands;
}

const PeerQueues &PeerLoads::queues(const ServiceId &Service) const {
  static const PeerQueues None;
  auto It = m_queues.find(nameHash(Service.value()));
  return It == m_queues.end() ? None : It->second;
}

double PeerQueues::total() const {
  return m_unknownPriority +
         moreUrgent(std::numeric_limits<std::uint32_t>::max());
}

void PeerQueues::addTo(ServiceCapacity &Capacity, double Waiting) const {
  double Total = total();
  if (Total < 1) { // The reports of the owner and of the service differ.
    Capacity.m_waiting += static_cast<std::size_t>(Waiting);
    return;
  }
  double Share = Waiting / Total;
  Capacity.m_waiting +=
      static_cast<std::size_t>(std::lround(m_unknownPriority * Share));
  for (const auto &[Priority, Queued] : m_byPriority)
    Capacity.m_elsewhere.push_back(
        {Priority,
         {Queued.m_requests * Share,
          Duration(static_cast<std::int64_t>(
              static_cast<double>(Queued.m_work.count()) * Share))}});
}

double PeerQueues::moreUrgent(std::uint32_t Priority) const {
  double Sum = 0;
  for (auto It = m_byPriority.begin();
       It != m_byPriority.end() && It->first < Priority; ++It)
    Sum += It->second.m_requests;
  return Sum;
}

} // namespace burdockpulley
