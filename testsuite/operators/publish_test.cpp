// Publishing, races, rollback and history on a real store stand-in.
#include "command_runner.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <set>

using namespace burdockpulley;

namespace {

const std::string Censo = BURDOCKPULLEY_SOURCE_DIR "/examples/censo";
const std::string Hollister = BURDOCKPULLEY_SOURCE_DIR "/examples/hollister";

nlohmann::json json(const CommandResult &Result) {
  return nlohmann::json::parse(Result.m_output);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_set_goes_into_force_and_comes_back_as_it_was) {
  Deployment System;
  System.startStore();
  CommandRunner Commands(System);
  BOOST_TEST(Commands.run({"diff", Censo}).m_exitCode == 7);
  CommandResult First = Commands.run({"publish", Censo, "--author", "rosa"});
  BOOST_TEST(First.m_exitCode == 0);
  BOOST_TEST(First.says("+ Upstream/herd-01"));
  BOOST_TEST(First.says("accepted as revision 1"));
  BOOST_TEST(Commands.run({"diff", Censo}).m_exitCode == 0);
  CommandResult All = Commands.run({"get"});
  std::string Copy = Commands.write("copy.yaml", All.m_output);
  BOOST_TEST(Commands.run({"diff", Copy}).m_exitCode == 0);
  CommandResult One =
      Commands.run({"get", "Upstream/fee-07", "--output", "json"});
  BOOST_TEST(json(One)["objects"][0]["slots"] == 4);
  BOOST_TEST(Commands.run({"get", "Upstream/fee-08"}).m_exitCode == 6);
}

BOOST_AUTO_TEST_CASE(of_two_publishers_who_race_one_wins_whole) {
  Deployment System;
  System.startStore();
  CommandRunner Commands(System);
  BOOST_REQUIRE(Commands.run({"publish", Censo}).m_exitCode == 0);
  auto Censos = Commands.start({"publish", Censo, "--base", "1"});
  auto Hollisters = Commands.start({"publish", Hollister, "--base", "1"});
  CommandResult Left = CommandRunner::finish(Censos);
  CommandResult Right = CommandRunner::finish(Hollisters);
  std::multiset<int> Codes{Left.m_exitCode, Right.m_exitCode};
  BOOST_TEST((Codes == std::multiset<int>{0, 3}));
  const CommandResult &Loser = Left.m_exitCode == 3 ? Left : Right;
  BOOST_TEST(Loser.says("nothing of yours is in force"));
  const std::string &Winner = Left.m_exitCode == 0 ? Censo : Hollister;
  BOOST_TEST(Commands.run({"diff", Winner}).m_exitCode == 0);
  BOOST_TEST(json(Commands.run({"history", "--output", "json"})).size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_conflict_says_what_has_changed_meanwhile) {
  Deployment System;
  System.startStore();
  CommandRunner Commands(System);
  Commands.run({"publish", Censo});
  Commands.run({"drain", "herd-03", "--author", "rosa"});
  CommandResult Late = Commands.run({"publish", Censo, "--base", "1"});
  BOOST_TEST(Late.m_exitCode == 3);
  BOOST_TEST(Late.says("by rosa"));
  BOOST_TEST(Late.says("+ Maintenance/upstream-herd-03"));
}

BOOST_AUTO_TEST_CASE(a_rollback_is_a_new_revision_with_the_old_set) {
  Deployment System;
  System.startStore();
  CommandRunner Commands(System);
  Commands.run({"publish", Censo});
  Commands.run({"publish", Hollister});
  CommandResult Back = Commands.run({"rollback", "1"});
  BOOST_TEST(Back.m_exitCode == 0);
  BOOST_TEST(Back.says("accepted as revision 3"));
  auto History = json(Commands.run({"history", "--output", "json"}));
  BOOST_REQUIRE(History.size() == 3u);
  BOOST_TEST(History[0]["sha256"] == History[2]["sha256"]);
  BOOST_TEST(History[0]["publication"] != History[2]["publication"]);
  BOOST_TEST(Commands.run({"rollback", "9"}).m_exitCode == 6);
}

BOOST_AUTO_TEST_CASE(a_change_that_reshuffles_keys_needs_force) {
  Deployment System;
  System.startStore();
  CommandRunner Commands(System);
  Commands.run({"publish", Censo});
  std::string Text = Commands.run({"get"}).m_output;
  std::size_t At = Text.find("partitions: 1024");
  BOOST_REQUIRE(At != Text.npos);
  Text.replace(At, 16, "partitions: 2048");
  std::string Changed = Commands.write("changed.yaml", Text);
  for (const char *Command : {"diff", "publish"}) {
    CommandResult Refused = Commands.run({Command, Changed});
    BOOST_TEST(Refused.m_exitCode == 1);
    BOOST_TEST(Refused.says("Service/herd-lookup.partitions"));
  }
  BOOST_TEST(Commands.run({"publish", Changed, "--force"}).m_exitCode == 0);
}

BOOST_AUTO_TEST_CASE(a_store_that_is_down_is_told_as_nothing_changed) {
  Deployment System;
  System.startStore();
  CommandRunner Commands(System);
  System.m_store.reset();
  CommandResult Result = Commands.run({"publish", Censo});
  BOOST_TEST(Result.m_exitCode == 4);
}
