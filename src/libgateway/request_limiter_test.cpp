#include "burdockpulley/request_limiter.h"

#include "burdockpulley/peer_loads.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <vector>

using namespace burdockpulley;

namespace {

constexpr double StepSeconds = 0.02;
/// What the platform allows beyond an upstream's limit, within WindowSeconds.
constexpr double WindowSeconds = 4;
constexpr double MaxExcess = 1.5;
constexpr double MaxBurst = 5;

Instant at(double Seconds) {
  return Instant(Duration(static_cast<std::int64_t>((1000 + Seconds) * 1e6)));
}

/// Hosts that share the limit of one upstream. Every host receives the counts
/// of the others once per report interval.
struct Simulation {
  double m_rate = 8;
  std::vector<double> m_demand; ///< Requests a second at each host.
  /// Hosts from this one on are not heard by those before it, nor hear them.
  std::size_t m_partition = 0;
  bool m_keyed = true; ///< Hosts tell each other how many requests wait.

  struct Result {
    double m_sentPerSecond = 0;
    std::size_t m_mostInWindow = 0;
  };
  Result run() const;
};

Simulation::Result Simulation::run() const {
  std::mt19937_64 Random(20261204);
  std::size_t Hosts = m_demand.size();
  double ReportSeconds =
      std::chrono::duration<double>(statusInterval(Hosts) *
                                    static_cast<int>(RemoteStatusPeriod))
          .count();
  std::vector<UpstreamState> Views(Hosts);
  std::vector<RequestLimiter> Limiters(Hosts);
  std::vector<std::uint32_t> Sent(Hosts, 0);
  std::vector<double> NextReport(Hosts);
  std::uniform_real_distribution<double> Fraction(0, 1);
  for (std::size_t Host = 0; Host < Hosts; ++Host) {
    Views[Host].m_requestLimit.m_rate = m_rate;
    NextReport[Host] = Fraction(Random) * ReportSeconds;
  }
  auto Connected = [this](std::size_t Left, std::size_t Right) {
    return (Left < m_partition) == (Right < m_partition);
  };
  std::vector<std::uint32_t> Reported(Hosts, 0);
  std::vector<std::uint32_t> ReportedWaiting(Hosts, 0);
  std::deque<double> Recent;
  Result Totals;
  constexpr double DurationSeconds = 30;
  for (double Now = 0; Now < DurationSeconds; Now += StepSeconds)
    for (std::size_t Host = 0; Host < Hosts; ++Host) {
      UpstreamState &View = Views[Host];
      if (Now >= NextReport[Host]) {
        NextReport[Host] += ReportSeconds;
        for (std::size_t Other = 0; Other < Hosts; ++Other) {
          if (Other == Host || !Connected(Host, Other))
            continue;
          Views[Other].m_peerSent += Sent[Host] - Reported[Host];
          Views[Other].m_peerWaiting += View.m_waiting - ReportedWaiting[Host];
        }
        Reported[Host] = Sent[Host];
        ReportedWaiting[Host] = View.m_waiting;
      }
      std::poisson_distribution<std::uint32_t> Arrivals(m_demand[Host] *
                                                        StepSeconds);
      std::uint32_t Waiting = View.m_waiting + Arrivals(Random);
      LimitSharers Sharers;
      Sharers.m_registered = Hosts;
      for (std::size_t Other = 0; Other < Hosts; ++Other)
        Sharers.m_reporting += Other != Host && Connected(Host, Other);
      Sharers.m_reportInterval =
          Duration(static_cast<std::int64_t>(ReportSeconds * 1e6));
      while (Waiting > 0 &&
             Limiters[Host].available(View, Sharers, Random, at(Now))) {
        Limiters[Host].take();
        --Waiting;
        ++Sent[Host];
        Totals.m_sentPerSecond += 1 / DurationSeconds;
        Recent.push_back(Now);
      }
      // Requests that wait for longer than a second or so are refused.
      auto Longest = static_cast<std::uint32_t>(m_demand[Host] + 1);
      View.m_waiting = m_keyed ? std::min(Waiting, Longest) : 0;
      while (!Recent.empty() && Recent.front() <= Now - WindowSeconds)
        Recent.pop_front();
      Totals.m_mostInWindow = std::max(Totals.m_mostInWindow, Recent.size());
    }
  return Totals;
}

std::size_t allowed(double Rate) {
  return static_cast<std::size_t>(Rate * WindowSeconds * MaxExcess + MaxBurst);
}

} // namespace

