#include "burdockpulley/gateway_settings.h"

#include "burdockpulley/settings_reader.h"

namespace burdockpulley {

namespace {

cxxopts::Options describeFlags() {
  using Text = std::string;
  cxxopts::Options Options(
      "burdockpulleyd registry",
      "Entry host that finds upstreams in the platform's registry. Each flag "
      "can also be set by an\nenvironment variable: --peer-listen is "
      "BURDOCKPULLEY_PEER_LISTEN.");
  auto Add = Options.add_options();
  Add("host", "name of this host", cxxopts::value<Text>());
  Add("failure-domain", "failure domain of this host", cxxopts::value<Text>());
  Add("listen", "address for callers, IP:PORT", cxxopts::value<Text>());
  Add("ready-listen", "address for the balancer's readiness checks, IP:PORT",
      cxxopts::value<Text>());
  Add("peer-listen", "UDP address for the other hosts, IP:PORT",
      cxxopts::value<Text>());
  Add("forward-listen",
      "TCP address for requests that other hosts forward, IP:PORT",
      cxxopts::value<Text>());
  Add("metrics-listen", "address for metrics, IP:PORT", cxxopts::value<Text>());
  Add("store", "address of the platform's store, IP:PORT",
      cxxopts::value<Text>());
  Add("descriptors", "limit on open files and sockets", cxxopts::value<Text>());
  Add("link-megabits", "bandwidth of this host's link, Mbit/s",
      cxxopts::value<Text>());
  Add("memory-megabytes", "memory that this process may use, MiB",
      cxxopts::value<Text>());
  Add("drain", "how long a leaving upstream still gets new requests",
      cxxopts::value<Text>());
  Add("stop-time", "time from SIGTERM until the process is killed",
      cxxopts::value<Text>());
  Add("max-hold", "longest grant of keys that an upstream accepts",
      cxxopts::value<Text>());
  Add("retry-ratio", "retries per request, over all hosts",
      cxxopts::value<Text>());
  Add("retry-window", "time over which retries are counted",
      cxxopts::value<Text>());
  Add("retry-allowance", "retries per window beside the ratio, over all hosts",
      cxxopts::value<Text>());
  Add("quota-window", "time over which a team's requests are counted",
      cxxopts::value<Text>());
  Add("quota-overage", "share by which a team may exceed its quota",
      cxxopts::value<Text>());
  Add("quota-slack", "requests per window by which a team may exceed it",
      cxxopts::value<Text>());
  Add("reserve-slots",
      "reserve slots for the more urgent requests of a service");
  Add("pace-upstreams",
      "pace upstreams that start or come back by how they answer");
  Add("cold-overage",
      "factor by which a cold upstream may get more than its rate",
      cxxopts::value<Text>());
  Add("cold-slack", "requests per second that it may get beyond that",
      cxxopts::value<Text>());
  Add("port-file", "file to which the bound ports are written",
      cxxopts::value<Text>());
  Add("print-settings", "print the settings and exit");
  Add("help", "print this help and exit");
  return Options;
}

void readAll(detail::SettingsReader &Reader, GatewaySettings &Settings) {
  Settings.m_host = HostId(Reader.text("host", true));
  Settings.m_domain = DomainId(Reader.text("failure-domain", true));
  Settings.m_listen = Reader.endpoint("listen");
  Settings.m_readyListen = Reader.endpoint("ready-listen");
  Settings.m_peerListen = Reader.endpoint("peer-listen");
  Settings.m_forwardListen = Reader.endpoint("forward-listen", false);
  Settings.m_metricsListen = Reader.endpoint("metrics-listen", false);
  Settings.m_store = Reader.endpoint("store");
  Reader.number("descriptors", Settings.m_descriptors);
  Reader.number("link-megabits", Settings.m_linkMegabits);
  Reader.number("memory-megabytes", Settings.m_memoryMegabytes);
  Settings.m_portFile = Reader.text("port-file", false);
  Reader.duration("drain", Settings.m_drain);
  Reader.duration("stop-time", Settings.m_stopTime);
  Reader.duration("max-hold", Settings.m_maxGrantDuration);
  Reader.number("retry-ratio", Settings.m_retryRatio);
  Reader.duration("retry-window", Settings.m_retryWindow);
  Reader.number("retry-allowance", Settings.m_retryAllowance);
  Reader.duration("quota-window", Settings.m_teamQuota.m_window);
  Reader.number("quota-overage", Settings.m_teamQuota.m_overage);
  Reader.number("quota-slack", Settings.m_teamQuota.m_slack);
  Reader.number("cold-overage", Settings.m_coldBound.m_overage);
  Reader.number("cold-slack", Settings.m_coldBound.m_slack);
}

std::string milliseconds(Duration Time) {
  return std::to_string(Time.count() / 1000) + "ms";
}

} // namespace

GatewaySettingsOutcome readGatewaySettings(int Count, char **Arguments) {
  GatewaySettingsOutcome Outcome;
  cxxopts::Options Options = describeFlags();
  try {
    cxxopts::ParseResult Flags = Options.parse(Count, Arguments);
    if (Flags.count("help")) {
      Outcome.m_help = Options.help();
      return Outcome;
    }
    detail::SettingsReader Reader(Flags, Outcome.m_faults);
    readAll(Reader, Outcome.m_settings);
    Outcome.m_settings.m_reserveSlots = Flags.count("reserve-slots") != 0;
    Outcome.m_settings.m_paceUpstreams = Flags.count("pace-upstreams") != 0;
    Outcome.m_print = Flags.count("print-settings") != 0;
    for (const std::string &Argument : Flags.unmatched())
      Outcome.m_faults.push_back("unknown argument " + Argument);
  } catch (const cxxopts::exceptions::exception &Error) {
    Outcome.m_faults.push_back(Error.what());
  }
  return Outcome;
}

std::string toString(const GatewaySettings &Settings) {
  auto OptionalEndpoint = [](const Endpoint &Address) {
    return Address.m_address.empty() ? "" : toString(Address);
  };
  return "host=" + Settings.m_host.value() +
         "\nfailure-domain=" + Settings.m_domain.value() +
         "\nlisten=" + toString(Settings.m_listen) +
         "\nready-listen=" + toString(Settings.m_readyListen) +
         "\npeer-listen=" + toString(Settings.m_peerListen) +
         "\nforward-listen=" + OptionalEndpoint(Settings.m_forwardListen) +
         "\nmetrics-listen=" + OptionalEndpoint(Settings.m_metricsListen) +
         "\nstore=" + toString(Settings.m_store) +
         "\ndescriptors=" + std::to_string(Settings.m_descriptors) +
         "\nlink-megabits=" + std::to_string(Settings.m_linkMegabits) +
         "\nmemory-megabytes=" + std::to_string(Settings.m_memoryMegabytes) +
         "\ndrain=" + milliseconds(Settings.m_drain) +
         "\nstop-time=" + milliseconds(Settings.m_stopTime) +
         "\nmax-hold=" + milliseconds(Settings.m_maxGrantDuration) +
         "\nretry-ratio=" + std::to_string(Settings.m_retryRatio) +
         "\nretry-window=" + milliseconds(Settings.m_retryWindow) +
         "\nretry-allowance=" + std::to_string(Settings.m_retryAllowance) +
         "\nquota-window=" + milliseconds(Settings.m_teamQuota.m_window) +
         "\nquota-overage=" + std::to_string(Settings.m_teamQuota.m_overage) +
         "\nquota-slack=" + std::to_string(Settings.m_teamQuota.m_slack) +
         "\nreserve-slots=" + (Settings.m_reserveSlots ? "1" : "0") +
         "\npace-upstreams=" + (Settings.m_paceUpstreams ? "1" : "0") +
         "\ncold-overage=" + std::to_string(Settings.m_coldBound.m_overage) +
         "\ncold-slack=" + std::to_string(Settings.m_coldBound.m_slack) + "\n";
}

} // namespace burdockpulley
