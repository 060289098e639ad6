#include "burdockpulley/route_table.h"

#include <algorithm>
#include <numeric>

namespace burdockpulley {

namespace {

/// Host names are compared without a port and in lower case.
std::string normalizedHost(std::string_view Host) {
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
  for (const RouteRule &Rule : m_current->m_routes)
    m_byHost[normalizedHost(Rule.m_host)].push_back(&Rule);
  for (auto &[Host, Rules] : m_byHost)
    std::stable_sort(Rules.begin(), Rules.end(), longerPrefix);
  return true;
}

const RouteRule *RouteTable::find(std::string_view Host,
                                  std::string_view Target) const {
  auto It = m_byHost.find(normalizedHost(Host));
  if (It == m_byHost.end())
    return nullptr;
  std::string_view Path = Target.substr(0, Target.find('?'));
  for (const RouteRule *Rule : It->second)
    if (Path.starts_with(Rule->m_prefix))
      return Rule;
  return nullptr;
}

const RouteTarget &TrafficSplitter::addCredits(const RouteRule &Rule,
                                               Credits &Of) {
  double Sum =
      std::accumulate(Rule.m_targets.begin(), Rule.m_targets.end(), 0.0,
                      [](double Total, const RouteTarget &Target) {
                        return Total + Target.m_weight;
                      });
  const RouteTarget *Best = &Rule.m_targets.front();
  for (const RouteTarget &Target : Rule.m_targets) {
    Of[Target.m_service] += Target.m_weight / Sum;
    if (Of[Target.m_service] > Of[Best->m_service])
      Best = &Target;
  }
  return *Best;
}

const RouteTarget &TrafficSplitter::next(const RouteRule &Rule) {
  if (Rule.m_targets.size() == 1)
    return Rule.m_targets.front();
  Credits &Of = m_credits[Rule.m_name];
  const RouteTarget &Best = addCredits(Rule, Of);
  Of[Best.m_service] -= 1;
  return Best;
}

const RouteTarget &TrafficSplitter::peek(const RouteRule &Rule) const {
  if (Rule.m_targets.size() == 1)
    return Rule.m_targets.front();
  auto It = m_credits.find(Rule.m_name);
  Credits Of = It == m_credits.end() ? Credits() : It->second;
  return addCredits(Rule, Of);
}

} // namespace burdockpulley
