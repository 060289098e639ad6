#include "burdockpulley/gateway_process.h"

#include "burdockpulley/event_log.h"
#include "burdockpulley/gateway_host.h"
#include "burdockpulley/memory_budget.h"

#include <event2/event.h>

#include <csignal>

namespace burdockpulley {

namespace {

void onSignal(int Number, short, void *Host) {
  auto *Which = static_cast<GatewayHost *>(Host);
  if (Number == SIGHUP)
    Which->reload();
  else
    Which->stop();
}

} // namespace

event_base *newEventLoop() {
  event_config *Config = event_config_new();
  event_config_set_flag(Config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base *Base = event_base_new_with_config(Config);
  event_config_free(Config);
  return Base;
}

int runGatewayProcess(const GatewaySettings &Settings,
                      const StoreFactory &MakeStore,
                      std::unique_ptr<PlatformCodec> Codec) {
  configureAllocator();
  openEventLog(Settings.m_host.value());
  bufferEventLog();
  event_base *Base = newEventLoop();
  int Code = 0;
  {
    GatewayHost Host(Base, Settings, MakeStore(Base, Settings.m_store),
                     std::move(Codec));
    constexpr int Signals[] = {SIGTERM, SIGINT, SIGHUP};
    event *Events[std::size(Signals)];
    for (std::size_t I = 0; I < std::size(Signals); ++I) {
      Events[I] = evsignal_new(Base, Signals[I], onSignal, &Host);
      event_add(Events[I], nullptr);
    }
    if (Host.start())
      event_base_dispatch(Base);
    else
      Code = 1;
    for (event *Each : Events)
      event_free(Each);
  }
  event_base_free(Base);
  return Code;
}

} // namespace burdockpulley
