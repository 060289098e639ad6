#include "peer_state_exchange.h"

#include "burdockpulley/clock.h"
#include "burdockpulley/compression.h"
#include "burdockpulley/event_log.h"
#include "burdockpulley/thrift_codec.h"
#include "queue_reports.h"
#include "upstream_notice.h"

#include <algorithm>
#include <cmath>

namespace burdockpulley {

namespace {

/// Changes of owners are collected for this time and sent together.
constexpr Duration OwnersUpdateDelay{50'000};
constexpr Duration MinKeyLoadInterval{200'000};
/// Interval of key loads for each host: one host, the coordinator, gets them
/// all.
constexpr Duration KeyLoadIntervalPerHost{2'000};
/// An update of owners is sent at this interval even without changes, so that
/// hosts detect lost ones.
constexpr Duration OwnersUpdateInterval{500'000};
/// Bandwidth for updates of owners, suitable for links of 10 Mbit/s.
constexpr double OwnersBytesPerSecond = 250e3;
/// Rate and burst at which requests for all owners, and those for missed
/// changes of the store, are answered.
constexpr double RepliesPerSecond = 60;
constexpr double MaxReplyBurst = 12;
/// Bandwidth for replies that do not let the requesting host catch up, as it
/// asks again after each later change of the store.
constexpr double IncompleteReplyBytesPerSecond = 250e3;
constexpr Duration OwnersRequestInterval{300'000};
constexpr Duration StoreUpdateRequestInterval{100'000};
/// The same for a value of which the base is missing. The reply may be the
/// difference from another base again.
constexpr Duration ValueRequestInterval{500'000};
/// Approximate size at which changes of the store are split into several
/// messages.
constexpr std::size_t MaxStoreUpdateBytes = 16'000;
/// Larger values are compressed in messages to other hosts.
constexpr std::size_t CompressionThresholdBytes = 2'000;
/// Values that are still larger are not sent. The rest of a datagram is for its
/// header and for the keys of renewed records.
constexpr std::size_t MaxValueBytes = 56'000;
/// The same for a host on a narrow link, which sends to the hosts of two
/// failure domains: for 40 hosts, this takes 0.26 s of a link of 10 Mbit/s.
constexpr std::size_t MaxNarrowValueBytes = 8'000;
/// A coordinator that has sent nothing for this time may be down. It sends
/// updates of owners twice a second; its lease in the store expires later.
constexpr Duration CoordinatorTimeout{1'200'000};
/// Load reports that are older than this and than the interval of status
/// messages are not sent.
constexpr Duration MinReportAge{200'000};
constexpr double Percent = 100;
/// One status message out of this many carries the host's record. A multiple of
/// RemoteStatusPeriod, so that other failure domains get it too.
constexpr std::uint64_t StatusesPerRecord = 6;
/// How long hosts are told that an upstream no longer limits its requests.
constexpr Duration LimitEndAnnouncementTime{2'000'000};
/// Value of UpstreamLoadEntry.requestLimit for an upstream without a limit.
constexpr double NoRequestLimit = -1;

std::int32_t count(std::size_t Number) {
  return static_cast<std::int32_t>(Number);
}

/// Another host measures no negative time.
Duration fromMillis(std::int32_t Millis) {
  return std::chrono::milliseconds(std::max(Millis, 0));
}

std::uint32_t fromCount(std::int32_t Count) {
  return static_cast<std::uint32_t>(std::max(Count, 0));
}

PeerUpstreamLoad fromWire(const wire::UpstreamLoadEntry &Entry) {
  PeerUpstreamLoad Load;
  Load.m_upstream = NameHash(Entry.upstream);
  Load.m_outstanding = fromCount(Entry.outstanding);
  Load.m_waiting = fromCount(Entry.hostWaiting);
  Load.m_serviceTimeRatio = Entry.serviceTimePercent / Percent;
  Load.m_serviceTimeSamples = fromCount(Entry.serviceTimeSamples);
  Load.m_failures = fromCount(Entry.failures);
  if (Entry.__isset.sent)
    Load.m_sent = static_cast<std::uint32_t>(Entry.sent);
  Load.m_hasRequestLimit =
      Entry.__isset.requestLimit && Entry.__isset.requestLimitAgeMillis;
  if (Load.m_hasRequestLimit && std::isfinite(Entry.requestLimit) &&
      Entry.requestLimit >= 0)
    Load.m_requestLimit = Entry.requestLimit;
  Load.m_requestLimitAge = fromMillis(Entry.requestLimitAgeMillis);
  if (Entry.__isset.leavingIncarnation)
    Load.m_leavingIncarnation = UpstreamIncarnation(Entry.leavingIncarnation);
  Load.m_hasReport = Entry.__isset.reportAgeMillis;
  if (Load.m_hasReport)
    Load.m_answeredAge = fromMillis(Entry.reportAgeMillis);
  else if (Entry.__isset.answeredAgeMillis)
    Load.m_answeredAge = fromMillis(Entry.answeredAgeMillis);
  if (!Load.m_hasReport)
    return Load;
  Load.m_report.m_running = fromCount(Entry.running);
  Load.m_report.m_waiting = fromCount(Entry.waiting);
  Load.m_report.m_slowness =
      std::max(Entry.slownessPercent / Percent, MinSlowness);
  Load.m_reportAge = fromMillis(Entry.reportAgeMillis);
  return Load;
}

/// Moves the samples that were not reported yet to \p Entry.
void takeSamples(UpstreamState &Upstream, wire::UpstreamLoadEntry &Entry) {
  if (Upstream.m_localRatioCount == 0)
    return;
  Entry.__set_serviceTimePercent(static_cast<std::int32_t>(
      Upstream.m_localRatioSum / Upstream.m_localRatioCount * Percent));
  Entry.__set_serviceTimeSamples(
      static_cast<std::int32_t>(Upstream.m_localRatioCount));
  if (Upstream.m_localFailures > 0)
    Entry.__set_failures(static_cast<std::int32_t>(Upstream.m_localFailures));
  Upstream.m_localRatioSum = 0;
  Upstream.m_localRatioCount = 0;
  Upstream.m_localFailures = 0;
}

wire::TeamUse toWire(const TeamUse &Use) {
  wire::TeamUse Entry;
  Entry.team = Use.m_team.value();
  Entry.admitted = static_cast<std::int32_t>(Use.m_admitted);
  Entry.demandHundredths =
      static_cast<std::int32_t>(std::lround(Use.m_demand * Percent));
  if (Use.m_left)
    Entry.__set_leftPercent(static_cast<std::int32_t>(*Use.m_left * Percent));
  if (Use.m_refunded > 0)
    Entry.__set_refunded(static_cast<std::int32_t>(Use.m_refunded));
  return Entry;
}

TeamUse fromWire(const wire::TeamUse &Entry) {
  TeamUse Use;
  Use.m_team = NameHash(Entry.team);
  Use.m_admitted = fromCount(Entry.admitted);
  Use.m_demand = fromCount(Entry.demandHundredths) / Percent;
  if (Entry.__isset.leftPercent)
    Use.m_left = std::clamp(Entry.leftPercent / Percent, 0.0, 1.0);
  if (Entry.__isset.refunded)
    Use.m_refunded = std::min(fromCount(Entry.refunded), Use.m_admitted);
  return Use;
}

/// Encodes the value of a change. \p Base is the entry that the receivers have,
/// or null if that is not known. A value that then takes more than \p MaxBytes
/// is left out.
void setValue(wire::StoreChange &Change, const std::string &Value,
              const StoreEntry *Base, std::size_t MaxBytes) {
  if (Value.size() <= CompressionThresholdBytes) {
    Change.value = Value;
    return;
  }
  Change.__set_packed(true);
  Change.value =
      Base ? compressDifference(Base->m_value, Value) : compress(Value);
  if (Base)
    Change.__set_base(numberInEra(Base->m_modified));
  if (Change.value.size() <= MaxBytes)
    return;
  logEvent(Severity::Info, "store_value_not_sent",
           {{"key", Change.key}, {"bytes", Change.value.size()}});
  Change.value.clear();
  Change.__set_omitted(true);
}

/// \p BaseOf: returns the entry that the receivers have in place of a changed
/// one, or null.
template <class BaseFunction>
wire::StoreUpdate toWire(StoreVersion After, const StoreEvents &Changes,
                         std::size_t MaxValueBytes, BaseFunction BaseOf) {
  wire::StoreUpdate Update;
  StoreEra Era = eraOf(Changes.m_version);
  Update.after = numberInEra(After);
  Update.version = numberInEra(Changes.m_version);
  if (Era.value() != 0)
    Update.__set_era(Era.value());
  for (const StoreEvent &Event : Changes.m_events) {
    const StoreEntry *Base = BaseOf(Event.m_entry);
    if (Base && eraOf(Base->m_modified) != Era)
      Base = nullptr;
    wire::StoreChange Change;
    Change.key = Event.m_entry.m_key;
    setValue(Change, Event.m_entry.m_value, Base, MaxValueBytes);
    Change.version = numberInEra(Event.m_entry.m_modified);
    Change.removed = Event.m_removed;
    Update.events.push_back(std::move(Change));
  }
  return Update;
}

} // namespace

bool PeerStateExchange::ReplyAllowance::take(Instant Now) {
  double SecondsPassed =
      std::chrono::duration<double>(Now - m_updatedAt).count();
  m_updatedAt = Now;
  m_replies =
      std::min(MaxReplyBurst, m_replies + SecondsPassed * RepliesPerSecond);
  if (m_replies < 1)
    return false;
  m_replies -= 1;
  return true;
}

PeerStateExchange::PeerStateExchange(GatewayState &State, RequestRelay &Relay,
                                     CoordinatorDriver &Coordinator)
    : m_state(State), m_relay(Relay), m_coordinator(Coordinator),
      m_transport(State.m_base, State.m_settings.m_host,
                  State.m_settings.m_domain,
                  [this](const HostId &Sender, const wire::Datagram &Message) {
                    onMessage(Sender, Message);
                  }) {
  Relay.onSuspicion([this](Fingerprint Request, const UpstreamId &Upstream) {
    wire::Datagram Message;
    wire::CrashReport Report;
    Report.fingerprint = static_cast<std::int64_t>(Request.value());
    Report.upstream = Upstream.value();
    Message.__set_crash(Report);
    m_transport.sendAll(std::move(Message));
  });
}

void PeerStateExchange::tick(Instant Now) {
  if (m_coordinator.coordinator() != m_monitoredCoordinator) {
    m_monitoredCoordinator = m_coordinator.coordinator();
    m_lastCoordinatorMessage = Now;
  }
  m_state.m_registeredHosts = m_transport.peers() + 1;
  m_state.m_forwardingPeers = m_transport.forwardingPeers(Now);
  if (std::exchange(m_reportedPathsLost, m_state.m_registry.pathsLost()) !=
      m_state.m_registry.pathsLost())
    m_nextStatus = Now;
  if (!m_transport.hasKey())
    return;
  if (Now >= m_nextStatus) {
    m_nextStatus = Now + statusInterval(m_transport.peers());
    sendHostStatus(Now);
  }
  if (Now >= m_nextKeyLoad) {
    m_nextKeyLoad =
        Now + std::max<Duration>(MinKeyLoadInterval,
                                 KeyLoadIntervalPerHost * m_transport.peers());
    sendKeyLoad();
  }
  if (m_coordinator.coordinating() && Now >= m_nextOwnersUpdate)
    sendOwners(Now);
}

void PeerStateExchange::onTableChanged(Instant Now) {
  m_nextOwnersUpdate =
      std::min(m_nextOwnersUpdate,
               std::max(Now + OwnersUpdateDelay, m_ownersBandwidthFreeAt));
}

void PeerStateExchange::sendOwners(Instant Now) {
  std::size_t Bytes = 0;
  for (const auto &[Service, Snapshot] : m_state.m_owners.all()) {
    auto Delta =
        m_deltaBuilder.buildDelta(Snapshot, m_coordinator.epoch(), Now);
    if (!Delta)
      continue;
    wire::Datagram Message;
    Message.__set_ownersUpdate(toWire(*Delta));
    wire::Datagram ForRelays = Message;
    ForRelays.ownersUpdate.__set_relay(true);
    Bytes +=
        m_transport.sendByRelays(std::move(Message), std::move(ForRelays), Now);
  }
  double Seconds = static_cast<double>(Bytes) / OwnersBytesPerSecond;
  m_ownersBandwidthFreeAt =
      Now + Duration(static_cast<std::int64_t>(Seconds * 1e6));
  m_nextOwnersUpdate =
      std::max(Now + OwnersUpdateInterval, m_ownersBandwidthFreeAt);
}

void PeerStateExchange::onOwnersUpdate(const HostId &Sender,
                                       const wire::OwnersUpdate &Update,
                                       Instant Now) {
  if (Update.relay) {
    wire::Datagram Relayed;
    Relayed.__set_ownersUpdate(Update);
    Relayed.ownersUpdate.__isset.relay = false;
    m_transport.sendToDomain(std::move(Relayed), m_state.m_settings.m_domain,
                             true);
  }
  // An update that was passed on shows that the coordinator is alive, too.
  if (Update.epoch >= m_heardEpoch) {
    m_heardEpoch = Update.epoch;
    m_lastCoordinatorMessage = m_lastClaim = Now;
  }
  auto Result = applyOwnersUpdate(m_state.m_owners, Update);
  if (!Result) {
    logEvent(Severity::Warning, "peer_message_unreadable",
             {{"host", Sender.value()}, {"service", Update.serviceName}});
    return;
  }
  if (*Result == KeyOwners::ApplyResult::Applied)
    m_onChange();
  if (*Result != KeyOwners::ApplyResult::Gap ||
      Now - m_lastOwnersRequest < OwnersRequestInterval)
    return;
  m_lastOwnersRequest = Now;
  wire::OwnersRequest Request;
  Request.serviceName = Update.serviceName;
  wire::Datagram Message;
  Message.__set_ownersRequest(Request);
  m_transport.send(Sender, std::move(Message));
}

void PeerStateExchange::onOwnersRequest(const HostId &Sender,
                                        const wire::OwnersRequest &Request,
                                        Instant Now) {
  auto SnapshotIt = m_state.m_owners.all().find(ServiceId(Request.serviceName));
  // Hosts that pass updates on are asked too.
  if (SnapshotIt == m_state.m_owners.all().end())
    return;
  if (!m_ownersReplies.take(Now))
    return;
  wire::Datagram Message;
  Message.__set_ownersUpdate(toWire(SnapshotIt->second));
  m_transport.send(Sender, std::move(Message));
}

void PeerStateExchange::sendHostStatus(Instant Now) {
  wire::Datagram Message;
  wire::HostStatus Status;
  Status.stopping = m_state.m_stop.has_value();
  Status.coordinatorEpoch = m_coordinator.epoch();
  if (!m_reachesStore)
    Status.__set_storeLost(true);
  if (m_state.m_registry.pathsLost())
    Status.__set_upstreamsLost(true);
  Duration MaxReportAge =
      std::max(MinReportAge, statusInterval(m_transport.peers()));
  for (auto &[Id, Upstream] : m_state.m_registry.upstreams()) {
    // A report that came from a peer is not sent on: the peer sends it to all
    // hosts itself.
    bool SendReport =
        Upstream.m_reportIsLocal && Now - Upstream.m_reportAt < MaxReportAge;
    bool AnsweredLately = Now - Upstream.m_answeredAt < MaxReportAge;
    const RequestLimit &Limit = Upstream.m_requestLimit;
    bool SendLimit =
        Limit.m_isLocal &&
        (Limit.m_rate || Now - Limit.m_changedAt < LimitEndAnnouncementTime);
    // Always sent while it is needed: what another host has sent before its
    // first count is not known.
    bool SendCount = Limit.m_rate || Upstream.cold(Now) || Upstream.m_paceLimit;
    if (Upstream.m_outstanding == 0 && Upstream.m_waiting == 0 && !SendReport &&
        Upstream.m_localRatioCount == 0 && !SendCount && !SendLimit &&
        !AnsweredLately && !announcesLeaving(Upstream))
      continue;
    wire::UpstreamLoadEntry Entry;
    Entry.upstream = nameHash(Id.value()).value();
    Entry.outstanding = static_cast<std::int32_t>(Upstream.m_outstanding);
    takeSamples(Upstream, Entry);
    if (Upstream.m_waiting > 0)
      Entry.__set_hostWaiting(static_cast<std::int32_t>(Upstream.m_waiting));
    if (SendReport) {
      Entry.__set_running(
          static_cast<std::int32_t>(Upstream.m_report.m_running));
      Entry.__set_waiting(
          static_cast<std::int32_t>(Upstream.m_report.m_waiting));
      Entry.__set_slownessPercent(
          static_cast<std::int32_t>(Upstream.m_report.m_slowness * Percent));
      Entry.__set_reportAgeMillis(static_cast<std::int32_t>(
          (Now - Upstream.m_reportAt).count() / 1000));
    }
    if (!SendReport && AnsweredLately)
      Entry.__set_answeredAgeMillis(static_cast<std::int32_t>(
          (Now - Upstream.m_answeredAt).count() / 1000));
    if (SendLimit) {
      Entry.__set_requestLimit(Limit.m_rate.value_or(NoRequestLimit));
      Entry.__set_requestLimitAgeMillis(
          static_cast<std::int32_t>((Now - Limit.m_statedAt).count() / 1000));
    }
    if (announcesLeaving(Upstream))
      Entry.__set_leavingIncarnation(Upstream.m_record.m_incarnation.value());
    if (SendCount)
      Entry.__set_sent(static_cast<std::int32_t>(Upstream.m_sent));
    Status.upstreams.push_back(std::move(Entry));
  }
  addQueues(Status, Now);
  addHostState(Status, Now);
  Message.__set_hostStatus(std::move(Status));
  // Other failure domains receive fewer status messages: bandwidth between
  // domains is expensive, and most requests stay inside their domain.
  const DomainId &LocalDomain = m_state.m_settings.m_domain;
  m_transport.sendToDomain(Message, LocalDomain, true);
  if (m_statusesSent++ % RemoteStatusPeriod == 0)
    m_transport.sendToDomain(Message, LocalDomain, false);
}

void PeerStateExchange::addQueues(wire::HostStatus &Status, Instant Now) {
  auto Waiting = m_relay.waitingByService();
  auto Demands = m_relay.demandByService(Now);
  for (const auto &[Service, Of] : Demands)
    Waiting.try_emplace(Service);
  for (const auto &[Service, Queued] : Waiting) {
    auto Of = Demands.find(Service);
    Status.queues.push_back(encodeQueue(
        nameHash(Service.value()), Queued,
        Of == Demands.end() ? std::vector<PriorityDemand>() : Of->second));
  }
}

void PeerStateExchange::addHostState(wire::HostStatus &Status, Instant Now) {
  std::vector<wire::TeamUse> Teams;
  for (const TeamUse &Use : m_state.m_teamQuota.report(Now))
    Teams.push_back(toWire(Use));
  if (!Teams.empty())
    Status.__set_teams(std::move(Teams));
  if (m_statusesSent % StatusesPerRecord == 0)
    Status.__set_record(encodeHostRecord(m_state.hostRecord()));
}

void PeerStateExchange::sendKeyLoad() {
  auto KeyRequestCounts = m_relay.takeKeyRequestCounts();
  for (const auto &[Service, Counts] : KeyRequestCounts.m_counts) {
    if (m_coordinator.coordinating()) {
      for (const auto &[Key, Count] : Counts)
        m_coordinator.onKeyLoad(Service, Key, Count);
      continue;
    }
    wire::KeyLoadReport Report;
    Report.serviceName = Service.value();
    for (const auto &[Key, Count] : Counts) {
      wire::KeyCount Entry;
      Entry.key = count(Key);
      Entry.count = count(Count);
      Report.counts.push_back(Entry);
    }
    wire::Datagram Message;
    Message.__set_keyLoad(std::move(Report));
    m_transport.send(m_coordinator.coordinator(), std::move(Message));
  }
}

void PeerStateExchange::publishStoreUpdate(
    StoreVersion After, const StoreEvents &Changes,
    const std::vector<std::string> &Renewed) {
  std::vector<std::int32_t> RenewedHashes;
  for (const std::string &Key : Renewed)
    if (auto Upstream = m_state.m_codec.upstreamOfKey(Key))
      RenewedHashes.push_back(nameHash(Upstream->value()).value());
  const DomainId &LocalDomain = m_state.m_settings.m_domain;
  auto NextDomain = m_transport.domainAfter(LocalDomain);
  std::size_t MaxBytes =
      m_state.m_settings.highBandwidth() ? MaxValueBytes : MaxNarrowValueBytes;
  auto BaseOf = [&](const StoreEntry &Entry) {
    return m_storeEntry(Entry.m_key, After);
  };
  splitStoreUpdate(
      After, Changes,
      [&](StoreVersion PartAfter, const StoreEvents &Part, bool LastPart) {
        wire::Datagram Message;
        Message.__set_storeUpdate(toWire(PartAfter, Part, MaxBytes, BaseOf));
        if (NextDomain)
          m_transport.sendToDomain(Message, *NextDomain, true);
        if (LastPart && !RenewedHashes.empty())
          Message.storeUpdate.__set_renewed(RenewedHashes);
        m_transport.sendToDomain(std::move(Message), LocalDomain, true);
      });
}

void PeerStateExchange::splitStoreUpdate(StoreVersion After,
                                         const StoreEvents &Changes,
                                         const StoreUpdateSender &Send) {
  StoreEvents Part;
  std::size_t Bytes = 0;
  for (const StoreEvent &Event : Changes.m_events) {
    std::size_t Size =
        Event.m_entry.m_key.size() + Event.m_entry.m_value.size();
    bool NextVersion =
        !Part.m_events.empty() && Part.m_version != Event.m_entry.m_modified;
    if (NextVersion && Bytes + Size > MaxStoreUpdateBytes) {
      Send(After, Part, false);
      After = Part.m_version;
      Part.m_events.clear();
      Bytes = 0;
    }
    Part.m_events.push_back(Event);
    Part.m_version = Event.m_entry.m_modified;
    Bytes += Size;
  }
  Part.m_version = Changes.m_version;
  Send(After, Part, true);
}

void PeerStateExchange::setReachesStore(bool Reaches, Instant Now) {
  if (Reaches == m_reachesStore)
    return;
  m_reachesStore = Reaches;
  m_transport.setReachesStore(Reaches);
  m_nextStatus = Now;
}

void PeerStateExchange::requestStoreUpdate(const HostId &Host,
                                           StoreVersion After, Instant Now) {
  if (Now - m_lastStoreUpdateRequest < StoreUpdateRequestInterval)
    return;
  m_lastStoreUpdateRequest = Now;
  logEvent(
      Severity::Info, "store_changes_missed",
      {{"store_version", After.value()}, {"requested_from", Host.value()}});
  wire::StoreUpdateRequest Request;
  Request.after = numberInEra(After);
  if (eraOf(After).value() != 0)
    Request.__set_era(eraOf(After).value());
  wire::Datagram Message;
  Message.__set_storeUpdateRequest(Request);
  m_transport.send(Host, std::move(Message));
}

void PeerStateExchange::onStoreUpdateRequest(
    const HostId &Sender, const wire::StoreUpdateRequest &Request,
    Instant Now) {
  StoreEra Era = eraOfMessage(Request.__isset.era, Request.era);
  auto After = combineWithEra(Era, Request.after);
  auto Changes = m_storeChanges(After);
  // Versions of one message are of one era.
  if (!Changes || eraOf(Changes->m_version) != Era)
    return;
  bool Incomplete = Changes->m_version == After && !Changes->m_events.empty();
  if ((Incomplete && Now < m_incompleteReplyAllowedAt) ||
      !m_storeUpdateReplies.take(Now))
    return;
  std::size_t Bytes = 0;
  // The receiver may lack the base that its version suggests, so it gets the
  // difference only of a value that is too large to be sent whole.
  auto BaseOfLargest = [&](const StoreEntry &Entry) {
    return Entry.m_value.size() > MaxValueBytes &&
                   compress(Entry.m_value).size() > MaxValueBytes
               ? m_storeEntry(Entry.m_key, After)
               : nullptr;
  };
  splitStoreUpdate(
      After, *Changes,
      [&](StoreVersion PartAfter, const StoreEvents &Part, bool) {
        wire::Datagram Message;
        // No part of an incomplete reply may raise the receiver's version.
        Message.__set_storeUpdate(
            Incomplete ? toWire(After, {Part.m_events, After}, MaxValueBytes,
                                BaseOfLargest)
                       : toWire(PartAfter, Part, MaxValueBytes, BaseOfLargest));
        for (const wire::StoreChange &Change : Message.storeUpdate.events)
          Bytes += Change.key.size() + Change.value.size();
        m_transport.send(Sender, std::move(Message));
      });
  if (!Incomplete)
    return;
  double Seconds = static_cast<double>(Bytes) / IncompleteReplyBytesPerSecond;
  m_incompleteReplyAllowedAt =
      Now + Duration(static_cast<std::int64_t>(Seconds * 1e6));
}

bool PeerStateExchange::coordinatorActs(Instant Now) const {
  return Now - m_lastClaim <= CoordinatorTimeout;
}

StoreEra PeerStateExchange::eraOfMessage(bool HasEra, std::int64_t Era) const {
  // Hosts of earlier versions name none.
  return HasEra
             ? StoreEra(std::clamp<std::int64_t>(Era, 0, MaxStoreEra.value()))
             : m_storeEra();
}

bool PeerStateExchange::coordinatorSilent(Instant Now) const {
  return !m_monitoredCoordinator.value().empty() && !coordinatorReachable(Now);
}

bool PeerStateExchange::coordinatorReachable(Instant Now) const {
  if (m_coordinator.coordinating())
    return true;
  return !m_monitoredCoordinator.value().empty() &&
         Now - m_lastCoordinatorMessage <= CoordinatorTimeout;
}

void PeerStateExchange::onMessage(const HostId &Sender,
                                  const wire::Datagram &Message) {
  Instant Now = bootClockNow();
  if (Sender == m_monitoredCoordinator)
    m_lastCoordinatorMessage = Now;
  if (Message.__isset.hostStatus)
    onHostStatus(Sender, Message.hostStatus, Now);
  if (Message.__isset.keyLoad)
    onKeyLoadReport(Message.keyLoad);
  if (Message.__isset.ownersUpdate)
    onOwnersUpdate(Sender, Message.ownersUpdate, Now);
  if (Message.__isset.ownersRequest)
    onOwnersRequest(Sender, Message.ownersRequest, Now);
  if (Message.__isset.storeUpdate && m_onStoreUpdate)
    onStoreUpdate(Sender, Message.storeUpdate, Now);
  if (Message.__isset.storeUpdateRequest && m_storeChanges)
    onStoreUpdateRequest(Sender, Message.storeUpdateRequest, Now);
  if (Message.__isset.crash)
    m_relay.suspects().onSuspicion(
        Fingerprint(static_cast<std::uint64_t>(Message.crash.fingerprint)),
        UpstreamId(Message.crash.upstream), Now);
}

std::optional<std::string>
PeerStateExchange::valueOf(const wire::StoreChange &Change,
                           StoreEra Era) const {
  if (!Change.packed)
    return Change.value;
  const StoreEntry *Known = m_storeEntry(Change.key, StoreVersion(INT64_MAX));
  // Changes arrive from two hosts.
  if (Known && Known->m_modified >= combineWithEra(Era, Change.version))
    return Known->m_value;
  if (Change.omitted)
    return std::nullopt;
  if (!Change.__isset.base)
    return decompress(Change.value, MaxStoreValueBytes);
  if (!Known || Known->m_modified != combineWithEra(Era, Change.base))
    return std::nullopt;
  return restoreDifference(Known->m_value, Change.value, MaxStoreValueBytes);
}

void PeerStateExchange::onStoreUpdate(const HostId &Sender,
                                      const wire::StoreUpdate &Update,
                                      Instant Now) {
  StoreEra Era = eraOfMessage(Update.__isset.era, Update.era);
  StoreEvents Changes;
  Changes.m_version = combineWithEra(Era, Update.version);
  for (const wire::StoreChange &Change : Update.events) {
    StoreVersion Version = combineWithEra(Era, Change.version);
    auto Value = valueOf(Change, Era);
    if (!Value) {
      logEvent(Change.omitted || Change.__isset.base ? Severity::Info
                                                     : Severity::Warning,
               "store_value_not_received",
               {{"host", Sender.value()},
                {"key", Change.key},
                {"store_version", Version.value()},
                {"omitted", Change.omitted}});
      // The same as if the changes up to this one had been lost.
      auto MissedAfter = m_onStoreUpdate(Version, {{}, Version});
      if (MissedAfter && !Change.omitted &&
          Now - m_lastStoreUpdateRequest >= ValueRequestInterval)
        requestStoreUpdate(Sender, *MissedAfter, Now);
      return;
    }
    Changes.m_events.push_back(
        {{Change.key, std::move(*Value), Version}, Change.removed});
  }
  auto MissedAfter =
      m_onStoreUpdate(combineWithEra(Era, Update.after), Changes);
  if (MissedAfter)
    requestStoreUpdate(Sender, *MissedAfter, Now);
  for (std::int32_t UpstreamHash : Update.renewed)
    if (UpstreamState *Upstream =
            m_state.m_peerLoads.find(NameHash(UpstreamHash)))
      m_state.m_registry.onRenewed(*Upstream, Now);
}

void PeerStateExchange::onHostStatus(const HostId &Sender,
                                     const wire::HostStatus &Status,
                                     Instant Now) {
  if (Status.coordinatorEpoch != 0)
    m_lastClaim = Now;
  m_transport.setReachesStore(Sender, !Status.storeLost);
  PeerLoad Load;
  for (const wire::UpstreamLoadEntry &Entry : Status.upstreams)
    Load.m_upstreams.push_back(fromWire(Entry));
  std::optional<Instant> AnsweredAt;
  for (const PeerUpstreamLoad &Reported : Load.m_upstreams)
    if (Reported.m_answeredAge)
      AnsweredAt = std::max(AnsweredAt.value_or(Instant()),
                            Now - *Reported.m_answeredAge);
  m_transport.setServesOthers(Sender, !Status.upstreamsLost && !Status.stopping,
                              AnsweredAt);
  for (const wire::QueueLength &Queue : Status.queues)
    decodeQueue(Queue, Load);
  m_state.m_peerLoads.onLoad(Sender, std::move(Load), Now);
  std::vector<TeamUse> Uses;
  for (const wire::TeamUse &Entry : Status.teams)
    Uses.push_back(fromWire(Entry));
  m_state.m_teamQuota.onPeerReport(Sender, Uses, Now);
  if (m_relay.waiting() > 0)
    m_onChange();
}

void PeerStateExchange::onKeyLoadReport(const wire::KeyLoadReport &Report) {
  for (const wire::KeyCount &Entry : Report.counts)
    m_coordinator.onKeyLoad(ServiceId(Report.serviceName),
                            static_cast<std::uint32_t>(Entry.key),
                            fromCount(Entry.count));
}

} // namespace burdockpulley
