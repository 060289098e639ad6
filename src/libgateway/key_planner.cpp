#include "burdockpulley/key_planner.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>

namespace burdockpulley {

namespace {

/// Time constant of the exponential decay of request counts. The half-life is
/// this time divided by about 1.4.
constexpr Duration DecayTime{1'000'000};
/// The counts are rescaled once a new count has this weight.
constexpr double MaxScale = 1e12;
/// Load that is added for all keys together, as a share of the total load, so
/// that keys without requests are spread too.
constexpr double IdleLoadShare = 0.02;
/// Number of pieces into which the fair share of a candidate is cut when free
/// keys are placed.
constexpr double PiecesPerShare = 2;
/// An owner is busy when its utilization, which is its load divided by its
/// capacity, is above BusyRatio times the mean, and idle when it is below
/// IdleRatio times the mean. OwnerRates::m_busy takes the place of a mean
/// below it.
constexpr double BusyRatio = 1.25;
constexpr double IdleRatio = 0.85;
/// An owner is busy only if more than this share of its requests would find all
/// its slots taken. Below that, moving its keys costs callers more than it
/// gains, because keys are not served while they move.
constexpr double MaxWaitingShare = 0.2;
/// An owner counts as busy only when its load exceeds that bound by this many
/// standard deviations of its estimate, because a few more requests may come by
/// chance.
constexpr double CertaintyDeviations = 2;
/// A move is made only if it leaves the receiver below this share of the
/// utilization that the previous owner had before the move.
constexpr double MaxReceiverRatio = 0.8;
/// A piece has at least MinPieceShare of the load of its previous owner, or at
/// least MinReceiverShare of the load that its receiver is meant to have. The
/// second bound is the lower one when there are many owners, as each of them
/// is meant to have little.
constexpr double MinPieceShare = 0.04;
constexpr double MinReceiverShare = 0.15;
/// Places in a range at which a piece is looked for, one after the other. More
/// than the hot keys that one range has as a rule.
constexpr int MaxPieceTries = 16;
/// Owners without a piece worth moving that one plan passes over. Bounds the
/// cost of a plan when many owners have one hot key each.
constexpr std::size_t MaxImmovableOwners = 8;
/// Share of an owner's highest request rate that it is meant to have. The rest
/// is room for load that changes before keys have moved.
constexpr double MaxRateShare = 0.7;
/// Keys are moved away from an owner with more than this share of its highest
/// request rate, because requests beyond the rate wait or are refused.
constexpr double OverMaxRateShare = 0.9;
constexpr double MinCapacity = 0.01;

/// Standard deviation of an estimated rate of requests, which are counted with
/// exponentially decaying weights.
double deviation(double Rate) {
  double DecaySeconds = std::chrono::duration<double>(DecayTime).count();
  return std::sqrt(Rate / (2 * DecaySeconds));
}

/// The load of one owner and the keys that it owns.
struct OwnerLoad {
  const KeyCandidate *m_candidate = nullptr;
  double m_capacity = 1; ///< See limitCapacities().
  double m_load = 0;
  std::uint32_t m_keys = 0;
  bool m_immovable = false; ///< No piece of its keys is worth moving.

  double utilization() const { return m_load / m_capacity; }
  bool overMaxRate() const {
    return m_load > m_candidate->m_maxRate * OverMaxRateShare;
  }
};

/// Estimates the load of ranges: their requests a second and a small load for
/// each key, see IdleLoadShare.
class RangeLoadEstimator {
public:
  explicit RangeLoadEstimator(const KeyLoad &Load)
      : m_load(Load), m_loadPerKey(std::max(Load.total() * IdleLoadShare, 1.0) /
                                   ShardKeyCount) {}

  double loadOf(std::uint32_t First, std::uint32_t Last) const {
    return m_load.rate(First, Last) + m_loadPerKey * (Last - First + 1);
  }

