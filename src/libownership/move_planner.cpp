#include "burdockpulley/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>
#include <unordered_map>

namespace burdockpulley {

namespace detail {

/// An upstream while moves are planned.
struct Server {
  const Upstream *m_upstream;
  bool m_takes; ///< In service and reachable.
  bool m_gives; ///< Reachable, so that its partitions can be released.
  double m_load = 0;

  double loadPerSlot() const { return m_load / m_upstream->m_slots; }
};

/// The highest and the lowest load a slot, as ratios to the mean.
struct Spread {
  double m_highest = 1;
  double m_lowest = 1;
};

std::vector<const PartitionRow *> rowsOf(const OwnershipTable &Table,
                                         const ServiceId &Service) {
  std::vector<const PartitionRow *> Rows;
  for (const OwnershipChunk &Chunk : Table.chunks(Service))
    for (const PartitionRow &Row : Chunk.m_rows)
      Rows.push_back(&Row);
  return Rows;
}

/// The upstreams of one service with the partitions they own, and the moves
/// that have been planned so far.
class MovePlanner {
public:
  MovePlanner(const Declarations &Declared, const ServiceId &Service,
              const OwnershipTable &Table, const LoadTable &Loads,
              const std::set<UpstreamId> &Unreachable)
      : m_service(Service), m_rows(rowsOf(Table, Service)),
        m_loads(Loads.loads(Service, m_rows)), m_owners(m_rows.size(), None) {
    for (const Upstream &Row : Declared.m_upstreams) {
      if (Row.m_service != Service)
        continue;
      bool Reachable = !Unreachable.count(Row.m_name);
      bool InService = !Declared.outOfService(Row);
      m_indexes.emplace(Row.m_name.value(), m_servers.size());
      m_servers.push_back({&Row, Reachable && InService, Reachable});
    }
    for (std::size_t I = 0; I < m_rows.size(); ++I)
      placeRow(I);
  }

  std::size_t partitions() const { return m_rows.size(); }

  /// Partitions that stand on reachable upstreams which are taken out.
  std::size_t countEvacuees() const {
    std::size_t Count = 0;
    for (std::size_t I = 0; I < m_rows.size(); ++I)
      Count += isEvacuee(I);
    return Count;
  }

  /// Moves up to \p Most partitions off the upstreams that are taken out,
  /// busiest first.
  void evacuate(std::size_t Most) {
    std::vector<std::size_t> Evacuees;
    for (std::size_t I = 0; I < m_rows.size(); ++I)
      if (isEvacuee(I))
        Evacuees.push_back(I);
    std::stable_sort(Evacuees.begin(), Evacuees.end(),
                     [this](std::size_t Left, std::size_t Right) {
                       return m_loads[Left] > m_loads[Right];
                     });
    Evacuees.resize(std::min(Most, Evacuees.size()));
    for (std::size_t I : Evacuees)
      if (Server *Receiver = leastLoaded())
        move(I, *Receiver);
  }

  /// How the loads a slot lie around their mean.
  Spread spread() const {
    double Load = 0;
    double Slots = 0;
    double Highest = 0;
    double Lowest = std::numeric_limits<double>::max();
    for (const Server &Each : m_servers) {
      if (!Each.m_takes)
        continue;
      Load += Each.m_load;
      Slots += Each.m_upstream->m_slots;
      Highest = std::max(Highest, Each.loadPerSlot());
      Lowest = std::min(Lowest, Each.loadPerSlot());
    }
    if (Load <= 0)
      return {};
    double Mean = Load / Slots;
    return {Highest / Mean, Lowest / Mean};
  }

  /// Makes the one move that lowers the highest load most; false when no move
  /// lowers it.
  bool balanceOnce() {
    Server *Busiest = mostLoaded();
    Server *Idlest = leastLoaded();
    if (!Busiest || !Idlest || Busiest == Idlest)
      return false;
    double Most = Busiest->loadPerSlot();
    std::size_t Best = None;
    double BestPeak = Most;
    for (std::size_t I = 0; I < m_rows.size(); ++I) {
      if (m_owners[I] != indexOf(*Busiest) || m_moved.count(I))
        continue;
      double Peak = std::max((Busiest->m_load - m_loads[I]) / slots(*Busiest),
                             (Idlest->m_load + m_loads[I]) / slots(*Idlest));
      if (Peak >= BestPeak)
        continue;
      BestPeak = Peak;
      Best = I;
    }
    // A move that gains less than this is not worth its interruption.
    constexpr double LeastGain = 0.001;
    if (Best == None || BestPeak > Most * (1 - LeastGain))
      return false;
    move(Best, *Idlest);
    return true;
  }

  std::vector<PlannedMove> takeMoves() { return std::move(m_moves); }

private:
  static constexpr std::size_t None = static_cast<std::size_t>(-1);

  static bool evacuates(const Server &Each) {
    return Each.m_gives && !Each.m_takes;
  }

  bool isEvacuee(std::size_t I) const {
    return m_owners[I] != None && !m_moved.count(I) &&
           evacuates(m_servers[m_owners[I]]);
  }

