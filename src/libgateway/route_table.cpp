#include "burdockpulley/route_table.h"

#include <algorithm>
#include <numeric>

namespace burdockpulley {

namespace {

/// Host names are compared without a port and in lower case.
std::string normalHost(std::string_view Host) {
  std::string Name(Host.substr(0, Host.find(':')));
  std::transform(Name.begin(), Name.end(), Name.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Name;
}

bool longerPrefix(const RouteRule *Left, const RouteRule *Right) {
  return Left->m_prefix.size() > Right->m_prefix.size();
}

} // namespace

bool RouteTable::apply(std::shared_ptr<const RoutingConfiguration> Next) {
  if (m_current && Next->m_revision <= m_current->m_revision)
    return false;
  m_current = std::move(Next);
  m_byHost.clear();
  for (const RouteRule &Each : m_current->m_routes)
    m_byHost[normalHost(Each.m_host)].push_back(&Each);
  for (auto &[Host, Routes] : m_byHost)
    std::stable_sort(Routes.begin(), Routes.end(), longerPrefix);
  return true;
}

const RouteRule *RouteTable::find(std::string_view Host,
                                  std::string_view Target) const {
  auto Found = m_byHost.find(normalHost(Host));
  if (Found == m_byHost.end())
    return nullptr;
  std::string_view Path = Target.substr(0, Target.find('?'));
  for (const RouteRule *Each : Found->second)
    if (Path.starts_with(Each->m_prefix))
      return Each;
  return nullptr;
}

const RouteTarget &TrafficSplitter::next(const RouteRule &Which) {
  if (Which.m_targets.size() == 1)
    return Which.m_targets.front();
  double Sum = std::accumulate(Which.m_targets.begin(), Which.m_targets.end(),
                               0.0, [](double Total, const RouteTarget &Each) {
                                 return Total + Each.m_weight;
                               });
  auto &Owed = m_owed[Which.m_name];
  const RouteTarget *Best = &Which.m_targets.front();
  for (const RouteTarget &Each : Which.m_targets) {
    Owed[Each.m_service] += Each.m_weight / Sum;
    if (Owed[Each.m_service] > Owed[Best->m_service])
      Best = &Each;
  }
  Owed[Best->m_service] -= 1;
  return *Best;
}

} // namespace burdockpulley
