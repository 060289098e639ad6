#include "burdockpulley/hashing.h"
#include "burdockpulley/types.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace burdockpulley;

BOOST_AUTO_TEST_CASE(endpoint_round_trip) {
  Endpoint Address;
  BOOST_TEST(parseEndpoint("127.0.0.1:8080", Address));
  BOOST_TEST(toString(Address) == "127.0.0.1:8080");
}

BOOST_AUTO_TEST_CASE(endpoint_rejects_host_names_and_invalid_ports) {
  Endpoint Address{"10.0.0.1", 1};
  for (const char *Text : {"localhost:80", "127.0.0.1", "127.0.0.1:",
                           "127.0.0.1:70000", "127.0.0.1:80x", ":80"})
    BOOST_TEST(!parseEndpoint(Text, Address), Text);
  BOOST_TEST(toString(Address) == "10.0.0.1:1");
}

BOOST_AUTO_TEST_CASE(endpoint_rejects_text_behind_a_null_character) {
  Endpoint Address;
  BOOST_TEST(!parseEndpoint(std::string("127.0.0.1\0x:80", 14), Address));
}

BOOST_AUTO_TEST_CASE(duration_rejects_what_is_not_a_number) {
  Duration Time{};
  for (const char *Text : {"nanms", "nans", "-nans", "infs", "1e300s"})
    BOOST_TEST(!parseDuration(Text, Time), Text);
  BOOST_TEST(Time.count() == 0);
}

BOOST_AUTO_TEST_CASE(hash_values_do_not_change) {
  // Hosts of different versions must compute the same values.
  BOOST_TEST(stableHash("") == 0x2d06800538d394c2ULL);
  BOOST_TEST(
      sha256Hex("abc") ==
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_CASE(uuids_are_unique_and_of_version_4) {
  std::string First = randomUuid();
  BOOST_TEST(First.size() == 36u);
  BOOST_TEST(First[14] == '4');
  BOOST_TEST(First != randomUuid());
  std::set<std::string> Unique;
  for (int I = 0; I < 1000; ++I)
    Unique.insert(uniqueUuid());
  BOOST_TEST(Unique.size() == 1000u);
  BOOST_TEST(Unique.begin()->size() == First.size());
  BOOST_TEST((*Unique.begin())[14] == '4');
}
