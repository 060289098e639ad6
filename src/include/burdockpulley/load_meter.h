#ifndef BURDOCKPULLEY_LOAD_METER_H
#define BURDOCKPULLEY_LOAD_METER_H

#include "burdockpulley/placement.h"

#include <unordered_map>

namespace burdockpulley {

/// Partitions that a report names one by one.
constexpr std::size_t BusiestPartitions = 32;

/// Measures the load of the partitions of one upstream, at its keeper.
///
/// Rates are exponentially weighted: a change of load shows by two thirds
/// after the time constant.
/// Thread safety: none.
class LoadMeter {
public:
  /// Precondition: \p TimeConstant is positive.
  explicit LoadMeter(Duration TimeConstant) : m_timeConstant(TimeConstant) {}

  /// Counts one request for a partition.
  void count(PartitionIndex Partition) { ++m_rows[Partition].m_counted; }

  /// Folds what has been counted since the last call into the rates, and
  /// returns them.
  UpstreamLoad summarize(Instant Now);

private:
  struct RateRow {
    std::uint32_t m_counted = 0;
    double m_requestsPerSecond = 0;
  };

  Duration m_timeConstant;
  std::unordered_map<PartitionIndex, RateRow> m_rows;
  Instant m_last{};
  bool m_started = false;
};

} // namespace burdockpulley

#endif
