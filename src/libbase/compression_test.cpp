#include "burdockpulley/compression.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace burdockpulley;

BOOST_AUTO_TEST_SUITE(compression)

BOOST_AUTO_TEST_CASE(any_text_comes_back_and_bad_bytes_do_not) {
  BOOST_TEST(rc::check([](const std::string &Text, const std::string &Bad) {
    RC_ASSERT(decompress(compress(Text), Text.size()) == Text);
    if (!Text.empty())
      RC_ASSERT(!decompress(compress(Text), Text.size() - 1).has_value());
    std::string Bytes = compress(Text);
    Bytes.pop_back();
    RC_ASSERT(!decompress(Bytes, Text.size()).has_value());
    decompress(Bad, 100); // Whatever it is, nothing breaks.
  }));
}

BOOST_AUTO_TEST_CASE(text_that_repeats_itself_gets_much_smaller) {
  std::string Text;
  for (int Count = 0; Count < 1000; ++Count)
    Text += R"({"name":"r-)" + std::to_string(Count) +
            R"(","path_prefix":"/a/","kind":"safe","timeout":"2500ms"},)";
  BOOST_TEST(compress(Text).size() * 6 < Text.size());
}

BOOST_AUTO_TEST_SUITE_END()
