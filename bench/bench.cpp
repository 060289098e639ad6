// Load and measurement tool: runs named experiments against real processes.
#include "experiments.h"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdio>
#include <fstream>

using namespace burdockpulley;
using namespace burdockpulley::bench;

namespace {

struct NamedExperiment {
  const char *m_name;
  Experiment m_run;
};

constexpr NamedExperiment Experiments[] = {
    {"floor", runFloor},
    {"routed", runRouted},
    {"lookup", runLookup},
    {"declarations", runDeclarations},
    {"control", runControl},
    {"grants", runGrants},
    {"membership", runMembership},
    {"connections", runConnections},
    {"upstream-kill", runUpstreamKill},
    {"host-kill", runHostKill},
    {"domain-out", runDomainOut},
    {"store-down", runStoreDown},
    {"slow", runSlow},
};

cxxopts::Options describeFlags() {
  cxxopts::Options Flags("burdockpulley-bench",
                         "Runs experiments against real processes on "
                         "loopback; without names, all of them.");
  Flags.add_options()("experiment", "names of experiments",
                      cxxopts::value<std::vector<std::string>>())(
      "seconds", "length of each measured phase",
      cxxopts::value<double>()->default_value("4"))(
      "rate", "requests a second; 0 takes the experiment's own",
      cxxopts::value<double>()->default_value("0"))(
      "hosts", "numbers of hosts of the experiment control",
      cxxopts::value<std::vector<int>>()->default_value("3,6,12"))(
      "seed", "seed of arrival times and keys",
      cxxopts::value<std::uint64_t>()->default_value("20261204"))(
      "json", "file that gets the results",
      cxxopts::value<std::string>()->default_value(""))(
      "plot", "prefix of the files of timelines (data, gnuplot script, SVG)",
      cxxopts::value<std::string>()->default_value(""))(
      "serve-bare", "serve bare HTTP; this file gets the port",
      cxxopts::value<std::string>())("help", "print this and end");
  Flags.parse_positional("experiment");
  Flags.positional_help("[EXPERIMENT...]");
  return Flags;
}

BenchOptions readOptions(const cxxopts::ParseResult &Given) {
  BenchOptions Options;
  Options.m_length =
      Duration(static_cast<std::int64_t>(Given["seconds"].as<double>() * 1e6));
  Options.m_rate = Given["rate"].as<double>();
  Options.m_seed = Given["seed"].as<std::uint64_t>();
  Options.m_hosts = Given["hosts"].as<std::vector<int>>();
  Options.m_plot = Given["plot"].as<std::string>();
  return Options;
}

std::vector<NamedExperiment> chosen(const cxxopts::ParseResult &Given) {
  std::vector<NamedExperiment> Chosen;
  if (!Given.count("experiment")) {
    Chosen.assign(std::begin(Experiments), std::end(Experiments));
    return Chosen;
  }
  for (const auto &Name : Given["experiment"].as<std::vector<std::string>>()) {
    const auto *Found =
        std::find_if(std::begin(Experiments), std::end(Experiments),
                     [&](const auto &Each) { return Name == Each.m_name; });
    if (Found == std::end(Experiments))
      throw std::invalid_argument("no experiment " + Name);
    Chosen.push_back(*Found);
  }
  return Chosen;
}

void runAll(const cxxopts::ParseResult &Given) {
  BenchOptions Options = readOptions(Given);
  nlohmann::ordered_json Results;
  for (const NamedExperiment &Each : chosen(Given)) {
    Report Found = Each.m_run(Options);
    Found.print();
    Results[Each.m_name] = Found.toJson();
  }
  std::string File = Given["json"].as<std::string>();
  if (!File.empty())
    std::ofstream(File) << Results.dump(2) << "\n";
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options Flags = describeFlags();
  try {
    cxxopts::ParseResult Given = Flags.parse(Count, Arguments);
    if (Given.count("help")) {
      std::printf("%s\n", Flags.help().c_str());
      return 0;
    }
    if (Given.count("serve-bare"))
      return serveBare(Given["serve-bare"].as<std::string>());
    runAll(Given);
  } catch (const std::exception &Problem) {
    std::fprintf(stderr, "%s\n", Problem.what());
    return 1;
  }
  return 0;
}
