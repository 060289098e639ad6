#include "burdockpulley/key_planner.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace burdockpulley {

namespace {

/// Half of the requests counted are forgotten after about this time over 1.4.
constexpr Duration FadeTime{1'000'000};
constexpr double MaxScale = 1e12;
/// Every key counts for a little, so that keys without requests are spread.
constexpr double IdleShare = 0.02;
/// Pieces into which free keys are cut, for each candidate's fair share.
constexpr double PiecesPerShare = 2;
/// An owner is busy when its load relative to its capacity is so many times
/// the mean, and idle when it is below that share of it.
constexpr double BusyRatio = 1.25;
constexpr double IdleRatio = 0.85;
/// An owner's load is busy for sure when it is so many standard deviations of
/// its estimate above that: a few requests more are chance.
constexpr double SureDeviations = 2;
/// A move is worth it when the receiver is then this much less busy than the
/// giver was.
constexpr double BetterRatio = 0.8;
/// A piece is at least this share of the giver's load, or this share of what
/// its receiver is meant to have: one of many owners can take little.
constexpr double MinPieceShare = 0.04;
constexpr double MinReceiverShare = 0.15;
/// A newcomer gets its share in so many parts, from several owners.
constexpr double NewcomerParts = 3;

/// Standard deviation of an estimated rate of requests, which are counted with
/// weights that fade.
double deviation(double Rate) {
  double Fade = std::chrono::duration<double>(FadeTime).count();
  return std::sqrt(Rate / (2 * Fade));
}

struct Bin {
  const KeyCandidate *m_candidate = nullptr;
  double m_load = 0;
  std::uint32_t m_keys = 0;

  double busyness() const {
    return m_load / std::max(m_candidate->m_capacity, 0.01);
  }
};

/// Load of ranges, with the little that each key counts for.
class Weigher {
public:
  explicit Weigher(const KeyLoad &Load)
      : m_load(Load),
        m_perKey(std::max(Load.total() * IdleShare, 1.0) / ShardKeyCount) {}

  double of(std::uint32_t First, std::uint32_t Last) const {
    return m_load.rate(First, Last) + m_perKey * (Last - First + 1);
  }

