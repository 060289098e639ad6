#include "burdockpulley/peer_loads.h"
#include "burdockpulley/upstream_selection.h"

#include <boost/test/unit_test.hpp>

#include <numeric>
#include <queue>

using namespace burdockpulley;

namespace {

Instant at(double Seconds) {
  return Instant(Duration(static_cast<std::int64_t>(Seconds * 1e6)));
}

/// Simulates, in virtual time, many hosts that share upstreams and receive each
/// other's load at intervals.
class Fleet {
public:
  static constexpr int Hosts = 60;
  static constexpr int Upstreams = 40;
  static constexpr std::uint32_t Slots = 4;
  static constexpr double WorkSeconds = 0.3;
  static constexpr double StatusSeconds = 0.3;

  /// \p Jitter as in SelectionRequest.
  explicit Fleet(double Jitter) : m_jitter(Jitter), m_random(20261204) {
    for (UpstreamRegistry &Registry : m_registries)
      for (int Index = 0; Index < Upstreams; ++Index) {
        UpstreamRecord Record;
        Record.m_id = UpstreamId("u" + std::to_string(Index));
        Record.m_service = ServiceId("fee");
        Record.m_slots = Slots;
        Registry.onRecord(Record, at(0));
      }
  }

  /// Mean seconds from arrival to response when the fraction \p Load of all
  /// slots is in use.
  double run(double Load, double Seconds) {
    double Rate = Load * Upstreams * Slots / WorkSeconds;
    std::exponential_distribution<double> Gap(Rate);
    double Now = 0;
    double NextStatus = 0;
    while ((Now += Gap(m_random)) < Seconds) {
      while (NextStatus <= Now) {
        finishUntil(NextStatus);
        exchangeLoad();
        NextStatus += StatusSeconds;
      }
      finishUntil(Now);
      arrive(Now);
    }
    return m_total / m_count;
  }

private:
  struct Running {
    double m_end;
    int m_host;
    int m_upstream;
    bool operator<(const Running &Other) const { return m_end > Other.m_end; }
  };

  UpstreamState &upstreamState(int Host, int Upstream) {
    return *m_registries[static_cast<std::size_t>(Host)].find(
        UpstreamId("u" + std::to_string(Upstream)));
  }

  void arrive(double Now) {
    int Host = std::uniform_int_distribution<int>(0, Hosts - 1)(m_random);
    UpstreamRegistry &Registry = m_registries[static_cast<std::size_t>(Host)];
    SelectionRequest Request;
    Request.m_workTime = Duration(static_cast<std::int64_t>(WorkSeconds * 1e6));
    Request.m_jitter = m_jitter;
    Request.m_random = &m_random;
    auto Candidates = Registry.ofService(ServiceId("fee"));
    auto Selected = selectUpstream(Registry, Candidates, Request, at(Now));
    if (!Selected.m_upstream)
      return;
    int Upstream =
        std::stoi(Selected.m_upstream->m_record.m_id.value().substr(1));
    ++Selected.m_upstream->m_outstanding;
    auto &SlotFreeAt = m_slotFreeAt[static_cast<std::size_t>(Upstream)];
    auto Slot = std::min_element(SlotFreeAt.begin(), SlotFreeAt.end());
    *Slot = std::max(*Slot, Now) + WorkSeconds;
    m_total += *Slot - Now;
    ++m_count;
    m_running.push({*Slot, Host, Upstream});
  }

  void finishUntil(double Now) {
    while (!m_running.empty() && m_running.top().m_end <= Now) {
      --upstreamState(m_running.top().m_host, m_running.top().m_upstream)
            .m_outstanding;
      m_running.pop();
    }
  }

  void exchangeLoad() {
    for (int Upstream = 0; Upstream < Upstreams; ++Upstream) {
      std::uint32_t Sum = 0;
      for (int Host = 0; Host < Hosts; ++Host)
        Sum += upstreamState(Host, Upstream).m_outstanding;
      for (int Host = 0; Host < Hosts; ++Host)
        upstreamState(Host, Upstream).m_peerOutstanding =
            Sum - upstreamState(Host, Upstream).m_outstanding;
    }
  }

  double m_jitter;
  std::mt19937_64 m_random;
  std::array<UpstreamRegistry, Hosts> m_registries;
  std::array<std::array<double, Slots>, Upstreams> m_slotFreeAt{};
  std::priority_queue<Running> m_running;
  double m_total = 0;
  double m_count = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(stale_load)

// Without jitter, hosts with the same stale load reports send all requests of
// an interval to the same few upstreams, where they queue.
BOOST_AUTO_TEST_CASE(hosts_with_stale_load_do_not_all_select_the_same) {
  auto StatusInterval =
      Duration(static_cast<std::int64_t>(Fleet::StatusSeconds * 1e6));
  auto Work = Duration(static_cast<std::int64_t>(Fleet::WorkSeconds * 1e6));
  double WithoutJitter = Fleet(0).run(0.4, 6);
  double WithJitter = Fleet(jitterFor(StatusInterval, Work)).run(0.4, 6);
  BOOST_TEST_MESSAGE("mean seconds until the response: without jitter "
                     << WithoutJitter << ", with jitter " << WithJitter);
  // The service time alone is 0.3 s.
  BOOST_TEST(WithoutJitter > 0.45);
  BOOST_TEST(WithJitter < 0.36);
}

BOOST_AUTO_TEST_SUITE_END()
