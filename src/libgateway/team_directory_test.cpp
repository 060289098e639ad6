#include "burdockpulley/team_directory.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace burdockpulley;

namespace {

TeamPolicy team(const char *Name, double Rate = 10, double Burst = 5) {
  TeamPolicy Team;
  Team.m_name = TeamId(Name);
  Team.m_requestRate = Rate;
  Team.m_burst = Burst;
  return Team;
}

} // namespace

BOOST_AUTO_TEST_CASE(teams_are_found_by_key_and_by_name) {
  TeamDirectory Teams;
  BOOST_TEST(Teams.empty());
  BOOST_TEST(!Teams.add(team("a"), {"key-1", "key-2"}));
  BOOST_TEST(!Teams.add(team("b"), {}));
  BOOST_TEST(!Teams.empty());
  for (const char *Key : {"key-1", "key-2"}) {
    BOOST_REQUIRE(Teams.findByKey(Key));
    BOOST_TEST(Teams.findByKey(Key)->m_name.value() == "a");
  }
  BOOST_TEST(!Teams.findByKey("key-3"));
  BOOST_TEST(!Teams.findByKey(""));
  BOOST_TEST(Teams.findByName(TeamId("b")));
  BOOST_TEST(!Teams.findByName(TeamId("key-1")));
}

// A fault message goes to the log, which must not show a key.
BOOST_AUTO_TEST_CASE(a_fault_names_the_team_and_not_the_key) {
  const std::string Secret = "secret-1";
  const std::pair<TeamPolicy, std::vector<std::string>> Faulty[] = {
      {team("b"), {Secret}}, // Shared with team "a".
      {team("b"), {Secret + "\n"}},
      {team("b"), {""}},
      {team("b", -1), {}},
      {team("b", 1e9 + 1), {}},
      {team("b", std::numeric_limits<double>::quiet_NaN()), {}},
      {team("b", 1, -0.5), {}},
      {team("b", 1, std::numeric_limits<double>::infinity()), {}}};
  for (const auto &[Team, Keys] : Faulty) {
    TeamDirectory Teams;
    BOOST_TEST(!Teams.add(team("a"), {Secret}));
    auto Problem = Teams.add(Team, Keys);
    BOOST_REQUIRE(Problem.has_value());
    BOOST_TEST(Problem->find('b') != std::string::npos);
    BOOST_TEST(Problem->find("secret") == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(names_are_unique_and_printable) {
  TeamDirectory Teams;
  BOOST_TEST(!Teams.add(team("a"), {}));
  for (const char *Name : {"a", "", "x\ny"})
    BOOST_TEST(Teams.add(team(Name), {}).has_value());
}

BOOST_AUTO_TEST_CASE(only_the_bearer_scheme_has_an_api_key) {
  BOOST_TEST(apiKeyOf("Bearer k1") == "k1");
  BOOST_TEST(apiKeyOf("bearer  k1 ") == "k1");
  for (const char *Header :
       {"", "Bearer", "Bearer ", "Bearer  ", "Basic k1", "Bearerk1"})
    BOOST_TEST(apiKeyOf(Header).empty());
}
