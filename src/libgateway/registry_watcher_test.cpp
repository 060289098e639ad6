#include "registry_watcher.h"

#include <boost/test/unit_test.hpp>

using namespace burdockpulley;

namespace {

using EntryEffect = RegistryWatcher::EntryEffect;

Instant at(int Millis) { return Instant(std::chrono::milliseconds(Millis)); }

/// A store whose answers the test gives.
class FakeStore : public WatchableStore {
public:
  void read(const StoreQuery &, StoreCallback<StoreRange> Done) override {
    m_reads.push_back(std::move(Done));
  }
  void commit(const StoreTransaction &, StoreCallback<StoreCommit>) override {}
  void grantLease(Duration, StoreCallback<StoreLease>) override {}
  void keepAlive(StoreLease, StoreCallback<StoreLease>) override {}
  void endLease(StoreLease, StoreCallback<StoreLease>) override {}
  void watch(const std::string &, StoreVersion After, Duration,
             StoreCallback<StoreEvents> Done) override {
    m_after = After;
    m_watches.push_back(std::move(Done));
  }

  std::vector<StoreCallback<StoreRange>> m_reads;
  std::vector<StoreCallback<StoreEvents>> m_watches;
  StoreVersion m_after;
};

struct FakeListener : RegistryWatcher::Listener {
  EntryEffect onEntry(const StoreEntry &Entry, Instant) override {
    m_seen.push_back(Entry.m_key + "=" + Entry.m_value);
    return Entry.m_value == "beat" ? EntryEffect::Renewal : EntryEffect::Change;
  }
  void onRemoval(const std::string &Key, StoreVersion, Instant) override {
    m_seen.push_back("-" + Key);
  }
  void onStoreRegained(Instant) override { ++m_regained; }
  void onStoreLost(StoreError, Instant) override { ++m_lost; }

  std::vector<std::string> m_seen;
  int m_regained = 0;
  int m_lost = 0;
};

StoreEvent written(const std::string &Key, const std::string &Value,
                   std::int64_t Version) {
  return {{Key, Value, StoreVersion(Version)}, false};
}

/// A watcher that has loaded an empty store at version 10.
struct Scene {
  Scene() {
    m_watcher.tick(at(0));
    StoreRange Empty;
    Empty.m_version = StoreVersion(10);
    m_store.m_reads.at(0)(Empty);
  }

  FakeStore m_store;
  FakeListener m_listener;
  RegistryWatcher m_watcher{m_store, m_listener};
};

/// Late enough for any pause: callbacks use the real clock.
Instant later() { return Instant::max() - std::chrono::hours(1); }

} // namespace

BOOST_AUTO_TEST_SUITE(registry_follower)

BOOST_AUTO_TEST_CASE(a_watch_passes_on_the_last_change_of_a_key_and_renewals) {
  Scene Each;
  StoreEvents Told;
  std::vector<std::string> Renewed;
  StoreVersion From;
  Each.m_watcher.m_onWatched = [&](StoreVersion After,
                                   const StoreEvents &Changes,
                                   const std::vector<std::string> &Names) {
    From = After;
    Told = Changes;
    Renewed = Names;
  };
  Each.m_watcher.tick(later());
  BOOST_REQUIRE(Each.m_store.m_watches.size() == 1u);
  StoreEvents Brought;
  Brought.m_version = StoreVersion(15);
  Brought.m_events = {written("config", "1", 11), written("u1", "beat", 12),
                      written("config", "2", 13), written("u2", "new", 14)};
  Each.m_store.m_watches[0](Brought);
  BOOST_TEST(From.value() == 10);
  BOOST_TEST(Told.m_version.value() == 15);
  BOOST_REQUIRE(Told.m_events.size() == 2u);
  BOOST_TEST(Told.m_events[0].m_entry.m_value == "2");
  BOOST_TEST(Told.m_events[1].m_entry.m_key == "u2");
  BOOST_REQUIRE(Renewed.size() == 1u);
  BOOST_TEST(Renewed[0] == "u1");
  BOOST_TEST(Each.m_listener.m_seen.size() == 4u);
}

BOOST_AUTO_TEST_CASE(what_another_host_tells_is_taken_without_gaps_only) {
  Scene Each;
  Each.m_watcher.setWatches(false);
  StoreEvents Part;
  Part.m_version = StoreVersion(12);
  Part.m_events = {written("a", "1", 12)};
  Each.m_watcher.onRelayed(StoreVersion(10), Part, at(1));
  BOOST_TEST(Each.m_listener.m_seen.size() == 1u);
  Each.m_watcher.onRelayed(StoreVersion(10), Part, at(2)); // Doubled.
  BOOST_TEST(Each.m_listener.m_seen.size() == 1u);
  Part.m_version = StoreVersion(20);
  Part.m_events = {written("a", "3", 20)};
  Each.m_watcher.onRelayed(StoreVersion(15), Part, at(3)); // 13 to 15 missing.
  BOOST_TEST(Each.m_listener.m_seen.size() == 1u);
  Each.m_watcher.tick(later());
  BOOST_REQUIRE(Each.m_store.m_watches.size() == 1u);
  BOOST_TEST(Each.m_store.m_after.value() == 12);
}

BOOST_AUTO_TEST_CASE(a_host_that_hears_nothing_new_makes_no_call) {
  Scene Each;
  Each.m_watcher.setWatches(false);
  StoreEvents Nothing;
  Nothing.m_version = StoreVersion(10);
  Instant Told = later();
  Each.m_watcher.onRelayed(StoreVersion(10), Nothing, Told);
  Each.m_watcher.tick(Told + std::chrono::milliseconds(700));
  BOOST_TEST(Each.m_store.m_watches.empty());
  Each.m_watcher.tick(Told + std::chrono::milliseconds(1100));
  BOOST_TEST(Each.m_store.m_watches.size() == 1u);
}

BOOST_AUTO_TEST_CASE(news_from_another_host_end_an_outage) {
  Scene Each;
  Each.m_watcher.tick(later());
  Each.m_store.m_watches.at(0)(StoreError::Unreachable);
  BOOST_TEST(Each.m_listener.m_lost == 1);
  StoreEvents Part;
  Part.m_version = StoreVersion(12);
  Part.m_events = {{{"gone", "", StoreVersion(12)}, true}};
  Each.m_watcher.onRelayed(StoreVersion(10), Part, later());
  BOOST_TEST(Each.m_listener.m_regained == 1);
}

BOOST_AUTO_TEST_SUITE_END()
