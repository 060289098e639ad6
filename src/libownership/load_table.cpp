#include "burdockpulley/placement.h"

#include <string_view>
#include <unordered_map>

namespace burdockpulley {

namespace {
constexpr double IdleRequestsPerSecond = 0.01;

/// What one upstream's partitions outside its busiest ones have each.
struct Share {
  std::uint32_t m_partitions = 0;
  double m_each = 0;
};
} // namespace

void LoadTable::report(const ServiceId &Service, const UpstreamId &Upstream,
                       UpstreamLoad Load) {
  m_reports[Service][Upstream] = std::move(Load);
}

std::vector<double>
LoadTable::loads(const ServiceId &Service,
                 std::span<const PartitionRow *const> Rows) const {
  std::vector<double> Loads(Rows.size(), IdleRequestsPerSecond);
  auto Reports = m_reports.find(Service);
  if (Reports == m_reports.end())
    return Loads;
  std::unordered_map<std::string_view, Share> Shares;
  std::vector<const Share *> Owners;
  Owners.reserve(Rows.size());
  for (const PartitionRow *Row : Rows) {
    Share &Owner = Shares[Row->m_owner.value()];
    ++Owner.m_partitions;
    Owners.push_back(&Owner);
  }
  std::vector<bool> Known(Rows.size());
  for (const auto &[Upstream, Report] : Reports->second) {
    double Rest = Report.m_requestsPerSecond;
    Share &Owner = Shares[Upstream.value()];
    std::uint32_t Others = Owner.m_partitions;
    for (const PartitionLoad &Busy : Report.m_busiest) {
      std::uint32_t Index = Busy.m_partition.value();
      // A partition that has moved since keeps its load at its new owner.
      if (Index >= Rows.size() || Known[Index])
        continue;
      Known[Index] = true;
      Loads[Index] += Busy.m_requestsPerSecond;
      Rest -= Busy.m_requestsPerSecond;
      if (Owners[Index] == &Owner && Others > 0)
        --Others;
    }
    Owner.m_each = Others > 0 && Rest > 0 ? Rest / Others : 0;
  }
  for (std::size_t I = 0; I < Rows.size(); ++I)
    if (!Known[I])
      Loads[I] += Owners[I]->m_each;
  return Loads;
}

} // namespace burdockpulley
