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
/// It takes callers' requests, sends each to an upstream that may run it, and
/// brings the answer back. One of the hosts gives out the keys of services that
/// are divided by key. Nothing is kept on the host: all that must last stands
/// in the store.
/// Thread safety: none; it belongs to the loop's thread.
class GatewayHost {
public:
  /// Precondition: \p Base outlives the host.
  GatewayHost(event_base *Base, const GatewaySettings &Settings,
              std::unique_ptr<WatchableStore> Source,
              std::unique_ptr<PlatformCodec> Codec);
  ~GatewayHost();
  GatewayHost(const GatewayHost &) = delete;
  GatewayHost &operator=(const GatewayHost &) = delete;

  /// Begins to serve. False when an address can not be had.
  bool start();

  /// Takes no new work any more, ends what is in flight, and then leaves the
  /// loop.
  void stop();

  /// The platform says that its settings have changed. This process has its
  /// settings from its command line, for good; it only logs.
  void reload();

private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

} // namespace burdockpulley

#endif
