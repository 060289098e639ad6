#ifndef BURDOCKPULLEY_BENCH_TIMELINE_H
#define BURDOCKPULLEY_BENCH_TIMELINE_H

#include "load.h"

namespace burdockpulley::bench {

/// Writes PREFIX.dat and PREFIX.gnuplot and draws PREFIX.svg with gnuplot:
/// answered and failed requests over time, and the slowest of each moment.
/// False when the drawing fails.
/// Thread safety: safe for different prefixes.
bool plotTimeline(const std::string &Prefix, const std::string &Title,
                  const LoadResult &Result);

} // namespace burdockpulley::bench

#endif
