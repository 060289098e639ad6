#include "host_state.h"

namespace burdockpulley {

std::vector<HostId> HostState::liveHosts(const DomainId &Domain) const {
  std::vector<HostId> Live;
  const FailureDomain *Found = declared().findDomain(Domain);
  if (!Found)
    return Live;
  for (const FailureDomain::Host &Host : Found->m_hosts)
    if (!m_lostHosts.count(Host.m_name))
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

} // namespace burdockpulley
