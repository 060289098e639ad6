#ifndef BURDOCKPULLEY_GATEWAY_SETTINGS_H
#define BURDOCKPULLEY_GATEWAY_SETTINGS_H

#include "burdockpulley/types.h"

#include <string>
#include <vector>

namespace burdockpulley {

/// A link of this bandwidth, in Mbit/s, has room for work for other hosts.
constexpr double HighBandwidthMegabits = 50;

/// Settings of one entry host that finds its upstreams in the platform's
/// registry.
struct GatewaySettings {
  HostId m_host;
  DomainId m_domain;
  Endpoint m_listen;                ///< For callers.
  Endpoint m_readyListen;           ///< For the balancer's question.
  Endpoint m_peerListen;            ///< UDP, for the other entry hosts.
  Endpoint m_metricsListen;         ///< An empty address is none.
  Endpoint m_store;                 ///< The platform's store.
  std::size_t m_descriptors = 4096; ///< That the process may open.
  double m_linkMegabits = 1000; ///< Bandwidth of the host's link, per second.
  std::string m_portFile; ///< Where the bound ports are written; may be empty.

  /// An upstream that leaves gets no new work after this time.
  Duration m_drain = std::chrono::seconds(2);
  /// From SIGTERM until the process is killed.
  Duration m_stopTime = std::chrono::seconds(6);
  /// Longest time for which an upstream takes keys.
  Duration m_maxGrantDuration = std::chrono::seconds(10);
  double m_retryRatio = 0.2;
  Duration m_retryWindow = std::chrono::seconds(10);
  double m_retryAllowance = 60;

  /// True when the link has room for work for other hosts: to coordinate, and
  /// to watch the store for the failure domain. Thread safety: safe.
  bool highBandwidth() const { return m_linkMegabits >= HighBandwidthMegabits; }
};

/// What came of reading the settings.
struct GatewaySettingsOutcome {
  GatewaySettings m_settings;
  std::vector<std::string> m_faults; ///< Empty when all is well.
  std::string m_help;                ///< Not empty when help was asked for.
  bool m_print = false;              ///< The settings are to be printed.
};

/// Reads flags; what is not given comes from the environment variable of the
/// same name (--peer-listen: BURDOCKPULLEY_PEER_LISTEN). All faults are
/// reported at once.
/// Thread safety: safe while nobody changes the environment.
GatewaySettingsOutcome readGatewaySettings(int Count, char **Arguments);

/// Writes the settings as one FLAG=VALUE line each. Thread safety: safe.
std::string toString(const GatewaySettings &Settings);

} // namespace burdockpulley

#endif
