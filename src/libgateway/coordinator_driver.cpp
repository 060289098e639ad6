#include "coordinator_driver.h"

#include "burdockpulley/clock.h"
#include "burdockpulley/event_log.h"
#include "store_keys.h"

#include <algorithm>
#include <cmath>

namespace burdockpulley {

namespace {

/// Time after which the store gives the office to another host.
constexpr Duration OfficeLease{2'000'000};
constexpr Duration KeepEvery{600'000};
constexpr Duration KeepRetry{200'000};
/// Part of the lease's time for which it is relied on.
constexpr double LeaseShare = 0.95;
/// The store counts as reachable for this long after it has answered.
constexpr Duration ReachableTime{1'100'000};
/// Candidates wait for a random time up to this, so that few collide.
constexpr Duration MaxElectionDelay{150'000};
/// The same when hosts start, which they may all do at once.
constexpr Duration MaxFirstElectionDelay{600'000};
constexpr Duration ElectionRetry{400'000};
/// Hosts with a narrow link leave the office to others, if there are any: they
/// wait so much longer before they run for it.
constexpr Duration SlowLinkDelay{350'000};
constexpr Duration WriteRetry{150'000};
/// Keys are moved away from owners that are busy for this share of their time.
constexpr double BusyShare = 0.3;
/// Above one, so that fast upstreams get more than their share: their answers
/// come sooner, as long as they are not busy.
constexpr double SpeedPower = 1.6;
constexpr double MinWorkSeconds = 0.001;
/// Is no number of a connection.
constexpr std::uint64_t NoConnection = ~std::uint64_t(0);
constexpr Duration GrantTimeout{400'000};
constexpr Duration ReleaseTimeout{2'000'000};

Duration scaled(Duration Time, double Factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(Time.count()) * Factor));
}

ChannelPoolSettings lineSettings() {
  ChannelPoolSettings Settings;
  Settings.m_maxConnections = 1;
  return Settings;
}

std::string tableKey(const ServiceId &Service) {
  return store_keys::KeyTables + Service.value();
}

} // namespace

CommandQueue::CommandQueue(event_base *Base, const Endpoint &Where)
    : m_address(Where), m_pool(Base, Where, lineSettings()) {}

void CommandQueue::push(Order Next) {
  m_orders.push_back(std::move(Next));
  if (!m_busy)
    startNext();
}

void CommandQueue::startNext() {
  if (m_orders.empty())
    return;
  Order Next = std::move(m_orders.front());
  m_orders.pop_front();
  if (!Next.m_allowed())
    return;
  m_busy = true;
  m_pool.call(
      Next.m_request, "", Next.m_timeout, ChannelPool::Reuse::Any,
      [this, Done = std::move(Next.m_done)](ChannelResult &&Result) {
        m_busy = false;
        Done(std::move(Result));
        if (!m_busy)
          startNext();
      },
      Next.m_connection);
}

CoordinatorDriver::CoordinatorDriver(GatewayState &State,
                                     WatchableStore &Source)
    : m_state(State), m_source(Source), m_random(std::random_device()()) {}

void CoordinatorDriver::onCoordinatorKnown(const HostId &Who,
                                           StoreVersion Version, Instant Now) {
  bool News = !m_known || Who != m_coordinator;
  if (!News || (m_epoch != 0 && Version < m_officeVersion))
    return;
  m_known = true;
  m_coordinator = Who;
  logEvent(Severity::Info, "coordinator_changed", {{"host", Who.value()}});
  if (!Who.value().empty()) {
    if (m_epoch != 0 && Who != m_state.m_settings.m_host)
      lose("another-host-elected");
    return;
  }
  if (m_epoch != 0)
    lose("coordinator-record-gone");
  delayElection(MaxElectionDelay, Now);
}

void CoordinatorDriver::delayElection(Duration Most, Instant Now) {
  std::uniform_int_distribution<std::int64_t> Delay(0, Most.count());
  m_runAt = Now + Duration(Delay(m_random));
  if (!m_state.m_settings.highBandwidth())
    m_runAt += Most + SlowLinkDelay;
}

void CoordinatorDriver::onRegistryLoaded(Instant Now) {
  if (m_known)
    return;
  m_known = true;
  delayElection(MaxFirstElectionDelay, Now);
}

void CoordinatorDriver::onKeyLoad(const ServiceId &Service, std::uint32_t Key,
                                  std::uint32_t Count) {
  auto Found = m_offices.find(Service);
  if (Found != m_offices.end())
    Found->second.m_load.add(ShardKey(Key), Count);
}

void CoordinatorDriver::tick(Instant Now) {
  if (m_epoch == 0)
    return runForOffice(Now);
  if (Now >= m_leaseUntil)
    return lose("lease-over");
  keepLease(Now);
  auto Configuration = m_state.m_routes.current();
  if (!m_tablesRead || !Configuration)
    return;
  for (const auto &[Name, Policy] : Configuration->m_services)
    if (Policy.m_keyed)
      run(Name, office(Name), Now);
  for (auto &[Id, Line] : m_lines)
    Line->sweep(Now);
  for (auto &[Where, Pool] : m_releases)
    Pool->sweep(Now);
}

void CoordinatorDriver::runForOffice(Instant Now) {
  if (!m_known || !m_coordinator.value().empty() || m_running || m_resigned ||
      m_state.m_stopping || Now < m_runAt)
    return;
  m_running = true;
  ++m_attempt;
  m_source.grantLease(OfficeLease, [this, Now, Attempt = m_attempt](
                                       const StoreReply<StoreLease> &Reply) {
    if (Attempt == m_attempt)
      onLease(Reply, Now);
  });
}

void CoordinatorDriver::onLease(const StoreReply<StoreLease> &Reply,
                                Instant Began) {
  const auto *Lease = std::get_if<StoreLease>(&Reply);
  if (!Lease) {
    m_running = false;
    m_runAt = bootClockNow() + ElectionRetry;
    return;
  }
  m_lease = *Lease;
  StoreTransaction Claim;
  Claim.m_conditions.push_back({store_keys::Coordinator, StoreVersion(0)});
  Claim.m_writes.push_back({store_keys::Coordinator,
                            m_state.m_settings.m_host.value(), false, m_lease});
  m_source.commit(Claim, [this, Began, Attempt = m_attempt](
                             const StoreReply<StoreCommit> &Reply) {
    if (Attempt == m_attempt)
      onElected(Reply, Began);
  });
}

void CoordinatorDriver::onElected(const StoreReply<StoreCommit> &Reply,
                                  Instant Began) {
  m_running = false;
  Instant Now = bootClockNow();
  m_runAt = Now + ElectionRetry;
  const auto *Commit = std::get_if<StoreCommit>(&Reply);
  if (!Commit || !Commit->m_applied)
    return; // Without an answer, the lease ends by itself.
  m_officeVersion = Commit->m_version;
  m_epoch = Commit->m_version.value();
  m_coordinator = m_state.m_settings.m_host;
  m_leaseUntil = Began + scaled(OfficeLease, LeaseShare);
  m_keptAt = Began;
  m_keeping = false;
  m_reachable = true;
  m_tablesRead = false;
  m_state.m_metrics.setCoordinating(true);
  logEvent(Severity::Info, "coordinator_elected", {{"epoch", m_epoch}});
  readTables();
}

void CoordinatorDriver::readTables() {
  StoreQuery Query;
  Query.m_key = store_keys::KeyTables;
  Query.m_prefix = true;
  m_source.read(Query,
                [this, Epoch = m_epoch](const StoreReply<StoreRange> &Reply) {
                  if (Epoch == m_epoch)
                    onTables(Reply);
                });
}

void CoordinatorDriver::onTables(const StoreReply<StoreRange> &Reply) {
  const auto *Range = std::get_if<StoreRange>(&Reply);
  if (!Range)
    return lose("tables-not-read");
  m_stored.clear();
  m_storedVersions.clear();
  for (const StoreEntry &Entry : Range->m_entries) {
    ServiceId Service(Entry.m_key.substr(store_keys::KeyTables.size()));
    auto Table = decodeKeyTable(Entry.m_value);
    if (!Table) {
      logEvent(Severity::Error, "key_table_unreadable",
               {{"service", Service.value()}});
      return lose("table-unreadable");
    }
    m_stored[Service] = std::move(*Table);
    m_storedVersions[Service] = Entry.m_modified;
  }
  m_tablesRead = true;
}

CoordinatorDriver::Office &CoordinatorDriver::office(const ServiceId &Service) {
  auto Found = m_offices.find(Service);
  if (Found != m_offices.end())
    return Found->second;
  KeyCoordinator::Settings Settings;
  Settings.m_longGrantDuration = m_state.m_settings.m_maxGrantDuration;
  Settings.m_grantDuration =
      std::min(Settings.m_grantDuration, Settings.m_longGrantDuration);
  Found =
      m_offices.emplace(Service, Office{{Service, Settings}, {}, {}, {}}).first;
  Office &Made = Found->second;
  std::optional<KeyTable> Stored;
  if (auto Known = m_stored.find(Service); Known != m_stored.end()) {
    Stored = Known->second;
    Made.m_tableVersion = m_storedVersions[Service];
  }
  Made.m_keys.takeOver(Stored, bootClockNow());
  return Made;
}

bool CoordinatorDriver::mayAct(Instant Now) const {
  return m_epoch != 0 && Now < m_leaseUntil;
}

void CoordinatorDriver::keepLease(Instant Now) {
  if (Now - m_keptAt > ReachableTime && m_reachable) {
    m_reachable = false;
    logEvent(Severity::Warning, "coordinator_lease_not_renewed",
             {{"age_ms", (Now - m_keptAt).count() / 1000}});
  }
  if (m_keeping || Now < m_runAt || Now - m_keptAt < KeepEvery)
    return;
  m_keeping = true;
  m_source.keepAlive(m_lease, [this, Now, Epoch = m_epoch](
                                  const StoreReply<StoreLease> &Reply) {
    if (Epoch != m_epoch)
      return;
    m_keeping = false;
    if (std::holds_alternative<StoreLease>(Reply)) {
      m_keptAt = Now;
      m_leaseUntil =
          std::max(m_leaseUntil, Now + scaled(OfficeLease, LeaseShare));
      m_reachable = true;
      return;
    }
    if (std::get<StoreError>(Reply) == StoreError::LeaseExpired)
      return lose("lease-expired");
    m_runAt = bootClockNow() + KeepRetry;
  });
}

void CoordinatorDriver::lose(const char *Why) {
  logEvent(Severity::Warning, "coordinator_stepped_down",
           {{"epoch", m_epoch}, {"reason", Why}});
  m_epoch = 0;
  ++m_attempt;
  m_running = false;
  m_tablesRead = false;
  m_offices.clear();
  m_lines.clear();
  m_releases.clear();
  m_state.m_metrics.setCoordinating(false);
  m_runAt = bootClockNow() + ElectionRetry;
  m_source.endLease(m_lease, [](const StoreReply<StoreLease> &) {});
  // Who holds the office next, the store will say.
  if (m_coordinator == m_state.m_settings.m_host)
    m_coordinator = HostId();
}

void CoordinatorDriver::resign(Instant) {
  m_resigned = true;
  if (m_epoch != 0)
    lose("stopping");
}

KeyCandidates CoordinatorDriver::candidates(const ServiceId &Service,
                                            const Office &Which,
                                            Instant Now) const {
  KeyCandidates All;
  bool AnyWarm = false;
  for (const auto &[Id, Row] : m_state.m_registry.upstreams()) {
    if (Row.m_record.m_service != Service)
      continue;
    KeyCandidate Each;
    Each.m_id = Id;
    Each.m_incarnation = Row.m_record.m_incarnation;
    Each.m_capacity =
        Row.m_record.m_slots /
        std::pow(std::max(Row.m_serviceTimeRatio, 0.1), SpeedPower);
    Each.m_mustRelease =
        Row.leaving() || m_state.m_registry.domainOut(Row.m_record.m_domain);
    Each.m_processEnded =
        Which.m_dead.count({Id, Row.m_record.m_incarnation}) != 0;
    Each.m_eligible = m_state.m_registry.usable(Row) && !Each.m_processEnded;
    AnyWarm |= Each.m_eligible && !Row.cold(Now);
    All[Id] = Each;
  }
  if (AnyWarm)
    for (auto &[Id, Each] : All)
      Each.m_eligible &= !m_state.m_registry.find(Id)->cold(Now);
  return All;
}

double CoordinatorDriver::busyRate(const ServiceId &Service) const {
  auto Found = m_state.m_workTimes.find(Service);
  if (Found == m_state.m_workTimes.end())
    return 0;
  double Seconds = std::chrono::duration<double>(Found->second).count();
  return BusyShare / std::max(Seconds, MinWorkSeconds);
}

void CoordinatorDriver::run(const ServiceId &Service, Office &Which,
                            Instant Now) {
  Which.m_load.decay(Now);
  auto Commands =
      Which.m_keys.tick(candidates(Service, Which, Now), Which.m_load,
                        busyRate(Service), m_reachable, Now);
  if (Commands.m_write) {
    Which.m_writing = std::move(Commands.m_write);
    Which.m_nextCall = Now;
  }
  for (const ReleaseCommand &Each : Commands.m_releases)
    sendRelease(Service, Each);
  for (const GrantCommand &Each : Commands.m_grants)
    sendGrant(Service, Each);
  if (Which.m_writing && !Which.m_callInFlight && Now >= Which.m_nextCall)
    writeTable(Service, Now);
  if (Which.m_keys.step() != Which.m_toldStep && m_onView) {
    Which.m_toldStep = Which.m_keys.step();
    m_onView(Which.m_keys.view(), Which.m_toldStep);
  }
}

void CoordinatorDriver::writeTable(const ServiceId &Service, Instant) {
  Office &Which = office(Service);
  Which.m_callInFlight = true;
  StoreTransaction Change;
  Change.m_conditions.push_back({store_keys::Coordinator, m_officeVersion});
  Change.m_conditions.push_back({tableKey(Service), Which.m_tableVersion});
  Change.m_writes.push_back(
      {tableKey(Service), encodeKeyTable(*Which.m_writing), false, {}});
  m_source.commit(Change, [this, Service, Epoch = m_epoch](
                              const StoreReply<StoreCommit> &Reply) {
    if (Epoch == m_epoch)
      onTableWritten(Service, Reply);
  });
}

void CoordinatorDriver::onTableWritten(const ServiceId &Service,
                                       const StoreReply<StoreCommit> &Reply) {
  Office &Which = office(Service);
  Which.m_callInFlight = false;
  Instant Now = bootClockNow();
  const auto *Commit = std::get_if<StoreCommit>(&Reply);
  if (!Commit) {
    Which.m_nextCall = Now + WriteRetry;
    return;
  }
  if (!Commit->m_applied)
    return checkWrite(Service);
  logEvent(Severity::Info, "key_table_written",
           {{"service", Service.value()},
            {"version", Which.m_writing->m_version},
            {"ranges", Which.m_writing->m_ranges.size()},
            {"epoch", m_epoch}});
  std::set<FencingToken> InUse;
  for (const KeyRange &Range : Which.m_writing->m_ranges)
    InUse.insert(Range.m_token);
  std::erase_if(Which.m_connectionOf, [&InUse](const auto &Each) {
    return !InUse.count(Each.first);
  });
  Which.m_tableVersion = Commit->m_version;
  Which.m_writing.reset();
  Which.m_keys.onWritten(Now);
}

void CoordinatorDriver::checkWrite(const ServiceId &Service) {
  // An earlier try whose answer was lost may have been carried out.
  office(Service).m_callInFlight = true;
  StoreQuery Query;
  Query.m_key = tableKey(Service);
  m_source.read(Query, [this, Service,
                        Epoch = m_epoch](const StoreReply<StoreRange> &Reply) {
    if (Epoch != m_epoch)
      return;
    Office &Which = office(Service);
    Which.m_callInFlight = false;
    const auto *Range = std::get_if<StoreRange>(&Reply);
    if (!Range) {
      Which.m_nextCall = bootClockNow() + WriteRetry;
      return;
    }
    bool Ours = Range->m_entries.size() == 1 &&
                Range->m_entries[0].m_value == encodeKeyTable(*Which.m_writing);
    if (!Ours)
      return lose("table-changed");
    Which.m_tableVersion = Range->m_entries[0].m_modified;
    Which.m_writing.reset();
    Which.m_keys.onWritten(bootClockNow());
  });
}

CommandQueue *CoordinatorDriver::line(const UpstreamId &Which) {
  const UpstreamState *Row = m_state.m_registry.find(Which);
  if (!Row)
    return nullptr;
  auto &Line = m_lines[Which];
  if (!Line || Line->address() != Row->m_record.m_address)
    Line =
        std::make_unique<CommandQueue>(m_state.m_base, Row->m_record.m_address);
  return Line.get();
}

void CoordinatorDriver::sendGrant(const ServiceId &Service,
                                  const GrantCommand &Order) {
  CommandQueue *Line = line(Order.m_range.m_owner);
  if (!Line)
    return office(Service).m_keys.onGrant(Order.m_number, GrantOutcome::NotSent,
                                          bootClockNow());
  CommandQueue::Order Next;
  Next.m_request = m_state.m_codec.encodeGrant(Order);
  if (!Order.m_first) {
    const auto &Known = office(Service).m_connectionOf;
    auto Found = Known.find(Order.m_range.m_token);
    Next.m_connection = Found == Known.end() ? NoConnection : Found->second;
  }
  Next.m_timeout = GrantTimeout;
  Next.m_allowed = [this, Epoch = m_epoch] {
    return Epoch == m_epoch && mayAct(bootClockNow());
  };
  Next.m_done = [this, Service, Order,
                 Epoch = m_epoch](ChannelResult &&Result) {
    if (Epoch != m_epoch)
      return;
    Office &Which = office(Service);
    Instant Now = bootClockNow();
    GrantOutcome Outcome = GrantOutcome::Unanswered;
    if (Result.m_error == ChannelError::None)
      Outcome = m_state.m_codec.decodeGrant(Result.m_response);
    // A refused connection shows no dead process: a cut may refuse as well.
    else if (Result.m_error == ChannelError::ConnectFailed)
      Outcome = GrantOutcome::NotSent;
    if (Outcome != GrantOutcome::Granted || Order.m_first)
      logEvent(Severity::Info, "grant_ended",
               {{"upstream", Order.m_range.m_owner.value()},
                {"first", Order.m_range.m_first},
                {"last", Order.m_range.m_last},
                {"token", Order.m_range.m_token.value()},
                {"outcome", static_cast<int>(Outcome)},
                {"error", toString(Result.m_error)},
                {"spent_ms", Result.m_spent.count() / 1000}});
    if (Outcome == GrantOutcome::Granted && Order.m_first)
      Which.m_connectionOf[Order.m_range.m_token] = Result.m_connection;
    if (Outcome == GrantOutcome::ProcessEnded) {
      Which.m_dead.insert({Order.m_range.m_owner, Order.m_range.m_incarnation});
      m_state.m_registry.onUnreachable(Order.m_range.m_owner, Now);
      if (m_onUpstreamDown)
        m_onUpstreamDown(Order.m_range.m_owner, Now);
    }
    Which.m_keys.onGrant(Order.m_number, Outcome, Now);
  };
  Line->push(std::move(Next));
}

void CoordinatorDriver::sendRelease(const ServiceId &Service,
                                    const ReleaseCommand &Order) {
  const UpstreamState *Row = m_state.m_registry.find(Order.m_range.m_owner);
  if (!Row)
    return office(Service).m_keys.onRelease(Order.m_number, false, "",
                                            bootClockNow());
  // A release is answered only when running work has ended, so each has a
  // connection of its own beside the renewals.
  auto &Pool = m_releases[Row->m_record.m_address];
  if (!Pool)
    Pool = std::make_unique<ChannelPool>(
        m_state.m_base, Row->m_record.m_address, ChannelPoolSettings());
  Pool->call(m_state.m_codec.encodeRelease(Order), "", ReleaseTimeout,
             ChannelPool::Reuse::Any,
             [this, Service, Order, Epoch = m_epoch](ChannelResult &&Result) {
               if (Epoch != m_epoch)
                 return;
               std::optional<std::string> Handover;
               if (Result.m_error == ChannelError::None)
                 Handover = m_state.m_codec.decodeRelease(Result.m_response);
               logEvent(Severity::Info, "release_ended",
                        {{"upstream", Order.m_range.m_owner.value()},
                         {"first", Order.m_range.m_first},
                         {"last", Order.m_range.m_last},
                         {"released", Handover.has_value()},
                         {"error", toString(Result.m_error)},
                         {"spent_ms", Result.m_spent.count() / 1000}});
               Office &Which = office(Service);
               if (Result.m_error == ChannelError::None &&
                   m_state.m_codec.showsOtherUpstream(Result.m_response))
                 Which.m_dead.insert(
                     {Order.m_range.m_owner, Order.m_range.m_incarnation});
               Which.m_keys.onRelease(Order.m_number, Handover.has_value(),
                                      Handover.value_or(""), bootClockNow());
             });
}

} // namespace burdockpulley
