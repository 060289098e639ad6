#include "service_reserves.h"

#include "burdockpulley/clock.h"
#include "burdockpulley/team_shares.h"
#include "no_codec.h"
#include "queue_reports.h"
#include "request_relay.h"

#include "libhttp/raw_server.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>

#include <sys/socket.h>
#include <unistd.h>

#include <memory>

using namespace burdockpulley;

namespace {

const ServiceId Fee("fee");
const UpstreamId OnlyUpstream("u");
constexpr std::uint32_t Slots = 40;

std::uint32_t routePriority(std::uint32_t Route) {
  return basePriority(withShare(Route << 1, false));
}
const std::uint32_t Urgent = routePriority(0);
const std::uint32_t Less = routePriority(2);

class NamingCodec : public NoCodec {
public:
  NamingCodec() {
    m_names.m_requestId = "Request-Id";
    m_names.m_expectedUpstream = "Expected-OnlyUpstream";
    m_names.m_notRun = "Not-Run";
    m_names.m_deadline = "Deadline";
  }
  UpstreamNotice decodeNotice(const HttpResponse &Response) const override {
    UpstreamNotice Notice;
    if (!Response.header("Pause").empty())
      Notice.m_pause = std::chrono::seconds(1);
    return Notice;
  }
  const HeaderNames &headers() const override { return m_names; }

private:
  HeaderNames m_names;
};

RouteRule route(const char *Prefix, std::uint32_t Priority) {
  RouteRule Rule;
  Rule.m_name = Prefix;
  Rule.m_host = "x.example";
  Rule.m_prefix = Prefix;
  Rule.m_idempotent = true;
  Rule.m_timeout = std::chrono::seconds(10);
  // Service times are a third until they are measured: 100 ms.
  Rule.m_latencyGoal = std::chrono::milliseconds(300);
  Rule.m_priority = Priority;
  Rule.m_maxAttempts = 2;
  Rule.m_targets = {{Fee, 1}};
  return Rule;
}

GatewaySettings withReserve() {
  GatewaySettings Settings;
  Settings.m_reserveSlots = true;
  return Settings;
}

/// A host with one upstream. No test but those that call runUntil() lets the
/// requests leave the host.
class RelayHost {
public:
  RelayHost()
      : m_base(event_base_new()), m_server(m_base.get(), "", false),
        m_state(m_base.get(), withReserve(), m_codec), m_relay(m_state),
        m_start(bootClockNow()) {
    auto Configuration = std::make_shared<RoutingConfiguration>();
    Configuration->m_services[Fee].m_name = Fee;
    Configuration->m_routes = {route("/urgent/", 0), route("/less/", 2)};
    m_state.m_routes.apply(Configuration);
    UpstreamRecord Record;
    Record.m_id = OnlyUpstream;
    Record.m_service = Fee;
    Record.m_address = m_server.m_endpoint;
    Record.m_slots = Slots;
    Record.m_incarnation = UpstreamIncarnation(1);
    Record.m_sequence = 1;
    m_state.m_registry.onRecord(Record, m_start);
  }
  ~RelayHost() {
    m_relay.endAll(bootClockNow());
    m_server.stop();
  }

  Instant at(std::int64_t Milliseconds) const {
    return m_start + std::chrono::milliseconds(Milliseconds);
  }

  void request(const char *Prefix, std::int64_t Milliseconds,
               const char *Deadline = "10000") {
    HttpRequest Request{"GET", Prefix, {{"Host", "x.example"}}, "", ""};
    Request.m_headers.push_back({"Deadline", Deadline});
    Request.m_headers.push_back({"Request-Id", std::to_string(++m_requests)});
    m_relay.onRequest(
        std::make_shared<Exchange>(nullptr, std::move(Request), m_start),
        at(Milliseconds));
  }

  /// Lets another host report load by priority, and requests that wait there.
  void report(const char *Host, const std::vector<PriorityDemand> &Demands,
              const std::map<std::uint32_t, QueuedWork> &Queued,
              std::int64_t Milliseconds) {
    PeerLoad Load;
    decodeQueue(encodeQueue(nameHash(Fee.value()), Queued, Demands), Load);
    m_state.m_peerLoads.onLoad(HostId(Host), std::move(Load), at(Milliseconds));
  }

  std::uint32_t sent() const {
    return m_state.m_registry.find(OnlyUpstream)->m_outstanding;
  }
  bool measures(const std::string &Line) const {
    return m_state.m_metrics.text().find(Line) != std::string::npos;
  }
  /// Requests in flight from this host, as it would report them now.
  double inFlight() {
    m_relay.updateReserves(bootClockNow() + SlotReserve::UpdateInterval);
    double Sum = 0;
    for (const auto &[Service, Demands] : m_relay.demandByService(at(0)))
      for (const PriorityDemand &Each : Demands)
        Sum += Each.m_inFlight;
    return Sum;
  }

