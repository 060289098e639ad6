#include "burdockpulley/peer_loads.h"

#include "burdockpulley/hashing.h"
#include "burdockpulley/upstream_selection.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// Hosts tell their load several times a second.
constexpr Duration HostLifetime{1'500'000};
constexpr Duration NewsEvery{40'000};
constexpr Duration NewsPerHost{2'000};

void addSigned(std::uint32_t &Sum, std::uint32_t Part, int Sign) {
  if (Sign > 0)
    Sum += Part;
  else
    Sum -= std::min(Sum, Part);
}

} // namespace

Duration statusInterval(std::size_t Hosts) {
  return std::max<Duration>(NewsEvery, NewsPerHost * static_cast<int>(Hosts));
}

NameHash nameHash(const std::string &Name) {
  return NameHash(static_cast<std::int32_t>(stableHash(Name)));
}

UpstreamState *PeerLoads::find(NameHash Upstream) {
  if (m_namesOf != m_registry.membership()) {
    m_namesOf = m_registry.membership();
    m_names.clear();
    for (const auto &[Id, Row] : m_registry.upstreams())
      m_names[nameHash(Id.value())] = Id;
  }
  auto Found = m_names.find(Upstream);
  return Found == m_names.end() ? nullptr : m_registry.find(Found->second);
}

void PeerLoads::count(const PeerLoad &Load, int Sign) {
  for (const PeerUpstreamLoad &Each : Load.m_upstreams) {
    if (Each.m_outstanding == 0 && Each.m_waiting == 0)
      continue;
    UpstreamState *Row = find(Each.m_upstream);
    if (!Row)
      continue;
    addSigned(Row->m_peerOutstanding, Each.m_outstanding, Sign);
    addSigned(Row->m_peerWaiting, Each.m_waiting, Sign);
  }
}

void PeerLoads::onLoad(const HostId &Host, PeerLoad Told, Instant Now) {
  Row &Which = m_hosts[Host];
  count(Which.m_load, -1);
  for (const PeerUpstreamLoad &Each : Told.m_upstreams) {
    UpstreamState *Known = find(Each.m_upstream);
    if (Known)
      mergeServiceTimeRatio(*Known, Each.m_serviceTimeRatio,
                            Each.m_serviceTimeSamples, Now);
    if (!Known || !Each.m_reported ||
        Now - Each.m_reportAge <= Known->m_reportAt)
      continue;
    Known->m_report = Each.m_report;
    Known->m_reportAt = Now - Each.m_reportAge;
    Known->m_reportOwn = false;
  }
  Which.m_load = std::move(Told);
  Which.m_heard = Now;
  count(Which.m_load, 1);
}

void PeerLoads::expire(Instant Now) {
  for (auto Each = m_hosts.begin(); Each != m_hosts.end();) {
    if (Now - Each->second.m_heard <= HostLifetime) {
      ++Each;
      continue;
    }
    count(Each->second.m_load, -1);
    Each = m_hosts.erase(Each);
  }
}

std::uint32_t PeerLoads::waiting(const ServiceId &Service) const {
  NameHash Name = nameHash(Service.value());
  std::uint32_t Sum = 0;
  for (const auto &[Host, Each] : m_hosts) {
    auto Found = Each.m_load.m_waiting.find(Name);
    if (Found != Each.m_load.m_waiting.end())
      Sum += Found->second;
  }
  return Sum;
}

} // namespace burdockpulley
