#include "document.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace burdockpulley {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

leaf::result<Declarations> finish(const std::vector<detail::RawObject> &Objects,
                                  std::vector<DeclarationFault> Faults) {
  Declarations Set = detail::readObjects(Objects, Faults);
  detail::validate(Set, Objects, Faults);
  if (Faults.empty())
    return Set;
  std::stable_sort(Faults.begin(), Faults.end(),
                   [](const auto &Left, const auto &Right) {
                     return std::tie(Left.m_file, Left.m_line) <
                            std::tie(Right.m_file, Right.m_line);
                   });
  return leaf::new_error(DeclarationFaults{std::move(Faults)});
}

std::int64_t milliseconds(Duration Value) { return Value.count() / 1000; }

json toJson(const Team &Row) {
  return {{"kind", "Tenant"},
          {"name", Row.m_name.value()},
          {"tokenSha256", Row.m_tokenSha256},
          {"weight", Row.m_weight},
          {"maxInFlight", Row.m_maxInFlight}};
}

json toJson(const FailureDomain &Row) {
  json Hosts = json::array();
  for (const FailureDomain::Host &Host : Row.m_hosts) {
    json Object = {{"name", Host.m_name.value()},
                   {"peerAddress", toString(Host.m_peerAddress)}};
    if (Host.m_adminAddress.m_port != 0)
      Object["adminAddress"] = toString(Host.m_adminAddress);
    Hosts.push_back(std::move(Object));
  }
  return {{"kind", "FailureDomain"},
          {"name", Row.m_name.value()},
          {"region", Row.m_region},
          {"hosts", Hosts}};
}

json toJson(const Service &Row) {
  json Object = {{"kind", "Service"},
                 {"name", Row.m_name.value()},
                 {"tenant", Row.m_team.value()},
                 {"deadlineMs", milliseconds(Row.m_deadline)},
                 {"isolationHoldMs", milliseconds(Row.m_isolationHold)},
                 {"maxBodyBytes", Row.m_maxBodyBytes},
                 {"idempotentMethods", Row.m_idempotentMethods},
                 {"bulk", Row.m_bulk}};
  if (!Row.keyed())
    return Object;
  const char *Where = Row.m_keySource == KeySource::Header  ? "header:"
                      : Row.m_keySource == KeySource::Query ? "query:"
                                                            : "path:";
  Object["key"] = Where + Row.m_keyName;
  Object["partitions"] = Row.m_partitions;
  return Object;
}

json toJson(const Upstream &Row) {
  return {{"kind", "Upstream"},
          {"name", Row.m_name.value()},
          {"service", Row.m_service.value()},
          {"failureDomain", Row.m_domain.value()},
          {"address", toString(Row.m_address)},
          {"slots", Row.m_slots},
          {"connections", Row.m_connections},
          {"checksGrants", Row.m_checksGrants},
          {"warmUpMs", milliseconds(Row.m_warmUp)},
          {"probeCostMs", milliseconds(Row.m_probeCost)}};
}

json toJson(const Route &Row) {
  return {{"kind", "Route"},
          {"name", Row.m_name},
          {"tenant", Row.m_team.value()},
          {"pathPrefix", Row.m_pathPrefix},
          {"service", Row.m_service.value()}};
}

json toJson(const Maintenance &Row) {
  json Object = {{"kind", "Maintenance"}, {"name", Row.m_name}};
  if (!Row.m_upstream.value().empty())
    Object["upstream"] = Row.m_upstream.value();
  if (!Row.m_domain.value().empty())
    Object["failureDomain"] = Row.m_domain.value();
  return Object;
}

template <class Table> void append(json &Objects, const Table &Rows) {
  for (const auto &Row : Rows)
    Objects.push_back(toJson(Row));
}

} // namespace

leaf::result<Declarations>
readDeclarations(std::span<const DeclarationSource> Sources) {
  std::vector<DeclarationFault> Faults;
  std::vector<detail::RawObject> Objects;
  for (const DeclarationSource &Source : Sources)
    for (detail::RawObject &Object : detail::readYaml(Source, Faults))
      Objects.push_back(std::move(Object));
  return finish(Objects, std::move(Faults));
}

leaf::result<std::vector<DeclarationSource>>
loadSources(const std::string &Path) {
  namespace fs = std::filesystem;
  std::vector<fs::path> Files;
  std::error_code Error;
  if (fs::is_directory(Path, Error)) {
    for (const fs::directory_entry &Entry : fs::directory_iterator(Path, Error))
      if (Entry.path().extension() == ".yaml")
        Files.push_back(Entry.path());
    std::sort(Files.begin(), Files.end());
  } else {
    Files.push_back(Path);
  }
  std::vector<DeclarationSource> Sources;
  DeclarationFaults Faults;
  for (const fs::path &File : Files) {
    std::ifstream Input(File);
    std::ostringstream Text;
    Text << Input.rdbuf();
    if (Input)
      Sources.push_back({File.string(), Text.str()});
    else
      Faults.m_faults.push_back(
          {File.string(), 0, "", "", "can not be read", "check the path"});
  }
  if (Files.empty())
    Faults.m_faults.push_back(
        {Path, 0, "", "", "holds no *.yaml file", "check the path"});
  if (!Faults.m_faults.empty())
    return leaf::new_error(std::move(Faults));
  return Sources;
}

std::string encodeDeclarations(const Declarations &Set) {
  json Objects = json::array();
  append(Objects, Set.m_teams);
  append(Objects, Set.m_domains);
  append(Objects, Set.m_services);
  append(Objects, Set.m_upstreams);
  append(Objects, Set.m_routes);
  append(Objects, Set.m_maintenance);
  return Objects.dump();
}

leaf::result<Declarations> decodeDeclarations(std::string_view Text) {
  std::vector<DeclarationFault> Faults;
  std::vector<detail::RawObject> Objects = detail::readJson(Text, Faults);
  return finish(Objects, std::move(Faults));
}

} // namespace burdockpulley
