// Taking upstreams and failure domains out, and bringing them back.
#include "command_runner.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace burdockpulley;

namespace {

const std::string Censo = BURDOCKPULLEY_SOURCE_DIR "/examples/censo";

} // namespace

BOOST_AUTO_TEST_CASE(orders_stay_until_they_are_taken_back) {
  Deployment System;
  System.startStore();
  CommandRunner Commands(System);
  Commands.run({"publish", Censo});
  BOOST_TEST(Commands.run({"drain", "herd-03"}).says("revision 2"));
  CommandResult Again = Commands.run({"drain", "herd-03"});
  BOOST_TEST(Again.m_exitCode == 0);
  BOOST_TEST(Again.says("already so in revision 2"));
  BOOST_TEST(Commands.run({"publish", Censo}).m_exitCode == 0);
  BOOST_TEST(Commands.run({"get", "Maintenance/upstream-herd-03"}).m_exitCode ==
             0);
  BOOST_TEST(Commands.run({"undrain", "herd-03"}).m_exitCode == 0);
  BOOST_TEST(Commands.run({"get", "Maintenance"}).m_exitCode == 6);
  BOOST_TEST(Commands.run({"drain", "herd-99"}).m_exitCode == 6);
}

BOOST_AUTO_TEST_CASE(the_last_failure_domain_stays_in) {
  Deployment System;
  System.startStore();
  CommandRunner Commands(System);
  Commands.run({"publish", Censo});
  BOOST_TEST(Commands.run({"domain", "out", "talca"}).m_exitCode == 0);
  BOOST_TEST(Commands.run({"domain", "out", "curico"}).m_exitCode == 0);
  CommandResult Last = Commands.run({"domain", "out", "rancagua"});
  BOOST_TEST(Last.m_exitCode == 1);
  BOOST_TEST(Last.says("last failure domain"));
  BOOST_TEST(Commands.run({"domain", "in", "talca"}).m_exitCode == 0);
  BOOST_TEST(Commands.run({"domain", "away", "talca"}).m_exitCode == 2);
}

BOOST_AUTO_TEST_CASE(small_edits_at_the_same_time_all_come_about) {
  Deployment System;
  System.startStore();
  CommandRunner Commands(System);
  Commands.run({"publish", Censo});
  std::vector<CommandRunner::Running> Edits;
  for (const char *Name : {"herd-01", "herd-02", "herd-03", "herd-04"})
    Edits.push_back(Commands.start({"drain", Name}));
  for (CommandRunner::Running &Edit : Edits)
    BOOST_TEST(CommandRunner::finish(Edit).m_exitCode == 0);
  CommandResult Orders =
      Commands.run({"get", "Maintenance", "--output", "json"});
  auto Object = nlohmann::json::parse(Orders.m_output);
  BOOST_TEST(Object["objects"].size() == 4u);
  BOOST_TEST(Object["revision"] == 5);
}
