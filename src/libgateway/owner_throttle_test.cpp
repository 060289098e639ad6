#include "burdockpulley/owner_throttle.h"
#include "burdockpulley/upstream_selection.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace burdockpulley;

namespace {

constexpr std::size_t Hosts = 80;
constexpr double WorkSeconds = 0.2;
constexpr double NewsSeconds = 0.2;
constexpr std::uint32_t Slots = 2;

Duration seconds(double Seconds) {
  return Duration(static_cast<std::int64_t>(Seconds * 1e6));
}

struct Played {
  double m_served = 0;    ///< A second.
  std::size_t m_most = 0; ///< At the owner at the same time.
};

/// Each host always has one request that waits for the same owner. \p Shared
/// takes turns; otherwise hosts go by the room that they see.
Played play(bool Shared) {
  std::mt19937_64 Random(20261204);
  std::vector<UpstreamState> Rows(Hosts);
  std::vector<OwnerThrottle> Turns(Hosts);
  for (UpstreamState &Row : Rows) {
    Row.m_record.m_slots = Slots;
    Row.m_waiting = 1;
    Row.m_peerWaiting = Hosts - 1;
  }
  std::vector<std::size_t> Queue; // Hosts, the first ones run.
  std::vector<double> Ends(Slots, 0);
  Played Result;
  constexpr double Length = 20;
  double NextNews = 0;
  for (double Now = 0; Now < Length; Now += 0.02) {
    for (double &End : Ends)
      if (Now >= End && !Queue.empty()) {
        --Rows[Queue.front()].m_outstanding;
        Queue.erase(Queue.begin());
        End = Now + WorkSeconds;
        ++Result.m_served;
      }
    if (Now >= NextNews) {
      NextNews += NewsSeconds;
      for (UpstreamState &Row : Rows)
        Row.m_peerOutstanding =
            static_cast<std::uint32_t>(Queue.size()) - Row.m_outstanding;
    }
    for (std::size_t Host = 0; Host < Hosts; ++Host) {
      Instant At{seconds(Now)};
      bool Yes = Shared
                     ? Turns[Host].available(Rows[Host], seconds(WorkSeconds),
                                             seconds(NewsSeconds), Random, At)
                     : hasCapacity(Rows[Host]);
      if (!Yes)
        continue;
      Turns[Host].take();
      ++Rows[Host].m_outstanding;
      Queue.push_back(Host);
    }
    Result.m_most = std::max(Result.m_most, Queue.size());
  }
  Result.m_served /= Length;
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(owner_turns)

BOOST_AUTO_TEST_CASE(many_hosts_do_not_flood_a_hot_owner_and_keep_it_busy) {
  Played Alone = play(false);
  Played Shared = play(true);
  BOOST_TEST_MESSAGE("most at the owner: "
                     << Alone.m_most << " -> " << Shared.m_most
                     << ", served a second: " << Shared.m_served);
  BOOST_TEST(Alone.m_most > 60u);
  BOOST_TEST(Shared.m_most <= 16u);
  // It bears 10 a second.
  BOOST_TEST(Shared.m_served > 8.0);
}

BOOST_AUTO_TEST_CASE(without_others_that_wait_the_room_decides) {
  std::mt19937_64 Random(1);
  UpstreamState Row;
  Row.m_record.m_slots = Slots;
  Row.m_outstanding = 2;
  OwnerThrottle Turns;
  Duration Time = seconds(NewsSeconds);
  BOOST_TEST(Turns.available(Row, Time, Time, Random, Instant()));
  Row.m_outstanding = 3;
  BOOST_TEST(!Turns.available(Row, Time, Time, Random, Instant()));
}

BOOST_AUTO_TEST_SUITE_END()
