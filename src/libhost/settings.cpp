#include "burdockpulley/settings.h"

#include "burdockpulley/settings_reader.h"

namespace burdockpulley {

namespace {

/// Reads the store's address, or that it is inside the process.
void readPlatform(detail::SettingsReader &Reader, HostSettings &Settings,
                  std::vector<std::string> &Faults) {
  Settings.m_embedded = Reader.text("platform", false) == "embedded";
  if (!Settings.m_embedded)
    Settings.m_platform = Reader.endpoint("platform");
  else if (Settings.m_adminListen.m_address.empty())
    Faults.push_back("--platform embedded needs --admin-listen, where the "
                     "command line reaches the store");
}

cxxopts::Options describeFlags() {
  cxxopts::Options Options(
      "burdockpulleyd",
      "Entry host of burdockpulley. Each flag can be given as an environment "
      "variable too:\n--peer-listen is BURDOCKPULLEY_PEER_LISTEN.");
  Options.add_options()("host", "name of this host in the declarations",
                        cxxopts::value<std::string>())(
      "failure-domain", "failure domain of this host",
      cxxopts::value<std::string>())("listen", "address for callers, IP:PORT",
                                     cxxopts::value<std::string>())(
      "peer-listen", "address for the other hosts, IP:PORT",
      cxxopts::value<std::string>())(
      "admin-listen",
      "address for operators, IP:PORT; tenants must not reach it",
      cxxopts::value<std::string>())(
      "platform",
      "address of the platform's store, IP:PORT; "
      "or embedded, to try out on one host",
      cxxopts::value<std::string>())(
      "trace-endpoint", "collector of spans, OTLP/JSON over HTTP, IP:PORT",
      cxxopts::value<std::string>())(
      "peer-keys", "file with the keys that hosts know each other by",
      cxxopts::value<std::string>())(
      "seeds", "peers to ask while the store is down, IP:PORT,...",
      cxxopts::value<std::string>())("port-file",
                                     "file that gets the bound ports",
                                     cxxopts::value<std::string>())(
      "print-settings", "print the settings and end")("help",
                                                      "print this and end");
  return Options;
}

} // namespace

SettingsOutcome readSettings(int Count, char **Arguments) {
  SettingsOutcome Outcome;
  cxxopts::Options Options = describeFlags();
  try {
    cxxopts::ParseResult Flags = Options.parse(Count, Arguments);
    if (Flags.count("help")) {
      Outcome.m_help = Options.help();
      return Outcome;
    }
    detail::SettingsReader Reader(Flags, Outcome.m_faults);
    HostSettings &Settings = Outcome.m_settings;
    Settings.m_host = HostId(Reader.text("host", true));
    Settings.m_domain = DomainId(Reader.text("failure-domain", true));
    Settings.m_listen = Reader.endpoint("listen");
    Settings.m_peerListen = Reader.endpoint("peer-listen");
    Settings.m_adminListen = Reader.endpoint("admin-listen", false);
    Settings.m_traceEndpoint = Reader.endpoint("trace-endpoint", false);
    readPlatform(Reader, Settings, Outcome.m_faults);
    Settings.m_seeds = Reader.endpoints("seeds");
    Settings.m_peerKeys = Reader.text("peer-keys", false);
    Settings.m_portFile = Reader.text("port-file", false);
    Outcome.m_print = Flags.count("print-settings") != 0;
    for (const std::string &Extra : Flags.unmatched())
      Outcome.m_faults.push_back("unknown argument " + Extra);
  } catch (const cxxopts::exceptions::exception &Problem) {
    Outcome.m_faults.push_back(Problem.what());
  }
  return Outcome;
}

std::string toString(const HostSettings &Settings) {
  std::string Seeds;
  for (const Endpoint &Seed : Settings.m_seeds)
    Seeds += (Seeds.empty() ? "" : ",") + toString(Seed);
  return "host=" + Settings.m_host.value() +
         "\nfailure-domain=" + Settings.m_domain.value() +
         "\nlisten=" + toString(Settings.m_listen) +
         "\npeer-listen=" + toString(Settings.m_peerListen) +
         "\nadmin-listen=" +
         (Settings.m_adminListen.m_address.empty()
              ? ""
              : toString(Settings.m_adminListen)) +
         "\ntrace-endpoint=" +
         (Settings.m_traceEndpoint.m_address.empty()
              ? ""
              : toString(Settings.m_traceEndpoint)) +
         "\nplatform=" +
         (Settings.m_embedded ? "embedded" : toString(Settings.m_platform)) +
         "\nseeds=" + Seeds + "\nport-file=" + Settings.m_portFile + "\n";
}

} // namespace burdockpulley
