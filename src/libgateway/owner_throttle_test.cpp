#include "burdockpulley/owner_throttle.h"
#include "burdockpulley/upstream_selection.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace burdockpulley;

namespace {

constexpr std::size_t Hosts = 80;
constexpr double WorkSeconds = 0.2;
constexpr double StatusSeconds = 0.2;
constexpr std::uint32_t Slots = 2;

Duration seconds(double Seconds) {
  return Duration(static_cast<std::int64_t>(Seconds * 1e6));
}

struct Result {
  double m_servedPerSecond = 0;
  std::size_t m_maxAtOwner = 0; ///< Requests at the owner at the same time.
};

/// Simulates hosts that each always have one request waiting for the same
/// owner. If \p Throttled, OwnerThrottle divides the free slots; otherwise each
/// host sends while it sees a free slot.
Result simulate(bool Throttled) {
  std::mt19937_64 Random(20261204);
  std::vector<UpstreamState> Owners(Hosts); // The owner as each host sees it.
  std::vector<OwnerThrottle> Throttles(Hosts);
  for (UpstreamState &Owner : Owners) {
    Owner.m_record.m_slots = Slots;
    Owner.m_waiting = 1;
    Owner.m_peerWaiting = Hosts - 1;
  }
  std::vector<std::size_t> Queue; // Sending hosts; the first ones are served.
  std::vector<double> SlotFreeAt(Slots, 0);
  Result Totals;
  constexpr double DurationSeconds = 20;
  double NextStatus = 0;
  for (double Now = 0; Now < DurationSeconds; Now += 0.02) {
    for (double &End : SlotFreeAt)
      if (Now >= End && !Queue.empty()) {
        --Owners[Queue.front()].m_outstanding;
        Queue.erase(Queue.begin());
        End = Now + WorkSeconds;
        ++Totals.m_servedPerSecond;
      }
    if (Now >= NextStatus) {
      NextStatus += StatusSeconds;
      for (UpstreamState &Owner : Owners)
        Owner.m_peerOutstanding =
            static_cast<std::uint32_t>(Queue.size()) - Owner.m_outstanding;
    }
    for (std::size_t Host = 0; Host < Hosts; ++Host) {
      Instant At{seconds(Now)};
      bool MaySend =
          Throttled
              ? Throttles[Host].available(Owners[Host], seconds(WorkSeconds),
                                          seconds(StatusSeconds), Random, At)
              : hasCapacity(Owners[Host]);
      if (!MaySend)
        continue;
      Throttles[Host].take();
      ++Owners[Host].m_outstanding;
      Queue.push_back(Host);
    }
    Totals.m_maxAtOwner = std::max(Totals.m_maxAtOwner, Queue.size());
  }
  Totals.m_servedPerSecond /= DurationSeconds;
  return Totals;
}

} // namespace

BOOST_AUTO_TEST_SUITE(owner_throttle)

// Without the throttle, all hosts see the same free slots and together overload
// the owner.
BOOST_AUTO_TEST_CASE(many_hosts_do_not_overload_a_hot_owner_and_keep_it_busy) {
  Result Unthrottled = simulate(false);
  Result Throttled = simulate(true);
  BOOST_TEST_MESSAGE("maximum at the owner: unthrottled "
                     << Unthrottled.m_maxAtOwner << ", throttled "
                     << Throttled.m_maxAtOwner
                     << "; served per second: " << Throttled.m_servedPerSecond);
  BOOST_TEST(Unthrottled.m_maxAtOwner > 60u);
  BOOST_TEST(Throttled.m_maxAtOwner <= 16u);
  // The owner can handle 10 requests per second.
  BOOST_TEST(Throttled.m_servedPerSecond > 8.0);
}

BOOST_AUTO_TEST_CASE(a_host_without_waiting_peers_uses_all_free_slots) {
  std::mt19937_64 Random(1);
  UpstreamState Owner;
  Owner.m_record.m_slots = Slots;
  Owner.m_outstanding = 2;
  OwnerThrottle Throttle;
  Duration Time = seconds(StatusSeconds);
  BOOST_TEST(Throttle.available(Owner, Time, Time, Random, Instant()));
  Owner.m_outstanding = 3;
  BOOST_TEST(!Throttle.available(Owner, Time, Time, Random, Instant()));
}

BOOST_AUTO_TEST_SUITE_END()
