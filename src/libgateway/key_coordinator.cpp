#include "burdockpulley/key_coordinator.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// A token that was refused is raised by so much at once.
constexpr std::uint64_t SupersededStep = 64;
/// Ranges that are moved at the same time, for each owner.
constexpr double MovingShare = 0.4;
/// Ranges that are moved at the same time, at the least.
constexpr std::size_t MinMoves = 3;
/// Pairs of ranges that are joined with one write.
constexpr std::size_t MergesPerWrite = 4;
/// Ranges are not split any more when there are so many for each owner: each
/// is renewed by a call of its own.
constexpr std::size_t MaxRangesPerOwner = 4;

} // namespace

KeyCoordinator::KeyCoordinator(ServiceId Service, Settings Chosen)
    : m_service(std::move(Service)), m_settings(Chosen) {}

FencingToken KeyCoordinator::nextToken() {
  m_lastToken = FencingToken(m_lastToken.value() + 1);
  return m_lastToken;
}

void KeyCoordinator::takeOver(const std::optional<KeyTable> &Stored,
                              Instant Now) {
  m_holdings.clear();
  m_replacements.clear();
  m_writing = false;
  changed();
  if (!Stored) {
    Holding All;
    All.m_range.m_last = ShardKeyCount - 1;
    All.m_phase = Phase::Free;
    m_holdings.push_back(All);
    return;
  }
  m_version = Stored->m_version;
  m_lastToken = Stored->m_lastToken;
  Duration Longest(static_cast<std::int64_t>(
      static_cast<double>(m_settings.m_longGrantDuration.count()) *
      (1 + m_settings.m_clockSlack)));
  for (const KeyRange &Range : Stored->m_ranges) {
    Holding Each;
    Each.m_range = Range;
    if (Range.m_owner.value().empty()) {
      Each.m_phase = Phase::Free;
    } else {
      Each.m_raise = true;
      Each.m_confirmed = true; // By the predecessor, as far as is known.
      Each.m_serving = true;
      Each.m_heldUntil = Now + Longest + m_settings.m_deliverySlack;
      Each.m_doubtUntil = Each.m_heldUntil;
    }
    m_holdings.push_back(std::move(Each));
  }
}

KeyCoordinator::Commands KeyCoordinator::tick(const KeyCandidates &Candidates,
                                              const KeyLoad &Load,
                                              double BusyRate,
                                              bool StoreInReach, Instant Now) {
  Commands Out;
  for (Holding &Each : m_holdings)
    advance(Each, Candidates, Now);
  if (StoreInReach && !m_writing) {
    if (Now - m_lastPlan >= m_settings.m_planEvery) {
      m_lastPlan = Now;
      mergeHoldings();
      planRebalance(Candidates, Load, BusyRate, Now);
    }
    Out.m_write = planWrite(Candidates, Load, Now);
    m_writing = Out.m_write.has_value();
  }
  for (Holding &Each : m_holdings)
    issue(Each, StoreInReach, Out, Now);
  return Out;
}

void KeyCoordinator::makeFree(Holding &Which) {
  Which.m_phase = Phase::Free;
  Which.m_raise = false;
  Which.m_confirmed = false;
  Which.m_released = false;
  Which.m_moveWanted = false;
  Which.m_order = CommandId();
  Which.m_heldUntil = Which.m_doubtUntil = Instant();
  if (Which.m_serving)
    changed();
  Which.m_serving = false;
}

void KeyCoordinator::startRelease(Holding &Which, Instant Now) {
  if (Which.m_order.value() != 0)
    return; // How the grant in flight ends has to be known first.
  if (Which.m_heldUntil == Instant())
    return makeFree(Which); // Nothing has ever been sent to this owner.
  // An unanswered grant could take effect after the release. A higher token
  // that the owner confirms rules that out. An owner that does not confirm it
  // gets no further grants: what it may hold runs out.
  if (Which.m_doubtUntil > Now && Which.m_confirmed)
    Which.m_raise = true;
  bool WriteComes = Which.m_raise && Which.m_confirmed;
  bool GrantComes =
      !Which.m_raise && !Which.m_confirmed && Which.m_lastSent == Instant();
  if (WriteComes || GrantComes)
    return;
  Which.m_phase = Phase::Releasing;
  Which.m_raise = false;
  Which.m_released = false;
  Which.m_lastSent = Instant();
  if (Which.m_serving)
    changed();
  Which.m_serving = false;
}

