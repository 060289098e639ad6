#include "burdockpulley/key_planner.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <random>

using namespace burdockpulley;

namespace {

Instant at(double Seconds) {
  return Instant(Duration(static_cast<std::int64_t>((1000 + Seconds) * 1e6)));
}

KeyCandidates candidates(int Count) {
  KeyCandidates All;
  for (int Index = 0; Index < Count; ++Index) {
    KeyCandidate Each;
    Each.m_id = UpstreamId("u" + std::to_string(10 + Index));
    Each.m_capacity = 4;
    Each.m_eligible = true;
    All[Each.m_id] = Each;
  }
  return All;
}

std::vector<KeyRange> toRanges(const std::vector<KeyPlacement> &Placed) {
  std::vector<KeyRange> Ranges;
  for (const KeyPlacement &Each : Placed)
    Ranges.push_back({Each.m_first, Each.m_last, Each.m_owner, {}, {}, ""});
  return Ranges;
}

/// Carries moves out at once.
void apply(std::vector<KeyRange> &Ranges, const KeyPlacement &Move) {
  std::vector<KeyRange> Next;
  for (const KeyRange &Each : Ranges) {
    if (Move.m_first < Each.m_first || Move.m_last > Each.m_last) {
      Next.push_back(Each);
      continue;
    }
    KeyRange Part = Each;
    if (Move.m_first > Each.m_first) {
      Part.m_last = Move.m_first - 1;
      Next.push_back(Part);
    }
    Next.push_back({Move.m_first, Move.m_last, Move.m_owner, {}, {}, ""});
    if (Move.m_last < Each.m_last) {
      Part = Each;
      Part.m_first = Move.m_last + 1;
      Next.push_back(Part);
    }
  }
  Ranges = Next;
}

/// Load of the busiest owner over the mean.
double imbalance(const std::vector<KeyRange> &Ranges, const KeyLoad &Load,
                 std::size_t Owners) {
  std::map<UpstreamId, double> Rates;
  double Total = 0;
  for (const KeyRange &Each : Ranges) {
    double Rate = Load.rate(Each.m_first, Each.m_last);
    Rates[Each.m_owner] += Rate;
    Total += Rate;
  }
  double Most = 0;
  for (const auto &[Id, Rate] : Rates)
    Most = std::max(Most, Rate);
  return Most / (Total / static_cast<double>(Owners));
}

const KeyRange Everything{0, ShardKeyCount - 1, {}, {}, {}, ""};

} // namespace

BOOST_AUTO_TEST_CASE(rates_add_up_and_fade) {
  KeyLoad Load;
  Load.age(at(0));
  for (int Count = 0; Count < 100; ++Count)
    Load.add(ShardKey(500), 1);
  Load.add(ShardKey(501), 50);
  double Before = Load.rate(500, 500);
  BOOST_TEST(std::abs(Load.rate(500, 501) / Before - 1.5) < 0.01);
  BOOST_TEST(Load.rate(502, 600) < 0.001);
  Load.age(at(1));
  BOOST_TEST(Load.rate(500, 500) < Before / 2);
  for (int Second = 2; Second < 200; ++Second)
    Load.age(at(Second));
  BOOST_TEST(Load.total() < 0.001);
}

BOOST_AUTO_TEST_CASE(all_free_keys_are_placed_once_and_evenly) {
  BOOST_TEST(rc::check([] {
    int Count = *rc::gen::inRange(1, 30);
    KeyLoad Load;
    auto Ranges =
        toRanges(placeFreeKeys({Everything}, {}, candidates(Count), Load));
    std::uint32_t Next = 0;
    std::map<UpstreamId, std::uint32_t> Keys;
    for (const KeyRange &Each : Ranges) {
      RC_ASSERT(Each.m_first == Next);
      Next = Each.m_last + 1;
      Keys[Each.m_owner] += Each.keys();
    }
    RC_ASSERT(Next == ShardKeyCount);
    RC_ASSERT(Keys.size() == static_cast<std::size_t>(Count));
    for (const auto &[Owner, Held] : Keys)
      RC_ASSERT(Held < ShardKeyCount * 1.6 / Count);
  }));
}

BOOST_AUTO_TEST_CASE(nobody_gets_keys_who_may_not) {
  auto Few = candidates(3);
  Few[UpstreamId("u10")].m_eligible = false;
  Few[UpstreamId("u11")].m_mustRelease = true;
  Few[UpstreamId("u11")].m_eligible = false;
  for (const KeyPlacement &Each :
       placeFreeKeys({Everything}, {}, Few, KeyLoad()))
    BOOST_TEST(Each.m_owner.value() == "u12");
}

