#include "burdockpulley/peer_loads.h"
#include "burdockpulley/wait_queue.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <ostream>
#include <random>
#include <set>

using namespace burdockpulley;

namespace {

constexpr std::uint32_t Urgent = 0;
constexpr std::uint32_t Bulk = 5;

Instant at(std::int64_t Milliseconds) {
  return Instant(std::chrono::milliseconds(1'000'000 + Milliseconds));
}

/// Requests of one priority by their end.
struct Counts {
  int m_inTime = 0;
  int m_late = 0;
  int m_refused = 0;
};

std::ostream &operator<<(std::ostream &Out, const Counts &Of) {
  return Out << Of.m_inTime << " in time, " << Of.m_late << " late, "
             << Of.m_refused << " refused";
}

enum class Rule {
  Count,     ///< Requests at other hosts count, whatever their priority.
  Priorities ///< They count, and go first, by priority.
};

/// Six hosts that share the slots of one service and learn of each other's
/// queues every 100 ms; in steps of 1 ms.
class Hosts {
public:
  static constexpr std::size_t Slots = 8;
  static constexpr std::int64_t Work = 100;

  explicit Hosts(Rule Kind) : m_kind(Kind) {}

  /// \p Rates: requests a millisecond, by priority. Urgent ones come to the
  /// first host only, as those of one team may.
  std::map<std::uint32_t, Counts>
  run(const std::map<std::uint32_t, double> &Rates, std::int64_t Length) {
    std::uniform_real_distribution<double> Fraction(0, 1);
    for (std::int64_t Now = 0; Now < Length; ++Now) {
      for (Host &Each : m_hosts)
        Each.m_running -= static_cast<std::size_t>(Each.m_ends.erase(Now));
      if (Now % 100 == 0)
        report(Now);
      for (const auto &[Priority, Rate] : Rates)
        if (Fraction(m_random) < Rate)
          arrive(m_hosts[Priority == Urgent ? 0 : m_random() % m_hosts.size()],
                 Priority, Now);
      for (std::size_t Turn = 0; Turn < m_hosts.size(); ++Turn)
        dispatch(
            m_hosts[(Turn + static_cast<std::size_t>(Now)) % m_hosts.size()],
            Now);
    }
    return m_counts;
  }

private:
  struct Host {
    WaitQueue m_queue;
    std::map<RequestNumber, WaitingRequest> m_waiting;
    std::multiset<std::int64_t> m_ends;
    std::size_t m_running = 0;
    std::size_t m_peerRunning = 0; ///< As of the last report.
    UpstreamRegistry m_registry;
    PeerLoads m_loads{m_registry};
  };

  ServiceCapacity capacityOf(const Host &Local) const {
    ServiceCapacity Capacity{Slots, 0};
    const PeerQueues &Queues = Local.m_loads.queues(ServiceId("fee"));
    Queues.addTo(Capacity, Queues.total());
    return Capacity;
  }

  void arrive(Host &Local, std::uint32_t Priority, std::int64_t Now) {
    WaitingRequest Request;
    Request.m_number = RequestNumber(++m_lastNumber);
    Request.m_priority = Priority;
    Request.m_workTime = std::chrono::milliseconds(Work);
    Request.m_goal = at(Now + 600);
    Request.m_deadline = at(Now + 1200);
    if (Local.m_queue.offer(Request, capacityOf(Local), at(Now)))
      ++m_counts[Priority].m_refused;
    else
      Local.m_waiting[Request.m_number] = Request;
  }

  void dispatch(Host &Local, std::int64_t Now) {
    for (RequestNumber Number :
         Local.m_queue.giveUp(capacityOf(Local), at(Now)))
      ++m_counts[Local.m_waiting.at(Number).m_priority].m_refused;
    while (auto Number = Local.m_queue.first(at(Now))) {
      const WaitingRequest &Request = Local.m_waiting.at(*Number);
      std::size_t Running = Local.m_running + Local.m_peerRunning;
      std::size_t Free = Slots > Running ? Slots - Running : 0;
      const PeerQueues &Queues = Local.m_loads.queues(ServiceId("fee"));
      bool Yields =
          m_kind == Rule::Priorities &&
          Queues.moreUrgent(Request.m_priority) > static_cast<double>(Free);
      if (Free == 0 || Yields)
        return;
      // What exceeds the slots waits at the upstream.
      std::int64_t &FreeAt =
          *std::min_element(m_slotFreeAt.begin(), m_slotFreeAt.end());
      FreeAt = std::max(FreeAt, Now) + Work;
      ++(at(FreeAt) <= Request.m_goal ? m_counts[Request.m_priority].m_inTime
                                      : m_counts[Request.m_priority].m_late);
      Local.m_ends.insert(FreeAt);
      ++Local.m_running;
      Local.m_queue.remove(*Number);
    }
  }