  /// Lets events happen until \p Done. False if that takes more than 5 s.
  bool runUntil(const std::function<bool()> &Done) {
    Instant End = bootClockNow() + std::chrono::seconds(5);
    while (!Done() && bootClockNow() < End)
      event_base_loop(m_base.get(), EVLOOP_NONBLOCK);
    return Done();
  }

  struct FreeBase {
    void operator()(event_base *Base) const { event_base_free(Base); }
  };
  std::unique_ptr<event_base, FreeBase> m_base;
  RawServer m_server;
  NamingCodec m_codec;
  GatewayState m_state;
  RequestRelay m_relay;
  Instant m_start;
  int m_requests = 0;
};

const char *const HeldLess =
    "requests_held_for_urgent_total{route=\"/less/\"} 1";

PeerUpstreamLoad outstanding(std::uint32_t Requests) {
  PeerUpstreamLoad Load;
  Load.m_upstream = nameHash(OnlyUpstream.value());
  Load.m_outstanding = Requests;
  return Load;
}

double inFlightOf(const PeerLoads &Loads, std::uint32_t Priority) {
  double Sum = 0;
  for (const PriorityDemand &Each : Loads.demands(Fee))
    Sum += Each.m_priority == Priority ? Each.m_inFlight : 0;
  return Sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServiceReservesTest)

// Guards against load of other hosts that is counted twice, or still counted
// after a host has gone.
BOOST_AUTO_TEST_CASE(load_of_other_hosts_is_summed_up) {
  UpstreamRegistry Registry;
  UpstreamRecord Record;
  Record.m_id = OnlyUpstream;
  Record.m_service = Fee;
  Record.m_sequence = 1;
  Instant Now = bootClockNow();
  Registry.onRecord(Record, Now);
  PeerLoads Loads(Registry);
  PeerLoad Reporting;
  Reporting.m_upstreams = {outstanding(3)};
  Reporting.m_demands[nameHash(Fee.value())] = {{Urgent, 0.1, 1, 0},
                                                {Less, 0.2, 2, 0}};
  Reporting.m_priorities[nameHash(Fee.value())] = {{Less, {4, Duration(4000)}}};
  Reporting.m_waiting[nameHash(Fee.value())] = 4;
  PeerLoad Older;
  Older.m_upstreams = {outstanding(5)};
  Loads.onLoad(HostId("a"), Reporting, Now);
  Loads.onLoad(HostId("a"), Reporting, Now);
  Loads.onLoad(HostId("b"), Reporting, Now);
  Loads.onLoad(HostId("older"), Older, Now);
  const UpstreamState &State = *Registry.find(OnlyUpstream);
  BOOST_TEST(State.m_peerOutstanding == 11u);
  BOOST_TEST(State.m_peerUnreported == 5u);
  BOOST_TEST(inFlightOf(Loads, Urgent) == 2);
  BOOST_TEST(inFlightOf(Loads, Less) == 4);
  double Waiting = 0;
  double Arrivals = 0;
  for (const PriorityDemand &Each : Loads.demands(Fee)) {
    Waiting += Each.m_waiting;
    Arrivals += Each.m_arrivals;
  }
  BOOST_TEST(Waiting == 8);
  BOOST_TEST(std::abs(Arrivals - 0.6) < 1e-9);
  // A host that gets requests of one priority again.
  Loads.onLoad(HostId("b"), Older, Now);
  BOOST_TEST(State.m_peerUnreported == 10u);
  BOOST_TEST(inFlightOf(Loads, Less) == 2);
  Loads.expire(Now + std::chrono::seconds(60));
  BOOST_TEST(State.m_peerUnreported == 0u);
  BOOST_TEST(Loads.demands(Fee).empty());
}

// Guards against a reserve that counts the slots of upstreams which take no
// requests, or none of older hosts' requests.
BOOST_AUTO_TEST_CASE(hosts_that_do_not_report_take_slots) {
  UpstreamRegistry Registry;
  Instant Now = bootClockNow();
  for (const char *Id : {"u", "v", "w"}) {
    UpstreamRecord Record;
    Record.m_id = UpstreamId(Id);
    Record.m_service = Fee;
    Record.m_slots = 20;
    Record.m_sequence = 1;
    Registry.onRecord(Record, Now);
  }
  Registry.onUnreachable(UpstreamId("w"), Now);
  PeerLoads Loads(Registry);
  std::map<ServiceId, Duration> WorkTimes;
  ServiceReserves Reserves(Registry, Loads, WorkTimes);
  auto Limit = [&](std::uint32_t OfOlderHosts) {
    PeerLoad Older;
    Older.m_upstreams = {outstanding(OfOlderHosts)};
    Loads.onLoad(HostId("older"), Older, Now);
    for (int Round = 0; Round < 100; ++Round) {
      Now += SlotReserve::UpdateInterval;
      Reserves.onArrival(Fee, Urgent, std::chrono::milliseconds(200), Now);
      Reserves.onArrival(Fee, Less, std::chrono::milliseconds(200), Now);
      if (Round == 0)
        for (int Sent = 0; Sent < 15; ++Sent)
          Reserves.onSent(Fee, Less);
      Reserves.update({{Fee, {{Less, {40, Duration()}}}}}, Now);
    }
    for (int Sent = 0; Sent < 15; ++Sent)
      Reserves.onEnded(Fee, Less);
    ServiceCapacity Capacity{40};
    Reserves.addLimits(Fee, Capacity);
    return Capacity.slotsFor(Less);
  };
  // 50 a second of 200 ms take 10 slots, and 6.3 are the margin.
  BOOST_TEST(std::abs(Limit(0) - (40 - 16.3)) < 0.5);
  BOOST_TEST(std::abs(Limit(10) - (30 - 16.3)) < 0.5);
  BOOST_TEST(Limit(30) == 40); // More than half of all.
}

// Guards against less urgent requests that fill the slots while urgent ones
// arrive, and against urgent ones that wait behind them.
BOOST_AUTO_TEST_CASE(a_held_request_waits_and_does_not_stop_urgent_ones) {
  RelayHost Host;
  Host.request("/less/", 0);
  BOOST_TEST(Host.sent() == 1u);
  Host.report("other", {{Urgent, 100, 5, 0}, {Less, 300, 30, 0}}, {}, 10);
  Host.m_relay.updateReserves(Host.at(20));
  Host.request("/less/", 21);
  BOOST_TEST(Host.sent() == 1u);
  BOOST_TEST(Host.m_relay.waiting() == 1u);
  BOOST_TEST(Host.measures(HeldLess));
  Host.request("/urgent/", 22);
  BOOST_TEST(Host.sent() == 2u);
  Host.m_relay.dispatchWaiting(Host.at(23));
  BOOST_TEST(Host.m_relay.waiting() == 1u);
  BOOST_TEST(Host.measures(HeldLess)); // Once for each request.
  Host.m_relay.sweep(Host.at(24));
  BOOST_TEST(Host.measures("reserved_slots{service=\"fee\"} 16"));
  // The other host no longer gets urgent requests.
  Host.report("other", {}, {}, 30);
  for (int Now = 40; Now < 4000; Now += 20)
    Host.m_relay.dispatchWaiting(Host.at(Now));
  BOOST_TEST(Host.sent() == 3u);
  BOOST_TEST(Host.m_relay.waiting() == 0u);
}

// Guards against slots that a less urgent kind keeps and never uses, as the
// first request of the queue is held, or as urgent requests wait elsewhere.
BOOST_AUTO_TEST_CASE(a_held_urgent_request_does_not_stop_less_urgent_ones) {
  RelayHost Host;
  Host.request("/urgent/", 0);
  BOOST_TEST(Host.sent() == 1u);
  Host.report("other", {{Urgent, 800, 40, 0}},
              {{Urgent, {50, std::chrono::seconds(5)}}}, 10);
  Host.request("/less/", 11);
  Host.m_relay.updateReserves(Host.at(20));
  Host.request("/urgent/", 21);
  BOOST_TEST(Host.sent() == 1u);
  BOOST_TEST(Host.m_relay.waiting() == 2u);
  BOOST_TEST(
      Host.measures("requests_held_for_urgent_total{route=\"/urgent/\"} 1"));
  int Now = 40;
  for (; Now < 400 && Host.sent() == 1; Now += 20)
    Host.m_relay.dispatchWaiting(Host.at(Now));
  BOOST_TEST(Host.sent() == 2u);
  BOOST_TEST(Host.m_relay.waitingByService()[Fee].count(Urgent) == 1u);
  BOOST_TEST(Host.m_relay.waitingByService()[Fee].count(Less) == 0u);
}

// Guards against any effect where there is nothing to reserve for.
BOOST_AUTO_TEST_CASE(one_priority_is_sent_and_reported_as_before) {
  RelayHost Host;
  // Another host that gets the same priority only.
  Host.report("other", {}, {{Less, {20, std::chrono::seconds(2)}}}, 0);
  std::uint32_t Places = Slots + MaxQueuedBeyondSlots;
  for (int Number = 0; Number < 60; ++Number) {
    Host.request("/less/", Number);
    BOOST_TEST(Host.sent() ==
               std::min(Places, static_cast<std::uint32_t>(Number + 1)));
    Host.m_relay.updateReserves(Host.at(Number));
  }
  BOOST_TEST(Host.m_relay.waiting() == 60 - Places);
  BOOST_TEST(Host.m_relay.demandByService(Host.at(60)).empty());
  BOOST_TEST(!Host.measures("requests_held_for_urgent_total{"));
  Host.m_relay.sweep(Host.at(60));
  BOOST_TEST(Host.measures("reserved_slots{service=\"fee\"} 0"));
}

// Guards against attempts that count as in flight after their end, which take
// slots from their priority for ever.
BOOST_AUTO_TEST_CASE(each_attempt_ends_in_the_reserve) {
  const char *const Responses[] = {
      "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 500 Failed\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n",
      ("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRequest-Id: 1\r\n"
       "Content-Length: 0\r\n\r\n"),
      "no HTTP\r\n\r\n"};
  for (const char *Response : Responses)
    for (bool Closes : {false, true}) {
      RelayHost Host;
      Host.report("other", {{Urgent, 1, 0, 0}}, {}, 0);
      Host.m_server.m_response = Response;
      Host.m_server.m_closeAfterResponse = Closes;
      Host.request("/less/", 0);
      BOOST_TEST(Host.inFlight() == 1);
      BOOST_TEST(
          Host.runUntil([&Host] { return Host.m_relay.inFlight() == 0; }));
      BOOST_TEST(Host.inFlight() == 0);
    }
  RelayHost Refused;
  Refused.report("other", {{Urgent, 1, 0, 0}}, {}, 0);
  Refused.m_server.stop();
  Refused.request("/less/", 0);
  BOOST_TEST(
      Refused.runUntil([&Refused] { return Refused.m_relay.inFlight() == 0; }));
  BOOST_TEST(Refused.inFlight() == 0);
  RelayHost Ended;
  Ended.report("other", {{Urgent, 1, 0, 0}}, {}, 0);
  Ended.request("/less/", 0);
  BOOST_TEST(Ended.inFlight() == 1);
  Ended.m_relay.endAll(bootClockNow());
  BOOST_TEST(Ended.inFlight() == 0);
}

// Guards against a metric that misses requests which full upstreams refuse or
// never answer, or that counts other failures.
BOOST_AUTO_TEST_CASE(requests_that_meet_a_full_upstream_are_counted) {
  struct {
    const char *m_response;
    std::uint32_t m_running;
    bool m_counted;
  } const Cases[] = {
      {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRequest-Id: 1\r\nContent-Length: "
       "0\r\n\r\n",
       0, true},
      {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nPause: 1\r\n"
       "Request-Id: 1\r\nContent-Length: 0\r\n\r\n",
       0, false},
      {"HTTP/1.1 429 Limit\r\nNot-Run: 1\r\nRequest-Id: 1\r\nContent-Length: "
       "0\r\n\r\n",
       Slots, false},
      {"HTTP/1.1 503 Failed\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n",
       Slots, false},
      {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n", Slots,
       false},
      {"", Slots, true},
      {"", Slots - 1, false}};
  for (const auto &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_response << Case.m_running) {
      RelayHost Host;
      Host.m_server.m_response = Case.m_response;
      Host.m_state.m_registry.find(OnlyUpstream)->m_report.m_running =
          Case.m_running;
      Host.request("/less/", 0, "200");
      BOOST_TEST(Host.sent() == 1u);
      BOOST_TEST(
          Host.runUntil([&Host] { return Host.m_relay.inFlight() == 0; }));
      BOOST_TEST(Host.measures(
                     "requests_met_full_upstream_total{service=\"fee\"} 1") ==
                 Case.m_counted);
    }
  }
}

