// Runs the production decisions in a simulation of a few hosts, upstreams and
// an in-memory store. Messages are lost, duplicated, delayed and reordered,
// clocks drift, and processes crash, pause and restart. Guards against two
// upstreams owning a partition at once, against tokens and epochs that
// decrease, and against partitions that stay without a serving owner.
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
                               Mutation DisabledRule)
    : m_faults(std::move(Faults)), m_random(Seed),
      m_disabledRule(DisabledRule) {
  declare();
  for (const Fault &Planned : m_faults) {
    m_faultsEnd = std::max(m_faultsEnd, Planned.m_start + Planned.m_length);
    schedule(Planned.m_start, [this, Planned] { startFault(Planned); });
  }
}

void OwnershipModel::declare() {
  Service HerdService;
  HerdService.m_name = Herd;
  HerdService.m_keySource = KeySource::Header;
  HerdService.m_partitions = Partitions;
  m_declared.m_services.push_back(HerdService);
  std::uniform_real_distribution<double> ClockRate(0.992, 1.008);
  for (const char *DomainName : {"d1", "d2", "d3"}) {
    FailureDomain Domain{DomainId(DomainName), "r", {}};
    for (const char *Suffix : {"a", "b"}) {
      ModelHost Host;
      Host.m_name = HostId(std::string(DomainName) + Suffix);
      Host.m_domain = Domain.m_name;
      Host.m_clockRate = ClockRate(m_random);
      Host.m_clockOffset = std::chrono::seconds(m_random() % 1000);
      Domain.m_hosts.push_back({Host.m_name, {}});
      m_hosts.push_back(std::move(Host));
    }
    Upstream Server;
    Server.m_name = UpstreamId(std::string("u-") + DomainName);
    Server.m_service = Herd;
    Server.m_domain = Domain.m_name;
    m_declared.m_upstreams.push_back(Server);
    ModelUpstream Simulated;
    Simulated.m_name = Server.m_name;
    Simulated.m_clockRate = ClockRate(m_random);
    m_upstreams.push_back(std::move(Simulated));
    m_declared.m_domains.push_back(Domain);
  }
  for (std::size_t I = 0; I < m_upstreams.size(); ++I)
    startUpstream(I);
  for (std::size_t I = 0; I < m_hosts.size(); ++I)
    startHost(I);
}

void OwnershipModel::schedule(Duration Time, Action Task) {
  m_queue.emplace(Time, std::move(Task));
}

bool OwnershipModel::chance(double Probability) {
  return std::bernoulli_distribution(Probability)(m_random);
}