  /// The last key of the shortest run from \p First that has \p WantedLoad;
  /// \p Last when the run would go beyond it.
  std::uint32_t lastKeyFor(std::uint32_t First, std::uint32_t Last,
                           double WantedLoad) const {
    std::uint32_t Low = First;
    std::uint32_t High = Last;
    while (Low < High) {
      std::uint32_t Middle = Low + (High - Low) / 2;
      if (loadOf(First, Middle) >= WantedLoad)
        High = Middle;
      else
        Low = Middle + 1;
    }
    return Low;
  }

private:
  const KeyLoad &m_load;
  double m_loadPerKey;
};

std::map<UpstreamId, OwnerLoad>
sumOwnerLoads(const std::vector<KeyRange> &Owned,
              const KeyCandidates &Candidates,
              const RangeLoadEstimator &Estimator) {
  std::map<UpstreamId, OwnerLoad> OwnerLoads;
  for (const auto &[Id, Candidate] : Candidates)
    if (!Candidate.m_mustRelease)
      OwnerLoads[Id].m_candidate = &Candidate;
  for (const KeyRange &Range : Owned) {
    auto It = OwnerLoads.find(Range.m_owner);
    if (It == OwnerLoads.end())
      continue;
    It->second.m_load += Estimator.loadOf(Range.m_first, Range.m_last);
    It->second.m_keys += Range.keys();
  }
  return OwnerLoads;
}

/// Sets the capacities of owners that are counted by \p Counted so that, when
/// all have the same utilization, those with a highest request rate stay below
/// it. Returns that utilization: the load of all owners for each unit of
/// capacity, or \p MinUtilization if it is higher.
double limitCapacities(std::map<UpstreamId, OwnerLoad> &OwnerLoads,
                       const std::function<bool(const KeyCandidate &)> &Counted,
                       double Total, double MinUtilization) {
  for (auto &[Id, Owner] : OwnerLoads)
    Owner.m_capacity = std::max(Owner.m_candidate->m_capacity, MinCapacity);
  auto Utilization = [&] {
    double Capacity = 0;
    for (const auto &[Id, Owner] : OwnerLoads)
      Capacity += Counted(*Owner.m_candidate) ? Owner.m_capacity : 0;
    return Capacity > 0 ? std::max(Total / Capacity, MinUtilization) : 0;
  };
  // Limiting one owner raises the utilization of the others, which limits it
  // further.
  constexpr int Rounds = 3;
  for (int Round = 0; Round < Rounds; ++Round) {
    double Common = Utilization();
    if (Common <= 0)
      return 0;
    for (auto &[Id, Owner] : OwnerLoads)
      Owner.m_capacity = std::clamp(
          Owner.m_candidate->m_maxRate * MaxRateShare / Common, MinCapacity,
          std::max(Owner.m_candidate->m_capacity, MinCapacity));
  }
  return Utilization();
}

/// The eligible candidate with the lowest utilization once \p AddedLoad is
/// added to it; null when none is eligible.
OwnerLoad *leastUtilized(std::map<UpstreamId, OwnerLoad> &OwnerLoads,
                         double AddedLoad) {
  OwnerLoad *Best = nullptr;
  double BestUtilization = 0;
  for (auto &[Id, Owner] : OwnerLoads) {
    if (!Owner.m_candidate->m_eligible)
      continue;
    double Utilization = (Owner.m_load + AddedLoad) / Owner.m_capacity;
    if (Best && Utilization >= BestUtilization)
      continue;
    Best = &Owner;
    BestUtilization = Utilization;
  }
  return Best;
}

/// The owner from which to move keys first: the one with the highest
/// utilization, of those over their highest request rate if there are any.
/// Null when all are marked as immovable.
OwnerLoad *mostUtilized(std::map<UpstreamId, OwnerLoad> &OwnerLoads) {
  OwnerLoad *Most = nullptr;
  auto Rank = [](const OwnerLoad &Owner) {
    return std::make_pair(Owner.overMaxRate(), Owner.utilization());
  };
  for (auto &[Id, Owner] : OwnerLoads)
    if (!Owner.m_immovable && (!Most || Rank(Owner) > Rank(*Most)))
      Most = &Owner;
  return Most;
}

/// The ranges of an owner, the one with the highest load first.
std::vector<KeyRange *> rangesByLoad(std::vector<KeyRange> &Ranges,
                                     const UpstreamId &Owner,
                                     const RangeLoadEstimator &Estimator) {
  std::vector<std::pair<double, KeyRange *>> Loads;
  for (KeyRange &Range : Ranges)
    if (Range.m_owner == Owner)
      Loads.emplace_back(Estimator.loadOf(Range.m_first, Range.m_last), &Range);
  std::sort(Loads.begin(), Loads.end(),
            [](const auto &Left, const auto &Right) {
              return std::make_pair(Left.first, Right.second) >
                     std::make_pair(Right.first, Left.second);
            });
  std::vector<KeyRange *> Sorted;
  for (const auto &[RangeLoad, Range] : Loads)
    Sorted.push_back(Range);
  return Sorted;
}

/// Keys that are placed or moved together.
struct Piece {
  std::uint32_t m_first;
  std::uint32_t m_last;
  double m_load;
};

/// Chooses keys of a range to move from \p Source to \p Target. Prefers the
/// first keys of the range with about \p WantedLoad, if their move lowers the
/// higher utilization of both owners clearly. A move of a single key with most
/// of the load would not do so: then keys before or after it are chosen. Nor is
/// a key moved that has more requests than any owner can serve: it gains
/// nothing from another owner, and is not served while it moves. \p
/// WantedUtilization is the utilization that the target is meant to have, \p
/// MaxUtilization the one at which all its slots are taken. Empty when no move
/// is worthwhile.
std::optional<Piece> choosePiece(const KeyRange &Range, const OwnerLoad &Source,
                                 const OwnerLoad &Target, double WantedLoad,
                                 double WantedUtilization,
                                 double MaxUtilization,
                                 const RangeLoadEstimator &Estimator) {
  double MinLoad =
      std::min(Source.m_load * MinPieceShare,
               WantedUtilization * Target.m_capacity * MinReceiverShare);
  auto Worthwhile = [&](const Piece &Candidate) {
    double TargetUtilization =
        (Target.m_load + Candidate.m_load) / Target.m_capacity;
    return Candidate.m_load > MinLoad && TargetUtilization <= MaxUtilization &&
           TargetUtilization < Source.utilization() * MaxReceiverRatio;
  };
  auto MakePiece = [&](std::uint32_t First, std::uint32_t Last) {
    return Piece{First, Last, Estimator.loadOf(First, Last)};
  };
  std::uint32_t First = Range.m_first;
  for (int Try = 0; Try < MaxPieceTries && First <= Range.m_last; ++Try) {
    std::uint32_t Last = Estimator.lastKeyFor(First, Range.m_last, WantedLoad);
    if (Piece Preferred = MakePiece(First, Last); Worthwhile(Preferred))
      return Preferred;
    if (Last > First)
      if (Piece Before = MakePiece(First, Last - 1); Worthwhile(Before))
        return Before;
    First = Last + 1;
  }
  return std::nullopt;
}

/// Removes a piece from the range of \p Ranges that holds it, which may leave
/// two ranges.
void removePiece(std::vector<KeyRange> &Ranges, KeyRange &Range,
                 const Piece &Removed) {
  KeyRange After = Range;
  After.m_first = Removed.m_last + 1;
  bool EndsRange = Removed.m_last == Range.m_last;
  if (Removed.m_first == Range.m_first) {
    if (EndsRange)
      Range.m_owner = UpstreamId();
    else
      Range.m_first = After.m_first;
    return;
  }
  Range.m_last = Removed.m_first - 1;
  if (!EndsRange)
    Ranges.push_back(After);
}

std::vector<Piece> cutPieces(const std::vector<KeyRange> &Free,
                             const RangeLoadEstimator &Estimator,
                             double PieceLoad) {
  std::vector<Piece> Pieces;
  for (const KeyRange &Range : Free) {
    std::uint32_t First = Range.m_first;
    while (true) {
      std::uint32_t Last = Estimator.lastKeyFor(First, Range.m_last, PieceLoad);
      Pieces.push_back({First, Last, Estimator.loadOf(First, Last)});
      if (Last == Range.m_last)
        break;
      First = Last + 1;
    }
  }
  return Pieces;
}

} // namespace

double busyUtilization(std::uint32_t Slots) {
  // Erlang's C formula: the share of requests that wait when they arrive at
  // random. It grows with the utilization, so the bound is found by bisection.
  auto WaitingShare = [Slots](double Utilization) {
    double Offered = Utilization * Slots;
    double Blocked = 1; // Erlang's B formula, by recursion over the slots.
    for (std::uint32_t Slot = 1; Slot <= Slots; ++Slot)
      Blocked = Offered * Blocked / (Slot + Offered * Blocked);
    return Blocked / (1 - Utilization * (1 - Blocked));
  };
  if (Slots == 0)
    return 0;
  double Low = 0;
  double High = 1;
  constexpr int Bisections = 20;
  for (int Step = 0; Step < Bisections; ++Step) {
    double Middle = (Low + High) / 2;
    (WaitingShare(Middle) < MaxWaitingShare ? Low : High) = Middle;
  }
  return Low / BusyRatio;
}

KeyLoad::KeyLoad() : m_tree(ShardKeyCount + 1, 0) {}

void KeyLoad::addAt(std::uint32_t Key, double Count) {
  for (std::uint32_t Node = Key + 1; Node <= ShardKeyCount;
       Node += Node & (~Node + 1))
    m_tree[Node] += Count;
}

double KeyLoad::sumBelow(std::uint32_t Key) const {
  double Sum = 0;
  for (std::uint32_t Node = Key; Node > 0; Node -= Node & (~Node + 1))
    Sum += m_tree[Node];
  return Sum;
}

void KeyLoad::add(ShardKey Key, double Count) {
  if (Key.value() < ShardKeyCount)
    addAt(Key.value(), Count * m_scale);
}

void KeyLoad::decay(Instant Now) {
  if (m_decayStarted && Now > m_lastDecayAt) {
    double Passed = std::chrono::duration<double>(Now - m_lastDecayAt).count();
    double DecaySeconds = std::chrono::duration<double>(DecayTime).count();
    m_scale *= std::exp(Passed / DecaySeconds);
  }
  m_decayStarted = true;
  m_lastDecayAt = Now;
  if (m_scale < MaxScale)
    return;
  for (double &Count : m_tree)
    Count /= m_scale;
  m_scale = 1;
}

double KeyLoad::rate(std::uint32_t First, std::uint32_t Last) const {
  double DecaySeconds = std::chrono::duration<double>(DecayTime).count();
  return std::max(0.0, sumBelow(Last + 1) - sumBelow(First)) / m_scale /
         DecaySeconds;
}

std::vector<KeyPlacement> placeFreeKeys(const std::vector<KeyRange> &Free,
                                        const std::vector<KeyRange> &Owned,
                                        const KeyCandidates &Candidates,
                                        const KeyLoad &Load) {
  RangeLoadEstimator Estimator(Load);
  auto OwnerLoads = sumOwnerLoads(Owned, Candidates, Estimator);
  double Total = Estimator.loadOf(0, ShardKeyCount - 1);
  auto Eligible = [](const KeyCandidate &Candidate) {
    return Candidate.m_eligible;
  };
  double MeanUtilization = limitCapacities(OwnerLoads, Eligible, Total, 0);
  if (MeanUtilization <= 0)
    return {};
  double LargestCapacity = 0;
  for (const auto &[Id, Owner] : OwnerLoads)
    if (Owner.m_candidate->m_eligible)
      LargestCapacity = std::max(LargestCapacity, Owner.m_capacity);
  double LargestShare = MeanUtilization * LargestCapacity;
  bool NoneOwned = Owned.empty();
  auto Pieces =
      cutPieces(Free, Estimator,
                NoneOwned ? LargestShare / PiecesPerShare / PiecesPerShare
                          : LargestShare / PiecesPerShare);
  std::vector<KeyPlacement> Placements;
  // Neighbouring pieces are assigned to one owner until it has its share, so
  // that each owner has few ranges.
  OwnerLoad *Current = nullptr;
  for (const Piece &NewPiece : Pieces) {
    bool Full =
        !Current || (Current->m_load + NewPiece.m_load) / Current->m_capacity >
                        MeanUtilization;
    if (Full)
      Current = leastUtilized(OwnerLoads, NewPiece.m_load);
    Current->m_load += NewPiece.m_load;
    bool ExtendsLast =
        !Placements.empty() &&
        Placements.back().m_owner == Current->m_candidate->m_id &&
        Placements.back().m_last + 1 == NewPiece.m_first;
    if (ExtendsLast)
      Placements.back().m_last = NewPiece.m_last;
    else
      Placements.push_back(
          {NewPiece.m_first, NewPiece.m_last, Current->m_candidate->m_id});
  }
  return Placements;
}

std::vector<KeyPlacement> planMoves(const std::vector<KeyRange> &Owned,
                                    const KeyCandidates &Candidates,
                                    const KeyLoad &Load,
                                    const MoveLimits &Limits) {
  RangeLoadEstimator Estimator(Load);
  auto OwnerLoads = sumOwnerLoads(Owned, Candidates, Estimator);
  double Capacity = 0;
  double Total = 0;
  for (const auto &[Id, Owner] : OwnerLoads)
    Total += Owner.m_load;
  // Owners below the busy rate may have more than their share of the load of a
  // hot spot, so that fewer moves are needed to spread it.
  double BusyUtilization = limitCapacities(
      OwnerLoads, [](const KeyCandidate &) { return true; }, Total,
      Limits.m_rates.m_busy);
  for (const auto &[Id, Owner] : OwnerLoads)
    Capacity += Owner.m_capacity;
  if (Capacity <= 0)
    return {};
  double MeanUtilization = Total / Capacity;
  std::vector<KeyRange> Remaining = Owned;
  std::vector<KeyPlacement> Moves;
  std::size_t Immovable = 0;
  while (Moves.size() < Limits.m_moves) {
    OwnerLoad *Target = leastUtilized(OwnerLoads, 0);
    bool Newcomer = Target && Target->m_keys == 0;
    OwnerLoad *Source = mostUtilized(OwnerLoads);
    bool OverMaxRate = Source && Source->overMaxRate();
    double WantedUtilization = Newcomer ? MeanUtilization : BusyUtilization;
    if (OverMaxRate)
      WantedUtilization = BusyUtilization * BusyRatio;
    if (!Target || !Source || Source == Target ||
        Target->utilization() >= WantedUtilization * IdleRatio)
      break;
    double CertainLoad =
        Source->m_load - CertaintyDeviations * deviation(Source->m_load);
    bool Busy = CertainLoad > BusyUtilization * BusyRatio * Source->m_capacity;
    if (!Busy && !Newcomer && !OverMaxRate)
      break;
    double Surplus = Source->m_load - BusyUtilization * Source->m_capacity;
    double TargetShortfall =
        WantedUtilization * Target->m_capacity - Target->m_load;
    double WantedLoad = std::min(
        std::max(Surplus,
                 Newcomer ? TargetShortfall / Limits.m_newcomerParts : 0),
        TargetShortfall);
    if (WantedLoad <= 0)
      break;
    KeyRange *Range = nullptr;
    std::optional<Piece> MovedPiece;
    for (KeyRange *Each :
         rangesByLoad(Remaining, Source->m_candidate->m_id, Estimator)) {
      Range = Each;
      MovedPiece =
          choosePiece(*Each, *Source, *Target, WantedLoad, WantedUtilization,
                      Limits.m_rates.m_full, Estimator);
      if (MovedPiece)
        break;
    }
    if (!MovedPiece) {
      // The keys of other busy owners still move.
      Source->m_immovable = true;
      if (++Immovable > MaxImmovableOwners)
        break;
      continue;
    }
    Source->m_load -= MovedPiece->m_load;
    Target->m_load += MovedPiece->m_load;
    Target->m_keys += MovedPiece->m_last - MovedPiece->m_first + 1;
    Moves.push_back(
        {MovedPiece->m_first, MovedPiece->m_last, Target->m_candidate->m_id});
    removePiece(Remaining, *Range, *MovedPiece);
  }
  return Moves;
}

} // namespace burdockpulley
