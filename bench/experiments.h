#ifndef BURDOCKPULLEY_BENCH_EXPERIMENTS_H
#define BURDOCKPULLEY_BENCH_EXPERIMENTS_H

#include "report.h"

#include "burdockpulley/types.h"

#include <string>
#include <vector>

namespace burdockpulley::bench {

/// What the command line asks of an experiment.
struct BenchOptions {
  Duration m_length{}; ///< Of each measured phase.
  double m_rate = 0;   ///< Requests a second; 0 takes the default.
  std::uint64_t m_seed = 1;
  std::vector<int> m_hosts; ///< Sizes of the experiment "control".
  std::string m_plot;       ///< Prefix of timeline files; empty for none.
};

/// An experiment starts its own processes and fills a report.
using Experiment = Report (*)(const BenchOptions &);

Report runFloor(const BenchOptions &Options);
Report runRouted(const BenchOptions &Options);
Report runLookup(const BenchOptions &Options);
Report runDeclarations(const BenchOptions &Options);
Report runControl(const BenchOptions &Options);
Report runGrants(const BenchOptions &Options);
Report runMembership(const BenchOptions &Options);
Report runConnections(const BenchOptions &Options);
Report runUpstreamKill(const BenchOptions &Options);
Report runHostKill(const BenchOptions &Options);
Report runDomainOut(const BenchOptions &Options);
Report runStoreDown(const BenchOptions &Options);
Report runSlow(const BenchOptions &Options);

/// Serves HTTP with bare evhttp until it is killed; the other end of "floor".
int serveBare(const std::string &PortFile);

} // namespace burdockpulley::bench

#endif
