#include "burdockpulley/declarations.h"

#include <algorithm>

namespace burdockpulley {

namespace {

template <class Row, class Id>
const Row *findRow(const std::vector<Row> &Table, const Id &Name) {
  auto Found = std::lower_bound(
      Table.begin(), Table.end(), Name,
      [](const Row &Left, const Id &Right) { return Left.m_name < Right; });
  if (Found == Table.end() || Found->m_name != Name)
    return nullptr;
  return &*Found;
}

} // namespace

const Team *Declarations::findTeam(const TeamId &Name) const {
  return findRow(m_teams, Name);
}

const FailureDomain *Declarations::findDomain(const DomainId &Name) const {
  return findRow(m_domains, Name);
}

const Service *Declarations::findService(const ServiceId &Name) const {
  return findRow(m_services, Name);
}

const Upstream *Declarations::findUpstream(const UpstreamId &Name) const {
  return findRow(m_upstreams, Name);
}

bool Declarations::domainOut(const DomainId &Name) const {
  return std::any_of(
      m_maintenance.begin(), m_maintenance.end(),
      [&](const Maintenance &Order) { return Order.m_domain == Name; });
}

bool Declarations::outOfService(const Upstream &Which) const {
  if (domainOut(Which.m_domain))
    return true;
  return std::any_of(m_maintenance.begin(), m_maintenance.end(),
                     [&](const Maintenance &Order) {
                       return Order.m_upstream == Which.m_name;
                     });
}

std::string toString(const DeclarationFault &Fault) {
  std::string Text = Fault.m_file + ":" + std::to_string(Fault.m_line) + ": ";
  if (!Fault.m_object.empty())
    Text += Fault.m_object;
  if (!Fault.m_field.empty())
    Text += "." + Fault.m_field;
  Text += ": " + Fault.m_problem;
  if (!Fault.m_remedy.empty())
    Text += "; " + Fault.m_remedy;
  return Text;
}

} // namespace burdockpulley
