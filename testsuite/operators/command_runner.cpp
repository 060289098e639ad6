#include "command_runner.h"

#include <fstream>
#include <sstream>

namespace burdockpulley {

CommandResult CommandRunner::run(std::vector<std::string> Words) {
  Running Command = start(std::move(Words));
  return finish(Command);
}

CommandRunner::Running CommandRunner::start(std::vector<std::string> Words) {
  if (m_system.m_storeAddress.m_port != 0) {
    Words.push_back("--platform");
    Words.push_back(toString(m_system.m_storeAddress));
  }
  Running Command;
  Command.m_log =
      m_system.m_folder + "/command-" + std::to_string(m_runs++) + ".out";
  Command.m_process = std::make_unique<ChildProcess>(
      "burdockpulley", std::move(Words), Command.m_log);
  return Command;
}

CommandResult CommandRunner::finish(Running &Command) {
  CommandResult Result;
  Result.m_exitCode = Command.m_process->wait();
  std::ostringstream Text;
  Text << std::ifstream(Command.m_log).rdbuf();
  Result.m_output = Text.str();
  return Result;
}

std::string CommandRunner::write(const std::string &Name,
                                 const std::string &Text) {
  std::string Path = m_system.m_folder + "/" + Name;
  std::ofstream(Path) << Text;
  return Path;
}

} // namespace burdockpulley
