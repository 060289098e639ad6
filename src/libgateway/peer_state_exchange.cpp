#include "peer_state_exchange.h"

#include "burdockpulley/clock.h"
#include "burdockpulley/compression.h"
#include "burdockpulley/event_log.h"
#include "burdockpulley/thrift_codec.h"

#include <algorithm>
#include <cmath>

namespace burdockpulley {

namespace {

/// Hosts of other failure domains are told every so many times.
constexpr std::uint64_t FarNewsEvery = 3;
/// Changes of who serves which keys are told together after this time.
constexpr Duration TableDelay{50'000};
constexpr Duration KeyUseEvery{200'000};
/// Owners are told again although nothing has changed, so that hosts see
/// whether they have missed something.
constexpr Duration OwnersEvery{500'000};
/// Bytes a second that changes of owners may take, for links of 10 Mbit/s.
constexpr double OwnersBytesPerSecond = 250e3;
/// All keys are sent to so many hosts a second, and so many in one go.
constexpr double WholeTablesPerSecond = 60;
constexpr double MaxWholeTables = 12;
constexpr Duration OwnersRequestEvery{300'000};
/// Changes of the store are passed on in parts of about this size.
constexpr std::size_t StorePartBytes = 16'000;
/// Larger values are compressed on their way to other hosts.
constexpr std::size_t PackedBytes = 2'000;
/// A coordinator that is silent for longer may be gone: it tells owners twice
/// a second, and the store takes longer to find out.
constexpr Duration CoordinatorSilence{1'200'000};
/// Reports older than this are not worth telling.
constexpr Duration FreshReport{200'000};
constexpr double Percent = 100;

std::int32_t count(std::size_t Number) {
  return static_cast<std::int32_t>(Number);
}

PeerUpstreamLoad fromWire(const wire::UpstreamLoadEntry &News) {
  PeerUpstreamLoad Load;
  Load.m_upstream = NameHash(News.upstream);
  Load.m_outstanding =
      static_cast<std::uint32_t>(std::max(News.outstanding, 0));
  Load.m_waiting = static_cast<std::uint32_t>(std::max(News.hostWaiting, 0));
  Load.m_serviceTimeRatio = News.serviceTimePercent / Percent;
  Load.m_serviceTimeSamples =
      static_cast<std::uint32_t>(std::max(News.serviceTimeSamples, 0));
  Load.m_reported = News.__isset.reportAgeMillis;
  if (!Load.m_reported)
    return Load;
  Load.m_report.m_running = static_cast<std::uint32_t>(News.running);
  Load.m_report.m_waiting = static_cast<std::uint32_t>(News.waiting);
  Load.m_report.m_slowness = News.slownessPercent / Percent;
  Load.m_reportAge = std::chrono::milliseconds(News.reportAgeMillis);
  return Load;
}

} // namespace

PeerStateExchange::PeerStateExchange(GatewayState &State, RequestRelay &Relay,
                                     CoordinatorDriver &Coordinator)
    : m_state(State), m_relay(Relay), m_coordinator(Coordinator),
      m_transport(State.m_base, State.m_settings.m_host,
                  [this](const HostId &From, const wire::Datagram &Message) {
                    onMessage(From, Message);
                  }) {
  Relay.m_onSuspicion = [this](Fingerprint Request, const UpstreamId &Where) {
    wire::Datagram Message;
    wire::CrashReport News;
    News.fingerprint = static_cast<std::int64_t>(Request.value());
    News.upstream = Where.value();
    Message.__set_crash(News);
    m_transport.sendAll(std::move(Message));
  };
}

void PeerStateExchange::tick(Instant Now) {
  if (m_coordinator.coordinator() != m_watched) {
    m_watched = m_coordinator.coordinator();
    m_coordinatorHeard = Now;
  }
  if (!m_transport.hasKey())
    return;
  if (Now >= m_nextNews) {
    m_nextNews = Now + statusInterval(m_transport.peers());
    tellLoad(Now);
  }
  if (Now >= m_nextKeyUse) {
    m_nextKeyUse = Now + KeyUseEvery;
    tellKeyUse();
  }
  if (m_coordinator.coordinating() && Now >= m_nextOwners)
    tellOwners(Now);
}

void PeerStateExchange::onTableChanged(Instant Now) {
  m_nextOwners =
      std::min(m_nextOwners, std::max(Now + TableDelay, m_ownersRoomAt));
}

void PeerStateExchange::tellOwners(Instant Now) {
  std::size_t Bytes = 0;
  for (const auto &[Service, Known] : m_state.m_owners.all()) {
    auto Changes = m_deltaBuilder.changes(Known, m_coordinator.epoch(), Now);
    if (!Changes)
      continue;
    wire::Datagram Message;
    Message.__set_ownersUpdate(toWire(*Changes));
    Bytes += m_transport.sendAll(std::move(Message));
  }
  double Seconds = static_cast<double>(Bytes) / OwnersBytesPerSecond;
  m_ownersRoomAt = Now + Duration(static_cast<std::int64_t>(Seconds * 1e6));
  m_nextOwners = std::max(Now + OwnersEvery, m_ownersRoomAt);
}

void PeerStateExchange::onOwners(const HostId &From,
                                 const wire::OwnersUpdate &News, Instant Now) {
  auto Result = applyOwnersUpdate(m_state.m_owners, News);
  if (!Result) {
    logEvent(Severity::Warning, "peer_message_unreadable",
             {{"host", From.value()}, {"service", News.serviceName}});
    return;
  }
  if (*Result == KeyOwners::ApplyResult::Applied)
    m_onChange();
  if (*Result != KeyOwners::ApplyResult::Gap ||
      Now - m_ownersAsked < OwnersRequestEvery)
    return;
  m_ownersAsked = Now;
  wire::OwnersRequest Request;
  Request.serviceName = News.serviceName;
  wire::Datagram Message;
  Message.__set_ownersRequest(Request);
  m_transport.send(From, std::move(Message));
}

void PeerStateExchange::onOwnersRequest(const HostId &From,
                                        const wire::OwnersRequest &Request,
                                        Instant Now) {
  auto Found = m_state.m_owners.all().find(ServiceId(Request.serviceName));
  if (Found == m_state.m_owners.all().end() || !m_coordinator.coordinating())
    return;
  double Passed =
      std::chrono::duration<double>(Now - m_wholeAllowanceAt).count();
  m_wholeAllowanceAt = Now;
  m_wholeAllowance = std::min(MaxWholeTables,
                              m_wholeAllowance + Passed * WholeTablesPerSecond);
  if (m_wholeAllowance < 1)
    return; // The host asks again.
  m_wholeAllowance -= 1;
  wire::Datagram Message;
  Message.__set_ownersUpdate(toWire(Found->second));
  m_transport.send(From, std::move(Message));
}

void PeerStateExchange::tellLoad(Instant Now) {
  wire::Datagram Message;
  wire::HostStatus News;
  News.stopping = m_state.m_stopping;
  News.coordinatorEpoch = m_coordinator.epoch();
  for (auto &[Id, Row] : m_state.m_registry.upstreams()) {
    // What peers have told is not told again: they tell everybody.
    bool Fresh = Row.m_reportOwn && Now - Row.m_reportAt < FreshReport;
    if (Row.m_outstanding == 0 && Row.m_waiting == 0 && !Fresh &&
        Row.m_localRatioCount == 0)
      continue;
    wire::UpstreamLoadEntry Each;
    Each.upstream = nameHash(Id.value()).value();
    Each.outstanding = static_cast<std::int32_t>(Row.m_outstanding);
    if (Row.m_localRatioCount > 0) {
      Each.__set_serviceTimePercent(static_cast<std::int32_t>(
          Row.m_localRatioSum / Row.m_localRatioCount * Percent));
      Each.__set_serviceTimeSamples(
          static_cast<std::int32_t>(Row.m_localRatioCount));
      Row.m_localRatioSum = 0;
      Row.m_localRatioCount = 0;
    }
    if (Row.m_waiting > 0)
      Each.__set_hostWaiting(static_cast<std::int32_t>(Row.m_waiting));
    if (Fresh) {
      Each.__set_running(static_cast<std::int32_t>(Row.m_report.m_running));
      Each.__set_waiting(static_cast<std::int32_t>(Row.m_report.m_waiting));
      Each.__set_slownessPercent(
          static_cast<std::int32_t>(Row.m_report.m_slowness * Percent));
      Each.__set_reportAgeMillis(
          static_cast<std::int32_t>((Now - Row.m_reportAt).count() / 1000));
    }
    News.upstreams.push_back(std::move(Each));
  }
  for (const auto &[Service, Waiting] : m_relay.waitingByService()) {
    wire::QueueLength Each;
    Each.serviceHash = nameHash(Service.value()).value();
    Each.waiting = static_cast<std::int32_t>(Waiting);
    News.queues.push_back(Each);
  }
  Message.__set_hostStatus(std::move(News));
  // Bytes between failure domains are dear, and most work stays inside.
  const DomainId &Own = m_state.m_settings.m_domain;
  m_transport.sendDomain(Message, Own, true);
  if (m_newsSent++ % FarNewsEvery == 0)
    m_transport.sendDomain(Message, Own, false);
}

void PeerStateExchange::tellKeyUse() {
  auto Use = m_relay.takeKeyRequestCounts();
  for (const auto &[Service, Counts] : Use.m_counts) {
    if (m_coordinator.coordinating()) {
      for (const auto &[Key, Count] : Counts)
        m_coordinator.onKeyLoad(Service, Key, Count);
      continue;
    }
    wire::KeyLoadReport News;
    News.serviceName = Service.value();
    for (const auto &[Key, Count] : Counts) {
      wire::KeyCount Each;
      Each.key = count(Key);
      Each.count = count(Count);
      News.counts.push_back(Each);
    }
    wire::Datagram Message;
    Message.__set_keyLoad(std::move(News));
    m_transport.send(m_coordinator.coordinator(), std::move(Message));
  }
}

void PeerStateExchange::tellStore(StoreVersion After,
                                  const StoreEvents &Changes,
                                  const std::vector<std::string> &Renewed) {
  std::vector<std::int32_t> Names;
  for (const std::string &Key : Renewed)
    if (auto Which = m_state.m_codec.upstreamOfKey(Key))
      Names.push_back(nameHash(Which->value()).value());
  StoreEvents Part;
  std::size_t Bytes = 0;
  for (const StoreEvent &Event : Changes.m_events) {
    std::size_t Size =
        Event.m_entry.m_key.size() + Event.m_entry.m_value.size();
    bool NextVersion =
        !Part.m_events.empty() && Part.m_version != Event.m_entry.m_modified;
    if (NextVersion && Bytes + Size > StorePartBytes) {
      sendStorePart(After, Part, {});
      After = Part.m_version;
      Part.m_events.clear();
      Bytes = 0;
    }
    Part.m_events.push_back(Event);
    Part.m_version = Event.m_entry.m_modified;
    Bytes += Size;
  }
  Part.m_version = Changes.m_version;
  sendStorePart(After, Part, Names);
}

void PeerStateExchange::sendStorePart(
    StoreVersion After, const StoreEvents &Part,
    const std::vector<std::int32_t> &Renewed) {
  wire::StoreUpdate News;
  News.after = After.value();
  News.version = Part.m_version.value();
  if (!Renewed.empty())
    News.__set_renewed(Renewed);
  for (const StoreEvent &Event : Part.m_events) {
    wire::StoreChange Each;
    Each.key = Event.m_entry.m_key;
    bool Large = Event.m_entry.m_value.size() > PackedBytes;
    Each.value =
        Large ? compress(Event.m_entry.m_value) : Event.m_entry.m_value;
    if (Large)
      Each.__set_packed(true);
    Each.version = Event.m_entry.m_modified.value();
    Each.removed = Event.m_removed;
    News.events.push_back(std::move(Each));
  }
  wire::Datagram Message;
  Message.__set_storeUpdate(std::move(News));
  m_transport.sendDomain(std::move(Message), m_state.m_settings.m_domain, true);
}

bool PeerStateExchange::coordinatorSilent(Instant Now) const {
  return !m_watched.value().empty() && !coordinatorHeard(Now);
}

bool PeerStateExchange::coordinatorHeard(Instant Now) const {
  if (m_coordinator.coordinating())
    return true;
  return !m_watched.value().empty() &&
         Now - m_coordinatorHeard <= CoordinatorSilence;
}

void PeerStateExchange::onMessage(const HostId &From,
                                  const wire::Datagram &Message) {
  Instant Now = bootClockNow();
  if (From == m_watched)
    m_coordinatorHeard = Now;
  if (Message.__isset.hostStatus)
    onNews(From, Message.hostStatus, Now);
  if (Message.__isset.keyLoad)
    onLoad(Message.keyLoad);
  if (Message.__isset.ownersUpdate)
    onOwners(From, Message.ownersUpdate, Now);
  if (Message.__isset.ownersRequest)
    onOwnersRequest(From, Message.ownersRequest, Now);
  if (Message.__isset.storeUpdate && m_onStoreNews)
    onStoreNews(From, Message.storeUpdate, Now);
  if (Message.__isset.crash)
    m_relay.suspects().onSuspicion(
        Fingerprint(static_cast<std::uint64_t>(Message.crash.fingerprint)),
        UpstreamId(Message.crash.upstream), Now);
}

void PeerStateExchange::onStoreNews(const HostId &From,
                                    const wire::StoreUpdate &News,
                                    Instant Now) {
  StoreEvents Changes;
  Changes.m_version = StoreVersion(News.version);
  for (const wire::StoreChange &Each : News.events) {
    std::optional<std::string> Value = Each.value;
    if (Each.packed)
      Value = decompress(Each.value, MaxStoreValueBytes);
    if (!Value) { // This host will miss it, and ask the store.
      logEvent(Severity::Warning, "peer_message_unreadable",
               {{"host", From.value()}, {"key", Each.key}});
      return;
    }
    Changes.m_events.push_back(
        {{Each.key, std::move(*Value), StoreVersion(Each.version)},
         Each.removed});
  }
  m_onStoreNews(StoreVersion(News.after), Changes);
  for (std::int32_t Name : News.renewed)
    if (UpstreamState *Row = m_state.m_peerLoads.find(NameHash(Name)))
      m_state.m_registry.onRenewed(*Row, Now);
}

void PeerStateExchange::onNews(const HostId &From, const wire::HostStatus &News,
                               Instant Now) {
  PeerLoad Load;
  for (const wire::UpstreamLoadEntry &Each : News.upstreams)
    Load.m_upstreams.push_back(fromWire(Each));
  for (const wire::QueueLength &Each : News.queues)
    Load.m_waiting[NameHash(Each.serviceHash)] =
        static_cast<std::uint32_t>(std::max(Each.waiting, 0));
  m_state.m_peerLoads.onLoad(From, std::move(Load), Now);
  if (m_relay.waiting() > 0)
    m_onChange();
}

void PeerStateExchange::onLoad(const wire::KeyLoadReport &News) {
  for (const wire::KeyCount &Each : News.counts)
    m_coordinator.onKeyLoad(ServiceId(News.serviceName),
                            static_cast<std::uint32_t>(Each.key),
                            static_cast<std::uint32_t>(Each.count));
}

} // namespace burdockpulley
