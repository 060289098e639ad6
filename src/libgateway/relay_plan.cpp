#include "relay_plan.h"

#include <algorithm>
#include <map>

namespace burdockpulley {

namespace {

/// Hosts of a failure domain that pass on each message.
constexpr std::size_t RelaysPerDomain = 2;
/// A failure domain with at most this many hosts is sent to directly: relays
/// would save too little for the hop that they add.
constexpr std::size_t MaxDirectHosts = 4;

} // namespace

RelayPlan planRelays(const std::vector<RelayCandidate> &Hosts,
                     std::uint64_t Round) {
  struct Domain {
    std::vector<HostId> m_hosts;
    std::vector<HostId> m_relays;
  };
  std::map<DomainId, Domain> Domains;
  for (const RelayCandidate &Host : Hosts) {
    Domain &Own = Domains[Host.m_domain];
    Own.m_hosts.push_back(Host.m_host);
    if (Host.m_canRelay)
      Own.m_relays.push_back(Host.m_host);
  }
  RelayPlan Plan;
  for (const auto &[Name, Domain] : Domains) {
    std::size_t Relays = Domain.m_relays.size();
    if (Domain.m_hosts.size() <= MaxDirectHosts || Relays < RelaysPerDomain) {
      Plan.m_direct.insert(Plan.m_direct.end(), Domain.m_hosts.begin(),
                           Domain.m_hosts.end());
      continue;
    }
    for (std::size_t Number = 0; Number < RelaysPerDomain; ++Number)
      Plan.m_relays.push_back(
          Domain
              .m_relays[(Round + Number * Relays / RelaysPerDomain) % Relays]);
    double SendsOfOne = static_cast<double>(Domain.m_hosts.size()) *
                        RelaysPerDomain / static_cast<double>(Relays);
    Plan.m_busiestSends = std::max(Plan.m_busiestSends, SendsOfOne);
  }
  Plan.m_busiestSends =
      std::max(Plan.m_busiestSends, static_cast<double>(Plan.m_relays.size() +
                                                        Plan.m_direct.size()));
  return Plan;
}

} // namespace burdockpulley
