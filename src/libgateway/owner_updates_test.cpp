#include "owner_updates.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace burdockpulley;

namespace {

const ServiceId Service("herd");
constexpr std::int64_t Epoch = 7;

Instant at(int Millis) { return Instant(std::chrono::milliseconds(Millis)); }

KeyRange range(std::uint32_t First, std::uint32_t Last,
               const std::string &Owner) {
  return {First, Last, UpstreamId(Owner), {}, {}, {}};
}

KeyOwners::Snapshot known(std::vector<KeyRange> Ranges, std::uint64_t Version,
                          std::uint32_t Step) {
  KeyOwners::Snapshot Made;
  Made.m_table.m_service = Service;
  Made.m_table.m_version = Version;
  Made.m_table.m_ranges = std::move(Ranges);
  Made.m_step = {Epoch, Step};
  return Made;
}

/// A table of some ranges with few owners, some of them none.
std::vector<KeyRange> anyRanges() {
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
  for (const KeyRange &Each : Table.m_ranges)
    for (std::uint32_t Key : {Each.m_first, Each.m_last})
      RC_ASSERT(Owners.owner(Service, ShardKey(Key)) == Each.m_owner);
}

} // namespace

BOOST_AUTO_TEST_SUITE(owners_news)

BOOST_AUTO_TEST_CASE(a_host_that_gets_some_messages_is_never_wrong_for_long) {
  BOOST_TEST(rc::check([] {
    OwnerDeltaBuilder Builder;
    KeyOwners Host;
    auto First = known(anyRanges(), 1, 1);
    Host.apply(First.m_table, First.m_step);
    int Rounds = *rc::gen::inRange(1, 12);
    KeyOwners::Snapshot Current = First;
    for (int Round = 1; Round <= Rounds; ++Round) {
      Current = known(anyRanges(), 1, static_cast<std::uint32_t>(Round + 1));
      auto Changes = Builder.changes(Current, Epoch, at(Round * 300));
      RC_ASSERT(Changes.has_value());
      if (*rc::gen::inRange(0, 3) == 0)
        continue; // Lost on the way.
      auto Result = applyOwnersUpdate(Host, toWire(*Changes));
      RC_ASSERT(Result.has_value());
      if (*Result == KeyOwners::ApplyResult::Gap)
        RC_ASSERT(applyOwnersUpdate(Host, toWire(Current)) ==
                  KeyOwners::ApplyResult::Applied);
      requireSameOwners(Host, Current.m_table);
    }
  }));
}

BOOST_AUTO_TEST_CASE(one_lost_message_is_made_up_for_by_the_next) {
  OwnerDeltaBuilder Builder;
  KeyOwners Host;
  auto Told = [&](const char *Owner, std::uint32_t Step, int Millis) {
    auto Now = known({range(0, 99, Owner), range(100, ShardKeyCount - 1, "u2")},
                     1, Step);
    return toWire(*Builder.changes(Now, Epoch, at(Millis)));
  };
  auto First = known({range(0, ShardKeyCount - 1, "u2")}, 1, 1);
  Host.apply(First.m_table, First.m_step);
  Builder.changes(First, Epoch, at(0));
  Told("u3", 2, 100);
  BOOST_TEST((applyOwnersUpdate(Host, Told("u4", 3, 200)) ==
              KeyOwners::ApplyResult::Applied));
  BOOST_TEST(Host.owner(Service, ShardKey(99)).value() == "u4");
  BOOST_TEST(Host.owner(Service, ShardKey(100)).value() == "u2");
}

BOOST_AUTO_TEST_CASE(changes_follow_only_on_the_same_coordinator) {
  KeyOwners Host;
  auto First = known({range(0, ShardKeyCount - 1, "u2")}, 1, 1);
  Host.apply(First.m_table, {Epoch - 1, 1});
  OwnerDeltaBuilder Builder;
  Builder.changes(First, Epoch, at(0));
  auto Later = known({range(0, ShardKeyCount - 1, "u3")}, 1, 2);
  auto News = toWire(*Builder.changes(Later, Epoch, at(100)));
  BOOST_TEST((applyOwnersUpdate(Host, News) == KeyOwners::ApplyResult::Gap));
  BOOST_TEST(Host.owner(Service, ShardKey(0)).value() == "u2");
  BOOST_TEST(!Builder.changes(Later, Epoch + 1, at(200)).has_value());
}

BOOST_AUTO_TEST_CASE(spans_that_do_not_fit_the_keys_are_not_taken) {
  KeyOwners Host;
  auto Whole = toWire(known({range(0, ShardKeyCount - 1, "u2")}, 1, 1));
  auto Bad = Whole;
  Bad.spans[0].owner = 1;
  BOOST_TEST(!applyOwnersUpdate(Host, Bad).has_value());
  Bad = Whole;
  Bad.spans[0].keys += 1;
  BOOST_TEST(!applyOwnersUpdate(Host, Bad).has_value());
  Bad = Whole;
  Bad.spans[0].keys -= 1; // All keys are to be there.
  BOOST_TEST(!applyOwnersUpdate(Host, Bad).has_value());
  BOOST_TEST(
      (applyOwnersUpdate(Host, Whole) == KeyOwners::ApplyResult::Applied));
}

BOOST_AUTO_TEST_SUITE_END()