  static double slots(const Server &Each) { return Each.m_upstream->m_slots; }

  std::size_t indexOf(const Server &Each) const {
    return static_cast<std::size_t>(&Each - m_servers.data());
  }

  std::size_t findServer(const UpstreamId &Name) const {
    auto Found = m_indexes.find(Name.value());
    return Found == m_indexes.end() ? None : Found->second;
  }

  void placeRow(std::size_t I) {
    // A row that is moving counts for its target and is left alone.
    bool Moving = m_rows[I]->moving();
    if (Moving)
      m_moved.insert(I);
    std::size_t Owner =
        findServer(Moving ? m_rows[I]->m_target : m_rows[I]->m_owner);
    m_owners[I] = Owner;
    if (Owner != None)
      m_servers[Owner].m_load += m_loads[I];
  }

  Server *leastLoaded() {
    Server *Least = nullptr;
    for (Server &Each : m_servers)
      if (Each.m_takes && (!Least || Each.loadPerSlot() < Least->loadPerSlot()))
        Least = &Each;
    return Least;
  }

  Server *mostLoaded() {
    Server *Most = nullptr;
    for (Server &Each : m_servers)
      if (Each.m_takes && (!Most || Each.loadPerSlot() > Most->loadPerSlot()))
        Most = &Each;
    return Most;
  }

  void move(std::size_t I, Server &To) {
    Server &From = m_servers[m_owners[I]];
    m_moves.push_back({m_service, PartitionIndex(static_cast<std::uint32_t>(I)),
                       From.m_upstream->m_name, To.m_upstream->m_name});
    From.m_load -= m_loads[I];
    To.m_load += m_loads[I];
    m_owners[I] = indexOf(To);
    m_moved.insert(I);
  }

  ServiceId m_service;
  std::vector<const PartitionRow *> m_rows;
  std::vector<double> m_loads;
  std::vector<std::size_t> m_owners;
  std::vector<Server> m_servers;
  std::unordered_map<std::string_view, std::size_t> m_indexes;
  std::set<std::size_t> m_moved;
  std::vector<PlannedMove> m_moves;
};

} // namespace detail

namespace {

constexpr double SecondsPerMinute = 60;

double secondsBetween(Instant From, Instant To) {
  return std::chrono::duration<double>(To - From).count();
}

} // namespace

std::vector<PlannedMove>
Placement::plan(const Declarations &Declared, const OwnershipTable &Table,
                const LoadTable &Loads, const std::set<UpstreamId> &Unreachable,
                Instant Now) {
  std::vector<PlannedMove> Moves;
  for (const Service &Target : Declared.m_services) {
    if (!Target.keyed())
      continue;
    detail::MovePlanner Planner(Declared, Target.m_name, Table, Loads,
                                Unreachable);
    auto [Known, Fresh] = m_services.try_emplace(Target.m_name);
    ServiceRow &Row = Known->second;
    double Elapsed = Fresh ? 0 : secondsBetween(Row.m_lastPlan, Now);
    Row.m_lastPlan = Now;
    double PerMinute = m_limits.m_balanceSharePerMinute *
                       static_cast<double>(Planner.partitions());
    double Earned = PerMinute * Elapsed / SecondsPerMinute;
    Row.m_budget = std::min(PerMinute, Row.m_budget + Earned);

    auto Evacuees = static_cast<double>(Planner.countEvacuees());
    double Pace =
        static_cast<double>(Planner.partitions()) /
        std::chrono::duration<double>(m_limits.m_evacuationTime).count();
    Row.m_evacuationCredit =
        std::min(Evacuees, Row.m_evacuationCredit + Pace * Elapsed);
    double Leaving = std::floor(Row.m_evacuationCredit);
    Row.m_evacuationCredit -= Leaving;
    Planner.evacuate(static_cast<std::size_t>(Leaving));

    balance(Planner, Row);
    for (PlannedMove &Move : Planner.takeMoves())
      Moves.push_back(std::move(Move));
  }
  return Moves;
}

void Placement::balance(detail::MovePlanner &Planner, ServiceRow &Row) const {
  detail::Spread Now = Planner.spread();
  if (Now.m_highest > m_limits.m_startImbalance ||
      Now.m_lowest < m_limits.m_startIdle)
    Row.m_balancing = true;
  while (Row.m_balancing && Row.m_budget >= 1) {
    Now = Planner.spread();
    bool Even = Now.m_highest < m_limits.m_stopImbalance &&
                Now.m_lowest > m_limits.m_startIdle;
    if (Even || !Planner.balanceOnce())
      Row.m_balancing = false;
    else
      Row.m_budget -= 1;
  }
}

double imbalanceOf(const Declarations &Declared, const ServiceId &Service,
                   const OwnershipTable &Table, const LoadTable &Loads) {
  return detail::MovePlanner(Declared, Service, Table, Loads, {})
      .spread()
      .m_highest;
}

} // namespace burdockpulley
