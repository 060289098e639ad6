#include "burdockpulley/configuration.h"
#include "burdockpulley/etcd_store.h"
#include "burdockpulley/http.h"
#include "burdockpulley/testkit.h"

#include <event2/event.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace burdockpulley {

namespace {

const std::string Loopback = "127.0.0.1";

} // namespace

std::vector<std::uint16_t> readPorts(const std::string &Path,
                                     std::size_t Count) {
  std::vector<std::uint16_t> Ports;
  bool Found = waitUntil([&] {
    std::ifstream Input(Path);
    Ports.clear();
    for (std::uint16_t Port = 0; Input >> Port;)
      Ports.push_back(Port);
    return Ports.size() == Count;
  });
  if (!Found)
    throw std::runtime_error("no ports in " + Path);
  std::filesystem::remove(Path);
  return Ports;
}

HttpResponse callOnce(const Endpoint &Where, HttpRequest Request,
                      Duration Timeout) {
  event_base *Base = event_base_new();
  HttpResponse Answer;
  Answer.m_status = 0;
  {
    HttpClient Client(Base, Where, 1);
    Request.m_headers.push_back({"Connection", "close"});
    Client.call(std::move(Request), Timeout,
                [&](HttpError Error, HttpResponse &&Response) {
                  if (Error == HttpError::None)
                    Answer = std::move(Response);
                  event_base_loopbreak(Base);
                });
    event_base_dispatch(Base);
  }
  event_base_free(Base);
  return Answer;
}

Deployment::Deployment() {
  std::string Pattern =
      std::filesystem::temp_directory_path() / "burdockpulley-XXXXXX";
  if (!mkdtemp(Pattern.data()))
    throw std::runtime_error("can not make " + Pattern);
  m_folder = Pattern;
}

Deployment::~Deployment() {
  m_hosts.clear();
  m_upstreams.clear();
  m_proxies.clear();
  m_store.reset();
  std::error_code Ignored;
  if (!std::getenv("BURDOCKPULLEY_KEEP_LOGS"))
    std::filesystem::remove_all(m_folder, Ignored);
}

std::string Deployment::file(const std::string &Name) const {
  return m_folder + "/" + Name;
}

void Deployment::startStore() {
  m_store = std::make_unique<ChildProcess>(
      "burdockpulley-store-standin",
      std::vector<std::string>{"--port",
                               std::to_string(m_storePort.endpoint().m_port),
                               "--port-file", file("store.port")},
      file("store.log"));
  m_storeAddress = {Loopback, readPorts(file("store.port"), 1)[0]};
}

Deployment::HostProcess &
Deployment::startHost(const std::string &Name, const std::string &Domain,
                      std::vector<std::string> MoreArguments) {
  HostProcess &Row = m_hosts[Name];
  Row.m_process.reset();
  Row.m_name = HostId(Name);
  Row.m_domain = DomainId(Domain);
  Row.m_callers = Row.m_callersPort.endpoint();
  Row.m_peers = Row.m_peersPort.endpoint();
  Row.m_admin = Row.m_adminPort.endpoint();
  std::string PortFile = file(Name + ".port");
  auto Proxied = m_storeOfDomain.find(Domain);
  const Endpoint &Store =
      Proxied == m_storeOfDomain.end() ? m_storeAddress : Proxied->second;
  std::vector<std::string> Arguments = {
      "--host",           Name,
      "--failure-domain", Domain,
      "--listen",         toString(Row.m_callers),
      "--peer-listen",    toString(Row.m_peers),
      "--admin-listen",   toString(Row.m_admin),
      "--platform",       m_embedded ? "embedded" : toString(Store),
      "--port-file",      PortFile};
  Arguments.insert(Arguments.end(), MoreArguments.begin(), MoreArguments.end());
  Row.m_process = std::make_unique<ChildProcess>(
      "burdockpulleyd", std::move(Arguments), file(Name + ".log"));
  readPorts(PortFile, 3);
  return Row;
}

