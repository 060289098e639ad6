#include "burdockpulley/key_coordinator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdockpulley {

namespace {

/// Increase of the last token after an upstream has refused a grant because it
/// has seen a higher token.
constexpr std::uint64_t SupersededTokenStep = 64;
/// Ranges that may be moved at the same time, for each candidate.
constexpr double MovingRangesPerCandidate = 0.4;
/// Ranges that may always be moved at the same time, however few candidates
/// there are.
constexpr std::size_t MinMovingRanges = 3;
/// Ranges that may be moved at the same time, however many candidates there
/// are. Their first grants have to be sent within Settings::m_firstGrantWindow.
/// On a fifth of a core a coordinator was late with 646 of them, not with 200.
constexpr std::size_t MaxMovingRanges = 200;
/// Pairs of ranges that are merged with one write.
constexpr std::size_t MergesPerWrite = 4;
/// Ranges are not split any further when there are more than this for each
/// candidate, since each range is renewed by its own call.
constexpr std::size_t MaxRangesPerCandidate = 4;
/// With more ranges than this, newcomers get their keys in one part. Each range
/// is renewed by its own call, and one coordinator sends them all.
constexpr std::size_t ManyRanges = 1000;

} // namespace

const char *toString(GrantOutcome Outcome) {
  switch (Outcome) {
  case GrantOutcome::Granted:
    return "granted";
  case GrantOutcome::Superseded:
    return "superseded";
  case GrantOutcome::NotSent:
    return "not-sent";
  case GrantOutcome::Dropped:
    return "dropped";
  case GrantOutcome::Unanswered:
    return "unanswered";
  case GrantOutcome::Misdirected:
    return "misdirected";
  }
  return "unknown";
}

const char *toString(FreeReason Reason) {
  switch (Reason) {
  case FreeReason::Released:
    return "released";
  case FreeReason::Expired:
    return "expired";
  case FreeReason::ProcessEnded:
    return "process-ended";
  case FreeReason::Unreached:
    return "unreached";
  }
  return "unknown";
}

KeyCoordinator::KeyCoordinator(ServiceId Service, Settings CoordinatorSettings)
    : m_service(std::move(Service)), m_settings(CoordinatorSettings) {}

FencingToken KeyCoordinator::nextToken() {
  m_lastToken = FencingToken(m_lastToken.value() + 1);
  return m_lastToken;
}

void KeyCoordinator::takeOver(const std::optional<KeyTable> &Stored,
                              Instant Now) {
  m_rangeStates.clear();
  m_replacements.clear();
  m_writing = false;
  incrementStep();
  if (!Stored) {
    RangeState AllKeys;
    AllKeys.m_range.m_last = ShardKeyCount - 1;
    AllKeys.m_phase = Phase::Free;
    m_rangeStates.push_back(AllKeys);
    return;
  }
  m_version = Stored->m_version;
  m_lastToken = Stored->m_lastToken;
  for (const KeyRange &Range : Stored->m_ranges) {
    RangeState State;
    State.m_range = Range;
    if (Range.m_owner.value().empty()) {
      State.m_phase = Phase::Free;
    } else if (Range.m_owner.value() == UnknownOwner) {
      distrust(State, earlierGrantsEnd(Now));
    } else {
      State.m_needsHigherToken = true;
      // Assume that the owner has confirmed the token to the predecessor.
      State.m_confirmed = true;
      State.m_serving = true;
      State.m_latestExpiry = earlierGrantsEnd(Now);
      State.m_uncertainUntil = State.m_latestExpiry;
    }
    m_rangeStates.push_back(std::move(State));
  }
}

Duration KeyCoordinator::maxHold(Duration GrantDuration) const {
  return Duration(static_cast<std::int64_t>(
      std::ceil(static_cast<double>(GrantDuration.count()) /
                (1 - m_settings.m_clockSlack))));
}

Instant KeyCoordinator::earlierGrantsEnd(Instant Now) const {
  return Now + m_settings.m_predecessorTime +
         m_settings.m_predecessorDeliveryTime +
         maxHold(m_settings.m_longGrantDuration);
}

