#include "burdockpulley/etcd_store.h"
#include "burdockpulley/http.h"
#include "burdockpulley/store_state.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>

using namespace burdockpulley;

BOOST_AUTO_TEST_CASE(of_two_writers_from_one_version_one_wins) {
  StoreState State;
  StoreTransaction First{{{"a", StoreVersion()}}, {{"a", "1", false, {}}}};
  StoreTransaction Second{{{"a", StoreVersion()}}, {{"a", "2", false, {}}}};
  BOOST_TEST(State.commit(First).m_applied);
  BOOST_TEST(!State.commit(Second).m_applied);
  BOOST_TEST(State.read({"a", false, {}}).m_entries.at(0).m_value == "1");
}

BOOST_AUTO_TEST_CASE(a_read_since_a_version_gives_only_later_writes) {
  StoreState State;
  State.commit({{}, {{"p/a", "1", false, {}}}});
  StoreVersion Seen = State.read({"p/", true, {}}).m_version;
  State.commit({{}, {{"p/b", "2", false, {}}}});
  StoreRange Later = State.read({"p/", true, StoreVersion(Seen.value() + 1)});
  BOOST_TEST(Later.m_entries.size() == 1u);
  BOOST_TEST(Later.m_entries.at(0).m_key == "p/b");
}

BOOST_AUTO_TEST_CASE(the_keys_of_a_lease_go_with_it) {
  StoreState State;
  Instant Start{};
  StoreLease Lease = State.grantLease(Duration(1'000'000), Start);
  State.commit({{}, {{"k", "v", false, Lease}}});
  BOOST_TEST(State.keepAlive(Lease, Start + Duration(900'000)));
  State.expire(Start + Duration(1'800'000));
  BOOST_TEST(State.read({"k", false, {}}).m_entries.size() == 1u);
  State.expire(Start + Duration(1'900'000));
  BOOST_TEST(State.read({"k", false, {}}).m_entries.empty());
  BOOST_TEST(!State.keepAlive(Lease, Start + Duration(2'000'000)));
}

BOOST_AUTO_TEST_CASE(the_binding_and_the_server_side_agree) {
  event_base *Base = event_base_new();
  {
    StoreState State;
    HttpServer Server(Base, [&](HttpRequest &&Request, auto Responder) {
      HttpResponse Response;
      Response.m_status = answerEtcdCall(
          State, Request.m_target, Request.m_body, Instant(), Response.m_body);
      Responder->send(Response);
    });
    Endpoint Where{"127.0.0.1", 0};
    Where.m_port = Server.listen(Where);
    EtcdStore Store(Base, Where, Duration(5'000'000));
    std::string Binary("\0\xff value", 8);
    int Steps = 0;
    Store.commit({{{"p/k", StoreVersion()}}, {{"p/k", Binary, false, {}}}},
                 [&](const StoreReply<StoreCommit> &Reply) {
                   BOOST_TEST(std::get<StoreCommit>(Reply).m_applied);
                   ++Steps;
                 });
    while (Steps < 1)
      event_base_loop(Base, EVLOOP_ONCE);
    Store.read({"p/", true, {}}, [&](const StoreReply<StoreRange> &Reply) {
      const auto &Range = std::get<StoreRange>(Reply);
      BOOST_TEST(Range.m_entries.at(0).m_value == Binary);
      BOOST_TEST((Range.m_entries.at(0).m_modified == Range.m_version));
      ++Steps;
    });
    Store.keepAlive(StoreLease(77), [&](const StoreReply<StoreLease> &Reply) {
      BOOST_TEST((std::get<StoreError>(Reply) == StoreError::LeaseExpired));
      ++Steps;
    });
    while (Steps < 3)
      event_base_loop(Base, EVLOOP_ONCE);
  }
  event_base_free(Base);
}

BOOST_AUTO_TEST_CASE(a_value_beyond_the_platform_s_limit_is_refused) {
  event_base *Base = event_base_new();
  {
    StoreState State;
    HttpServer Server(Base, [&](HttpRequest &&Request, auto Responder) {
      HttpResponse Response;
      Response.m_status = answerEtcdCall(
          State, Request.m_target, Request.m_body, Instant(), Response.m_body);
      Responder->send(Response);
    });
    Endpoint Where{"127.0.0.1", 0};
    Where.m_port = Server.listen(Where);
    EtcdStore Store(Base, Where, Duration(5'000'000));
    bool Answered = false;
    StoreWrite Large{"k", std::string(MaxStoreValueBytes + 1, 'x'), false, {}};
    Store.commit({{}, {Large}}, [&](const StoreReply<StoreCommit> &Reply) {
      BOOST_TEST((std::get<StoreError>(Reply) == StoreError::Refused));
      Answered = true;
    });
    while (!Answered)
      event_base_loop(Base, EVLOOP_ONCE);
    BOOST_TEST(State.read({"k", false, {}}).m_entries.empty());
  }
  event_base_free(Base);
}
