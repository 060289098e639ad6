#include "burdockpulley/entry_host.h"
#include "burdockpulley/event_log.h"

#include <event2/event.h>

#include <csignal>
#include <cstdio>

using namespace burdockpulley;

namespace {

constexpr int UsageExit = 2;

void onSignal(int, short, void *Host) {
  static_cast<EntryHost *>(Host)->stop();
}

/// A loop whose timers do not use the coarse clock, which has steps of 4 ms.
event_base *newLoop() {
  event_config *Config = event_config_new();
  event_config_set_flag(Config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base *Base = event_base_new_with_config(Config);
  event_config_free(Config);
  return Base;
}

int run(const HostSettings &Settings) {
  openEventLog(Settings.m_host.value());
  event_base *Base = newLoop();
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

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  SettingsOutcome Outcome = readSettings(Count, Arguments);
  if (!Outcome.m_help.empty()) {
    std::fputs(Outcome.m_help.c_str(), stdout);
    return 0;
  }
  for (const std::string &Fault : Outcome.m_faults)
    std::fprintf(stderr, "burdockpulleyd: %s\n", Fault.c_str());
  if (!Outcome.m_faults.empty())
    return UsageExit;
  if (Outcome.m_print) {
    std::fputs(toString(Outcome.m_settings).c_str(), stdout);
    return 0;
  }
  return run(Outcome.m_settings);
}
