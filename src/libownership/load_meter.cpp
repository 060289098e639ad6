#include "burdockpulley/load_meter.h"

#include <algorithm>
#include <cmath>

namespace burdockpulley {

namespace {

constexpr double ForgottenRequestsPerSecond = 0.001;

double seconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

bool busier(const PartitionLoad &Left, const PartitionLoad &Right) {
  return Left.m_requestsPerSecond > Right.m_requestsPerSecond;
}

} // namespace

UpstreamLoad LoadMeter::summarize(Instant Now) {
  double Elapsed = m_started ? seconds(Now - m_last) : 0;
  m_last = Now;
  m_started = true;
  UpstreamLoad Load;
  if (Elapsed <= 0)
    return Load;
  double Keep = std::exp(-Elapsed / seconds(m_timeConstant));
  for (auto &[Partition, Row] : m_rows) {
    double Fresh = Row.m_counted / Elapsed;
    Row.m_requestsPerSecond =
        Keep * Row.m_requestsPerSecond + (1 - Keep) * Fresh;
    Row.m_counted = 0;
    Load.m_requestsPerSecond += Row.m_requestsPerSecond;
    Load.m_busiest.push_back({Partition, Row.m_requestsPerSecond});
  }
  std::erase_if(m_rows, [](const auto &Entry) {
    return Entry.second.m_requestsPerSecond < ForgottenRequestsPerSecond;
  });
  std::size_t Kept = std::min(BusiestPartitions, Load.m_busiest.size());
  auto Cut = Load.m_busiest.begin() + static_cast<std::ptrdiff_t>(Kept);
  std::partial_sort(Load.m_busiest.begin(), Cut, Load.m_busiest.end(), busier);
  Load.m_busiest.erase(Cut, Load.m_busiest.end());
  return Load;
}

} // namespace burdockpulley
