#include "owner_updates.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace burdockpulley;

namespace {

const ServiceId Service("herd");
constexpr std::int64_t Epoch = 7;

Instant at(int Milliseconds) {
  return Instant(std::chrono::milliseconds(Milliseconds));
}

KeyRange range(std::uint32_t First, std::uint32_t Last,
               const std::string &Owner) {
  return {First, Last, UpstreamId(Owner), {}, {}, {}};
}

KeyOwners::Snapshot snapshot(std::vector<KeyRange> Ranges,
                             std::uint64_t Version, std::uint32_t Step) {
  KeyOwners::Snapshot Result;
  Result.m_table.m_service = Service;
  Result.m_table.m_version = Version;
  Result.m_table.m_ranges = std::move(Ranges);
  Result.m_step = {Epoch, Step};
  return Result;
}

/// Ranges of random size that cover all keys; their owners are a few upstreams
/// or none.
std::vector<KeyRange> randomRanges() {
  std::vector<KeyRange> Ranges;
  std::uint32_t First = 0;
  while (First < ShardKeyCount) {
    std::uint32_t Keys = *rc::gen::inRange<std::uint32_t>(1, 30'000);
    std::uint32_t Last = std::min(First + Keys, ShardKeyCount) - 1;
    Ranges.push_back(range(
        First, Last, *rc::gen::element<std::string>("", "u1", "u2", "u3")));
    First = Last + 1;
  }
  return Ranges;
}

void requireSameOwners(const KeyOwners &Owners, const KeyTable &Table) {
  for (const KeyRange &Range : Table.m_ranges)
    for (std::uint32_t Key : {Range.m_first, Range.m_last})
      RC_ASSERT(Owners.owner(Service, ShardKey(Key)) == Range.m_owner);
}

} // namespace

BOOST_AUTO_TEST_SUITE(owner_updates)

BOOST_AUTO_TEST_CASE(a_host_that_loses_messages_catches_up_with_the_next_one) {
  BOOST_TEST(rc::check([] {
    OwnerDeltaBuilder Builder;
    KeyOwners Host;
    auto First = snapshot(randomRanges(), 1, 1);
    Host.apply(First.m_table, First.m_step);
    int Rounds = *rc::gen::inRange(1, 12);
    KeyOwners::Snapshot Current = First;
    for (int Round = 1; Round <= Rounds; ++Round) {
      Current =
          snapshot(randomRanges(), 1, static_cast<std::uint32_t>(Round + 1));
      auto Delta = Builder.buildDelta(Current, Epoch, at(Round * 300));
      RC_ASSERT(Delta.has_value());
      if (*rc::gen::inRange(0, 3) == 0)
        continue; // The message is lost.
      auto Result = applyOwnersUpdate(Host, toWire(*Delta));
      RC_ASSERT(Result.has_value());
      if (*Result == KeyOwners::ApplyResult::Gap)
        RC_ASSERT(applyOwnersUpdate(Host, toWire(Current)) ==
                  KeyOwners::ApplyResult::Applied);
      requireSameOwners(Host, Current.m_table);
    }
  }));
}

BOOST_AUTO_TEST_CASE(the_next_message_makes_up_for_a_lost_one) {
  OwnerDeltaBuilder Builder;
  KeyOwners Host;
  auto Publish = [&](const char *Owner, std::uint32_t Step, int Milliseconds) {
    auto Now = snapshot(
        {range(0, 99, Owner), range(100, ShardKeyCount - 1, "u2")}, 1, Step);
    return toWire(*Builder.buildDelta(Now, Epoch, at(Milliseconds)));
  };
  auto First = snapshot({range(0, ShardKeyCount - 1, "u2")}, 1, 1);
  Host.apply(First.m_table, First.m_step);
  Builder.buildDelta(First, Epoch, at(0));
  Publish("u3", 2, 100);
  BOOST_TEST((applyOwnersUpdate(Host, Publish("u4", 3, 200)) ==
              KeyOwners::ApplyResult::Applied));
  BOOST_TEST(Host.owner(Service, ShardKey(99)).value() == "u4");
  BOOST_TEST(Host.owner(Service, ShardKey(100)).value() == "u2");
}

BOOST_AUTO_TEST_CASE(a_delta_applies_only_to_a_table_of_its_coordinator) {
  KeyOwners Host;
  auto First = snapshot({range(0, ShardKeyCount - 1, "u2")}, 1, 1);
  Host.apply(First.m_table, {Epoch - 1, 1});
  OwnerDeltaBuilder Builder;
  Builder.buildDelta(First, Epoch, at(0));
  auto Later = snapshot({range(0, ShardKeyCount - 1, "u3")}, 1, 2);
  auto Update = toWire(*Builder.buildDelta(Later, Epoch, at(100)));
  BOOST_TEST((applyOwnersUpdate(Host, Update) == KeyOwners::ApplyResult::Gap));
  BOOST_TEST(Host.owner(Service, ShardKey(0)).value() == "u2");
  BOOST_TEST(!Builder.buildDelta(Later, Epoch + 1, at(200)).has_value());
}

BOOST_AUTO_TEST_CASE(invalid_spans_are_rejected) {
  KeyOwners Host;
  auto Whole = toWire(snapshot({range(0, ShardKeyCount - 1, "u2")}, 1, 1));
  auto Bad = Whole;
  Bad.spans[0].owner = 1;
  BOOST_TEST(!applyOwnersUpdate(Host, Bad).has_value());
  Bad = Whole;
  Bad.spans[0].keys += 1;
  BOOST_TEST(!applyOwnersUpdate(Host, Bad).has_value());
  Bad = Whole;
  Bad.spans[0].keys -= 1; // The last key is missing.
  BOOST_TEST(!applyOwnersUpdate(Host, Bad).has_value());
  BOOST_TEST(
      (applyOwnersUpdate(Host, Whole) == KeyOwners::ApplyResult::Applied));
}

BOOST_AUTO_TEST_SUITE_END()
