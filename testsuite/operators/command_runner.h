#ifndef BURDOCKPULLEY_TESTSUITE_COMMAND_RUNNER_H
#define BURDOCKPULLEY_TESTSUITE_COMMAND_RUNNER_H

#include "burdockpulley/testkit.h"

#include <memory>
#include <string>
#include <vector>

namespace burdockpulley {

/// What a run of the command line has brought.
struct CommandResult {
  int m_exitCode = 0;
  std::string m_output; ///< Standard output and standard error.

  bool says(const std::string &Part) const {
    return m_output.find(Part) != std::string::npos;
  }
};

/// Runs `burdockpulley` as its own process against a deployment's store.
/// Thread safety: none.
class CommandRunner {
public:
  /// Precondition: \p System outlives the runner.
  explicit CommandRunner(const Deployment &System) : m_system(System) {}

  CommandResult run(std::vector<std::string> Words);

  /// Starts a command; finish() waits for it.
  struct Running {
    std::unique_ptr<ChildProcess> m_process;
    std::string m_log;
  };
  Running start(std::vector<std::string> Words);
  static CommandResult finish(Running &Command);

  /// Writes a file of the test's folder and returns its path.
  std::string write(const std::string &Name, const std::string &Text);

private:
  const Deployment &m_system;
  int m_runs = 0;
};

} // namespace burdockpulley

#endif
