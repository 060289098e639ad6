#include "burdockpulley/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>
#include <unordered_map>

namespace burdockpulley {

namespace detail {

/// State of an upstream during planning; its load includes the planned moves.
struct PlannedUpstream {
  const Upstream *m_upstream;
  bool m_eligible;  ///< In service and reachable: may receive partitions.
  bool m_reachable; ///< Its partitions can be released.
  double m_load = 0;

  double loadPerSlot() const { return m_load / m_upstream->m_slots; }
};

/// The highest and the lowest load per slot, as ratios to the mean.
struct LoadRatios {
  double m_highest = 1;
  double m_lowest = 1;
};

std::vector<const PartitionOwnership *>
partitionsOf(const OwnershipTable &Table, const ServiceId &Service) {
  std::vector<const PartitionOwnership *> Partitions;
  for (const OwnershipChunk &Chunk : Table.chunks(Service))
    for (const PartitionOwnership &Partition : Chunk.m_partitions)
      Partitions.push_back(&Partition);
  return Partitions;
}

/// The upstreams of one service with the partitions they own, and the moves
/// planned so far.
class MovePlanner {
public:
  MovePlanner(const Declarations &Declared, const ServiceId &Service,
              const OwnershipTable &Table, const LoadTable &Loads,
              const std::set<UpstreamId> &Unreachable)
      : m_service(Service), m_partitions(partitionsOf(Table, Service)),
        m_loads(Loads.loads(Service, m_partitions)),
        m_owners(m_partitions.size(), None) {
    for (const Upstream &Candidate : Declared.m_upstreams) {
      if (Candidate.m_service != Service)
        continue;
      bool Reachable = !Unreachable.count(Candidate.m_name);
      bool InService = !Declared.outOfService(Candidate);
      m_indexes.emplace(Candidate.m_name.value(), m_upstreams.size());
      m_upstreams.push_back({&Candidate, Reachable && InService, Reachable});
    }
    for (std::size_t I = 0; I < m_partitions.size(); ++I)
      assignToOwner(I);
  }

  std::size_t partitions() const { return m_partitions.size(); }

  /// Number of partitions on reachable upstreams that are out of service.
  std::size_t countEvacuees() const {
    std::size_t Count = 0;
    for (std::size_t I = 0; I < m_partitions.size(); ++I)
      Count += isEvacuee(I);
    return Count;
  }

  /// Moves up to \p MaxMoves partitions off the reachable upstreams that are
  /// out of service, those with the highest load first.
  void evacuate(std::size_t MaxMoves) {
    std::vector<std::size_t> Evacuees;
    for (std::size_t I = 0; I < m_partitions.size(); ++I)
      if (isEvacuee(I))
        Evacuees.push_back(I);
    std::stable_sort(Evacuees.begin(), Evacuees.end(),
                     [this](std::size_t Left, std::size_t Right) {
                       return m_loads[Left] > m_loads[Right];
                     });
    Evacuees.resize(std::min(MaxMoves, Evacuees.size()));
    for (std::size_t I : Evacuees)
      if (PlannedUpstream *Receiver = leastLoaded())
        move(I, *Receiver);
  }

  /// Highest and lowest load per slot of the eligible upstreams.
  LoadRatios loadRatios() const {
    double Load = 0;
    double Slots = 0;
    double Highest = 0;
    double Lowest = std::numeric_limits<double>::max();
    for (const PlannedUpstream &Candidate : m_upstreams) {
      if (!Candidate.m_eligible)
        continue;
      Load += Candidate.m_load;
      Slots += Candidate.m_upstream->m_slots;
      Highest = std::max(Highest, Candidate.loadPerSlot());
      Lowest = std::min(Lowest, Candidate.loadPerSlot());
    }
    if (Load <= 0)
      return {};
    double Mean = Load / Slots;
    return {Highest / Mean, Lowest / Mean};
  }

  /// Plans the move from the most to the least loaded upstream that reduces
  /// the higher of their loads most. False when no move reduces it enough.
  bool balanceOnce() {
    PlannedUpstream *Busiest = mostLoaded();
    PlannedUpstream *Idlest = leastLoaded();
    if (!Busiest || !Idlest || Busiest == Idlest)
      return false;
    double CurrentPeak = Busiest->loadPerSlot();
    std::size_t Best = None;
    double BestPeak = CurrentPeak;
    for (std::size_t I = 0; I < m_partitions.size(); ++I) {
      if (m_owners[I] != indexOf(*Busiest) || m_moved.count(I))
        continue;
      double Peak = std::max((Busiest->m_load - m_loads[I]) / slots(*Busiest),
                             (Idlest->m_load + m_loads[I]) / slots(*Idlest));
      if (Peak >= BestPeak)
        continue;
      BestPeak = Peak;
      Best = I;
    }
    // A smaller gain does not justify interrupting the partition's requests.
    constexpr double MinRelativeGain = 0.001;
    if (Best == None || BestPeak > CurrentPeak * (1 - MinRelativeGain))
      return false;
    move(Best, *Idlest);
    return true;
  }

  std::vector<PlannedMove> takeMoves() { return std::move(m_moves); }

private:
  static constexpr std::size_t None = static_cast<std::size_t>(-1);

  static bool mustBeEmptied(const PlannedUpstream &Owner) {
    return Owner.m_reachable && !Owner.m_eligible;
  }

  bool isEvacuee(std::size_t I) const {
    return m_owners[I] != None && !m_moved.count(I) &&
           mustBeEmptied(m_upstreams[m_owners[I]]);
  }

