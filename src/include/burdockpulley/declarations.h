#ifndef BURDOCKPULLEY_DECLARATIONS_H
#define BURDOCKPULLEY_DECLARATIONS_H

#include "burdockpulley/types.h"

#include <boost/leaf/result.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace burdockpulley {

/// One thing that is wrong in a set of declarations, and what would be right.
struct DeclarationFault {
  std::string m_file;
  int m_line = 0;
  std::string m_object; ///< "Kind/name", or empty when there is no object yet.
  std::string m_field;
  std::string m_problem;
  std::string m_remedy;
};

/// All faults of one set, in file and line order.
struct DeclarationFaults {
  std::vector<DeclarationFault> m_faults;
};

/// Writes a fault as "file:line: object.field: problem; remedy".
/// Thread safety: safe.
std::string toString(const DeclarationFault &Fault);

/// A team that uses the system. It is known by its bearer token.
struct Team {
  TeamId m_name;
  std::string m_tokenSha256; ///< Lower-case hexadecimal.
  std::uint32_t m_weight = 1;
  std::uint32_t m_maxInFlight = 1000;
};

/// Part of the fleet that fails as a whole.
struct FailureDomain {
  struct Host {
    HostId m_name;
    Endpoint m_peerAddress;
    Endpoint m_adminAddress; ///< Port zero when none is declared.
  };

  DomainId m_name;
  std::string m_region;
  std::vector<Host> m_hosts;
};

/// Where the key of a request is found.
enum class KeySource { None, Header, Query, PathSegment };

/// A function that upstreams perform for one team.
struct Service {
  ServiceId m_name;
  TeamId m_team;
  KeySource m_keySource = KeySource::None;
  std::string m_keyName;          ///< Header or query parameter.
  std::uint32_t m_keySegment = 0; ///< Index of the path segment.
  std::uint32_t m_partitions = 0; ///< Zero for a service without keys.
  Duration m_deadline{2'000'000};
  Duration m_isolationHold{1'000'000};
  std::uint64_t m_maxBodyBytes = 1 << 20;
  std::vector<std::string> m_idempotentMethods;
  bool m_bulk = false; ///< Bulk work yields to interactive work.

  bool keyed() const { return m_keySource != KeySource::None; }
};

/// A server that performs a service.
struct Upstream {
  UpstreamId m_name;
  ServiceId m_service;
  DomainId m_domain;
  Endpoint m_address;
  std::uint32_t m_slots = 1;
  std::uint32_t m_connections = 100;
  bool m_checksGrants = true;
  Duration m_warmUp{10'000'000};
  Duration m_probeCost{1'000};
};

/// Sends requests whose path starts with a prefix to a service.
struct Route {
  std::string m_name;
  TeamId m_team;
  std::string m_pathPrefix;
  ServiceId m_service;
};

/// Operators' order that an upstream or a failure domain takes no new work.
struct Maintenance {
  std::string m_name;
  UpstreamId m_upstream; ///< Empty when the order is for a domain.
  DomainId m_domain;     ///< Empty when the order is for an upstream.
};

/// A whole set of declarations: one table a kind, each sorted by name.
class Declarations {
public:
  std::vector<Team> m_teams;
  std::vector<FailureDomain> m_domains;
  std::vector<Service> m_services;
  std::vector<Upstream> m_upstreams;
  std::vector<Route> m_routes;
  std::vector<Maintenance> m_maintenance;

  /// Finds a row by name; null when there is none. The pointer holds until
  /// the table changes.
  /// Thread safety: safe while nobody writes.
  const Team *findTeam(const TeamId &Name) const;
  const FailureDomain *findDomain(const DomainId &Name) const;
  const Service *findService(const ServiceId &Name) const;
  const Upstream *findUpstream(const UpstreamId &Name) const;

  /// True when an operator has taken the upstream, or its domain, out.
  /// Thread safety: safe while nobody writes.
  bool outOfService(const Upstream &Which) const;
  bool domainOut(const DomainId &Name) const;
};

/// A file of declarations as it was read.
struct DeclarationSource {
  std::string m_file;
  std::string m_text;
};

/// Reads and checks a whole set. Every fault of the set is reported at once.
/// Errors: DeclarationFaults.
/// Thread safety: safe.
boost::leaf::result<Declarations>
readDeclarations(std::span<const DeclarationSource> Sources);

/// Reads the *.yaml files of a directory, or one file, in name order.
/// Errors: DeclarationFaults with one fault for each unreadable file.
/// Thread safety: safe.
boost::leaf::result<std::vector<DeclarationSource>>
loadSources(const std::string &Path);

/// Writes a set in the canonical form that is published: JSON, sorted.
/// Thread safety: safe.
std::string encodeDeclarations(const Declarations &Set);

/// Reads the canonical form. It is checked like any other source.
/// Errors: DeclarationFaults.
/// Thread safety: safe.
boost::leaf::result<Declarations> decodeDeclarations(std::string_view Text);

} // namespace burdockpulley

#endif
