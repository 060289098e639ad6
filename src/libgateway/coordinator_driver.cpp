#include "coordinator_driver.h"

#include "burdockpulley/clock.h"
#include "burdockpulley/event_log.h"
#include "burdockpulley/request_limiter.h"
#include "store_keys.h"
#include "upstream_notice.h"

#include <algorithm>
#include <cmath>

namespace burdockpulley {

namespace {

/// Time to live of the coordinator lease, after which the store removes the
/// record and another host can be elected.
constexpr Duration CoordinatorLeaseTime{2'000'000};
constexpr Duration LeaseRenewalInterval{600'000};
constexpr Duration LeaseRenewalRetryDelay{200'000};
/// Fraction of the lease time during which the coordinator acts. The rest is a
/// margin, so that it stops before the lease can have expired in the store.
constexpr double SafeLeaseFraction = 0.95;
/// The store counts as reachable for this time after the start of the last
/// successful renewal.
constexpr Duration StoreReachableTime{1'100'000};
/// Upper bound of the random delay before an election, which makes collisions
/// between candidates rare.
constexpr Duration MaxElectionDelay{150'000};
/// The same after the start of a host. All hosts may start at the same time.
constexpr Duration MaxFirstElectionDelay{600'000};
constexpr Duration ElectionRetryDelay{400'000};
/// Extra delay of hosts with a low-bandwidth link, so that they become
/// coordinator only when no other host does.
constexpr Duration LowBandwidthDelay{350'000};
constexpr Duration TableWriteRetryDelay{150'000};
/// Exponent of an upstream's speed in its capacity. Above 1, so that fast
/// upstreams get more than their proportional share of keys: while they are not
/// busy, their responses come sooner.
constexpr double SpeedExponent = 1.6;
constexpr double MinServiceSeconds = 0.001;
/// Matches no connection of a pool.
constexpr std::uint64_t NoConnection = ~std::uint64_t(0);
/// A coordinator steps down after its paths to the upstreams have been lost for
/// this time. Grants outlive it and the election of another host.
constexpr Duration MaxPathLoss{300'000};
constexpr Duration ReleaseTimeout{2'000'000};
/// Longest time that a grant may wait for earlier commands to its upstream.
/// Together with the way it must not exceed KeyCoordinator's delivery slack,
/// because the upstream counts the grant from its arrival.
constexpr Duration MaxCommandWait{100'000};
/// Era of a store that has never come back from a copy. In a later one, a
/// missing key table may have been lost.
constexpr StoreEra FirstStoreEra(1);
/// An upstream at whose address another one has responded gets no keys for this
/// time. It is longer than a grant, so that its keys can be moved meanwhile.
constexpr Duration MisdirectedTime{5'000'000};

Duration scaled(Duration Time, double Factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(Time.count()) * Factor));
}

std::string tableKey(const ServiceId &Service) {
  return store_keys::KeyTables + Service.value();
}

} // namespace

CoordinatorDriver::CoordinatorDriver(GatewayState &State, WatchableStore &Store)
    : m_state(State), m_store(Store), m_random(std::random_device()()) {}

void CoordinatorDriver::onCoordinatorRecord(const HostId &Host,
                                            StoreVersion Version, Instant Now) {
  if (m_epoch == 0) {
    // For a claim: the version that the record must have, or none.
    m_coordinatorRecordVersion =
        Host.value().empty() ? StoreVersion(0) : Version;
    if (std::exchange(m_awaitsRestoredRecord, false)) {
      m_restoredRecord = m_coordinatorRecordVersion;
      // Claims before this one have failed.
      if (!m_interrupted.empty())
        m_nextLeaseAttempt = Now;
    }
  }
  bool Changed = !m_coordinatorKnown || Host != m_coordinator;
  if (!Changed || (m_epoch != 0 && Version < m_coordinatorRecordVersion))
    return;
  m_coordinatorKnown = true;
  m_coordinator = Host;
  logEvent(Severity::Info, "coordinator_changed", {{"host", Host.value()}});
  if (!Host.value().empty()) {
    if (m_epoch != 0 && Host != m_state.m_settings.m_host)
      stepDown("another-host-elected");
    return;
  }
  if (m_epoch != 0)
    stepDown("coordinator-record-gone");
  delayElection(MaxElectionDelay, Now);
}

void CoordinatorDriver::delayElection(Duration MaxDelay, Instant Now) {
  std::uniform_int_distribution<std::int64_t> Delay(0, MaxDelay.count());
  m_nextLeaseAttempt = Now + Duration(Delay(m_random));
  if (!m_state.m_settings.highBandwidth())
    m_nextLeaseAttempt += MaxDelay + LowBandwidthDelay;
}

void CoordinatorDriver::onRegistryLoaded(Instant Now) {
  if (m_coordinatorKnown)
    return;
  m_coordinatorKnown = true;
  delayElection(MaxFirstElectionDelay, Now);
}

void CoordinatorDriver::onKeyLoad(const ServiceId &Service, std::uint32_t Key,
                                  std::uint32_t Count) {
  auto CoordinationIt = m_coordinations.find(Service);
  if (CoordinationIt != m_coordinations.end())
    CoordinationIt->second.m_keyLoad.add(ShardKey(Key), Count);
}

void CoordinatorDriver::tick(Instant Now) {
  if (!m_interruptedQueues.empty() && Now >= m_interruptedUntil)
    m_interruptedQueues.clear();
  if (m_epoch == 0)
    return startElectionIfDue(Now);
  if (Now >= m_leaseValidUntil)
    return stepDown("lease-over");
  if (othersReachUpstreams() && Now - m_state.m_pathsChangedAt > MaxPathLoss)
    return stepDown("upstreams-lost");
  renewLease(Now);
  auto Configuration = m_state.m_routes.current();
  if (!m_storedTablesRead || !Configuration)
    return;
  for (const auto &[Name, Policy] : Configuration->m_services)
    if (Policy.m_keyed)
      tickService(Name, coordination(Name), Now);
  for (auto &[Id, Queue] : m_commandQueues)
    Queue->sweep(Now);
  std::erase_if(m_formerQueues,
                [](const auto &Queue) { return Queue->idle(); });
  for (auto &[Address, Pool] : m_releasePools)
    Pool->sweep(Now);
}

bool CoordinatorDriver::othersReachUpstreams() const {
  return m_state.m_registry.pathsLost() && !m_state.m_forwardingPeers.empty();
}

void CoordinatorDriver::startElectionIfDue(Instant Now) {
  // A record that came back with an older copy has no lease any more.
  bool Abandoned = Now >= m_recordReplaceableAt && !m_coordinatorHeard &&
                   m_coordinatorRecordVersion == m_restoredRecord;
  bool Replaceable =
      m_restored && (m_coordinator == m_state.m_settings.m_host || Abandoned);
  bool Vacant = m_coordinator.value().empty() || Replaceable;
  if (othersReachUpstreams() || !m_coordinatorKnown || !Vacant ||
      m_electionInProgress || m_resigned || m_state.m_stop ||
      Now < m_nextLeaseAttempt || Now < m_electionHeldUntil)
    return;
  m_electionInProgress = true;
  ++m_electionNumber;
  m_store.grantLease(CoordinatorLeaseTime,
                     [this, Now, Election = m_electionNumber](
                         const StoreReply<StoreLease> &Reply) {
                       if (Election == m_electionNumber)
                         onElectionLease(Reply, Now);
                     });
}

void CoordinatorDriver::onElectionLease(const StoreReply<StoreLease> &Reply,
                                        Instant Began) {
  const auto *Lease = std::get_if<StoreLease>(&Reply);
  if (!Lease) {
    m_electionInProgress = false;
    m_nextLeaseAttempt = bootClockNow() + ElectionRetryDelay;
    return;
  }
  m_lease = *Lease;
  StoreTransaction Claim;
  Claim.m_conditions.push_back(
      {store_keys::Coordinator, m_coordinatorRecordVersion});
  Claim.m_writes.push_back({store_keys::Coordinator,
                            m_state.m_settings.m_host.value(), false, m_lease});
  m_store.commit(Claim, [this, Began, Election = m_electionNumber](
                            const StoreReply<StoreCommit> &Reply) {
    if (Election == m_electionNumber)
      onElectionResult(Reply, Began);
  });
}

void CoordinatorDriver::onElectionResult(const StoreReply<StoreCommit> &Reply,
                                         Instant Began) {
  m_electionInProgress = false;
  Instant Now = bootClockNow();
  m_nextLeaseAttempt = Now + ElectionRetryDelay;
  const auto *Commit = std::get_if<StoreCommit>(&Reply);
  if (!Commit || !Commit->m_applied)
    // The lease is not renewed, so it expires, and with it a claim that was
    // committed although its reply was lost.
    return;
  m_coordinatorRecordVersion = Commit->m_version;
  m_epoch = Commit->m_version.value();
  m_coordinator = m_state.m_settings.m_host;
  m_leaseValidUntil = Began + scaled(CoordinatorLeaseTime, SafeLeaseFraction);
  m_lastRenewal = Began;
  m_renewing = false;
  m_storeReachable = true;
  m_storedTablesRead = false;
  m_state.m_metrics.setCoordinating(true);
  logEvent(Severity::Info, "coordinator_elected", {{"epoch", m_epoch}});
  readStoredTables();
}

void CoordinatorDriver::readStoredTables() {
  StoreQuery Query;
  Query.m_key = store_keys::KeyTables;
  Query.m_prefix = true;
  m_store.read(Query,
               [this, Epoch = m_epoch](const StoreReply<StoreRange> &Reply) {
                 if (Epoch == m_epoch)
                   onStoredTables(Reply);
               });
}

void CoordinatorDriver::onStoredTables(const StoreReply<StoreRange> &Reply) {
  const auto *Range = std::get_if<StoreRange>(&Reply);
  if (!Range)
    return stepDown("tables-not-read");
  m_storedTables.clear();
  m_storedTableVersions.clear();
  for (const StoreEntry &Entry : Range->m_entries) {
    ServiceId Service(Entry.m_key.substr(store_keys::KeyTables.size()));
    auto Table = decodeKeyTable(Entry.m_value);
    if (!Table) {
      logEvent(Severity::Error, "key_table_unreadable",
               {{"service", Service.value()}});
      return stepDown("table-unreadable");
    }
    m_storedTables[Service] = std::move(*Table);
    m_storedTableVersions[Service] = Entry.m_modified;
  }
  m_storedTablesRead = true;
  returnInterruptedQueues();
}

void CoordinatorDriver::returnInterruptedQueues() {
  // A grant under way may still arrive, unless its connection is reset.
  std::erase_if(m_interruptedQueues,
                [](const auto &Entry) { return !Entry.second->idle(); });
  m_commandQueues = std::exchange(m_interruptedQueues, {});
}

CoordinatorDriver::ServiceCoordination &
CoordinatorDriver::coordination(const ServiceId &Service) {
  auto CoordinationIt = m_coordinations.find(Service);
  if (CoordinationIt != m_coordinations.end())
    return CoordinationIt->second;
  KeyCoordinator::Settings Settings;
  Settings.m_longGrantDuration = m_state.m_settings.m_maxGrantDuration;
  Settings.m_grantDuration =
      std::min(Settings.m_grantDuration, Settings.m_longGrantDuration);
  CoordinationIt =
      m_coordinations
          .emplace(Service,
                   ServiceCoordination{{Service, Settings}, {}, {}, {}})
          .first;
  takeOver(Service, CoordinationIt->second, bootClockNow());
  return CoordinationIt->second;
}

void CoordinatorDriver::takeOver(const ServiceId &Service,
                                 ServiceCoordination &Coordination,
                                 Instant Now) {
  StoreEra Era = eraOf(StoreVersion(m_epoch));
  std::optional<KeyTable> StoredTable;
  StoreVersion TableVersion;
  if (auto TableIt = m_storedTables.find(Service);
      TableIt != m_storedTables.end()) {
    StoredTable = TableIt->second;
    TableVersion = m_storedTableVersions[Service];
  }
  // A table that was written in this era is newer than any restore.
  bool Older = StoredTable
                   ? StoredTable->m_era.value() != 0 && StoredTable->m_era < Era
                   : m_restored || Era > FirstStoreEra;
  auto Interrupted = m_interrupted.find(Service);
  // If nobody has written a table since, nobody has granted keys in this era.
  bool Resumes = Older && Interrupted != m_interrupted.end() &&
                 m_interruptedEra.value() + 1 == Era.value();
  if (Resumes) {
    Coordination = std::move(Interrupted->second);
    m_interrupted.erase(Interrupted);
    Coordination.m_keyCoordinator.resume(Era, m_restoredAt, m_interruptedUntil);
    Coordination.m_pendingTable.reset();
    Coordination.m_callInFlight = false;
  } else if (Older) {
    Coordination.m_keyCoordinator.takeOverRestored(
        StoredTable, Era, m_restored ? m_restoredAt : Now);
  } else {
    Coordination.m_keyCoordinator.takeOver(StoredTable, Now);
  }
  Coordination.m_tableVersion = TableVersion;
  if (Older)
    logEvent(Severity::Warning, "keys_after_restore",
             {{"service", Service.value()},
              {"era", Era.value()},
              {"table_era", StoredTable ? StoredTable->m_era.value() : 0},
              {"resumed", Resumes}});
}

void CoordinatorDriver::startRestore(Instant Now) {
  m_restored = true;
  m_restoredAt = Now;
  m_recordReplaceableAt = Now + CoordinatorLeaseTime * 2;
  // A coordinator that has not noticed the restore acts until its lease is
  // over.
  m_electionHeldUntil = Now + CoordinatorLeaseTime;
}

void CoordinatorDriver::onOlderTable(Instant Now) {
  if (m_restored || m_epoch != 0)
    return;
  logEvent(Severity::Warning, "store_was_restored", {});
  startRestore(Now);
  m_restoredRecord = m_coordinatorRecordVersion;
}

void CoordinatorDriver::onStoreRestored(Instant Now) {
  startRestore(Now);
  m_awaitsRestoredRecord = true;
  if (m_epoch == 0)
    return;
  if (!leaseValid(Now))
    return stepDown("lease-over");
  m_interruptedEra = eraOf(StoreVersion(m_epoch));
  m_interruptedUntil = m_leaseValidUntil;
  m_interrupted = std::move(m_coordinations);
  m_interruptedQueues = std::move(m_commandQueues);
  stepDown("store-restored");
  m_electionHeldUntil = m_nextLeaseAttempt = Now;
}

bool CoordinatorDriver::leaseValid(Instant Now) const {
  return m_epoch != 0 && Now < m_leaseValidUntil;
}

void CoordinatorDriver::renewLease(Instant Now) {
  if (Now - m_lastRenewal > StoreReachableTime && m_storeReachable) {
    m_storeReachable = false;
    logEvent(Severity::Warning, "coordinator_lease_not_renewed",
             {{"age_ms", (Now - m_lastRenewal).count() / 1000}});
  }
  if (m_renewing || Now < m_nextLeaseAttempt ||
      Now - m_lastRenewal < LeaseRenewalInterval)
    return;
  m_renewing = true;
  m_store.keepAlive(m_lease, [this, Now, Epoch = m_epoch](
                                 const StoreReply<StoreLease> &Reply) {
    if (Epoch != m_epoch)
      return;
    m_renewing = false;
    if (std::holds_alternative<StoreLease>(Reply)) {
      m_lastRenewal = Now;
      m_leaseValidUntil =
          std::max(m_leaseValidUntil,
                   Now + scaled(CoordinatorLeaseTime, SafeLeaseFraction));
      m_storeReachable = true;
      return;
    }
    if (std::get<StoreError>(Reply) == StoreError::LeaseExpired)
      return stepDown("lease-expired");
    m_nextLeaseAttempt = bootClockNow() + LeaseRenewalRetryDelay;
  });
}

void CoordinatorDriver::stepDown(const char *Reason) {
  logEvent(Severity::Warning, "coordinator_stepped_down",
           {{"epoch", m_epoch}, {"reason", Reason}});
  m_epoch = 0;
  ++m_electionNumber;
  m_electionInProgress = false;
  m_storedTablesRead = false;
  m_coordinations.clear();
  m_commandQueues.clear();
  m_formerQueues.clear();
  m_releasePools.clear();
  m_state.m_metrics.setCoordinating(false);
  m_coordinatorRecordVersion = StoreVersion(0);
  m_nextLeaseAttempt = bootClockNow() + ElectionRetryDelay;
  m_store.endLease(m_lease, [](const StoreReply<StoreLease> &) {});
  // The next coordinator becomes known from the store.
  if (m_coordinator == m_state.m_settings.m_host)
    m_coordinator = HostId();
}

void CoordinatorDriver::resign(Instant) {
  m_resigned = true;
  m_interruptedQueues.clear();
  if (m_epoch != 0)
    stepDown("stopping");
}

KeyCandidates
CoordinatorDriver::candidates(const ServiceId &Service,
                              const ServiceCoordination &Coordination,
                              Instant Now) const {
  KeyCandidates Candidates;
  bool HasWarmCandidate = false;
  for (const auto &[Id, Upstream] : m_state.m_registry.upstreams()) {
    if (Upstream.m_record.m_service != Service)
      continue;
    KeyCandidate Candidate;
    Candidate.m_id = Id;
    Candidate.m_incarnation = Upstream.m_record.m_incarnation;
    Candidate.m_capacity =
        Upstream.m_record.m_slots /
        std::pow(std::max(Upstream.m_serviceTimeRatio, 0.1), SpeedExponent);
    Candidate.m_maxRate = requestRate(Upstream);
    auto MisdirectedIt = Coordination.m_misdirectedAt.find(
        {Id, Upstream.m_record.m_incarnation});
    bool Misdirected = MisdirectedIt != Coordination.m_misdirectedAt.end() &&
                       Now - MisdirectedIt->second < MisdirectedTime;
    // Two sources have to agree: a response at the address, and the records.
    Candidate.m_processEnded =
        Misdirected && m_state.m_registry.addressTaken(Upstream);
    Candidate.m_mustRelease =
        Upstream.leaving() || Misdirected ||
        m_state.m_registry.domainOut(Upstream.m_record.m_domain);
    Candidate.m_eligible = m_state.m_registry.usable(Upstream) && !Misdirected;
    HasWarmCandidate |= Candidate.m_eligible && !Upstream.cold(Now);
    Candidates[Id] = Candidate;
  }
  // Cold upstreams receive keys only when there is no other candidate.
  if (HasWarmCandidate)
    for (auto &[Id, Candidate] : Candidates)
      Candidate.m_eligible &= !m_state.m_registry.find(Id)->cold(Now);
  return Candidates;
}

OwnerRates CoordinatorDriver::ownerRates(const ServiceId &Service) const {
  auto WorkTimeIt = m_state.m_workTimes.find(Service);
  if (WorkTimeIt == m_state.m_workTimes.end())
    return {};
  double Seconds =
      std::max(std::chrono::duration<double>(WorkTimeIt->second).count(),
               MinServiceSeconds);
  // If upstreams differ in slots, those with the fewest are busy first.
  std::uint32_t Slots = 0;
  for (const auto &[Id, Upstream] : m_state.m_registry.upstreams())
    if (Upstream.m_record.m_service == Service && Upstream.m_record.m_slots > 0)
      Slots = Slots == 0 ? Upstream.m_record.m_slots
                         : std::min(Slots, Upstream.m_record.m_slots);
  return {busyUtilization(Slots) / Seconds, 1 / Seconds};
}

void CoordinatorDriver::tickService(const ServiceId &Service,
                                    ServiceCoordination &Coordination,
                                    Instant Now) {
  Coordination.m_keyLoad.decay(Now);
  auto Commands = Coordination.m_keyCoordinator.tick(
      candidates(Service, Coordination, Now), Coordination.m_keyLoad,
      ownerRates(Service), m_storeReachable, Now);
  if (Commands.m_write) {
    Coordination.m_pendingTable = std::move(Commands.m_write);
    Coordination.m_pendingTable->m_era = eraOf(StoreVersion(m_epoch));
    Coordination.m_nextCall = Now;
  }
  for (const FreedKeys &Freed : Commands.m_freed)
    reportFreed(Service, Freed, Now);
  for (const ReleaseCommand &Release : Commands.m_releases)
    sendRelease(Service, Release);
  for (const GrantCommand &Grant : Commands.m_grants)
    sendGrant(Service, Grant);
  if (Coordination.m_pendingTable && !Coordination.m_callInFlight &&
      Now >= Coordination.m_nextCall)
    writeTable(Service, Now);
  if (Coordination.m_keyCoordinator.step() != Coordination.m_publishedStep &&
      !Coordination.m_keyCoordinator.awaitsEarlierGrants(Now) &&
      m_onOwnersChanged) {
    Coordination.m_publishedStep = Coordination.m_keyCoordinator.step();
    m_onOwnersChanged(Coordination.m_keyCoordinator.view(),
                      Coordination.m_publishedStep);
  }
}

void CoordinatorDriver::reportFreed(const ServiceId &Service,
                                    const FreedKeys &Freed, Instant Now) const {
  const KeyRange &Range = Freed.m_range;
  const char *Reason = toString(Freed.m_reason);
  m_state.m_metrics.onKeysFreed(Reason);
  std::int64_t GrantsLeft = 0;
  if (Freed.m_grantsEnd != Instant())
    GrantsLeft = (Freed.m_grantsEnd - Now).count() / 1000;
  logEvent(Severity::Info, "keys_freed",
           {{"service", Service.value()},
            {"upstream", Range.m_owner.value()},
            {"first", Range.m_first},
            {"last", Range.m_last},
            {"token", Range.m_token.value()},
            {"reason", Reason},
            {"grants_left_ms", GrantsLeft}});
}

void CoordinatorDriver::writeTable(const ServiceId &Service, Instant) {
  ServiceCoordination &Coordination = coordination(Service);
  Coordination.m_callInFlight = true;
  StoreTransaction TableWrite;
  TableWrite.m_conditions.push_back(
      {store_keys::Coordinator, m_coordinatorRecordVersion});
  TableWrite.m_conditions.push_back(
      {tableKey(Service), Coordination.m_tableVersion});
  TableWrite.m_writes.push_back({tableKey(Service),
                                 encodeKeyTable(*Coordination.m_pendingTable),
                                 false,
                                 {}});
  m_store.commit(TableWrite, [this, Service, Epoch = m_epoch](
                                 const StoreReply<StoreCommit> &Reply) {
    if (Epoch == m_epoch)
      onTableWritten(Service, Reply);
  });
}

void CoordinatorDriver::onTableWritten(const ServiceId &Service,
                                       const StoreReply<StoreCommit> &Reply) {
  ServiceCoordination &Coordination = coordination(Service);
  Coordination.m_callInFlight = false;
  Instant Now = bootClockNow();
  const auto *Commit = std::get_if<StoreCommit>(&Reply);
  if (!Commit) {
    Coordination.m_nextCall = Now + TableWriteRetryDelay;
    return;
  }
  if (!Commit->m_applied)
    return verifyTableWrite(Service);
  logEvent(Severity::Info, "key_table_written",
           {{"service", Service.value()},
            {"version", Coordination.m_pendingTable->m_version},
            {"ranges", Coordination.m_pendingTable->m_ranges.size()},
            {"epoch", m_epoch}});
  std::set<FencingToken> TokensInUse;
  for (const KeyRange &Range : Coordination.m_pendingTable->m_ranges)
    TokensInUse.insert(Range.m_token);
  std::erase_if(Coordination.m_firstGrantConnections,
                [&TokensInUse](const auto &TokenAndConnection) {
                  return !TokensInUse.count(TokenAndConnection.first);
                });
  Coordination.m_tableVersion = Commit->m_version;
  Coordination.m_pendingTable.reset();
  Coordination.m_keyCoordinator.onWritten(Now);
}

void CoordinatorDriver::verifyTableWrite(const ServiceId &Service) {
  // The condition also fails when an earlier attempt was committed but its
  // reply was lost, so the stored table is compared with the one to be written.
  coordination(Service).m_callInFlight = true;
  StoreQuery Query;
  Query.m_key = tableKey(Service);
  m_store.read(Query, [this, Service,
                       Epoch = m_epoch](const StoreReply<StoreRange> &Reply) {
    if (Epoch != m_epoch)
      return;
    ServiceCoordination &Coordination = coordination(Service);
    Coordination.m_callInFlight = false;
    const auto *Range = std::get_if<StoreRange>(&Reply);
    if (!Range) {
      Coordination.m_nextCall = bootClockNow() + TableWriteRetryDelay;
      return;
    }
    bool Committed = Range->m_entries.size() == 1 &&
                     Range->m_entries[0].m_value ==
                         encodeKeyTable(*Coordination.m_pendingTable);
    if (!Committed)
      return stepDown("table-changed");
    verifyWriter(Service, Range->m_entries[0].m_modified);
  });
}

void CoordinatorDriver::verifyWriter(const ServiceId &Service,
                                     StoreVersion TableVersion) {
  // Another coordinator may have written the same table: whoever takes over
  // raises the tokens in the same way. As long as the record is this host's,
  // nobody else could write.
  coordination(Service).m_callInFlight = true;
  StoreQuery Query;
  Query.m_key = store_keys::Coordinator;
  m_store.read(Query, [this, Service, TableVersion,
                       Epoch = m_epoch](const StoreReply<StoreRange> &Reply) {
    if (Epoch != m_epoch)
      return;
    ServiceCoordination &Coordination = coordination(Service);
    Coordination.m_callInFlight = false;
    const auto *Range = std::get_if<StoreRange>(&Reply);
    if (!Range) {
      Coordination.m_nextCall = bootClockNow() + TableWriteRetryDelay;
      return;
    }
    bool Own = Range->m_entries.size() == 1 &&
               Range->m_entries[0].m_modified == m_coordinatorRecordVersion;
    if (!Own)
      return stepDown("another-host-elected");
    Coordination.m_tableVersion = TableVersion;
    Coordination.m_pendingTable.reset();
    Coordination.m_keyCoordinator.onWritten(bootClockNow());
  });
}

void CoordinatorDriver::recordReachability(const UpstreamId &Upstream,
                                           const ChannelResult &Result,
                                           Instant Now) {
  if (Result.m_error == ChannelError::None) {
    m_state.m_reachability.onResponse();
    UpstreamState *Responding = m_state.m_registry.find(Upstream);
    if (!Responding)
      return;
    Responding->m_answeredAt = Now;
    if (!m_state.m_codec.showsOtherUpstream(Result.m_response))
      applyNotice(*Responding, m_state.m_codec.decodeNotice(Result.m_response),
                  "", Now);
  } else if (Result.m_connection !=
             0) { // Else its connection has ended before.
    m_state.m_reachability.onFailure(Upstream, Now);
  }
}

void CoordinatorDriver::onMisdirected(ServiceCoordination &Coordination,
                                      const KeyRange &Range, Instant Now) {
  Coordination.m_misdirectedAt[{Range.m_owner, Range.m_incarnation}] = Now;
  m_state.m_registry.onUnreachable(Range.m_owner, Now);
}

std::string CoordinatorDriver::addCommandId(HttpRequest &Request) {
  std::string Id = m_state.m_settings.m_host.value() + "-" +
                   std::to_string(m_epoch) + "-" +
                   std::to_string(++m_commandsSent);
  Request.m_headers.push_back({m_state.m_codec.headers().m_requestId, Id});
  return Id;
}

CommandQueue *CoordinatorDriver::commandQueue(const UpstreamId &Upstream) {
  const UpstreamState *Known = m_state.m_registry.find(Upstream);
  if (!Known)
    return nullptr;
  auto &Queue = m_commandQueues[Upstream];
  if (!Queue || Queue->address() != Known->m_record.m_address) {
    if (Queue) // Its commands must still end.
      m_formerQueues.push_back(std::move(Queue));
    Queue = std::make_unique<CommandQueue>(m_state.m_base,
                                           Known->m_record.m_address,
                                           grantSettings(m_state.m_codec));
  }
  return Queue.get();
}

void CoordinatorDriver::sendGrant(const ServiceId &Service,
                                  const GrantCommand &Command) {
  CommandQueue *Queue = commandQueue(Command.m_range.m_owner);
  if (!Queue)
    return coordination(Service).m_keyCoordinator.onGrant(
        Command.m_number, GrantOutcome::NotSent, bootClockNow());
  CommandQueue::Command Next;
  Next.m_request = m_state.m_codec.encodeGrant(Command);
  Next.m_id = addCommandId(Next.m_request);
  if (!Command.m_first) {
    const auto &Connections = coordination(Service).m_firstGrantConnections;
    auto ConnectionIt = Connections.find(Command.m_range.m_token);
    Next.m_connection =
        ConnectionIt == Connections.end() ? NoConnection : ConnectionIt->second;
  }
  Next.m_timeout = GrantTimeout;
  Instant Decided = bootClockNow();
  Next.m_sendBefore = std::min(Decided + MaxCommandWait, Command.m_sendBefore);
  Next.m_allowed = [this, Epoch = m_epoch] {
    return Epoch == m_epoch && leaseValid(bootClockNow());
  };
  Next.m_done = [this, Service, Command, Decided, Epoch = m_epoch,
                 SendBefore = Next.m_sendBefore](ChannelResult &&Result) {
    Instant Now = bootClockNow();
    recordReachability(Command.m_range.m_owner, Result, Now);
    if (Epoch != m_epoch)
      return;
    ServiceCoordination &Coordination = coordination(Service);
    GrantOutcome Outcome = GrantOutcome::Unanswered;
    if (Result.m_error == ChannelError::None)
      Outcome = m_state.m_codec.decodeGrant(Result.m_response);
    // A refused connection does not prove that the process has ended: a network
    // fault may refuse connections as well.
    else if (Result.m_error == ChannelError::ConnectFailed)
      Outcome = Now > SendBefore && Result.m_connection == 0
                    ? GrantOutcome::Dropped
                    : GrantOutcome::NotSent;
    m_state.m_metrics.onGrantEnded(toString(Outcome), Now - Decided);
    if (Outcome != GrantOutcome::Granted || Command.m_first ||
        Now - Decided > MaxCommandWait)
      logEvent(Severity::Info, "grant_ended",
               {{"upstream", Command.m_range.m_owner.value()},
                {"first", Command.m_range.m_first},
                {"last", Command.m_range.m_last},
                {"token", Command.m_range.m_token.value()},
                {"hold_ms", Command.m_duration.count() / 1000},
                {"outcome", toString(Outcome)},
                {"error", toString(Result.m_error)},
                {"problem", Result.m_problem},
                {"waited_ms", (Now - Decided - Result.m_spent).count() / 1000},
                {"spent_ms", Result.m_spent.count() / 1000}});
    if (Outcome == GrantOutcome::Granted && Command.m_first)
      Coordination.m_firstGrantConnections[Command.m_range.m_token] =
          Result.m_connection;
    if (Outcome == GrantOutcome::Misdirected)
      onMisdirected(Coordination, Command.m_range, Now);
    Coordination.m_keyCoordinator.onGrant(Command.m_number, Outcome, Now);
  };
  Queue->push(std::move(Next));
}

void CoordinatorDriver::sendRelease(const ServiceId &Service,
                                    const ReleaseCommand &Command) {
  const UpstreamState *Owner = m_state.m_registry.find(Command.m_range.m_owner);
  if (!Owner)
    return coordination(Service).m_keyCoordinator.onRelease(
        Command.m_number, false, "", bootClockNow());
  // An upstream responds to a release only when its running requests have
  // ended. Releases therefore have connections of their own, so that they do
  // not delay grant renewals.
  auto &Pool = m_releasePools[Owner->m_record.m_address];
  if (!Pool)
    Pool =
        std::make_unique<ChannelPool>(m_state.m_base, Owner->m_record.m_address,
                                      releaseSettings(m_state.m_codec));
  HttpRequest Request = m_state.m_codec.encodeRelease(Command);
  std::string Id = addCommandId(Request);
  Pool->call(Request, Id, ReleaseTimeout, ChannelPool::Reuse::Any,
             [this, Service, Command, Epoch = m_epoch](ChannelResult &&Result) {
               if (Epoch != m_epoch)
                 return;
               std::optional<std::string> Handover;
               if (Result.m_error == ChannelError::None)
                 Handover = m_state.m_codec.decodeRelease(Result.m_response);
               logEvent(Severity::Info, "release_ended",
                        {{"upstream", Command.m_range.m_owner.value()},
                         {"first", Command.m_range.m_first},
                         {"last", Command.m_range.m_last},
                         {"released", Handover.has_value()},
                         {"error", toString(Result.m_error)},
                         {"problem", Result.m_problem},
                         {"spent_ms", Result.m_spent.count() / 1000}});
               ServiceCoordination &Coordination = coordination(Service);
               Instant Now = bootClockNow();
               if (Result.m_error == ChannelError::None &&
                   m_state.m_codec.showsOtherUpstream(Result.m_response))
                 onMisdirected(Coordination, Command.m_range, Now);
               Coordination.m_keyCoordinator.onRelease(
                   Command.m_number, Handover.has_value(),
                   Handover.value_or(""), Now);
             });
}

} // namespace burdockpulley
