#include "burdockpulley/peer_loads.h"
#include "burdockpulley/slot_reserve.h"
#include "burdockpulley/wait_queue.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <cmath>
#include <map>
#include <optional>
#include <ostream>
#include <random>
#include <vector>

using namespace burdockpulley;

namespace {

using std::chrono::milliseconds;

Instant at(std::int64_t Milliseconds) {
  return Instant(milliseconds(1'000'000 + Milliseconds));
}

enum class Policy { FirstComeFirstServed, NoReserve, Reserve };

const char *name(Policy Kind) {
  switch (Kind) {
  case Policy::FirstComeFirstServed:
    return "first come first served";
  case Policy::NoReserve:
    return "no reserve";
  case Policy::Reserve:
    return "reserve";
  }
  return "";
}

/// Requests of one route, by what has become of them.
struct Ends {
  int m_arrived = 0;
  int m_inTime = 0; ///< Answered within the latency goal.
  int m_late = 0;
  int m_refused = 0;

  double inTimeShare() const {
    return static_cast<double>(m_inTime) / std::max(1, m_arrived);
  }
};

std::ostream &operator<<(std::ostream &Out, const Ends &Of) {
  return Out << Of.m_inTime << " in time, " << Of.m_late << " late, "
             << Of.m_refused << " refused of " << Of.m_arrived;
}

struct Setting {
  std::size_t m_hosts = 0;
  bool m_domainOut = false; ///< During the bursts.
  unsigned m_seed = 1;
};

std::ostream &operator<<(std::ostream &Out, const Setting &Of) {
  return Out << Of.m_hosts << " hosts, domain "
             << (Of.m_domainOut ? "out" : "in") << ", seed " << Of.m_seed;
}

/// Service C of deployment K: urgent and non-urgent requests that reach all
/// hosts at random, a burst of each, and hosts that know each other's load from
/// status messages, one in ten of which is lost. The upstreams are one pool of
/// slots: a request that meets no free slot is refused by the upstream, tried
/// again, and refused to the caller after four attempts.
class ServiceReplay {
public:
  static constexpr std::int64_t Step = 2; // All times in milliseconds.
  static constexpr std::int64_t BurstStart = 6000;
  static constexpr std::int64_t BurstEnd = 12'700;
  static constexpr std::int64_t UrgentBurstStart = 8000;
  static constexpr std::int64_t UrgentBurstEnd = 11'400;
  static constexpr std::int64_t End = 18'000;
  static constexpr std::int64_t Drain = 6000;
  static constexpr double Work = 320;
  static constexpr int SlotsPerUpstream = 6;
  static constexpr int Upstreams = 43;
  static constexpr int UpstreamsLeft = 29; ///< Without one failure domain.
  static constexpr double LossShare = 0.1;
  static constexpr std::int64_t RefusedPause = 4;
  static constexpr int MaxAttempts = 4;

  struct Route {
    std::uint32_t m_priority = 0;
    double m_rate = 0; ///< Requests a second.
    std::int64_t m_goal = 0;
    std::int64_t m_deadline = 0;
    double m_burstFactor = 1;
    std::int64_t m_burstStart = 0;
    std::int64_t m_burstEnd = 0;

    double rate(std::int64_t Now) const {
      return Now >= m_burstStart && Now < m_burstEnd ? m_rate * m_burstFactor
                                                     : m_rate;
    }
  };
  static constexpr std::array<Route, 2> Routes = {{
      {1, 137, 1000, 3000, 1.8, UrgentBurstStart, UrgentBurstEnd},
      {5, 178, 3000, 4000, 2.2, BurstStart, BurstEnd},
  }};

  struct Result {
    std::array<Ends, 2> m_usual;  ///< Before the bursts.
    std::array<Ends, 2> m_bursts; ///< During the longer burst.
    int m_metFull = 0;            ///< Requests that met no free slot.
    /// Non-urgent requests sent during the longer burst, and those that had
    /// arrived by then and for which the urgent ones and their margin left
    /// capacity.
    double m_sent = 0;
    double m_possible = 0;
  };