Instant KeyCoordinator::grantEnd(GrantOutcome Outcome, Duration GrantDuration,
                                 Instant Now) const {
  switch (Outcome) {
  case GrantOutcome::Granted:
    return Now + maxHold(GrantDuration);
  case GrantOutcome::Unanswered:
  case GrantOutcome::Misdirected:
    return Now + m_settings.m_networkTime + maxHold(GrantDuration);
  case GrantOutcome::Superseded:
  case GrantOutcome::NotSent:
  case GrantOutcome::Dropped:
    break;
  }
  return Instant();
}

void KeyCoordinator::onUncertainGrant(RangeState &State, Duration GrantDuration,
                                      Instant Now) const {
  State.m_latestExpiry =
      std::max(State.m_latestExpiry,
               grantEnd(GrantOutcome::Unanswered, GrantDuration, Now));
  State.m_uncertainUntil =
      std::max(State.m_uncertainUntil, State.m_latestExpiry);
}

void KeyCoordinator::startEra(StoreEra Era) {
  // Far more than the tokens and versions of one era.
  constexpr int EraBits = 32;
  auto First = static_cast<std::uint64_t>(Era.value()) << EraBits;
  m_lastToken = std::max(m_lastToken, FencingToken(First));
  m_version = std::max(m_version, First);
}

void KeyCoordinator::takeOverRestored(const std::optional<KeyTable> &Stored,
                                      StoreEra Era, Instant Restored) {
  takeOver(Stored, Restored);
  startEra(Era);
  m_earlierGrantsUntil = earlierGrantsEnd(Restored);
  for (RangeState &State : m_rangeStates) {
    distrust(State, m_earlierGrantsUntil);
    State.m_serving = false;
  }
}

void KeyCoordinator::distrust(RangeState &State, Instant Until) {
  // Whoever holds the keys is not sent anything, and keeps them for as long as
  // its grants last.
  State.m_trust = Trust::Unknown;
  State.m_phase = Phase::Releasing;
  State.m_released = State.m_moveWanted = true;
  State.m_moveTarget = UpstreamId();
  State.m_confirmed = State.m_needsHigherToken = false;
  State.m_latestExpiry = State.m_uncertainUntil =
      std::max(State.m_latestExpiry, Until);
  State.m_range.m_handover.clear();
}

void KeyCoordinator::resume(StoreEra Era, Instant Restored,
                            Instant VerifyUntil) {
  startEra(Era);
  m_replacements.clear();
  m_writing = false;
  m_verifyUntil = VerifyUntil;
  incrementStep();
  // This host's own grants under way were sent before its lease ended, so they
  // have run out by then as well.
  Instant EarlierGrantsEnd = earlierGrantsEnd(Restored);
  for (RangeState &State : m_rangeStates) {
    State.m_commandInFlight = CommandId();
    State.m_earlierGrants.clear();
    // Of a token that is to be replaced, it is not certain that this host wrote
    // it in the era of its lease, or that its connection still exists.
    bool Verifiable = State.m_phase != Phase::Free &&
                      State.m_trust == Trust::Known && State.m_confirmed &&
                      !State.m_needsHigherToken;
    if (!Verifiable) {
      distrust(State, EarlierGrantsEnd);
      continue;
    }
    // A release that has begun is begun again with the higher token.
    State.m_trust = Trust::Verifying;
    State.m_phase = Phase::Held;
    State.m_released = false;
    State.m_needsHigherToken = true;
    State.m_lastSentAt = Instant();
    // A replaced coordinator may still grant the owner its own keys.
    State.m_latestExpiry = State.m_uncertainUntil =
        std::max(State.m_latestExpiry, EarlierGrantsEnd);
  }
}

bool KeyCoordinator::verifying() const {
  return std::any_of(m_rangeStates.begin(), m_rangeStates.end(),
                     [](const RangeState &State) {
                       return State.m_trust == Trust::Verifying;
                     });
}