  static double slots(const PlannedUpstream &State) {
    return State.m_upstream->m_slots;
  }

  std::size_t indexOf(const PlannedUpstream &State) const {
    return static_cast<std::size_t>(&State - m_upstreams.data());
  }

  std::size_t findUpstream(const UpstreamId &Name) const {
    auto It = m_indexes.find(Name.value());
    return It == m_indexes.end() ? None : It->second;
  }

  void assignToOwner(std::size_t I) {
    // A partition that is moving counts for its target and is not moved again.
    bool Moving = m_partitions[I]->moving();
    if (Moving)
      m_moved.insert(I);
    std::size_t Owner = findUpstream(Moving ? m_partitions[I]->m_target
                                            : m_partitions[I]->m_owner);
    m_owners[I] = Owner;
    if (Owner != None)
      m_upstreams[Owner].m_load += m_loads[I];
  }

  PlannedUpstream *leastLoaded() {
    PlannedUpstream *Least = nullptr;
    for (PlannedUpstream &Candidate : m_upstreams)
      if (Candidate.m_eligible &&
          (!Least || Candidate.loadPerSlot() < Least->loadPerSlot()))
        Least = &Candidate;
    return Least;
  }

  PlannedUpstream *mostLoaded() {
    PlannedUpstream *Most = nullptr;
    for (PlannedUpstream &Candidate : m_upstreams)
      if (Candidate.m_eligible &&
          (!Most || Candidate.loadPerSlot() > Most->loadPerSlot()))
        Most = &Candidate;
    return Most;
  }

  void move(std::size_t I, PlannedUpstream &Receiver) {
    PlannedUpstream &Owner = m_upstreams[m_owners[I]];
    m_moves.push_back({m_service, PartitionIndex(static_cast<std::uint32_t>(I)),
                       Owner.m_upstream->m_name, Receiver.m_upstream->m_name});
    Owner.m_load -= m_loads[I];
    Receiver.m_load += m_loads[I];
    m_owners[I] = indexOf(Receiver);
    m_moved.insert(I);
  }

  ServiceId m_service;
  std::vector<const PartitionOwnership *> m_partitions;
  std::vector<double> m_loads;       ///< By partition.
  std::vector<std::size_t> m_owners; ///< By partition; index of an upstream.
  std::vector<PlannedUpstream> m_upstreams;
  std::unordered_map<std::string_view, std::size_t> m_indexes;
  std::set<std::size_t> m_moved; ///< Partitions that must not move again.
  std::vector<PlannedMove> m_moves;
};

} // namespace detail

namespace {

constexpr double SecondsPerMinute = 60;

double secondsBetween(Instant Start, Instant End) {
  return std::chrono::duration<double>(End - Start).count();
}

} // namespace

std::vector<PlannedMove>
Placement::plan(const Declarations &Declared, const OwnershipTable &Table,
                const LoadTable &Loads, const std::set<UpstreamId> &Unreachable,
                Instant Now) {
  std::vector<PlannedMove> Moves;
  for (const Service &DeclaredService : Declared.m_services) {
    if (!DeclaredService.keyed())
      continue;
    detail::MovePlanner Planner(Declared, DeclaredService.m_name, Table, Loads,
                                Unreachable);
    auto [It, Inserted] = m_services.try_emplace(DeclaredService.m_name);
    ServiceState &State = It->second;
    double Elapsed = Inserted ? 0 : secondsBetween(State.m_lastPlan, Now);
    State.m_lastPlan = Now;
    double MovesPerMinute = m_limits.m_balanceSharePerMinute *
                            static_cast<double>(Planner.partitions());
    double EarnedMoves = MovesPerMinute * Elapsed / SecondsPerMinute;
    State.m_balanceBudget =
        std::min(MovesPerMinute, State.m_balanceBudget + EarnedMoves);

    auto Evacuees = static_cast<double>(Planner.countEvacuees());
    double EvacuationsPerSecond =
        static_cast<double>(Planner.partitions()) /
        std::chrono::duration<double>(m_limits.m_evacuationTime).count();
    State.m_evacuationCredit = std::min(
        Evacuees, State.m_evacuationCredit + EvacuationsPerSecond * Elapsed);
    double Evacuations = std::floor(State.m_evacuationCredit);
    State.m_evacuationCredit -= Evacuations;
    Planner.evacuate(static_cast<std::size_t>(Evacuations));

    balance(Planner, State);
    for (PlannedMove &Move : Planner.takeMoves())
      Moves.push_back(std::move(Move));
  }
  return Moves;
}

void Placement::balance(detail::MovePlanner &Planner,
                        ServiceState &State) const {
  detail::LoadRatios Ratios = Planner.loadRatios();
  if (Ratios.m_highest > m_limits.m_startImbalance ||
      Ratios.m_lowest < m_limits.m_minLoadRatio)
    State.m_balancing = true;
  while (State.m_balancing && State.m_balanceBudget >= 1) {
    Ratios = Planner.loadRatios();
    bool Balanced = Ratios.m_highest < m_limits.m_stopImbalance &&
                    Ratios.m_lowest > m_limits.m_minLoadRatio;
    if (Balanced || !Planner.balanceOnce())
      State.m_balancing = false;
    else
      State.m_balanceBudget -= 1;
  }
}

double imbalanceOf(const Declarations &Declared, const ServiceId &Service,
                   const OwnershipTable &Table, const LoadTable &Loads) {
  return detail::MovePlanner(Declared, Service, Table, Loads, {})
      .loadRatios()
      .m_highest;
}

} // namespace burdockpulley