  ServiceReplay(Policy Kind, const Setting &With)
      : m_kind(Kind), m_setting(With), m_random(With.m_seed),
        m_arrivals(With.m_seed), m_hosts(With.m_hosts) {
    for (Host &Each : m_hosts) {
      Each.m_reports.resize(With.m_hosts);
      Each.m_nextStatus = static_cast<std::int64_t>(
          m_random() % static_cast<std::uint64_t>(interval()));
    }
  }

  Result run() {
    for (std::int64_t Now = 0; Now < End + Drain; Now += Step) {
      complete(Now);
      for (std::size_t Index = 0; Index < m_hosts.size(); ++Index)
        exchange(Index, Now);
      if (Now < End)
        arrivals(Now);
      std::size_t First = m_random() % m_hosts.size();
      for (std::size_t Turn = 0; Turn < m_hosts.size(); ++Turn)
        dispatch(m_hosts[(First + Turn) % m_hosts.size()], Now);
      countPossible(Now);
    }
    return m_result;
  }

private:
  struct Request {
    std::size_t m_route = 0;
    std::int64_t m_arrived = 0;
    std::int64_t m_notBefore = 0;
    int m_attempts = 0;
  };
  struct Report {
    int m_outstanding = 0;
    std::vector<PriorityDemand> m_demands;
    std::map<std::uint32_t, QueuedWork> m_queued;
  };
  struct Host {
    WaitQueue m_queue;
    SlotReserve m_reserve;
    std::map<RequestNumber, Request> m_waiting;
    int m_outstanding = 0;
    int m_othersOutstanding = 0;
    std::vector<Report> m_reports;               ///< The last one of each host.
    std::map<std::uint32_t, double> m_elsewhere; ///< Waiting, by priority.
    std::int64_t m_nextStatus = 0;
    std::uint64_t m_statuses = 0;
  };
  struct Running {
    std::size_t m_host = 0;
    Request m_request;
  };

  std::int64_t interval() const {
    return statusInterval(m_hosts.size()).count() / 1000;
  }

  int slots(std::int64_t Now) const {
    bool Out = m_setting.m_domainOut && Now >= BurstStart && Now < BurstEnd;
    return (Out ? UpstreamsLeft : Upstreams) * SlotsPerUpstream;
  }

  Ends *endsOf(const Request &Of) {
    if (Of.m_arrived >= 2000 && Of.m_arrived < BurstStart)
      return &m_result.m_usual[Of.m_route];
    if (Of.m_arrived >= BurstStart && Of.m_arrived < BurstEnd)
      return &m_result.m_bursts[Of.m_route];
    return nullptr;
  }

  void complete(std::int64_t Now) {
    while (!m_running.empty() && m_running.begin()->first <= Now) {
      Running Ended = m_running.begin()->second;
      m_running.erase(m_running.begin());
      Host &Local = m_hosts[Ended.m_host];
      const Route &Of = Routes[Ended.m_request.m_route];
      --Local.m_outstanding;
      Local.m_reserve.onEnded(Of.m_priority);
      bool InTime = Now - Ended.m_request.m_arrived <= Of.m_goal;
      if (Ends *Sums = endsOf(Ended.m_request))
        ++(InTime ? Sums->m_inTime : Sums->m_late);
    }
  }

  /// Sends the status of a host if it is due, and computes its limits.
  void exchange(std::size_t Index, std::int64_t Now) {
    Host &Sender = m_hosts[Index];
    if (Now >= Sender.m_nextStatus) {
      Sender.m_nextStatus = Now + interval();
      bool ToAll = Sender.m_statuses++ % RemoteStatusPeriod == 0;
      Report Status;
      Status.m_outstanding = Sender.m_outstanding;
      Status.m_demands = Sender.m_reserve.report(at(Now));
      Sender.m_queue.addTo(Status.m_queued);
      std::uniform_real_distribution<double> Fraction(0, 1);
      for (std::size_t To = 0; To < m_hosts.size(); ++To)
        if (To != Index && (ToAll || To % 3 == Index % 3) &&
            Fraction(m_random) >= LossShare)
          receive(m_hosts[To], Index, Status);
    }
    if (m_kind == Policy::Reserve && Sender.m_reserve.updateDue(at(Now)))
      updateReserve(Sender, Now);
  }

