#ifndef BURDOCKPULLEY_BENCH_LATENCIES_H
#define BURDOCKPULLEY_BENCH_LATENCIES_H

#include "burdockpulley/types.h"

#include <boost/histogram.hpp>

namespace burdockpulley::bench {

namespace detail {
using LogAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using LatencyHistogram =
    decltype(boost::histogram::make_histogram(LogAxis(1, 1.0, 2.0)));
} // namespace detail

/// Latencies in bins of equal ratio, from 10 us to 100 s, 1% wide.
/// Thread safety: none.
class Latencies {
public:
  void add(Duration Latency);

  /// The latency that this share of all did not exceed, in milliseconds; 0
  /// when there are none.
  /// Precondition: \p Share is between 0 and 1.
  double percentileMillis(double Share) const;

private:
  static constexpr unsigned Bins = 1620;
  static constexpr double MinMicros = 10;
  static constexpr double MaxMicros = 100e6;

  detail::LatencyHistogram m_histogram = boost::histogram::make_histogram(
      detail::LogAxis(Bins, MinMicros, MaxMicros));
  std::uint64_t m_count = 0;
};

} // namespace burdockpulley::bench

#endif
