#include "burdockpulley/gateway_host.h"

#include "burdockpulley/caller_listener.h"
#include "burdockpulley/clock.h"
#include "burdockpulley/event_log.h"
#include "burdockpulley/hashing.h"
#include "burdockpulley/repeating_timer.h"
#include "burdockpulley/upstream_selection.h"
#include "coordinator_driver.h"
#include "gateway_state.h"
#include "host_registration.h"
#include "local_response.h"
#include "peer_state_exchange.h"
#include "registry_watcher.h"
#include "request_relay.h"
#include "store_keys.h"

#include <event2/event.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace burdockpulley {

namespace {

constexpr Duration TickEvery{20'000};
constexpr Duration SweepEvery{250'000};
constexpr Duration FlushLogEvery{100'000};
/// Descriptors that are not for callers: upstreams, peers, the store.
constexpr std::size_t ReservedDescriptors = 1200;
constexpr std::size_t MinCallers = 256;
/// The balancer takes a host out after two questions a second apart.
constexpr Duration LeaveBalancerTime{2'700'000};
/// Before the process is killed, so that answers can still leave.
constexpr Duration StopMargin{400'000};
/// Records that vanished while the store was away may return for this long.
constexpr Duration RecordsReturnTime{2'200'000};

} // namespace

class GatewayHost::Implementation : RegistryWatcher::Listener {
  using EntryEffect = RegistryWatcher::EntryEffect;

public:
  Implementation(event_base *Base, const GatewaySettings &Settings,
                 std::unique_ptr<WatchableStore> Source,
                 std::unique_ptr<PlatformCodec> Codec)
      : m_source(std::move(Source)), m_codec(std::move(Codec)),
        m_state(Base, Settings, *m_codec), m_watcher(*m_source, *this),
        m_relay(m_state), m_coordinator(m_state, *m_source),
        m_stateExchange(m_state, m_relay, m_coordinator),
        m_registration(m_state, *m_source),
        m_callers(Base, callerLimit(Settings),
                  [this](std::shared_ptr<Exchange> From) {
                    Instant Arrived = From->arrived();
                    m_relay.onRequest(std::move(From), Arrived);
                  }),
        m_ready(Base, MinCallers,
                [this](const std::shared_ptr<Exchange> &From) {
                  bool Yes = ready();
                  From->answer(Yes ? HttpResponse{200, {}, ""}
                                   : localResponse(LocalStatus::Unavailable));
                }),
        m_metrics(Base, MinCallers,
                  [this](const std::shared_ptr<Exchange> &From) {
                    From->answer(HttpResponse{
                        200, {{"Content-Type", "text/plain"}}, metricsText()});
                  }) {
    m_coordinator.m_onView = [this](const KeyTable &Table, std::uint32_t Step) {
      m_state.m_owners.apply(Table, {m_coordinator.epoch(), Step});
      m_stateExchange.onTableChanged(bootClockNow());
      m_relay.dispatchWaiting(bootClockNow());
    };
    m_coordinator.m_onUpstreamDown = [this](const UpstreamId &Which,
                                            Instant Now) {
      m_relay.onUpstreamDown(Which, Now);
    };
    m_watcher.m_onWatched = [this](StoreVersion After,
                                   const StoreEvents &Changes,
                                   const std::vector<std::string> &Renewed) {
      m_stateExchange.tellStore(After, Changes, Renewed);
    };
    m_stateExchange.m_onStoreNews = [this](StoreVersion After,
                                           const StoreEvents &Changes) {
      m_watcher.onRelayed(After, Changes, bootClockNow());
    };
    m_stateExchange.m_onChange = [this] {
      m_relay.dispatchWaiting(bootClockNow());
    };
  }

  bool start() {
    GatewaySettings &Settings = m_state.m_settings;
    bool HasMetrics = !Settings.m_metricsListen.m_address.empty();
    bool Bound =
        bind(Settings.m_listen,
             [this](const Endpoint &At) { return m_callers.listen(At); }) &&
        bind(Settings.m_readyListen,
             [this](const Endpoint &At) { return m_ready.listen(At); }) &&
        bind(Settings.m_peerListen,
             [this](const Endpoint &At) {
               return m_stateExchange.listen(At);
             }) &&
        (!HasMetrics ||
         bind(Settings.m_metricsListen,
              [this](const Endpoint &At) { return m_metrics.listen(At); }));
    if (!Bound)
      return false;
    writePorts();
    m_tick = std::make_unique<RepeatingTimer>(
        m_state.m_base, TickEvery, [this](Instant Now) { tick(Now); });
    m_sweep = std::make_unique<RepeatingTimer>(
        m_state.m_base, SweepEvery, [this](Instant Now) { sweep(Now); });
    m_flush = std::make_unique<RepeatingTimer>(
        m_state.m_base, FlushLogEvery, [](Instant) { flushEventLog(); });
    logEvent(Severity::Info, "started",
             {{"host", Settings.m_host.value()},
              {"failure_domain", Settings.m_domain.value()},
              {"listen", toString(Settings.m_listen)},
              {"store", toString(Settings.m_store)}});
    tick(bootClockNow());
    return true;
  }

  void stop() {
    if (m_state.m_stopping)
      return;
    m_state.m_stopping = true;
    m_stopBegan = bootClockNow();
    logEvent(Severity::Info, "stopping", {{"in_flight", m_relay.inFlight()}});
    m_coordinator.resign(m_stopBegan);
    m_callers.closeAfterResponses();
  }

private:
  static std::size_t callerLimit(const GatewaySettings &Settings) {
    std::size_t Reserved =
        std::min(ReservedDescriptors, Settings.m_descriptors / 2);
    return std::max(MinCallers, Settings.m_descriptors - Reserved);
  }

  /// Listens at an address, and puts the bound port into it.
  template <class Listen> static bool bind(Endpoint &Where, Listen At) {
    std::uint16_t Port = At(Where);
    if (Port != 0) {
      Where.m_port = Port;
      return true;
    }
    logEvent(Severity::Error, "address_not_available",
             {{"address", toString(Where)}});
    flushEventLog();
    return false;
  }

  void writePorts() const {
    const GatewaySettings &Settings = m_state.m_settings;
    if (Settings.m_portFile.empty())
      return;
    std::string Draft = Settings.m_portFile + ".draft";
    std::ofstream Output(Draft);
    for (const Endpoint *Each :
         {&Settings.m_listen, &Settings.m_readyListen, &Settings.m_peerListen,
          &Settings.m_metricsListen})
      Output << Each->m_port << "\n";
    Output.close();
    if (!Output || std::rename(Draft.c_str(), Settings.m_portFile.c_str()) != 0)
      logEvent(Severity::Error, "port_file_not_written",
               {{"file", Settings.m_portFile}});
  }

  bool ready() const {
    return !m_state.m_stopping && m_watcher.loaded() &&
           m_state.m_routes.current() != nullptr;
  }

  std::string metricsText() {
    auto Contact = m_watcher.lastContact();
    m_state.m_metrics.setStoreContactAge(
        Contact
            ? std::chrono::duration<double>(bootClockNow() - *Contact).count()
            : -1);
    m_state.m_metrics.setWaiting(m_relay.waiting());
    m_state.m_metrics.setRejectedDatagrams(m_stateExchange.rejected());
    return m_state.m_metrics.text();
  }

  void tick(Instant Now) {
    m_watcher.setWatches(m_stateExchange.watchesStore(Now));
    m_watcher.tick(Now);
    if (m_watcher.loaded())
      m_coordinator.onRegistryLoaded(Now);
    m_coordinator.tick(Now);
    m_stateExchange.tick(Now);
    m_registration.tick(m_watcher.loaded() && m_watcher.inReach(), Now);
    if (m_relay.waiting() > 0)
      m_relay.dispatchWaiting(Now);
    if (m_stateExchange.coordinatorSilent(Now))
      m_watcher.hurry(Now + TickEvery * 2);
    if (m_state.m_stopping)
      checkStop(Now);
  }

  void sweep(Instant Now) {
    for (const UpstreamId &Gone : m_state.m_registry.sweep(Now))
      logEvent(Severity::Warning, "upstream_not_returned",
               {{"upstream", Gone.value()}});
    m_state.m_peerLoads.expire(Now);
    for (auto &[Id, Row] : m_state.m_registry.upstreams())
      decayServiceTimeRatio(Row, SweepEvery, Now);
    m_relay.sweep(Now);
    m_callers.sweep(Now);
    m_ready.sweep(Now);
    m_metrics.sweep(Now);
    m_stateExchange.sweep(Now);
  }

  void checkStop(Instant Now) {
    Duration Spent = Now - m_stopBegan;
    // The balancer may send callers on when too few other hosts are ready.
    if (Spent >= LeaveBalancerTime)
      m_callers.stopListening();
    bool Idle = m_relay.inFlight() == 0 && m_callers.busy() == 0;
    bool Late = Spent >= m_state.m_settings.m_stopTime - StopMargin;
    if (!Late && (!Idle || Spent < LeaveBalancerTime))
      return;
    if (!m_leaving) {
      m_leaving = true;
      m_registration.end();
      logEvent(Severity::Info, "stopped",
               {{"in_flight", m_relay.inFlight()},
                {"spent_ms", Spent.count() / 1000}});
      return; // The call to the store leaves within the next tick.
    }
    flushEventLog();
    event_base_loopbreak(m_state.m_base);
  }

  EntryEffect onEntry(const StoreEntry &Entry, Instant Now) override {
    if (Entry.m_key.starts_with(store_keys::KeyTables))
      return onKeyTable(Entry, Now);
    if (Entry.m_key == store_keys::Coordinator)
      m_coordinator.onCoordinatorKnown(HostId(Entry.m_value), Entry.m_modified,
                                       Now);
    else if (Entry.m_key == store_keys::PeerKey)
      m_stateExchange.setKey(Entry.m_value);
    else if (Entry.m_key.starts_with(store_keys::Hosts))
      onHost(Entry);
    else
      return onRegistryEntry(Entry, Now);
    return EntryEffect::Change;
  }

  EntryEffect onRegistryEntry(const StoreEntry &Entry, Instant Now) {
    RegistryChange Change = m_codec->decodeEntry(Entry);
    if (const auto *Written = std::get_if<UpstreamWritten>(&Change))
      return onUpstream(Written->m_record, Now);
    std::visit([this, Now](const auto &Each) { onChange(Each, Now); }, Change);
    return EntryEffect::Change;
  }

  void onRemoval(const std::string &Key, StoreVersion Version,
                 Instant Now) override {
    if (Key == store_keys::Coordinator)
      return m_coordinator.onCoordinatorKnown(HostId(), Version, Now);
    if (Key.starts_with(store_keys::Hosts))
      return m_stateExchange.unlistPeer(
          HostId(Key.substr(store_keys::Hosts.size())));
    RegistryChange Change = m_codec->decodeRemoval(Key);
    std::visit([this, Now](const auto &Each) { onChange(Each, Now); }, Change);
  }

  void onStoreRegained(Instant Now) override {
    logEvent(Severity::Info, "store_regained", {});
    m_state.m_registry.holdRemovals(Now + RecordsReturnTime);
  }

  void onStoreLost(StoreError Why, Instant) override {
    logEvent(Severity::Warning, "store_lost", {{"reason", toString(Why)}});
  }

  void onHost(const StoreEntry &Entry) {
    auto Address = decodeHostAddress(Entry.m_value);
    if (Address)
      m_stateExchange.addPeer(
          HostId(Entry.m_key.substr(store_keys::Hosts.size())), *Address);
    else
      logEvent(Severity::Warning, "entry_unreadable", {{"key", Entry.m_key}});
  }

  /// The coordinator tells what its owners have confirmed. While it is heard
  /// of, what stands in the store is not more than an intention.
  EntryEffect onKeyTable(const StoreEntry &Entry, Instant Now) {
    ServiceId Service(Entry.m_key.substr(store_keys::KeyTables.size()));
    if (m_state.m_owners.knows(Service) &&
        m_stateExchange.coordinatorHeard(Now))
      return EntryEffect::None;
    auto Table = decodeKeyTable(Entry.m_value);
    if (Table)
      m_state.m_owners.apply(*Table, {});
    else
      logEvent(Severity::Warning, "entry_unreadable", {{"key", Entry.m_key}});
    return EntryEffect::Change;
  }

  void onChange(const std::monostate &, Instant) {}
  void onChange(const UpstreamWritten &, Instant) {}

  EntryEffect onUpstream(const UpstreamRecord &Record, Instant Now) {
    auto Kind = m_state.m_registry.onRecord(Record, Now);
    if (Kind == UpstreamRegistry::Change::Restarted)
      m_relay.onUpstreamDown(Record.m_id, Now);
    if (Kind == UpstreamRegistry::Change::None)
      return EntryEffect::None;
    if (Kind == UpstreamRegistry::Change::Renewed)
      return EntryEffect::Renewal;
    if (Kind == UpstreamRegistry::Change::Updated)
      return EntryEffect::Change;
    logEvent(Severity::Info, "upstream_changed",
             {{"upstream", Record.m_id.value()},
              {"service", Record.m_service.value()},
              {"address", toString(Record.m_address)},
              {"draining", Record.m_draining},
              {"cold_ms", Record.m_coldLeft.count() / 1000},
              {"birth", Record.m_incarnation.value()}});
    return EntryEffect::Change;
  }

  void onChange(const UpstreamRemoved &Change, Instant Now) {
    if (m_state.m_registry.onRemoved(Change.m_id, Now))
      logEvent(Severity::Info, "upstream_gone",
               {{"upstream", Change.m_id.value()}});
  }

  void onChange(const ConfigurationWritten &Change, Instant) {
    auto Revision = Change.m_configuration->m_revision;
    if (!m_state.m_routes.apply(Change.m_configuration))
      return logEvent(Severity::Warning, "configuration_not_newer",
                      {{"revision", Revision.value()}});
    m_callers.setLimits(Change.m_configuration->m_limits);
    m_state.m_metrics.setRevision(Revision);
    logEvent(Severity::Info, "configuration_in_force",
             {{"revision", Revision.value()},
              {"routes", Change.m_configuration->m_routes.size()}});
  }

  void onChange(const DomainChanged &Change, Instant Now) {
    Duration ColdTime{};
    if (auto Current = m_state.m_routes.current())
      for (const auto &[Name, Policy] : Current->m_services)
        ColdTime = std::max(ColdTime, Policy.m_coldStart);
    m_state.m_registry.setDomainOut(Change.m_domain, Change.m_out, ColdTime,
                                    Now);
    logEvent(Severity::Info, "domain_changed",
             {{"domain", Change.m_domain.value()}, {"out", Change.m_out}});
  }

  void onChange(const UnreadableEntry &Change, Instant) {
    logEvent(Severity::Warning, "entry_unreadable",
             {{"key", Change.m_key}, {"reason", Change.m_reason}});
  }

  std::unique_ptr<WatchableStore> m_source;
  std::unique_ptr<PlatformCodec> m_codec;
  GatewayState m_state;
  RegistryWatcher m_watcher;
  RequestRelay m_relay;
  CoordinatorDriver m_coordinator;
  PeerStateExchange m_stateExchange;
  HostRegistration m_registration;
  CallerListener m_callers;
  CallerListener m_ready;
  CallerListener m_metrics;
  std::unique_ptr<RepeatingTimer> m_tick;
  std::unique_ptr<RepeatingTimer> m_sweep;
  std::unique_ptr<RepeatingTimer> m_flush;
  Instant m_stopBegan;
  bool m_leaving = false;
};

GatewayHost::GatewayHost(event_base *Base, const GatewaySettings &Settings,
                         std::unique_ptr<WatchableStore> Source,
                         std::unique_ptr<PlatformCodec> Codec)
    : m_implementation(std::make_unique<Implementation>(
          Base, Settings, std::move(Source), std::move(Codec))) {}

GatewayHost::~GatewayHost() = default;

bool GatewayHost::start() { return m_implementation->start(); }

void GatewayHost::stop() { m_implementation->stop(); }

void GatewayHost::reload() { logEvent(Severity::Info, "reload", {}); }

} // namespace burdockpulley
