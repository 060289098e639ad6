// Stand-in for the platform's store: the etcd version 3 JSON protocol over a
// map in memory, with faults. For tests only.
#include "burdockpulley/http.h"
#include "standin.h"
#include "store_faults.h"

#include <cxxopts.hpp>
#include <event2/event.h>

using namespace burdockpulley;

int main(int Count, char **Arguments) {
  cxxopts::Options Options("burdockpulley-store-standin");
  Options.add_options()("port", "port on 127.0.0.1; 0 takes a free one",
                        cxxopts::value<std::uint16_t>()->default_value("0"))(
      "port-file", "file that gets the bound port",
      cxxopts::value<std::string>()->default_value(""));
  cxxopts::ParseResult Flags = Options.parse(Count, Arguments);
  event_base *Base = event_base_new();
  StoreFaults Faults(Base);
  std::uint64_t Calls = 0;
  HttpServer Server(Base, [&](HttpRequest &&Request, auto Responder) {
    if (Request.m_target == "/standin/calls")
      return Responder->send(HttpResponse{200, {}, std::to_string(Calls)});
    ++Calls;
    Faults.onRequest(std::move(Request), std::move(Responder));
  });
  std::uint16_t Port =
      Server.listen({"127.0.0.1", Flags["port"].as<std::uint16_t>()});
  if (Port == 0)
    return 1;
  writePortFile(Flags["port-file"].as<std::string>(), {Port});
  event_base_dispatch(Base);
  return 0;
}
