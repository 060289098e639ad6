#include "command.h"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>

using namespace burdockpulley;

namespace {

const Command Commands[] = {
    {"check", "PATH", "check declarations, without the store",
     "PATH is a file or a directory of *.yaml files. Every fault is printed "
     "with file,\nline, object, field, what is wrong and what would be right.",
     1, false, false, runCheck},
    {"diff", "PATH", "compare declarations with what is in force",
     "Exit code 0: no difference; 7: differences; 1: faulty, or refused "
     "because keys\nwould change owners all at once (see --force).",
     1, false, true, runDiff},
    {"publish", "PATH", "check declarations and bring them into force",
     "One compare-and-swap: of two operators who race, one gets a conflict "
     "(exit code\n3) that says what changed meanwhile. Maintenance orders in "
     "force are kept unless\nthe files have one for the same target. --base "
     "REVISION publishes only over that\nrevision. A lost answer is settled "
     "before the command ends.",
     1, false, true, runPublish},
    {"get", "[KIND[/NAME]]", "print the objects in force",
     "The text form is YAML that publish reads.", 1, true, true, runGet},
    {"drain", "UPSTREAM", "give an upstream no new work",
     "Publishes a Maintenance order. What is in flight ends by itself.", 1,
     false, true, runDrain},
    {"undrain", "UPSTREAM", "take the order of drain back", "", 1, false, true,
     runUndrain},
    {"domain", "out|in NAME", "take a failure domain out or bring it back",
     "Publishes or removes a Maintenance order. The last failure domain can "
     "not be\ntaken out.",
     2, false, true, runDomain},
    {"history", "", "list the revisions, oldest first", "", 0, false, true,
     runHistory},
    {"rollback", "REVISION", "publish the set of an earlier revision again",
     "It becomes a new, higher revision, maintenance orders included.", 1,
     false, true, runRollback},
    {"owner", "SERVICE KEY", "say which upstream owns a key", "", 2, false,
     true, runOwner},
    {"status", "", "ask every entry host and print one screen",
     "Asks the adminAddress of each declared host. Exit code 8 when one does "
     "not answer,\nis not ready or has another revision than the store.",
     0, false, true, runStatus},
    {"explain", "HOST PATH", "ask an entry host where a request would go now",
     "Asks the metrics address of a host of a registry (--host IP:PORT) about "
     "a "
     "request\nfor PATH of the host name HOST, as a caller would send it. "
     "--team NAME, --key N,\n--method M and --deadline MS say more about the "
     "request. Nothing is sent to an\nupstream, charged or counted. Exit code "
     "6: no such route or team; 4: the host\nwas not reached, or does not "
     "explain.",
     2, false, false, runExplain},
};

constexpr const char *ExitCodeHelp =
    "Exit codes: 0 done, 1 faulty or refused declarations, 2 wrong command "
    "line,\n3 conflict, 4 store or host not reached, 5 outcome not known, 6 "
    "not "
    "found,\n7 diff found differences, 8 status found a host missing or "
    "behind.\nWith 3 and 4 nothing has changed.\n";

std::string environment(const char *Name, const char *Default) {
  const char *Value = std::getenv(Name);
  return Value ? Value : Default;
}

cxxopts::Options describeFlags() {
  cxxopts::Options Options("burdockpulley",
                           "Operators' command line of burdockpulley.");
  Options.add_options()(
      "platform", "address of the platform's store (BURDOCKPULLEY_PLATFORM)",
      cxxopts::value<std::string>(),
      "IP:PORT")("store-timeout-ms", "time for each call to the store",
                 cxxopts::value<std::uint32_t>()->default_value("5000"), "MS")(
      "output", "text or json",
      cxxopts::value<std::string>()->default_value("text"),
      "FORM")("author", "name in the history (BURDOCKPULLEY_AUTHOR)",
              cxxopts::value<std::string>(),
              "NAME")("base", "publish only over this revision",
                      cxxopts::value<std::uint64_t>(), "REVISION")(
      "force", "publish although keys change owners all at once")(
      "host", "explain: metrics address of the host to ask",
      cxxopts::value<std::string>(), "IP:PORT")(
      "team", "explain: team of the caller", cxxopts::value<std::string>(),
      "NAME")("key", "explain: key of the request, 0 to 65535",
              cxxopts::value<std::uint32_t>(), "N")(
      "method", "explain: method of the request", cxxopts::value<std::string>(),
      "M")("deadline", "explain: time that the caller waits",
           cxxopts::value<std::uint32_t>(),
           "MS")("help", "print this, or what a command does");
  Options.add_options("hidden")("command", "", cxxopts::value<std::string>())(
      "arguments", "", cxxopts::value<std::vector<std::string>>());
  Options.parse_positional({"command", "arguments"});
  Options.custom_help("COMMAND [OPTION...]");
  Options.positional_help("");
  return Options;
}

void printHelp(const cxxopts::Options &Options) {
  std::fputs(Options.help({""}).c_str(), stdout);
  std::fputs("\nCommands (--help after one says more):\n", stdout);
  for (const Command &Each : Commands) {
    std::string Usage = std::string(Each.m_name) + " " + Each.m_arguments;
    std::printf("  %-20s %s\n", Usage.c_str(), Each.m_summary);
  }
  std::printf("\n%s", ExitCodeHelp);
}

void printHelp(const Command &Which) {
  std::printf("burdockpulley %s %s: %s\n%s%s\n%s", Which.m_name,
              Which.m_arguments, Which.m_summary, Which.m_details,
              *Which.m_details ? "\n" : "", ExitCodeHelp);
}

int usage(const std::string &Problem) {
  std::fprintf(stderr, "burdockpulley: %s; see --help\n", Problem.c_str());
  return static_cast<int>(ExitCode::Usage);
}

const Command *findCommand(const std::string &Name) {
  for (const Command &Each : Commands)
    if (Name == Each.m_name)
      return &Each;
  return nullptr;
}

template <class Value>
std::optional<Value> given(const cxxopts::ParseResult &Flags,
                           const char *Name) {
  return Flags.count(Name) ? std::optional(Flags[Name].as<Value>())
                           : std::nullopt;
}

ExplainOptions readExplainOptions(const cxxopts::ParseResult &Flags) {
  ExplainOptions Options;
  Options.m_host = given<std::string>(Flags, "host").value_or("");
  Options.m_team = given<std::string>(Flags, "team");
  Options.m_key = given<std::uint32_t>(Flags, "key");
  Options.m_method = given<std::string>(Flags, "method");
  Options.m_deadlineMillis = given<std::uint32_t>(Flags, "deadline");
  return Options;
}

CommandLine readLine(const cxxopts::ParseResult &Flags) {
  CommandLine Line;
  if (Flags.count("arguments"))
    Line.m_arguments = Flags["arguments"].as<std::vector<std::string>>();
  Line.m_json = Flags["output"].as<std::string>() == "json";
  Line.m_storeTimeout =
      std::chrono::milliseconds(Flags["store-timeout-ms"].as<std::uint32_t>());
  Line.m_force = Flags.count("force") != 0;
  if (Flags.count("base"))
    Line.m_base = Revision(Flags["base"].as<std::uint64_t>());
  Line.m_author = Flags.count("author")
                      ? Flags["author"].as<std::string>()
                      : environment("BURDOCKPULLEY_AUTHOR", "operator");
  Line.m_explain = readExplainOptions(Flags);
  return Line;
}

int dispatch(const cxxopts::ParseResult &Flags,
             const cxxopts::Options &Options) {
  std::string Name =
      Flags.count("command") ? Flags["command"].as<std::string>() : "";
  const Command *Which = findCommand(Name);
  if (Flags.count("help")) {
    Which ? printHelp(*Which) : printHelp(Options);
    return static_cast<int>(ExitCode::Good);
  }
  if (!Which)
    return usage(Name.empty() ? "no command" : "no command " + Name);
  CommandLine Line = readLine(Flags);
  std::size_t Given = Line.m_arguments.size();
  bool Fits =
      Given == Which->m_argumentCount ||
      (Which->m_optionalArgument && Given + 1 == Which->m_argumentCount);
  if (!Fits)
    return usage(Name + " takes: " + Which->m_arguments);
  std::string Output = Flags["output"].as<std::string>();
  if (Output != "text" && Output != "json")
    return usage("--output is " + Output + "; write text or json");
  std::string Platform = Flags.count("platform")
                             ? Flags["platform"].as<std::string>()
                             : environment("BURDOCKPULLEY_PLATFORM", "");
  if (Which->m_needsStore && !parseEndpoint(Platform, Line.m_platform))
    return usage("--platform is " + (Platform.empty() ? "missing" : Platform) +
                 "; write IP-ADDRESS:PORT");
  return static_cast<int>(Which->m_run(Line));
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options Options = describeFlags();
  try {
    return dispatch(Options.parse(Count, Arguments), Options);
  } catch (const cxxopts::exceptions::exception &Problem) {
    return usage(Problem.what());
  }
}
