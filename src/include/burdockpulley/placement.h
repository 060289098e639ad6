#ifndef BURDOCKPULLEY_PLACEMENT_H
#define BURDOCKPULLEY_PLACEMENT_H

#include "burdockpulley/ownership.h"

#include <map>
#include <set>
#include <vector>

namespace burdockpulley {

namespace detail {
class MovePlanner;
} // namespace detail

/// Limits on when, and how fast, partitions are moved between upstreams.
struct PlacementLimits {
  /// Balancing starts when the ratio of the highest to the mean load exceeds
  /// this.
  double m_startImbalance = 1.10;
  /// Balancing stops when that ratio is below this and the lowest load is
  /// above m_minLoadRatio.
  double m_stopImbalance = 1.04;
  /// Balancing starts when the ratio of the lowest to the mean load is below
  /// this.
  double m_minLoadRatio = 0.70;
  /// Share of a service's partitions that balancing may move in a minute.
  double m_balanceSharePerMinute = 0.25;
  /// Time in which an upstream or a domain that is taken out of service is
  /// emptied.
  Duration m_evacuationTime{1'000'000};
};

/// Load of one partition.
struct PartitionLoad {
  PartitionIndex m_partition;
  double m_requestsPerSecond = 0;
};

/// Load of one upstream: the total, and the partitions with the highest load.
struct UpstreamLoad {
  double m_requestsPerSecond = 0;
  std::vector<PartitionLoad> m_busiest;
};

/// Latest load reports of the keepers, one for each upstream.
///
/// Partitions that are not among an upstream's busiest ones share the rest of
/// its load evenly.
/// Thread safety: none.
class LoadTable {
public:
  /// Applies a report; it replaces the upstream's earlier report.
  void report(const ServiceId &Service, const UpstreamId &Upstream,
              UpstreamLoad Load);

  /// The loads of \p Partitions (all partitions of the service, in order), in
  /// requests a second. A small constant is added to each, so that idle
  /// partitions are spread evenly by number.
  std::vector<double>
  loads(const ServiceId &Service,
        std::span<const PartitionOwnership *const> Partitions) const;

private:
  std::map<ServiceId, std::map<UpstreamId, UpstreamLoad>> m_reports;
};

/// Decides which partitions change owners: away from upstreams that are taken
/// out of service, and from busy upstreams to idle ones.
///
/// Moves no more partitions than needed: an upstream that joins or leaves
/// costs moves of about its own share, and balancing has a threshold and a
/// budget.
/// Thread safety: none.
class Placement {
public:
  explicit Placement(PlacementLimits Limits = {}) : m_limits(Limits) {}

  /// The moves to start at \p Now. The caller writes each of them by
  /// compare-and-swap and calls again, at a steady interval, with the updated
  /// table. \p Unreachable upstreams neither release nor receive partitions.
  std::vector<PlannedMove> plan(const Declarations &Declared,
                                const OwnershipTable &Table,
                                const LoadTable &Loads,
                                const std::set<UpstreamId> &Unreachable,
                                Instant Now);

private:
  struct ServiceState {
    bool m_balancing = false;
    double m_balanceBudget = 0;    ///< Partitions that balancing may move now.
    double m_evacuationCredit = 0; ///< Partitions that may be evacuated now.
    Instant m_lastPlan{};
  };

  void balance(detail::MovePlanner &Planner, ServiceState &State) const;

  PlacementLimits m_limits;
  std::map<ServiceId, ServiceState> m_services;
};

/// Ratio of the highest to the mean load per slot, over the upstreams of a
/// service that are in service; 1 when they are balanced or have no load.
/// Thread safety: safe.
double imbalanceOf(const Declarations &Declared, const ServiceId &Service,
                   const OwnershipTable &Table, const LoadTable &Loads);

} // namespace burdockpulley

#endif
