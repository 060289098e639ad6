// Stand-in for an upstream: takes fenced grants, runs requests on a fixed
// number of slots, and writes down each run. For tests only.
#include "burdockpulley/http.h"
#include "standin.h"

#include <cxxopts.hpp>
#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <deque>
#include <map>

using namespace burdockpulley;
using nlohmann::json;

namespace {

constexpr const char *GrantsPath = "/.burdockpulley/grants";

struct Options {
  std::string m_name;
  std::uint32_t m_slots = 4;
  Duration m_serviceTime;
  bool m_keyed = false;
  std::string m_runLog;
};

std::uint64_t number(std::string_view Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

/// The partitions that this upstream owns, until its lease ends.
class GrantTable {
public:
  void apply(const json &Order, Instant Now) {
    m_end = Now + std::chrono::milliseconds(Order.value("leaseMs", 0));
    m_tokens.clear();
    for (const json &Grant : Order.at("grants"))
      m_tokens[Grant.at(0).get<std::uint64_t>()] =
          Grant.at(1).get<std::uint64_t>();
  }

  bool owns(std::uint64_t Partition, std::uint64_t Token, Instant Now) const {
    auto Found = m_tokens.find(Partition);
    return Now < m_end && Found != m_tokens.end() && Found->second == Token;
  }

private:
  Instant m_end{};
  std::map<std::uint64_t, std::uint64_t> m_tokens;
};

class UpstreamStandin {
public:
  UpstreamStandin(event_base *Base, Options Settings)
      : m_base(Base), m_options(std::move(Settings)),
        m_runs(m_options.m_runLog, std::ios::app) {}

  void onRequest(HttpRequest &&Request,
                 std::shared_ptr<HttpResponder> Responder) {
    if (Request.m_target == GrantsPath)
      return onGrants(Request, *Responder);
    if (m_options.m_keyed && !owned(Request))
      return Responder->send(
          HttpResponse{409, {{"X-Burdockpulley-Refused", "not-owner"}}, ""});
    m_queue.push_back({std::move(Request), std::move(Responder)});
    startNext();
  }

private:
  struct Work {
    HttpRequest m_request;
    std::shared_ptr<HttpResponder> m_responder;
  };

  struct Run {
    UpstreamStandin *m_standin;
    Work m_work;
  };

  void onGrants(const HttpRequest &Request, HttpResponder &Responder) {
    json Order = json::parse(Request.m_body, nullptr, false);
    if (!Order.is_object() || !Order.contains("grants"))
      return Responder.send(HttpResponse{400, {}, ""});
    m_grants.apply(Order, standinNow());
    Responder.send(HttpResponse{200, {}, "{}"});
  }

  bool owned(const HttpRequest &Request) const {
    return m_grants.owns(number(Request.header("X-Burdockpulley-Partition")),
                         number(Request.header("X-Burdockpulley-Token")),
                         standinNow());
  }

  void startNext() {
    if (m_running == m_options.m_slots || m_queue.empty())
      return;
    ++m_running;
    auto *Started = new Run{this, std::move(m_queue.front())};
    m_queue.pop_front();
    const HttpRequest &Request = Started->m_work.m_request;
    m_runs << Request.header("X-Request-Id") << " "
           << Request.header("Idempotency-Key") << " "
           << Request.header("X-Sequence") << std::endl;
    timeval Time{m_options.m_serviceTime.count() / 1'000'000,
                 m_options.m_serviceTime.count() % 1'000'000};
    event_base_once(m_base, -1, EV_TIMEOUT, onDone, Started, &Time);
  }

  static void onDone(int, short, void *Argument) {
    std::unique_ptr<Run> Done(static_cast<Run *>(Argument));
    UpstreamStandin *Self = Done->m_standin;
    const HttpRequest &Request = Done->m_work.m_request;
    json Body = {{"upstream", Self->m_options.m_name},
                 {"method", Request.m_method},
                 {"target", Request.m_target},
                 {"body", Request.m_body}};
    Done->m_work.m_responder->send(HttpResponse{
        200,
        {{"Content-Type", "application/json"}},
        Body.dump(-1, ' ', false, json::error_handler_t::replace)});
    --Self->m_running;
    Self->startNext();
  }

  event_base *m_base;
  Options m_options;
  GrantTable m_grants;
  std::deque<Work> m_queue;
  std::uint32_t m_running = 0;
  std::ofstream m_runs;
};

} // namespace

int main(int Count, char **Arguments) {
  cxxopts::Options Flags("burdockpulley-upstream-standin");
  Flags.add_options()("name", "name of the upstream",
                      cxxopts::value<std::string>()->default_value("upstream"))(
      "port", "port on 127.0.0.1; 0 takes a free one",
      cxxopts::value<std::uint16_t>()->default_value("0"))(
      "port-file", "file that gets the bound port",
      cxxopts::value<std::string>()->default_value(""))(
      "slots", "requests that run at once",
      cxxopts::value<std::uint32_t>()->default_value("4"))(
      "service-us", "time that a run takes, in microseconds",
      cxxopts::value<std::int64_t>()->default_value("1000"))(
      "keyed", "refuse requests without a valid grant")(
      "run-log", "file that gets a line for each run",
      cxxopts::value<std::string>()->default_value("/dev/null"));
  cxxopts::ParseResult Given = Flags.parse(Count, Arguments);
  Options Settings{
      Given["name"].as<std::string>(), Given["slots"].as<std::uint32_t>(),
      Duration(Given["service-us"].as<std::int64_t>()),
      Given.count("keyed") != 0, Given["run-log"].as<std::string>()};
  event_base *Base = event_base_new();
  UpstreamStandin Standin(Base, Settings);
  HttpServer Server(Base, [&](HttpRequest &&Request, auto Responder) {
    Standin.onRequest(std::move(Request), std::move(Responder));
  });
  Server.limitBody(std::uint64_t(256) << 20);
  std::uint16_t Port =
      Server.listen({"127.0.0.1", Given["port"].as<std::uint16_t>()});
  if (Port == 0)
    return 1;
  writePortFile(Given["port-file"].as<std::string>(), {Port});
  event_base_dispatch(Base);
  return 0;
}