KeyCoordinator::Commands KeyCoordinator::tick(const KeyCandidates &Candidates,
                                              const KeyLoad &Load,
                                              const OwnerRates &Rates,
                                              bool StoreReachable,
                                              Instant Now) {
  Commands NewCommands;
  for (RangeState &State : m_rangeStates)
    advancePhase(State, Candidates, Now);
  // A table that names an owner as such allows a successor to grant it its
  // keys.
  if (StoreReachable && !m_writing && !verifying()) {
    if (Now - m_lastPlannedAt >= m_settings.m_planInterval) {
      m_lastPlannedAt = Now;
      mergeRangeStates();
      planRebalance(Candidates, Load, Rates, Now);
    }
    NewCommands.m_write = planWrite(Candidates, Load, Now);
    m_writing = NewCommands.m_write.has_value();
  }
  for (RangeState &State : m_rangeStates)
    issueCommand(State, StoreReachable, NewCommands, Now);
  NewCommands.m_freed = std::exchange(m_freed, {});
  return NewCommands;
}

void KeyCoordinator::makeFree(RangeState &State, FreeReason Reason) {
  m_freed.push_back({State.m_range, Reason, State.m_latestExpiry});
  State.m_phase = Phase::Free;
  State.m_trust = Trust::Known;
  State.m_needsHigherToken = false;
  State.m_confirmed = false;
  State.m_released = false;
  State.m_moveWanted = false;
  State.m_commandInFlight = CommandId();
  State.m_earlierGrants.clear();
  State.m_latestExpiry = State.m_uncertainUntil = Instant();
  if (State.m_serving)
    incrementStep();
  State.m_serving = false;
}

void KeyCoordinator::startRelease(RangeState &State, Instant Now) {
  if (State.anythingInFlight())
    return; // The outcome of the commands in flight must be known first.
  if (State.m_latestExpiry == Instant())
    return makeFree(State, FreeReason::Unreached);
  // A grant without a response could take effect after the release. Once the
  // owner has confirmed a higher token, it refuses such a grant. An owner that
  // does not confirm the higher token gets no further grants, so all that it
  // may hold expires.
  if (State.m_uncertainUntil > Now && State.m_confirmed)
    State.m_needsHigherToken = true;
  bool WritePending = State.m_needsHigherToken && State.m_confirmed;
  bool FirstGrantPending = !State.m_needsHigherToken && !State.m_confirmed &&
                           State.m_lastSentAt == Instant();
  if (WritePending || FirstGrantPending)
    return;
  State.m_phase = Phase::Releasing;
  State.m_needsHigherToken = false;
  State.m_released = false;
  State.m_lastSentAt = Instant();
  if (State.m_serving)
    incrementStep();
  State.m_serving = false;
}

void KeyCoordinator::cancelRelease(RangeState &State,
                                   const KeyCandidate &Owner) {
  // The outcome of earlier grants no longer matters once the owner confirms a
  // higher token, and that is much sooner than those grants expire.
  State.m_phase = Phase::Held;
  State.m_released = false;
  State.m_needsHigherToken = true;
  State.m_confirmed = true;
  // An owner that is not eligible yet, as it is cold, releases the keys
  // afterwards.
  State.m_moveWanted = !Owner.m_eligible;
  State.m_moveTarget = UpstreamId();
}

void KeyCoordinator::advanceUntrusted(RangeState &State, Instant Now) {
  // Not even the end of the owner's process frees the keys: another coordinator
  // may have known of it and have granted them on.
  if (State.m_trust == Trust::Verifying) {
    if (Now >= m_verifyUntil && State.m_commandInFlight.value() == 0)
      distrust(State, State.m_latestExpiry);
    return;
  }
  if (Now >= State.m_latestExpiry)
    makeFree(State, FreeReason::Expired);
}

