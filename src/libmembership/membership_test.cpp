#include "virtual_fleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace burdockpulley;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Hosts = 12;
constexpr Duration Settling = 3s;
constexpr Duration DetectionLimit = 1s;

VirtualLinks anyLinks() {
  VirtualLinks Links;
  Links.m_loss = *rc::gen::inRange(0, 6) / 100.0;
  Links.m_doubled = *rc::gen::inRange(0, 21) / 100.0;
  Links.m_maxLatency = Duration(*rc::gen::inRange(500, 15'000));
  return Links;
}

VirtualFleet anyFleet(MembershipOptions Options = {}) {
  auto Domains = *rc::gen::element<std::size_t>(2, 3, 4);
  VirtualFleet Fleet(Hosts, Domains, *rc::gen::arbitrary<std::uint64_t>(),
                     Options);
  Fleet.m_links = anyLinks();
  return Fleet;
}

bool anybodyLost(const VirtualFleet &Fleet, std::size_t Except) {
  for (std::size_t I = 0; I < Hosts; ++I)
    for (std::size_t Target = 0; Target < Hosts; ++Target)
      if (Target != Except && Fleet.running(I) && Fleet.lost(I, Target))
        return true;
  return false;
}

bool oneBadLinkTakesSomebodyOut(MembershipOptions Options) {
  VirtualFleet Fleet = anyFleet(Options);
  auto A = *rc::gen::inRange<std::size_t>(0, Hosts);
  auto B = *rc::gen::inRange<std::size_t>(0, Hosts);
  bool OneWay = *rc::gen::arbitrary<bool>();
  Fleet.m_links.m_cut = [=](std::size_t From, std::size_t To) {
    return (From == A && To == B) || (!OneWay && From == B && To == A);
  };
  bool Bad = false;
  Fleet.run(8s, [&] { Bad = Bad || anybodyLost(Fleet, Hosts); });
  return Bad;
}

bool onePauseTakesOthersOut(MembershipOptions Options) {
  VirtualFleet Fleet = anyFleet(Options);
  Fleet.run(Settling);
  auto Paused = *rc::gen::inRange<std::size_t>(0, Hosts);
  bool Bad = false;
  auto Watch = [&] { Bad = Bad || anybodyLost(Fleet, Paused); };
  Fleet.stop(Paused);
  Fleet.run(Duration(*rc::gen::inRange(50'000, 4'000'000)), Watch);
  Fleet.resume(Paused);
  Fleet.run(3s, Watch);
  return Bad || anybodyLost(Fleet, Hosts);
}

/// Cuts one host off from all others for a while that is too short for a
/// verdict.
bool oneCutOffHostTakesOthersOut(MembershipOptions Options) {
  VirtualFleet Fleet = anyFleet(Options);
  Fleet.run(Settling);
  auto CutOff = *rc::gen::inRange<std::size_t>(0, Hosts);
  bool Bad = false;
  auto Watch = [&] { Bad = Bad || anybodyLost(Fleet, CutOff); };
  Fleet.m_links.m_cut = [=](std::size_t From, std::size_t To) {
    return From == CutOff || To == CutOff;
  };
  Fleet.run(Duration(*rc::gen::inRange(100'000, 2'000'000)), Watch);
  Fleet.m_links.m_cut = nullptr;
  Fleet.run(3s, Watch);
  return Bad || anybodyLost(Fleet, Hosts);
}

/// Runs a fleet with one bad link and no other losses.
bool oneBadLinkRaisesSuspicion(MembershipOptions Options) {
  VirtualFleet Fleet(Hosts, 3, *rc::gen::arbitrary<std::uint64_t>(), Options);
  Fleet.m_links.m_cut = [=](std::size_t From, std::size_t To) {
    return From + To == 3 && From % 3 == 0;
  };
  Fleet.run(8s);
  for (std::size_t I = 0; I < Hosts; ++I)
    if (Fleet.member(I).incarnation() != Incarnation(1))
      return true;
  return false;
}

bool knownToAll(const VirtualFleet &Fleet, std::size_t Target) {
  for (std::size_t I = 0; I < Hosts; ++I)
    if (Fleet.running(I) && !Fleet.lost(I, Target))
      return false;
  return true;
}

bool sameViews(const VirtualFleet &Fleet) {
  for (std::size_t I = 1; I < Hosts; ++I)
    if (Fleet.member(I).digest() != Fleet.member(0).digest())
      return false;
  return true;
}

} // namespace

BOOST_AUTO_TEST_CASE(one_bad_link_takes_nobody_out) {
  BOOST_TEST(rc::check([] { RC_ASSERT(!oneBadLinkTakesSomebodyOut({})); }));
}

BOOST_AUTO_TEST_CASE(one_paused_host_takes_nobody_else_out_and_comes_back) {
  BOOST_TEST(rc::check([] { RC_ASSERT(!onePauseTakesOthersOut({})); }));
}

BOOST_AUTO_TEST_CASE(a_host_cut_off_for_a_moment_takes_nobody_out) {
  BOOST_TEST(rc::check([] { RC_ASSERT(!oneCutOffHostTakesOthersOut({})); }));
}

BOOST_AUTO_TEST_CASE(a_bad_link_between_two_hosts_raises_no_suspicion) {
  BOOST_TEST(rc::check([] { RC_ASSERT(!oneBadLinkRaisesSuspicion({})); }));
}

// Without what guards them, the properties above do not hold.
BOOST_AUTO_TEST_CASE(without_indirect_probes_a_bad_link_raises_suspicion) {
  MembershipOptions Broken;
  Broken.m_helpers = 0;
  int Bad = 0;
  rc::check([&] { Bad += oneBadLinkRaisesSuspicion(Broken); });
  BOOST_TEST(Bad > 0);
}

BOOST_AUTO_TEST_CASE(without_confirmation_a_bad_link_takes_hosts_out) {
  MembershipOptions Broken;
  Broken.m_helpers = 1;
  Broken.m_confirmations = 1;
  int Bad = 0;
  rc::check([&] { Bad += oneBadLinkTakesSomebodyOut(Broken); });
  BOOST_TEST(Bad > 0);
}

BOOST_AUTO_TEST_CASE(without_doubt_of_itself_a_cut_off_host_takes_others_out) {
  MembershipOptions Broken;
  Broken.m_suspectsItself = false;
  int Bad = 0;
  rc::check([&] { Bad += oneCutOffHostTakesOthersOut(Broken); });
  BOOST_TEST(Bad > 0);
}

BOOST_AUTO_TEST_CASE(a_killed_host_is_known_lost_by_all_within_a_second) {
  BOOST_TEST(rc::check([] {
    VirtualFleet Fleet = anyFleet();
    Fleet.run(Settling + Duration(*rc::gen::inRange(0, 1'000'000)));
    auto Killed = *rc::gen::inRange<std::size_t>(0, Hosts);
    Fleet.kill(Killed);
    Instant At = Fleet.now();
    while (!knownToAll(Fleet, Killed) && Fleet.now() < At + DetectionLimit)
      Fleet.run(10ms);
    RC_ASSERT(knownToAll(Fleet, Killed));
  }));
}

BOOST_AUTO_TEST_CASE(views_converge_after_a_cut_and_incarnations_only_grow) {
  BOOST_TEST(rc::check([] {
    VirtualFleet Fleet = anyFleet();
    std::vector<Incarnation> Seen(Hosts);
    auto Watch = [&] {
      for (std::size_t I = 0; I < Hosts; ++I) {
        RC_ASSERT(Fleet.member(I).incarnation() >= Seen[I]);
        Seen[I] = Fleet.member(I).incarnation();
      }
    };
    Fleet.run(Settling, Watch);
    auto CutOff = *rc::gen::inRange<std::size_t>(0, 2);
    Fleet.m_links.m_cut = [&](std::size_t From, std::size_t To) {
      return (Fleet.domainOf(From) == CutOff) != (Fleet.domainOf(To) == CutOff);
    };
    Fleet.run(5s, Watch);
    std::size_t Inside = CutOff;
    std::size_t Outside = 1 - CutOff;
    RC_ASSERT(Fleet.lost(Outside, Inside));
    RC_ASSERT(Fleet.lost(Inside, Outside));
    for (std::size_t I = 0; I < Hosts; ++I)
      if (Fleet.domainOf(I) == CutOff)
        RC_ASSERT(!Fleet.lost(Inside, I));
    Fleet.m_links.m_cut = nullptr;
    Instant Limit = Fleet.now() + 10s;
    while (!(sameViews(Fleet) && !anybodyLost(Fleet, Hosts)) &&
           Fleet.now() < Limit)
      Fleet.run(100ms, Watch);
    RC_ASSERT(sameViews(Fleet));
    RC_ASSERT(!anybodyLost(Fleet, Hosts));
  }));
}
