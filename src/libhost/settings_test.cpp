#include "burdockpulley/settings.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace burdockpulley;

namespace {

SettingsOutcome read(std::vector<std::string> Words) {
  std::vector<char *> Arguments;
  for (std::string &Word : Words)
    Arguments.push_back(Word.data());
  return readSettings(static_cast<int>(Arguments.size()), Arguments.data());
}

} // namespace

BOOST_AUTO_TEST_CASE(all_faults_of_the_settings_are_reported_at_once) {
  SettingsOutcome Outcome =
      read({"burdockpulleyd", "--host", "a", "--listen", "somewhere"});
  BOOST_TEST(Outcome.m_faults.size() == 4u);
}

BOOST_AUTO_TEST_CASE(a_flag_goes_before_its_environment_variable) {
  setenv("BURDOCKPULLEY_HOST", "from-environment", 1);
  setenv("BURDOCKPULLEY_FAILURE_DOMAIN", "talca", 1);
  SettingsOutcome Outcome = read({"burdockpulleyd", "--host", "from-flag"});
  unsetenv("BURDOCKPULLEY_HOST");
  unsetenv("BURDOCKPULLEY_FAILURE_DOMAIN");
  BOOST_TEST(Outcome.m_settings.m_host.value() == "from-flag");
  BOOST_TEST(Outcome.m_settings.m_domain.value() == "talca");
}
