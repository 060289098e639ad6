// The commands in docs/OPERATIONS.md end as the page says.
#include "command_runner.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace burdockpulley;

namespace {

const std::string Source = BURDOCKPULLEY_SOURCE_DIR;
const std::string Prompt = "    $ burdockpulley ";
const std::string ExitMark = "# exit ";

} // namespace

BOOST_AUTO_TEST_CASE(the_commands_of_the_operations_page_work) {
  Deployment System;
  System.startStore();
  CommandRunner Commands(System);
  std::ifstream Page(Source + "/docs/OPERATIONS.md");
  int Ran = 0;
  for (std::string Line; std::getline(Page, Line);) {
    if (!Line.starts_with(Prompt))
      continue;
    std::size_t Mark = Line.find(ExitMark);
    int Expected =
        Mark == Line.npos ? 0 : std::stoi(Line.substr(Mark + ExitMark.size()));
    std::istringstream Text(
        Line.substr(0, Mark).substr(Prompt.size(), Line.npos));
    std::vector<std::string> Words;
    for (std::string Word; Text >> Word;)
      Words.push_back(Word.starts_with("examples/") ? Source + "/" + Word
                                                    : Word);
    CommandResult Result = Commands.run(Words);
    BOOST_TEST(Result.m_exitCode == Expected, Line << "\n" << Result.m_output);
    ++Ran;
  }
  BOOST_TEST(Ran >= 15);
}
