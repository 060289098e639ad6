#include "burdockpulley/upstream_registry.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// Heartbeats are some time old when they are read; added to what they say of
/// the time that an upstream is cold.
constexpr Duration ColdMargin{700'000};
/// Without heartbeats, an unreachable upstream is tried again after this time;
/// it may have restarted meanwhile, so it is taken to be cold for as long.
constexpr Duration UnreachableTime{2'500'000};
/// How long a row outlives its record, for requests still running at it.
constexpr Duration ForgetAfter{30'000'000};
/// Heartbeats that differ by less on when a cold time ends say the same.
constexpr Duration SameColdTime{600'000};

/// True when a record says no more than that the upstream lives.
bool saysNothingNew(const UpstreamState &Row, const UpstreamRecord &Record,
                    Instant ColdUntil, Instant Now) {
  const UpstreamRecord &Old = Row.m_record;
  bool SameCold = ColdUntil == Instant()
                      ? Row.m_coldUntil <= Now + ColdMargin
                      : ColdUntil <= Row.m_coldUntil + SameColdTime;
  return Row.m_registered && SameCold && Old.m_service == Record.m_service &&
         Old.m_address == Record.m_address && Old.m_domain == Record.m_domain &&
         Old.m_slots == Record.m_slots && Old.m_draining == Record.m_draining;
}

} // namespace

UpstreamRegistry::Change
UpstreamRegistry::onRecord(const UpstreamRecord &Record, Instant Now) {
  bool WasHeld = m_heldRemovals.erase(Record.m_id) != 0;
  auto [Found, New] = m_upstreams.try_emplace(Record.m_id);
  UpstreamState &Row = Found->second;
  m_membership += New ? 1 : 0;
  bool Restarted = !New && Row.m_record.m_incarnation != Record.m_incarnation;
  if (Restarted && Record.m_incarnation < Row.m_record.m_incarnation)
    return Change::None; // A late write of an earlier start.
  bool WasLeaving = !New && Row.leaving();
  if (Restarted) {
    std::uint32_t Outstanding = Row.m_outstanding;
    Row = UpstreamState();
    Row.m_outstanding = Outstanding;
  }
  bool NewBeat =
      New || Restarted || Record.m_sequence != Row.m_record.m_sequence;
  Instant ColdUntil = Record.m_coldLeft > Duration()
                          ? Now + Record.m_coldLeft + ColdMargin
                          : Instant();
  bool Renewal = !New && !Restarted && !WasHeld &&
                 saysNothingNew(Row, Record, ColdUntil, Now);
  Row.m_record = Record;
  Row.m_registered = true;
  if (NewBeat)
    onRenewed(Row, Now);
  Row.m_coldUntil = ColdUntil;
  if (Row.leaving() && !WasLeaving) {
    Row.m_leftAt = Now;
    return Change::Draining;
  }
  if (New)
    return Change::Joined;
  if (Restarted)
    return Change::Restarted;
  return Renewal ? Change::Renewed : Change::Updated;
}

void UpstreamRegistry::onRenewed(UpstreamState &Row, Instant Now) const {
  if (Now > Row.m_unreachableSince)
    Row.m_unreachable = false;
}

UpstreamState *UpstreamRegistry::onRemoved(const UpstreamId &Which,
                                           Instant Now) {
  UpstreamState *Row = find(Which);
  if (!Row || !Row->m_registered)
    return nullptr;
  if (Now < m_holdUntil) {
    m_heldRemovals[Which] = m_holdUntil;
    return nullptr;
  }
  if (!Row->leaving())
    Row->m_leftAt = Now;
  Row->m_registered = false;
  return Row;
}

std::vector<UpstreamId> UpstreamRegistry::sweep(Instant Now) {
  std::vector<UpstreamId> Gone;
  for (auto Each = m_heldRemovals.begin(); Each != m_heldRemovals.end();) {
    if (Now < Each->second) {
      ++Each;
      continue;
    }
    Gone.push_back(Each->first);
    Each = m_heldRemovals.erase(Each);
  }
  for (const UpstreamId &Which : Gone)
    onRemoved(Which, Now);
  for (auto &[Id, Row] : m_upstreams)
    if (Row.m_unreachable && Now - Row.m_unreachableSince > UnreachableTime) {
      Row.m_unreachable = false;
      Row.m_assumedColdUntil = Now + UnreachableTime;
    }
  m_membership += std::erase_if(m_upstreams, [Now](const auto &Entry) {
    const UpstreamState &Row = Entry.second;
    return !Row.m_registered && Row.m_outstanding == 0 &&
           Now - Row.m_leftAt > ForgetAfter;
  });
  return Gone;
}

void UpstreamRegistry::setDomainOut(const DomainId &Domain, bool Out,
                                    Duration ColdTime, Instant Now) {
  if (Out) {
    m_domainsOut.insert(Domain);
    return;
  }
  if (m_domainsOut.erase(Domain) == 0)
    return;
  for (auto &[Id, Row] : m_upstreams)
    if (Row.m_record.m_domain == Domain)
      Row.m_assumedColdUntil = Now + ColdTime;
}

void UpstreamRegistry::onUnreachable(const UpstreamId &Which, Instant Now) {
  UpstreamState *Row = find(Which);
  if (!Row)
    return;
  Row->m_unreachable = true;
  Row->m_unreachableSince = Now;
}

UpstreamState *UpstreamRegistry::find(const UpstreamId &Which) {
  auto Found = m_upstreams.find(Which);
  return Found == m_upstreams.end() ? nullptr : &Found->second;
}

const UpstreamState *UpstreamRegistry::find(const UpstreamId &Which) const {
  auto Found = m_upstreams.find(Which);
  return Found == m_upstreams.end() ? nullptr : &Found->second;
}

std::vector<UpstreamState *>
UpstreamRegistry::ofService(const ServiceId &Service) {
  std::vector<UpstreamState *> Rows;
  for (auto &[Id, Row] : m_upstreams)
    if (Row.m_record.m_service == Service)
      Rows.push_back(&Row);
  return Rows;
}

} // namespace burdockpulley
