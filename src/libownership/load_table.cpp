#include "burdockpulley/placement.h"

namespace burdockpulley {

namespace {
constexpr double IdleRequestsPerSecond = 0.01;
} // namespace

void LoadTable::report(const ServiceId &Service, const UpstreamId &Upstream,
                       UpstreamLoad Load) {
  m_reports[Service][Upstream] = std::move(Load);
}

std::vector<double> LoadTable::loads(const ServiceId &Service,
                                     std::span<const PartitionRow> Rows) const {
  std::vector<double> Loads(Rows.size(), IdleRequestsPerSecond);
  auto Reports = m_reports.find(Service);
  if (Reports == m_reports.end())
    return Loads;
  std::map<UpstreamId, std::uint32_t> Owned;
  for (const PartitionRow &Row : Rows)
    ++Owned[Row.m_owner];
  std::map<UpstreamId, double> Shares;
  std::vector<bool> Known(Rows.size());
  for (const auto &[Upstream, Report] : Reports->second) {
    double Rest = Report.m_requestsPerSecond;
    std::uint32_t Others = Owned[Upstream];
    for (const PartitionLoad &Busy : Report.m_busiest) {
      std::uint32_t Index = Busy.m_partition.value();
      // A partition that has moved since keeps its load at its new owner.
      if (Index >= Rows.size() || Known[Index])
        continue;
      Known[Index] = true;
      Loads[Index] += Busy.m_requestsPerSecond;
      Rest -= Busy.m_requestsPerSecond;
      if (Rows[Index].m_owner == Upstream && Others > 0)
        --Others;
    }
    Shares[Upstream] = Others > 0 && Rest > 0 ? Rest / Others : 0;
  }
  for (std::size_t I = 0; I < Rows.size(); ++I)
    if (!Known[I])
      Loads[I] += Shares[Rows[I].m_owner];
  return Loads;
}

} // namespace burdockpulley