void KeyCoordinator::keepWithOwner(Holding &Which, const KeyCandidate &Owner) {
  // A higher token that the owner confirms ends the doubt much sooner than the
  // grants that it may have run out.
  Which.m_phase = Phase::Held;
  Which.m_released = false;
  Which.m_raise = true;
  Which.m_confirmed = true;
  // One that can not take keys yet, as it is cold, gives them up afterwards.
  Which.m_moveWanted = !Owner.m_eligible;
  Which.m_moveTo = UpstreamId();
}

void KeyCoordinator::advance(Holding &Which, const KeyCandidates &Candidates,
                             Instant Now) {
  if (Which.m_phase == Phase::Free)
    return;
  auto Found = Candidates.find(Which.m_range.m_owner);
  const KeyCandidate *Owner =
      Found == Candidates.end() ? nullptr : &Found->second;
  bool Dead = Owner && Owner->m_processEnded;
  bool Granted = Which.m_heldUntil != Instant();
  bool Expired = Granted && Now >= Which.m_heldUntil;
  bool OutOfReach = !Granted && Which.m_order.value() == 0 &&
                    Now - Which.m_since > m_settings.m_confirmTime;
  if (Dead || Expired || OutOfReach) {
    if (!Which.m_released)
      Which.m_range.m_handover.clear();
    return makeFree(Which);
  }
  if (Which.m_phase == Phase::Releasing) {
    bool Returned = Owner && !Owner->m_mustRelease;
    if (Which.m_released && Now >= Which.m_doubtUntil)
      makeFree(Which);
    else if (Returned && !Which.m_moveWanted && Now < Which.m_doubtUntil &&
             Which.m_order.value() == 0)
      keepWithOwner(Which, *Owner);
    return;
  }
  // It is not known which start has taken the last grant, so a restart alone
  // does not free the keys.
  bool Restarted = Owner && Owner->m_incarnation > Which.m_range.m_incarnation;
  bool MustLeave = !Owner || Owner->m_mustRelease || Restarted;
  if (MustLeave || Which.m_moveWanted)
    startRelease(Which, Now);
}

void KeyCoordinator::issue(Holding &Which, bool StoreInReach, Commands &Out,
                           Instant Now) {
  if (Which.m_phase == Phase::Free || Which.m_order.value() != 0)
    return;
  Duration Since = Now - Which.m_lastSent;
  if (Which.m_phase == Phase::Releasing) {
    if (Which.m_released || Since < m_settings.m_retryEvery)
      return;
    Which.m_order = CommandId(++m_nextCommand);
    Which.m_lastSent = Now;
    Out.m_releases.push_back({Which.m_order, Which.m_range});
    return;
  }
  // A first grant that could not be sent soon after its write is not sent any
  // more: another host may coordinate by now, and only a write shows that.
  if (!Which.m_confirmed && Now - Which.m_since > m_settings.m_firstGrantTime)
    Which.m_raise = true;
  if (Which.m_raise)
    return;
  bool Lengthen = !StoreInReach && !Which.m_longHold && Which.m_confirmed;
  Duration Pause =
      Which.m_confirmed ? m_settings.m_renewEvery : m_settings.m_retryEvery;
  if (Since < Pause && !Lengthen)
    return;
  Duration Hold = StoreInReach ? m_settings.m_grantDuration
                               : m_settings.m_longGrantDuration;
  GrantCommand Order;
  Order.m_number = Which.m_order = CommandId(++m_nextCommand);
  Order.m_range = Which.m_range;
  Order.m_duration = Hold;
  Order.m_first = !Which.m_confirmed;
  Which.m_longHold = !StoreInReach;
  Which.m_lastSent = Now;
  Which.m_before = Which.m_heldUntil;
  Duration Longest(static_cast<std::int64_t>(static_cast<double>(Hold.count()) *
                                             (1 + m_settings.m_clockSlack)));
  Which.m_heldUntil =
      std::max(Which.m_heldUntil, Now + Longest + m_settings.m_deliverySlack);
  Out.m_grants.push_back(std::move(Order));
}