  static void receive(Host &Receiver, std::size_t From, const Report &Status) {
    Report &Last = Receiver.m_reports[From];
    Receiver.m_othersOutstanding += Status.m_outstanding - Last.m_outstanding;
    for (const auto &[Priority, Sum] : Last.m_queued)
      Receiver.m_elsewhere[Priority] -= Sum.m_requests;
    for (const auto &[Priority, Sum] : Status.m_queued)
      Receiver.m_elsewhere[Priority] += Sum.m_requests;
    Last = Status;
  }

  void updateReserve(Host &Local, std::int64_t Now) const {
    SlotReserve::ServiceView View;
    View.m_slots = slots(Now);
    for (const Report &Last : Local.m_reports) {
      if (Last.m_demands.empty())
        View.m_unknownInFlight += Last.m_outstanding;
      View.m_others.insert(View.m_others.end(), Last.m_demands.begin(),
                           Last.m_demands.end());
    }
    std::map<std::uint32_t, QueuedWork> Waiting;
    Local.m_queue.addTo(Waiting);
    for (const auto &[Priority, Sum] : Waiting)
      View.m_waitingHere[Priority] = Sum.m_requests;
    Local.m_reserve.update(View, at(Now));
  }

  void arrivals(std::int64_t Now) {
    for (std::size_t Index = 0; Index < Routes.size(); ++Index) {
      std::poisson_distribution<int> Count(Routes[Index].rate(Now) * Step /
                                           1000);
      for (int Left = Count(m_arrivals); Left > 0; --Left)
        arrive(m_hosts[m_arrivals() % m_hosts.size()], {Index, Now}, Now);
    }
  }

  void arrive(Host &Local, const Request &New, std::int64_t Now) {
    const Route &Of = Routes[New.m_route];
    if (Ends *Sums = endsOf(New))
      ++Sums->m_arrived;
    if (New.m_route == 1 && Now >= BurstStart && Now < BurstEnd)
      ++m_backlog;
    Local.m_reserve.onArrival(Of.m_priority,
                              milliseconds(static_cast<int>(Work)), at(Now));
    enqueue(Local, RequestNumber(++m_lastNumber), New, Now);
  }

  void enqueue(Host &Local, RequestNumber Number, const Request &Added,
               std::int64_t Now) {
    const Route &Of = Routes[Added.m_route];
    bool Ordered = m_kind != Policy::FirstComeFirstServed;
    WaitingRequest Place;
    Place.m_number = Number;
    Place.m_priority = Ordered ? Of.m_priority : 1;
    Place.m_workTime = milliseconds(static_cast<int>(Work));
    Place.m_goal = at(Added.m_arrived + (Ordered ? Of.m_goal : 3000));
    Place.m_deadline = at(Added.m_arrived + Of.m_deadline);
    if (Local.m_queue.offer(Place, capacityFor(Local, Of, Now), at(Now)))
      return refuse(Added);
    Local.m_waiting[Number] = Added;
  }

  ServiceCapacity capacityFor(const Host &Local, const Route &Of,
                              std::int64_t Now) const {
    ServiceCapacity Capacity;
    Capacity.m_slots = Local.m_reserve.slotsFor(Of.m_priority, slots(Now));
    for (const auto &[Priority, Waiting] : Local.m_elsewhere)
      Capacity.m_elsewhere.push_back(
          {Priority,
           {Waiting, milliseconds(static_cast<std::int64_t>(Waiting * Work))}});
    return Capacity;
  }

  void refuse(const Request &Refused) {
    if (Ends *Sums = endsOf(Refused))
      ++Sums->m_refused;
  }

  void dispatch(Host &Local, std::int64_t Now) {
    if (Local.m_waiting.empty())
      return;
    const Route &Least = Routes.back();
    for (RequestNumber Number :
         Local.m_queue.giveUp(capacityFor(Local, Least, Now), at(Now))) {
      refuse(Local.m_waiting[Number]);
      Local.m_waiting.erase(Number);
    }
    auto Number = Local.m_queue.first(at(Now));
    while (Number) {
      auto Next = Local.m_queue.after(*Number);
      trySend(Local, *Number, Now);
      Number = Next;
    }
  }