void KeyCoordinator::advancePhase(RangeState &State,
                                  const KeyCandidates &Candidates,
                                  Instant Now) {
  if (State.m_phase == Phase::Free)
    return;
  if (State.m_trust != Trust::Known)
    return advanceUntrusted(State, Now);
  auto It = Candidates.find(State.m_range.m_owner);
  const KeyCandidate *Owner = It == Candidates.end() ? nullptr : &It->second;
  bool Granted = State.m_latestExpiry != Instant();
  // A release in flight prolongs nothing.
  bool MayHold = State.grantInFlight() || !State.m_earlierGrants.empty();
  bool Expired = Granted && !MayHold && Now >= State.m_latestExpiry;
  bool Unreached = !Granted && !MayHold &&
                   Now - State.m_storedAt > m_settings.m_confirmTimeout;
  // If the owner has started again, its new process may hold the keys.
  bool ProcessEnded = Owner && Owner->m_processEnded &&
                      State.m_range.m_incarnation == Owner->m_incarnation;
  if (ProcessEnded || Expired || Unreached) {
    if (!State.m_released)
      State.m_range.m_handover.clear();
    return makeFree(State, ProcessEnded ? FreeReason::ProcessEnded
                           : Expired    ? FreeReason::Expired
                                        : FreeReason::Unreached);
  }
  if (State.m_phase == Phase::Releasing) {
    bool Returned = Owner && !Owner->m_mustRelease;
    if (State.m_released && Now >= State.m_uncertainUntil)
      makeFree(State, FreeReason::Released);
    else if (Returned && !State.m_moveWanted && Now < State.m_uncertainUntil &&
             State.m_commandInFlight.value() == 0)
      cancelRelease(State, *Owner);
    return;
  }
  // It is not known which incarnation carried out the last grant, so a restart
  // alone does not free the keys.
  bool Restarted = Owner && Owner->m_incarnation > State.m_range.m_incarnation;
  bool FirstGrantPending = !State.m_confirmed && !State.m_needsHigherToken &&
                           !State.anythingInFlight() &&
                           State.m_lastSentAt == Instant();
  if (Restarted && FirstGrantPending) {
    // The stored table has to name the start that gets the grant.
    State.m_needsHigherToken = true;
    return;
  }
  bool MustRelease = !Owner || Owner->m_mustRelease || Restarted;
  if (MustRelease || State.m_moveWanted)
    startRelease(State, Now);
}

Duration KeyCoordinator::renewInterval() const {
  double Seconds =
      static_cast<double>(m_rangeStates.size()) / m_settings.m_maxRenewalRate;
  Duration ForRate(static_cast<std::int64_t>(Seconds * 1e6));
  return std::clamp(
      ForRate, m_settings.m_renewInterval,
      std::max(m_settings.m_renewInterval, m_settings.m_maxRenewInterval));
}

void KeyCoordinator::issueCommand(RangeState &State, bool StoreReachable,
                                  Commands &NewCommands, Instant Now) {
  if (State.m_phase == Phase::Free || State.m_commandInFlight.value() != 0)
    return;
  Duration Elapsed = Now - State.m_lastSentAt;
  if (State.m_phase == Phase::Releasing) {
    if (State.m_released || Elapsed < m_settings.m_retryInterval)
      return;
    State.m_commandInFlight = CommandId(++m_nextCommand);
    State.m_durationInFlight = Duration();
    State.m_lastSentAt = Now;
    NewCommands.m_releases.push_back({State.m_commandInFlight, State.m_range});
    return;
  }
  // A first grant that could not be sent soon after its write is not sent any
  // more: another host may be the coordinator by now, and only another
  // conditional write would show that.
  if (!State.m_confirmed &&
      Now - State.m_writePlannedAt > m_settings.m_firstGrantWindow)
    State.m_needsHigherToken = true;
  bool Verifying = State.m_trust == Trust::Verifying;
  if (Verifying ? Now >= m_verifyUntil : State.m_needsHigherToken)
    return;
  bool NeedsLongGrant =
      !StoreReachable && !State.m_longGrant && State.m_confirmed;
  Duration Interval =
      State.m_confirmed ? renewInterval() : m_settings.m_retryInterval;
  if (Elapsed < Interval && !NeedsLongGrant)
    return;
  Duration GrantDuration = StoreReachable ? m_settings.m_grantDuration
                                          : m_settings.m_longGrantDuration;
  GrantCommand Grant;
  Grant.m_number = State.m_commandInFlight = CommandId(++m_nextCommand);
  Grant.m_range = State.m_range;
  Grant.m_duration = GrantDuration;
  Grant.m_first = !State.m_confirmed;
  if (Verifying)
    Grant.m_sendBefore = m_verifyUntil;
  State.m_longGrant = !StoreReachable;
  State.m_lastSentAt = Now;
  State.m_durationInFlight = GrantDuration;
  NewCommands.m_grants.push_back(std::move(Grant));
}

