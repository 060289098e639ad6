#include "key_coordinator_model.h"

#include <algorithm>

namespace burdockpulley::model {

namespace {

constexpr std::uint32_t SampleEvery = 2048;
constexpr std::uint32_t FirstSample = 1000;
constexpr Duration Step{10'000};
constexpr Duration GrantTimeout{400'000};
constexpr Duration ReleaseTimeout{2'000'000};
/// How long a host that has lost the office may go on without knowing.
constexpr Duration OfficeLease{2'000'000};
constexpr double SlowClock = 1.02;

template <class Run> void forSamples(const KeyRange &Range, Run Each) {
  for (std::uint32_t Key = FirstSample; Key < ShardKeyCount; Key += SampleEvery)
    if (Key >= Range.m_first && Key <= Range.m_last)
      Each(Key);
}

} // namespace

std::size_t CoordinatorModel::watchedKeys() {
  return (ShardKeyCount - FirstSample + SampleEvery - 1) / SampleEvery;
}

CoordinatorModel::CoordinatorModel(std::uint64_t Seed) : m_random(Seed) {
  for (int Index = 0; Index < 5; ++Index) {
    ModelUpstream Each;
    Each.m_id = UpstreamId("u" + std::to_string(Index));
    m_upstreams[Each.m_id] = Each;
  }
  elect();
}

void CoordinatorModel::calm() {
  m_calm = true;
  for (auto &[Id, Each] : m_upstreams) {
    Each.m_draining = false;
    Each.m_cutUntil = Instant();
    Each.m_knownIncarnation = Each.m_incarnation;
  }
}

bool CoordinatorModel::chance(double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(m_random) < Probability;
}

Duration CoordinatorModel::between(Duration Least, Duration Most) {
  return Duration(std::uniform_int_distribution<std::int64_t>(
      Least.count(), Most.count())(m_random));
}

void CoordinatorModel::later(Duration After, std::function<void()> Run) {
  m_events.push_back({m_now + After, std::move(Run)});
}

void CoordinatorModel::elect() {
  for (Coordinator &Each : m_coordinators)
    if (Each.m_active && Each.m_epoch == m_epoch)
      Each.m_until = m_now + OfficeLease; // It may not know for so long.
  Coordinator Next;
  Next.m_epoch = ++m_epoch;
  Next.m_active = true;
  Next.m_until = Instant::max();
  Next.m_keys = std::make_unique<KeyCoordinator>(ServiceId("herd"),
                                                 KeyCoordinator::Settings());
  Next.m_keys->takeOver(m_table, m_now);
  Next.m_tableVersion = m_tableVersion;
  m_coordinators.push_back(std::move(Next));
}

void CoordinatorModel::makeTrouble() {
  if (m_calm)
    return;
  if (chance(0.002))
    elect();
  for (auto &[Id, Each] : m_upstreams) {
    if (chance(0.001)) { // It ends and starts again.
      Each.m_incarnation = UpstreamIncarnation(Each.m_incarnation.value() + 1);
      Each.m_keys.clear();
      Each.m_incarnationKnownAt =
          m_now + between(Duration(100'000), Duration(1'700'000));
    }
    if (chance(0.001))
      Each.m_cutUntil = m_now + between(Duration(500'000), Duration(6'000'000));
    if (chance(0.001))
      Each.m_draining = !Each.m_draining;
    if (m_now >= Each.m_incarnationKnownAt)
      Each.m_knownIncarnation = Each.m_incarnation;
  }
  if (chance(0.05))
    m_load.add(ShardKey(static_cast<std::uint32_t>(m_random() % ShardKeyCount)),
               static_cast<double>(m_random() % 200));
}

KeyCandidates CoordinatorModel::candidates() const {
  KeyCandidates All;
  for (const auto &[Id, Each] : m_upstreams) {
    KeyCandidate Row;
    Row.m_id = Id;
    Row.m_incarnation = Each.m_knownIncarnation;
    Row.m_capacity = 4;
    Row.m_mustRelease = Each.m_draining;
    Row.m_eligible = !Each.m_draining;
    All[Id] = Row;
  }
  return All;
}

GrantOutcome CoordinatorModel::carryOut(ModelUpstream &To,
                                        UpstreamIncarnation Incarnation,
                                        const GrantCommand &Order,
                                        Instant Arrived) {
  if (To.m_incarnation != Incarnation)
    return GrantOutcome::Unanswered; // That process is gone.
  FencingToken Token = Order.m_range.m_token;
  bool Refused = false;
  forSamples(Order.m_range, [&](std::uint32_t Key) {
    Refused |= To.m_keys[Key].m_seen > Token;
  });
  if (Refused)
    return GrantOutcome::Superseded;
  Duration Hold(
      static_cast<std::int64_t>(static_cast<double>(Order.m_duration.count()) *
                                (chance(0.5) ? SlowClock : 1.0)));
  forSamples(Order.m_range, [&](std::uint32_t Key) {
    ModelUpstream::Key &Held = To.m_keys[Key];
    Held.m_token = Held.m_seen = Token;
    // A shorter grant does not shorten what an earlier one gave.
    Held.m_until = std::max(Held.m_until, Arrived + Hold);
    if (Held.m_until <= m_now)
      return;
    for (const auto &[Who, Highest] : m_history[Key])
      if (Who != std::make_pair(To.m_id, Incarnation) && Highest >= Token)
        m_fault = "key " + std::to_string(Key) + " went to " + To.m_id.value() +
                  " with token " + std::to_string(Token.value()) + ", but " +
                  Who.first.value() + " had it with " +
                  std::to_string(Highest.value());
    m_history[Key][{To.m_id, Incarnation}] = Token;
  });
  return GrantOutcome::Granted;
}

void CoordinatorModel::sendGrant(std::size_t Which, const GrantCommand &Order) {
  Coordinator &From = m_coordinators[Which];
  ModelUpstream &To = m_upstreams[Order.m_range.m_owner];
  auto Answer = [this, Which, Number = Order.m_number](GrantOutcome Outcome) {
    if (m_coordinators[Which].m_active)
      m_coordinators[Which].m_keys->onGrant(Number, Outcome, m_now);
  };
  auto Open = From.m_connections.find(To.m_id);
  bool Connected = Open != From.m_connections.end() &&
                   Open->second.m_incarnation == To.m_incarnation;
  bool Same = Connected && From.m_connectionOf[Order.m_range.m_token] ==
                               Open->second.m_number;
  if (!Order.m_first && !Same)
    return Answer(GrantOutcome::NotSent);
  if (m_now < To.m_cutUntil) {
    From.m_connections.erase(To.m_id);
    return later(Duration(200'000),
                 [Answer] { Answer(GrantOutcome::NotSent); });
  }
  if (!Connected)
    From.m_connections[To.m_id] = {To.m_incarnation, ++From.m_lastConnection};
  if (Order.m_first)
    From.m_connectionOf[Order.m_range.m_token] =
        From.m_connections[To.m_id].m_number;
  Duration Way = between(Duration(1'000), Duration(15'000));
  bool Late = !m_calm && chance(0.08);
  bool Silent = Late || (!m_calm && chance(0.05));
  later(Way, [this, &To, Incarnation = To.m_incarnation, Order, Answer, Late,
              Silent, Which, Way] {
    Instant Arrived = m_now;
    auto Do = [this, &To, Incarnation, Order, Arrived] {
      return carryOut(To, Incarnation, Order, Arrived);
    };
    if (Late)
      later(between(Duration(2'000'000), Duration(12'000'000)), [Do] { Do(); });
    else if (GrantOutcome Outcome = Do(); !Silent)
      return later(Way, [Answer, Outcome] { Answer(Outcome); });
    m_coordinators[Which].m_connections.erase(To.m_id);
    later(GrantTimeout, [Answer] { Answer(GrantOutcome::Unanswered); });
  });
}

void CoordinatorModel::sendRelease(std::size_t Which,
                                   const ReleaseCommand &Order) {
  ModelUpstream &To = m_upstreams[Order.m_range.m_owner];
  auto Answer = [this, Which, Number = Order.m_number](bool Done) {
    if (m_coordinators[Which].m_active)
      m_coordinators[Which].m_keys->onRelease(Number, Done, "h", m_now);
  };
  if (m_now < To.m_cutUntil)
    return later(Duration(200'000), [Answer] { Answer(false); });
  bool Silent = !m_calm && chance(0.1);
  later(between(Duration(1'000), Duration(15'000)), [this, &To, Order, Answer,
                                                     Silent] {
    forSamples(Order.m_range,
               [&](std::uint32_t Key) { To.m_keys[Key].m_until = Instant(); });
    Duration Work =
        Silent ? ReleaseTimeout : between(Duration(1'000), Duration(150'000));
    later(Work, [Answer, Silent] { Answer(!Silent); });
  });
}

void CoordinatorModel::write(std::size_t Which) {
  m_coordinators[Which].m_callInFlight = true;
  later(between(Duration(2'000), Duration(60'000)), [this, Which] {
    Coordinator &Writer = m_coordinators[Which];
    bool Holds =
        Writer.m_epoch == m_epoch && Writer.m_tableVersion == m_tableVersion;
    bool Ours = m_table && Writer.m_writing && Writer.m_epoch == m_epoch &&
                encodeKeyTable(*m_table) == encodeKeyTable(*Writer.m_writing);
    if (Holds) {
      m_table = Writer.m_writing;
      ++m_tableVersion;
    }
    bool Lost = !m_calm && chance(0.1);
    later(Duration(4'000), [this, Which, Done = Holds || Ours, Lost] {
      Coordinator &Asker = m_coordinators[Which];
      Asker.m_callInFlight = false;
      if (!Asker.m_active || Lost)
        return; // The same write is tried again.
      if (!Done) {
        Asker.m_active = false;
        return;
      }
      Asker.m_tableVersion = m_tableVersion;
      Asker.m_writing.reset();
      Asker.m_keys->onWritten(m_now);
    });
  });
}

void CoordinatorModel::drive(std::size_t Which) {
  Coordinator &Each = m_coordinators[Which];
  if (Each.m_active && m_now >= Each.m_until)
    Each.m_active = false;
  if (!Each.m_active)
    return;
  bool StoreInReach = Each.m_epoch == m_epoch;
  auto Commands =
      Each.m_keys->tick(candidates(), m_load, 0, StoreInReach, m_now);
  if (Commands.m_write)
    Each.m_writing = std::move(Commands.m_write);
  for (const ReleaseCommand &Order : Commands.m_releases)
    sendRelease(Which, Order);
  for (const GrantCommand &Order : Commands.m_grants)
    sendGrant(Which, Order);
  if (m_coordinators[Which].m_writing && !m_coordinators[Which].m_callInFlight)
    write(Which);
}

std::set<std::uint32_t> CoordinatorModel::heldKeys() const {
  std::set<std::uint32_t> Held;
  for (std::uint32_t Key = FirstSample; Key < ShardKeyCount; Key += SampleEvery)
    for (const auto &[Id, Each] : m_upstreams) {
      auto Found = Each.m_keys.find(Key);
      if (Found != Each.m_keys.end() && Found->second.m_until > m_now)
        Held.insert(Key);
    }
  return Held;
}

void CoordinatorModel::check() {
  for (std::uint32_t Key = FirstSample; Key < ShardKeyCount;
       Key += SampleEvery) {
    std::string Holders;
    int Count = 0;
    for (const auto &[Id, Each] : m_upstreams) {
      auto Found = Each.m_keys.find(Key);
      if (Found == Each.m_keys.end() || Found->second.m_until <= m_now)
        continue;
      ++Count;
      Holders += " " + Id.value() + "/" +
                 std::to_string(Found->second.m_token.value());
    }
    if (Count > 1)
      m_fault = "key " + std::to_string(Key) + " is held by" + Holders;
  }
}

bool CoordinatorModel::play(int Steps) {
  for (int Count = 0; Count < Steps && m_fault.empty(); ++Count) {
    m_now += Step;
    makeTrouble();
    std::vector<Event> Due;
    auto Split = std::stable_partition(
        m_events.begin(), m_events.end(),
        [this](const Event &Each) { return Each.m_at > m_now; });
    std::move(Split, m_events.end(), std::back_inserter(Due));
    m_events.erase(Split, m_events.end());
    for (Event &Each : Due)
      Each.m_run();
    if (Count % 2 == 0)
      for (std::size_t Which = 0; Which < m_coordinators.size(); ++Which)
        drive(Which);
    check();
  }
  return m_fault.empty();
}

} // namespace burdockpulley::model
