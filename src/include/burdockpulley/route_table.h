#ifndef BURDOCKPULLEY_ROUTE_TABLE_H
#define BURDOCKPULLEY_ROUTE_TABLE_H

#include "burdockpulley/caller_listener.h"
#include "burdockpulley/types.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace burdockpulley {

/// A service among which a route divides its requests, and its share.
struct RouteTarget {
  ServiceId m_service;
  double m_weight = 1;
};

/// What operators say of the requests below one path.
struct RouteRule {
  std::string m_name;
  std::string m_host;
  std::string m_prefix;         ///< Begins and ends with a slash.
  bool m_idempotent = false;    ///< May run more than once.
  Duration m_timeout{};         ///< Longest time until the final answer.
  Duration m_latencyGoal{};     ///< Answers within it are worth most.
  std::uint32_t m_priority = 0; ///< Zero is the most urgent.
  std::uint32_t m_maxAttempts = 1;
  std::vector<RouteTarget> m_targets;
};

/// What operators say of a service.
struct ServicePolicy {
  ServiceId m_name;
  std::string m_healthPath;
  std::uint32_t m_connectionLimit = 0; ///< Per upstream, over all callers.
  Duration m_coldStart{};              ///< How long a start stays cold.
  double m_coldRate = 0; ///< Requests a second that a cold upstream bears.
  bool m_keyed = false;  ///< Each key is owned by one upstream.
  Duration m_warmUp{};   ///< How long keys without a handover are slow.
};

/// One published configuration as entry hosts use it.
struct RoutingConfiguration {
  Revision m_revision;
  std::vector<RouteRule> m_routes;
  std::map<ServiceId, ServicePolicy> m_services;
  CallerLimits m_limits;
};

/// Finds the route of a request. The newest configuration stays in force;
/// older ones are refused.
/// Thread safety: none.
class RouteTable {
public:
  /// Takes a configuration that is newer than the one in force. False, and no
  /// change, when it is not.
  bool apply(std::shared_ptr<const RoutingConfiguration> Next);

  /// Null until the first configuration has come.
  const std::shared_ptr<const RoutingConfiguration> &current() const {
    return m_current;
  }

  /// The route of the host with the longest prefix of \p Target's path; null
  /// when there is none. It lives as long as the configuration.
  const RouteRule *find(std::string_view Host, std::string_view Target) const;

private:
  std::shared_ptr<const RoutingConfiguration> m_current;
  std::map<std::string, std::vector<const RouteRule *>, std::less<>> m_byHost;
};

/// Divides the requests of routes among their targets so that, over any run
/// of requests, each target's share is as near to its weight as whole requests
/// allow.
/// Thread safety: none.
class TrafficSplitter {
public:
  /// The target of the next request of a route.
  /// Precondition: the route has a target.
  const RouteTarget &next(const RouteRule &Which);

private:
  /// What each target is owed, in requests, by route name.
  std::map<std::string, std::map<ServiceId, double>> m_owed;
};

} // namespace burdockpulley

#endif
