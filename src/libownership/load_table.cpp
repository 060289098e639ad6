#include "burdockpulley/placement.h"

#include <string_view>
#include <unordered_map>

namespace burdockpulley {

namespace {
/// Added to the load of every partition, so that idle ones are spread evenly.
constexpr double IdleRequestsPerSecond = 0.01;

/// Number of partitions of an upstream, and the load of each one that its
/// report does not list.
struct OwnerShare {
  std::uint32_t m_partitions = 0;
  double m_unlistedLoad = 0;
};
} // namespace

void LoadTable::report(const ServiceId &Service, const UpstreamId &Upstream,
                       UpstreamLoad Load) {
  m_reports[Service][Upstream] = std::move(Load);
}

std::vector<double>
LoadTable::loads(const ServiceId &Service,
                 std::span<const PartitionOwnership *const> Partitions) const {
  std::vector<double> Loads(Partitions.size(), IdleRequestsPerSecond);
  auto Reports = m_reports.find(Service);
  if (Reports == m_reports.end())
    return Loads;
  std::unordered_map<std::string_view, OwnerShare> Shares;
  std::vector<const OwnerShare *> Owners;
  Owners.reserve(Partitions.size());
  for (const PartitionOwnership *Partition : Partitions) {
    OwnerShare &Share = Shares[Partition->m_owner.value()];
    ++Share.m_partitions;
    Owners.push_back(&Share);
  }
  std::vector<bool> Listed(Partitions.size());
  for (const auto &[Upstream, Report] : Reports->second) {
    double Remaining = Report.m_requestsPerSecond;
    OwnerShare &Share = Shares[Upstream.value()];
    std::uint32_t Unlisted = Share.m_partitions;
    for (const PartitionLoad &Busiest : Report.m_busiest) {
      std::uint32_t Index = Busiest.m_partition.value();
      // A partition that has moved since the report keeps its load; it counts
      // for the new owner.
      if (Index >= Partitions.size() || Listed[Index])
        continue;
      Listed[Index] = true;
      Loads[Index] += Busiest.m_requestsPerSecond;
      Remaining -= Busiest.m_requestsPerSecond;
      if (Owners[Index] == &Share && Unlisted > 0)
        --Unlisted;
    }
    Share.m_unlistedLoad =
        Unlisted > 0 && Remaining > 0 ? Remaining / Unlisted : 0;
  }
  for (std::size_t I = 0; I < Partitions.size(); ++I)
    if (!Listed[I])
      Loads[I] += Owners[I]->m_unlistedLoad;
  return Loads;
}

} // namespace burdockpulley
