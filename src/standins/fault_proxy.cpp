// A TCP proxy that puts faults on its links: latency, cuts of one or both
// directions, resets, half-closes, truncated and repeated answers. For tests
// only.
//
// POST /faults on the control port replaces the faults by those of a JSON
// object: latencyUs, cutToTarget, cutToCaller, refuse, truncateAfter,
// resetAfter, halfCloseAfter, repeatAnswer, bytesPerSecond, and closed: new
// connections are refused by the kernel, open ones go on.
#include "burdockpulley/http.h"
#include "burdockpulley/reserved_port.h"
#include "fault_link.h"
#include "standin.h"

#include <cxxopts.hpp>
#include <event2/event.h>
#include <event2/listener.h>
#include <nlohmann/json.hpp>

#include <netinet/in.h>

#include <csignal>
#include <memory>

using namespace burdockpulley;
using nlohmann::json;

namespace {

constexpr timeval TickInterval{0, 1'000};

std::optional<std::uint64_t> limit(const json &Object, const char *Name) {
  if (!Object.contains(Name))
    return std::nullopt;
  return Object.at(Name).get<std::uint64_t>();
}

Faults readFaults(const json &Object) {
  Faults Wanted;
  Wanted.m_latency = Duration(Object.value("latencyUs", 0));
  Wanted.m_cutToTarget = Object.value("cutToTarget", false);
  Wanted.m_cutToCaller = Object.value("cutToCaller", false);
  Wanted.m_refuse = Object.value("refuse", false);
  Wanted.m_truncateAfter = limit(Object, "truncateAfter");
  Wanted.m_resetAfter = limit(Object, "resetAfter");
  Wanted.m_halfCloseAfter = limit(Object, "halfCloseAfter");
  Wanted.m_repeatAnswer = Object.value("repeatAnswer", false);
  Wanted.m_bytesPerSecond = limit(Object, "bytesPerSecond");
  return Wanted;
}

/// The links and the faults that are on them.
/// Thread safety: none; it belongs to the loop's thread.
class FaultProxy {
public:
  FaultProxy(event_base *Base, Endpoint Target)
      : m_base(Base), m_target(std::move(Target)),
        m_tick(event_new(Base, -1, EV_PERSIST, onTick, this)) {
    event_add(m_tick, &TickInterval);
  }

  ~FaultProxy() {
    if (m_listener)
      evconnlistener_free(m_listener);
    event_free(m_tick);
  }

  /// Returns the port, or 0 when it cannot listen.
  std::uint16_t listen() {
    std::uint16_t Port = m_reserved.endpoint().m_port;
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(Port);
    auto *Plain = reinterpret_cast<sockaddr *>(&Address);
    m_listener = evconnlistener_new_bind(
        m_base, onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        Plain, sizeof(Address));
    return m_listener ? Port : 0;
  }

  /// Takes new faults; returns the HTTP status of the answer.
  int onControl(const HttpRequest &Request) {
    json Object = json::parse(Request.m_body, nullptr, false);
    if (Request.m_target != "/faults" || !Object.is_object())
      return 400;
    try {
      m_faults = readFaults(Object);
      m_closed = Object.value("closed", false);
    } catch (const json::exception &) {
      return 400;
    }
    advance();
    return 200;
  }

private:
  static void onAccept(evconnlistener *, int Socket, sockaddr *, int,
                       void *Self) {
    auto *Proxy = static_cast<FaultProxy *>(Self);
    Proxy->m_links.push_back(std::make_unique<FaultLink>(
        Proxy->m_base, Socket, Proxy->m_target, Proxy->m_faults));
  }

  static void onTick(int, short, void *Self) {
    static_cast<FaultProxy *>(Self)->advance();
  }

  void advance() {
    Instant Now = bootClockNow();
    if (m_closed && m_listener) {
      evconnlistener_free(m_listener);
      m_listener = nullptr;
    } else if (!m_closed && !m_listener) {
      listen();
    }
    for (auto &Link : m_links)
      Link->advance(Now);
    std::erase_if(m_links, [](const auto &Link) { return Link->ended(); });
  }

  event_base *m_base;
  Endpoint m_target;
  Faults m_faults;
  event *m_tick;
  evconnlistener *m_listener = nullptr;
  /// Keeps the port while the proxy is closed: another process that gets it
  /// would be taken for the target.
  ReservedPort m_reserved;
  bool m_closed = false;
  std::vector<std::unique_ptr<FaultLink>> m_links;
};

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options Flags("burdockpulley-fault-proxy");
  Flags.add_options()("target", "where connections go, IP:PORT",
                      cxxopts::value<std::string>())(
      "port-file", "file that gets the ports: proxy and control",
      cxxopts::value<std::string>()->default_value(""));
  cxxopts::ParseResult Given = Flags.parse(Count, Arguments);
  Endpoint Target;
  if (!parseEndpoint(Given["target"].as<std::string>(), Target))
    return 2;
  event_base *Base = event_base_new();
  FaultProxy Proxy(Base, Target);
  HttpServer Control(Base, [&](HttpRequest &&Request, auto Responder) {
    Responder->send(HttpResponse{Proxy.onControl(Request), {}, ""});
  });
  std::uint16_t Port = Proxy.listen();
  std::uint16_t ControlPort = Control.listen({"127.0.0.1", 0});
  if (Port == 0 || ControlPort == 0)
    return 1;
  writePortFile(Given["port-file"].as<std::string>(), {Port, ControlPort});
  event_base_dispatch(Base);
  return 0;
}
