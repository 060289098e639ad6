// `burdockpulley check` on the examples and on a set in which much is wrong.
#include "command_runner.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

using namespace burdockpulley;

namespace {

const std::string Source = BURDOCKPULLEY_SOURCE_DIR;

std::string readFile(const std::string &Path) {
  std::ostringstream Text;
  Text << std::ifstream(Path).rdbuf();
  return Text.str();
}

std::string withoutFolder(std::string Text, const std::string &Folder) {
  for (std::size_t At = 0; (At = Text.find(Folder, At)) != Text.npos;)
    Text.erase(At, Folder.size());
  return Text;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_examples_are_clean_and_of_their_real_size) {
  Deployment System;
  CommandRunner Commands(System);
  struct {
    const char *m_name;
    int m_domains, m_hosts, m_upstreams;
  } Rows[] = {{"censo", 3, 12, 33}, {"hollister", 4, 12, 38}};
  for (const auto &Row : Rows) {
    CommandResult Result = Commands.run(
        {"check", Source + "/examples/" + Row.m_name, "--output", "json"});
    BOOST_REQUIRE(Result.m_exitCode == 0);
    auto Counts = nlohmann::json::parse(Result.m_output);
    BOOST_TEST(Counts["failureDomains"] == Row.m_domains);
    BOOST_TEST(Counts["hosts"] == Row.m_hosts);
    BOOST_TEST(Counts["upstreams"] == Row.m_upstreams);
  }
}

BOOST_AUTO_TEST_CASE(every_fault_of_a_broken_set_is_named) {
  Deployment System;
  CommandRunner Commands(System);
  std::string Folder = Source + "/testsuite/operators/broken/";
  CommandResult Result = Commands.run({"check", Folder});
  BOOST_TEST(Result.m_exitCode == 1);
  BOOST_TEST(withoutFolder(Result.m_output, Folder) ==
             readFile(Source + "/testsuite/operators/broken.expected"));
  auto Faults = nlohmann::json::parse(
      Commands.run({"check", Folder, "--output", "json"}).m_output);
  BOOST_TEST(Faults["faults"].size() == 26u);
}

BOOST_AUTO_TEST_CASE(a_wrong_command_line_is_told_by_the_exit_code) {
  Deployment System;
  CommandRunner Commands(System);
  for (const std::vector<std::string> &Words :
       {std::vector<std::string>{},
        {"chekc", "x"},
        {"check"},
        {"history"},
        {"check", "x", "--output", "xml"},
        {"check", "x", "--colour"}})
    BOOST_TEST(Commands.run(Words).m_exitCode == 2);
  BOOST_TEST(Commands.run({"check", "/nowhere"}).m_exitCode == 1);
  BOOST_TEST(Commands.run({"publish", "--help"}).says("compare-and-swap"));
}