KeyCoordinator::RangeState *KeyCoordinator::findByCommand(CommandId Id) {
  for (RangeState &State : m_rangeStates)
    if (State.m_commandInFlight == Id)
      return &State;
  return nullptr;
}

void KeyCoordinator::onEarlierGrant(CommandId Id, GrantOutcome Outcome,
                                    Instant Now) {
  for (RangeState &State : m_rangeStates) {
    auto GrantIt = State.m_earlierGrants.find(Id);
    if (GrantIt == State.m_earlierGrants.end())
      continue;
    Instant End = grantEnd(Outcome, GrantIt->second, Now);
    State.m_earlierGrants.erase(GrantIt);
    State.m_latestExpiry = std::max(State.m_latestExpiry, End);
    // Once the owner has confirmed the token of the write, it carries out no
    // grant from before it any more.
    if (Outcome != GrantOutcome::Granted && !State.m_confirmed)
      State.m_uncertainUntil = std::max(State.m_uncertainUntil, End);
  }
}

void KeyCoordinator::onGrant(CommandId Id, GrantOutcome Outcome, Instant Now) {
  RangeState *State = findByCommand(Id);
  if (!State)
    return onEarlierGrant(Id, Outcome, Now);
  if (State->m_phase != Phase::Held)
    return;
  State->m_commandInFlight = CommandId();
  switch (Outcome) {
  case GrantOutcome::Granted:
    State->m_latestExpiry =
        std::max(State->m_latestExpiry,
                 grantEnd(Outcome, State->m_durationInFlight, Now));
    // The owner refuses lower tokens from now on, so earlier grants whose
    // outcome is unknown can no longer take effect.
    if (!State->m_confirmed)
      State->m_uncertainUntil = Instant();
    if (!State->m_serving)
      incrementStep();
    State->m_confirmed = State->m_serving = true;
    State->m_trust = Trust::Known;
    return;
  case GrantOutcome::Unanswered:
  case GrantOutcome::Misdirected:
    onUncertainGrant(*State, State->m_durationInFlight, Now);
    break;
  case GrantOutcome::Superseded:
    m_lastToken = FencingToken(m_lastToken.value() + SupersededTokenStep);
    break;
  case GrantOutcome::NotSent:
    break;
  case GrantOutcome::Dropped:
    // Commands wait because there are too many: the next try comes later.
    State->m_lastSentAt = Now - renewInterval() + m_settings.m_retryInterval;
    if (State->m_confirmed)
      return;
    break;
  }
  if (State->m_trust == Trust::Verifying)
    return distrust(*State, State->m_latestExpiry);
  // A first grant is not repeated under its token either: meanwhile another
  // host may have become coordinator and granted the keys under a higher one,
  // and the owner may have restarted. The conditional write of the next token
  // fails then.
  State->m_needsHigherToken = true;
}

void KeyCoordinator::onRelease(CommandId Id, bool Answered,
                               const std::string &Handover, Instant) {
  RangeState *State = findByCommand(Id);
  if (!State || State->m_phase != Phase::Releasing)
    return;
  State->m_commandInFlight = CommandId();
  if (!Answered)
    return;
  State->m_released = true;
  State->m_range.m_handover = Handover;
}

std::vector<KeyRange> KeyCoordinator::ownedRanges() const {
  std::vector<KeyRange> Owned;
  for (const RangeState &State : m_rangeStates)
    if (State.m_phase != Phase::Free)
      Owned.push_back(State.m_range);
  return Owned;
}