// The same for callers that close their connections.
BOOST_AUTO_TEST_CASE(the_attempt_of_a_caller_that_leaves_ends_in_the_reserve) {
  RelayHost Host;
  Host.report("other", {{Urgent, 1, 0, 0}}, {}, 0);
  CallerListener Listener(
      Host.m_base.get(), 10, [&Host](std::shared_ptr<Exchange> Request) {
        Host.m_relay.onRequest(std::move(Request), bootClockNow());
      });
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(Listener.listen({"127.0.0.1", 0}));
  int Caller = socket(AF_INET, SOCK_STREAM, 0);
  BOOST_REQUIRE(connect(Caller, reinterpret_cast<sockaddr *>(&Address),
                        sizeof(Address)) == 0);
  std::string Request = "GET /less/ HTTP/1.1\r\nHost: x.example\r\n"
                        "Request-Id: 1\r\n\r\n";
  BOOST_REQUIRE(write(Caller, Request.data(), Request.size()) ==
                static_cast<ssize_t>(Request.size()));
  BOOST_TEST(Host.runUntil([&Host] { return Host.sent() == 1; }));
  BOOST_TEST(Host.inFlight() == 1);
  close(Caller);
  BOOST_TEST(Host.runUntil([&Host] { return Host.m_relay.inFlight() == 0; }));
  BOOST_TEST(Host.inFlight() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
