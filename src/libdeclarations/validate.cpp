#include "document.h"

#include <algorithm>
#include <map>
#include <set>

namespace burdockpulley {
namespace detail {

namespace {

/// Checks a set whose objects have been read one by one.
class Validator {
public:
  Validator(const Declarations &Set, const std::vector<RawObject> &Objects,
            std::vector<DeclarationFault> &Faults)
      : m_set(Set), m_faults(Faults) {
    for (const RawObject &Object : Objects)
      m_objects.emplace(Object.title(), &Object);
  }

  void duplicateNames(const std::vector<RawObject> &Objects) {
    std::map<std::string, const RawObject *> Seen;
    for (const RawObject &Object : Objects) {
      auto [First, Fresh] = Seen.emplace(Object.title(), &Object);
      if (!Fresh)
        m_faults.push_back({Object.m_file, Object.m_line, Object.title(),
                            "name", "is declared twice",
                            "first at " + First->second->m_file + ":" +
                                std::to_string(First->second->m_line)});
    }
  }

  void references() {
    for (const Service &Row : m_set.m_services)
      if (!m_set.findTeam(Row.m_team))
        dangling("Service/" + Row.m_name.value(), "tenant", "Tenant",
                 Row.m_team.value());
    for (const Upstream &Row : m_set.m_upstreams) {
      std::string Title = "Upstream/" + Row.m_name.value();
      if (!m_set.findService(Row.m_service))
        dangling(Title, "service", "Service", Row.m_service.value());
      if (!m_set.findDomain(Row.m_domain))
        dangling(Title, "failureDomain", "FailureDomain", Row.m_domain.value());
    }
    for (const Maintenance &Row : m_set.m_maintenance)
      maintenanceReferences(Row);
  }

  void routes() {
    std::map<std::pair<std::string, std::string>, std::string> Prefixes;
    for (const Route &Row : m_set.m_routes) {
      std::string Title = "Route/" + Row.m_name;
      if (!m_set.findTeam(Row.m_team))
        dangling(Title, "tenant", "Tenant", Row.m_team.value());
      const Service *Target = m_set.findService(Row.m_service);
      if (!Target)
        dangling(Title, "service", "Service", Row.m_service.value());
      else if (Target->m_team != Row.m_team)
        fault(Title, "service", "belongs to tenant " + Target->m_team.value(),
              "route only to services of " + Row.m_team.value());
      std::string Prefix = Row.m_pathPrefix;
      if (Prefix.size() > 1 && Prefix.ends_with('/'))
        Prefix.pop_back();
      auto [First, Fresh] =
          Prefixes.emplace(std::pair(Row.m_team.value(), Prefix), Row.m_name);
      if (!Fresh)
        fault(Title, "pathPrefix",
              "conflicts with Route/" + First->second + " (same prefix)",
              "give each route of a tenant its own prefix");
    }
  }

  void addresses() {
    std::map<Endpoint, std::string> Users;
    for (const Upstream &Row : m_set.m_upstreams)
      claim(Users, Row.m_address, "Upstream/" + Row.m_name.value(), "address");
    std::set<HostId> Hosts;
    for (const FailureDomain &Domain : m_set.m_domains) {
      std::string Title = "FailureDomain/" + Domain.m_name.value();
      for (const FailureDomain::Host &Host : Domain.m_hosts) {
        claim(Users, Host.m_peerAddress, Title, "hosts");
        claim(Users, Host.m_adminAddress, Title, "hosts");
        if (!Hosts.insert(Host.m_name).second)
          fault(Title, "hosts", "names host " + Host.m_name.value() + " again",
                "a host belongs to one failure domain");
      }
    }
  }

  void credentials() {
    std::map<std::string, std::string> Users;
    for (const Team &Row : m_set.m_teams) {
      auto [First, Fresh] =
          Users.emplace(Row.m_tokenSha256, Row.m_name.value());
      if (!Fresh)
        fault("Tenant/" + Row.m_name.value(), "tokenSha256",
              "is also that of Tenant/" + First->second,
              "give each tenant its own token");
    }
  }