void KeyCoordinator::mergeRangeStates() {
  std::vector<RangeState> Merged;
  for (RangeState &State : m_rangeStates) {
    RangeState *Last = Merged.empty() ? nullptr : &Merged.back();
    bool Mergeable = State.m_phase == Phase::Held && State.m_confirmed &&
                     !State.m_needsHigherToken && !State.m_moveWanted &&
                     !State.anythingInFlight();
    bool LastMergeable = Last && Last->m_phase == Phase::Held &&
                         Last->m_confirmed && !Last->m_needsHigherToken &&
                         !Last->m_moveWanted && !Last->anythingInFlight();
    bool Merges = Mergeable && LastMergeable &&
                  Last->m_range.m_owner == State.m_range.m_owner &&
                  Last->m_range.m_incarnation == State.m_range.m_incarnation &&
                  Last->m_range.m_token == State.m_range.m_token;
    if (!Merges) {
      Merged.push_back(std::move(State));
      continue;
    }
    Last->m_range.m_last = State.m_range.m_last;
    Last->m_latestExpiry = std::max(Last->m_latestExpiry, State.m_latestExpiry);
    Last->m_uncertainUntil =
        std::max(Last->m_uncertainUntil, State.m_uncertainUntil);
    Last->m_lastSentAt = std::min(Last->m_lastSentAt, State.m_lastSentAt);
  }
  m_rangeStates = std::move(Merged);
}

void KeyCoordinator::planRebalance(const KeyCandidates &Candidates,
                                   const KeyLoad &Load, const OwnerRates &Rates,
                                   Instant Now) {
  std::size_t Moving = 0;
  std::vector<KeyRange> Movable;
  for (const RangeState &State : m_rangeStates) {
    bool CanMove = State.m_phase == Phase::Held && State.m_confirmed &&
                   !State.m_needsHigherToken && !State.m_moveWanted &&
                   !State.anythingInFlight() && State.m_uncertainUntil <= Now;
    Moving += State.m_moveWanted || State.m_phase != Phase::Held ? 1 : 0;
    if (CanMove)
      Movable.push_back(State.m_range);
  }
  auto MaxMoving = std::clamp(
      static_cast<std::size_t>(static_cast<double>(Candidates.size()) *
                               MovingRangesPerCandidate),
      MinMovingRanges, MaxMovingRanges);
  bool TooManyRanges =
      m_rangeStates.size() > Candidates.size() * MaxRangesPerCandidate;
  if (Moving >= MaxMoving || TooManyRanges)
    return;
  MoveLimits Limits{MaxMoving - Moving, Rates};
  if (m_rangeStates.size() > ManyRanges)
    Limits.m_newcomerParts = 1;
  for (const KeyPlacement &Move : planMoves(Movable, Candidates, Load, Limits))
    splitForMove(Move);
}

void KeyCoordinator::splitForMove(const KeyPlacement &Move) {
  for (std::size_t Index = 0; Index < m_rangeStates.size(); ++Index) {
    KeyRange Range = m_rangeStates[Index].m_range;
    if (Move.m_first < Range.m_first || Move.m_last > Range.m_last)
      continue;
    std::vector<RangeState> Parts;
    auto AddPart = [&](std::uint32_t First, std::uint32_t Last) {
      Parts.push_back(m_rangeStates[Index]);
      Parts.back().m_range.m_first = First;
      Parts.back().m_range.m_last = Last;
    };
    if (Move.m_first > Range.m_first)
      AddPart(Range.m_first, Move.m_first - 1);
    AddPart(Move.m_first, Move.m_last);
    Parts.back().m_moveWanted = true;
    Parts.back().m_moveTarget = Move.m_owner;
    if (Move.m_last < Range.m_last)
      AddPart(Move.m_last + 1, Range.m_last);
    auto Position = m_rangeStates.begin() + static_cast<std::ptrdiff_t>(Index);
    Position = m_rangeStates.erase(Position);
    m_rangeStates.insert(Position, Parts.begin(), Parts.end());
    return;
  }
}

