#include "key_coordinator_model.h"

#include <algorithm>

namespace burdockpulley::model {

namespace {

/// Distance between two sampled keys.
constexpr std::uint32_t SampleInterval = 2048;
constexpr std::uint32_t FirstSample = 1000;
constexpr Duration StepTime{10'000};
constexpr Duration GrantTimeout{400'000};
constexpr Duration ReleaseTimeout{2'000'000};
/// Time for which a host that has lost the coordinator lease may still act as
/// coordinator, before it learns of the loss.
constexpr Duration CoordinatorLease{2'000'000};
constexpr double SlowClockFactor = 1 / 0.98;
constexpr Duration MisdirectedTime{5'000'000};
/// Copies of the store that are kept, about 20 a second.
constexpr std::size_t MaxCopies = 60;
/// Longest time that a grant waits for earlier commands before it is sent.
constexpr Duration MaxCommandWait{100'000};
constexpr Duration MaxWriteResponseTime{1'500'000};
constexpr Duration MaxElectionTime{2'000'000};
/// Longest time that packets of a reset connection stay in the network.
constexpr Duration MaxNetworkTime{300'000};

template <class Visitor>
void forSampledKeys(const KeyRange &Range, Visitor Visit) {
  for (std::uint32_t Key = FirstSample; Key < ShardKeyCount;
       Key += SampleInterval)
    if (Key >= Range.m_first && Key <= Range.m_last)
      Visit(Key);
}

} // namespace

std::size_t CoordinatorModel::sampledKeyCount() {
  return (ShardKeyCount - FirstSample + SampleInterval - 1) / SampleInterval;
}

CoordinatorModel::CoordinatorModel(std::uint64_t Seed, RareFaults Rare)
    : m_random(Seed), m_rare(Rare) {
  for (int Index = 0; Index < 5; ++Index) {
    ModelUpstream Upstream;
    Upstream.m_id = UpstreamId("u" + std::to_string(Index));
    m_upstreams[Upstream.m_id] = Upstream;
  }
  electCoordinator();
}

void CoordinatorModel::stopFaults() {
  m_faultsStopped = true;
  for (auto &[Id, Upstream] : m_upstreams) {
    Upstream.m_draining = false;
    Upstream.m_unreachableUntil = Instant();
    Upstream.showInRegistry();
  }
}

bool CoordinatorModel::chance(double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(m_random) < Probability;
}

Duration CoordinatorModel::randomDuration(Duration Min, Duration Max) {
  return Duration(std::uniform_int_distribution<std::int64_t>(
      Min.count(), Max.count())(m_random));
}

void CoordinatorModel::schedule(Duration After, std::function<void()> Run) {
  m_events.push_back({m_now + After, std::move(Run)});
}

void CoordinatorModel::electCoordinator() {
  for (Coordinator &Previous : m_coordinators)
    if (Previous.m_active && Previous.m_epoch == m_epoch)
      // It may not learn of the election before then.
      Previous.m_activeUntil = m_now + CoordinatorLease;
  Coordinator Next;
  Next.m_epoch = ++m_epoch;
  Next.m_active = true;
  Next.m_activeUntil = Instant::max();
  Next.m_keys = std::make_unique<KeyCoordinator>(ServiceId("herd"),
                                                 KeyCoordinator::Settings());
  Next.m_era = m_era;
  bool Older = m_table ? m_table->m_era.value() < m_era : m_era > 1;
  if (Older)
    Next.m_keys->takeOverRestored(m_table, StoreEra(m_era), m_restoredAt);
  else
    Next.m_keys->takeOver(m_table, m_now);
  m_restoring = false;
  Next.m_tableVersion = m_tableVersion;
  m_coordinators.push_back(std::move(Next));
}

void CoordinatorModel::restoreStore() {
  m_restoring = true;
  m_restoredAt = m_now;
  ++m_era;
  ++m_epoch; // The record of the coordinator has gone.
  std::size_t Index = m_random() % m_copies.size();
  std::tie(m_table, m_tableVersion) = m_copies[Index];
  std::optional<std::size_t> Former;
  for (std::size_t Number = 0; Number < m_coordinators.size(); ++Number) {
    Coordinator &Previous = m_coordinators[Number];
    if (Previous.m_active && Previous.m_epoch + 1 == m_epoch) {
      Previous.m_activeUntil = m_now + CoordinatorLease;
      if (Previous.m_era + 1 == m_era && (!Former || chance(0.5)))
        Former = Number;
    } else if (m_rare.m_replacedNoticesRestore && Previous.m_active &&
               m_now < Previous.m_activeUntil && Previous.m_era + 1 == m_era &&
               !Former) {
      Former = Number;
    }
  }
  std::int64_t Era = m_era;
  if (Former && chance(0.7)) {
    // It notices the restore and is elected again.
    schedule(randomDuration(Duration(20'000), Duration(1'800'000)),
             [this, Era, Number = *Former] {
               Coordinator &Noticing = m_coordinators[Number];
               if (!m_restoring || m_era != Era)
                 return;
               if (m_rare.m_replacedNoticesRestore && !Noticing.m_active)
                 return electCoordinator();
               Noticing.m_active = false;
               if (!m_rare.m_lateElectionAfterRestore)
                 return resumeCoordinator(Number);
               schedule(randomDuration(Duration(), MaxElectionTime),
                        [this, Era, Number] {
                          if (m_restoring && m_era == Era)
                            resumeCoordinator(Number);
                        });
             });
    return;
  }
  schedule(CoordinatorLease + randomDuration(Duration(), Duration(2'000'000)),
           [this, Era] {
             if (!m_restoring || m_era != Era)
               return;
             electCoordinator();
           });
}

void CoordinatorModel::resumeCoordinator(std::size_t Interrupted) {
  Coordinator &Noticing = m_coordinators[Interrupted];
  m_restoring = false;
  Coordinator Next;
  Next.m_epoch = ++m_epoch;
  Next.m_era = m_era;
  Next.m_active = true;
  Next.m_activeUntil = Instant::max();
  Next.m_keys = std::make_unique<KeyCoordinator>(*Noticing.m_keys);
  Next.m_keys->resume(StoreEra(m_era), m_restoredAt, Noticing.m_activeUntil);
  Next.m_tableVersion = m_tableVersion;
  Next.m_connections = Noticing.m_connections;
  Next.m_connectionOfToken = Noticing.m_connectionOfToken;
  Next.m_lastConnection = Noticing.m_lastConnection;
  Next.m_misdirectedAt = Noticing.m_misdirectedAt;
  Next.m_ended = Noticing.m_ended;
  m_coordinators.push_back(std::move(Next));
}

void CoordinatorModel::injectFaults() {
  if (m_faultsStopped)
    return;
  if (!m_restoring && chance(0.002))
    electCoordinator();
  if (chance(0.05))
    m_copies.emplace_back(m_table, m_tableVersion);
  if (m_copies.size() > MaxCopies)
    m_copies.erase(m_copies.begin());
  if (!m_copies.empty() && chance(0.0015))
    restoreStore();
  for (auto &[Id, Upstream] : m_upstreams) {
    if (chance(0.001)) { // It restarts.
      Upstream.m_incarnation =
          UpstreamIncarnation(Upstream.m_incarnation.value() + 1);
      Upstream.m_keys.clear();
      Upstream.m_address += chance(0.3) ? 1 : 0;
      Upstream.m_incarnationKnownAt =
          m_now + randomDuration(Duration(100'000), Duration(1'700'000));
    }
    if (chance(0.001))
      Upstream.m_unreachableUntil =
          m_now + randomDuration(Duration(500'000), Duration(6'000'000));
    if (chance(0.001))
      Upstream.m_draining = !Upstream.m_draining;
    if (m_now >= Upstream.m_incarnationKnownAt)
      Upstream.showInRegistry();
  }
  if (chance(0.05))
    m_load.add(ShardKey(static_cast<std::uint32_t>(m_random() % ShardKeyCount)),
               static_cast<double>(m_random() % 200));
}

KeyCandidates CoordinatorModel::candidates(const Coordinator &For) const {
  KeyCandidates Candidates;
  for (const auto &[Id, Upstream] : m_upstreams) {
    KeyCandidate Candidate;
    Candidate.m_id = Id;
    Candidate.m_incarnation = Upstream.m_knownIncarnation;
    Candidate.m_capacity = 4;
    auto It = For.m_misdirectedAt.find({Id, Upstream.m_knownIncarnation});
    bool Misdirected =
        It != For.m_misdirectedAt.end() && m_now - It->second < MisdirectedTime;
    Candidate.m_mustRelease = Upstream.m_draining || Misdirected;
    Candidate.m_processEnded =
        For.m_ended.count({Id, Upstream.m_knownIncarnation}) != 0;
    Candidate.m_eligible = !Candidate.m_mustRelease;
    Candidates[Id] = Candidate;
  }
  return Candidates;
}

GrantOutcome CoordinatorModel::applyGrant(ModelUpstream &Upstream,
                                          UpstreamIncarnation Incarnation,
                                          const GrantCommand &Grant,
                                          Instant Arrived) {
  if (Upstream.m_incarnation != Incarnation)
    return GrantOutcome::Unanswered; // That process has ended.
  FencingToken Token = Grant.m_range.m_token;
  bool Refused = false;
  forSampledKeys(Grant.m_range, [&](std::uint32_t Key) {
    Refused |= Upstream.m_keys[Key].m_highestSeen > Token;
  });
  if (Refused)
    return GrantOutcome::Superseded;
  Duration HoldTime(
      static_cast<std::int64_t>(static_cast<double>(Grant.m_duration.count()) *
                                (chance(0.5) ? SlowClockFactor : 1.0)));
  forSampledKeys(Grant.m_range, [&](std::uint32_t Key) {
    ModelUpstream::HeldKey &Held = Upstream.m_keys[Key];
    Held.m_token = Held.m_highestSeen = Token;
    // A shorter grant does not shorten an earlier one.
    Held.m_heldUntil = std::max(Held.m_heldUntil, Arrived + HoldTime);
    if (Held.m_heldUntil <= m_now)
      return;
    for (const auto &[Holder, Highest] : m_highestTokens[Key])
      if (Holder != std::make_pair(Upstream.m_id, Incarnation) &&
          Highest >= Token)
        m_violation = "key " + std::to_string(Key) + " granted to " +
                      Upstream.m_id.value() + " with token " +
                      std::to_string(Token.value()) + ", but " +
                      Holder.first.value() + " held it with " +
                      std::to_string(Highest.value());
    m_highestTokens[Key][{Upstream.m_id, Incarnation}] = Token;
  });
  return GrantOutcome::Granted;
}

void CoordinatorModel::sendToFormerAddress(
    std::size_t CoordinatorIndex, const GrantCommand &Grant, Duration Delay,
    const std::function<void(GrantOutcome)> &Report) {
  if (chance(0.5)) // Nobody has the address.
    return schedule(Duration(200'000),
                    [Report] { Report(GrantOutcome::NotSent); });
  schedule(Delay,
           [this, CoordinatorIndex, Grant, Report,
            Ended = m_upstreams[Grant.m_range.m_owner].m_knownIncarnation] {
             Coordinator &Informed = m_coordinators[CoordinatorIndex];
             Informed.m_misdirectedAt[{Grant.m_range.m_owner, Ended}] = m_now;
             Informed.m_ended.insert({Grant.m_range.m_owner, Ended});
             Report(GrantOutcome::Misdirected);
           });
}

void CoordinatorModel::sendGrant(std::size_t CoordinatorIndex,
                                 const GrantCommand &Grant) {
  Coordinator &Sender = m_coordinators[CoordinatorIndex];
  ModelUpstream &Upstream = m_upstreams[Grant.m_range.m_owner];
  auto Report = [this, CoordinatorIndex,
                 Id = Grant.m_number](GrantOutcome Outcome) {
    if (m_coordinators[CoordinatorIndex].m_active)
      m_coordinators[CoordinatorIndex].m_keys->onGrant(Id, Outcome, m_now);
  };
  auto Connection = Sender.m_connections.find(Upstream.m_id);
  bool Connected = Connection != Sender.m_connections.end() &&
                   Connection->second.m_incarnation == Upstream.m_incarnation;
  bool SameConnection =
      Connected && Sender.m_connectionOfToken[Grant.m_range.m_token] ==
                       Connection->second.m_number;
  if (!Grant.m_first && !SameConnection)
    return Report(GrantOutcome::NotSent);
  if (m_now < Upstream.m_unreachableUntil) {
    Sender.m_connections.erase(Upstream.m_id);
    return schedule(Duration(200'000),
                    [Report] { Report(GrantOutcome::NotSent); });
  }
  if (!Connected)
    Sender.m_connections[Upstream.m_id] = {Upstream.m_incarnation,
                                           ++Sender.m_lastConnection};
  if (Grant.m_first)
    Sender.m_connectionOfToken[Grant.m_range.m_token] =
        Sender.m_connections[Upstream.m_id].m_number;
  Duration Delay = randomDuration(Duration(1'000), Duration(15'000));
  if (Upstream.m_knownAddress != Upstream.m_address)
    return sendToFormerAddress(CoordinatorIndex, Grant, Delay, Report);
  if (!m_faultsStopped && chance(0.02)) // A path leads to another upstream.
    return schedule(Delay, [this, CoordinatorIndex, Grant, Report] {
      m_coordinators[CoordinatorIndex].m_misdirectedAt[{
          Grant.m_range.m_owner, Grant.m_range.m_incarnation}] = m_now;
      Report(GrantOutcome::Misdirected);
    });
  if (!m_faultsStopped && chance(0.05)) { // Earlier commands take long.
    if (chance(0.5))
      return schedule(MaxCommandWait,
                      [Report] { Report(GrantOutcome::Dropped); });
    Delay += randomDuration(Duration(), MaxCommandWait);
  }
  bool Late = !m_faultsStopped && chance(0.08);
  bool Unanswered = Late || (!m_faultsStopped && chance(0.05));
  // Time that the command may still take after it has arrived.
  Duration TimeLeft = GrantTimeout;
  if (!m_faultsStopped && chance(0.05)) { // Its packets are sent again.
    Duration Travel = randomDuration(Duration(), GrantTimeout);
    Delay += Travel;
    TimeLeft -= Travel;
    Unanswered |= Delay > TimeLeft;
  }
  if (m_rare.m_packetsAfterReset && !m_faultsStopped && chance(0.05)) {
    Sender.m_connections.erase(Upstream.m_id);
    schedule(GrantTimeout, [Report] { Report(GrantOutcome::Unanswered); });
    return schedule(
        GrantTimeout + randomDuration(Duration(), MaxNetworkTime),
        [this, &Upstream, Incarnation = Upstream.m_incarnation, Grant] {
          applyGrant(Upstream, Incarnation, Grant, m_now);
        });
  }
  schedule(Delay, [this, &Upstream, Incarnation = Upstream.m_incarnation, Grant,
                   Report, Late, Unanswered, CoordinatorIndex, Delay,
                   TimeLeft] {
    Instant Arrived = m_now;
    auto Apply = [this, &Upstream, Incarnation, Grant, Arrived] {
      return applyGrant(Upstream, Incarnation, Grant, Arrived);
    };
    if (Late)
      schedule(randomDuration(Duration(2'000'000), Duration(12'000'000)),
               [Apply] { Apply(); });
    else if (GrantOutcome Outcome = Apply(); !Unanswered)
      return schedule(Delay, [Report, Outcome] { Report(Outcome); });
    m_coordinators[CoordinatorIndex].m_connections.erase(Upstream.m_id);
    schedule(TimeLeft, [Report] { Report(GrantOutcome::Unanswered); });
  });
}

void CoordinatorModel::sendRelease(std::size_t CoordinatorIndex,
                                   const ReleaseCommand &Release) {
  ModelUpstream &Upstream = m_upstreams[Release.m_range.m_owner];
  auto Report = [this, CoordinatorIndex, Id = Release.m_number](bool Answered) {
    if (m_coordinators[CoordinatorIndex].m_active)
      m_coordinators[CoordinatorIndex].m_keys->onRelease(Id, Answered, "h",
                                                         m_now);
  };
  if (m_now < Upstream.m_unreachableUntil ||
      Upstream.m_knownAddress != Upstream.m_address)
    return schedule(Duration(200'000), [Report] { Report(false); });
  bool Unanswered = !m_faultsStopped && chance(0.1);
  schedule(randomDuration(Duration(1'000), Duration(15'000)),
           [this, &Upstream, Release, Report, Unanswered] {
             forSampledKeys(Release.m_range, [&](std::uint32_t Key) {
               Upstream.m_keys[Key].m_heldUntil = Instant();
             });
             Duration WorkTime = Unanswered ? ReleaseTimeout
                                            : randomDuration(Duration(1'000),
                                                             Duration(150'000));
             schedule(WorkTime, [Report, Unanswered] { Report(!Unanswered); });
           });
}

void CoordinatorModel::write(std::size_t CoordinatorIndex) {
  m_coordinators[CoordinatorIndex].m_writeInFlight = true;
  schedule(
      randomDuration(Duration(2'000), Duration(60'000)),
      [this, CoordinatorIndex] {
        Coordinator &Writer = m_coordinators[CoordinatorIndex];
        bool ConditionHolds = Writer.m_epoch == m_epoch &&
                              Writer.m_era == m_era &&
                              Writer.m_tableVersion == m_tableVersion;
        bool AlreadyWritten =
            m_table && Writer.m_tableToWrite && Writer.m_era == m_era &&
            Writer.m_epoch == m_epoch &&
            encodeKeyTable(*m_table) == encodeKeyTable(*Writer.m_tableToWrite);
        if (ConditionHolds) {
          m_table = Writer.m_tableToWrite;
          ++m_tableVersion;
        }
        bool ResponseLost = !m_faultsStopped && chance(0.1);
        Duration ResponseTime(4'000);
        if (m_rare.m_lateWriteResponses && !m_faultsStopped && chance(0.05))
          ResponseTime = randomDuration(Duration(), MaxWriteResponseTime);
        schedule(ResponseTime,
                 [this, CoordinatorIndex,
                  Done = ConditionHolds || AlreadyWritten, ResponseLost] {
                   Coordinator &Requester = m_coordinators[CoordinatorIndex];
                   Requester.m_writeInFlight = false;
                   if (!Requester.m_active || ResponseLost)
                     return; // tickCoordinator() tries the same write again.
                   if (!Done) {
                     Requester.m_active = false;
                     return;
                   }
                   Requester.m_tableVersion = m_tableVersion;
                   Requester.m_tableToWrite.reset();
                   Requester.m_keys->onWritten(m_now);
                 });
      });
}

void CoordinatorModel::tickCoordinator(std::size_t CoordinatorIndex) {
  Coordinator &Current = m_coordinators[CoordinatorIndex];
  if (Current.m_active && m_now >= Current.m_activeUntil)
    Current.m_active = false;
  if (!Current.m_active)
    return;
  bool StoreReachable = Current.m_epoch == m_epoch;
  auto Commands = Current.m_keys->tick(candidates(Current), m_load, {},
                                       StoreReachable, m_now);
  if (Commands.m_write) {
    Current.m_tableToWrite = std::move(Commands.m_write);
    Current.m_tableToWrite->m_era = StoreEra(Current.m_era);
  }
  for (const ReleaseCommand &Command : Commands.m_releases)
    sendRelease(CoordinatorIndex, Command);
  for (const GrantCommand &Command : Commands.m_grants)
    sendGrant(CoordinatorIndex, Command);
  if (m_coordinators[CoordinatorIndex].m_tableToWrite &&
      !m_coordinators[CoordinatorIndex].m_writeInFlight)
    write(CoordinatorIndex);
}

std::set<std::uint32_t> CoordinatorModel::heldKeys() const {
  std::set<std::uint32_t> Held;
  for (std::uint32_t Key = FirstSample; Key < ShardKeyCount;
       Key += SampleInterval)
    for (const auto &[Id, Upstream] : m_upstreams) {
      auto It = Upstream.m_keys.find(Key);
      if (It != Upstream.m_keys.end() && It->second.m_heldUntil > m_now)
        Held.insert(Key);
    }
  return Held;
}

void CoordinatorModel::checkHolders() {
  for (std::uint32_t Key = FirstSample; Key < ShardKeyCount;
       Key += SampleInterval) {
    std::string Holders;
    int Count = 0;
    for (const auto &[Id, Upstream] : m_upstreams) {
      auto It = Upstream.m_keys.find(Key);
      if (It == Upstream.m_keys.end() || It->second.m_heldUntil <= m_now)
        continue;
      ++Count;
      Holders +=
          " " + Id.value() + "/" + std::to_string(It->second.m_token.value());
    }
    if (Count > 1)
      m_violation = "key " + std::to_string(Key) + " is held by" + Holders;
  }
}

bool CoordinatorModel::run(int Steps) {
  for (int Count = 0; Count < Steps && m_violation.empty(); ++Count) {
    m_now += StepTime;
    injectFaults();
    std::vector<Event> Due;
    auto FirstDue = std::stable_partition(
        m_events.begin(), m_events.end(),
        [this](const Event &Scheduled) { return Scheduled.m_at > m_now; });
    std::move(FirstDue, m_events.end(), std::back_inserter(Due));
    m_events.erase(FirstDue, m_events.end());
    for (Event &Scheduled : Due)
      Scheduled.m_run();
    if (Count % 2 == 0)
      for (std::size_t Index = 0; Index < m_coordinators.size(); ++Index)
        tickCoordinator(Index);
    checkHolders();
  }
  return m_violation.empty();
}

} // namespace burdockpulley::model
