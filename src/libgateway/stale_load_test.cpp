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

/// Many hosts that share upstreams and hear of each other's load now and then,
/// in virtual time.
class Fleet {
public:
  static constexpr int Hosts = 60;
  static constexpr int Upstreams = 40;
  static constexpr std::uint32_t Slots = 4;
  static constexpr double WorkSeconds = 0.3;
  static constexpr double NewsSeconds = 0.3;

  /// \p Spread as in SelectionRequest.
  explicit Fleet(double Spread) : m_jitter(Spread), m_random(20261204) {
    for (UpstreamRegistry &Each : m_registries)
      for (int Index = 0; Index < Upstreams; ++Index) {
        UpstreamRecord Record;
        Record.m_id = UpstreamId("u" + std::to_string(Index));
        Record.m_service = ServiceId("fee");
        Record.m_slots = Slots;
        Each.onRecord(Record, at(0));
      }
  }

  /// Mean seconds from arrival to answer while \p Load of all slots are used.
  double play(double Load, double Seconds) {
    double Rate = Load * Upstreams * Slots / WorkSeconds;
    std::exponential_distribution<double> Gap(Rate);
    double Now = 0;
    double NextNews = 0;
    while ((Now += Gap(m_random)) < Seconds) {
      while (NextNews <= Now) {
        finishUntil(NextNews);
        tellNews();
        NextNews += NewsSeconds;
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

  UpstreamState &row(int Host, int Upstream) {
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
    auto Rows = Registry.ofService(ServiceId("fee"));
    auto Chosen = selectUpstream(Registry, Rows, Request, at(Now));
    if (!Chosen.m_upstream)
      return;
    int Upstream =
        std::stoi(Chosen.m_upstream->m_record.m_id.value().substr(1));
    ++Chosen.m_upstream->m_outstanding;
    auto &Free = m_slotFree[static_cast<std::size_t>(Upstream)];
    auto Slot = std::min_element(Free.begin(), Free.end());
    *Slot = std::max(*Slot, Now) + WorkSeconds;
    m_total += *Slot - Now;
    ++m_count;
    m_running.push({*Slot, Host, Upstream});
  }

  void finishUntil(double Now) {
    while (!m_running.empty() && m_running.top().m_end <= Now) {
      --row(m_running.top().m_host, m_running.top().m_upstream).m_outstanding;
      m_running.pop();
    }
  }

  void tellNews() {
    for (int Upstream = 0; Upstream < Upstreams; ++Upstream) {
      std::uint32_t Sum = 0;
      for (int Host = 0; Host < Hosts; ++Host)
        Sum += row(Host, Upstream).m_outstanding;
      for (int Host = 0; Host < Hosts; ++Host)
        row(Host, Upstream).m_peerOutstanding =
            Sum - row(Host, Upstream).m_outstanding;
    }
  }

  double m_jitter;
  std::mt19937_64 m_random;
  std::array<UpstreamRegistry, Hosts> m_registries;
  std::array<std::array<double, Slots>, Upstreams> m_slotFree{};
  std::priority_queue<Running> m_running;
  double m_total = 0;
  double m_count = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(old_news)

BOOST_AUTO_TEST_CASE(hosts_with_old_news_do_not_all_choose_the_same) {
  auto Age = Duration(static_cast<std::int64_t>(Fleet::NewsSeconds * 1e6));
  auto Work = Duration(static_cast<std::int64_t>(Fleet::WorkSeconds * 1e6));
  double Same = Fleet(0).play(0.4, 6);
  double Spread = Fleet(jitterFor(Age, Work)).play(0.4, 6);
  BOOST_TEST_MESSAGE("mean seconds until the answer: " << Same << " -> "
                                                       << Spread);
  // Work alone takes 0.3 s.
  BOOST_TEST(Same > 0.45);
  BOOST_TEST(Spread < 0.36);
}

BOOST_AUTO_TEST_SUITE_END()
