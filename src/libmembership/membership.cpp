#include "burdockpulley/membership.h"
#include "timing.h"

#include <algorithm>

namespace burdockpulley {

using namespace detail;

Membership::Membership(Member Self, Incarnation Start, std::uint64_t Seed,
                       MembershipOptions Options)
    : m_self(std::move(Self)), m_incarnation(Start), m_options(Options),
      m_random(Seed) {}

void Membership::setMembers(std::span<const Member> Members, Instant Now) {
  std::set<HostId> Known;
  for (const auto &[Host, Each] : m_table.rows())
    Known.insert(Host);
  m_table.assign(Members);
  for (auto &[Host, Each] : m_table.rows())
    if (!Known.count(Host))
      Each.m_heard = Now;
  if (Row *Own = m_table.find(m_self.m_host))
    m_table.set(m_self.m_host, *Own, MemberState::Alive, m_incarnation);
  rebuildRing();
  std::erase_if(m_unreachable,
                [&](const DomainId &Each) { return !m_partners.count(Each); });
  for (const auto &[Domain, Hosts] : m_partners)
    m_domains.try_emplace(Domain, DomainContact{Now, {}});
  if (Known.empty()) {
    m_lastHeard = Now;
    m_doubtUntil = Now + DoubtAfterStart;
  }
  spread({m_self.m_host, MemberState::Alive, m_incarnation, {}});
  ++m_changes;
}

void Membership::tick(Instant Now) {
  if (!m_started) {
    m_started = true;
    m_lastTick = Now;
    m_lastHeard = std::max(m_lastHeard, Now);
    m_doubtUntil = std::max(m_doubtUntil, Now + DoubtAfterStart);
  }
  if (m_options.m_suspectsItself && Now - m_lastTick > PauseLimit)
    onPause(Now);
  m_lastTick = Now;
  checkProbes(Now);
  if (Now >= m_nextProbe)
    probeRing(Now);
  if (Now >= m_nextDomainProbe)
    probeOtherDomain(Now);
  judge(Now);
  flushUrgent();
}

void Membership::onPause(Instant Now) {
  // Answers that came meanwhile are still unread: nothing is late.
  m_probes.clear();
  m_relays.clear();
  m_doubtUntil = Now + DoubtAfterPause;
  m_lastHeard = Now;
  m_lastSync = Instant();
  for (auto &[Host, Known] : m_table.rows()) {
    Known.m_observers.erase(m_self.m_host);
    Known.m_suspectedAt = Now;
  }
  for (int I = 0; I < 2 && !m_contacts.empty(); ++I) {
    m_lastSync = Instant();
    requestSync(randomOf(m_contacts), Now);
  }
}

bool Membership::suspectsItself(Instant Now) const {
  if (!m_options.m_suspectsItself)
    return false;
  Duration Quiet = Now - m_lastHeard;
  return Now < m_doubtUntil ||
         (Quiet > QuietLimit && Quiet < QuietLimit + IsolationHold);
}

void Membership::endIsolation(Instant Now) {
  for (auto &[Host, Known] : m_table.rows()) {
    Known.m_observers.erase(m_self.m_host);
    Known.m_suspectedAt = Now;
    if (!Known.m_local)
      continue;
    changeState(Host, Known, MemberState::Alive, Known.m_incarnation);
  }
  m_probes.clear();
}

void Membership::onHeard(const HostId &From, Incarnation Inc, Instant Now) {
  Row *Known = m_table.find(From);
  if (!Known)
    return;
  if (Now - m_lastHeard > QuietLimit)
    endIsolation(Now);
  m_lastHeard = Now;
  Known->m_heard = Now;
  DomainContact &Contact = m_domains[Known->m_domain];
  Contact.m_heard = Now;
  Contact.m_silent.clear();
  if (m_unreachable.erase(Known->m_domain))
    ++m_changes;
  Known->m_observers.erase(m_self.m_host);
  if (Known->m_local)
    changeState(From, *Known, MemberState::Alive, Known->m_incarnation);
  merge({From, MemberState::Alive, Inc, {}}, Now);
}

void Membership::receive(const HostId &From, const MemberMessage &Message,
                         Instant Now) {
  // After a pause the backlog is read before the first tick.
  if (m_options.m_suspectsItself && m_started &&
      Now - m_lastTick > PauseLimit) {
    onPause(Now);
    m_lastTick = Now;
  }
  onHeard(From, Message.m_incarnation, Now);
  for (const MemberUpdate &News : Message.m_updates)
    merge(News, Now);
  switch (Message.m_kind) {
  case MemberMessage::Kind::Probe: {
    MemberMessage Answer = make(MemberMessage::Kind::Ack, Message.m_sequence);
    Answer.m_target = m_self.m_host;
    // A host that is wrongly doubted learns it here and refutes.
    const Row *Known = m_table.find(From);
    if (Known && Known->m_state != MemberState::Alive)
      Answer.m_updates.push_back(
          {From, Known->m_state, Known->m_incarnation, m_self.m_host});
    send(From, std::move(Answer));
    break;
  }
  case MemberMessage::Kind::Ack: {
    m_probes.erase(Message.m_sequence);
    auto Found = m_relays.find(Message.m_sequence);
    if (Found == m_relays.end())
      break;
    MemberMessage Answer =
        make(MemberMessage::Kind::Ack, Found->second.m_sequence);
    Answer.m_target = Found->second.m_target;
    send(Found->second.m_for, std::move(Answer));
    m_relays.erase(Found);
    break;
  }
  case MemberMessage::Kind::Request: {
    std::uint64_t Sequence = ++m_lastSequence;
    m_relays[Sequence] = {From, Message.m_sequence, Message.m_target, Now};
    send(Message.m_target, make(MemberMessage::Kind::Probe, Sequence));
    break;
  }
  case MemberMessage::Kind::Sync:
    return answerSync(From, Message);
  case MemberMessage::Kind::Gossip:
    break;
  }
  if (Message.m_digest != m_table.digest() && m_gossip.empty())
    requestSync(From, Now);
}

void Membership::requestSync(const HostId &To, Instant Now) {
  if (Now - m_lastSync < SyncInterval)
    return;
  m_lastSync = Now;
  MemberMessage Asked = make(MemberMessage::Kind::Sync, 0);
  for (const auto &[Domain, Digest] : m_table.domainDigests())
    Asked.m_digests.push_back({Domain, Digest});
  send(To, std::move(Asked));
}

void Membership::answerSync(const HostId &To, const MemberMessage &Asked) {
  std::map<DomainId, std::uint64_t> Theirs;
  for (const DomainDigest &Each : Asked.m_digests)
    Theirs[Each.m_domain] = Each.m_digest;
  MemberMessage Answer = make(MemberMessage::Kind::Gossip, 0);
  for (const auto &[Host, Known] : m_table.rows()) {
    if (Known.m_incarnation.value() == 0 || Known.m_local ||
        Theirs[Known.m_domain] == m_table.domainDigests().at(Known.m_domain))
      continue;
    MemberState State = Known.m_state == MemberState::Lost ? MemberState::Lost
                                                           : MemberState::Alive;
    Answer.m_updates.push_back({Host, State, Known.m_incarnation, {}});
    if (Answer.m_updates.size() < RowsPerSync)
      continue;
    send(To, std::move(Answer));
    Answer = make(MemberMessage::Kind::Gossip, 0);
  }
  if (!Answer.m_updates.empty())
    send(To, std::move(Answer));
}

void Membership::merge(const MemberUpdate &News, Instant Now) {
  if (News.m_host == m_self.m_host) {
    bool Refuted = News.m_state == MemberState::Alive
                       ? News.m_incarnation > m_incarnation
                       : News.m_incarnation >= m_incarnation;
    if (Refuted)
      refute(News.m_incarnation);
    return;
  }
  Row *Known = m_table.find(News.m_host);
  if (!Known || News.m_incarnation < Known->m_incarnation)
    return;
  if (News.m_state == MemberState::Suspect)
    return mergeSuspicion(News, *Known, Now);
  bool Newer = News.m_incarnation > Known->m_incarnation;
  if (News.m_state == MemberState::Alive && !Newer)
    return;
  if (News.m_state == MemberState::Lost) {
    bool Same = Known->m_state == MemberState::Lost && !Known->m_local;
    // What this host hears itself goes before what others say; a true loss
    // comes again with the next digest.
    if ((Same && !Newer) || Now - Known->m_heard < RecentlyHeard)
      return;
  }
  Known->m_observers.clear();
  changeState(News.m_host, *Known, News.m_state, News.m_incarnation);
  spread(News);
}

void Membership::mergeSuspicion(const MemberUpdate &News, Row &Known,
                                Instant Now) {
  if (News.m_incarnation > Known.m_incarnation)
    changeState(News.m_host, Known, MemberState::Alive, News.m_incarnation);
  if (Known.m_state == MemberState::Lost ||
      !Known.m_observers.insert(News.m_observer).second)
    return;
  if (Known.m_state == MemberState::Alive) {
    Known.m_suspectedAt = Now;
    changeState(News.m_host, Known, MemberState::Suspect, News.m_incarnation);
  }
  spread(News);
  std::size_t Rank = 0;
  for (const HostId &Observer : m_observersOf[News.m_host]) {
    if (Observer == m_self.m_host && Rank < Confirmers)
      return probe(News.m_host, true, Now);
    if (state(Observer) == MemberState::Alive)
      ++Rank;
  }
}

std::size_t Membership::liveObservers(const HostId &Host) const {
  const auto &Observers = m_observersOf.at(Host);
  return std::count_if(
      Observers.begin(), Observers.end(), [&](const HostId &Each) {
        const Row *Known = m_table.find(Each);
        return Each == m_self.m_host || (Known->m_state == MemberState::Alive &&
                                         !m_unreachable.count(Known->m_domain));
      });
}

void Membership::judge(Instant Now) {
  if (suspectsItself(Now))
    return;
  bool Isolated = Now - m_lastHeard > QuietLimit;
  for (auto &[Host, Known] : m_table.rows()) {
    if (Known.m_state != MemberState::Suspect)
      continue;
    if (Known.m_observers.empty()) {
      changeState(Host, Known, MemberState::Alive, Known.m_incarnation);
      continue;
    }
    std::size_t Needed = std::clamp<std::size_t>(
        liveObservers(Host), 1,
        std::max<std::size_t>(m_options.m_confirmations, 1));
    bool Sole = Needed < m_options.m_confirmations;
    Duration Wait = Sole ? SoleObserverSuspicion : MinSuspicion;
    if (Known.m_observers.size() < Needed || Now < Known.m_suspectedAt + Wait)
      continue;
    Known.m_observers.clear();
    changeState(Host, Known, MemberState::Lost, Known.m_incarnation, Isolated);
    if (!Isolated)
      spread({Host, MemberState::Lost, Known.m_incarnation, {}});
  }
}

void Membership::refute(Incarnation Seen) {
  m_incarnation = Incarnation(Seen.value() + 1);
  if (Row *Own = m_table.find(m_self.m_host))
    m_table.set(m_self.m_host, *Own, MemberState::Alive, m_incarnation);
  spread({m_self.m_host, MemberState::Alive, m_incarnation, {}});
}

void Membership::changeState(const HostId &Host, Row &Known, MemberState State,
                             Incarnation Inc, bool Local) {
  bool WasLost = Known.m_state == MemberState::Lost;
  m_table.set(Host, Known, State, Inc, Local);
  if (WasLost != (State == MemberState::Lost))
    ++m_changes;
}

void Membership::spread(const MemberUpdate &News) {
  m_gossip.add(News);
  m_urgent = true;
}

void Membership::flushUrgent() {
  if (!m_urgent)
    return;
  m_urgent = false;
  std::vector<HostId> Targets = m_contacts;
  std::shuffle(Targets.begin(), Targets.end(), m_random);
  Targets.resize(std::min(Targets.size(), PushFanout));
  for (const HostId &Target : Targets)
    send(Target, make(MemberMessage::Kind::Gossip, 0));
}

MemberMessage Membership::make(MemberMessage::Kind Kind,
                               std::uint64_t Sequence) {
  MemberMessage Message;
  Message.m_kind = Kind;
  Message.m_sequence = Sequence;
  Message.m_incarnation = m_incarnation;
  Message.m_digest = m_table.digest();
  Message.m_updates = m_gossip.take(UpdatesPerMessage, m_table.rows().size());
  return Message;
}

void Membership::send(const HostId &To, MemberMessage &&Message) {
  m_outgoing.push_back({To, std::move(Message)});
}

std::vector<MemberSend> Membership::takeOutgoing() {
  return std::exchange(m_outgoing, {});
}

MemberState Membership::state(const HostId &Host) const {
  const Row *Known = m_table.find(Host);
  return Known ? Known->m_state : MemberState::Alive;
}

bool Membership::lost(const HostId &Host) const {
  const Row *Known = m_table.find(Host);
  return Known && (Known->m_state == MemberState::Lost ||
                   m_unreachable.count(Known->m_domain));
}

std::set<HostId> Membership::lostHosts() const {
  std::set<HostId> Lost;
  for (const auto &[Host, Known] : m_table.rows())
    if (lost(Host))
      Lost.insert(Host);
  return Lost;
}

} // namespace burdockpulley