  void trySend(Host &Local, RequestNumber Number, std::int64_t Now) {
    Request Sent = Local.m_waiting[Number];
    const Route &Of = Routes[Sent.m_route];
    int Free = slots(Now) - Local.m_outstanding - Local.m_othersOutstanding;
    if (Now < Sent.m_notBefore || Free <= 0)
      return;
    if (m_kind == Policy::Reserve && !Local.m_reserve.allows(Of.m_priority))
      return;
    if (m_kind != Policy::FirstComeFirstServed) {
      double MoreUrgent = 0;
      for (const auto &[Priority, Waiting] : Local.m_elsewhere)
        MoreUrgent += Priority < Of.m_priority ? Waiting : 0;
      if (MoreUrgent > Free)
        return;
    }
    Local.m_reserve.onSent(Of.m_priority);
    if (static_cast<int>(m_running.size()) >= slots(Now)) {
      ++m_result.m_metFull;
      Local.m_reserve.onEnded(Of.m_priority);
      Request &Refused = Local.m_waiting[Number];
      Refused.m_notBefore = Now + RefusedPause;
      if (++Refused.m_attempts < MaxAttempts)
        return;
      refuse(Refused);
      Local.m_queue.remove(Number);
      Local.m_waiting.erase(Number);
      return;
    }
    Local.m_queue.remove(Number);
    Local.m_waiting.erase(Number);
    ++Local.m_outstanding;
    if (Sent.m_route == 1 && Now >= BurstStart && Now < BurstEnd)
      ++m_result.m_sent;
    std::uniform_real_distribution<double> Varied(0.7 * Work, 1.3 * Work);
    auto Host = static_cast<std::size_t>(&Local - m_hosts.data());
    m_running.emplace(Now + static_cast<std::int64_t>(Varied(m_random)),
                      Running{Host, Sent});
  }

  /// Adds what the urgent requests and their margin leave in this step.
  void countPossible(std::int64_t Now) {
    if (Now < BurstStart || Now >= BurstEnd)
      return;
    double Urgent = Routes[0].rate(Now) * Work / 1000;
    double Left = slots(Now) - Urgent - 2 * std::sqrt(Urgent);
    double Possible = std::min(m_backlog, Left / Work * Step);
    m_backlog -= Possible;
    m_result.m_possible += Possible;
  }

