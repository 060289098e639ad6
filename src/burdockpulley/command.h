#ifndef BURDOCKPULLEY_COMMAND_H
#define BURDOCKPULLEY_COMMAND_H

#include "burdockpulley/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockpulley {

/// How a command ended; the value is the exit code of the process.
enum class ExitCode {
  Good = 0,
  Faulty = 1,    ///< The declarations are faulty or refused.
  Usage = 2,     ///< The command line is wrong.
  Conflict = 3,  ///< Someone else published meanwhile; nothing was changed.
  NoStore = 4,   ///< The store, or the host that explain asks, was not
                 ///< reached; nothing was changed.
  Unsettled = 5, ///< The outcome is not known.
  NotFound = 6,  ///< There is no such object, revision or key.
  Different = 7, ///< diff has found differences.
  Degraded = 8,  ///< status has found a host that is missing or behind.
};

/// The request that explain asks about.
struct ExplainOptions {
  std::string m_host; ///< Metrics address of the host that is asked.
  std::optional<std::string> m_team;
  std::optional<std::uint32_t> m_key;
  std::optional<std::string> m_method;
  std::optional<std::uint32_t> m_deadlineMillis;
};

/// What an operator has asked for.
struct CommandLine {
  std::vector<std::string> m_arguments; ///< After the command's name.
  Endpoint m_platform;
  Duration m_storeTimeout{};
  std::string m_author;
  bool m_json = false;
  bool m_force = false;
  std::optional<Revision> m_base;
  ExplainOptions m_explain;
};

/// One command of the command line.
struct Command {
  const char *m_name;
  const char *m_arguments; ///< As they stand in the help.
  const char *m_summary;
  const char *m_details;
  std::size_t m_argumentCount;
  bool m_optionalArgument; ///< The last argument may be left out.
  bool m_needsStore;
  ExitCode (*m_run)(const CommandLine &);
};

ExitCode runCheck(const CommandLine &Line);
ExitCode runDiff(const CommandLine &Line);
ExitCode runPublish(const CommandLine &Line);
ExitCode runGet(const CommandLine &Line);
ExitCode runDrain(const CommandLine &Line);
ExitCode runUndrain(const CommandLine &Line);
ExitCode runDomain(const CommandLine &Line);
ExitCode runHistory(const CommandLine &Line);
ExitCode runRollback(const CommandLine &Line);
ExitCode runOwner(const CommandLine &Line);
ExitCode runStatus(const CommandLine &Line);
ExitCode runExplain(const CommandLine &Line);

} // namespace burdockpulley

#endif
