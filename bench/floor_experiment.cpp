// What bare evhttp costs on this machine: the least that a hop can cost.
#include "experiments.h"
#include "process_usage.h"

#include "burdockpulley/testkit.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <arpa/inet.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <fstream>

namespace burdockpulley::bench {

namespace {

constexpr std::size_t BodyBytes = 1024;
constexpr int Connections = 16;

void onBareRequest(evhttp_request *Request, void *) {
  static const std::string Body(BodyBytes, 'x');
  evbuffer *Input = evhttp_request_get_input_buffer(Request);
  evbuffer_drain(Input, evbuffer_get_length(Input));
  evbuffer_add(evhttp_request_get_output_buffer(Request), Body.data(),
               Body.size());
  evhttp_send_reply(Request, 200, nullptr, nullptr);
}

/// Keeps a number of bare connections busy until its time is over.
class BareClient {
public:
  BareClient(event_base *Base, std::uint16_t Port, Instant End)
      : m_base(Base), m_end(End) {
    for (Slot &Each : m_slots)
      Each = {this,
              evhttp_connection_base_new(Base, nullptr, "127.0.0.1", Port)};
  }

  ~BareClient() {
    for (Slot &Each : m_slots)
      evhttp_connection_free(Each.m_connection);
  }

  std::uint64_t run() {
    for (Slot &Each : m_slots)
      send(Each);
    event_base_dispatch(m_base);
    return m_done;
  }

private:
  struct Slot {
    BareClient *m_client;
    evhttp_connection *m_connection;
  };

  void send(Slot &Each) {
    evhttp_request *Request = evhttp_request_new(onAnswer, &Each);
    evhttp_add_header(evhttp_request_get_output_headers(Request), "Host",
                      "bench");
    evbuffer_add(evhttp_request_get_output_buffer(Request), m_body.data(),
                 m_body.size());
    evhttp_make_request(Each.m_connection, Request, EVHTTP_REQ_POST, "/fees");
  }

  static void onAnswer(evhttp_request *Request, void *Argument) {
    auto *Each = static_cast<Slot *>(Argument);
    BareClient *Self = Each->m_client;
    bool Answered = Request && evhttp_request_get_response_code(Request) == 200;
    if (!Answered || benchNow() >= Self->m_end) {
      event_base_loopbreak(Self->m_base);
      return;
    }
    ++Self->m_done;
    Self->send(*Each);
  }

  event_base *m_base;
  Instant m_end;
  std::string m_body = std::string(BodyBytes, 'x');
  std::array<Slot, Connections> m_slots{};
  std::uint64_t m_done = 0;
};

std::uint16_t waitForPort(const std::string &PortFile) {
  std::uint16_t Port = 0;
  waitUntil([&] { return bool(std::ifstream(PortFile) >> Port); });
  return Port;
}

} // namespace

int serveBare(const std::string &PortFile) {
  event_base *Base = event_base_new();
  evhttp *Server = evhttp_new(Base);
  evhttp_set_gencb(Server, onBareRequest, nullptr);
  evhttp_bound_socket *Socket =
      evhttp_bind_socket_with_handle(Server, "127.0.0.1", 0);
  if (!Socket)
    return 1;
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  getsockname(evhttp_bound_socket_get_fd(Socket),
              reinterpret_cast<sockaddr *>(&Address), &Size);
  std::string Draft = PortFile + ".draft";
  std::ofstream(Draft) << ntohs(Address.sin_port) << "\n";
  std::rename(Draft.c_str(), PortFile.c_str());
  event_base_dispatch(Base);
  return 0;
}

Report runFloor(const BenchOptions &Options) {
  Report Found("floor: bare evhttp server and client, 1 KB each way");
  Deployment Folder;
  std::string PortFile = Folder.m_folder + "/bare.port";
  ChildProcess Server("burdockpulley-bench", {"--serve-bare", PortFile},
                      Folder.m_folder + "/bare.log");
  std::uint16_t Port = waitForPort(PortFile);
  event_base *Base = event_base_new();
  Duration ServerCpu = readUsage(Server.pid()).m_cpu;
  Duration ClientCpu = readUsage(getpid()).m_cpu;
  double Done = 0;
  {
    BareClient Client(Base, Port, benchNow() + Options.m_length);
    Done = static_cast<double>(Client.run());
  }
  event_base_free(Base);
  ServerCpu = readUsage(Server.pid()).m_cpu - ServerCpu;
  ClientCpu = readUsage(getpid()).m_cpu - ClientCpu;
  double ServerMicros = double(ServerCpu.count()) / Done;
  double ClientMicros = double(ClientCpu.count()) / Done;
  Found.add({{"requests", Done},
             {"server CPU us/request", rounded(ServerMicros)},
             {"client CPU us/request", rounded(ClientMicros)},
             {"sum us/request", rounded(ServerMicros + ClientMicros)}});
  return Found;
}

} // namespace burdockpulley::bench
