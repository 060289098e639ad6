#include "burdockpulley/load_meter.h"

#include <algorithm>
#include <cmath>

namespace burdockpulley {

namespace {

/// A partition whose rate falls below this is no longer tracked.
constexpr double MinTrackedRequestsPerSecond = 0.001;

double toSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

bool hasHigherLoad(const PartitionLoad &Left, const PartitionLoad &Right) {
  return Left.m_requestsPerSecond > Right.m_requestsPerSecond;
}

} // namespace

UpstreamLoad LoadMeter::summarize(Instant Now) {
  double Elapsed = m_started ? toSeconds(Now - m_lastSummary) : 0;
  m_lastSummary = Now;
  m_started = true;
  UpstreamLoad Load;
  if (Elapsed <= 0)
    return Load;
  double OldWeight = std::exp(-Elapsed / toSeconds(m_timeConstant));
  for (auto &[Partition, Rate] : m_rates) {
    double CurrentRate = Rate.m_counted / Elapsed;
    Rate.m_requestsPerSecond =
        OldWeight * Rate.m_requestsPerSecond + (1 - OldWeight) * CurrentRate;
    Rate.m_counted = 0;
    Load.m_requestsPerSecond += Rate.m_requestsPerSecond;
    Load.m_busiest.push_back({Partition, Rate.m_requestsPerSecond});
  }
  std::erase_if(m_rates, [](const auto &Entry) {
    return Entry.second.m_requestsPerSecond < MinTrackedRequestsPerSecond;
  });
  std::size_t Reported = std::min(MaxBusiestPartitions, Load.m_busiest.size());
  auto ReportedEnd =
      Load.m_busiest.begin() + static_cast<std::ptrdiff_t>(Reported);
  std::partial_sort(Load.m_busiest.begin(), ReportedEnd, Load.m_busiest.end(),
                    hasHigherLoad);
  Load.m_busiest.erase(ReportedEnd, Load.m_busiest.end());
  return Load;
}

} // namespace burdockpulley
