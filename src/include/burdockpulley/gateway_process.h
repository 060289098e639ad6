#ifndef BURDOCKPULLEY_GATEWAY_PROCESS_H
#define BURDOCKPULLEY_GATEWAY_PROCESS_H

#include "burdockpulley/gateway_settings.h"
#include "burdockpulley/platform_codec.h"
#include "burdockpulley/store.h"

#include <functional>
#include <memory>

struct event_base;

namespace burdockpulley {

/// Makes an event loop whose timers do not use the coarse clock, which has
/// steps of 4 ms. The caller frees it. Thread safety: safe.
event_base *newEventLoop();

/// Makes a client of the platform's store at an address.
using StoreFactory = std::function<std::unique_ptr<WatchableStore>(
    event_base *, const Endpoint &)>;

/// Runs a GatewayHost in this process until a signal stops it: SIGTERM and
/// SIGINT stop it gracefully, SIGHUP reloads. Returns the exit code of the
/// process.
/// Precondition: called once, from main().
/// Thread safety: not safe.
int runGatewayProcess(const GatewaySettings &Settings,
                      const StoreFactory &MakeStore,
                      std::unique_ptr<PlatformCodec> Codec);

} // namespace burdockpulley

#endif