// Issue 22: every host has to count the requests of the others.
BOOST_AUTO_TEST_CASE(hosts_together_keep_to_the_limit_of_an_upstream) {
  for (std::size_t Hosts : {1, 3, 10, 12, 88})
    for (double Rate : {0.5, 2.0, 8.0, 14.6, 60.0})
      for (bool Keyed : {true, false}) {
        Simulation Load;
        Load.m_rate = Rate;
        Load.m_keyed = Keyed;
        Load.m_demand.assign(Hosts, 10 * Rate / static_cast<double>(Hosts));
        auto Result = Load.run();
        BOOST_TEST_CONTEXT(Hosts << " hosts, " << Rate << " requests a second")
        BOOST_TEST(Result.m_mostInWindow <= allowed(Rate));
      }
}

BOOST_AUTO_TEST_CASE(a_limit_is_used_whichever_hosts_have_the_requests) {
  constexpr double Rate = 8;
  constexpr double MinUse = 0.8;
  Simulation Load;
  Load.m_rate = Rate;
  for (bool Keyed : {true, false}) {
    Load.m_keyed = Keyed;
    Load.m_demand.assign(10, 0);
    Load.m_demand[3] = 4 * Rate;
    BOOST_TEST(Load.run().m_sentPerSecond >= Rate * MinUse);
    Load.m_demand.assign(10, 0.4 * Rate);
    BOOST_TEST(Load.run().m_sentPerSecond >= Rate * MinUse);
  }
}

BOOST_AUTO_TEST_CASE(hosts_that_do_not_hear_each_other_keep_to_the_limit) {
  Simulation Load;
  Load.m_demand.assign(10, Load.m_rate);
  for (std::size_t Partition : {1, 3, 5}) {
    Load.m_partition = Partition;
    BOOST_TEST(Load.run().m_mostInWindow <= allowed(Load.m_rate));
  }
}

BOOST_AUTO_TEST_CASE(an_upstream_that_takes_nothing_is_still_tried) {
  Simulation Load;
  Load.m_rate = 0;
  Load.m_demand.assign(10, 5);
  auto Result = Load.run();
  BOOST_TEST(Result.m_sentPerSecond > 0.1);
  BOOST_TEST(Result.m_mostInWindow <= allowed(0));
}

// An upstream that restarts is a new one for the registry, with new counts.
BOOST_AUTO_TEST_CASE(a_restarted_upstream_gets_its_limit_at_once) {
  std::mt19937_64 Random(1);
  UpstreamState Upstream;
  Upstream.m_requestLimit.m_rate = 8;
  Upstream.m_peerSent = 100;
  RequestLimiter Limiter;
  LimitSharers Sharers;
  Limiter.available(Upstream, Sharers, Random, at(0));
  Upstream.m_peerSent = 0;
  Limiter.available(Upstream, Sharers, Random, at(0.1));
  BOOST_TEST(Limiter.available(Upstream, Sharers, Random, at(0.6)));
}

BOOST_AUTO_TEST_CASE(the_newest_statement_about_a_limit_counts) {
  UpstreamState Upstream;
  HostId Host("host-1");
  onRequestLimit(Upstream, 8, at(1), Host, true, at(1));
  onRequestLimit(Upstream, std::nullopt, at(0.5), Host, false, at(1.1));
  BOOST_TEST(requestRate(Upstream) == 8);
  onRequestLimit(Upstream, 6, at(1.2), Host, false, at(1.3));
  BOOST_TEST(requestRate(Upstream) == 6);
  BOOST_TEST((Upstream.m_requestLimit.m_changedAt == at(1)));
  onRequestLimit(Upstream, std::nullopt, at(1.4), Host, true, at(1.4));
  BOOST_TEST(std::isinf(requestRate(Upstream)));
}

BOOST_AUTO_TEST_CASE(requests_of_other_hosts_are_counted_from_their_reports) {
  UpstreamRegistry Registry;
  UpstreamRecord Record;
  Record.m_id = UpstreamId("herd-a");
  Registry.onRecord(Record, at(0));
  PeerLoads Loads(Registry);
  UpstreamState &Upstream = *Registry.find(Record.m_id);
  auto Report = [&](std::uint32_t Sent, double Seconds) {
    PeerUpstreamLoad Entry;
    Entry.m_upstream = nameHash("herd-a");
    Entry.m_sent = Sent;
    Entry.m_hasRequestLimit = true;
    Entry.m_requestLimit = 8;
    Entry.m_requestLimitAge = Duration(100'000);
    PeerLoad Load;
    Load.m_upstreams.push_back(Entry);
    Loads.onLoad(HostId("host-2"), Load, at(Seconds));
    return Upstream.m_peerSent;
  };
  BOOST_TEST(Report(100, 1) == 0u); // Sent before this host knew of the limit.
  BOOST_TEST(requestRate(Upstream) == 8);
  BOOST_TEST((Upstream.m_requestLimit.m_statedAt == at(0.9)));
  BOOST_TEST(Report(103, 1.1) == 3u);
  BOOST_TEST(Report(103, 1.2) == 3u);
  BOOST_TEST(Report(2, 1.3) == 3u); // The host was restarted.
  BOOST_TEST(Report(4, 1.4) == 5u);
}
