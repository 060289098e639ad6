#include "burdockpulley/settings.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <sstream>

namespace burdockpulley {

namespace {

/// Takes values from flags or the environment and collects the faults.
class SettingsReader {
public:
  SettingsReader(const cxxopts::ParseResult &Flags,
                 std::vector<std::string> &Faults)
      : m_flags(Flags), m_faults(Faults) {}

  std::string text(const std::string &Name, bool Required) {
    if (m_flags.count(Name))
      return m_flags[Name].as<std::string>();
    const char *Value = std::getenv(variable(Name).c_str());
    if (Value)
      return Value;
    if (Required)
      m_faults.push_back("--" + Name + " (or " + variable(Name) +
                         ") is missing");
    return "";
  }

  Endpoint endpoint(const std::string &Name, bool Required = true) {
    Endpoint Where;
    std::string Text = text(Name, Required);
    if (!Text.empty() && !parseEndpoint(Text, Where))
      m_faults.push_back("--" + Name + " is " + Text +
                         "; write IP-ADDRESS:PORT");
    return Where;
  }

  std::vector<Endpoint> endpoints(const std::string &Name) {
    std::vector<Endpoint> All;
    std::stringstream Text(text(Name, false));
    for (std::string Part; std::getline(Text, Part, ',');) {
      Endpoint Where;
      if (parseEndpoint(Part, Where))
        All.push_back(Where);
      else
        m_faults.push_back("--" + Name + " has " + Part +
                           "; write IP-ADDRESS:PORT,...");
    }
    return All;
  }

  /// Reads the store's address, or that it is inside the process.
  void platform(HostSettings &Settings) {
    Settings.m_embedded = text("platform", false) == "embedded";
    if (!Settings.m_embedded)
      Settings.m_platform = endpoint("platform");
    else if (Settings.m_adminListen.m_address.empty())
      m_faults.push_back("--platform embedded needs --admin-listen, where the "
                         "command line reaches the store");
  }

private:
  static std::string variable(const std::string &Name) {
    std::string Variable = "BURDOCKPULLEY_";
    for (char Letter : Name)
      Variable += Letter == '-' ? '_' : static_cast<char>(std::toupper(Letter));
    return Variable;
  }

  const cxxopts::ParseResult &m_flags;
  std::vector<std::string> &m_faults;
};

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
    SettingsReader Reader(Flags, Outcome.m_faults);
    HostSettings &Settings = Outcome.m_settings;
    Settings.m_host = HostId(Reader.text("host", true));
    Settings.m_domain = DomainId(Reader.text("failure-domain", true));
    Settings.m_listen = Reader.endpoint("listen");
    Settings.m_peerListen = Reader.endpoint("peer-listen");
    Settings.m_adminListen = Reader.endpoint("admin-listen", false);
    Settings.m_traceEndpoint = Reader.endpoint("trace-endpoint", false);
    Reader.platform(Settings);
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