Deployment::UpstreamProcess &
Deployment::startUpstream(const Upstream &Declared, bool Keyed,
                          std::vector<std::string> MoreArguments) {
  const std::string &Name = Declared.m_name.value();
  UpstreamProcess &Row = m_upstreams[Name];
  Endpoint Address = Row.m_port.endpoint();
  Row.m_process.reset();
  Row.m_declared = Declared;
  Row.m_runLog = file(Name + ".runs");
  Row.m_arguments = {"--name",      Name,
                     "--port",      std::to_string(Address.m_port),
                     "--slots",     std::to_string(Declared.m_slots),
                     "--run-log",   Row.m_runLog,
                     "--port-file", file(Name + ".port")};
  if (Keyed)
    Row.m_arguments.push_back("--keyed");
  Row.m_arguments.insert(Row.m_arguments.end(), MoreArguments.begin(),
                         MoreArguments.end());
  Row.m_process = std::make_unique<ChildProcess>(
      "burdockpulley-upstream-standin", Row.m_arguments, file(Name + ".log"));
  readPorts(file(Name + ".port"), 1);
  Row.m_declared.m_address = Address;
  return Row;
}

Deployment::ProxyProcess &Deployment::startProxy(const std::string &Name,
                                                 const Endpoint &Target) {
  ProxyProcess &Row = m_proxies[Name];
  std::string PortFile = file("proxy-" + Name + ".port");
  Row.m_process = std::make_unique<ChildProcess>(
      "burdockpulley-fault-proxy",
      std::vector<std::string>{"--target", toString(Target), "--port-file",
                               PortFile},
      file("proxy-" + Name + ".log"));
  std::vector<std::uint16_t> Ports = readPorts(PortFile, 2);
  Row.m_listen = {Loopback, Ports[0]};
  Row.m_control = {Loopback, Ports[1]};
  return Row;
}

Deployment::ProxyProcess &
Deployment::proxyUpstream(const std::string &Upstream) {
  UpstreamProcess &Row = m_upstreams.at(Upstream);
  ProxyProcess &Proxy = startProxy(Upstream, Row.m_declared.m_address);
  Row.m_proxy = Proxy.m_listen;
  return Proxy;
}

Deployment::ProxyProcess &Deployment::proxyPeers(const std::string &Host) {
  HostProcess &Row = m_hosts.at(Host);
  ProxyProcess &Proxy = startProxy(Host, Row.m_peers);
  Row.m_peersProxy = Proxy.m_listen;
  return Proxy;
}

Deployment::ProxyProcess &Deployment::proxyStore(const std::string &Domain) {
  ProxyProcess &Proxy = startProxy("store-" + Domain, m_storeAddress);
  m_storeOfDomain[Domain] = Proxy.m_listen;
  return Proxy;
}

bool Deployment::setFaults(const ProxyProcess &Proxy,
                           const std::string &Faults) {
  return callOnce(Proxy.m_control, {"POST", "/faults", {}, Faults}).m_status ==
         200;
}

bool Deployment::publish(Declarations Set) {
  for (FailureDomain &Domain : Set.m_domains) {
    Domain.m_hosts.clear();
    for (const auto &[Name, Row] : m_hosts)
      if (Row.m_domain == Domain.m_name) {
        Domain.m_hosts.push_back({Row.m_name, Row.m_peersProxy.m_port
                                                  ? Row.m_peersProxy
                                                  : Row.m_peers});
        Domain.m_hosts.back().m_adminAddress = Row.m_admin;
      }
  }
  Set.m_upstreams.clear();
  for (const auto &[Name, Row] : m_upstreams) {
    Set.m_upstreams.push_back(Row.m_declared);
    if (Row.m_proxy.m_port)
      Set.m_upstreams.back().m_address = Row.m_proxy;
  }
  std::string Path = file("set.yaml");
  // The canonical form is a list of objects; a file holds one a document.
  std::ofstream(file("set.json")) << encodeDeclarations(Set);
  event_base *Base = event_base_new();
  bool Accepted = false;
  {
    EtcdStore Store(Base, m_storeAddress, std::chrono::seconds(5));
    SetReader Reader(Store);
    Publisher Writer(Store);
    Reader.readCurrent([&](const SetReader::Result &Current) {
      if (std::holds_alternative<StoreError>(Current)) {
        event_base_loopbreak(Base);
        return;
      }
      Writer.publish(Set, *std::get<0>(Current), "test",
                     [&](const Publisher::Result &Result) {
                       Accepted = std::holds_alternative<Revision>(Result);
                       event_base_loopbreak(Base);
                     });
    });
    event_base_dispatch(Base);
  }
  event_base_free(Base);
  return Accepted && waitUntil([this] { return ready(); });
}

bool Deployment::ready() {
  return std::all_of(m_hosts.begin(), m_hosts.end(), [](const auto &Entry) {
    return callOnce(Entry.second.m_callers, {"GET", "/readyz", {}, ""})
               .m_status == 200;
  });
}

} // namespace burdockpulley
