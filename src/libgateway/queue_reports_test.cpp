#include "queue_reports.h"

#include "burdockpulley/team_shares.h"
#include "burdockpulley/thrift_codec.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace burdockpulley;

namespace {

const NameHash Service(77);

QueuedWork queued(double Requests) {
  return {Requests, Duration(static_cast<std::int64_t>(Requests * 100'000))};
}

/// What another host gets of a service.
PeerLoad sent(const std::map<std::uint32_t, QueuedWork> &Queued,
              const std::vector<PriorityDemand> &Demands) {
  wire::HostStatus Status;
  Status.queues = {encodeQueue(Service, Queued, Demands)};
  wire::HostStatus Received;
  BOOST_REQUIRE(decodeThrift(encodeThrift(Status), Received));
  PeerLoad Load;
  decodeQueue(Received.queues.at(0), Load);
  return Load;
}

wire::QueuedPriority entry(std::int32_t Priority, std::int32_t InFlight,
                           std::int32_t ArrivalsHundredths) {
  wire::QueuedPriority Entry;
  Entry.priority = Priority;
  Entry.__set_inFlight(InFlight);
  Entry.__set_arrivalsHundredths(ArrivalsHundredths);
  return Entry;
}

} // namespace

BOOST_AUTO_TEST_SUITE(QueueReportsTest)

// Guards against load that other hosts see with another priority or amount.
BOOST_AUTO_TEST_CASE(load_by_priority_reaches_other_hosts) {
  std::uint32_t Urgent = basePriority(withShare(0, false));
  std::uint32_t Less = basePriority(withShare(4, false));
  std::uint32_t LessAbove = withShare(4, true); // Returning, above its share.
  PeerLoad Load = sent({{Less, queued(3)}, {LessAbove, queued(2)}},
                       {{Urgent, 12.34, 5, 0}, {Less, 0.5, 0, 5}});
  BOOST_TEST(Load.m_waiting[Service] == 5u);
  const auto &Demands = Load.m_demands[Service];
  BOOST_REQUIRE(Demands.size() == 2u);
  BOOST_TEST(Demands[0].m_priority == Urgent);
  BOOST_TEST(Demands[0].m_arrivals == 12.34);
  BOOST_TEST(Demands[0].m_inFlight == 5);
  BOOST_TEST(Demands[1].m_priority == Less);
  BOOST_TEST(Demands[1].m_arrivals == 0.5);
  BOOST_TEST(Demands[1].m_inFlight == 0);
  const auto &Priorities = Load.m_priorities[Service];
  BOOST_REQUIRE(Priorities.size() == 3u);
  BOOST_TEST(Priorities[0].m_queued.m_requests == 0);
  BOOST_TEST(Priorities[1].m_priority == Less);
  BOOST_TEST(Priorities[1].m_queued.m_requests == 3);
  BOOST_TEST(Priorities[2].m_priority == LessAbove);
  BOOST_TEST(Priorities[2].m_queued.m_requests == 2);
}

// Guards against new fields from hosts that get requests of one priority.
BOOST_AUTO_TEST_CASE(without_demand_nothing_new_is_sent) {
  wire::QueueLength Queue = encodeQueue(Service, {{5, queued(3)}}, {});
  BOOST_REQUIRE(Queue.priorities.size() == 1u);
  BOOST_TEST(!Queue.priorities[0].__isset.inFlight);
  BOOST_TEST(!Queue.priorities[0].__isset.arrivalsHundredths);
  BOOST_TEST(sent({{5, queued(3)}}, {}).m_demands.empty());
  // Nor by demand that is gone.
  BOOST_TEST(sent({{5, queued(3)}}, {{5, 0.004, 0, 3}}).m_demands.empty());
}

// Guards against messages without bound, and load that gets lost by the bound.
BOOST_AUTO_TEST_CASE(the_least_urgent_priorities_count_together) {
  std::vector<PriorityDemand> Demands;
  for (std::uint32_t Route = 0; Route < 20; ++Route)
    Demands.push_back({basePriority(withShare(Route << 1, false)), 2, 1, 0});
  PeerLoad Load = sent({}, Demands);
  const auto &Received = Load.m_demands[Service];
  BOOST_REQUIRE(Received.size() == MaxQueuedPriorities);
  double Arrivals = 0;
  double InFlight = 0;
  for (const PriorityDemand &Each : Received) {
    Arrivals += Each.m_arrivals;
    InFlight += Each.m_inFlight;
  }
  BOOST_TEST(Arrivals == 40);
  BOOST_TEST(InFlight == 20);
  BOOST_TEST(Received.front().m_priority == Demands.front().m_priority);
  BOOST_TEST(Received.back().m_priority == Demands.back().m_priority);
}

// Guards against a host with wrong numbers that takes all slots of a service
// from others, or that adds negative load.
BOOST_AUTO_TEST_CASE(absurd_load_is_bounded) {
  constexpr std::int32_t Most = std::numeric_limits<std::int32_t>::max();
  constexpr std::int32_t Least = std::numeric_limits<std::int32_t>::min();
  wire::QueueLength Queue;
  Queue.serviceHash = Service.value();
  std::vector<wire::QueuedPriority> Entries = {
      entry(Least, Least, Least), entry(5, -1, Most), entry(Most, Most, -1)};
  Entries.resize(1000, entry(9, 1, 1));
  Queue.__set_priorities(Entries);
  PeerLoad Load;
  decodeQueue(Queue, Load);
  const auto &Demands = Load.m_demands[Service];
  BOOST_REQUIRE(Demands.size() == MaxQueuedPriorities);
  BOOST_TEST(Demands[0].m_priority == 1u);
  BOOST_TEST(Demands[0].m_inFlight == 0);
  BOOST_TEST(Demands[0].m_arrivals == 0);
  BOOST_TEST(Demands[1].m_inFlight == 0);
  BOOST_TEST(Demands[1].m_arrivals == 100'000);
  BOOST_TEST(Demands[2].m_inFlight == 100'000);
  BOOST_TEST(Demands[2].m_arrivals == 0);
  BOOST_TEST(encodeQueue(Service, {}, {{1, 1e300, 1e300, 0}})
                 .priorities.at(0)
                 .inFlight == 100'000);
}

BOOST_AUTO_TEST_SUITE_END()
