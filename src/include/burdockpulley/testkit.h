#ifndef BURDOCKPULLEY_TESTKIT_H
#define BURDOCKPULLEY_TESTKIT_H

#include "burdockpulley/declarations.h"
#include "burdockpulley/reserved_port.h"

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace burdockpulley {

/// A process that a test has started. It is killed when the object goes.
/// Thread safety: none.
class ChildProcess {
public:
  /// Starts a program of the build, or the one at an absolute path; its output
  /// goes to \p LogFile.
  ChildProcess(const std::string &Program, std::vector<std::string> Arguments,
               const std::string &LogFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Sends a signal, if the process has not ended.
  void signal(int Number);

  /// True while it has not ended.
  bool running();

  pid_t pid() const { return m_pid; }

  /// Waits for its end and returns its exit code, or minus the signal.
  int wait();

private:
  pid_t m_pid = -1;
  int m_status = 0;
  bool m_ended = false;
};

/// Waits until a condition holds. False when it does not in time.
/// Thread safety: safe.
bool waitUntil(const std::function<bool()> &Holds,
               Duration Limit = std::chrono::seconds(60));

/// Waits for the \p Count ports that a started program writes into a file, and
/// removes the file. Throws std::runtime_error when they do not come.
/// Thread safety: safe.
std::vector<std::uint16_t> readPorts(const std::string &Path,
                                     std::size_t Count);

/// A whole deployment on loopback: the store stand-in, upstream stand-ins,
/// entry hosts, and published declarations. Ports come from the kernel.
/// Thread safety: none.
class Deployment {
public:
  struct HostProcess {
    HostId m_name;
    DomainId m_domain;
    Endpoint m_callers;
    Endpoint m_peers;
    Endpoint m_admin;
    Endpoint m_peersProxy; ///< What the set declares; port 0 declares m_peers.
    ReservedPort m_callersPort;
    ReservedPort m_peersPort;
    ReservedPort m_adminPort;
    std::unique_ptr<ChildProcess> m_process;
  };

  struct UpstreamProcess {
    Upstream m_declared;
    std::vector<std::string> m_arguments;
    std::string m_runLog;
    Endpoint m_proxy; ///< What the set declares; port 0 declares its own.
    ReservedPort m_port;
    std::unique_ptr<ChildProcess> m_process;
  };

  struct ProxyProcess {
    Endpoint m_listen;
    Endpoint m_control;
    std::unique_ptr<ChildProcess> m_process;
  };

  /// Makes a folder of its own for ports and logs.
  Deployment();
  ~Deployment();

  /// Starts the store stand-in.
  void startStore();

  /// Starts one entry host. A host that ran before keeps its ports.
  HostProcess &startHost(const std::string &Name, const std::string &Domain,
                         std::vector<std::string> MoreArguments = {});

  /// Starts one upstream. One that ran before keeps its port.
  UpstreamProcess &startUpstream(const Upstream &Declared, bool Keyed,
                                 std::vector<std::string> MoreArguments = {});

  /// Starts a fault proxy before \p Target.
  ProxyProcess &startProxy(const std::string &Name, const Endpoint &Target);

  /// Puts a fault proxy between the hosts and an upstream, before the peer
  /// address of a host, or between the store and the hosts of a failure domain
  /// that are started later. Call them before publish().
  /// Precondition: the upstream, the host or the store has been started.
  ProxyProcess &proxyUpstream(const std::string &Upstream);
  ProxyProcess &proxyPeers(const std::string &Host);
  ProxyProcess &proxyStore(const std::string &Domain);

  /// Replaces the faults of a proxy by those of a JSON object; "{}" ends all.
  /// False when the proxy does not take them.
  bool setFaults(const ProxyProcess &Proxy, const std::string &Faults);

  /// Publishes the set with the addresses of what has been started; waits
  /// until it is in force and every partition has an owner that answers.
  /// False when it is refused or that does not come about.
  bool publish(Declarations Set);

  /// True when every entry host answers /readyz with 200.
  bool ready();

  std::map<std::string, HostProcess> m_hosts;
  std::map<std::string, UpstreamProcess> m_upstreams;
  std::map<std::string, ProxyProcess> m_proxies;
  std::unique_ptr<ChildProcess> m_store;
  ReservedPort m_storePort;
  Endpoint m_storeAddress;
  std::map<std::string, Endpoint> m_storeOfDomain; ///< Where it is proxied.
  bool m_embedded = false; ///< Hosts are started with an embedded store.
  std::string m_folder;

private:
  std::string file(const std::string &Name) const;
};

/// One blocking HTTP call; the status is 0 when there is no answer.
/// Thread safety: safe.
struct HttpResponse;
struct HttpRequest;
HttpResponse callOnce(const Endpoint &Where, HttpRequest Request,
                      Duration Timeout = std::chrono::seconds(5));

/// One unkeyed service "fee" (/fees) and one keyed service "herd" (/herds/KEY,
/// idempotent by GET) of one team, in the failure domains curico and talca.
/// Thread safety: safe.
Declarations sampleSet(std::uint32_t Partitions = 64);

/// An upstream with 4 slots for that set. Thread safety: safe.
Upstream sampleUpstream(const std::string &Name, const std::string &Service,
                        const std::string &Domain);

/// callOnce() with the credentials of that set's team.
/// Thread safety: safe.
HttpResponse callAsTeam(const Endpoint &Where, const std::string &Method,
                        const std::string &Target, const std::string &Body,
                        Duration Timeout = std::chrono::seconds(5));

} // namespace burdockpulley

#endif