  void report(std::int64_t Now) {
    std::size_t Running = 0;
    for (const Host &Each : m_hosts)
      Running += Each.m_running;
    for (std::size_t Index = 0; Index < m_hosts.size(); ++Index) {
      Host &Sender = m_hosts[Index];
      Sender.m_peerRunning = Running - Sender.m_running;
      std::map<std::uint32_t, QueuedWork> Sums;
      Sender.m_queue.addTo(Sums);
      PeerLoad Load;
      Load.m_waiting[nameHash("fee")] =
          static_cast<std::uint32_t>(Sender.m_queue.size());
      if (m_kind == Rule::Priorities)
        for (const auto &[Priority, Sum] : Sums)
          Load.m_priorities[nameHash("fee")].push_back({Priority, Sum});
      for (Host &Receiver : m_hosts)
        if (&Receiver != &Sender)
          Receiver.m_loads.onLoad(HostId(std::to_string(Index)), Load, at(Now));
    }
  }

  Rule m_kind;
  std::array<Host, 6> m_hosts;
  std::array<std::int64_t, Slots> m_slotFreeAt{};
  std::map<std::uint32_t, Counts> m_counts;
  std::uint64_t m_lastNumber = 0;
  std::mt19937_64 m_random{20261205};
};

} // namespace

BOOST_AUTO_TEST_SUITE(admission)

// Guards against urgent requests that wait at one host while others send less
// urgent ones, or that are refused for the less urgent ones of other hosts.
BOOST_AUTO_TEST_CASE(urgent_requests_go_first_whichever_host_they_wait_at) {
  std::map<std::uint32_t, double> Load{{Urgent, 0.03}, {Bulk, 0.09}};
  auto Before = Hosts(Rule::Count).run(Load, 30'000);
  auto Now = Hosts(Rule::Priorities).run(Load, 30'000);
  BOOST_TEST_MESSAGE("urgent: " << Now[Urgent]
                                << "; without priorities: " << Before[Urgent]);
  BOOST_TEST_MESSAGE("others: " << Now[Bulk]
                                << "; without priorities: " << Before[Bulk]);
  BOOST_TEST(Now[Urgent].m_refused <= Before[Urgent].m_refused / 4);
  BOOST_TEST(Now[Urgent].m_inTime > Before[Urgent].m_inTime);
  BOOST_TEST(Now[Urgent].m_inTime + Now[Bulk].m_inTime >=
             (Before[Urgent].m_inTime + Before[Bulk].m_inTime) * 95 / 100);
}

// Guards against requests that wait although slots are free.
BOOST_AUTO_TEST_CASE(priorities_do_no_harm_at_light_load) {
  std::map<std::uint32_t, double> Load{{Urgent, 0.01}, {Bulk, 0.03}};
  auto Before = Hosts(Rule::Count).run(Load, 30'000);
  auto Now = Hosts(Rule::Priorities).run(Load, 30'000);
  for (std::uint32_t Priority : {Urgent, Bulk}) {
    BOOST_TEST(Now[Priority].m_inTime >= Before[Priority].m_inTime);
    BOOST_TEST(Now[Priority].m_refused == 0);
  }
}

BOOST_AUTO_TEST_CASE(requests_at_hosts_without_priorities_count_as_equal) {
  UpstreamRegistry Registry;
  PeerLoads Loads(Registry);
  PeerLoad Older;
  Older.m_waiting[nameHash("fee")] = 3;
  PeerLoad Newer;
  Newer.m_waiting[nameHash("fee")] = 2;
  Newer.m_priorities[nameHash("fee")] = {
      {Bulk, {2, std::chrono::milliseconds(80)}}};
  Loads.onLoad(HostId("older"), Older, at(0));
  Loads.onLoad(HostId("newer"), Newer, at(0));
  const PeerQueues &Queues = Loads.queues(ServiceId("fee"));
  ServiceCapacity Capacity;
  Queues.addTo(Capacity, Queues.total());
  BOOST_TEST(Capacity.m_waiting == 3u);
  BOOST_TEST(Capacity.elsewhere(Urgent, 1).m_requests == 0);
  BOOST_TEST(Capacity.elsewhere(Bulk, 1).m_work.count() == 80'000);
  BOOST_TEST(Queues.moreUrgent(Bulk) == 0);
  // A new report replaces the last one.
  Loads.onLoad(HostId("older"), Newer, at(1));
  Loads.onLoad(HostId("newer"), {}, at(1));
  BOOST_TEST(Loads.queues(ServiceId("fee")).total() == 2);
  Loads.expire(at(60'000));
  BOOST_TEST(Loads.queues(ServiceId("fee")).total() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