KeyCoordinator::Holding *KeyCoordinator::byOrder(CommandId Number) {
  for (Holding &Each : m_holdings)
    if (Each.m_order == Number)
      return &Each;
  return nullptr;
}

void KeyCoordinator::onGrant(CommandId Number, GrantOutcome Outcome, Instant) {
  Holding *Which = byOrder(Number);
  if (!Which || Which->m_phase != Phase::Held)
    return;
  Which->m_order = CommandId();
  switch (Outcome) {
  case GrantOutcome::Granted:
    // Lower tokens are refused from now on, so older doubts are over.
    if (!Which->m_confirmed)
      Which->m_doubtUntil = Instant();
    if (!Which->m_serving)
      changed();
    Which->m_confirmed = Which->m_serving = true;
    return;
  case GrantOutcome::Unanswered:
    Which->m_doubtUntil = std::max(Which->m_doubtUntil, Which->m_heldUntil);
    break;
  case GrantOutcome::Superseded:
    m_lastToken = FencingToken(m_lastToken.value() + SupersededStep);
    Which->m_heldUntil = Which->m_before;
    break;
  case GrantOutcome::NotSent:
    Which->m_heldUntil = Which->m_before;
    // The first grant under a token may be sent again on any connection, if
    // nothing of it has left.
    if (!Which->m_confirmed)
      return;
    break;
  case GrantOutcome::Dead:
    Which->m_range.m_handover.clear();
    return makeFree(*Which);
  }
  Which->m_raise = true;
}

void KeyCoordinator::onRelease(CommandId Number, bool Answered,
                               const std::string &Handover, Instant) {
  Holding *Which = byOrder(Number);
  if (!Which || Which->m_phase != Phase::Releasing)
    return;
  Which->m_order = CommandId();
  if (!Answered)
    return;
  Which->m_released = true;
  Which->m_range.m_handover = Handover;
}

std::vector<KeyRange> KeyCoordinator::ownedRanges() const {
  std::vector<KeyRange> Owned;
  for (const Holding &Each : m_holdings)
    if (Each.m_phase != Phase::Free)
      Owned.push_back(Each.m_range);
  return Owned;
}

void KeyCoordinator::mergeHoldings() {
  std::vector<Holding> Merged;
  for (Holding &Each : m_holdings) {
    Holding *Last = Merged.empty() ? nullptr : &Merged.back();
    bool Quiet = Each.m_phase == Phase::Held && Each.m_confirmed &&
                 !Each.m_raise && !Each.m_moveWanted &&
                 Each.m_order.value() == 0;
    bool LastQuiet = Last && Last->m_phase == Phase::Held &&
                     Last->m_confirmed && !Last->m_raise &&
                     !Last->m_moveWanted && Last->m_order.value() == 0;
    bool Joins = Quiet && LastQuiet &&
                 Last->m_range.m_owner == Each.m_range.m_owner &&
                 Last->m_range.m_incarnation == Each.m_range.m_incarnation &&
                 Last->m_range.m_token == Each.m_range.m_token;
    if (!Joins) {
      Merged.push_back(std::move(Each));
      continue;
    }
    Last->m_range.m_last = Each.m_range.m_last;
    Last->m_heldUntil = std::max(Last->m_heldUntil, Each.m_heldUntil);
    Last->m_doubtUntil = std::max(Last->m_doubtUntil, Each.m_doubtUntil);
    Last->m_lastSent = std::min(Last->m_lastSent, Each.m_lastSent);
  }
  m_holdings = std::move(Merged);
}

void KeyCoordinator::planRebalance(const KeyCandidates &Candidates,
                                   const KeyLoad &Load, double BusyRate,
                                   Instant Now) {
  std::size_t Moving = 0;
  std::vector<KeyRange> Settled;
  for (const Holding &Each : m_holdings) {
    bool Still = Each.m_phase == Phase::Held && Each.m_confirmed &&
                 !Each.m_raise && !Each.m_moveWanted &&
                 Each.m_order.value() == 0 && Each.m_doubtUntil <= Now;
    Moving += Each.m_moveWanted || Each.m_phase != Phase::Held ? 1 : 0;
    if (Still)
      Settled.push_back(Each.m_range);
  }
  auto Allowed = std::max(
      MinMoves, static_cast<std::size_t>(
                    static_cast<double>(Candidates.size()) * MovingShare));
  bool Split = m_holdings.size() > Candidates.size() * MaxRangesPerOwner;
  if (Moving >= Allowed || Split)
    return;
  for (const KeyPlacement &Move :
       planMoves(Settled, Candidates, Load, {Allowed - Moving, BusyRate}))
    splitAt(Move);
}

