#ifndef BURDOCKPULLEY_TESTKIT_H
#define BURDOCKPULLEY_TESTKIT_H

#include "burdockpulley/declarations.h"

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
  /// Starts a program of the build; its output goes to \p LogFile.
  ChildProcess(const std::string &Program, std::vector<std::string> Arguments,
               const std::string &LogFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Sends a signal, if the process has not ended.
  void signal(int Number);

  /// True while it has not ended.
  bool running();

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

/// A whole deployment on loopback: the store stand-in, upstream stand-ins,
/// entry hosts, and published declarations. Ports come from the kernel.
/// Thread safety: none.
class Deployment {
public:
  struct HostRow {
    HostId m_name;
    DomainId m_domain;
    Endpoint m_callers;
    Endpoint m_peers;
    std::unique_ptr<ChildProcess> m_process;
  };

  struct UpstreamRow {
    Upstream m_declared;
    std::vector<std::string> m_arguments;
    std::string m_runLog;
    std::unique_ptr<ChildProcess> m_process;
  };

  /// Makes a folder of its own for ports and logs.
  Deployment();
  ~Deployment();

  /// Starts the store stand-in.
  void startStore();

  /// Starts one entry host. A host that ran before keeps its ports.
  HostRow &startHost(const std::string &Name, const std::string &Domain);

  /// Starts one upstream. One that ran before keeps its port.
  UpstreamRow &startUpstream(const Upstream &Declared, bool Keyed,
                             std::vector<std::string> MoreArguments = {});

  /// Publishes the set with the addresses of what has been started; waits
  /// until it is in force and every partition has an owner that answers.
  /// False when it is refused or that does not come about.
  bool publish(Declarations Set);

  /// True when every entry host answers /readyz with 200.
  bool ready();

  std::map<std::string, HostRow> m_hosts;
  std::map<std::string, UpstreamRow> m_upstreams;
  std::unique_ptr<ChildProcess> m_store;
  Endpoint m_storeAddress;
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

} // namespace burdockpulley

#endif