  /// The last key of a run from \p First with about \p Wanted load.
  std::uint32_t reach(std::uint32_t First, std::uint32_t Last,
                      double Wanted) const {
    std::uint32_t Low = First;
    std::uint32_t High = Last;
    while (Low < High) {
      std::uint32_t Middle = Low + (High - Low) / 2;
      if (of(First, Middle) >= Wanted)
        High = Middle;
      else
        Low = Middle + 1;
    }
    return Low;
  }

private:
  const KeyLoad &m_load;
  double m_perKey;
};

std::map<UpstreamId, Bin> makeBins(const std::vector<KeyRange> &Owned,
                                   const KeyCandidates &Candidates,
                                   const Weigher &Weight) {
  std::map<UpstreamId, Bin> Bins;
  for (const auto &[Id, Candidate] : Candidates)
    if (!Candidate.m_mustRelease && !Candidate.m_processEnded)
      Bins[Id].m_candidate = &Candidate;
  for (const KeyRange &Range : Owned) {
    auto Found = Bins.find(Range.m_owner);
    if (Found == Bins.end())
      continue;
    Found->second.m_load += Weight.of(Range.m_first, Range.m_last);
    Found->second.m_keys += Range.keys();
  }
  return Bins;
}

/// The receiving candidate that is least busy once \p More load is added.
Bin *leastBusy(std::map<UpstreamId, Bin> &Bins, double More) {
  Bin *Best = nullptr;
  double BestValue = 0;
  for (auto &[Id, Each] : Bins) {
    if (!Each.m_candidate->m_eligible)
      continue;
    double Value =
        (Each.m_load + More) / std::max(Each.m_candidate->m_capacity, 0.01);
    if (Best && Value >= BestValue)
      continue;
    Best = &Each;
    BestValue = Value;
  }
  return Best;
}

Bin *busiest(std::map<UpstreamId, Bin> &Bins) {
  Bin *Most = nullptr;
  for (auto &[Id, Each] : Bins)
    if (!Most || Each.busyness() > Most->busyness())
      Most = &Each;
  return Most;
}

/// The range of an owner with the most load; null when it has none left.
KeyRange *heaviest(std::vector<KeyRange> &Ranges, const UpstreamId &Owner,
                   const Weigher &Weight) {
  KeyRange *Most = nullptr;
  double MostLoad = 0;
  for (KeyRange &Each : Ranges) {
    if (Each.m_owner != Owner)
      continue;
    double Load = Weight.of(Each.m_first, Each.m_last);
    if (Most && Load <= MostLoad)
      continue;
    Most = &Each;
    MostLoad = Load;
  }
  return Most;
}

struct Piece {
  std::uint32_t m_first;
  std::uint32_t m_last;
  double m_load;
};

/// The beginning of a range with about the wanted load, if its move makes the
/// busier of both owners clearly less busy. When one key makes up most of the
/// load, no move of it would; then what lies before or behind it.
std::optional<Piece> choosePiece(const KeyRange &Range, const Bin &From,
                                 const Bin &To, double Wanted, double Level,
                                 const Weigher &Weight) {
  double Least =
      std::min(From.m_load * MinPieceShare,
               Level * To.m_candidate->m_capacity * MinReceiverShare);
  auto Better = [&](const Piece &Each) {
    double Receiver = (To.m_load + Each.m_load) / To.m_candidate->m_capacity;
    return Each.m_load > Least && Receiver < From.busyness() * BetterRatio;
  };
  auto Make = [&](std::uint32_t First, std::uint32_t Last) {
    return Piece{First, Last, Weight.of(First, Last)};
  };
  std::uint32_t Last = Weight.reach(Range.m_first, Range.m_last, Wanted);
  Piece Wished = Make(Range.m_first, Last);
  if (Better(Wished))
    return Wished;
  if (Last > Range.m_first)
    if (Piece Before = Make(Range.m_first, Last - 1); Better(Before))
      return Before;
  if (Last < Range.m_last)
    if (Piece Behind = Make(Last + 1, Range.m_last); Better(Behind))
      return Behind;
  return std::nullopt;
}

std::vector<Piece> cutPieces(const std::vector<KeyRange> &Free,
                             const Weigher &Weight, double PieceLoad) {
  std::vector<Piece> Pieces;
  for (const KeyRange &Range : Free) {
    std::uint32_t First = Range.m_first;
    while (true) {
      std::uint32_t Last = Weight.reach(First, Range.m_last, PieceLoad);
      Pieces.push_back({First, Last, Weight.of(First, Last)});
      if (Last == Range.m_last)
        break;
      First = Last + 1;
    }
  }
  return Pieces;
}

} // namespace

KeyLoad::KeyLoad() : m_tree(ShardKeyCount + 1, 0) {}

void KeyLoad::addAt(std::uint32_t Key, double Count) {
  for (std::uint32_t At = Key + 1; At <= ShardKeyCount; At += At & (~At + 1))
    m_tree[At] += Count;
}

double KeyLoad::sumBelow(std::uint32_t Key) const {
  double Sum = 0;
  for (std::uint32_t At = Key; At > 0; At -= At & (~At + 1))
    Sum += m_tree[At];
  return Sum;
}

void KeyLoad::add(ShardKey Key, double Count) {
  if (Key.value() < ShardKeyCount)
    addAt(Key.value(), Count * m_scale);
}

void KeyLoad::age(Instant Now) {
  if (m_begun && Now > m_at) {
    double Passed = std::chrono::duration<double>(Now - m_at).count();
    double Fade = std::chrono::duration<double>(FadeTime).count();
    m_scale *= std::exp(Passed / Fade);
  }
  m_begun = true;
  m_at = Now;
  if (m_scale < MaxScale)
    return;
  for (double &Each : m_tree)
    Each /= m_scale;
  m_scale = 1;
}

double KeyLoad::rate(std::uint32_t First, std::uint32_t Last) const {
  double Fade = std::chrono::duration<double>(FadeTime).count();
  return std::max(0.0, sumBelow(Last + 1) - sumBelow(First)) / m_scale / Fade;
}