Duration OwnershipModel::messageDelay(bool IsGrantRequest) {
  Duration NormalDelay(500 + static_cast<std::int64_t>(m_random() % 20'000));
  bool Late =
      active(FaultKind::LateMessages, IsGrantRequest ? -1 : 0) && chance(0.2);
  return Late ? Duration(m_random() % 3'000'000) : NormalDelay;
}

bool OwnershipModel::active(FaultKind Kind, int Target) const {
  return std::any_of(m_faults.begin(), m_faults.end(),
                     [&](const Fault &Planned) {
                       return Planned.m_kind == Kind &&
                              (Target < 0 || Planned.m_target == Target) &&
                              Planned.m_start <= m_time &&
                              m_time < Planned.m_start + Planned.m_length;
                     });
}

Instant OwnershipModel::now(const ModelHost &Host) const {
  auto LocalTime = static_cast<std::int64_t>(m_time.count() * Host.m_clockRate);
  return Instant(Host.m_clockOffset + Duration(LocalTime));
}

Duration OwnershipModel::clock(const ModelUpstream &Server) const {
  return Duration(
      static_cast<std::int64_t>(m_time.count() * Server.m_clockRate));
}

KeeperController::Tables OwnershipModel::tables(const ModelHost &Host) const {
  return {m_declared, Host.m_ownership, Host.m_keepers, Host.m_lost,
          Host.m_seen};
}

// The task runs on the host's thread: after a pause has ended, and not at all
// when the host has crashed since.
void OwnershipModel::scheduleOnHost(std::size_t HostIndex, Duration Delay,
                                    Action Task) {
  int Incarnation = m_hosts[HostIndex].m_incarnation;
  schedule(
      m_time + Delay, [this, HostIndex, Incarnation, Task = std::move(Task)] {
        ModelHost &Host = m_hosts[HostIndex];
        if (!Host.m_alive || Host.m_incarnation != Incarnation)
          return;
        if (m_time < Host.m_pausedUntil)
          return scheduleOnHost(HostIndex, Host.m_pausedUntil - m_time, Task);
        Task();
      });
}

void OwnershipModel::startHost(std::size_t HostIndex) {
  ModelHost &Host = m_hosts[HostIndex];
  Host.m_alive = true;
  ++Host.m_incarnation;
  Host.m_keepers = {};
  Host.m_ownership = {};
  Host.m_seen = {};
  Host.m_lost.clear();
  Host.m_readInFlight = false;
  Host.m_controller = std::make_unique<KeeperController>(
      Host.m_name, std::to_string(Host.m_incarnation), m_disabledRule);
  int Incarnation = Host.m_incarnation;
  scheduleOnHost(
      HostIndex, Duration(m_random() % TickInterval.count()),
      [this, HostIndex, Incarnation] { tick(HostIndex, Incarnation); });
}

void OwnershipModel::startUpstream(std::size_t UpstreamIndex) {
  ModelUpstream &Server = m_upstreams[UpstreamIndex];
  Server.m_alive = true;
  Server.m_guard = std::make_unique<GrantGuard>(
      std::to_string(++Server.m_incarnation), m_disabledRule);
}

void OwnershipModel::startFault(const Fault &Started) {
  std::size_t HostIndex = Started.m_target % m_hosts.size();
  std::size_t UpstreamIndex = Started.m_target % m_upstreams.size();
  Duration End = Started.m_start + Started.m_length;
  if (Started.m_kind == FaultKind::HostCrash && m_hosts[HostIndex].m_alive) {
    m_hosts[HostIndex].m_alive = false;
    schedule(End, [this, HostIndex] { startHost(HostIndex); });
  }
  if (Started.m_kind == FaultKind::HostPause)
    m_hosts[HostIndex].m_pausedUntil =
        std::max(m_hosts[HostIndex].m_pausedUntil, End);
  if (Started.m_kind == FaultKind::UpstreamCrash &&
      m_upstreams[UpstreamIndex].m_alive) {
    m_upstreams[UpstreamIndex].m_alive = false;
    schedule(End, [this, UpstreamIndex] { startUpstream(UpstreamIndex); });
  }
  if (Started.m_kind == FaultKind::UpstreamFreeze)
    m_upstreams[UpstreamIndex].m_frozenUntil =
        std::max(m_upstreams[UpstreamIndex].m_frozenUntil, End);
  if (Started.m_kind == FaultKind::Move)
    startMove(Started);
}

void OwnershipModel::startMove(const Fault &Move) {
  OwnershipTable Table;
  for (const StoreEntry &Entry : m_store.read({"/", true, {}}).m_entries)
    Table.apply(Entry);
  PartitionIndex Partition(Move.m_target % Partitions);
  const PartitionOwnership *Ownership = Table.find(Herd, Partition);
  if (!Ownership)
    return;
  std::vector<PlannedMove> Moves = {
      {Herd, Partition, Ownership->m_owner,
       m_upstreams[Move.m_length.count() / 1000 % m_upstreams.size()].m_name}};
  for (const StoreTransaction &Change : planMoveIntents(Moves, Table))
    m_store.commit(Change);
}

void OwnershipModel::updateLostHosts(ModelHost &Host) {
  Host.m_lost.clear();
  auto Self = static_cast<int>(&Host - m_hosts.data());
  for (std::size_t I = 0; I < m_hosts.size(); ++I) {
    const ModelHost &Peer = m_hosts[I];
    if (&Peer == &Host)
      continue;
    bool Silent = !Peer.m_alive || m_time < Peer.m_pausedUntil ||
                  active(FaultKind::HostCutFromPeers, static_cast<int>(I)) ||
                  active(FaultKind::HostCutFromPeers, Self) ||
                  active(FaultKind::HostSuspected, static_cast<int>(I));
    if (Silent)
      Host.m_lost.insert(Peer.m_name);
  }
}

void OwnershipModel::tick(std::size_t HostIndex, int Incarnation) {
  scheduleOnHost(HostIndex, TickInterval, [this, HostIndex, Incarnation] {
    tick(HostIndex, Incarnation);
  });
  ModelHost &Host = m_hosts[HostIndex];
  if (m_steps % 4 == 0)
    updateLostHosts(Host);
  readStore(HostIndex);
  KeeperController::Tables Current = tables(Host);
  Host.m_controller->refresh(Current, now(Host));
  for (const auto &Change :
       Host.m_controller->planKeeperChanges(Current, now(Host)))
    commit(HostIndex, Change);
  for (const auto &Change : Host.m_controller->planReleases(Current, now(Host)))
    commit(HostIndex, Change);
  for (const auto &Outgoing :
       Host.m_controller->planGrantRequests(Current, now(Host)))
    sendGrantRequest(HostIndex, Outgoing);
  if (auto Query = Host.m_controller->planVersionQuery(Current, now(Host)))
    sendVersionQuery(HostIndex, *Query);
  assignFirstOwners(HostIndex);
}

void OwnershipModel::assignFirstOwners(std::size_t HostIndex) {
  // Several hosts may do this at once: only the compare-and-swap decides.
  if (!chance(0.3))
    return;
  ModelHost &Host = m_hosts[HostIndex];
  if (Host.m_seen.value() == 0)
    return;
  for (const auto &Change :
       planFirstOwners(m_declared, Host.m_ownership, Host.m_keepers.down()))
    commit(HostIndex, Change);
}

void OwnershipModel::readStore(std::size_t HostIndex) {
  ModelHost &Host = m_hosts[HostIndex];
  if (Host.m_readInFlight)
    return;
  Host.m_readInFlight = true;
  Instant ReadStart = now(Host);
  auto Self = static_cast<int>(HostIndex);
  bool Reached = !active(FaultKind::StoreDown, -1) &&
                 !active(FaultKind::HostCutFromStore, Self);
  if (!Reached)
    return scheduleOnHost(HostIndex, Duration(500'000), [this, HostIndex] {
      m_hosts[HostIndex].m_readInFlight = false;
    });
  Duration RequestDelay = messageDelay();
  Duration ResponseDelay = messageDelay();
  if (active(FaultKind::StoreSlow, Self)) {
    RequestDelay += Duration(m_random() % 1'500'000);
    ResponseDelay += Duration(m_random() % 3'000'000);
  }
  StoreQuery Query{"/", true, StoreVersion(Host.m_seen.value() + 1)};
  int Incarnation = Host.m_incarnation;
  schedule(m_time + RequestDelay,
           [this, HostIndex, Query, ReadStart, Incarnation, ResponseDelay] {
             StoreRange Range = m_store.read(Query);
             if (m_hosts[HostIndex].m_incarnation != Incarnation)
               return;
             scheduleOnHost(
                 HostIndex, ResponseDelay, [this, HostIndex, Range, ReadStart] {
                   ModelHost &Reader = m_hosts[HostIndex];
                   Reader.m_readInFlight = false;
                   applyRange(Reader, Range);
                   Reader.m_controller->onContact(ReadStart, now(Reader));
                 });
           });
}

void OwnershipModel::applyRange(ModelHost &Host, const StoreRange &Range) {
  for (const StoreEntry &Entry : Range.m_entries) {
    Host.m_ownership.apply(Entry);
    Host.m_keepers.apply(Entry, now(Host));
  }
  Host.m_seen = std::max(Host.m_seen, Range.m_version);
  Host.m_controller->refresh(tables(Host), now(Host));
}

void OwnershipModel::commit(std::size_t HostIndex,
                            const StoreTransaction &Change) {
  auto Self = static_cast<int>(HostIndex);
  bool Reached = !active(FaultKind::StoreDown, -1) &&
                 !active(FaultKind::HostCutFromStore, Self);
  if (!Reached)
    return;
  Duration RequestDelay = messageDelay();
  if (active(FaultKind::StoreSlow, Self))
    RequestDelay += Duration(m_random() % 3'000'000);
  int Incarnation = m_hosts[HostIndex].m_incarnation;
  schedule(m_time + RequestDelay, [this, HostIndex, Change, Incarnation] {
    StoreCommit Result = m_store.commit(Change);
    bool Lost = chance(0.1) || m_hosts[HostIndex].m_incarnation != Incarnation;
    if (Lost || Result.m_applied)
      return;
    scheduleOnHost(HostIndex, messageDelay(),
                   [this, HostIndex, Change, Result] {
                     m_hosts[HostIndex].m_controller->onNotApplied(
                         Change, Result.m_version);
                   });
  });
}

void OwnershipModel::sendGrantRequest(
    std::size_t HostIndex, const KeeperController::OutgoingGrant &Outgoing) {
  std::size_t UpstreamIndex = 0;
  while (m_upstreams[UpstreamIndex].m_name != Outgoing.m_upstream)
    ++UpstreamIndex;
  scheduleOnHost(HostIndex, Duration(300'000), [this, HostIndex, Outgoing] {
    m_hosts[HostIndex].m_controller->onGrantFailure(
        Outgoing.m_upstream, Outgoing.m_request.m_epoch,
        Outgoing.m_request.m_sequence);
  });
  bool Lost = active(FaultKind::LostMessages, -1) && chance(0.3);
  if (Lost || !canReach(HostIndex, UpstreamIndex))
    return;
  deliver(HostIndex, UpstreamIndex, Outgoing.m_request);
  if (active(FaultKind::LateMessages, -1) && chance(0.3))
    deliver(HostIndex, UpstreamIndex, Outgoing.m_request);
}

bool OwnershipModel::canReach(std::size_t HostIndex,
                              std::size_t UpstreamIndex) const {
  auto Target = static_cast<int>(UpstreamIndex);
  if (active(FaultKind::UpstreamUnreachable, Target))
    return false;
  for (int Side : {0, 1})
    if (active(FaultKind::UpstreamReachableByOneHost, Target + 3 * Side) &&
        HostIndex != 2 * UpstreamIndex + static_cast<std::size_t>(Side))
      return false;
  return true;
}

void OwnershipModel::deliver(std::size_t HostIndex, std::size_t UpstreamIndex,
                             const GrantRequest &Request) {
  int Incarnation = m_hosts[HostIndex].m_incarnation;
  schedule(m_time + messageDelay(true), [this, HostIndex, UpstreamIndex,
                                         Request, Incarnation] {
    ModelUpstream &Server = m_upstreams[UpstreamIndex];
    if (!Server.m_alive)
      return;
    if (m_time < Server.m_frozenUntil) {
      Duration Wait = Server.m_frozenUntil - m_time;
      return schedule(m_time + Wait, [this, HostIndex, UpstreamIndex, Request] {
        deliver(HostIndex, UpstreamIndex, Request);
      });
    }
    GrantResponse Response;
    Response.m_refusal = Server.m_guard->apply(Request, clock(Server));
    Response.m_stamp = {Server.m_guard->boot(), clock(Server)};
    if (m_hosts[HostIndex].m_incarnation != Incarnation)
      return;
    scheduleOnHost(HostIndex, messageDelay(),
                   [this, HostIndex, UpstreamIndex, Request, Response] {
                     ModelHost &Host = m_hosts[HostIndex];
                     Host.m_controller->onGrantResponse(
                         m_upstreams[UpstreamIndex].m_name, Request.m_epoch,
                         Request.m_sequence, Response, now(Host));
                   });
  });
}

void OwnershipModel::sendVersionQuery(std::size_t HostIndex,
                                      const VersionQuery &Query) {
  for (std::size_t PeerIndex = 0; PeerIndex < m_hosts.size(); ++PeerIndex) {
    bool Unreachable =
        active(FaultKind::HostCutFromPeers, static_cast<int>(PeerIndex)) ||
        active(FaultKind::HostCutFromPeers, static_cast<int>(HostIndex));
    if (PeerIndex == HostIndex || Unreachable || !m_hosts[PeerIndex].m_alive)
      continue;
    int Incarnation = m_hosts[HostIndex].m_incarnation;
    scheduleOnHost(
        PeerIndex, messageDelay(),
        [this, HostIndex, PeerIndex, Query, Incarnation] {
          const ModelHost &Peer = m_hosts[PeerIndex];
          StoreRange Range{{}, Peer.m_seen};
          for (StoreEntry &Entry : Peer.m_ownership.entriesSince(Query.m_seen))
            Range.m_entries.push_back(std::move(Entry));
          for (StoreEntry &Entry : Peer.m_keepers.entriesSince(Query.m_seen))
            Range.m_entries.push_back(std::move(Entry));
          if (m_hosts[HostIndex].m_incarnation != Incarnation)
            return;
          scheduleOnHost(HostIndex, messageDelay(),
                         [this, HostIndex, PeerIndex, Query, Range] {
                           ModelHost &Host = m_hosts[HostIndex];
                           applyRange(Host, Range);
                           Host.m_controller->onVersionResponse(
                               Query.m_round, m_hosts[PeerIndex].m_name,
                               Range.m_version, tables(Host), now(Host));
                         });
        });
  }
}

std::string OwnershipModel::checkInvariants() {
  std::map<PartitionIndex, UpstreamId> Owners;
  for (ModelUpstream &Server : m_upstreams) {
    if (!Server.m_alive)
      continue;
    if (Server.m_guard->epoch() < Server.m_highestEpoch &&
        Server.m_guard->sequence() > 0 && m_disabledRule == Mutation::None)
      return "the keeper epoch of an upstream decreased";
    Server.m_highestEpoch =
        std::max(Server.m_highestEpoch, Server.m_guard->epoch());
    for (const auto &[Partition, Token] :
         Server.m_guard->owned(clock(Server))) {
      auto [It, Inserted] = Owners.emplace(Partition, Server.m_name);
      if (!Inserted)
        return "two owners of partition " + std::to_string(Partition.value()) +
               ": " + It->second.value() + " and " + Server.m_name.value();
    }
  }
  return m_steps % 16 == 0 ? checkStore() : "";
}

std::string OwnershipModel::checkStore() {
  for (const StoreEntry &Entry : m_store.read({"/", true, {}}).m_entries) {
    OwnershipChunk Chunk;
    DomainKeepers Keepers;
    std::map<std::string, std::uint64_t> Numbers;
    if (decodeChunk(Entry.m_value, Chunk))
      for (std::size_t I = 0; I < Chunk.m_partitions.size(); ++I)
        Numbers[Entry.m_key + std::to_string(I)] =
            Chunk.m_partitions[I].m_token.value();
    else if (decodeKeepers(Entry.m_value, Keepers))
      for (const auto &[Name, Record] : Keepers.m_records)
        Numbers[Name.value()] = Record.m_epoch.value();
    for (const auto &[Name, Number] : Numbers) {
      if (Number < m_highestNumbers[Name])
        return "a token or an epoch decreased: " + Name;
      m_highestNumbers[Name] = Number;
    }
  }
  return "";
}

std::string OwnershipModel::checkProgress() {
  OwnershipTable Table;
  for (const StoreEntry &Entry : m_store.read({"/", true, {}}).m_entries)
    Table.apply(Entry);
  for (std::uint32_t I = 0; I < Partitions; ++I) {
    const PartitionOwnership *Ownership = Table.find(Herd, PartitionIndex(I));
    bool Served = std::any_of(
        m_upstreams.begin(), m_upstreams.end(), [&](const auto &Server) {
          return Ownership && !Ownership->moving() &&
                 Server.m_name == Ownership->m_owner &&
                 Server.m_guard->owns(PartitionIndex(I), Ownership->m_token,
                                      clock(Server));
        });
    if (!Served)
      return "partition " + std::to_string(I) +
             " has no serving owner after the faults ended";
  }
  return "";
}

std::string OwnershipModel::run() {
  Duration End = m_faultsEnd + SettleTime;
  while (!m_queue.empty() && m_queue.begin()->first < End) {
    auto Next = m_queue.begin();
    m_time = Next->first;
    Action Task = std::move(Next->second);
    m_queue.erase(Next);
    Task();
    ++m_steps;
    std::string Violation = checkInvariants();
    if (!Violation.empty())
      return Violation + " at " + std::to_string(m_time.count()) + " us";
    if (m_steps > MaxSteps)
      return "the run exceeds its step limit";
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

std::ostream &operator<<(std::ostream &Stream, const Fault &Printed) {
  return Stream << static_cast<int>(Printed.m_kind) << "/" << Printed.m_target
                << "@" << Printed.m_start.count() << "+"
                << Printed.m_length.count();
}

Duration around(std::mt19937_64 &Random, int Ms) {
  return Duration(Ms * 1000 + static_cast<int>(Random() % 400'000));
}

/// Faults that violate safety without the rule, at randomly varied times.
std::vector<Fault> scenario(Mutation DisabledRule, std::mt19937_64 &Random) {
  auto Ms = [&](int Value) { return around(Random, Value); };
  int Keeper = static_cast<int>(Random() % 2);
  int Side = Keeper * 3;
  std::vector<Fault> Faults;
  for (int I = 0; I < 40; ++I)
    Faults.push_back({FaultKind::Move, static_cast<int>(Random() % 6),
                      Duration(2'000'000 + Random() % 8'000'000),
                      Duration(Random() % 5'000)});
  switch (DisabledRule) {
  case Mutation::ContactFromResponse:
    return {{FaultKind::HostCutFromPeers, Keeper, Ms(3000), Ms(6000)},
            {FaultKind::StoreSlow, Keeper, Ms(2500), Ms(6000)},
            {FaultKind::UpstreamReachableByOneHost, Side, Ms(3000), Ms(6000)}};
  case Mutation::NoQuorum:
    Faults = {
        {FaultKind::HostCutFromPeers, 1 - Keeper, Ms(3200), Ms(8000)},
        {FaultKind::UpstreamReachableByOneHost, Side, Ms(3000), Ms(8000)}};
    for (int Host = 0; Host < 6; ++Host)
      if (Host != 1 - Keeper)
        Faults.push_back(
            {FaultKind::HostCutFromStore, Host, Ms(2600), Ms(8000)});
    return Faults;
  case Mutation::GrantWhileReleasing:
    return {{FaultKind::UpstreamFreeze, 0, Ms(3000), Ms(1600)},
            {FaultKind::StoreSlow, Keeper, Ms(4000), Ms(5000)}};
  default:
    Faults.push_back({FaultKind::LateMessages, 1, Ms(1000), Ms(10'000)});
    Faults.push_back({FaultKind::UpstreamUnreachable, 1, Ms(4000), Ms(300)});
    return Faults;
  }
}

/// Runs scenarios for one rule until a partition has two owners. Returns the
/// number of that run, or 0 when there was none within \p Runs.
int firstViolation(Mutation ScenarioRule, Mutation DisabledRule, int Runs,
                   std::string &Violation) {
  std::mt19937_64 Random(20261204);
  for (int Run = 1; Run <= Runs; ++Run) {
    std::vector<Fault> Faults = scenario(ScenarioRule, Random);
    Violation = OwnershipModel(Faults, Random(), DisabledRule).run();
    if (Violation.starts_with("two owners"))
      return Run;
  }
  return 0;
}

} // namespace

BOOST_AUTO_TEST_CASE(one_owner_at_a_time_and_progress_once_faults_end) {
  std::size_t Steps = 0;
  bool Passed = rc::check("one owner", [&] {
    auto Faults = *rc::gen::arbitrary<std::vector<Fault>>();
    auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    OwnershipModel Model(Faults, Seed, Mutation::None);
    std::string Violation = Model.run();
    Steps += Model.steps();
    if (!Violation.empty())
      for (const Fault &Generated : Faults)
        RC_LOG() << Generated << " ";
    RC_ASSERT(Violation == "");
  });
  BOOST_TEST(Passed);
  BOOST_TEST(Steps >= 100'000u);
  BOOST_TEST_MESSAGE("steps: " << Steps);
}

BOOST_AUTO_TEST_CASE(safety_is_violated_without_any_one_rule) {
  for (Mutation DisabledRule :
       {Mutation::ContactFromResponse, Mutation::ReleaseWithoutWait,
        Mutation::IgnoreSequence, Mutation::LeaseFromReceipt,
        Mutation::NoQuorum, Mutation::GrantWhileReleasing}) {
    BOOST_TEST_CONTEXT("mutation " << static_cast<int>(DisabledRule)) {
      std::string Violation;
      int Run = firstViolation(DisabledRule, DisabledRule, 150, Violation);
      BOOST_TEST(Run > 0);
      std::cout << "mutation " << static_cast<int>(DisabledRule)
                << " fails in run " << Run << ": " << Violation << "\n";
      BOOST_TEST(firstViolation(DisabledRule, Mutation::None, std::max(Run, 10),
                                Violation) == 0);
    }
  }
}
