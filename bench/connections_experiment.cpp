// What idle connections of callers cost a host.
#include "experiments.h"
#include "process_usage.h"
#include "workload.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cmath>
#include <string_view>

namespace burdockpulley::bench {

namespace {

constexpr int SettleSeconds = 1;

/// Connections to one host that have sent one request each.
class IdleConnections {
public:
  explicit IdleConnections(const Endpoint &Where) {
    m_address.sin_family = AF_INET;
    m_address.sin_port = htons(Where.m_port);
    inet_pton(AF_INET, Where.m_address.c_str(), &m_address.sin_addr);
  }

  ~IdleConnections() {
    for (int Socket : m_sockets)
      close(Socket);
  }

  IdleConnections(const IdleConnections &) = delete;
  IdleConnections &operator=(const IdleConnections &) = delete;

  /// False when the host takes no more.
  bool growTo(std::size_t Count) {
    while (m_sockets.size() < Count)
      if (!addOne())
        return false;
    return true;
  }

private:
  bool addOne() {
    int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (Socket < 0)
      return false;
    m_sockets.push_back(Socket);
    if (connect(Socket, reinterpret_cast<sockaddr *>(&m_address),
                sizeof(m_address)) != 0)
      return false;
    constexpr std::string_view Text =
        "GET /healthz HTTP/1.1\r\nHost: bench\r\n\r\n";
    std::array<char, 512> Answer{};
    return send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL) > 0 &&
           recv(Socket, Answer.data(), Answer.size(), 0) > 0;
  }

  sockaddr_in m_address{};
  std::vector<int> m_sockets;
};

} // namespace

Report runConnections(const BenchOptions &) {
  Report Found("connections: idle connections of callers to one host");
  Deployment System;
  System.startStore();
  for (const char *Service : {"fee", "herd", "search"})
    startUpstream(System, Service + std::string("-1"), Service, 0, 4,
                  Duration(1000));
  auto &Host = System.startHost("host-0", domainName(0));
  if (!System.publish(workloadSet(1, 64))) {
    Found.note("The deployment did not become ready.");
    return Found;
  }
  auto Resident = [&] {
    return double(readUsage(Host.m_process->pid()).m_residentBytes);
  };
  double Base = Resident();
  IdleConnections Callers(Host.m_callers);
  for (std::size_t Count : {1000U, 4000U, 8000U}) {
    if (!Callers.growTo(Count)) {
      Found.note("The host took fewer than " + std::to_string(Count) + ".");
      break;
    }
    Duration Cpu = readUsage(Host.m_process->pid()).m_cpu;
    Instant Start = benchNow();
    waitUntil([&] {
      return benchNow() - Start >= std::chrono::seconds(SettleSeconds);
    });
    Cpu = readUsage(Host.m_process->pid()).m_cpu - Cpu;
    Found.add(
        {{"connections", Count},
         {"RSS MB", rounded(Resident() / 1048576)},
         {"bytes/connection", std::round((Resident() - Base) / double(Count))},
         {"idle CPU ms/s",
          rounded(double(Cpu.count()) / 1000 / SettleSeconds)}});
  }
  return Found;
}

} // namespace burdockpulley::bench
