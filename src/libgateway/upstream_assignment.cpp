#include "upstream_assignment.h"

#include "burdockpulley/event_log.h"

#include <algorithm>
#include <limits>

namespace burdockpulley {

namespace {

/// Assumed size of a response when choosing an upstream.
constexpr std::size_t ExpectedResponseBytes = 5000;
/// How long a request waits at least for a key that is moving to another owner.
/// It waits longer if it can still be answered within its latency goal: a
/// release takes as long as the requests that run at the previous owner.
constexpr Duration MinOwnerWait{500'000};
/// An owner that is leaving serves its keys for this share of the drain time.
constexpr double OwnerDrainShare = 0.3;
/// Assumed service time until responses have shown it.
constexpr Duration DefaultWorkTime{100'000};
/// Hosts to which a request may be forwarded, one after the other.
constexpr std::size_t MaxForwards = 2;

/// Requests that an upstream can take now.
double freePlaces(const UpstreamState &Upstream) {
  double Places = std::max(1.0, usableSlots(Upstream)) + MaxQueuedBeyondSlots;
  return std::max(0.0,
                  Places - Upstream.m_outstanding - Upstream.m_peerOutstanding);
}

} // namespace

UpstreamAssignment::UpstreamAssignment(GatewayState &State,
                                       const RequestForwarder &Forwarder,
                                       const ServiceReserves &Reserves)
    : m_state(State), m_forwarder(Forwarder), m_reserves(Reserves),
      m_random(std::random_device()()) {}

bool UpstreamAssignment::heldForUrgent(const PendingRequest &Pending) const {
  return !Pending.m_key &&
         !m_reserves.allows(Pending.m_service->m_name, priorityOf(Pending));
}

UpstreamPace::Terms
UpstreamAssignment::paceTerms(const ServiceId &Service) const {
  UpstreamPace::Terms Terms;
  Terms.m_sharers = m_state.limitSharers();
  Terms.m_bound = m_state.m_settings.m_coldBound;
  auto WorkTime = m_state.m_workTimes.find(Service);
  Terms.m_workTime = WorkTime == m_state.m_workTimes.end() ? DefaultWorkTime
                                                           : WorkTime->second;
  return Terms;
}

UpstreamPresence
UpstreamAssignment::presenceOf(const UpstreamState &Upstream) const {
  if (Upstream.leaving() ||
      m_state.m_registry.domainOut(Upstream.m_record.m_domain))
    return UpstreamPresence::Unusable;
  if (m_state.m_registry.pathsLost())
    return UpstreamPresence::Unknown;
  if (!Upstream.m_unreachable)
    return UpstreamPresence::Serving;
  return Upstream.respondedSince(Upstream.m_unreachableSince)
             ? UpstreamPresence::Unknown
             : UpstreamPresence::Unusable;
}

void UpstreamAssignment::updatePace(UpstreamPace &Pace, UpstreamState &Upstream,
                                    const UpstreamPace::Terms &Terms,
                                    Instant Now) {
  UpstreamPace::Change Change =
      Pace.update(Upstream, presenceOf(Upstream), Terms, Now);
  if (m_isPreview)
    return;
  switch (Change) {
  case UpstreamPace::Change::None:
    return;
  case UpstreamPace::Change::Began:
    return logEvent(Severity::Info, "upstream_pace_began",
                    {{"upstream", Upstream.m_record.m_id.value()},
                     {"reason", Pace.reason()},
                     {"limit", Upstream.m_paceLimit.value_or(0)},
                     {"slots", Upstream.m_record.m_slots},
                     {"cold", Upstream.cold(Now)}});
  case UpstreamPace::Change::Ended:
    return logEvent(Severity::Info, "upstream_pace_ended",
                    {{"upstream", Upstream.m_record.m_id.value()},
                     {"reason", Pace.reason()},
                     {"took_ms", (Now - Pace.beganAt()).count() / 1000}});
  }
}

UpstreamPace::Terms
UpstreamAssignment::paceTerms(const PendingRequest &Pending) const {
  UpstreamPace::Terms Terms = paceTerms(Pending.m_service->m_name);
  Terms.m_coldRate = Pending.m_service->m_coldRate;
  Terms.m_byOwnerThrottle = Pending.m_key.has_value();
  if (Pending.m_key)
    return Terms;
  double Waiting =
      m_state.m_peerLoads.queues(Pending.m_service->m_name).total();
  if (Waiting <= 0)
    return Terms;
  std::size_t Usable = 0;
  for (const UpstreamState *Upstream :
       m_state.m_registry.ofService(Pending.m_service->m_name))
    Usable += m_state.m_registry.usable(*Upstream);
  Terms.m_waitingElsewhere =
      Waiting / static_cast<double>(std::max<std::size_t>(Usable, 1));
  return Terms;
}

bool UpstreamAssignment::allowedByPace(UpstreamState &Upstream,
                                       const PendingRequest &Pending,
                                       const UpstreamPace::Terms &Terms,
                                       Instant Now) {
  if (!m_state.m_settings.m_paceUpstreams)
    return allowedByColdStartLimit(Upstream, Pending, Now);
  if (Upstream.m_paceSettled && !Upstream.cold(Now))
    return true;
  UpstreamPace &Pace = m_paces[Upstream.m_record.m_id];
  updatePace(Pace, Upstream, Terms, Now);
  return Pace.available(Upstream, Terms, m_random, Now);
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
                                   m_state.sharingHosts(), Now);
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

bool UpstreamAssignment::yieldsToPeers(const PendingRequest &Pending,
                                       Instant Now) const {
  if (!Pending.m_key &&
      m_reserves.limited(Pending.m_service->m_name, priorityOf(Pending)))
    return false;
  const PeerQueues &Queues =
      m_state.m_peerLoads.queues(Pending.m_service->m_name);
  double MoreUrgent = Queues.moreUrgent(priorityOf(Pending));
  if (MoreUrgent < 1)
    return false;
  double Free = 0;
  if (Pending.m_key) {
    const UpstreamState *Owner = findOwner(Pending, Now).m_upstream;
    if (!Owner)
      return false;
    MoreUrgent *= Owner->m_peerWaiting / Queues.total();
    Free = freePlaces(*Owner);
  } else {
    for (const UpstreamState *Upstream :
         m_state.m_registry.ofService(Pending.m_service->m_name))
      if (m_state.m_registry.usable(*Upstream) && !Upstream->paused(Now))
        Free += freePlaces(*Upstream);
  }
  return MoreUrgent > Free;
}

UpstreamState *UpstreamAssignment::chooseOwner(const PendingRequest &Pending,
                                               bool &CanWait, Instant Now) {
  OwnerLookup KeyOwner = findOwner(Pending, Now);
  CanWait = mayAwaitOwner(KeyOwner, Pending, Now);
  UpstreamState *Upstream = KeyOwner.m_upstream;
  return Upstream && ownerObstacle(*Upstream, Pending, Now) == Obstacle::None
             ? Upstream
             : nullptr;
}

bool UpstreamAssignment::mayAwaitOwner(const OwnerLookup &KeyOwner,
                                       const PendingRequest &Pending,
                                       Instant Now) {
  // An unreachable owner is replaced only after seconds: the request is
  // refused. A key in transit soon has a new owner: the request waits.
  bool WithinOwnerWait = Now - Pending.m_arrived <= MinOwnerWait ||
                         Now + Pending.m_workTime <= Pending.m_goalTime;
  return KeyOwner.m_upstream || (!KeyOwner.m_unreachable && WithinOwnerWait);
}

Obstacle UpstreamAssignment::ownerObstacle(UpstreamState &Owner,
                                           const PendingRequest &Pending,
                                           Instant Now) {
  if (Owner.paused(Now))
    return Obstacle::Paused;
  UpstreamPace::Terms Terms;
  if (m_state.m_settings.m_paceUpstreams &&
      (!Owner.m_paceSettled || Owner.cold(Now)))
    Terms = paceTerms(Pending);
  if (!allowedByPace(Owner, Pending, Terms, Now))
    return Owner.cold(Now) ? Obstacle::Cold : Obstacle::Paced;
  bool Paced = m_state.m_settings.m_paceUpstreams &&
               (Owner.m_paceLimit || Owner.cold(Now));
  bool Divided =
      Paced && m_paces[Owner.m_record.m_id].divides(Owner, Terms, Now);
  bool Available =
      Divided ? hasCapacity(Owner)
              : m_ownerThrottles[Owner.m_record.m_id].available(
                    Owner, Pending.m_workTime,
                    statusInterval(m_state.m_peerLoads.hosts()), m_random, Now);
  if (!Available)
    return hasCapacity(Owner) ? Obstacle::OtherHosts : Obstacle::NoCapacity;
  return allowedByRequestLimit(Owner, Now) ? Obstacle::None
                                           : Obstacle::RequestLimit;
}

Obstacle UpstreamAssignment::limitOf(UpstreamState &Upstream,
                                     const PendingRequest &Pending,
                                     const UpstreamPace::Terms &Terms,
                                     Instant Now) {
  if (Upstream.paused(Now))
    return Obstacle::Paused;
  if (!allowedByPace(Upstream, Pending, Terms, Now))
    return Upstream.cold(Now) ? Obstacle::Cold : Obstacle::Paced;
  return allowedByRequestLimit(Upstream, Now) ? Obstacle::None
                                              : Obstacle::RequestLimit;
}

UpstreamState *UpstreamAssignment::chooseUpstream(const PendingRequest &Pending,
                                                  bool &CanWait, Instant Now) {
  if (Pending.m_key)
    return chooseOwner(Pending, CanWait, Now);
  return chooseAmong(m_state.m_registry.ofService(Pending.m_service->m_name),
                     Pending, CanWait, nullptr, Now);
}

UpstreamState *
UpstreamAssignment::chooseAmong(std::vector<UpstreamState *> Upstreams,
                                const PendingRequest &Pending, bool &CanWait,
                                Limits *LeftOut, Instant Now) {
  UpstreamPace::Terms Terms;
  auto IsLimited = [Now](const UpstreamState *Upstream) {
    return !Upstream->m_paceSettled || Upstream->cold(Now);
  };
  if (m_state.m_settings.m_paceUpstreams &&
      std::any_of(Upstreams.begin(), Upstreams.end(), IsLimited))
    Terms = paceTerms(Pending);
  bool AwaitsLimit = false;
  std::erase_if(Upstreams, [&](UpstreamState *Upstream) {
    Obstacle Limit = limitOf(*Upstream, Pending, Terms, Now);
    if (Limit == Obstacle::None)
      return false;
    if (LeftOut)
      LeftOut->emplace(Upstream->m_record.m_id, Limit);
    AwaitsLimit |= m_state.m_registry.usable(*Upstream) &&
                   !Pending.m_triedUpstreams.count(Upstream->m_record.m_id);
    return true;
  });
  SelectionRequest Request;
  Request.m_workTime = Pending.m_workTime;
  Request.m_bytes = ExpectedResponseBytes;
  if (Pending.m_exchange) // A request that is only previewed has none.
    Request.m_bytes += Pending.m_exchange->request().m_body.size();
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

Obstacle UpstreamAssignment::previewOwner(const OwnerLookup &KeyOwner,
                                          UpstreamState &Owner,
                                          const PendingRequest &Pending,
                                          Instant Now) {
  if (KeyOwner.m_upstream)
    return ownerObstacle(Owner, Pending, Now);
  return KeyOwner.m_unreachable ? Obstacle::Unreachable
                                : m_state.m_registry.obstacle(Owner);
}

AssignmentPreview UpstreamAssignment::preview(const PendingRequest &Pending,
                                              Instant Now) const {
  // Decides on copies of the limits, the upstreams and the random numbers.
  UpstreamAssignment Trial(*this);
  Trial.m_isPreview = true;
  AssignmentPreview Result;
  if (Pending.m_key) {
    OwnerLookup KeyOwner = findOwner(Pending, Now);
    Result.m_canWait = mayAwaitOwner(KeyOwner, Pending, Now);
    const UpstreamState *Owner = m_state.m_registry.find(
        m_state.m_owners.owner(Pending.m_service->m_name, *Pending.m_key));
    if (!Owner)
      return Result;
    auto &Only = Result.m_candidates.emplace_back();
    Only.m_upstream = *Owner;
    Only.m_obstacle =
        Trial.previewOwner(KeyOwner, Only.m_upstream, Pending, Now);
    if (Only.m_obstacle == Obstacle::None)
      Result.m_chosen = Owner->m_record.m_id;
    return Result;
  }
  for (const UpstreamState *Upstream :
       m_state.m_registry.ofService(Pending.m_service->m_name))
    Result.m_candidates.push_back({*Upstream, Obstacle::None});
  std::vector<UpstreamState *> Upstreams;
  for (auto &Candidate : Result.m_candidates)
    Upstreams.push_back(&Candidate.m_upstream);
  Limits LeftOut;
  if (const UpstreamState *Chosen = Trial.chooseAmong(
          Upstreams, Pending, Result.m_canWait, &LeftOut, Now))
    Result.m_chosen = Chosen->m_record.m_id;
  for (auto &Candidate : Result.m_candidates) {
    Candidate.m_obstacle = m_state.m_registry.obstacle(Candidate.m_upstream);
    if (Candidate.m_obstacle != Obstacle::None)
      continue;
    if (auto It = LeftOut.find(Candidate.m_upstream.m_record.m_id);
        It != LeftOut.end())
      Candidate.m_obstacle = It->second;
    else if (!hasCapacity(Candidate.m_upstream))
      Candidate.m_obstacle = Obstacle::NoCapacity;
  }
  return Result;
}

ServiceCapacity UpstreamAssignment::capacityFor(const PendingRequest &Pending,
                                                Instant Now) const {
  ServiceCapacity Capacity;
  if (Pending.m_key) {
    const UpstreamState *Upstream = findOwner(Pending, Now).m_upstream;
    // While the owner is unknown, admission does not limit waiting for it.
    Capacity.m_slots =
        Upstream ? usableSlots(*Upstream) / slotTimeFactor(*Upstream, Now)
                 : std::numeric_limits<double>::max();
    // Requests in progress at the owner are half done on average.
    if (Upstream) {
      Capacity.m_pause = std::max(Duration(), Upstream->m_pausedUntil - Now);
      Capacity.m_requestRate = requestRate(*Upstream);
      Capacity.m_waiting =
          (Upstream->m_outstanding + Upstream->m_peerOutstanding) / 2;
      m_state.m_peerLoads.queues(Pending.m_service->m_name)
          .addTo(Capacity, Upstream->m_peerWaiting);
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
        std::min(usableSlots(*Upstream) / slotTimeFactor(*Upstream, Now),
                 Rate * WorkSeconds);
  }
  if (ShortestPause > Duration() && ShortestPause != Duration::max()) {
    // All are paused. How much they take afterwards is not known yet.
    Capacity.m_pause = ShortestPause;
    Capacity.m_requestRate = std::numeric_limits<double>::infinity();
  }
  const PeerQueues &Queues =
      m_state.m_peerLoads.queues(Pending.m_service->m_name);
  Queues.addTo(Capacity, Queues.total());
  m_reserves.addLimits(Pending.m_service->m_name, Capacity);
  return Capacity;
}

void UpstreamAssignment::onSend(const PendingRequest &Pending,
                                UpstreamState &Upstream, Instant Now) {
  if (!m_state.m_settings.m_paceUpstreams) {
    if (Upstream.cold(Now) && Pending.m_service->m_coldRate > 0)
      m_coldStartLimiters[Upstream.m_record.m_id].take();
  } else if (Upstream.m_paceLimit || Upstream.cold(Now)) {
    m_paces[Upstream.m_record.m_id].take();
  }
  if (Pending.m_key)
    m_ownerThrottles[Upstream.m_record.m_id].take();
  if (Upstream.m_requestLimit.m_rate)
    m_requestLimiters[Upstream.m_record.m_id].take();
  ++Upstream.m_sent;
}

void UpstreamAssignment::sweep(Instant Now) {
  if (m_state.m_settings.m_paceUpstreams)
    for (auto &[Id, Upstream] : m_state.m_registry.upstreams())
      updatePace(m_paces[Id], Upstream, paceTerms(Upstream.m_record.m_service),
                 Now);
  auto IsUnregistered = [this](const auto &Entry) {
    return !m_state.m_registry.find(Entry.first);
  };
  std::erase_if(m_paces, IsUnregistered);
  std::erase_if(m_coldStartLimiters, IsUnregistered);
  std::erase_if(m_requestLimiters, [this](const auto &Entry) {
    const UpstreamState *Upstream = m_state.m_registry.find(Entry.first);
    return !Upstream || !Upstream->m_requestLimit.m_rate;
  });
  std::erase_if(m_ownerThrottles, IsUnregistered);
}

} // namespace burdockpulley
