#include "host_state.h"

#include "burdockpulley/hashing.h"

#include <algorithm>

namespace burdockpulley {

namespace {
constexpr std::string_view PlannerItem = "coordinator";
} // namespace

std::vector<HostId> HostState::liveHosts(const DomainId &Domain) const {
  std::vector<HostId> Live;
  const FailureDomain *Found = declared().findDomain(Domain);
  if (!Found)
    return Live;
  for (const FailureDomain::Host &Host : Found->m_hosts)
    if (!m_lostHosts.count(Host.m_name) && !m_leavingHosts.count(Host.m_name))
      Live.push_back(Host.m_name);
  return Live;
}

HostId HostState::keeperOf(const Upstream &Which) const {
  const KeeperRecord *Record = m_keepers.find(Which.m_domain, Which.m_name);
  if (Record)
    return Record->m_host;
  std::vector<HostId> Live = liveHosts(Which.m_domain);
  const HostId *Keeper = chooseKeeper(Which.m_name, Live);
  return Keeper ? *Keeper : HostId();
}

std::vector<HostId> HostState::plannerRanks() const {
  std::vector<std::pair<std::uint64_t, HostId>> Scored;
  for (const FailureDomain &Domain : declared().m_domains)
    for (HostId &Host : liveHosts(Domain.m_name)) {
      std::uint64_t Score = rendezvousScore(PlannerItem, Host.value());
      Scored.emplace_back(Score, std::move(Host));
    }
  std::sort(Scored.rbegin(), Scored.rend());
  std::vector<HostId> Ranks;
  for (auto &[Score, Host] : Scored)
    Ranks.push_back(std::move(Host));
  return Ranks;
}

} // namespace burdockpulley
