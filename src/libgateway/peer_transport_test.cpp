#include "peer_transport.h"

#include <boost/test/unit_test.hpp>

using namespace burdockpulley;

BOOST_AUTO_TEST_SUITE(peer_gossip)

BOOST_AUTO_TEST_CASE(a_host_record_survives_its_encoding) {
  for (bool Wide : {true, false}) {
    HostAddress Address{{"10.1.0.18", 7200}, DomainId("a"), Wide};
    BOOST_TEST((decodeHostAddress(encodeHostAddress(Address)) == Address));
  }
  for (const char *Bad : {"", "10.1.0.18:7200", "nowhere a", " "})
    BOOST_TEST(!decodeHostAddress(Bad).has_value());
}

BOOST_AUTO_TEST_CASE(hosts_with_wide_links_come_first) {
  PeerTransport Narrow(nullptr, HostId("a1"),
                       [](const auto &, const auto &) {});
  DomainId Domain("a");
  Instant Now{std::chrono::seconds(10)};
  BOOST_TEST(Narrow.isFirstOf(Domain, false, Now));
  Narrow.addPeer(HostId("b2"), {{"10.1.0.18", 7200}, Domain, true});
  // It has not been heard of.
  BOOST_TEST(Narrow.isFirstOf(Domain, false, Now));
  // Nothing has been heard long after the process began, so ask about then.
  BOOST_TEST(!Narrow.isFirstOf(Domain, false, Instant()));
  BOOST_TEST(Narrow.isFirstOf(Domain, true, Instant()));
}

BOOST_AUTO_TEST_SUITE_END()
