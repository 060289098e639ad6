#include "membership_driver.h"

#include "burdockpulley/event_log.h"
#include "member_codec.h"
#include "peer_types.h"

#include <random>

namespace burdockpulley {

namespace {

constexpr Duration TickInterval{20'000};

/// Higher than that of any earlier process of this host, unless the wall clock
/// was set back; then the first refutation mends it.
Incarnation startIncarnation() {
  auto Time = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count()));
}

} // namespace

MembershipDriver::MembershipDriver(event_base *Base, HostState &State,
                                   PeerNetwork &Peers, TableSpread &Spread,
                                   std::function<void(const HostId &)> Lost,
                                   std::function<void()> Changed)
    : m_state(State), m_peers(Peers), m_spread(Spread), m_lost(std::move(Lost)),
      m_changed(std::move(Changed)),
      m_members({State.m_settings.m_host, State.m_settings.m_domain},
                startIncarnation(), std::random_device()()),
      m_timer(Base, TickInterval, [this](Instant Now) { tick(Now); }) {}

void MembershipDriver::onTablesChanged(Instant Now) {
  std::vector<Member> Declared;
  for (const FailureDomain &Domain : m_state.declared().m_domains)
    for (const FailureDomain::Host &Host : Domain.m_hosts)
      Declared.push_back({Host.m_name, Domain.m_name});
  if (Declared == m_declared)
    return;
  m_declared = Declared;
  m_members.setMembers(Declared, Now);
}

void MembershipDriver::onMessage(const HostId &From,
                                 const wire::MemberMessage &Message,
                                 Instant Now) {
  m_spread.onVersions(From, Message, Now);
  MemberMessage Read;
  if (!fromWire(Message, Read))
    return logEvent(Severity::Warning, "member-message-unreadable",
                    {{"peer", From.value()}});
  m_members.receive(From, Read, Now);
  flush();
  publishLosses();
}

void MembershipDriver::tick(Instant Now) {
  m_members.tick(Now);
  flush();
  publishLosses();
}

void MembershipDriver::flush() {
  for (const MemberSend &Each : m_members.takeOutgoing()) {
    wire::Message Message;
    Message.__set_member(toWire(Each.m_message));
    m_spread.addVersions(Message.member);
    m_peers.post(Each.m_to, Message);
  }
}

void MembershipDriver::publishLosses() {
  if (m_members.changes() == m_seenChanges)
    return;
  m_seenChanges = m_members.changes();
  std::set<HostId> Before = std::move(m_state.m_lostHosts);
  m_state.m_lostHosts = m_members.lostHosts();
  if (m_state.m_lostHosts == Before)
    return;
  for (const HostId &Host : m_state.m_lostHosts) {
    if (Before.count(Host))
      continue;
    logEvent(Severity::Warning, "host-lost", {{"lost", Host.value()}});
    // What a broken route holds in its sockets would arrive far too late.
    m_peers.drop(Host);
    m_lost(Host);
  }
  for (const HostId &Host : Before)
    if (!m_state.m_lostHosts.count(Host))
      logEvent(Severity::Info, "host-back", {{"back", Host.value()}});
  m_changed();
}

} // namespace burdockpulley
