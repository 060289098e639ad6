#ifndef BURDOCKPULLEY_ROUTE_TABLE_H
#define BURDOCKPULLEY_ROUTE_TABLE_H

#include "burdockpulley/caller_listener.h"
#include "burdockpulley/team_directory.h"
#include "burdockpulley/types.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace burdockpulley {

/// A service that receives a share of a route's requests.
struct RouteTarget {
  ServiceId m_service;
  double m_weight = 1; ///< Relative to the other targets of the route.
};

/// Operators' settings for the requests below one path of one host name.
struct RouteRule {
  std::string m_name;
  std::string m_host;
  std::string m_prefix;         ///< Begins and ends with a slash.
  bool m_idempotent = false;    ///< May run more than once.
  Duration m_timeout{};         ///< Maximum time until the final response.
  Duration m_latencyGoal{};     ///< Later responses have less value.
  std::uint32_t m_priority = 0; ///< Zero is the most urgent.
  std::uint32_t m_maxAttempts = 1;
  bool m_public = false; ///< Needs no API key.
  std::vector<RouteTarget> m_targets;
};

/// Operators' settings for a service.
struct ServicePolicy {
  ServiceId m_name;
  std::string m_healthPath;
  std::uint32_t m_connectionLimit = 0; ///< Per upstream, over all callers.
  Duration m_coldStart{}; ///< How long an upstream is cold after its start.
  double m_coldRate = 0;  ///< Requests/s that a cold upstream can handle.
  bool m_keyed = false;   ///< Each key is owned by one upstream.
  Duration m_warmUp{};    ///< How long a key is slow after a change of owner
                          ///< without handover.
};

/// One published configuration in the form that hosts route by.
struct RoutingConfiguration {
  Revision m_revision;
  std::vector<RouteRule> m_routes;
  std::map<ServiceId, ServicePolicy> m_services;
  TeamDirectory m_teams;
  CallerLimits m_limits;
};

/// Finds the route of a request in the newest configuration; older
/// configurations are refused.
/// Thread safety: none.
class RouteTable {
public:
  /// Replaces the configuration by a newer one. Returns false, and changes
  /// nothing, when \p Next is not newer.
  bool apply(std::shared_ptr<const RoutingConfiguration> Next);

  /// The configuration in force; null until the first one is applied.
  const std::shared_ptr<const RoutingConfiguration> &current() const {
    return m_current;
  }

  /// The route of the host with the longest prefix of \p Target's path; null
  /// when there is none. Valid as long as the configuration.
  const RouteRule *find(std::string_view Host, std::string_view Target) const;

private:
  std::shared_ptr<const RoutingConfiguration> m_current;
  std::map<std::string, std::vector<const RouteRule *>, std::less<>> m_byHost;
};

/// Distributes the requests of a route over its targets. Over any run of
/// requests, each target's share is as near to its weight as whole requests
/// allow.
/// Thread safety: none.
class TrafficSplitter {
public:
  /// The target of the next request of a route.
  /// Precondition: the route has a target.
  const RouteTarget &next(const RouteRule &Rule);
  /// What next() would return now. Counts nothing.
  /// Precondition: the route has a target.
  const RouteTarget &peek(const RouteRule &Rule) const;

private:
  using Credits = std::map<ServiceId, double>;
  /// Adds the credit of one request to each target, and returns the target that
  /// then has the most.
  static const RouteTarget &addCredits(const RouteRule &Rule, Credits &Of);

  /// Credit of each target, in requests, by route name.
  std::map<std::string, Credits> m_credits;
};

} // namespace burdockpulley

#endif
