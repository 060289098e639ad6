#include "registry_watcher.h"

#include "burdockpulley/clock.h"
#include "store_keys.h"

#include <boost/test/unit_test.hpp>

using namespace burdockpulley;

namespace {

using EntryEffect = RegistryWatcher::EntryEffect;

Instant at(int Millis) { return Instant(std::chrono::milliseconds(Millis)); }

/// A store whose responses the test supplies.
class FakeStore : public WatchableStore {
public:
  void read(const StoreQuery &, StoreCallback<StoreRange> Done) override {
    m_reads.push_back(std::move(Done));
  }
  void commit(const StoreTransaction &, StoreCallback<StoreCommit>) override {}
  void grantLease(Duration, StoreCallback<StoreLease>) override {}
  void keepAlive(StoreLease, StoreCallback<StoreLease>) override {}
  void endLease(StoreLease, StoreCallback<StoreLease>) override {}
  void watch(const std::string &Prefix, StoreVersion After, Duration,
             StoreCallback<StoreEvents> Done) override {
    m_after = After;
    m_prefixes.push_back(Prefix);
    m_watches.push_back(std::move(Done));
  }

  std::vector<StoreCallback<StoreRange>> m_reads;
  std::vector<StoreCallback<StoreEvents>> m_watches;
  std::vector<std::string> m_prefixes;
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

/// Later than any due time, and early enough for a watch to be made: callbacks
/// take the time from the real clock.
Instant later() { return bootClockNow() + std::chrono::milliseconds(2500); }

/// A watcher that has loaded an empty store at version 10.
struct LoadedWatcher {
  LoadedWatcher() {
    m_watcher.tick(bootClockNow());
    StoreRange Empty;
    Empty.m_version = StoreVersion(10);
    m_store.m_reads.at(0)(Empty);
  }

  /// Another host watches for the failure domain, and has just forwarded that
  /// nothing has changed. Returns when that was received.
  Instant letAnotherHostWatch() {
    m_watcher.setWatchesForDomain(false);
    StoreEvents NoChanges;
    NoChanges.m_version = StoreVersion(10);
    Instant Received = later();
    m_watcher.onForwardedChanges(StoreVersion(10), NoChanges, Received);
    return Received;
  }

  FakeStore m_store;
  FakeListener m_listener;
  RegistryWatcher m_watcher{m_store, m_listener};
};

/// Virtual time in steps of 20 ms, in which a store's responses arrive over a
/// link of limited bandwidth.
class SlowLinkStore : public FakeStore {
public:
  static constexpr std::int64_t LinkBytesPerMilli = 600;
  /// Key tables, written whole at every move of keys.
  static constexpr std::int64_t TableBytesPerMilli = 900;
  static constexpr std::int64_t RecordBytesPerMilli = 60;
  /// A call without a complete response is given up after this time.
  static constexpr int CallTimeoutMillis = 1100;

  void watch(const std::string &Prefix, StoreVersion After, Duration,
             StoreCallback<StoreEvents> Done) override {
    // The version of the store is the time in milliseconds.
    std::int64_t Millis = m_now.time_since_epoch().count() / 1000;
    std::int64_t BytesPerMilli = 0;
    if (store_keys::KeyTables.starts_with(Prefix))
      BytesPerMilli += TableBytesPerMilli;
    if (Prefix.empty() || Prefix == "servers/")
      BytesPerMilli += RecordBytesPerMilli;
    std::int64_t Bytes = (Millis - After.value()) * BytesPerMilli;
    int TransferMillis = static_cast<int>(Bytes / LinkBytesPerMilli);
    bool InTime = TransferMillis <= CallTimeoutMillis;
    StoreEvents Events;
    Events.m_version = StoreVersion(Millis);
    if (BytesPerMilli > 0)
      Events.m_events = {written("servers/u1", "beat", Millis)};
    m_replies.push_back(
        {m_now + std::chrono::milliseconds(InTime ? TransferMillis
                                                  : CallTimeoutMillis),
         [=] {
           InTime ? Done(Events)
                  : Done(StoreReply<StoreEvents>(StoreError::Unknown));
         }});
  }

  void advanceTo(Instant Now) {
    m_now = Now;
    for (std::size_t Index = 0; Index < m_replies.size();) {
      if (m_replies[Index].first > Now) {
        ++Index;
        continue;
      }
      auto Reply = std::move(m_replies[Index].second);
      m_replies.erase(m_replies.begin() + static_cast<std::ptrdiff_t>(Index));
      Reply();
    }
  }