  void capacity() {
    for (const Service &Row : m_set.m_services) {
      bool Declared = false;
      bool InService = false;
      for (const Upstream &Server : m_set.m_upstreams) {
        if (Server.m_service != Row.m_name)
          continue;
        Declared = true;
        InService = InService || !m_set.outOfService(Server);
      }
      std::string Title = "Service/" + Row.m_name.value();
      if (!Declared)
        fault(Title, "", "has no upstream", "declare an Upstream for it");
      else if (!InService)
        fault(Title, "", "has no upstream in service",
              "every one is under Maintenance; bring one back first");
    }
  }

  void maintenance() {
    std::map<std::pair<std::string, std::string>, std::string> Targets;
    for (const Maintenance &Row : m_set.m_maintenance) {
      auto [First, Fresh] = Targets.emplace(
          std::pair(Row.m_upstream.value(), Row.m_domain.value()), Row.m_name);
      bool HasTarget =
          Row.m_upstream.value().empty() != Row.m_domain.value().empty();
      if (!Fresh && HasTarget)
        fault("Maintenance/" + Row.m_name, "",
              "is for the same target as Maintenance/" + First->second,
              "keep one of them");
    }
  }

  void lastDomain() {
    if (m_set.m_domains.empty())
      return;
    bool AnyIn = std::any_of(m_set.m_domains.begin(), m_set.m_domains.end(),
                             [this](const FailureDomain &Domain) {
                               return !m_set.domainOut(Domain.m_name);
                             });
    if (!AnyIn)
      fault("FailureDomain/" + m_set.m_domains.back().m_name.value(), "",
            "would be the last failure domain taken out",
            "leave one failure domain in");
  }

private:
  void maintenanceReferences(const Maintenance &Row) {
    std::string Title = "Maintenance/" + Row.m_name;
    const std::string &Server = Row.m_upstream.value();
    if (!Server.empty() && !m_set.findUpstream(Row.m_upstream))
      dangling(Title, "upstream", "Upstream", Server);
    const std::string &Domain = Row.m_domain.value();
    if (!Domain.empty() && !m_set.findDomain(Row.m_domain))
      dangling(Title, "failureDomain", "FailureDomain", Domain);
  }

  void claim(std::map<Endpoint, std::string> &Users, const Endpoint &Where,
             const std::string &Title, const std::string &Field) {
    // Its absence has been reported, or is allowed.
    if (Where.m_port == 0)
      return;
    auto [First, Fresh] = Users.emplace(Where, Title);
    if (!Fresh)
      fault(Title, Field,
            "has address " + toString(Where) + ", which " + First->second +
                " has too",
            "give each its own address");
  }

  void dangling(const std::string &Title, const std::string &Field,
                const std::string &Kind, const std::string &Name) {
    if (!Name.empty())
      fault(Title, Field,
            "refers to " + Kind + "/" + Name + ", which is not declared",
            "declare it or correct the name", Name);
  }

  /// The object of a title; of several, the one whose field has the value.
  const RawObject *findObject(const std::string &Title,
                              const std::string &Field,
                              const std::string &Value) const {
    auto [First, Last] = m_objects.equal_range(Title);
    for (auto Each = First; Each != Last; ++Each) {
      auto Found = Each->second->m_fields.find(Field);
      if (Found != Each->second->m_fields.end() &&
          Found->second.m_values == std::vector<std::string>{Value})
        return Each->second;
    }
    return First == Last ? nullptr : First->second;
  }

  void fault(const std::string &Title, const std::string &Field,
             std::string Problem, std::string Remedy,
             const std::string &Value = "") {
    DeclarationFault Fault{
        "", 0, Title, Field, std::move(Problem), std::move(Remedy)};
    if (const RawObject *Object = findObject(Title, Field, Value)) {
      Fault.m_file = Object->m_file;
      auto Line = Object->m_fields.find(Field);
      Fault.m_line =
          Line == Object->m_fields.end() ? Object->m_line : Line->second.m_line;
    }
    m_faults.push_back(std::move(Fault));
  }

  const Declarations &m_set;
  std::vector<DeclarationFault> &m_faults;
  std::multimap<std::string, const RawObject *> m_objects;
};

} // namespace

void validate(const Declarations &Set, const std::vector<RawObject> &Objects,
              std::vector<DeclarationFault> &Faults) {
  Validator Check(Set, Objects, Faults);
  Check.duplicateNames(Objects);
  Check.references();
  Check.routes();
  Check.addresses();
  Check.credentials();
  Check.capacity();
  Check.maintenance();
  Check.lastDomain();
}

} // namespace detail
} // namespace burdockpulley