void KeyCoordinator::placeFree(const KeyCandidates &Candidates,
                               const KeyLoad &Load) {
  std::vector<KeyRange> Free;
  std::vector<KeyPlacement> Placements;
  for (const RangeState &State : m_rangeStates) {
    if (State.m_phase != Phase::Free)
      continue;
    auto Target = Candidates.find(State.m_moveTarget);
    if (Target != Candidates.end() && Target->second.m_eligible)
      Placements.push_back(
          {State.m_range.m_first, State.m_range.m_last, State.m_moveTarget});
    else
      Free.push_back(State.m_range);
  }
  if (!Free.empty())
    for (const KeyPlacement &Placement :
         placeFreeKeys(Free, ownedRanges(), Candidates, Load))
      Placements.push_back(Placement);
  for (std::size_t Index = 0; Index < m_rangeStates.size(); ++Index) {
    const RangeState &Current = m_rangeStates[Index];
    if (Current.m_phase != Phase::Free)
      continue;
    Replacement Substitute{Index, {}};
    for (const KeyPlacement &Placement : Placements) {
      std::uint32_t First =
          std::max(Placement.m_first, Current.m_range.m_first);
      std::uint32_t Last = std::min(Placement.m_last, Current.m_range.m_last);
      if (First > Last)
        continue;
      const KeyCandidate &Owner = Candidates.find(Placement.m_owner)->second;
      RangeState New;
      New.m_range = {First,
                     Last,
                     Placement.m_owner,
                     Owner.m_incarnation,
                     nextToken(),
                     Current.m_range.m_handover};
      Substitute.m_newStates.push_back(std::move(New));
    }
    if (Substitute.m_newStates.empty())
      continue;
    std::sort(Substitute.m_newStates.begin(), Substitute.m_newStates.end(),
              [](const RangeState &Left, const RangeState &Right) {
                return Left.m_range.m_first < Right.m_range.m_first;
              });
    m_replacements.push_back(std::move(Substitute));
  }
}

std::optional<KeyTable>
KeyCoordinator::planWrite(const KeyCandidates &Candidates, const KeyLoad &Load,
                          Instant Now) {
  m_writePlannedAt = Now;
  m_replacements.clear();
  placeFree(Candidates, Load);
  for (std::size_t Index = 0; Index < m_rangeStates.size(); ++Index) {
    const RangeState &Current = m_rangeStates[Index];
    if (Current.m_phase != Phase::Held || !Current.m_needsHigherToken)
      continue;
    auto Owner = Candidates.find(Current.m_range.m_owner);
    RangeState Raised = Current;
    Raised.m_needsHigherToken = false;
    Raised.m_confirmed = false;
    Raised.m_commandInFlight = CommandId();
    Raised.m_range.m_token = nextToken();
    Raised.m_range.m_handover.clear();
    Raised.m_lastSentAt = Instant();
    // A predecessor may have known of a later start than this host does.
    if (Owner != Candidates.end())
      Raised.m_range.m_incarnation =
          std::max(Raised.m_range.m_incarnation, Owner->second.m_incarnation);
    m_replacements.push_back({Index, {std::move(Raised)}});
  }
  if (m_replacements.empty())
    return std::nullopt;
  planMerges();
  KeyTable Table;
  Table.m_service = m_service;
  Table.m_version = m_version + 1;
  for (std::size_t Index = 0; Index < m_rangeStates.size(); ++Index) {
    auto It = std::find_if(m_replacements.begin(), m_replacements.end(),
                           [Index](const Replacement &Substitute) {
                             return Substitute.m_index == Index;
                           });
    if (It == m_replacements.end()) {
      Table.m_ranges.push_back(m_rangeStates[Index].m_range);
      if (m_rangeStates[Index].m_phase == Phase::Free)
        Table.m_ranges.back().m_owner = UpstreamId();
      else if (m_rangeStates[Index].m_trust == Trust::Unknown)
        Table.m_ranges.back().m_owner = UpstreamId(UnknownOwner);
    } else {
      for (const RangeState &State : It->m_newStates)
        Table.m_ranges.push_back(State.m_range);
    }
  }
  Table.m_lastToken = m_lastToken;
  return Table;
}

