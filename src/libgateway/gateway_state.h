#ifndef BURDOCKPULLEY_LIBGATEWAY_GATEWAY_STATE_H
#define BURDOCKPULLEY_LIBGATEWAY_GATEWAY_STATE_H

#include "burdockpulley/channel_pool.h"
#include "burdockpulley/gateway_settings.h"
#include "burdockpulley/key_owners.h"
#include "burdockpulley/memory_budget.h"
#include "burdockpulley/peer_loads.h"
#include "burdockpulley/platform_codec.h"
#include "burdockpulley/response_memory.h"
#include "burdockpulley/route_table.h"
#include "burdockpulley/stop_plan.h"
#include "burdockpulley/team_quota.h"
#include "burdockpulley/team_shares.h"
#include "burdockpulley/upstream_reachability.h"
#include "burdockpulley/upstream_registry.h"
#include "gateway_metrics.h"
#include "peer_transport.h"

#include <algorithm>
#include <optional>

struct event_base;

namespace burdockpulley {

/// State that the components of one entry host share.
/// Thread safety: none; all access is from the event loop's thread.
struct GatewayState {
  GatewayState(event_base *Base, GatewaySettings Settings, PlatformCodec &Codec)
      : m_base(Base), m_settings(std::move(Settings)), m_codec(Codec),
        m_memory(m_settings.maxChargedMemory()),
        m_responseMemory(m_settings.maxResponseMemory(), &m_memory),
        m_peerLoads(m_registry), m_teamQuota(m_settings.m_teamQuota) {}

  event_base *m_base;
  GatewaySettings m_settings;
  PlatformCodec &m_codec;
  /// Charged by callers, requests and responses.
  MemoryBudget m_memory;
  /// Shared by all connections to upstreams.
  ResponseMemory m_responseMemory;
  UpstreamRegistry m_registry;
  UpstreamReachability m_reachability;
  RouteTable m_routes;
  KeyOwners m_owners;
  PeerLoads m_peerLoads;
  TeamQuota m_teamQuota;
  TeamShares m_teamShares;
  GatewayMetrics m_metrics;
  std::optional<StopPlan> m_stop; ///< Set if this process is being stopped.
  /// Expected service time of a request, by service, at an upstream of average
  /// speed.
  std::map<ServiceId, Duration> m_workTimes;

  /// When UpstreamRegistry::pathsLost() has changed last.
  Instant m_pathsChangedAt;
  /// Hosts that may serve requests in place of this one.
  std::vector<ForwardingPeer> m_forwardingPeers;

  /// Number of hosts that the store lists, including this one.
  std::size_t m_registeredHosts = 1;

  /// Settings of the connections that carry callers' requests.
  ChannelPoolSettings requestPoolSettings() {
    ChannelPoolSettings Settings;
    Settings.m_echoHeader = m_codec.headers().m_requestId;
    Settings.m_responseMemory = &m_responseMemory;
    Settings.m_memoryBudget = &m_memory;
    return Settings;
  }

  /// What this host registers about itself.
  HostRecord hostRecord() const {
    HostRecord Record;
    Record.m_peerEndpoint = m_settings.m_peerListen;
    Record.m_domain = m_settings.m_domain;
    Record.m_highBandwidth = m_settings.highBandwidth();
    Record.m_forwardEndpoint = m_settings.m_forwardListen;
    Record.m_relays = Record.m_teams = true;
    return Record;
  }

  /// The hosts that share limits which each of them has to keep.
  LimitSharers limitSharers() const {
    LimitSharers Sharers;
    Sharers.m_reporting = hosts();
    Sharers.m_registered = m_registeredHosts;
    Sharers.m_reportInterval = statusInterval(m_peerLoads.hosts()) *
                               static_cast<int>(RemoteStatusPeriod);
    return Sharers;
  }

  /// Number of hosts whose load is known, including this one.
  std::size_t hosts() const { return m_peerLoads.hosts() + 1; }

  /// Number of hosts that have equal shares of a limit, including this one and
  /// hosts that it does not hear: those may be cut off and still serve callers.
  std::size_t sharingHosts() const {
    return std::max(hosts(), m_registeredHosts);
  }
};

} // namespace burdockpulley

#endif
