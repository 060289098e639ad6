#include "burdockpulley/keeper_authority.h"

#include <algorithm>

namespace burdockpulley {

namespace {

constexpr std::int64_t DriftShare = 50;
constexpr Duration DriftFloor{5'000};

template <class Predicate>
bool majority(const std::set<HostId> &Hosts, Predicate Agrees) {
  auto Count = std::count_if(Hosts.begin(), Hosts.end(), Agrees);
  return 2 * static_cast<std::size_t>(Count) > Hosts.size();
}

} // namespace

Duration driftMargin(Duration Span) { return Span / DriftShare + DriftFloor; }

void KeeperAuthority::onContact(Instant Began) {
  if (!m_contact || *m_contact < Began)
    m_contact = Began;
}

bool KeeperAuthority::holds(Duration Hold, Instant Now) const {
  return m_contact && Now + driftMargin(Hold) < *m_contact + Hold;
}

std::uint64_t VersionQuorum::begin(Instant Now) {
  m_began = Now;
  m_answers.clear();
  return ++m_round;
}

void VersionQuorum::onAnswer(std::uint64_t Round, const HostId &Host,
                             StoreVersion Seen) {
  StoreVersion &Known = m_known[Host];
  Known = std::max(Known, Seen);
  if (Round == m_round)
    m_answers[Host] = Seen;
}

std::optional<Instant> VersionQuorum::contact(const std::set<HostId> &Hosts,
                                              const HostId &Self,
                                              StoreVersion Mine) const {
  bool Agreed = majority(Hosts, [&](const HostId &Host) {
    if (Host == Self)
      return Mine.value() > 0;
    auto Answer = m_answers.find(Host);
    return Answer != m_answers.end() && Answer->second.value() > 0 &&
           Answer->second <= Mine;
  });
  if (m_round == 0 || !Agreed)
    return std::nullopt;
  return m_began;
}

bool VersionQuorum::seenByMajority(const std::set<HostId> &Hosts,
                                   const HostId &Self, StoreVersion Mine,
                                   StoreVersion Wanted) const {
  return majority(Hosts, [&](const HostId &Host) {
    if (Host == Self)
      return Mine >= Wanted;
    auto Known = m_known.find(Host);
    return Known != m_known.end() && Known->second >= Wanted;
  });
}

} // namespace burdockpulley
