#include "document.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <set>

namespace burdockpulley {
namespace detail {

namespace {

using Fields = std::map<std::string, RawField>;

constexpr std::uint32_t DefaultPartitions = 256;
constexpr std::size_t MaxNameLength = 63;
constexpr std::array<const char *, 7> Methods = {
    "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"};

/// Names stand in keys of the store, in paths and in metrics.
bool goodName(const std::string &Name) {
  return Name.size() <= MaxNameLength &&
         std::all_of(Name.begin(), Name.end(), [](unsigned char Letter) {
           return std::isalnum(Letter) || Letter == '-' || Letter == '.' ||
                  Letter == '_';
         });
}

/// Reads the fields of one object and reports what is wrong with them.
class FieldReader {
public:
  FieldReader(const RawObject &Object, const Fields &Source,
              std::vector<DeclarationFault> &Faults)
      : m_object(Object), m_source(Source), m_faults(Faults),
        m_line(Object.m_line) {
    if (&Source == &Object.m_fields || Source.empty())
      return;
    m_line = Source.begin()->second.m_line;
    for (const auto &[Name, Field] : Source)
      m_line = std::min(m_line, Field.m_line);
  }

  const RawField *find(const std::string &Name, bool Required) {
    m_known.insert(Name);
    auto Found = m_source.find(Name);
    if (Found != m_source.end())
      return &Found->second;
    if (Required)
      fault(m_line, Name, "is missing", "add it");
    return nullptr;
  }

  std::string text(const std::string &Name, bool Required) {
    const RawField *Field = find(Name, Required);
    if (!Field)
      return "";
    if (Field->m_list || Field->m_values.size() != 1) {
      fault(Field->m_line, Name, "is not one value", "write one value");
      return "";
    }
    return Field->m_values.front();
  }

  std::vector<std::string> list(const std::string &Name) {
    const RawField *Field = find(Name, false);
    return Field ? Field->m_values : std::vector<std::string>();
  }

  /// Reads a whole number within bounds, or keeps the default.
  template <class Number>
  void number(const std::string &Name, Number &Value, Number Low, Number High) {
    std::string Text = text(Name, false);
    if (Text.empty())
      return;
    Number Read{};
    auto [Stop, Error] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Read);
    bool Good = Error == std::errc() && Stop == Text.data() + Text.size() &&
                Read >= Low && Read <= High;
    if (Good) {
      Value = Read;
      return;
    }
    fault(line(Name), Name, "is " + Text,
          "write a whole number from " + std::to_string(Low) + " to " +
              std::to_string(High));
  }

  void milliseconds(const std::string &Name, Duration &Value,
                    std::int64_t Low = 1) {
    std::int64_t Count = Value.count() / 1000;
    number<std::int64_t>(Name, Count, Low, 3'600'000);
    Value = Duration(Count * 1000);
  }

  void flag(const std::string &Name, bool &Value) {
    std::string Text = text(Name, false);
    if (Text == "true" || Text == "false")
      Value = Text == "true";
    else if (!Text.empty())
      fault(line(Name), Name, "is " + Text, "write true or false");
  }

  void endpoint(const std::string &Name, Endpoint &Value,
                bool Required = true) {
    std::string Text = text(Name, Required);
    if (!Text.empty() && !parseEndpoint(Text, Value))
      fault(line(Name), Name, "is " + Text, "write IP-ADDRESS:PORT");
  }

  void fault(int Line, const std::string &Name, std::string Problem,
             std::string Remedy) {
    m_faults.push_back({m_object.m_file, Line, m_object.title(), Name,
                        std::move(Problem), std::move(Remedy)});
  }

  int line(const std::string &Name) const {
    auto Found = m_source.find(Name);
    return Found == m_source.end() ? m_line : Found->second.m_line;
  }

