#include "virtual_fleet.h"

namespace burdockpulley {

namespace {
constexpr Duration StepInterval{1'000};
constexpr Duration TickInterval{20'000};
constexpr Duration WatchInterval{10'000};
} // namespace

VirtualFleet::VirtualFleet(std::size_t Hosts, std::size_t Domains,
                           std::uint64_t Seed, MembershipOptions Options)
    : m_domains(Domains), m_random(Seed), m_members(Hosts) {
  for (std::size_t I = 0; I < Hosts; ++I) {
    m_names.push_back({HostId("host-" + std::to_string(I)),
                       DomainId("domain-" + std::to_string(domainOf(I)))});
    m_index[m_names[I].m_host] = I;
  }
  for (std::size_t I = 0; I < Hosts; ++I) {
    m_members[I].m_membership = std::make_unique<Membership>(
        m_names[I], Incarnation(1), m_random(), Options);
    m_members[I].m_membership->setMembers(m_names, m_now);
    m_members[I].m_nextTick =
        m_now + Duration(m_random() % TickInterval.count());
  }
}

void VirtualFleet::run(Duration Span, const std::function<void()> &Watch) {
  Instant NextWatch = m_now;
  for (Instant End = m_now + Span; m_now < End;) {
    step();
    if (!Watch || m_now < NextWatch)
      continue;
    NextWatch = m_now + WatchInterval;
    Watch();
  }
}

void VirtualFleet::step() {
  m_now += StepInterval;
  while (!m_onTheWay.empty() && m_onTheWay.begin()->first <= m_now) {
    Delivery Each = std::move(m_onTheWay.begin()->second);
    m_onTheWay.erase(m_onTheWay.begin());
    deliver(Each);
  }
  for (std::size_t I = 0; I < m_members.size(); ++I) {
    Slot &Each = m_members[I];
    if (!running(I) || Each.m_nextTick > m_now)
      continue;
    for (auto &[From, Message] : std::exchange(Each.m_backlog, {}))
      Each.m_membership->receive(m_names[From].m_host, Message, m_now);
    Each.m_membership->tick(m_now);
    Each.m_nextTick = m_now + TickInterval;
    collect(I);
  }
}

void VirtualFleet::deliver(const Delivery &Each) {
  Slot &Receiver = m_members[Each.m_to];
  if (Receiver.m_killed)
    return;
  if (Receiver.m_stopped) {
    Receiver.m_backlog.push_back({Each.m_from, Each.m_message});
    return;
  }
  Receiver.m_membership->receive(m_names[Each.m_from].m_host, Each.m_message,
                                 m_now);
  collect(Each.m_to);
}

void VirtualFleet::collect(std::size_t Index) {
  for (MemberSend &Sent : m_members[Index].m_membership->takeOutgoing())
    transmit(Index, std::move(Sent));
}

void VirtualFleet::transmit(std::size_t From, MemberSend &&Sent) {
  if (m_onSend)
    m_onSend(Sent.m_message);
  std::size_t To = m_index.at(Sent.m_to);
  if ((m_links.m_cut && m_links.m_cut(From, To)) || chance() < m_links.m_loss)
    return;
  int Copies = chance() < m_links.m_doubled ? 2 : 1;
  for (int I = 0; I < Copies; ++I) {
    Duration Spread = m_links.m_maxLatency - m_links.m_minLatency;
    Duration Latency =
        m_links.m_minLatency + Duration(m_random() % (Spread.count() + 1));
    m_onTheWay.insert({m_now + Latency, {From, To, Sent.m_message}});
  }
}

bool VirtualFleet::lost(std::size_t Observer, std::size_t Target) const {
  return member(Observer).lost(name(Target));
}

} // namespace burdockpulley
