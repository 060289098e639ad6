// The production decisions among a few hosts, upstreams and a store in memory,
// with messages lost, doubled, late and reordered, clocks that drift, and
// processes that crash, pause and come back.
#include "ownership_model.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <iostream>

using namespace burdockpulley;

namespace burdockpulley {

namespace {

constexpr std::uint32_t Partitions = 6;
constexpr Duration TickInterval{100'000};
constexpr Duration SettleTime{15'000'000};
constexpr std::size_t MaxSteps = 400'000;
const ServiceId Herd("herd");

} // namespace

OwnershipModel::OwnershipModel(std::vector<Fault> Faults, std::uint64_t Seed,
                               Mutation Rules)
    : m_faults(std::move(Faults)), m_random(Seed), m_rules(Rules) {
  declare();
  for (const Fault &Each : m_faults) {
    m_calm = std::max(m_calm, Each.m_start + Each.m_length);
    at(Each.m_start, [this, Each] { begin(Each); });
  }
}

void OwnershipModel::declare() {
  Service Row;
  Row.m_name = Herd;
  Row.m_keySource = KeySource::Header;
  Row.m_partitions = Partitions;
  m_declared.m_services.push_back(Row);
  std::uniform_real_distribution<double> Rate(0.992, 1.008);
  for (const char *Domain : {"d1", "d2", "d3"}) {
    FailureDomain Fresh{DomainId(Domain), "r", {}};
    for (const char *Suffix : {"a", "b"}) {
      ModelHost Host;
      Host.m_name = HostId(std::string(Domain) + Suffix);
      Host.m_domain = Fresh.m_name;
      Host.m_rate = Rate(m_random);
      Host.m_offset = std::chrono::seconds(m_random() % 1000);
      Fresh.m_hosts.push_back({Host.m_name, {}});
      m_hosts.push_back(std::move(Host));
    }
    Upstream Server;
    Server.m_name = UpstreamId(std::string("u-") + Domain);
    Server.m_service = Herd;
    Server.m_domain = Fresh.m_name;
    m_declared.m_upstreams.push_back(Server);
    ModelUpstream Which;
    Which.m_name = Server.m_name;
    Which.m_rate = Rate(m_random);
    m_upstreams.push_back(std::move(Which));
    m_declared.m_domains.push_back(Fresh);
  }
  for (std::size_t I = 0; I < m_upstreams.size(); ++I)
    startUpstream(I);
  for (std::size_t I = 0; I < m_hosts.size(); ++I)
    startHost(I);
}

void OwnershipModel::at(Duration Time, Action What) {
  m_queue.emplace(Time, std::move(What));
}

bool OwnershipModel::chance(double Probability) {
  return std::bernoulli_distribution(Probability)(m_random);
}

Duration OwnershipModel::delay(bool Order) {
  Duration Short(500 + static_cast<std::int64_t>(m_random() % 20'000));
  bool Late = active(FaultKind::LateMessages, Order ? -1 : 0) && chance(0.2);
  return Late ? Duration(m_random() % 3'000'000) : Short;
}

bool OwnershipModel::active(FaultKind Kind, int Target) const {
  return std::any_of(m_faults.begin(), m_faults.end(), [&](const Fault &Each) {
    return Each.m_kind == Kind && (Target < 0 || Each.m_target == Target) &&
           Each.m_start <= m_time && m_time < Each.m_start + Each.m_length;
  });
}

Instant OwnershipModel::now(const ModelHost &Host) const {
  auto Local = static_cast<std::int64_t>(m_time.count() * Host.m_rate);
  return Instant(Host.m_offset + Duration(Local));
}

Duration OwnershipModel::clock(const ModelUpstream &Which) const {
  return Duration(static_cast<std::int64_t>(m_time.count() * Which.m_rate));
}

KeeperController::Tables OwnershipModel::tables(const ModelHost &Host) const {
  return {m_declared, Host.m_ownership, Host.m_keepers, Host.m_lost,
          Host.m_seen};
}

// Runs on the host's thread: after a pause, and never in a later life.
void OwnershipModel::toHost(std::size_t Index, Duration Delay, Action What) {
  int Life = m_hosts[Index].m_life;
  at(m_time + Delay, [this, Index, Life, What = std::move(What)] {
    ModelHost &Host = m_hosts[Index];
    if (!Host.m_alive || Host.m_life != Life)
      return;
    if (m_time < Host.m_pausedUntil)
      return toHost(Index, Host.m_pausedUntil - m_time, What);
    What();
  });
}

void OwnershipModel::startHost(std::size_t Index) {
  ModelHost &Host = m_hosts[Index];
  Host.m_alive = true;
  ++Host.m_life;
  Host.m_keepers = {};
  Host.m_ownership = {};
  Host.m_seen = {};
  Host.m_lost.clear();
  Host.m_reading = false;
  Host.m_keeping = std::make_unique<KeeperController>(
      Host.m_name, std::to_string(Host.m_life), m_rules);
  int Life = Host.m_life;
  toHost(Index, Duration(m_random() % TickInterval.count()),
         [this, Index, Life] { tick(Index, Life); });
}

void OwnershipModel::startUpstream(std::size_t Index) {
  ModelUpstream &Which = m_upstreams[Index];
  Which.m_alive = true;
  Which.m_guard =
      std::make_unique<GrantGuard>(std::to_string(++Which.m_life), m_rules);
}

void OwnershipModel::begin(const Fault &What) {
  std::size_t Host = What.m_target % m_hosts.size();
  std::size_t Server = What.m_target % m_upstreams.size();
  Duration End = What.m_start + What.m_length;
  if (What.m_kind == FaultKind::HostCrash && m_hosts[Host].m_alive) {
    m_hosts[Host].m_alive = false;
    at(End, [this, Host] { startHost(Host); });
  }
  if (What.m_kind == FaultKind::HostPause)
    m_hosts[Host].m_pausedUntil = std::max(m_hosts[Host].m_pausedUntil, End);
  if (What.m_kind == FaultKind::UpstreamCrash && m_upstreams[Server].m_alive) {
    m_upstreams[Server].m_alive = false;
    at(End, [this, Server] { startUpstream(Server); });
  }
  if (What.m_kind == FaultKind::UpstreamFreeze)
    m_upstreams[Server].m_frozenUntil =
        std::max(m_upstreams[Server].m_frozenUntil, End);
  if (What.m_kind == FaultKind::Move)
    planMove(What);
}

void OwnershipModel::planMove(const Fault &What) {
  OwnershipTable Table;
  for (const StoreEntry &Entry : m_store.read({"/", true, {}}).m_entries)
    Table.apply(Entry);
  PartitionIndex Partition(What.m_target % Partitions);
  const PartitionRow *Row = Table.find(Herd, Partition);
  if (!Row)
    return;
  std::vector<PlannedMove> Moves = {
      {Herd, Partition, Row->m_owner,
       m_upstreams[What.m_length.count() / 1000 % m_upstreams.size()].m_name}};
  for (const StoreTransaction &Change : planMoveIntents(Moves, Table))
    m_store.commit(Change);
}

void OwnershipModel::detect(ModelHost &Host) {
  Host.m_lost.clear();
  auto Self = static_cast<int>(&Host - m_hosts.data());
  for (std::size_t I = 0; I < m_hosts.size(); ++I) {
    const ModelHost &Peer = m_hosts[I];
    if (&Peer == &Host)
      continue;
    bool Silent = !Peer.m_alive || m_time < Peer.m_pausedUntil ||
                  active(FaultKind::HostOffPeers, static_cast<int>(I)) ||
                  active(FaultKind::HostOffPeers, Self) ||
                  active(FaultKind::HostSuspected, static_cast<int>(I));
    if (Silent)
      Host.m_lost.insert(Peer.m_name);
  }
}

void OwnershipModel::tick(std::size_t Index, int Life) {
  toHost(Index, TickInterval, [this, Index, Life] { tick(Index, Life); });
  ModelHost &Host = m_hosts[Index];
  if (m_steps % 4 == 0)
    detect(Host);
  readStore(Index);
  KeeperController::Tables In = tables(Host);
  Host.m_keeping->refresh(In, now(Host));
  for (const auto &Change : Host.m_keeping->planKeeperChanges(In, now(Host)))
    commit(Index, Change);
  for (const auto &Change : Host.m_keeping->planReleases(In, now(Host)))
    commit(Index, Change);
  for (const auto &Order : Host.m_keeping->planOrders(In, now(Host)))
    sendOrder(Index, Order);
  if (auto Question = Host.m_keeping->planVersionQuery(In, now(Host)))
    ask(Index, *Question);
  coordinate(Index);
}

void OwnershipModel::coordinate(std::size_t Index) {
  // Several hosts do it at once: only the compare-and-swap counts.
  if (!chance(0.3))
    return;
  ModelHost &Host = m_hosts[Index];
  if (Host.m_seen.value() == 0)
    return;
  for (const auto &Change :
       planFirstOwners(m_declared, Host.m_ownership, Host.m_keepers.down()))
    commit(Index, Change);
}

void OwnershipModel::readStore(std::size_t Index) {
  ModelHost &Host = m_hosts[Index];
  if (Host.m_reading)
    return;
  Host.m_reading = true;
  Instant Began = now(Host);
  auto Self = static_cast<int>(Index);
  bool Reached = !active(FaultKind::StoreDown, -1) &&
                 !active(FaultKind::HostOffStore, Self);
  if (!Reached)
    return toHost(Index, Duration(500'000),
                  [this, Index] { m_hosts[Index].m_reading = false; });
  Duration There = delay();
  Duration Back = delay();
  if (active(FaultKind::StoreSlow, Self)) {
    There += Duration(m_random() % 1'500'000);
    Back += Duration(m_random() % 3'000'000);
  }
  StoreQuery Query{"/", true, StoreVersion(Host.m_seen.value() + 1)};
  int Life = Host.m_life;
  at(m_time + There, [this, Index, Query, Began, Life, Back] {
    StoreRange Range = m_store.read(Query);
    if (m_hosts[Index].m_life != Life)
      return;
    toHost(Index, Back, [this, Index, Range, Began] {
      ModelHost &Target = m_hosts[Index];
      Target.m_reading = false;
      applyRange(Target, Range);
      Target.m_keeping->onContact(Began, now(Target));
    });
  });
}

void OwnershipModel::applyRange(ModelHost &Host, const StoreRange &Range) {
  for (const StoreEntry &Entry : Range.m_entries) {
    Host.m_ownership.apply(Entry);
    Host.m_keepers.apply(Entry, now(Host));
  }
  Host.m_seen = std::max(Host.m_seen, Range.m_version);
  Host.m_keeping->refresh(tables(Host), now(Host));
}

void OwnershipModel::commit(std::size_t Index, const StoreTransaction &Change) {
  auto Self = static_cast<int>(Index);
  bool Reached = !active(FaultKind::StoreDown, -1) &&
                 !active(FaultKind::HostOffStore, Self);
  if (!Reached)
    return;
  Duration There = delay();
  if (active(FaultKind::StoreSlow, Self))
    There += Duration(m_random() % 3'000'000);
  int Life = m_hosts[Index].m_life;
  at(m_time + There, [this, Index, Change, Life] {
    StoreCommit Answer = m_store.commit(Change);
    bool Lost = chance(0.1) || m_hosts[Index].m_life != Life;
    if (Lost || Answer.m_applied)
      return;
    toHost(Index, delay(), [this, Index, Change, Answer] {
      m_hosts[Index].m_keeping->onNotApplied(Change, Answer.m_version);
    });
  });
}

void OwnershipModel::sendOrder(std::size_t Index,
                               const KeeperController::OutgoingGrant &What) {
  std::size_t Target = 0;
  while (m_upstreams[Target].m_name != What.m_upstream)
    ++Target;
  toHost(Index, Duration(300'000), [this, Index, What] {
    m_hosts[Index].m_keeping->onGrantFailure(
        What.m_upstream, What.m_order.m_epoch, What.m_order.m_sequence);
  });
  bool Lost = active(FaultKind::LostMessages, -1) && chance(0.3);
  if (Lost || !reaches(Index, Target))
    return;
  deliver(Index, Target, What.m_order);
  if (active(FaultKind::LateMessages, -1) && chance(0.3))
    deliver(Index, Target, What.m_order);
}

bool OwnershipModel::reaches(std::size_t Index, std::size_t Target) const {
  auto Server = static_cast<int>(Target);
  if (active(FaultKind::UpstreamOff, Server))
    return false;
  for (int Side : {0, 1})
    if (active(FaultKind::UpstreamOneSided, Server + 3 * Side) &&
        Index != 2 * Target + static_cast<std::size_t>(Side))
      return false;
  return true;
}

void OwnershipModel::deliver(std::size_t Index, std::size_t Target,
                             const GrantRequest &Order) {
  int Life = m_hosts[Index].m_life;
  at(m_time + delay(true), [this, Index, Target, Order, Life] {
    ModelUpstream &Which = m_upstreams[Target];
    if (!Which.m_alive)
      return;
    if (m_time < Which.m_frozenUntil) {
      Duration Wait = Which.m_frozenUntil - m_time;
      return at(m_time + Wait, [this, Index, Target, Order] {
        deliver(Index, Target, Order);
      });
    }
    GrantResponse Answer;
    Answer.m_refusal = Which.m_guard->apply(Order, clock(Which));
    Answer.m_stamp = {Which.m_guard->boot(), clock(Which)};
    if (m_hosts[Index].m_life != Life)
      return;
    toHost(Index, delay(), [this, Index, Target, Order, Answer] {
      ModelHost &Host = m_hosts[Index];
      Host.m_keeping->onGrantAnswer(m_upstreams[Target].m_name, Order.m_epoch,
                                    Order.m_sequence, Answer, now(Host));
    });
  });
}

void OwnershipModel::ask(std::size_t Index, const VersionQuery &Question) {
  for (std::size_t Peer = 0; Peer < m_hosts.size(); ++Peer) {
    bool Cut = active(FaultKind::HostOffPeers, static_cast<int>(Peer)) ||
               active(FaultKind::HostOffPeers, static_cast<int>(Index));
    if (Peer == Index || Cut || !m_hosts[Peer].m_alive)
      continue;
    int Life = m_hosts[Index].m_life;
    toHost(Peer, delay(), [this, Index, Peer, Question, Life] {
      const ModelHost &Asked = m_hosts[Peer];
      StoreRange Range{{}, Asked.m_seen};
      for (StoreEntry &Entry : Asked.m_ownership.entriesSince(Question.m_seen))
        Range.m_entries.push_back(std::move(Entry));
      for (StoreEntry &Entry : Asked.m_keepers.entriesSince(Question.m_seen))
        Range.m_entries.push_back(std::move(Entry));
      if (m_hosts[Index].m_life != Life)
        return;
      toHost(Index, delay(), [this, Index, Peer, Question, Range] {
        ModelHost &Host = m_hosts[Index];
        applyRange(Host, Range);
        Host.m_keeping->onVersionAnswer(Question.m_round, m_hosts[Peer].m_name,
                                        Range.m_version, tables(Host),
                                        now(Host));
      });
    });
  }
}

std::string OwnershipModel::check() {
  std::map<PartitionIndex, UpstreamId> Owners;
  for (ModelUpstream &Which : m_upstreams) {
    if (!Which.m_alive)
      continue;
    if (Which.m_guard->epoch() < Which.m_highest &&
        Which.m_guard->sequence() > 0 && m_rules == Mutation::None)
      return "an upstream went back to an older keeper";
    Which.m_highest = std::max(Which.m_highest, Which.m_guard->epoch());
    for (const auto &[Partition, Token] : Which.m_guard->owned(clock(Which))) {
      auto [Other, Fresh] = Owners.emplace(Partition, Which.m_name);
      if (!Fresh)
        return "two owners of partition " + std::to_string(Partition.value()) +
               ": " + Other->second.value() + " and " + Which.m_name.value();
    }
  }
  return m_steps % 16 == 0 ? checkStore() : "";
}

std::string OwnershipModel::checkStore() {
  for (const StoreEntry &Entry : m_store.read({"/", true, {}}).m_entries) {
    OwnershipChunk Chunk;
    KeeperDomain Keepers;
    std::map<std::string, std::uint64_t> Seen;
    if (decodeChunk(Entry.m_value, Chunk))
      for (std::size_t I = 0; I < Chunk.m_rows.size(); ++I)
        Seen[Entry.m_key + std::to_string(I)] = Chunk.m_rows[I].m_token.value();
    else if (decodeKeepers(Entry.m_value, Keepers))
      for (const auto &[Name, Record] : Keepers.m_records)
        Seen[Name.value()] = Record.m_epoch.value();
    for (const auto &[Name, Number] : Seen) {
      if (Number < m_floors[Name])
        return "a token or an epoch went back: " + Name;
      m_floors[Name] = Number;
    }
  }
  return "";
}

std::string OwnershipModel::checkProgress() {
  OwnershipTable Table;
  for (const StoreEntry &Entry : m_store.read({"/", true, {}}).m_entries)
    Table.apply(Entry);
  for (std::uint32_t I = 0; I < Partitions; ++I) {
    const PartitionRow *Row = Table.find(Herd, PartitionIndex(I));
    bool Served = std::any_of(
        m_upstreams.begin(), m_upstreams.end(), [&](const auto &Which) {
          return Row && !Row->moving() && Which.m_name == Row->m_owner &&
                 Which.m_guard->owns(PartitionIndex(I), Row->m_token,
                                     clock(Which));
        });
    if (!Served)
      return "partition " + std::to_string(I) + " is not served again";
  }
  return "";
}

std::string OwnershipModel::run() {
  Duration End = m_calm + SettleTime;
  while (!m_queue.empty() && m_queue.begin()->first < End) {
    auto First = m_queue.begin();
    m_time = First->first;
    Action What = std::move(First->second);
    m_queue.erase(First);
    What();
    ++m_steps;
    std::string Wrong = check();
    if (!Wrong.empty())
      return Wrong + " at " + std::to_string(m_time.count()) + " us";
    if (m_steps > MaxSteps)
      return "the run does not end";
  }
  return checkProgress();
}

} // namespace burdockpulley

namespace rc {
template <> struct Arbitrary<Fault> {
  static Gen<Fault> arbitrary() {
    return gen::build<Fault>(
        gen::set(&Fault::m_kind,
                 gen::map(gen::inRange(0, FaultKindNumbers),
                          [](int Kind) { return faultKind(Kind); })),
        gen::set(&Fault::m_target, gen::inRange(0, 6)),
        gen::set(&Fault::m_start,
                 gen::map(gen::inRange(500, 12'000),
                          [](int Ms) { return Duration(Ms * 1000); })),
        gen::set(&Fault::m_length,
                 gen::map(gen::inRange(50, 6'000),
                          [](int Ms) { return Duration(Ms * 1000); })));
  }
};
} // namespace rc

namespace {

std::ostream &operator<<(std::ostream &Out, const Fault &Each) {
  return Out << static_cast<int>(Each.m_kind) << "/" << Each.m_target << "@"
             << Each.m_start.count() << "+" << Each.m_length.count();
}

Duration around(std::mt19937_64 &Random, int Ms) {
  return Duration(Ms * 1000 + static_cast<int>(Random() % 400'000));
}

/// The troubles that a rule is for, with some spread.
std::vector<Fault> scenario(Mutation Rules, std::mt19937_64 &Random) {
  auto Ms = [&](int Value) { return around(Random, Value); };
  int Keeper = static_cast<int>(Random() % 2);
  int Side = Keeper * 3;
  std::vector<Fault> Faults;
  for (int I = 0; I < 40; ++I)
    Faults.push_back({FaultKind::Move, static_cast<int>(Random() % 6),
                      Duration(2'000'000 + Random() % 8'000'000),
                      Duration(Random() % 5'000)});
  switch (Rules) {
  case Mutation::ContactFromAnswer:
    return {{FaultKind::HostOffPeers, Keeper, Ms(3000), Ms(6000)},
            {FaultKind::StoreSlow, Keeper, Ms(2500), Ms(6000)},
            {FaultKind::UpstreamOneSided, Side, Ms(3000), Ms(6000)}};
  case Mutation::NoQuorum:
    Faults = {{FaultKind::HostOffPeers, 1 - Keeper, Ms(3200), Ms(8000)},
              {FaultKind::UpstreamOneSided, Side, Ms(3000), Ms(8000)}};
    for (int Host = 0; Host < 6; ++Host)
      if (Host != 1 - Keeper)
        Faults.push_back({FaultKind::HostOffStore, Host, Ms(2600), Ms(8000)});
    return Faults;
  case Mutation::GrantWhileReleasing:
    return {{FaultKind::UpstreamFreeze, 0, Ms(3000), Ms(1600)},
            {FaultKind::StoreSlow, Keeper, Ms(4000), Ms(5000)}};
  default:
    Faults.push_back({FaultKind::LateMessages, 1, Ms(1000), Ms(10'000)});
    Faults.push_back({FaultKind::UpstreamOff, 1, Ms(4000), Ms(300)});
    return Faults;
  }
}

/// Runs until two owners are found; the number of the run, or 0.
int firstViolation(Mutation Broken, Mutation Rules, int Runs,
                   std::string &Wrong) {
  std::mt19937_64 Random(20261204);
  for (int Run = 1; Run <= Runs; ++Run) {
    std::vector<Fault> Faults = scenario(Broken, Random);
    Wrong = OwnershipModel(Faults, Random(), Rules).run();
    if (Wrong.starts_with("two owners"))
      return Run;
  }
  return 0;
}

} // namespace

BOOST_AUTO_TEST_CASE(never_two_owners_and_progress_once_faults_end) {
  std::size_t Steps = 0;
  bool Held = rc::check("one owner", [&] {
    auto Faults = *rc::gen::arbitrary<std::vector<Fault>>();
    auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    OwnershipModel Model(Faults, Seed, Mutation::None);
    std::string Wrong = Model.run();
    Steps += Model.steps();
    if (!Wrong.empty())
      for (const Fault &Each : Faults)
        RC_LOG() << Each << " ";
    RC_ASSERT(Wrong == "");
  });
  BOOST_TEST(Held);
  BOOST_TEST(Steps >= 100'000u);
  BOOST_TEST_MESSAGE("steps: " << Steps);
}

BOOST_AUTO_TEST_CASE(each_rule_is_needed) {
  for (Mutation Rules :
       {Mutation::ContactFromAnswer, Mutation::ReleaseWithoutWait,
        Mutation::IgnoreSequence, Mutation::LeaseFromReceipt,
        Mutation::NoQuorum, Mutation::GrantWhileReleasing}) {
    BOOST_TEST_CONTEXT("mutation " << static_cast<int>(Rules)) {
      std::string Wrong;
      int Run = firstViolation(Rules, Rules, 150, Wrong);
      BOOST_TEST(Run > 0);
      std::cout << "mutation " << static_cast<int>(Rules) << " fails in run "
                << Run << ": " << Wrong << "\n";
      BOOST_TEST(
          firstViolation(Rules, Mutation::None, std::max(Run, 10), Wrong) == 0);
    }
  }
}