  Policy m_kind;
  Setting m_setting;
  std::mt19937_64 m_random;
  std::mt19937_64 m_arrivals; ///< The same with each policy.
  std::vector<Host> m_hosts;
  std::multimap<std::int64_t, Running> m_running; ///< By end.
  std::uint64_t m_lastNumber = 0;
  double m_backlog = 0; ///< Of countPossible().
  Result m_result;
};

const std::vector<Setting> Settings = {
    {10, false, 1}, {10, true, 2}, {79, false, 3}, {79, true, 4}};

ServiceReplay::Result replay(Policy Kind, const Setting &With) {
  ServiceReplay::Result Result = ServiceReplay(Kind, With).run();
  BOOST_TEST_MESSAGE(
      With << ", " << name(Kind) << ": usual urgent " << Result.m_usual[0]
           << "; bursts urgent " << Result.m_bursts[0] << "; non-urgent "
           << Result.m_bursts[1] << "; sent " << Result.m_sent << " of "
           << Result.m_possible << "; " << Result.m_metFull << " met no slot");
  return Result;
}

/// Calls update() every interval from \p From to \p To, with arrivals of each
/// priority at \p Rates a second.
void feed(SlotReserve &Reserve, const SlotReserve::ServiceView &View,
          const std::map<std::uint32_t, int> &Rates, std::int64_t From,
          std::int64_t To) {
  for (std::int64_t Now = From; Now < To; ++Now) {
    for (const auto &[Priority, Rate] : Rates)
      if (Now * Rate / 1000 != (Now + 1) * Rate / 1000)
        Reserve.onArrival(Priority, milliseconds(100), at(Now));
    Reserve.update(View, at(Now));
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(SlotReserveTest)

// Guards against non-urgent requests that fill all slots while urgent ones
// arrive, and against a reserve that leaves slots unused.
BOOST_DATA_TEST_CASE(urgent_requests_are_in_time_during_bursts,
                     boost::unit_test::data::make(Settings), With) {
  replay(Policy::FirstComeFirstServed, With);
  replay(Policy::NoReserve, With);
  ServiceReplay::Result Result = replay(Policy::Reserve, With);
  BOOST_TEST(Result.m_bursts[0].inTimeShare() >=
             Result.m_usual[0].inTimeShare() - 0.03);
  BOOST_TEST(Result.m_sent >= 0.95 * Result.m_possible);
}

// Guards against a limit where there is nothing to reserve for, also if
// requests return or all slots are taken.
BOOST_AUTO_TEST_CASE(one_priority_is_not_limited) {
  SlotReserve Reserve;
  SlotReserve::ServiceView View;
  View.m_slots = 4;
  View.m_others = {{3, 500, 4, 100}, {2, 20, 0, 5}};
  View.m_waitingHere = {{2, 10}, {3, 50}};
  feed(Reserve, View, {{2, 20}, {3, 200}}, 0, 2000);
  BOOST_TEST(Reserve.allows(2));
  BOOST_TEST(Reserve.allows(3));
  BOOST_TEST(Reserve.slotsFor(3, 4) == 4);
  BOOST_TEST(Reserve.reserved() == 0);
}

// Guards against slots that stay idle after the last urgent request.
BOOST_AUTO_TEST_CASE(nothing_is_reserved_after_three_seconds) {
  SlotReserve Reserve;
  SlotReserve::ServiceView View;
  View.m_slots = 20;
  feed(Reserve, View, {{1, 100}, {5, 200}}, 0, 2000);
  // 100 a second of 100 ms take 10 slots, and 6.3 are the margin.
  BOOST_TEST(Reserve.reserved() > 15.5);
  BOOST_TEST(Reserve.reserved() < 17.1);
  BOOST_TEST(Reserve.slotsFor(5, 20) < 4.5);
  feed(Reserve, View, {{5, 200}}, 2000, 5100);
  BOOST_TEST(Reserve.reserved() == 0);
  BOOST_TEST(Reserve.allows(5));
  BOOST_TEST(Reserve.slotsFor(5, 20) == 20);
}

// Guards against a kind that is never served because more urgent requests need
// all slots.
BOOST_AUTO_TEST_CASE(each_waiting_kind_keeps_some_slots) {
  SlotReserve Reserve;
  SlotReserve::ServiceView View;
  View.m_slots = 100;
  View.m_waitingHere = {{1, 500}, {5, 50}, {9, 50}};
  feed(Reserve, View, {{1, 800}, {5, 100}, {9, 100}}, 0, 1000);
  // Without load of the urgent ones that needs all slots, nothing is to show.
  BOOST_TEST(Reserve.reserved() > 90);
  BOOST_TEST(Reserve.slotsFor(1, 100) <= 98);
  BOOST_TEST(Reserve.slotsFor(9, 100) >= 1);
  int Sent = 0;
  for (std::int64_t Now = 1000; Now < 3000; ++Now) {
    feed(Reserve, View, {{1, 800}, {5, 100}, {9, 100}}, Now, Now + 1);
    if (!Reserve.allows(9))
      continue;
    Reserve.onSent(9);
    Reserve.onEnded(9);
    ++Sent;
  }
  // One slot serves ten a second, and one request more is sent as none is in
  // flight.
  BOOST_TEST(Sent >= 19);
  BOOST_TEST(Sent <= 34);
}

// Guards against hosts that together send more than the slots allow, as each
// takes the whole remainder for itself.
BOOST_AUTO_TEST_CASE(hosts_share_what_is_left) {
  SlotReserve Reserve;
  SlotReserve::ServiceView View;
  View.m_slots = 40;
  // Nine other hosts like this one. Their reports do not change.
  View.m_others = {{1, 180, 18, 0}, {5, 900, 10, 90}};
  View.m_waitingHere = {{5, 10}};
  feed(Reserve, View, {{1, 20}, {5, 100}}, 0, 1000);
  int Sent = 0;
  for (std::int64_t Now = 1000; Now < 3000; ++Now) {
    feed(Reserve, View, {{1, 20}, {5, 100}}, Now, Now + 1);
    if (!Reserve.allows(5))
      continue;
    Reserve.onSent(5);
    Reserve.onEnded(5);
    ++Sent;
  }
  // 40 slots without 20 and a margin of 9 leave 11 to ten hosts. A tenth of
  // that, with 100 ms for each request, is 11 a second.
  BOOST_TEST(Sent >= 18);
  BOOST_TEST(Sent <= 28);
  BOOST_TEST(Reserve.allows(1));
}

// Guards against requests that wait for slots which do not exist instead of
// being refused or forwarded, and against hosts that hold theirs back for few
// urgent requests while most hosts do not report priorities.
BOOST_AUTO_TEST_CASE(nothing_is_limited_without_slots_or_reports) {
  SlotReserve::ServiceView View;
  View.m_waitingHere = {{5, 10}};
  SlotReserve NoSlots;
  feed(NoSlots, View, {{1, 20}, {5, 100}}, 0, 1000);
  BOOST_TEST(NoSlots.allows(5));
  View.m_slots = 40;
  View.m_unknownInFlight = 39;
  SlotReserve NoReports;
  feed(NoReports, View, {{1, 20}, {5, 100}}, 0, 1000);
  BOOST_TEST(NoReports.allows(5));
  BOOST_TEST(NoReports.slotsFor(5, 40) == 40);
}

// Guards against a single host that leaves most slots unused, as it saves only
// two tokens between updates.
BOOST_AUTO_TEST_CASE(a_single_host_uses_what_is_left) {
  SlotReserve Reserve;
  SlotReserve::ServiceView View;
  View.m_slots = 100;
  View.m_waitingHere = {{5, 200}};
  std::map<std::uint32_t, int> Rates = {{1, 200}, {5, 1500}};
  feed(Reserve, View, Rates, 0, 1000);
  int Sent = 0;
  for (std::int64_t Now = 1000; Now < 3000; ++Now) {
    feed(Reserve, View, Rates, Now, Now + 1);
    while (Reserve.allows(5)) {
      Reserve.onSent(5);
      Reserve.onEnded(5);
      ++Sent;
    }
  }
  // 100 slots without 20 and a margin of 9 leave 71, for 100 ms each: 710 a
  // second, or half as many again as none is in flight.
  BOOST_TEST(Sent >= 1350);
  BOOST_TEST(Sent <= 2250);
}

// Guards against hosts that never report as each gets requests of one priority
// only: that of requests which wait elsewhere is known.
BOOST_AUTO_TEST_CASE(a_priority_that_waits_elsewhere_counts_as_another_one) {
  SlotReserve Reserve;
  SlotReserve::ServiceView View;
  View.m_slots = 40;
  View.m_others = {{5, 0, 0, 3}};
  feed(Reserve, View, {{4, 20}, {5, 100}}, 0, 1000);
  BOOST_TEST(Reserve.report(at(1000)).empty());
  View.m_others = {{0, 0, 0, 3}};
  feed(Reserve, View, {{5, 100}}, 1000, 1100);
  BOOST_TEST(!Reserve.report(at(1100)).empty());
}

// Guards against a reserve for requests within their team's share, which only
// rank before the others of their priority.
BOOST_AUTO_TEST_CASE(requests_above_their_share_are_no_priority_of_their_own) {
  SlotReserve Reserve;
  SlotReserve::ServiceView View;
  View.m_slots = 10;
  View.m_waitingHere = {{5, 10}, {7, 50}};
  feed(Reserve, View, {{5, 100}, {6, 100}, {7, 300}}, 0, 1000);
  BOOST_TEST(!Reserve.limited(7));
  BOOST_TEST(Reserve.reserved() == 0);
  BOOST_TEST(Reserve.report(at(1000)).empty());
}

// Guards against messages that grow where there is nothing to reserve.
BOOST_AUTO_TEST_CASE(only_several_priorities_are_reported) {
  SlotReserve Reserve;
  SlotReserve::ServiceView View;
  View.m_slots = 40;
  feed(Reserve, View, {{4, 20}, {5, 100}}, 0, 1000);
  BOOST_TEST(Reserve.report(at(1000)).empty());
  feed(Reserve, View, {{1, 20}, {5, 100}}, 1000, 2000);
  Reserve.onSent(1);
  auto Report = Reserve.report(at(2000));
  BOOST_REQUIRE(Report.size() == 2);
  BOOST_TEST(Report[0].m_priority == 1);
  BOOST_TEST(Report[0].m_inFlight == 1);
  BOOST_TEST(std::abs(Report[0].m_arrivals - 20) < 8);
  BOOST_TEST(std::abs(Report[1].m_arrivals - 100) < 15);
}

BOOST_AUTO_TEST_SUITE_END()
