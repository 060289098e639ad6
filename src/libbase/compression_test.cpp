#include "burdockpulley/compression.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <random>

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

BOOST_AUTO_TEST_CASE(a_difference_restores_the_text_with_its_base_only) {
  BOOST_TEST(rc::check([](const std::string &Base, const std::string &Text,
                          const std::string &ArbitraryBytes) {
    std::string Bytes = compressDifference(Base, Text);
    RC_ASSERT(restoreDifference(Base, Bytes, Text.size()) == Text);
    if (!Text.empty())
      RC_ASSERT(!restoreDifference(Base, Bytes, Text.size() - 1).has_value());
    Bytes.pop_back();
    RC_ASSERT(!restoreDifference(Base, Bytes, Text.size()).has_value());
    restoreDifference(Base, ArbitraryBytes, 100); // Must not crash.
  }));
}

BOOST_AUTO_TEST_CASE(a_difference_of_large_texts_is_small) {
  std::string Text;
  std::mt19937 Random(5);
  for (int Index = 0; Index < 50'000; ++Index)
    Text += "{" + std::to_string(Random()) + "}";
  std::string Changed = "new" + Text;
  Changed.erase(Changed.size() / 2, 100);
  std::string Bytes = compressDifference(Text, Changed);
  BOOST_TEST(Bytes.size() < 2000u);
  BOOST_TEST((restoreDifference(Text, Bytes, Changed.size()) == Changed));
  BOOST_TEST(!restoreDifference(Changed, Bytes, Changed.size()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