  /// Reports every field that nobody asked for.
  void finish() {
    for (const auto &[Name, Field] : m_source) {
      if (Field.m_repeated)
        fault(Field.m_line, Name, "is written twice", "write it once");
      if (m_known.count(Name))
        continue;
      std::string Known;
      for (const std::string &Each : m_known)
        Known += (Known.empty() ? "" : ", ") + Each;
      fault(Field.m_line, Name, "is not a field of " + m_object.m_kind,
            "known fields: " + Known);
    }
  }

private:
  const RawObject &m_object;
  const Fields &m_source;
  std::vector<DeclarationFault> &m_faults;
  int m_line; ///< Of the object, or of the nested one.
  std::set<std::string> m_known;
};

void readTeam(FieldReader &Reader, const std::string &Name, Declarations &Set) {
  Team Row{TeamId(Name)};
  Row.m_tokenSha256 = Reader.text("tokenSha256", true);
  bool Digest = Row.m_tokenSha256.size() == 64 &&
                Row.m_tokenSha256.find_first_not_of("0123456789abcdef") ==
                    std::string::npos;
  if (!Row.m_tokenSha256.empty() && !Digest)
    Reader.fault(Reader.line("tokenSha256"), "tokenSha256",
                 "is not a SHA-256 digest",
                 "write 64 lower-case hexadecimal digits");
  Reader.number<std::uint32_t>("weight", Row.m_weight, 1, 1000);
  Reader.number<std::uint32_t>("maxInFlight", Row.m_maxInFlight, 1, 1'000'000);
  Set.m_teams.push_back(std::move(Row));
}

void readDomain(FieldReader &Reader, const RawObject &Object, Declarations &Set,
                std::vector<DeclarationFault> &Faults) {
  FailureDomain Row{DomainId(Object.m_name), "", {}};
  Row.m_region = Reader.text("region", true);
  if (const RawField *Hosts = Reader.find("hosts", true)) {
    for (const Fields &Entry : Hosts->m_objects) {
      FieldReader Nested(Object, Entry, Faults);
      FailureDomain::Host Host;
      Host.m_name = HostId(Nested.text("name", true));
      Nested.endpoint("peerAddress", Host.m_peerAddress);
      Nested.endpoint("adminAddress", Host.m_adminAddress, false);
      Nested.finish();
      Row.m_hosts.push_back(std::move(Host));
    }
    if (Hosts->m_objects.empty())
      Reader.fault(Hosts->m_line, "hosts", "is empty",
                   "list name and peerAddress of each entry host");
  }
  Set.m_domains.push_back(std::move(Row));
}

/// Reads "header:NAME", "query:NAME" or "path:INDEX".
void readKey(FieldReader &Reader, Service &Row) {
  std::string Text = Reader.text("key", false);
  if (Text.empty())
    return;
  std::size_t Colon = Text.find(':');
  std::string Where = Text.substr(0, Colon);
  std::string What = Colon == std::string::npos ? "" : Text.substr(Colon + 1);
  if (Where == "header" && !What.empty())
    Row.m_keySource = KeySource::Header;
  else if (Where == "query" && !What.empty())
    Row.m_keySource = KeySource::Query;
  else if (Where == "path" && What.size() == 1 && What[0] >= '0' &&
           What[0] <= '9')
    Row.m_keySource = KeySource::PathSegment;
  else
    Reader.fault(Reader.line("key"), "key", "is " + Text,
                 "write header:NAME, query:NAME or path:0 to path:9");
  if (Row.m_keySource == KeySource::PathSegment)
    Row.m_keySegment = What[0] - '0';
  Row.m_keyName = What;
}

void readMethods(FieldReader &Reader, Service &Row) {
  Row.m_idempotentMethods = Reader.list("idempotentMethods");
  for (const std::string &Method : Row.m_idempotentMethods)
    if (std::none_of(Methods.begin(), Methods.end(),
                     [&](const char *Known) { return Method == Known; }))
      Reader.fault(Reader.line("idempotentMethods"), "idempotentMethods",
                   "has " + Method,
                   "write GET, HEAD, OPTIONS, PUT, DELETE, POST or PATCH");
}

void readService(FieldReader &Reader, const std::string &Name,
                 Declarations &Set) {
  Service Row;
  Row.m_name = ServiceId(Name);
  Row.m_team = TeamId(Reader.text("tenant", true));
  readKey(Reader, Row);
  if (Row.keyed())
    Row.m_partitions = DefaultPartitions;
  Reader.number<std::uint32_t>("partitions", Row.m_partitions, 1, 65536);
  if (!Row.keyed() && Row.m_partitions != 0)
    Reader.fault(Reader.line("partitions"), "partitions",
                 "stands in a service without key",
                 "write key too, or leave partitions out");
  Reader.milliseconds("deadlineMs", Row.m_deadline);
  Reader.milliseconds("isolationHoldMs", Row.m_isolationHold, 200);
  Reader.number<std::uint64_t>("maxBodyBytes", Row.m_maxBodyBytes, 0,
                               std::uint64_t(1) << 30);
  readMethods(Reader, Row);
  Reader.flag("bulk", Row.m_bulk);
  Set.m_services.push_back(std::move(Row));
}

void readUpstream(FieldReader &Reader, const std::string &Name,
                  Declarations &Set) {
  Upstream Row;
  Row.m_name = UpstreamId(Name);
  Row.m_service = ServiceId(Reader.text("service", true));
  Row.m_domain = DomainId(Reader.text("failureDomain", true));
  Reader.endpoint("address", Row.m_address);
  Reader.number<std::uint32_t>("slots", Row.m_slots, 1, 100'000);
  Reader.number<std::uint32_t>("connections", Row.m_connections, 1, 100'000);
  Reader.flag("checksGrants", Row.m_checksGrants);
  Reader.milliseconds("warmUpMs", Row.m_warmUp, 0);
  Reader.milliseconds("probeCostMs", Row.m_probeCost, 0);
  Set.m_upstreams.push_back(std::move(Row));
}

void readRoute(FieldReader &Reader, const std::string &Name,
               Declarations &Set) {
  Route Row;
  Row.m_name = Name;
  Row.m_team = TeamId(Reader.text("tenant", true));
  Row.m_pathPrefix = Reader.text("pathPrefix", true);
  const std::string &Prefix = Row.m_pathPrefix;
  bool Path = Prefix.empty() || Prefix[0] == '/';
  bool Plain = Prefix.find_first_of("?#% ") == std::string::npos &&
               Prefix.find("//") == std::string::npos &&
               Prefix.find("/.") == std::string::npos;
  if (!Path || !Plain)
    Reader.fault(Reader.line("pathPrefix"), "pathPrefix", "is " + Prefix,
                 "start it with /, without query, escapes, // or dots");
  Row.m_service = ServiceId(Reader.text("service", true));
  Set.m_routes.push_back(std::move(Row));
}

void readMaintenance(FieldReader &Reader, const std::string &Name,
                     Declarations &Set) {
  Maintenance Row;
  Row.m_name = Name;
  Row.m_upstream = UpstreamId(Reader.text("upstream", false));
  Row.m_domain = DomainId(Reader.text("failureDomain", false));
  if (Row.m_upstream.value().empty() == Row.m_domain.value().empty())
    Reader.fault(Reader.line("upstream"), "", "names no one target",
                 "write either upstream or failureDomain");
  Set.m_maintenance.push_back(std::move(Row));
}

template <class Table> void sortByName(Table &Rows) {
  std::stable_sort(Rows.begin(), Rows.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.m_name < Right.m_name;
                   });
}

} // namespace

Declarations readObjects(const std::vector<RawObject> &Objects,
                         std::vector<DeclarationFault> &Faults) {
  Declarations Set;
  for (const RawObject &Object : Objects) {
    FieldReader Reader(Object, Object.m_fields, Faults);
    if (!goodName(Object.m_name))
      Reader.fault(Object.m_line, "name", "is " + Object.m_name,
                   "write at most 63 letters, digits, '-', '.' or '_'");
    if (Object.m_kind == "Tenant")
      readTeam(Reader, Object.m_name, Set);
    else if (Object.m_kind == "FailureDomain")
      readDomain(Reader, Object, Set, Faults);
    else if (Object.m_kind == "Service")
      readService(Reader, Object.m_name, Set);
    else if (Object.m_kind == "Upstream")
      readUpstream(Reader, Object.m_name, Set);
    else if (Object.m_kind == "Route")
      readRoute(Reader, Object.m_name, Set);
    else if (Object.m_kind == "Maintenance")
      readMaintenance(Reader, Object.m_name, Set);
    else {
      if (!Object.m_kind.empty())
        Reader.fault(Object.m_line, "kind", "is not a kind of object",
                     "write Tenant, FailureDomain, Service, Upstream, Route "
                     "or Maintenance");
      continue;
    }
    Reader.finish();
  }
  sortByName(Set.m_teams);
  sortByName(Set.m_domains);
  sortByName(Set.m_services);
  sortByName(Set.m_upstreams);
  sortByName(Set.m_routes);
  sortByName(Set.m_maintenance);
  return Set;
}

} // namespace detail
} // namespace burdockpulley