void KeyCoordinator::planMerges() {
  auto Mergeable = [this](std::size_t Index) {
    const RangeState &State = m_rangeStates[Index];
    return State.m_phase == Phase::Held && State.m_confirmed &&
           !State.m_needsHigherToken && !State.m_moveWanted &&
           !State.anythingInFlight();
  };
  std::size_t Merges = 0;
  for (std::size_t Index = 0;
       Index + 1 < m_rangeStates.size() && Merges < MergesPerWrite; ++Index) {
    const KeyRange &Left = m_rangeStates[Index].m_range;
    const KeyRange &Right = m_rangeStates[Index + 1].m_range;
    if (!Mergeable(Index) || !Mergeable(Index + 1) ||
        Left.m_owner != Right.m_owner ||
        Left.m_incarnation != Right.m_incarnation)
      continue;
    // One grant under a new token covers both ranges, and as a first grant it
    // can be sent over any connection.
    RangeState Merged = m_rangeStates[Index];
    Merged.m_range.m_last = Right.m_last;
    Merged.m_range.m_token = nextToken();
    Merged.m_confirmed = false;
    Merged.m_lastSentAt = Instant();
    Merged.m_latestExpiry = std::max(Merged.m_latestExpiry,
                                     m_rangeStates[Index + 1].m_latestExpiry);
    Merged.m_uncertainUntil = std::max(
        Merged.m_uncertainUntil, m_rangeStates[Index + 1].m_uncertainUntil);
    m_replacements.push_back({Index, {std::move(Merged)}});
    m_replacements.push_back({Index + 1, {}});
    ++Merges;
    ++Index;
  }
}

void KeyCoordinator::onWritten(Instant Now) {
  if (!m_writing)
    return;
  m_writing = false;
  ++m_version;
  std::vector<RangeState> Next;
  for (std::size_t Index = 0; Index < m_rangeStates.size(); ++Index) {
    RangeState &Current = m_rangeStates[Index];
    auto It = std::find_if(m_replacements.begin(), m_replacements.end(),
                           [Index](const Replacement &Substitute) {
                             return Substitute.m_index == Index;
                           });
    if (It == m_replacements.end()) {
      Next.push_back(std::move(Current));
      continue;
    }
    for (RangeState &State : It->m_newStates) {
      State.m_storedAt = Now;
      State.m_writePlannedAt = m_writePlannedAt;
      State.m_earlierGrants.clear(); // Those since the plan are carried over.
      Next.push_back(std::move(State));
    }
    // The write took time, in which grants to the same owner may have been
    // sent. A range that was merged into the one before it has no new state.
    if (Current.m_phase != Phase::Free)
      carryGrants(Current, Next.back());
  }
  m_rangeStates = std::move(Next);
  m_replacements.clear();
  incrementStep();
}

void KeyCoordinator::carryGrants(const RangeState &From, RangeState &To) {
  To.m_latestExpiry = std::max(To.m_latestExpiry, From.m_latestExpiry);
  To.m_uncertainUntil = std::max(To.m_uncertainUntil, From.m_uncertainUntil);
  To.m_earlierGrants.insert(From.m_earlierGrants.begin(),
                            From.m_earlierGrants.end());
  if (From.grantInFlight())
    To.m_earlierGrants.emplace(From.m_commandInFlight, From.m_durationInFlight);
}

KeyTable KeyCoordinator::view() const {
  KeyTable Table;
  Table.m_service = m_service;
  Table.m_version = m_version;
  Table.m_lastToken = m_lastToken;
  for (const RangeState &State : m_rangeStates) {
    Table.m_ranges.push_back(State.m_range);
    KeyRange &Range = Table.m_ranges.back();
    // Other hosts need the owner only.
    Range.m_handover.clear();
    Range.m_incarnation = UpstreamIncarnation();
    Range.m_token = FencingToken();
    if (!State.m_serving)
      Range.m_owner = UpstreamId();
  }
  mergeRanges(Table.m_ranges);
  return Table;
}

bool KeyCoordinator::allConfirmed() const {
  return std::all_of(m_rangeStates.begin(), m_rangeStates.end(),
                     [](const RangeState &State) {
                       return State.m_phase == Phase::Held && State.m_confirmed;
                     });
}

} // namespace burdockpulley
