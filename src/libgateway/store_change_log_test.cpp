#include "store_change_log.h"

#include <boost/test/unit_test.hpp>

using namespace burdockpulley;

namespace {

StoreEvent written(const std::string &Key, std::int64_t Version) {
  return {{Key, std::to_string(Version), StoreVersion(Version)}, false};
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_change_log)

BOOST_AUTO_TEST_CASE(the_last_change_of_each_key_is_returned_in_order) {
  StoreChangeLog Log;
  Log.reset(StoreVersion(10));
  Log.add(written("b", 11));
  Log.add(written("a", 12));
  Log.add(written("b", 14));
  auto All = Log.changesAfter(StoreVersion(10));
  BOOST_REQUIRE(All.has_value());
  BOOST_REQUIRE(All->size() == 2u);
  BOOST_TEST(All->at(0).m_entry.m_key == "a");
  BOOST_TEST(All->at(1).m_entry.m_value == "14");
  BOOST_TEST(Log.changesAfter(StoreVersion(12))->size() == 1u);
  BOOST_TEST(Log.changesAfter(StoreVersion(14))->empty());
  BOOST_TEST(!Log.changesAfter(StoreVersion(9)).has_value());
}

BOOST_AUTO_TEST_CASE(a_log_that_has_discarded_changes_says_so) {
  StoreChangeLog Log;
  Log.reset(StoreVersion(0));
  constexpr std::int64_t Changes = 6000;
  for (std::int64_t Version = 1; Version <= Changes; ++Version)
    Log.add(written("key-" + std::to_string(Version), Version));
  BOOST_TEST(!Log.changesAfter(StoreVersion(0)).has_value());
  auto Recent = Log.changesAfter(StoreVersion(Changes - 100));
  BOOST_REQUIRE(Recent.has_value());
  BOOST_TEST(Recent->size() == 100u);
}

BOOST_AUTO_TEST_SUITE_END()
