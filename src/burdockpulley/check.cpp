#include "report.h"

#include <nlohmann/json.hpp>

namespace burdockpulley {

ExitCode runCheck(const CommandLine &Line) {
  std::optional<Declarations> Set = loadSet(Line, Line.m_arguments[0]);
  if (!Set)
    return ExitCode::Faulty;
  std::size_t Hosts = 0;
  for (const FailureDomain &Domain : Set->m_domains)
    Hosts += Domain.m_hosts.size();
  printResult(Line,
              {{"tenants", Set->m_teams.size()},
               {"failureDomains", Set->m_domains.size()},
               {"hosts", Hosts},
               {"services", Set->m_services.size()},
               {"upstreams", Set->m_upstreams.size()},
               {"routes", Set->m_routes.size()}},
              "ok: " + std::to_string(Set->m_services.size()) + " services, " +
                  std::to_string(Set->m_upstreams.size()) + " upstreams, " +
                  std::to_string(Set->m_domains.size()) + " failure domains, " +
                  std::to_string(Hosts) + " hosts\n");
  return ExitCode::Good;
}

} // namespace burdockpulley
