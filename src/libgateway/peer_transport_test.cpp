#include "peer_transport.h"

#include "burdockpulley/clock.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>

using namespace burdockpulley;

BOOST_AUTO_TEST_SUITE(peer_transport)

BOOST_AUTO_TEST_CASE(a_host_record_round_trips_through_its_encoding) {
  for (bool HighBandwidth : {true, false})
    for (const Endpoint &Forward : {Endpoint(), Endpoint{"10.1.0.18", 7201}})
      for (bool Relays : {true, false}) {
        HostRecord Record{
            {"10.1.0.18", 7200}, DomainId("a"), HighBandwidth, Forward, Relays};
        BOOST_TEST((decodeHostRecord(encodeHostRecord(Record)) == Record));
      }
  for (const char *Malformed :
       {"", "10.1.0.18:7200", "nowhere a", " ", "10.1.0.18:7200 a forward=x"})
    BOOST_TEST(!decodeHostRecord(Malformed).has_value());
}

BOOST_AUTO_TEST_CASE(high_bandwidth_hosts_come_first_in_their_domain) {
  PeerTransport Transport(nullptr, HostId("a1"), DomainId("a"),
                          [](const auto &, const auto &) {});
  DomainId Domain("a");
  Instant Now{std::chrono::seconds(10)};
  BOOST_TEST(Transport.isFirstInDomain(Domain, false, Now));
  Transport.addPeer(HostId("b2"), {{"10.1.0.18", 7200}, Domain, true});
  // No datagram has arrived from b2.
  BOOST_TEST(Transport.isFirstInDomain(Domain, false, Now));
  // b2's time of last receipt is the epoch of the clock, so at that instant b2
  // counts as present.
  BOOST_TEST(!Transport.isFirstInDomain(Domain, false, Instant()));
  BOOST_TEST(Transport.isFirstInDomain(Domain, true, Instant()));
}

// Issue 19: a host that the store turned away remained the watcher.
BOOST_AUTO_TEST_CASE(a_host_that_does_not_reach_the_store_is_not_first) {
  PeerTransport Transport(nullptr, HostId("a2"), DomainId("a"),
                          [](const auto &, const auto &) {});
  DomainId Domain("a");
  Transport.addPeer(HostId("a1"), {{"10.1.0.18", 7200}, Domain, true});
  // At this instant the peer counts as present.
  Instant Present;
  BOOST_TEST(!Transport.isFirstInDomain(Domain, true, Present));
  Transport.setReachesStore(HostId("a1"), false);
  BOOST_TEST(Transport.isFirstInDomain(Domain, true, Present));
  BOOST_TEST(Transport.isFirstInDomain(Domain, false, Present));
  // When none reaches it, the order is the usual one.
  Transport.setReachesStore(false);
  BOOST_TEST(!Transport.isFirstInDomain(Domain, true, Present));
  Transport.setReachesStore(HostId("a1"), true);
  Transport.setReachesStore(true);
  BOOST_TEST(!Transport.isFirstInDomain(Domain, true, Present));
}

BOOST_AUTO_TEST_CASE(each_domain_follows_another_one) {
  PeerTransport Transport(nullptr, HostId("a1"), DomainId("a"),
                          [](const auto &, const auto &) {});
  Transport.addPeer(HostId("a2"), {{"10.1.0.18", 7200}, DomainId("a"), true});
  BOOST_TEST(!Transport.domainAfter(DomainId("a")).has_value());
  Transport.addPeer(HostId("b1"), {{"10.2.0.18", 7200}, DomainId("b"), true});
  Transport.addPeer(HostId("c1"), {{"10.3.0.18", 7200}, DomainId("c"), true});
  BOOST_TEST(Transport.domainAfter(DomainId("a"))->value() == "b");
  BOOST_TEST(Transport.domainAfter(DomainId("b"))->value() == "c");
  BOOST_TEST(Transport.domainAfter(DomainId("c"))->value() == "a");
}

// A host that registered after the store had turned others away remained
// unknown to them: they dropped its messages, and with them all changes of the
// store.
BOOST_AUTO_TEST_CASE(a_host_is_known_by_its_messages) {
  std::unique_ptr<event_base, decltype(&event_base_free)> Base(event_base_new(),
                                                               event_base_free);
  const Endpoint Any{"127.0.0.1", 0};
  std::vector<std::string> Senders;
  PeerTransport Receiver(Base.get(), HostId("a1"), DomainId("a"),
                         [&](const HostId &Sender, const auto &) {
                           Senders.push_back(Sender.value());
                         });
  PeerTransport Sender(Base.get(), HostId("b1"), DomainId("b"),
                       [](const auto &, const auto &) {});
  Receiver.setKey("key");
  Sender.setKey("key");
  Endpoint ReceiverAddress{"127.0.0.1", Receiver.listen(Any)};
  Endpoint SenderAddress{"127.0.0.1", Sender.listen(Any)};
  Sender.addPeer(HostId("a1"), {ReceiverAddress, DomainId("a"), true});
  wire::Datagram Message;
  Message.__set_hostStatus(wire::HostStatus());
  Sender.send(HostId("a1"), Message);
  Message.hostStatus.__set_record(
      encodeHostRecord({SenderAddress, DomainId("b"), true}));
  Sender.send(HostId("a1"), Message);
  while (Senders.empty())
    event_base_loop(Base.get(), EVLOOP_ONCE);
  BOOST_TEST(Senders == std::vector<std::string>{"b1"});
  BOOST_TEST(Receiver.domainAfter(DomainId("a"))->value() == "b");
  // The store does not list it: it is forgotten when it is silent.
  Receiver.sweep(bootClockNow() + std::chrono::minutes(1));
  BOOST_TEST(Receiver.peers() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
