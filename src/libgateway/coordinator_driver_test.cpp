#include "burdockpulley/clock.h"
#include "coordinator_driver.h"
#include "no_codec.h"
#include "store_keys.h"

#include "libhttp/raw_server.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>

#include <algorithm>
#include <memory>

using namespace burdockpulley;

namespace {

const ServiceId Herd("herd");
const std::string HerdTable = store_keys::KeyTables + "herd";

/// A store in memory. Calls are answered by answerAll().
class MemoryStore : public WatchableStore {
public:
  void read(const StoreQuery &Query, StoreCallback<StoreRange> Done) override {
    m_calls.push_back([this, Query, Done] {
      StoreRange Range;
      for (const auto &[Key, Entry] : m_entries)
        if (Query.m_prefix ? Key.starts_with(Query.m_key) : Key == Query.m_key)
          Range.m_entries.push_back(Entry);
      Range.m_version = m_version;
      Done(Range);
    });
  }
  void commit(const StoreTransaction &Change,
              StoreCallback<StoreCommit> Done) override {
    m_calls.push_back([this, Change, Done] {
      bool Applied =
          std::all_of(Change.m_conditions.begin(), Change.m_conditions.end(),
                      [this](const StoreCondition &Condition) {
                        auto EntryIt = m_entries.find(Condition.m_key);
                        StoreVersion Modified =
                            EntryIt == m_entries.end()
                                ? StoreVersion(0)
                                : EntryIt->second.m_modified;
                        return Modified == Condition.m_modified;
                      });
      if (Applied)
        for (const StoreWrite &Write : Change.m_writes)
          write(Write.m_key, Write.m_value);
      Done(StoreCommit{Applied, m_version});
    });
  }
  void grantLease(Duration, StoreCallback<StoreLease> Done) override {
    m_calls.push_back([Done] { Done(StoreLease(1)); });
  }
  void keepAlive(StoreLease Lease, StoreCallback<StoreLease> Done) override {
    m_calls.push_back([Lease, Done] { Done(Lease); });
  }
  void endLease(StoreLease, StoreCallback<StoreLease>) override {}
  void watch(const std::string &, StoreVersion, Duration,
             StoreCallback<StoreEvents>) override {}

  void write(const std::string &Key, const std::string &Value) {
    m_version = StoreVersion(m_version.value() + 1);
    m_entries[Key] = {Key, Value, m_version};
  }
  /// Answers all calls, also those that answers lead to.
  void answerAll() {
    while (!m_calls.empty()) {
      auto Call = std::move(m_calls.front());
      m_calls.erase(m_calls.begin());
      Call();
    }
  }

  std::map<std::string, StoreEntry> m_entries;
  StoreVersion m_version = combineWithEra(StoreEra(1), 100);
  std::vector<std::function<void()>> m_calls;
};

/// Commands are all alike, and a status is all that responses say.
class StatusCodec : public NoCodec {
public:
  HttpRequest encodeGrant(const GrantCommand &) const override {
    return {"POST", "/grant", {{"Host", "a"}}, "{}", ""};
  }
  GrantOutcome decodeGrant(const HttpResponse &Response) const override {
    return Response.m_status == 200 ? GrantOutcome::Granted
                                    : GrantOutcome::Unanswered;
  }
};

GatewaySettings hostSettings(const char *Host) {
  GatewaySettings Settings;
  Settings.m_host = HostId(Host);
  return Settings;
}

/// One entry host, as far as it takes part in the coordination.
struct CoordinatingHost {
  explicit CoordinatingHost(MemoryStore &Store, const char *Host)
      : m_store(Store), m_base(event_base_new()),
        m_state(m_base.get(), hostSettings(Host), m_codec),
        m_driver(m_state, Store) {
    auto Configuration = std::make_shared<RoutingConfiguration>();
    Configuration->m_services[Herd].m_keyed = true;
    m_state.m_routes.apply(Configuration);
    UpstreamRecord Owner;
    Owner.m_id = UpstreamId("a");
    Owner.m_service = Herd;
    Owner.m_incarnation = UpstreamIncarnation(1);
    m_state.m_registry.onRecord(Owner, bootClockNow());
    m_driver.onRegistryLoaded(bootClockNow());
  }

  /// Lets the host act until \p Done. False if that takes more than 5 s.
  bool runUntil(const std::function<bool()> &Done) {
    Instant End = bootClockNow() + std::chrono::seconds(5);
    while (!Done() && bootClockNow() < End) {
      m_driver.tick(bootClockNow());
      m_store.answerAll();
      event_base_loop(m_base.get(), EVLOOP_NONBLOCK);
    }
    return Done();
  }

