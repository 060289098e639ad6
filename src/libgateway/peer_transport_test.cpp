#include "peer_transport.h"

#include <boost/test/unit_test.hpp>

using namespace burdockpulley;

BOOST_AUTO_TEST_SUITE(peer_transport)

BOOST_AUTO_TEST_CASE(a_host_record_round_trips_through_its_encoding) {
  for (bool HighBandwidth : {true, false}) {
    HostRecord Record{{"10.1.0.18", 7200}, DomainId("a"), HighBandwidth};
    BOOST_TEST((decodeHostRecord(encodeHostRecord(Record)) == Record));
  }
  for (const char *Malformed : {"", "10.1.0.18:7200", "nowhere a", " "})
    BOOST_TEST(!decodeHostRecord(Malformed).has_value());
}

BOOST_AUTO_TEST_CASE(high_bandwidth_hosts_come_first_in_their_domain) {
  PeerTransport Transport(nullptr, HostId("a1"),
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

BOOST_AUTO_TEST_SUITE_END()
