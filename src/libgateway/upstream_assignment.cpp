#include "upstream_assignment.h"

#include <algorithm>
#include <limits>

namespace burdockpulley {

namespace {

/// Assumed size of a response when choosing an upstream.
constexpr std::size_t ExpectedResponseBytes = 5000;
/// How long a request waits for a key that is moving to another owner.
constexpr Duration MaxOwnerWait{500'000};
/// An owner that is leaving serves its keys for this share of the drain time.
constexpr double OwnerDrainShare = 0.3;
/// Hosts to which a request may be forwarded, one after the other.
constexpr std::size_t MaxForwards = 2;

} // namespace

UpstreamAssignment::UpstreamAssignment(GatewayState &State,
                                       const RequestForwarder &Forwarder)
    : m_state(State), m_forwarder(Forwarder), m_random(std::random_device()()) {
}

bool UpstreamAssignment::allowedByColdStartLimit(const UpstreamState &Upstream,
                                                 const PendingRequest &Pending,
                                                 Instant Now) {
  if (!Upstream.cold(Now) || Pending.m_service->m_coldRate <= 0)
    return true;
  std::uniform_real_distribution<double> Phase(0, 1);
  auto Limiter =
      m_coldStartLimiters.try_emplace(Upstream.m_record.m_id, Phase(m_random))
          .first;
  return Limiter->second.available(Pending.m_service->m_coldRate,
                                   m_state.hosts(), Now);
}

bool UpstreamAssignment::allowedByRequestLimit(const UpstreamState &Upstream,
                                               Instant Now) {
  if (!Upstream.m_requestLimit.m_rate)
    return true;
  return m_requestLimiters[Upstream.m_record.m_id].available(
      Upstream, m_state.limitSharers(), m_random, Now);
}

UpstreamAssignment::OwnerLookup
UpstreamAssignment::findOwner(const PendingRequest &Pending,
                              Instant Now) const {
  UpstreamState *Upstream = m_state.m_registry.find(
      m_state.m_owners.owner(Pending.m_service->m_name, *Pending.m_key));
  if (!Upstream)
    return {nullptr, false};
  if (Upstream->m_unreachable)
    return {nullptr, true};
  Duration Allowed(static_cast<std::int64_t>(
      static_cast<double>(m_state.m_settings.m_drain.count()) *
      OwnerDrainShare));
  bool PastDrainShare =
      Upstream->leaving() && Now - Upstream->m_leftAt > Allowed;
  if (PastDrainShare ||
      m_state.m_registry.domainOut(Upstream->m_record.m_domain))
    return {nullptr, false};
  return {Upstream, false};
}

const ForwardingPeer *
UpstreamAssignment::chooseForwardingPeer(const PendingRequest &Pending,
                                         Instant Now) const {
  if (Pending.m_forwarded || Pending.m_forwardHosts.size() >= MaxForwards ||
      Pending.m_attempts >= maxAttempts(Pending))
    return nullptr;
  bool NeedsTeams = !Pending.m_configuration->m_teams.empty();
  if (m_state.m_registry.pathsLost())
    return m_forwarder.choose(std::nullopt, Pending.m_forwardHosts, NeedsTeams,
                              Now);
  // Another host has reached an upstream since this one found it unreachable.
  auto ReachedByPeer = [](const UpstreamState &Upstream) {
    return Upstream.m_unreachable && !Upstream.leaving() &&
           Upstream.respondedSince(Upstream.m_unreachableSince);
  };
  std::vector<const UpstreamState *> Upstreams;
  if (Pending.m_key) {
    const UpstreamState *Owner = m_state.m_registry.find(
        m_state.m_owners.owner(Pending.m_service->m_name, *Pending.m_key));
    if (Owner)
      Upstreams.push_back(Owner);
  } else {
    for (const UpstreamState *Upstream :
         m_state.m_registry.ofService(Pending.m_service->m_name))
      Upstreams.push_back(Upstream);
  }
  for (const UpstreamState *Upstream : Upstreams)
    if (ReachedByPeer(*Upstream) &&
        !m_state.m_registry.domainOut(Upstream->m_record.m_domain))
      return m_forwarder.choose(Upstream->m_answeredPeer,
                                Pending.m_forwardHosts, NeedsTeams, Now);
  return nullptr;
}

UpstreamState *UpstreamAssignment::chooseOwner(const PendingRequest &Pending,
                                               bool &CanWait, Instant Now) {
  OwnerLookup KeyOwner = findOwner(Pending, Now);
  // An unreachable owner is replaced only after seconds: the request is
  // refused. A key in transit soon has a new owner: the request waits.
  bool WithinOwnerWait = Now - Pending.m_arrived <= MaxOwnerWait;
  CanWait = KeyOwner.m_upstream || (!KeyOwner.m_unreachable && WithinOwnerWait);
  UpstreamState *Upstream = KeyOwner.m_upstream;
  bool HasShare =
      Upstream && !Upstream->paused(Now) &&
      m_ownerThrottles[Upstream->m_record.m_id].available(
          *Upstream, Pending.m_workTime,
          statusInterval(m_state.m_peerLoads.hosts()), m_random, Now);
  return HasShare && allowedByColdStartLimit(*Upstream, Pending, Now) &&
                 allowedByRequestLimit(*Upstream, Now)
             ? Upstream
             : nullptr;
}

UpstreamState *UpstreamAssignment::chooseUpstream(const PendingRequest &Pending,
                                                  bool &CanWait, Instant Now) {
  if (Pending.m_key)
    return chooseOwner(Pending, CanWait, Now);
  std::vector<UpstreamState *> Upstreams =
      m_state.m_registry.ofService(Pending.m_service->m_name);
  bool AwaitsLimit = false;
  std::erase_if(Upstreams, [&](const UpstreamState *Upstream) {
    if (!allowedByColdStartLimit(*Upstream, Pending, Now))
      return true;
    if (!Upstream->paused(Now) && allowedByRequestLimit(*Upstream, Now))
      return false;
    AwaitsLimit |= m_state.m_registry.usable(*Upstream) &&
                   !Pending.m_triedUpstreams.count(Upstream->m_record.m_id);
    return true;
  });
  SelectionRequest Request;
  Request.m_workTime = Pending.m_workTime;
  Request.m_bytes =
      Pending.m_exchange->request().m_body.size() + ExpectedResponseBytes;
  Request.m_domain = m_state.m_settings.m_domain;
  Request.m_tried = &Pending.m_triedUpstreams;
  Request.m_jitter = jitterFor(statusInterval(m_state.m_peerLoads.hosts()),
                               Pending.m_workTime);
  Request.m_random = &m_random;
  Selection Selected =
      selectUpstream(m_state.m_registry, Upstreams, Request, Now);
  CanWait = Selected.m_anyUsable || AwaitsLimit;
  return Selected.m_upstream;
}

ServiceCapacity UpstreamAssignment::capacityFor(const PendingRequest &Pending,
                                                Instant Now) const {
  ServiceCapacity Capacity;
  if (Pending.m_key) {
    const UpstreamState *Upstream = findOwner(Pending, Now).m_upstream;
    // While the owner is unknown, admission does not limit waiting for it.
    Capacity.m_slots =
        Upstream ? Upstream->m_record.m_slots / slownessFactor(*Upstream, Now)
                 : std::numeric_limits<double>::max();
    // Requests in progress at the owner are half done on average.
    if (Upstream) {
      Capacity.m_pause = std::max(Duration(), Upstream->m_pausedUntil - Now);
      Capacity.m_requestRate = requestRate(*Upstream);
      Capacity.m_waiting =
          Upstream->m_peerWaiting +
          (Upstream->m_outstanding + Upstream->m_peerOutstanding) / 2;
    }
    return Capacity;
  }
  double WorkSeconds =
      std::chrono::duration<double>(Pending.m_workTime).count();
  Capacity.m_requestRate = 0;
  Duration ShortestPause = Duration::max();
  for (const UpstreamState *Upstream :
       m_state.m_registry.ofService(Pending.m_service->m_name)) {
    if (!m_state.m_registry.usable(*Upstream))
      continue;
    Duration Pause = std::max(Duration(), Upstream->m_pausedUntil - Now);
    ShortestPause = std::min(ShortestPause, Pause);
    if (Pause > Duration())
      continue;
    double Rate = requestRate(*Upstream);
    Capacity.m_requestRate += Rate;
    Capacity.m_slots +=
        std::min(Upstream->m_record.m_slots / slownessFactor(*Upstream, Now),
                 Rate * WorkSeconds);
  }
  if (ShortestPause > Duration() && ShortestPause != Duration::max()) {
    // All are paused. How much they take afterwards is not known yet.
    Capacity.m_pause = ShortestPause;
    Capacity.m_requestRate = std::numeric_limits<double>::infinity();
  }
  Capacity.m_waiting = m_state.m_peerLoads.waiting(Pending.m_service->m_name);
  return Capacity;
}

void UpstreamAssignment::onSend(const PendingRequest &Pending,
                                UpstreamState &Upstream, Instant Now) {
  if (Upstream.cold(Now) && Pending.m_service->m_coldRate > 0)
    m_coldStartLimiters[Upstream.m_record.m_id].take();
  if (Pending.m_key)
    m_ownerThrottles[Upstream.m_record.m_id].take();
  if (Upstream.m_requestLimit.m_rate)
    m_requestLimiters[Upstream.m_record.m_id].take();
  ++Upstream.m_sent;
}

void UpstreamAssignment::sweep() {
  auto IsUnregistered = [this](const auto &Entry) {
    return !m_state.m_registry.find(Entry.first);
  };
  std::erase_if(m_coldStartLimiters, IsUnregistered);
  std::erase_if(m_requestLimiters, [this](const auto &Entry) {
    const UpstreamState *Upstream = m_state.m_registry.find(Entry.first);
    return !Upstream || !Upstream->m_requestLimit.m_rate;
  });
  std::erase_if(m_ownerThrottles, IsUnregistered);
}

} // namespace burdockpulley
