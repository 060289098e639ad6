#ifndef BURDOCKPULLEY_LOAD_METER_H
#define BURDOCKPULLEY_LOAD_METER_H

#include "burdockpulley/placement.h"

#include <unordered_map>

namespace burdockpulley {

/// Largest number of partitions whose load a report lists individually.
constexpr std::size_t MaxBusiestPartitions = 32;

/// Measures the request rates of the partitions of one upstream, on the
/// upstream's keeper.
///
/// Rates are exponentially weighted averages: after one time constant they
/// reflect two thirds of a change in load.
/// Thread safety: none.
class LoadMeter {
public:
  /// Precondition: \p TimeConstant is positive.
  explicit LoadMeter(Duration TimeConstant) : m_timeConstant(TimeConstant) {}

  /// Counts one request for a partition.
  void count(PartitionIndex Partition) { ++m_rates[Partition].m_counted; }

  /// Updates the rates with the requests counted since the last call and
  /// returns them. The first call only sets the start of the measurement and
  /// returns an empty load.
  UpstreamLoad summarize(Instant Now);

private:
  struct RequestRate {
    std::uint32_t m_counted = 0; ///< Requests since the last summary.
    double m_requestsPerSecond = 0;
  };

  Duration m_timeConstant;
  std::unordered_map<PartitionIndex, RequestRate> m_rates;
  Instant m_lastSummary{};
  bool m_started = false;
};

} // namespace burdockpulley

#endif