void KeyCoordinator::splitAt(const KeyPlacement &Move) {
  for (std::size_t At = 0; At < m_holdings.size(); ++At) {
    KeyRange Whole = m_holdings[At].m_range;
    if (Move.m_first < Whole.m_first || Move.m_last > Whole.m_last)
      continue;
    std::vector<Holding> Parts;
    auto AddPart = [&](std::uint32_t First, std::uint32_t Last) {
      Parts.push_back(m_holdings[At]);
      Parts.back().m_range.m_first = First;
      Parts.back().m_range.m_last = Last;
    };
    if (Move.m_first > Whole.m_first)
      AddPart(Whole.m_first, Move.m_first - 1);
    AddPart(Move.m_first, Move.m_last);
    Parts.back().m_moveWanted = true;
    Parts.back().m_moveTo = Move.m_owner;
    if (Move.m_last < Whole.m_last)
      AddPart(Move.m_last + 1, Whole.m_last);
    auto Place = m_holdings.begin() + static_cast<std::ptrdiff_t>(At);
    Place = m_holdings.erase(Place);
    m_holdings.insert(Place, Parts.begin(), Parts.end());
    return;
  }
}

void KeyCoordinator::placeFree(const KeyCandidates &Candidates,
                               const KeyLoad &Load) {
  std::vector<KeyRange> Free;
  std::vector<KeyPlacement> Placed;
  for (const Holding &Each : m_holdings) {
    if (Each.m_phase != Phase::Free)
      continue;
    auto Target = Candidates.find(Each.m_moveTo);
    if (Target != Candidates.end() && Target->second.m_eligible)
      Placed.push_back(
          {Each.m_range.m_first, Each.m_range.m_last, Each.m_moveTo});
    else
      Free.push_back(Each.m_range);
  }
  if (!Free.empty())
    for (const KeyPlacement &Each :
         placeFreeKeys(Free, ownedRanges(), Candidates, Load))
      Placed.push_back(Each);
  for (std::size_t At = 0; At < m_holdings.size(); ++At) {
    const Holding &Old = m_holdings[At];
    if (Old.m_phase != Phase::Free)
      continue;
    Replacement Made{At, {}};
    for (const KeyPlacement &Each : Placed) {
      std::uint32_t First = std::max(Each.m_first, Old.m_range.m_first);
      std::uint32_t Last = std::min(Each.m_last, Old.m_range.m_last);
      if (First > Last)
        continue;
      const KeyCandidate &Owner = Candidates.find(Each.m_owner)->second;
      Holding New;
      New.m_range = {First,        Last,
                     Each.m_owner, Owner.m_incarnation,
                     nextToken(),  Old.m_range.m_handover};
      Made.m_with.push_back(std::move(New));
    }
    if (Made.m_with.empty())
      continue;
    std::sort(Made.m_with.begin(), Made.m_with.end(),
              [](const Holding &Left, const Holding &Right) {
                return Left.m_range.m_first < Right.m_range.m_first;
              });
    m_replacements.push_back(std::move(Made));
  }
}