std::vector<KeyPlacement> placeFreeKeys(const std::vector<KeyRange> &Free,
                                        const std::vector<KeyRange> &Owned,
                                        const KeyCandidates &Candidates,
                                        const KeyLoad &Load) {
  Weigher Weight(Load);
  auto Bins = makeBins(Owned, Candidates, Weight);
  double Capacity = 0;
  double Largest = 0;
  for (const auto &[Id, Each] : Bins) {
    if (!Each.m_candidate->m_eligible)
      continue;
    Capacity += Each.m_candidate->m_capacity;
    Largest = std::max(Largest, Each.m_candidate->m_capacity);
  }
  if (Capacity <= 0)
    return {};
  double Total = Weight.of(0, ShardKeyCount - 1);
  double Share = Total * Largest / Capacity;
  bool Whole = Owned.empty();
  auto Pieces = cutPieces(Free, Weight,
                          Whole ? Share / PiecesPerShare / PiecesPerShare
                                : Share / PiecesPerShare);
  std::vector<KeyPlacement> Placed;
  // Neighbouring pieces go to one owner until its share is full, so that an
  // owner has few ranges.
  Bin *Current = nullptr;
  for (const Piece &Each : Pieces) {
    bool Full = !Current || (Current->m_load + Each.m_load) /
                                    Current->m_candidate->m_capacity >
                                Total / Capacity;
    if (Full)
      Current = leastBusy(Bins, Each.m_load);
    Current->m_load += Each.m_load;
    bool Joins = !Placed.empty() &&
                 Placed.back().m_owner == Current->m_candidate->m_id &&
                 Placed.back().m_last + 1 == Each.m_first;
    if (Joins)
      Placed.back().m_last = Each.m_last;
    else
      Placed.push_back({Each.m_first, Each.m_last, Current->m_candidate->m_id});
  }
  return Placed;
}

std::vector<KeyPlacement> planMoves(const std::vector<KeyRange> &Owned,
                                    const KeyCandidates &Candidates,
                                    const KeyLoad &Load,
                                    const MoveLimits &Limits) {
  Weigher Weight(Load);
  auto Bins = makeBins(Owned, Candidates, Weight);
  double Capacity = 0;
  double Total = 0;
  for (const auto &[Id, Each] : Bins) {
    Capacity += Each.m_candidate->m_capacity;
    Total += Each.m_load;
  }
  if (Capacity <= 0)
    return {};
  double Mean = Total / Capacity;
  // Owners that are not busy may have more than their share of a hot spot:
  // fewer moves spread it then.
  double Level = std::max(Mean, Limits.m_busyRate);
  std::vector<KeyRange> Rest = Owned;
  std::vector<KeyPlacement> Moves;
  while (Moves.size() < Limits.m_moves) {
    Bin *To = leastBusy(Bins, 0);
    bool Newcomer = To && To->m_keys == 0;
    Bin *From = busiest(Bins);
    double Fill = Newcomer ? Mean : Level;
    if (!To || From == To || To->busyness() >= Fill * IdleRatio)
      break;
    double Sure = From->m_load - SureDeviations * deviation(From->m_load);
    bool Busy = Sure > Level * BusyRatio * From->m_candidate->m_capacity;
    if (!Busy && !Newcomer)
      break;
    KeyRange *Range = heaviest(Rest, From->m_candidate->m_id, Weight);
    if (!Range)
      break;
    double Surplus = From->m_load - Level * From->m_candidate->m_capacity;
    double Gap = Fill * To->m_candidate->m_capacity - To->m_load;
    double Wanted =
        std::min(std::max(Surplus, Newcomer ? Gap / NewcomerParts : 0), Gap);
    if (Wanted <= 0)
      break;
    auto Chosen = choosePiece(*Range, *From, *To, Wanted, Fill, Weight);
    if (!Chosen)
      break;
    From->m_load -= Chosen->m_load;
    To->m_load += Chosen->m_load;
    To->m_keys += Chosen->m_last - Chosen->m_first + 1;
    Moves.push_back({Chosen->m_first, Chosen->m_last, To->m_candidate->m_id});
    if (Chosen->m_first > Range->m_first)
      Range->m_last = Chosen->m_first - 1;
    else if (Chosen->m_last < Range->m_last)
      Range->m_first = Chosen->m_last + 1;
    else
      Range->m_owner = UpstreamId();
  }
  return Moves;
}

} // namespace burdockpulley
