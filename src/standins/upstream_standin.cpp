// Stand-in for an upstream: takes fenced grants, runs requests on a fixed
// number of slots, and writes down each run. For tests only.
#include "burdockpulley/grants.h"
#include "burdockpulley/hashing.h"
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
  std::string m_grantLog;
};

std::uint64_t number(std::string_view Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

class UpstreamStandin {
public:
  UpstreamStandin(event_base *Base, Options Settings)
      : m_base(Base), m_options(std::move(Settings)),
        m_runs(m_options.m_runLog, std::ios::app),
        m_grantLog(m_options.m_grantLog, std::ios::app) {}

  void onRequest(HttpRequest &&Request,
                 std::shared_ptr<HttpResponder> Responder) {
    if (Request.m_target == GrantsPath)
      return onGrants(Request, *Responder);
    if (m_options.m_keyed && !owned(Request))
      return refuse(*Responder);
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
    // An upstream that does not check takes whatever it is told.
    if (!m_options.m_keyed)
      return Responder.send(HttpResponse{200, {}, ""});
    GrantRequest Order;
    if (!decodeGrantRequest(Request.m_body, Order))
      return Responder.send(HttpResponse{400, {}, ""});
    Duration Clock = bootClockNow().time_since_epoch();
    GrantResponse Answer;
    Answer.m_refusal = m_guard.apply(Order, Clock);
    Answer.m_stamp = {m_guard.boot(), Clock};
    GrantList Owned = m_guard.owned(Clock);
    for (const auto &[Partition, Count] : m_busy)
      if (!Owned.count(Partition))
        Answer.m_busy.push_back(Partition);
    bool Refused = Answer.m_refusal != GrantRefusal::None;
    if (Refused || Order.m_full)
      m_grantLog << (Refused ? toString(Answer.m_refusal) : "taken") << " "
                 << Order.m_keeper << " " << Order.m_epoch.value() << " "
                 << Order.m_sequence << " " << Owned.size() << " "
                 << Clock.count() << std::endl;
    Responder.send(
        HttpResponse{Refused ? 409 : 200, {}, encodeGrantResponse(Answer)});
  }

  static PartitionIndex partitionOf(const HttpRequest &Request) {
    return PartitionIndex(static_cast<std::uint32_t>(
        number(Request.header("X-Burdockpulley-Partition"))));
  }

  bool owned(const HttpRequest &Request) const {
    FencingToken Token(number(Request.header("X-Burdockpulley-Token")));
    return m_guard.owns(partitionOf(Request), Token,
                        bootClockNow().time_since_epoch());
  }

  static void refuse(HttpResponder &Responder) {
    Responder.send(
        HttpResponse{409, {{"X-Burdockpulley-Refused", "not-owner"}}, ""});
  }

  void startNext() {
    // What lost its owner while it waited is not run.
    while (m_options.m_keyed && !m_queue.empty() &&
           !owned(m_queue.front().m_request)) {
      refuse(*m_queue.front().m_responder);
      m_queue.pop_front();
    }
    if (m_running == m_options.m_slots || m_queue.empty())
      return;
    ++m_running;
    auto *Started = new Run{this, std::move(m_queue.front())};
    m_queue.pop_front();
    const HttpRequest &Request = Started->m_work.m_request;
    m_runs << Request.header("X-Request-Id") << " "
           << Request.header("Idempotency-Key") << " "
           << Request.header("X-Sequence") << std::endl;
    if (m_options.m_keyed) {
      ++m_busy[partitionOf(Request)];
      m_grantLog << "run " << partitionOf(Request).value() << " "
                 << Request.header("X-Burdockpulley-Token") << " "
                 << bootClockNow().time_since_epoch().count() << std::endl;
    }
    timeval Time{m_options.m_serviceTime.count() / 1'000'000,
                 m_options.m_serviceTime.count() % 1'000'000};
    event_base_once(m_base, -1, EV_TIMEOUT, onDone, Started, &Time);
  }

  void endBusy(const HttpRequest &Request) {
    auto Found = m_busy.find(partitionOf(Request));
    if (Found != m_busy.end() && --Found->second == 0)
      m_busy.erase(Found);
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
    Self->endBusy(Request);
    Self->startNext();
  }

  event_base *m_base;
  Options m_options;
  GrantGuard m_guard{randomUuid()};
  std::map<PartitionIndex, std::uint32_t> m_busy; ///< Runs in work.
  std::deque<Work> m_queue;
  std::uint32_t m_running = 0;
  std::ofstream m_runs;
  std::ofstream m_grantLog;
};

/// A loop whose timers are exact: libevent otherwise reads the coarse clock,
/// whose ticks are longer than a run.
event_base *preciseLoop() {
  event_config *Config = event_config_new();
  event_config_set_flag(Config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base *Base = event_base_new_with_config(Config);
  event_config_free(Config);
  return Base;
}

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
      cxxopts::value<std::string>()->default_value("/dev/null"))(
      "grant-log", "file that gets orders, and runs with their tokens",
      cxxopts::value<std::string>()->default_value("/dev/null"));
  cxxopts::ParseResult Given = Flags.parse(Count, Arguments);
  Options Settings{Given["name"].as<std::string>(),
                   Given["slots"].as<std::uint32_t>(),
                   Duration(Given["service-us"].as<std::int64_t>()),
                   Given.count("keyed") != 0,
                   Given["run-log"].as<std::string>(),
                   Given["grant-log"].as<std::string>()};
  event_base *Base = preciseLoop();
  UpstreamStandin Standin(Base, Settings);
  HttpServer Server(Base, [&](HttpRequest &&Request, auto Responder) {
    Standin.onRequest(std::move(Request), std::move(Responder));
  });
  Server.setMaxBodyBytes(std::uint64_t(256) << 20);
  std::uint16_t Port =
      Server.listen({"127.0.0.1", Given["port"].as<std::uint16_t>()});
  if (Port == 0)
    return 1;
  writePortFile(Given["port-file"].as<std::string>(), {Port});
  event_base_dispatch(Base);
  return 0;
}
