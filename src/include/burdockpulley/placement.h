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

/// Bounds on how many partitions change owners, and when.
struct PlacementLimits {
  /// Balancing starts above this ratio of the highest to the mean load.
  double m_startImbalance = 1.10;
  /// Balancing stops below this ratio.
  double m_stopImbalance = 1.04;
  /// Balancing starts below this ratio of the lowest to the mean load.
  double m_startIdle = 0.70;
  /// Share of a service's partitions that balancing may move in a minute.
  double m_balanceSharePerMinute = 0.25;
  /// Time in which an upstream or a domain that is taken out is emptied.
  Duration m_evacuationTime{1'000'000};
};

/// How busy one partition is, in requests a second.
struct PartitionLoad {
  PartitionIndex m_partition;
  double m_requestsPerSecond = 0;
};

/// The load of one upstream: its busiest partitions, and all together.
struct UpstreamLoad {
  double m_requestsPerSecond = 0;
  std::vector<PartitionLoad> m_busiest;
};

/// What the keepers have reported of the load of their upstreams.
///
/// Partitions outside the busiest ones share what is left of their owner's
/// load evenly.
/// Thread safety: none.
class LoadTable {
public:
  /// Takes over a report; it replaces the one before.
  void report(const ServiceId &Service, const UpstreamId &Upstream,
              UpstreamLoad Load);

  /// The load of each of \p Rows, by partition. A small constant is added, so
  /// that idle partitions are spread by their number.
  std::vector<double> loads(const ServiceId &Service,
                            std::span<const PartitionRow *const> Rows) const;

private:
  std::map<ServiceId, std::map<UpstreamId, UpstreamLoad>> m_reports;
};

/// Decides which partitions change owners: away from upstreams that are taken
/// out, and from busy upstreams to idle ones.
///
/// It moves no more than is needed: a join or leave costs the share of the one
/// that comes or goes, and balancing has a threshold and a budget.
/// Thread safety: none.
class Placement {
public:
  explicit Placement(PlacementLimits Limits = {}) : m_limits(Limits) {}

  /// The moves to start at \p Now. The caller makes each of them by
  /// compare-and-swap and calls again, at a steady pace, with the new table.
  /// \p Unreachable upstreams neither give nor take partitions.
  std::vector<PlannedMove> plan(const Declarations &Declared,
                                const OwnershipTable &Table,
                                const LoadTable &Loads,
                                const std::set<UpstreamId> &Unreachable,
                                Instant Now);

private:
  struct ServiceRow {
    bool m_balancing = false;
    double m_budget = 0;
    double m_evacuationCredit = 0;
    Instant m_lastPlan{};
  };

  void balance(detail::MovePlanner &Planner, ServiceRow &Row) const;

  PlacementLimits m_limits;
  std::map<ServiceId, ServiceRow> m_services;
};

/// Ratio of the highest load a slot to the mean load a slot over the upstreams
/// of a service that are in service; 1 is perfect. 1 when there is no load.
/// Thread safety: safe.
double imbalanceOf(const Declarations &Declared, const ServiceId &Service,
                   const OwnershipTable &Table, const LoadTable &Loads);

} // namespace burdockpulley

#endif
