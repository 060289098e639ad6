#include "burdockpulley/keeper_authority.h"

#include <algorithm>

namespace burdockpulley {

namespace {

constexpr std::int64_t DriftDivisor = 50;
constexpr Duration ConstantDrift{5'000};

template <class Predicate>
bool isMajority(const std::set<HostId> &Hosts, Predicate Condition) {
  auto Count = std::count_if(Hosts.begin(), Hosts.end(), Condition);
  return 2 * static_cast<std::size_t>(Count) > Hosts.size();
}

} // namespace

Duration driftMargin(Duration Span) {
  return Span / DriftDivisor + ConstantDrift;
}

void KeeperAuthority::onContact(Instant ReadStart) {
  if (!m_lastContact || *m_lastContact < ReadStart)
    m_lastContact = ReadStart;
}

bool KeeperAuthority::mayAct(Duration Hold, Instant Now) const {
  return m_lastContact && Now + driftMargin(Hold) < *m_lastContact + Hold;
}

std::uint64_t VersionQuorum::beginRound(Instant Now) {
  m_roundStart = Now;
  m_roundResponses.clear();
  return ++m_round;
}

void VersionQuorum::onResponse(std::uint64_t Round, const HostId &Host,
                               StoreVersion Seen) {
  StoreVersion &Latest = m_latestSeen[Host];
  Latest = std::max(Latest, Seen);
  if (Round == m_round)
    m_roundResponses[Host] = Seen;
}

std::optional<Instant>
VersionQuorum::contactStart(const std::set<HostId> &Hosts, const HostId &Self,
                            StoreVersion SelfSeen) const {
  bool Agreed = isMajority(Hosts, [&](const HostId &Host) {
    if (Host == Self)
      return SelfSeen.value() > 0;
    auto It = m_roundResponses.find(Host);
    return It != m_roundResponses.end() && It->second.value() > 0 &&
           It->second <= SelfSeen;
  });
  if (m_round == 0 || !Agreed)
    return std::nullopt;
  return m_roundStart;
}

bool VersionQuorum::seenByMajority(const std::set<HostId> &Hosts,
                                   const HostId &Self, StoreVersion SelfSeen,
                                   StoreVersion Required) const {
  return isMajority(Hosts, [&](const HostId &Host) {
    if (Host == Self)
      return SelfSeen >= Required;
    auto It = m_latestSeen.find(Host);
    return It != m_latestSeen.end() && It->second >= Required;
  });
}

} // namespace burdockpulley