  Instant m_now;
  std::vector<std::pair<Instant, std::function<void()>>> m_replies;
};

} // namespace

BOOST_AUTO_TEST_SUITE(registry_watcher)

BOOST_AUTO_TEST_CASE(
    a_watch_result_has_the_last_change_of_each_key_and_the_renewals) {
  LoadedWatcher Fixture;
  StoreEvents Forwarded;
  std::vector<std::string> Renewed;
  StoreVersion PreviousVersion;
  Fixture.m_watcher.m_onWatchResult =
      [&](StoreVersion After, const StoreEvents &Changes,
          const std::vector<std::string> &RenewedKeys) {
        PreviousVersion = After;
        Forwarded = Changes;
        Renewed = RenewedKeys;
      };
  Fixture.m_watcher.tick(later());
  BOOST_REQUIRE(Fixture.m_store.m_watches.size() == 1u);
  StoreEvents WatchResult;
  WatchResult.m_version = StoreVersion(15);
  WatchResult.m_events = {written("config", "1", 11), written("u1", "beat", 12),
                          written("config", "2", 13), written("u2", "new", 14)};
  Fixture.m_store.m_watches[0](WatchResult);
  BOOST_TEST(PreviousVersion.value() == 10);
  BOOST_TEST(Forwarded.m_version.value() == 15);
  BOOST_REQUIRE(Forwarded.m_events.size() == 2u);
  BOOST_TEST(Forwarded.m_events[0].m_entry.m_value == "2");
  BOOST_TEST(Forwarded.m_events[1].m_entry.m_key == "u2");
  BOOST_REQUIRE(Renewed.size() == 1u);
  BOOST_TEST(Renewed[0] == "u1");
  BOOST_TEST(Fixture.m_listener.m_seen.size() == 4u);
}

BOOST_AUTO_TEST_CASE(forwarded_changes_are_applied_only_without_gaps) {
  LoadedWatcher Fixture;
  Fixture.m_watcher.setWatchesForDomain(false);
  StoreEvents Changes;
  Changes.m_version = StoreVersion(12);
  Changes.m_events = {written("a", "1", 12)};
  Fixture.m_watcher.onForwardedChanges(StoreVersion(10), Changes, at(1));
  BOOST_TEST(Fixture.m_listener.m_seen.size() == 1u);
  Fixture.m_watcher.onForwardedChanges(StoreVersion(10), Changes,
                                       at(2)); // A duplicate.
  BOOST_TEST(Fixture.m_listener.m_seen.size() == 1u);
  Changes.m_version = StoreVersion(20);
  Changes.m_events = {written("a", "3", 20)};
  Fixture.m_watcher.onForwardedChanges(StoreVersion(15), Changes,
                                       at(3)); // 13 to 15 are missing.
  BOOST_TEST(Fixture.m_listener.m_seen.size() == 1u);
  Fixture.m_watcher.tick(later());
  BOOST_REQUIRE(Fixture.m_store.m_watches.size() == 1u);
  BOOST_TEST(Fixture.m_store.m_after.value() == 12);
}

BOOST_AUTO_TEST_CASE(a_host_that_receives_forwarded_updates_makes_no_call) {
  LoadedWatcher Fixture;
  Instant Received = Fixture.letAnotherHostWatch();
  Fixture.m_watcher.tick(Received + std::chrono::milliseconds(700));
  BOOST_TEST(Fixture.m_store.m_watches.empty());
  Fixture.m_watcher.tick(Received + std::chrono::milliseconds(1100));
  BOOST_TEST(Fixture.m_store.m_watches.size() == 1u);
}

BOOST_AUTO_TEST_CASE(forwarded_changes_end_an_outage) {
  LoadedWatcher Fixture;
  Fixture.m_watcher.tick(later());
  Fixture.m_store.m_watches.at(0)(StoreError::Unreachable);
  BOOST_TEST(Fixture.m_listener.m_lost == 1);
  StoreEvents Changes;
  Changes.m_version = StoreVersion(12);
  Changes.m_events = {{{"gone", "", StoreVersion(12)}, true}};
  Fixture.m_watcher.onForwardedChanges(StoreVersion(10), Changes, later());
  BOOST_TEST(Fixture.m_listener.m_regained == 1);
}

BOOST_AUTO_TEST_CASE(missed_changes_are_named_and_supplied_by_another_host) {
  LoadedWatcher Sender;
  LoadedWatcher Receiver;
  Receiver.m_watcher.setWatchesForDomain(false);
  Sender.m_watcher.tick(later());
  StoreEvents WatchResult;
  WatchResult.m_version = StoreVersion(15);
  WatchResult.m_events = {written("a", "1", 11),
                          written("a", "2", 12),
                          {{"b", "", StoreVersion(13)}, true},
                          written("u1", "beat", 14)};
  Sender.m_store.m_watches.at(0)(WatchResult);
  StoreEvents Next;
  Next.m_version = StoreVersion(20);
  auto MissedAfter =
      Receiver.m_watcher.onForwardedChanges(StoreVersion(15), Next, at(1));
  BOOST_REQUIRE(MissedAfter.has_value());
  BOOST_TEST(MissedAfter->value() == 10);
  auto Changes = Sender.m_watcher.changesSince(*MissedAfter);
  BOOST_REQUIRE(Changes.has_value());
  // "b" was never known, so its removal changes nothing.
  BOOST_REQUIRE(Changes->m_events.size() == 1u);
  BOOST_TEST(Changes->m_events[0].m_entry.m_value == "2");
  BOOST_TEST(Changes->m_version.value() == 15);
  BOOST_TEST(
      !Receiver.m_watcher.onForwardedChanges(*MissedAfter, *Changes, at(2)));
  BOOST_TEST(
      !Receiver.m_watcher.onForwardedChanges(StoreVersion(15), Next, at(3)));
  BOOST_TEST(Receiver.m_listener.m_seen.size() == 1u);
  // Removals from before the sender's start are not known to it, so the
  // receiver has to stay at its version.
  auto Incomplete = Sender.m_watcher.changesSince(StoreVersion(9));
  BOOST_REQUIRE(Incomplete.has_value());
  BOOST_TEST(Incomplete->m_version.value() == 9);
}

// Issue 23: entries written after the last read of a host that the store turns
// away, but before the sender's first one, never reached that host.
BOOST_AUTO_TEST_CASE(entries_from_before_the_senders_start_are_supplied) {
  LoadedWatcher Receiver;
  FakeStore Store;
  FakeListener Listener;
  RegistryWatcher Sender(Store, Listener);
  BOOST_TEST(!Sender.changesSince(StoreVersion(10)).has_value());
  Sender.tick(at(0));
  StoreRange Loaded;
  Loaded.m_version = StoreVersion(20);
  Loaded.m_entries = {{"a", "old", StoreVersion(9)},
                      {"b", "new", StoreVersion(15)}};
  Store.m_reads.at(0)(Loaded);
  Receiver.m_watcher.setWatchesForDomain(false);
  StoreEvents Next;
  Next.m_version = StoreVersion(21);
  auto MissedAfter =
      Receiver.m_watcher.onForwardedChanges(StoreVersion(20), Next, at(1));
  BOOST_REQUIRE(MissedAfter.has_value());
  auto Changes = Sender.changesSince(*MissedAfter);
  BOOST_REQUIRE(Changes.has_value());
  BOOST_TEST(
      !Receiver.m_watcher.onForwardedChanges(*MissedAfter, *Changes, at(2)));
  BOOST_REQUIRE(Receiver.m_listener.m_seen.size() == 1u);
  BOOST_TEST(Receiver.m_listener.m_seen[0] == "b=new");
  // Removals up to the sender's start are still to be read from the store.
  BOOST_TEST(Receiver.m_watcher.version().value() == 10);
}

BOOST_AUTO_TEST_CASE(a_working_watcher_ignores_forwarded_changes) {
  LoadedWatcher Fixture;
  StoreEvents Changes;
  Changes.m_version = StoreVersion(12);
  Changes.m_events = {written("a", "1", 12)};
  Fixture.m_watcher.onForwardedChanges(StoreVersion(10), Changes, later());
  BOOST_TEST(Fixture.m_listener.m_seen.empty());
  Fixture.m_watcher.tick(later());
  Fixture.m_store.m_watches.at(0)(StoreError::Unavailable);
  Fixture.m_watcher.onForwardedChanges(StoreVersion(10), Changes, later());
  BOOST_TEST(Fixture.m_listener.m_seen.size() == 1u);
}

BOOST_AUTO_TEST_CASE(forwarded_changes_are_applied_until_the_store_is_reread) {
  LoadedWatcher Fixture;
  Fixture.m_watcher.setWatchesForDomain(false);
  Fixture.m_watcher.tick(later());
  Fixture.m_store.m_watches.at(0)(StoreError::Compacted);
  StoreEvents Changes;
  Changes.m_version = StoreVersion(12);
  Changes.m_events = {written("a", "1", 12)};
  Fixture.m_watcher.tick(later());
  BOOST_REQUIRE(Fixture.m_store.m_reads.size() == 2u);
  // The read may have started before the change.
  Fixture.m_watcher.onForwardedChanges(StoreVersion(10), Changes, later());
  BOOST_TEST(Fixture.m_listener.m_seen.empty());
  Fixture.m_store.m_reads[1](StoreError::Unavailable);
  Fixture.m_watcher.onForwardedChanges(StoreVersion(10), Changes, later());
  BOOST_TEST(Fixture.m_listener.m_seen.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_host_that_takes_over_watches_at_once) {
  LoadedWatcher Fixture;
  Instant Received = Fixture.letAnotherHostWatch();
  Fixture.m_watcher.setWatchesForDomain(true);
  Fixture.m_watcher.tick(Received);
  BOOST_TEST(Fixture.m_store.m_watches.size() == 1u);
}

// Issue 23: after a restore of the store, a coordinator learned of its restored
// record too late to be elected within its former lease.
BOOST_AUTO_TEST_CASE(a_call_that_is_asked_for_is_made_at_once) {
  LoadedWatcher Fixture;
  Instant Received = Fixture.letAnotherHostWatch();
  Fixture.m_watcher.tick(Received);
  BOOST_TEST(Fixture.m_store.m_watches.empty());
  Fixture.m_watcher.watchNow();
  Fixture.m_watcher.tick(Received);
  BOOST_TEST(!Fixture.m_store.m_watches.empty());
}

// When the coordinator of 195 hosts was lost, each of them asked the store for
// its successor seven times a second.
BOOST_AUTO_TEST_CASE(hosts_that_are_informed_do_not_watch_an_expected_change) {
  LoadedWatcher Fixture;
  Instant Received = Fixture.letAnotherHostWatch();
  Fixture.m_watcher.expectChangeOf("leader",
                                   Received + std::chrono::seconds(9));
  for (int Millis = 0; Millis < 900; Millis += 20)
    Fixture.m_watcher.tick(Received + std::chrono::milliseconds(Millis));
  BOOST_TEST(Fixture.m_store.m_watches.empty());
  Fixture.m_watcher.setWatchesForDomain(true);
  Fixture.m_watcher.tick(Received + std::chrono::milliseconds(920));
  BOOST_TEST(Fixture.m_store.m_watches.size() == 1u);
}

BOOST_AUTO_TEST_CASE(an_expected_change_is_watched_by_itself) {
  FakeStore Store;
  FakeListener Listener;
  Instant Now = at(0);
  RegistryWatcher Watcher(Store, Listener, {"op/", "servers/"},
                          [&Now] { return Now; });
  Watcher.tick(Now);
  Store.m_reads.at(0)(StoreRange());
  std::size_t Calls = 0;
  for (int Millis = 20; Millis < 600; Millis += 20) {
    Now = at(Millis);
    Watcher.expectChangeOf("leader", Now + std::chrono::milliseconds(40));
    Watcher.tick(Now);
    for (; Calls < Store.m_watches.size(); ++Calls) {
      BOOST_TEST(Store.m_prefixes[Calls] == "leader");
      BOOST_TEST(Store.m_after.value() == 0);
      StoreEvents Events;
      Events.m_version = StoreVersion(9);
      Events.m_events = {written("leader", "h1", 5)};
      Store.m_watches[Calls](Events);
    }
  }
  BOOST_TEST(Calls == 4u);
  BOOST_TEST(Listener.m_seen.size() == 1u);
}

// Issue 44: old changes of one host deferred the call for those that were
// missed from another.
BOOST_AUTO_TEST_CASE(old_changes_do_not_delay_the_read_of_missed_ones) {
  FakeStore Store;
  FakeListener Listener;
  Instant Now = at(0);
  RegistryWatcher Watcher(Store, Listener, {""}, [&Now] { return Now; });
  Watcher.tick(Now);
  Store.m_reads.at(0)(StoreRange());
  Watcher.setWatchesForDomain(false);
  StoreEvents Missed;
  Missed.m_version = StoreVersion(9);
  StoreEvents Old;
  for (int Millis = 20; Millis <= 600 && Store.m_watches.empty();
       Millis += 20) {
    Now = at(Millis);
    if (Millis % 100 == 0)
      Watcher.onForwardedChanges(StoreVersion(0), Old, Now);
    if (Millis == 100)
      BOOST_TEST((Watcher.onForwardedChanges(StoreVersion(5), Missed, Now)
                      .has_value()));
    Watcher.tick(Now);
  }
  BOOST_TEST(Store.m_watches.size() == 1u);
  BOOST_TEST((*Watcher.lastNews() == at(100)));
  StoreEvents Changes;
  Changes.m_version = StoreVersion(9);
  Store.m_watches.at(0)(Changes);
  Watcher.onForwardedChanges(StoreVersion(0), Old, Now);
  BOOST_TEST((*Watcher.lastNews() == Now));
}

// Issue 44: a watch returned all versions of a configuration that the host had
// missed, however many.
BOOST_AUTO_TEST_CASE(a_host_without_news_reads_the_present_entries) {
  FakeStore Store;
  FakeListener Listener;
  Instant Now = at(0);
  RegistryWatcher Watcher(Store, Listener, {"op/", "servers/"},
                          [&Now] { return Now; });
  StoreRange Loaded;
  Loaded.m_version = StoreVersion(10);
  Loaded.m_entries = {{"keys/1", "t", StoreVersion(3)},
                      {"op/config", "1", StoreVersion(4)},
                      {"servers/u1", "new", StoreVersion(5)}};
  Watcher.tick(Now);
  Store.m_reads.at(0)(Loaded);
  Listener.m_seen.clear();
  StoreEvents Forwarded;
  Watcher.m_onWatchResult = [&](StoreVersion, const StoreEvents &Changes,
                                const std::vector<std::string> &) {
    Forwarded = Changes;
  };
  Now = at(4000);
  Watcher.tick(Now);
  BOOST_TEST(Store.m_watches.empty());
  BOOST_REQUIRE(Store.m_reads.size() == 3u);
  StoreRange Operators;
  Operators.m_version = StoreVersion(30);
  Operators.m_entries = {{"op/config", "9", StoreVersion(28)}};
  StoreRange Upstreams;
  Upstreams.m_version = StoreVersion(31);
  Upstreams.m_entries = {{"servers/u2", "new", StoreVersion(31)}};
  Store.m_reads[1](Operators);
  Store.m_reads[2](Upstreams);
  // The key table was not read, and is not taken for removed.
  BOOST_TEST(Listener.m_seen ==
                 std::vector<std::string>(
                     {"-servers/u1", "op/config=9", "servers/u2=new"}),
             boost::test_tools::per_element());
  BOOST_TEST(Watcher.version().value() == 30);
  BOOST_TEST(Forwarded.m_events.size() == 3u);
  BOOST_TEST((Watcher.lastContact() == Now));
  Now = at(4700);
  Watcher.tick(Now);
  BOOST_TEST(Store.m_watches.size() == 2u);
}

BOOST_AUTO_TEST_CASE(forwarded_changes_are_newer_than_entries_read_before) {
  FakeStore Store;
  FakeListener Listener;
  Instant Now = at(0);
  RegistryWatcher Watcher(Store, Listener, {"op/"}, [&Now] { return Now; });
  Watcher.tick(Now);
  StoreRange Loaded;
  Loaded.m_version = StoreVersion(10);
  Store.m_reads.at(0)(Loaded);
  Watcher.setWatchesForDomain(false);
  Now = at(4000);
  Watcher.tick(Now);
  BOOST_REQUIRE(Store.m_reads.size() == 2u);
  StoreEvents Changes;
  Changes.m_version = StoreVersion(20);
  Changes.m_events = {written("op/config", "2", 20)};
  Watcher.onForwardedChanges(StoreVersion(10), Changes, Now);
  StoreRange Older;
  Older.m_version = StoreVersion(15);
  Store.m_reads[1](Older);
  BOOST_TEST(Watcher.version().value() == 20);
  BOOST_TEST(Listener.m_seen == std::vector<std::string>({"op/config=2"}),
             boost::test_tools::per_element());
}

// Virtual time: a host whose calls fail, while another one forwards changes.
BOOST_AUTO_TEST_CASE(a_host_that_the_store_turns_away_is_served_by_others) {
  FakeStore Store;
  FakeListener Listener;
  Instant Now = at(0);
  RegistryWatcher Watcher(Store, Listener, {""}, [&Now] { return Now; });
  Watcher.tick(Now);
  Store.m_reads.at(0)(StoreRange());
  Watcher.setWatchesForDomain(false);
  StoreEvents Changes;
  std::size_t Calls = 0;
  for (int Millis = 0; Millis < 20'000; Millis += 20) {
    Now = at(Millis);
    if (Millis % 700 == 0) {
      StoreVersion After = Changes.m_version;
      Changes.m_version = StoreVersion(Millis + 1);
      Watcher.onForwardedChanges(After, Changes, Now);
    }
    // Being the watcher for a moment makes it call the store.
    Watcher.setWatchesForDomain(Millis == 3000);
    Watcher.tick(Now);
    for (; Calls < Store.m_watches.size(); ++Calls)
      Store.m_watches[Calls](StoreError::Unavailable);
    if (Millis >= 3000)
      BOOST_REQUIRE(!Watcher.lastCallSucceeded());
    BOOST_REQUIRE((Now - *Watcher.lastNews() <= std::chrono::seconds(1)));
  }
  // One call in two seconds, and no outage is reported.
  BOOST_TEST(Calls >= 7u);
  BOOST_TEST(Calls <= 10u);
  BOOST_TEST(Listener.m_lost == 0);
}

// Issue 19: a host without forwarded changes gave up each watch before it was
// complete, and asked for more in the next one.
BOOST_AUTO_TEST_CASE(a_host_with_a_slow_link_keeps_up_with_the_store) {
  SlowLinkStore Store;
  FakeListener Listener;
  RegistryWatcher Watcher(
      Store, Listener,
      {"op/", "servers/", store_keys::Coordinator, store_keys::Hosts},
      [&Store] { return Store.m_now; });
  Watcher.setWatchesForDomain(false);
  Watcher.tick(at(0));
  Store.m_reads.at(0)(StoreRange());
  constexpr int NoticeMillis = 2500; // Bound of the time to notice a drain.
  for (int Millis = 0; Millis <= 15'000; Millis += 20) {
    Store.advanceTo(at(Millis));
    Watcher.tick(at(Millis));
    BOOST_REQUIRE(Watcher.lastContact().has_value());
    BOOST_REQUIRE((at(Millis) - *Watcher.lastContact() <=
                   std::chrono::milliseconds(NoticeMillis)));
  }
  BOOST_TEST(Listener.m_lost == 0);
}

/// In virtual time, a store whose watches return a limited number of bytes.
class LimitedStore : public FakeStore {
public:
  static constexpr std::int64_t MaxWatchBytes = 1'000'000;

  void watch(const std::string &Prefix, StoreVersion After, Duration,
             StoreCallback<StoreEvents> Done) override {
    // The version of the store is the time in milliseconds.
    std::int64_t BytesPerMilli = SlowLinkStore::RecordBytesPerMilli +
                                 (store_keys::KeyTables.starts_with(Prefix)
                                      ? 2 * SlowLinkStore::TableBytesPerMilli
                                      : 0);
    StoreEvents Events;
    Events.m_version =
        StoreVersion(std::min(m_now.time_since_epoch().count() / 1000,
                              After.value() + MaxWatchBytes / BytesPerMilli));
    Events.m_events = {written("servers/u1", "beat", Events.m_version.value())};
    Done(Events);
  }

  Instant m_now;
};

// Issue 19: with 45 key tables a second, watchers on wide links fell seconds
// behind.
BOOST_AUTO_TEST_CASE(a_watcher_keeps_up_while_key_tables_are_written) {
  LimitedStore Store;
  FakeListener Listener;
  RegistryWatcher Watcher(
      Store, Listener,
      {"op/", "servers/", store_keys::Coordinator, store_keys::Hosts},
      [&Store] { return Store.m_now; });
  Watcher.tick(at(0));
  Store.m_reads.at(0)(StoreRange());
  constexpr int NoticeMillis = 2500; // Bound of the time to notice a drain.
  for (int Millis = 0; Millis <= 15'000; Millis += 20) {
    Store.m_now = at(Millis);
    Watcher.tick(at(Millis));
    // The watcher knows all changes up to the bound.
    BOOST_REQUIRE(
        Watcher.changesSince(StoreVersion(std::max(0, Millis - NoticeMillis))));
  }
}

BOOST_AUTO_TEST_SUITE_END()