  MemoryStore &m_store;
  struct FreeBase {
    void operator()(event_base *Base) const { event_base_free(Base); }
  };
  std::unique_ptr<event_base, FreeBase> m_base;
  StatusCodec m_codec;
  GatewayState m_state;
  CoordinatorDriver m_driver;
};

} // namespace

// Two hosts that take over the same table raise its tokens alike. The first one
// took the table that the second had written for its own, and went on to grant
// keys with the tokens of the second.
BOOST_AUTO_TEST_CASE(a_table_that_another_coordinator_wrote_is_not_its_own) {
  MemoryStore Store;
  KeyTable Stored;
  Stored.m_service = Herd;
  Stored.m_version = 3;
  Stored.m_era = StoreEra(1);
  Stored.m_lastToken = FencingToken(7);
  Stored.m_ranges.push_back({0, ShardKeyCount - 1, UpstreamId("a"),
                             UpstreamIncarnation(1), FencingToken(7), ""});
  Store.write(HerdTable, encodeKeyTable(Stored));
  CoordinatingHost First(Store, "first");
  CoordinatingHost Second(Store, "second");
  // Later than any delay of an election.
  Instant Now = bootClockNow() + std::chrono::seconds(1);
  First.m_driver.tick(Now);
  Store.answerAll();
  BOOST_REQUIRE(First.m_driver.coordinating());
  // The write of the first one is late: the store ends its lease before.
  First.m_driver.tick(Now);
  auto FirstWrite = std::exchange(Store.m_calls, {});
  BOOST_REQUIRE(FirstWrite.size() == 1u);
  Store.m_entries.erase(store_keys::Coordinator);
  Second.m_driver.tick(Now);
  Store.answerAll();
  BOOST_REQUIRE(Second.m_driver.coordinating());
  Second.m_driver.tick(Now);
  Store.answerAll();
  auto Written = decodeKeyTable(Store.m_entries[HerdTable].m_value);
  BOOST_REQUIRE(Written);
  BOOST_REQUIRE(Written->m_version == 4u);
  Store.m_calls = std::move(FirstWrite);
  Store.answerAll();
  BOOST_TEST(!First.m_driver.coordinating());
}

// Only over the connections from before the restore can owners show that they
// have seen no higher token. Without them, all keys would wait for 12.9 s.
BOOST_AUTO_TEST_CASE(owners_are_verified_over_their_connections) {
  MemoryStore Store;
  CoordinatingHost Host(Store, "first");
  RawServer Server(Host.m_base.get(),
                   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
  UpstreamRecord Owner =
      Host.m_state.m_registry.find(UpstreamId("a"))->m_record;
  Owner.m_address = Server.m_endpoint;
  ++Owner.m_sequence;
  Host.m_state.m_registry.onRecord(Owner, bootClockNow());
  bool Confirmed = false;
  Host.m_driver.m_onOwnersChanged = [&Confirmed](const KeyTable &Owners,
                                                 std::uint32_t) {
    Confirmed = Owners.m_ranges.at(0).m_owner.value() == "a";
  };
  BOOST_REQUIRE(Host.runUntil([&Confirmed] { return Confirmed; }));
  Store.m_entries.clear();
  Store.m_version = combineWithEra(StoreEra(2), 100);
  Host.m_driver.onStoreRestored(bootClockNow());
  BOOST_REQUIRE(Host.runUntil(
      [&Store] { return Store.m_entries.count(HerdTable) != 0; }));
  auto Written = decodeKeyTable(Store.m_entries[HerdTable].m_value);
  BOOST_REQUIRE(Written);
  BOOST_TEST(Written->m_ranges.at(0).m_owner.value() == "a");
  BOOST_TEST(Server.m_acceptedCount == 1);
  Server.stop();
}

// A host that was suspended learns of the restore after its lease has ended.
// Its memory may be of any age then.
BOOST_AUTO_TEST_CASE(a_coordinator_without_lease_does_not_go_on) {
  MemoryStore Store;
  CoordinatingHost Host(Store, "first");
  BOOST_REQUIRE(
      Host.runUntil([&Host] { return Host.m_driver.coordinating(); }));
  Store.m_calls.clear();
  Instant Late = bootClockNow() + std::chrono::seconds(2);
  Host.m_driver.onStoreRestored(Late);
  BOOST_TEST(!Host.m_driver.coordinating());
  Host.m_driver.tick(Late + std::chrono::milliseconds(500));
  // It leaves others the time for an election.
  BOOST_TEST(Store.m_calls.empty());
}