std::optional<KeyTable>
KeyCoordinator::planWrite(const KeyCandidates &Candidates, const KeyLoad &Load,
                          Instant) {
  m_replacements.clear();
  placeFree(Candidates, Load);
  for (std::size_t At = 0; At < m_holdings.size(); ++At) {
    const Holding &Old = m_holdings[At];
    if (Old.m_phase != Phase::Held || !Old.m_raise)
      continue;
    auto Owner = Candidates.find(Old.m_range.m_owner);
    Holding New = Old;
    New.m_raise = false;
    New.m_confirmed = false;
    New.m_order = CommandId();
    New.m_range.m_token = nextToken();
    New.m_range.m_handover.clear();
    New.m_lastSent = Instant();
    if (Owner != Candidates.end())
      New.m_range.m_incarnation = Owner->second.m_incarnation;
    m_replacements.push_back({At, {std::move(New)}});
  }
  if (m_replacements.empty())
    return std::nullopt;
  planMerges();
  KeyTable Table;
  Table.m_service = m_service;
  Table.m_version = m_version + 1;
  for (std::size_t At = 0; At < m_holdings.size(); ++At) {
    auto Found = std::find_if(
        m_replacements.begin(), m_replacements.end(),
        [At](const Replacement &Each) { return Each.m_index == At; });
    if (Found == m_replacements.end()) {
      Table.m_ranges.push_back(m_holdings[At].m_range);
      if (m_holdings[At].m_phase == Phase::Free)
        Table.m_ranges.back().m_owner = UpstreamId();
    } else {
      for (const Holding &Each : Found->m_with)
        Table.m_ranges.push_back(Each.m_range);
    }
  }
  Table.m_lastToken = m_lastToken;
  return Table;
}

void KeyCoordinator::planMerges() {
  auto Quiet = [this](std::size_t At) {
    const Holding &Each = m_holdings[At];
    return Each.m_phase == Phase::Held && Each.m_confirmed && !Each.m_raise &&
           !Each.m_moveWanted && Each.m_order.value() == 0;
  };
  std::size_t Merges = 0;
  for (std::size_t At = 0;
       At + 1 < m_holdings.size() && Merges < MergesPerWrite; ++At) {
    const KeyRange &Left = m_holdings[At].m_range;
    const KeyRange &Right = m_holdings[At + 1].m_range;
    if (!Quiet(At) || !Quiet(At + 1) || Left.m_owner != Right.m_owner ||
        Left.m_incarnation != Right.m_incarnation)
      continue;
    // A grant with a new token holds both; it can be sent on any connection.
    Holding Joined = m_holdings[At];
    Joined.m_range.m_last = Right.m_last;
    Joined.m_range.m_token = nextToken();
    Joined.m_confirmed = false;
    Joined.m_lastSent = Instant();
    Joined.m_heldUntil =
        std::max(Joined.m_heldUntil, m_holdings[At + 1].m_heldUntil);
    Joined.m_doubtUntil =
        std::max(Joined.m_doubtUntil, m_holdings[At + 1].m_doubtUntil);
    m_replacements.push_back({At, {std::move(Joined)}});
    m_replacements.push_back({At + 1, {}});
    ++Merges;
    ++At;
  }
}

void KeyCoordinator::onWritten(Instant Now) {
  if (!m_writing)
    return;
  m_writing = false;
  ++m_version;
  std::vector<Holding> Next;
  for (std::size_t At = 0; At < m_holdings.size(); ++At) {
    auto Found = std::find_if(
        m_replacements.begin(), m_replacements.end(),
        [At](const Replacement &Each) { return Each.m_index == At; });
    if (Found == m_replacements.end())
      Next.push_back(std::move(m_holdings[At]));
    else
      for (Holding &Each : Found->m_with) {
        Each.m_since = Now;
        Next.push_back(std::move(Each));
      }
  }
  m_holdings = std::move(Next);
  m_replacements.clear();
  changed();
}

KeyTable KeyCoordinator::view() const {
  KeyTable Table;
  Table.m_service = m_service;
  Table.m_version = m_version;
  Table.m_lastToken = m_lastToken;
  for (const Holding &Each : m_holdings) {
    Table.m_ranges.push_back(Each.m_range);
    KeyRange &Range = Table.m_ranges.back();
    // Other hosts need no more than the owner.
    Range.m_handover.clear();
    Range.m_incarnation = UpstreamIncarnation();
    Range.m_token = FencingToken();
    if (!Each.m_serving)
      Range.m_owner = UpstreamId();
  }
  mergeRanges(Table.m_ranges);
  return Table;
}

bool KeyCoordinator::settled() const {
  return std::all_of(m_holdings.begin(), m_holdings.end(),
                     [](const Holding &Each) {
                       return Each.m_phase == Phase::Held && Each.m_confirmed;
                     });
}

} // namespace burdockpulley
