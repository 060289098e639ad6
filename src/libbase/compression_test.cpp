#include "burdockpulley/compression.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace burdockpulley;

BOOST_AUTO_TEST_SUITE(compression)

BOOST_AUTO_TEST_CASE(round_trip_restores_text_and_rejects_invalid_bytes) {
  BOOST_TEST(
      rc::check([](const std::string &Text, const std::string &ArbitraryBytes) {
        RC_ASSERT(decompress(compress(Text), Text.size()) == Text);
        if (!Text.empty())
          RC_ASSERT(!decompress(compress(Text), Text.size() - 1).has_value());
        std::string Bytes = compress(Text);
        Bytes.pop_back();
        RC_ASSERT(!decompress(Bytes, Text.size()).has_value());
        decompress(ArbitraryBytes, 100); // Must not crash.
      }));
}

BOOST_AUTO_TEST_CASE(repetitive_text_shrinks_to_less_than_a_sixth) {
  std::string Text;
  for (int Index = 0; Index < 1000; ++Index)
    Text += R"({"name":"r-)" + std::to_string(Index) +
            R"(","path_prefix":"/a/","kind":"safe","timeout":"2500ms"},)";
  BOOST_TEST(compress(Text).size() * 6 < Text.size());
}

BOOST_AUTO_TEST_SUITE_END()
