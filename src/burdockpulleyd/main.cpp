#include "burdockpulley/entry_host.h"
#include "burdockpulley/event_log.h"
#include "burdockpulley/gateway_process.h"
#include "platform/platform.h"

#include <event2/event.h>

#include <csignal>
#include <cstdio>
#include <string_view>

using namespace burdockpulley;

namespace {

constexpr int UsageExit = 2;

void onSignal(int, short, void *Host) {
  static_cast<EntryHost *>(Host)->stop();
}

int run(const HostSettings &Settings) {
  openEventLog(Settings.m_host.value());
  event_base *Base = newEventLoop();
  int Code = 0;
  {
    EntryHost Host(Base, Settings);
    event *Terminate = evsignal_new(Base, SIGTERM, onSignal, &Host);
    event *Interrupt = evsignal_new(Base, SIGINT, onSignal, &Host);
    event_add(Terminate, nullptr);
    event_add(Interrupt, nullptr);
    if (Host.start())
      event_base_dispatch(Base);
    else
      Code = 1;
    event_free(Terminate);
    event_free(Interrupt);
  }
  event_base_free(Base);
  return Code;
}

int runGateway(const GatewaySettings &Settings) {
  return runGatewayProcess(Settings, platform::makeStore,
                           platform::makePlatformCodec());
}

/// Prints help, faults or settings, or runs the program with the settings.
template <class Outcome, class Run>
int proceed(const Outcome &Read, Run RunWith) {
  if (!Read.m_help.empty()) {
    std::fputs(Read.m_help.c_str(), stdout);
    return 0;
  }
  for (const std::string &Fault : Read.m_faults)
    std::fprintf(stderr, "burdockpulleyd: %s\n", Fault.c_str());
  if (!Read.m_faults.empty())
    return UsageExit;
  if (Read.m_print) {
    std::fputs(toString(Read.m_settings).c_str(), stdout);
    return 0;
  }
  return RunWith(Read.m_settings);
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  constexpr std::string_view RegistryMode = "registry";
  if (Count > 1 && Arguments[1] == RegistryMode)
    return proceed(readGatewaySettings(Count - 1, Arguments + 1), runGateway);
  return proceed(readSettings(Count, Arguments), run);
}
