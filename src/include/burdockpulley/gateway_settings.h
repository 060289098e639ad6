#ifndef BURDOCKPULLEY_GATEWAY_SETTINGS_H
#define BURDOCKPULLEY_GATEWAY_SETTINGS_H

#include "burdockpulley/team_quota.h"
#include "burdockpulley/types.h"
#include "burdockpulley/upstream_pace.h"

#include <string>
#include <vector>

namespace burdockpulley {

/// Least bandwidth, in Mbit/s, of the link of a host that also does work for
/// other hosts; see GatewaySettings::highBandwidth().
constexpr double HighBandwidthMegabits = 50;

/// Settings of one entry host that finds its upstreams in the platform's
/// registry.
struct GatewaySettings {
  HostId m_host;
  DomainId m_domain;
  Endpoint m_listen;      ///< For callers.
  Endpoint m_readyListen; ///< For the balancer's readiness checks.
  Endpoint m_peerListen;  ///< UDP, for the other entry hosts.
  /// TCP, for requests that other entry hosts forward; this host takes none,
  /// and forwards none, if the address is empty.
  Endpoint m_forwardListen;
  Endpoint m_metricsListen;         ///< No metrics if the address is empty.
  Endpoint m_store;                 ///< The platform's store.
  std::size_t m_descriptors = 4096; ///< Limit on open files and sockets.
  double m_linkMegabits = 1000;     ///< Bandwidth of this host's link, Mbit/s.
  std::size_t m_memoryMegabytes = 256; ///< Memory that this process may use.
  std::string m_portFile; ///< Receives the bound ports; none if empty.

  /// How long an upstream that is leaving still gets new requests.
  Duration m_drain = std::chrono::seconds(2);
  /// Time from SIGTERM until the process is killed.
  Duration m_stopTime = std::chrono::seconds(6);
  /// Longest grant of keys that an upstream accepts.
  Duration m_maxGrantDuration = std::chrono::seconds(10);
  /// Retry budget that all hosts share: retries per request during the window,
  /// and retries per window beside that ratio.
  double m_retryRatio = 0.2;
  Duration m_retryWindow = std::chrono::seconds(10);
  double m_retryAllowance = 60;
  TeamQuota::Settings m_teamQuota;
  /// Slots of services without keys are reserved for the more urgent requests.
  bool m_reserveSlots = false;
  /// Upstreams that start or come back are paced by how they answer. Otherwise
  /// cold ones get a fixed share of their rate.
  bool m_paceUpstreams = false;
  ColdBound m_coldBound;

  /// True if the link has bandwidth for work that this host does for others:
  /// coordinating, and watching the store for its failure domain.
  /// Thread safety: safe.
  bool highBandwidth() const { return m_linkMegabits >= HighBandwidthMegabits; }

  /// Limit for the memory that callers, requests and responses take, in bytes:
  /// five eighths of the memory. Of 160 MB, a body of 64 MiB then stays below
  /// the level from which large bodies are not read. The program and its state
  /// take about 9 MiB; the rest is for the allocator's overhead and for a body
  /// that is copied while it grows. Thread safety: safe.
  std::size_t maxChargedMemory() const {
    return (m_memoryMegabytes << 20) / 8 * 5;
  }

  /// Limit for all responses that are being received, in bytes: an eighth of
  /// the memory. A response that grows is copied, and so takes up to three
  /// times its size for a moment. Thread safety: safe.
  std::size_t maxResponseMemory() const {
    constexpr std::size_t Divisor = 8;
    return (m_memoryMegabytes << 20) / Divisor;
  }
};

/// Result of reading the settings.
struct GatewaySettingsOutcome {
  GatewaySettings m_settings;
  std::vector<std::string> m_faults; ///< Empty if the settings are valid.
  std::string m_help;                ///< Text to print if help was requested.
  bool m_print = false;              ///< Print the settings and exit.
};

/// Reads the settings from flags. A setting without a flag is read from the
/// environment variable of the same name (--peer-listen:
/// BURDOCKPULLEY_PEER_LISTEN). All faults are reported together.
/// Thread safety: safe while no thread changes the environment.
GatewaySettingsOutcome readGatewaySettings(int Count, char **Arguments);

/// Formats the settings, one FLAG=VALUE line each. Thread safety: safe.
std::string toString(const GatewaySettings &Settings);

} // namespace burdockpulley

#endif
