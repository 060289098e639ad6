// Gives every test program its main().
#define BOOST_TEST_MODULE burdockpulley
#include <boost/test/unit_test.hpp>
