#include "burdockpulley/upstream_registry.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// Added to the cold time in a heartbeat, which is some time old when it is
/// read.
constexpr Duration ColdMargin{700'000};
/// Without heartbeats, an unreachable upstream is tried again after this time.
/// It may have restarted meanwhile, so it is treated as cold for as long.
constexpr Duration UnreachableTimeout{2'500'000};
/// How long an upstream is kept after its record is removed, for requests that
/// are still running there.
constexpr Duration RemovedRetention{30'000'000};
/// Heartbeats whose ends of the cold time differ by no more are equal.
constexpr Duration ColdEndTolerance{600'000};

/// True when a record shows only that the upstream is still alive.
bool isUnchanged(const UpstreamState &Upstream, const UpstreamRecord &Record,
                 Instant ColdUntil, Instant Now) {
  const UpstreamRecord &Old = Upstream.m_record;
  bool SameCold = ColdUntil == Instant()
                      ? Upstream.m_coldUntil <= Now + ColdMargin
                      : ColdUntil <= Upstream.m_coldUntil + ColdEndTolerance;
  return Upstream.m_registered && SameCold &&
         Old.m_service == Record.m_service &&
         Old.m_address == Record.m_address && Old.m_domain == Record.m_domain &&
         Old.m_slots == Record.m_slots && Old.m_draining == Record.m_draining;
}

} // namespace

const char *toString(Obstacle Reason) {
  switch (Reason) {
  case Obstacle::Leaving:
    return "leaving";
  case Obstacle::OutOfService:
    return "out-of-service";
  case Obstacle::Unreachable:
    return "unreachable";
  case Obstacle::Paused:
    return "paused";
  case Obstacle::Cold:
    return "cold";
  case Obstacle::Paced:
    return "paced";
  case Obstacle::RequestLimit:
    return "request-limit";
  case Obstacle::NoCapacity:
    return "no-capacity";
  case Obstacle::OtherHosts:
    return "share-of-other-hosts";
  case Obstacle::None:
    break;
  }
  return "";
}

UpstreamRegistry::Change
UpstreamRegistry::onRecord(const UpstreamRecord &Record, Instant Now) {
  bool WasHeld = m_heldRemovals.erase(Record.m_id) != 0;
  auto [It, New] = m_upstreams.try_emplace(Record.m_id);
  UpstreamState &Upstream = It->second;
  m_membership += New ? 1 : 0;
  bool Restarted =
      !New && Upstream.m_record.m_incarnation != Record.m_incarnation;
  if (Restarted && Record.m_incarnation < Upstream.m_record.m_incarnation)
    return Change::None; // A late write of an earlier incarnation.
  bool SameStart = !New && !Restarted && Record.m_incarnation.value() != 0;
  if (SameStart && Record.m_sequence < Upstream.m_record.m_sequence) {
    // The store has come back from an older copy. The upstream writes again;
    // what it has said since, such as that it drains, stays.
    Upstream.m_registered = true;
    return Change::None;
  }
  bool WasLeaving = !New && Upstream.leaving();
  if (Restarted) {
    std::uint32_t Outstanding = Upstream.m_outstanding;
    Upstream = UpstreamState();
    Upstream.m_outstanding = Outstanding;
  }
  bool NewHeartbeat =
      New || Restarted || Record.m_sequence != Upstream.m_record.m_sequence;
  Instant ColdUntil = Record.m_coldLeft > Duration()
                          ? Now + Record.m_coldLeft + ColdMargin
                          : Instant();
  bool Renewal = !New && !Restarted && !WasHeld &&
                 isUnchanged(Upstream, Record, ColdUntil, Now);
  Upstream.m_record = Record;
  Upstream.m_registered = true;
  if (NewHeartbeat)
    onRenewed(Upstream, Now);
  Upstream.m_coldUntil = ColdUntil;
  if (Upstream.leaving() && !WasLeaving) {
    Upstream.m_leftAt = Now;
    return Change::Draining;
  }
  if (New)
    return Change::Joined;
  if (Restarted)
    return Change::Restarted;
  return Renewal ? Change::Renewed : Change::Updated;
}

void UpstreamRegistry::onRenewed(UpstreamState &Upstream, Instant Now) const {
  if (Now > Upstream.m_unreachableSince && !m_pathsLost)
    Upstream.m_unreachable = false;
}

void UpstreamRegistry::setPathsLost(bool Lost, Instant Now) {
  m_pathsLost = Lost;
  for (auto &[Id, Upstream] : m_upstreams) {
    Upstream.m_unreachable = Lost;
    if (Lost)
      Upstream.m_unreachableSince = Now;
  }
}

UpstreamState *UpstreamRegistry::onRemoved(const UpstreamId &Id, Instant Now) {
  UpstreamState *Upstream = find(Id);
  if (!Upstream || !Upstream->m_registered)
    return nullptr;
  if (Now < m_holdRemovalsUntil) {
    m_heldRemovals[Id] = m_holdRemovalsUntil;
    return nullptr;
  }
  if (!Upstream->leaving())
    Upstream->m_leftAt = Now;
  Upstream->m_registered = false;
  return Upstream;
}

void UpstreamRegistry::onUnreadable(const UpstreamId &Id, Instant Until) {
  const UpstreamState *Upstream = find(Id);
  if (Upstream && Upstream->m_registered)
    m_heldRemovals.try_emplace(Id, Until);
}

std::vector<UpstreamId> UpstreamRegistry::sweep(Instant Now) {
  std::vector<UpstreamId> Removed;
  for (auto It = m_heldRemovals.begin(); It != m_heldRemovals.end();) {
    if (Now < It->second) {
      ++It;
      continue;
    }
    Removed.push_back(It->first);
    It = m_heldRemovals.erase(It);
  }
  std::erase_if(Removed, [this, Now](const UpstreamId &Id) {
    return onRemoved(Id, Now) == nullptr;
  });
  for (auto &[Id, Upstream] : m_upstreams)
    if (Upstream.m_unreachable && !m_pathsLost &&
        Now - Upstream.m_unreachableSince > UnreachableTimeout) {
      Upstream.m_unreachable = false;
      Upstream.m_assumedColdUntil = Now + UnreachableTimeout;
    }
  m_membership += std::erase_if(m_upstreams, [Now](const auto &Entry) {
    const UpstreamState &Upstream = Entry.second;
    return !Upstream.m_registered && Upstream.m_outstanding == 0 &&
           Now - Upstream.m_leftAt > RemovedRetention;
  });
  return Removed;
}

void UpstreamRegistry::setDomainOut(const DomainId &Domain, bool IsOut,
                                    Duration ColdTime, Instant Now) {
  if (IsOut) {
    m_domainsOut.insert(Domain);
    return;
  }
  if (m_domainsOut.erase(Domain) == 0)
    return;
  for (auto &[Id, Upstream] : m_upstreams)
    if (Upstream.m_record.m_domain == Domain)
      Upstream.m_assumedColdUntil = Now + ColdTime;
}

bool UpstreamRegistry::addressTaken(const UpstreamState &Upstream) const {
  const UpstreamRecord &Own = Upstream.m_record;
  return std::any_of(
      m_upstreams.begin(), m_upstreams.end(), [&Own](const auto &Entry) {
        const UpstreamRecord &Other = Entry.second.m_record;
        return Entry.second.m_registered && Other.m_id != Own.m_id &&
               Other.m_address == Own.m_address &&
               Other.m_incarnation > Own.m_incarnation;
      });
}

void UpstreamRegistry::onUnreachable(const UpstreamId &Id, Instant Now) {
  UpstreamState *Upstream = find(Id);
  if (!Upstream)
    return;
  Upstream->m_unreachable = true;
  Upstream->m_unreachableSince = Now;
}

UpstreamState *UpstreamRegistry::find(const UpstreamId &Id) {
  auto It = m_upstreams.find(Id);
  return It == m_upstreams.end() ? nullptr : &It->second;
}

const UpstreamState *UpstreamRegistry::find(const UpstreamId &Id) const {
  auto It = m_upstreams.find(Id);
  return It == m_upstreams.end() ? nullptr : &It->second;
}

std::vector<UpstreamState *>
UpstreamRegistry::ofService(const ServiceId &Service) {
  std::vector<UpstreamState *> Upstreams;
  for (auto &[Id, Upstream] : m_upstreams)
    if (Upstream.m_record.m_service == Service)
      Upstreams.push_back(&Upstream);
  return Upstreams;
}

} // namespace burdockpulley