BOOST_AUTO_TEST_CASE(many_hot_keys_close_together_are_spread) {
  KeyLoad Load;
  Load.age(at(0));
  auto All = candidates(20);
  auto Ranges = toRanges(placeFreeKeys({Everything}, {}, All, Load));
  std::mt19937_64 Random(20261204);
  for (int Count = 0; Count < 300; ++Count)
    Load.add(ShardKey(static_cast<std::uint32_t>(Random() % ShardKeyCount)), 1);
  for (int Count = 0; Count < 200; ++Count)
    Load.add(ShardKey(21'000 + static_cast<std::uint32_t>(Random() % 200)), 1);
  double Before = imbalance(Ranges, Load, All.size());
  for (int Round = 0; Round < 3; ++Round)
    for (const KeyPlacement &Move : planMoves(Ranges, All, Load, {8, 0}))
      apply(Ranges, Move);
  double After = imbalance(Ranges, Load, All.size());
  BOOST_TEST_MESSAGE("imbalance " << Before << " -> " << After);
  BOOST_TEST(Before > 5);
  BOOST_TEST(After < 1.8);
}

BOOST_AUTO_TEST_CASE(a_hot_range_is_spread_over_many_owners) {
  KeyLoad Load;
  Load.age(at(0));
  auto All = candidates(200);
  auto Ranges = toRanges(placeFreeKeys({Everything}, {}, All, Load));
  std::mt19937_64 Random(20261204);
  for (int Count = 0; Count < 600; ++Count)
    Load.add(ShardKey(static_cast<std::uint32_t>(Random() % ShardKeyCount)), 1);
  for (int Count = 0; Count < 400; ++Count)
    Load.add(ShardKey(21'000 + static_cast<std::uint32_t>(Random() % 100)), 1);
  double Before = imbalance(Ranges, Load, All.size());
  for (int Round = 0; Round < 3; ++Round)
    for (const KeyPlacement &Move : planMoves(Ranges, All, Load, {80, 0}))
      apply(Ranges, Move);
  double After = imbalance(Ranges, Load, All.size());
  BOOST_TEST_MESSAGE("imbalance " << Before << " -> " << After);
  BOOST_TEST(Before > 50);
  BOOST_TEST(After < 3);
}

BOOST_AUTO_TEST_CASE(what_chance_makes_busy_does_not_move) {
  KeyLoad Load;
  Load.age(at(0));
  auto All = candidates(100);
  auto Ranges = toRanges(placeFreeKeys({Everything}, {}, All, Load));
  std::mt19937_64 Random(20261204);
  for (int Count = 0; Count < 400; ++Count)
    Load.add(ShardKey(static_cast<std::uint32_t>(Random() % ShardKeyCount)), 1);
  BOOST_TEST(planMoves(Ranges, All, Load, {40, 0}).size() <= 2u);
}

BOOST_AUTO_TEST_CASE(a_single_hot_key_stays_and_the_others_leave_it) {
  KeyLoad Load;
  Load.age(at(0));
  auto All = candidates(10);
  auto Ranges = toRanges(placeFreeKeys({Everything}, {}, All, Load));
  for (std::uint32_t Key = 0; Key < ShardKeyCount; Key += 64)
    Load.add(ShardKey(Key), 0.2);
  Load.add(ShardKey(30'000), 200);
  auto OwnerOf = [&Ranges](std::uint32_t Key) {
    for (const KeyRange &Each : Ranges)
      if (Key >= Each.m_first && Key <= Each.m_last)
        return Each.m_owner;
    return UpstreamId();
  };
  UpstreamId Owner = OwnerOf(30'000);
  for (int Round = 0; Round < 10; ++Round)
    for (const KeyPlacement &Move : planMoves(Ranges, All, Load, {8, 0}))
      apply(Ranges, Move);
  BOOST_TEST(OwnerOf(30'000).value() == Owner.value());
}

BOOST_AUTO_TEST_CASE(a_newcomer_gets_its_share) {
  KeyLoad Load;
  Load.age(at(0));
  auto Old = candidates(5);
  auto Ranges = toRanges(placeFreeKeys({Everything}, {}, Old, Load));
  for (std::uint32_t Key = 0; Key < ShardKeyCount; Key += 16)
    Load.add(ShardKey(Key), 0.1);
  auto All = candidates(6);
  for (int Round = 0; Round < 6; ++Round)
    for (const KeyPlacement &Move : planMoves(Ranges, All, Load, {4, 1e9}))
      apply(Ranges, Move);
  double Rate = 0;
  for (const KeyRange &Each : Ranges)
    if (Each.m_owner == UpstreamId("u15"))
      Rate += Load.rate(Each.m_first, Each.m_last);
  BOOST_TEST(Rate > 0);
}

BOOST_AUTO_TEST_CASE(nothing_moves_while_nobody_is_busy) {
  KeyLoad Load;
  Load.age(at(0));
  auto All = candidates(5);
  auto Ranges = toRanges(placeFreeKeys({Everything}, {}, All, Load));
  Load.add(ShardKey(100), 3);
  BOOST_TEST(planMoves(Ranges, All, Load, {8, 5}).empty());
}
