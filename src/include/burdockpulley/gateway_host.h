#ifndef BURDOCKPULLEY_GATEWAY_HOST_H
#define BURDOCKPULLEY_GATEWAY_HOST_H

#include "burdockpulley/gateway_settings.h"
#include "burdockpulley/platform_codec.h"
#include "burdockpulley/store.h"

#include <memory>

struct event_base;

namespace burdockpulley {

/// One entry host that finds its upstreams in the platform's registry.
///
/// The host accepts callers' requests, forwards each to an eligible upstream
/// and relays the response. One of the hosts, the coordinator, assigns the keys
/// of sharded services to upstreams. A host keeps no state of its own on disk:
/// everything that must survive a restart is in the platform's store.
/// Thread safety: none; all calls come from the event loop's thread.
class GatewayHost {
public:
  /// Precondition: \p Base outlives the host.
  GatewayHost(event_base *Base, const GatewaySettings &Settings,
              std::unique_ptr<WatchableStore> Store,
              std::unique_ptr<PlatformCodec> Codec);
  ~GatewayHost();
  GatewayHost(const GatewayHost &) = delete;
  GatewayHost &operator=(const GatewayHost &) = delete;

  /// Binds the listening sockets and starts to serve. Returns false when an
  /// address cannot be bound.
  bool start();

  /// Shuts down gracefully: resigns as coordinator, lets the load balancer take
  /// the host out, waits for requests in flight up to
  /// GatewaySettings::m_stopTime, and then breaks the event loop.
  void stop();

  /// Handles the platform's notice of changed settings. The settings of this
  /// process are fixed by its command line, so the notice is only logged.
  void reload();

private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

} // namespace burdockpulley

#endif
