#ifndef BURDOCKPULLEY_SETTINGS_H
#define BURDOCKPULLEY_SETTINGS_H

#include "burdockpulley/types.h"

#include <string>
#include <vector>

namespace burdockpulley {

/// Settings of one entry host process, from flags and environment variables.
struct HostSettings {
  HostId m_host;
  DomainId m_domain;
  Endpoint m_listen;        ///< For callers.
  Endpoint m_peerListen;    ///< For the other entry hosts.
  Endpoint m_adminListen;   ///< For operators; an empty address is none.
  Endpoint m_traceEndpoint; ///< OTLP/HTTP collector; an empty address is none.
  Endpoint m_platform;      ///< The platform's store.
  bool m_embedded = false;  ///< The store is inside the process.
  /// Peers that are asked for the configuration while the store is down.
  std::vector<Endpoint> m_seeds;
  std::string m_peerKeys; ///< File of keys, or the keys; may be empty.
  std::string m_portFile; ///< Where the bound ports are written; may be empty.
};

/// What came of reading the settings.
struct SettingsOutcome {
  HostSettings m_settings;
  std::vector<std::string> m_faults; ///< Empty when all is well.
  std::string m_help;                ///< Not empty when help was asked for.
  bool m_print = false;              ///< The settings are to be printed.
};

/// Reads flags; what is not given comes from the environment variable of the
/// same name (--peer-listen: BURDOCKPULLEY_PEER_LISTEN). All faults are
/// reported at once.
/// Thread safety: safe while nobody changes the environment.
SettingsOutcome readSettings(int Count, char **Arguments);

/// Writes the settings as one FLAG=VALUE line each.
/// Thread safety: safe.
std::string toString(const HostSettings &Settings);

} // namespace burdockpulley

#endif
