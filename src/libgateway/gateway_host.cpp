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
#include "request_explanation.h"
#include "request_relay.h"
#include "store_keys.h"
#include "upstream_prober.h"

#include <event2/event.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <set>

namespace burdockpulley {

namespace {

constexpr Duration TickInterval{20'000};
constexpr Duration SweepInterval{250'000};
constexpr Duration LogFlushInterval{100'000};
/// Intervals at which the key tables are read while no coordinator is heard:
/// if a host knows no owners, and to find out whether they have changed.
constexpr Duration FirstKeyTableReadInterval{700'000};
constexpr Duration KeyTableReadInterval{3'000'000};
/// File descriptors kept free for connections to upstreams, peers and the
/// store.
constexpr std::size_t ReservedDescriptors = 1200;
constexpr std::size_t MinCallerConnections = 256;
/// Connections for readiness checks and for metrics. They are far fewer, and
/// when there are more, the oldest without a request are closed.
constexpr std::size_t CheckConnections = 128;
/// What such a connection takes at most, without responses: input that is not
/// parsed yet, and headers.
constexpr std::size_t CheckConnectionBytes = 20 << 10;
/// What a request with a body of the largest size takes besides the body:
/// its connection, headers, and further requests of the same address.
constexpr std::size_t RequestOverheadBytes = 1 << 20;
/// Limits of readiness checks and metrics, which have no bodies.
constexpr std::size_t CheckHeaderBytes = 4096;
constexpr Duration CheckHeaderTimeout{1'000'000};
/// A check on a new connection is read at once, so its connection is not
/// replaced before that.
constexpr Duration CheckCrowdedAge{20'000};
/// Metrics requested within this time of the last ones get the same text.
/// Making it takes about a millisecond, and 100 callers at once delayed
/// readiness checks by 139 ms.
constexpr Duration MetricsInterval{20'000};
/// Connections from other hosts over which they forward requests.
constexpr std::size_t ForwardConnections = 512;
/// Size of the headers that hosts add to a request that they forward.
constexpr std::size_t ForwardHeaderBytes = 1024;
constexpr std::size_t ForwardHeaderFields = 16;
/// The load balancer takes a host out after two failed readiness checks, one
/// second apart.
constexpr Duration BalancerRemovalTime{2'700'000};
/// After an outage of the store, removals are deferred for this time, because
/// the records may return. So may a record in whose place an entry stands that
/// cannot be read.
constexpr Duration RecordReturnTime{2'200'000};

/// After the store has come back from an older copy, a failure domain whose
/// entry is missing is put back in service after this time. The operator writes
/// the entry again.
constexpr Duration DomainReturnTime{10'000'000};

} // namespace

class GatewayHost::Implementation : RegistryWatcher::Listener {
  using EntryEffect = RegistryWatcher::EntryEffect;

public:
  Implementation(event_base *Base, const GatewaySettings &Settings,
                 std::unique_ptr<WatchableStore> Store,
                 std::unique_ptr<PlatformCodec> Codec)
      : m_store(std::move(Store)), m_codec(std::move(Codec)),
        m_state(Base, Settings, *m_codec),
        m_watcher(*m_store, *this, followedPrefixes(*m_codec)),
        m_relay(m_state), m_prober(m_state), m_coordinator(m_state, *m_store),
        m_stateExchange(m_state, m_relay, m_coordinator),
        m_registration(m_state, *m_store),
        m_callerListener(Base, callerLimit(Settings),
                         [this](std::shared_ptr<Exchange> Request) {
                           Instant Arrived = Request->arrived();
                           m_relay.onRequest(std::move(Request), Arrived);
                         }),
        m_forwardListener(Base, ForwardConnections,
                          [this](std::shared_ptr<Exchange> Request) {
                            Instant Arrived = Request->arrived();
                            m_relay.onForwardedRequest(std::move(Request),
                                                       Arrived);
                          }),
        m_readyListener(Base, CheckConnections,
                        [this](const std::shared_ptr<Exchange> &Request) {
                          bool Ready = ready();
                          Request->answer(
                              Ready ? HttpResponse{200, {}, ""}
                                    : localResponse(LocalStatus::Unavailable));
                        }),
        m_metricsListener(Base, CheckConnections,
                          [this](const std::shared_ptr<Exchange> &Request) {
                            Request->answer(
                                metricsResponse(Request->request()));
                          }) {
    m_callerListener.setMemoryBudget(m_state.m_memory);
    m_forwardListener.setMemoryBudget(m_state.m_memory);
    CallerLimits CheckLimits;
    CheckLimits.m_headerBytes = CheckHeaderBytes;
    CheckLimits.m_bodyBytes = 0;
    CheckLimits.m_headerTimeout = CheckHeaderTimeout;
    CheckLimits.m_crowdedAge = CheckCrowdedAge;
    m_readyListener.setLimits(CheckLimits);
    m_metricsListener.setLimits(CheckLimits);
    m_coordinator.m_onOwnersChanged = [this](const KeyTable &Table,
                                             std::uint32_t Step) {
      m_state.m_owners.apply(Table, {m_coordinator.epoch(), Step});
      m_stateExchange.onTableChanged(bootClockNow());
      m_relay.dispatchWaiting(bootClockNow());
    };
    m_registration.m_onPeerKey = [this](const std::string &Key) {
      m_stateExchange.setKey(Key);
    };
    m_watcher.m_onWatchResult =
        [this](StoreVersion After, const StoreEvents &Changes,
               const std::vector<std::string> &Renewed) {
          m_stateExchange.publishStoreUpdate(After, Changes, Renewed);
        };
    m_stateExchange.m_onStoreUpdate = [this](StoreVersion After,
                                             const StoreEvents &Changes) {
      return m_watcher.onForwardedChanges(After, Changes, bootClockNow());
    };
    m_stateExchange.m_storeEra = [this] { return eraOf(m_watcher.version()); };
    m_store->m_onRestored = [this] { onStoreRestored(bootClockNow()); };
    m_stateExchange.m_storeChanges = [this](StoreVersion After) {
      return m_watcher.changesSince(After);
    };
    m_stateExchange.m_storeEntry = [this](const std::string &Key,
                                          StoreVersion Version) {
      return m_watcher.entryAsOf(Key, Version);
    };
    m_stateExchange.m_onChange = [this] {
      m_relay.dispatchWaiting(bootClockNow());
    };
  }

  bool start() {
    GatewaySettings &Settings = m_state.m_settings;
    bool TakesForwarded = !Settings.m_forwardListen.m_address.empty();
    bool HasMetrics = !Settings.m_metricsListen.m_address.empty();
    bool Bound =
        bind(Settings.m_listen,
             [this](const Endpoint &Address) {
               return m_callerListener.listen(Address);
             }) &&
        bind(Settings.m_readyListen,
             [this](const Endpoint &Address) {
               return m_readyListener.listen(Address);
             }) &&
        bind(Settings.m_peerListen,
             [this](const Endpoint &Address) {
               return m_stateExchange.listen(Address);
             }) &&
        (!TakesForwarded || bind(Settings.m_forwardListen,
                                 [this](const Endpoint &Address) {
                                   return m_forwardListener.listen(Address);
                                 })) &&
        (!HasMetrics ||
         bind(Settings.m_metricsListen, [this](const Endpoint &Address) {
           return m_metricsListener.listen(Address);
         }));
    if (!Bound)
      return false;
    writePorts();
    m_tickTimer = std::make_unique<RepeatingTimer>(
        m_state.m_base, TickInterval, [this](Instant Now) { tick(Now); });
    m_sweepTimer = std::make_unique<RepeatingTimer>(
        m_state.m_base, SweepInterval, [this](Instant Now) { sweep(Now); });
    m_flushTimer = std::make_unique<RepeatingTimer>(
        m_state.m_base, LogFlushInterval, [](Instant) { flushEventLog(); });
    logEvent(Severity::Info, "started",
             {{"host", Settings.m_host.value()},
              {"failure_domain", Settings.m_domain.value()},
              {"listen", toString(Settings.m_listen)},
              {"store", toString(Settings.m_store)}});
    tick(bootClockNow());
    return true;
  }

  void stop() {
    if (m_state.m_stop)
      return;
    m_stopStarted = bootClockNow();
    m_state.m_stop.emplace(m_stopStarted, m_state.m_settings.m_stopTime);
    logEvent(Severity::Info, "stopping", {{"in_flight", m_relay.inFlight()}});
    m_coordinator.resign(m_stopStarted);
    m_callerListener.closeAfterResponses();
    m_forwardListener.closeAfterResponses();
  }

private:
  static std::size_t callerLimit(const GatewaySettings &Settings) {
    std::size_t Reserved =
        std::min(ReservedDescriptors, Settings.m_descriptors / 2);
    return std::max(MinCallerConnections, Settings.m_descriptors - Reserved);
  }

  /// Key tables are not followed: they are written whole at every move of keys,
  /// and watches that return them fall behind.
  static std::vector<std::string> followedPrefixes(const PlatformCodec &Codec) {
    std::vector<std::string> Prefixes = Codec.followedPrefixes();
    Prefixes.push_back(store_keys::Coordinator);
    Prefixes.push_back(store_keys::Hosts);
    return Prefixes;
  }

  /// Calls \p Listen with an address, and stores the bound port in it. Returns
  /// false when the address cannot be bound.
  template <class ListenFunction>
  static bool bind(Endpoint &Address, ListenFunction Listen) {
    std::uint16_t Port = Listen(Address);
    if (Port != 0) {
      Address.m_port = Port;
      return true;
    }
    logEvent(Severity::Error, "address_not_available",
             {{"address", toString(Address)}});
    flushEventLog();
    return false;
  }

  void writePorts() const {
    const GatewaySettings &Settings = m_state.m_settings;
    if (Settings.m_portFile.empty())
      return;
    std::string Draft = Settings.m_portFile + ".draft";
    std::ofstream Output(Draft);
    for (const Endpoint *Address :
         {&Settings.m_listen, &Settings.m_readyListen, &Settings.m_peerListen,
          &Settings.m_metricsListen})
      Output << Address->m_port << "\n";
    Output.close();
    if (!Output || std::rename(Draft.c_str(), Settings.m_portFile.c_str()) != 0)
      logEvent(Severity::Error, "port_file_not_written",
               {{"file", Settings.m_portFile}});
  }

  bool ready() const {
    return !m_state.m_stop && m_watcher.loaded() &&
           m_state.m_routes.current() != nullptr;
  }

  HttpResponse metricsResponse(const HttpRequest &Request) {
    if (!asksForExplanation(Request.m_target))
      return {200,
              {{"Content-Type", "text/plain"}},
              recentMetricsText(bootClockNow())};
    if (Request.m_method != "GET")
      return {405, {{"Allow", "GET"}}, ""};
    return explain(Request, m_relay.deciders(), bootClockNow());
  }

  const std::string &recentMetricsText(Instant Now) {
    if (m_metricsText.empty() || Now - m_metricsMade >= MetricsInterval) {
      m_metricsText = metricsText();
      m_metricsMade = Now;
    }
    return m_metricsText;
  }

  std::string metricsText() {
    auto Contact = m_watcher.lastContact();
    m_state.m_metrics.setStoreContactAge(
        Contact
            ? std::chrono::duration<double>(bootClockNow() - *Contact).count()
            : -1);
    auto News = m_watcher.lastNews();
    m_state.m_metrics.setStoreNewsAge(
        News ? std::chrono::duration<double>(bootClockNow() - *News).count()
             : -1);
    m_state.m_metrics.setWaiting(m_relay.waiting());
    m_state.m_metrics.setFleet(m_state.hosts(), m_state.sharingHosts());
    auto CountUpstreams = [this](bool (*Matches)(const UpstreamState &)) {
      const auto &Upstreams = m_state.m_registry.upstreams();
      return static_cast<std::size_t>(std::count_if(
          Upstreams.begin(), Upstreams.end(),
          [Matches](const auto &Entry) { return Matches(Entry.second); }));
    };
    m_state.m_metrics.setLimitedUpstreams(
        CountUpstreams([](const UpstreamState &Upstream) {
          return Upstream.m_requestLimit.m_rate.has_value();
        }));
    m_state.m_metrics.setPausedUpstreams(
        CountUpstreams([](const UpstreamState &Upstream) {
          return Upstream.paused(bootClockNow());
        }));
    m_state.m_metrics.setLeavingUpstreams(CountUpstreams(
        [](const UpstreamState &Upstream) { return Upstream.m_saidLeaving; }));
    m_state.m_metrics.setPacedUpstreams(
        CountUpstreams([](const UpstreamState &Upstream) {
          return Upstream.m_paceLimit.has_value();
        }));
    m_state.m_metrics.setRejectedDatagrams(m_stateExchange.rejected());
    m_state.m_metrics.setMemory(m_state.m_memory);
    m_state.m_metrics.setCallerLimits("callers",
                                      m_callerListener.limitCounts());
    m_state.m_metrics.setCallerLimits("hosts", m_forwardListener.limitCounts());
    m_state.m_metrics.setCallerLimits("ready", m_readyListener.limitCounts());
    m_state.m_metrics.setCallerLimits("metrics",
                                      m_metricsListener.limitCounts());
    return m_state.m_metrics.text();
  }

  void tick(Instant Now) {
    m_stateExchange.setReachesStore(m_watcher.lastCallSucceeded(), Now);
    chooseWatcher(Now);
    m_watcher.tick(Now);
    if (m_watcher.loaded())
      m_coordinator.onRegistryLoaded(Now);
    m_coordinator.setCoordinatorHeard(m_stateExchange.coordinatorActs(Now));
    m_coordinator.tick(Now);
    m_prober.tick(Now);
    m_relay.updateReachability(Now);
    m_relay.updateReserves(Now);
    m_stateExchange.tick(Now);
    readKeyTablesIfDue(Now);
    m_registration.tick(m_watcher.loaded() && m_watcher.storeReachable(), Now);
    if (m_relay.waiting() > 0)
      m_relay.dispatchWaiting(Now);
    m_readyListener.admitWaiting(Now);
    if (m_stateExchange.coordinatorSilent(Now))
      m_watcher.expectChangeOf(store_keys::Coordinator, Now + TickInterval * 2);
    if (m_state.m_stop)
      checkStop(*m_state.m_stop, Now);
  }

  /// While no coordinator can be reached, the stored key tables say who owns
  /// which keys.
  void readKeyTablesIfDue(Instant Now) {
    if (!m_watcher.loaded() || m_tableReadInFlight || Now < m_nextTableRead ||
        m_stateExchange.coordinatorReachable(Now))
      return;
    m_tableReadInFlight = true;
    m_nextTableRead = Now + (knowsOwners() ? KeyTableReadInterval
                                           : FirstKeyTableReadInterval);
    StoreQuery Query;
    Query.m_key = store_keys::KeyTables;
    Query.m_prefix = true;
    m_store->read(Query, [this](const StoreReply<StoreRange> &Reply) {
      m_tableReadInFlight = false;
      if (const auto *Error = std::get_if<StoreError>(&Reply))
        return logEvent(Severity::Warning, "key_tables_not_read",
                        {{"reason", toString(*Error)}});
      for (const StoreEntry &Entry : std::get<StoreRange>(Reply).m_entries)
        onKeyTable(Entry, bootClockNow());
    });
  }

  /// Without a coordinator the owners do not change, so known ones stay valid.
  bool knowsOwners() const {
    auto Configuration = m_state.m_routes.current();
    if (!Configuration)
      return false;
    const auto &Services = Configuration->m_services;
    return std::all_of(
        Services.begin(), Services.end(), [&](const auto &Entry) {
          return !Entry.second.m_keyed || m_state.m_owners.knows(Entry.first);
        });
  }

  void chooseWatcher(Instant Now) {
    bool Watches = m_stateExchange.watchesStore(Now);
    if (Watches != m_watchesForDomain)
      logEvent(Severity::Info, "store_watcher_changed",
               {{"watches_for_domain", Watches}});
    m_watchesForDomain = Watches;
    m_watcher.setWatchesForDomain(Watches);
  }

  void sweep(Instant Now) {
    for (const UpstreamId &Upstream : m_state.m_registry.sweep(Now))
      logEvent(Severity::Warning, "upstream_not_returned",
               {{"upstream", Upstream.value()}});
    if (Now >= m_domainsHeldUntil)
      for (const DomainId &Domain : std::exchange(m_heldDomainReturns, {}))
        onChange(DomainChanged{Domain, false}, Now);
    m_state.m_peerLoads.expire(Now);
    m_state.m_teamQuota.sweep(Now);
    const auto &Configuration = m_state.m_routes.current();
    if (Configuration && !Configuration->m_teams.empty())
      m_state.m_teamShares.update(Configuration->m_teams.teams(),
                                  m_state.m_teamQuota.totals(),
                                  m_relay.waitingByTeamPriority(), Now);
    for (auto &[Id, Upstream] : m_state.m_registry.upstreams())
      decayServiceTimeRatio(Upstream, SweepInterval, Now);
    m_relay.sweep(Now);
    m_callerListener.sweep(Now);
    m_forwardListener.sweep(Now);
    m_readyListener.sweep(Now);
    m_metricsListener.sweep(Now);
    m_stateExchange.sweep(Now);
    std::uint64_t Checks = m_readyListener.closedConnections() +
                           m_metricsListener.closedConnections();
    m_state.m_memory.noteUnchargedRelease(
        (Checks - std::exchange(m_closedChecks, Checks)) *
        CheckConnectionBytes);
    if (m_state.m_memory.trimDue(Now))
      returnFreedMemory();
  }

  void checkStop(const StopPlan &Plan, Instant Now) {
    Duration Elapsed = Now - m_stopStarted;
    // The balancer may keep sending callers here when too few other hosts are
    // ready.
    if (Elapsed >= BalancerRemovalTime) {
      m_callerListener.stopListening(Now);
      m_forwardListener.stopListening(Now);
    }
    bool Idle = m_relay.inFlight() == 0 && m_callerListener.busy() == 0 &&
                m_forwardListener.busy() == 0;
    bool StopTimeReached = Now >= Plan.endsRequestsAt();
    if (!StopTimeReached && (!Idle || Elapsed < BalancerRemovalTime))
      return;
    if (StopTimeReached)
      m_relay.endAll(Now);
    if (!m_registrationEnded) {
      m_registrationEnded = true;
      m_registration.end();
      logEvent(Severity::Info, "stopped",
               {{"in_flight", m_relay.inFlight()},
                {"spent_ms", Elapsed.count() / 1000}});
      return; // The call that ends the lease is sent before the next tick.
    }
    std::size_t Active =
        m_callerListener.closeIdle(Now) + m_forwardListener.closeIdle(Now);
    if (Active > 0 && Now < Plan.endsAt())
      return;
    flushEventLog();
    event_base_loopbreak(m_state.m_base);
  }

  EntryEffect onEntry(const StoreEntry &Entry, Instant Now) override {
    if (Entry.m_key.starts_with(store_keys::KeyTables)) {
      EntryEffect Effect = onKeyTable(Entry, Now);
      // Tables as first read are large, and the coordinator sends newer owners.
      return m_watcher.loaded() ? Effect : EntryEffect::None;
    }
    if (Entry.m_key == store_keys::Coordinator) {
      m_coordinator.onCoordinatorRecord(HostId(Entry.m_value), Entry.m_modified,
                                        Now);
    } else if (Entry.m_key == store_keys::PeerKey) {
      m_stateExchange.setKey(Entry.m_value);
      m_registration.onPeerKeyKnown(Entry.m_value);
    } else if (Entry.m_key.starts_with(store_keys::Hosts)) {
      onHost(Entry);
    } else {
      return onRegistryEntry(Entry, Now);
    }
    return EntryEffect::Change;
  }

  EntryEffect onRegistryEntry(const StoreEntry &Entry, Instant Now) {
    RegistryChange Decoded = m_codec->decodeEntry(Entry);
    if (const auto *Written = std::get_if<UpstreamWritten>(&Decoded))
      return onUpstream(Written->m_record, Now);
    std::visit([this, Now](const auto &Change) { onChange(Change, Now); },
               Decoded);
    return EntryEffect::Change;
  }

  void onRemoval(const std::string &Key, StoreVersion Version,
                 Instant Now) override {
    if (Key == store_keys::Coordinator)
      return m_coordinator.onCoordinatorRecord(HostId(), Version, Now);
    if (Key == store_keys::PeerKey)
      return m_registration.onPeerKeyLost();
    if (Key.starts_with(store_keys::Hosts))
      return m_stateExchange.markUnlisted(
          HostId(Key.substr(store_keys::Hosts.size())));
    RegistryChange Decoded = m_codec->decodeRemoval(Key);
    std::visit([this, Now](const auto &Change) { onChange(Change, Now); },
               Decoded);
  }

  /// The writers of what is missing or older in the store write it again.
  /// Meanwhile nothing that this host has put in force is taken back.
  void onStoreRestored(Instant Now) {
    m_state.m_registry.holdRemovals(Now + RecordReturnTime);
    m_domainsHeldUntil = Now + DomainReturnTime;
    m_coordinator.onStoreRestored(Now);
    // The claim of an interrupted coordinator needs the restored record, and
    // the keys stay with their owners only if it succeeds within the former
    // lease. Other hosts make no extra call: a fleet would make them all at
    // once.
    if (m_coordinator.interrupted())
      m_watcher.watchNow();
  }

  void onStoreRegained(Instant Now) override {
    logEvent(Severity::Info, "store_regained", {});
    m_state.m_registry.holdRemovals(Now + RecordReturnTime);
  }

  void onStoreLost(StoreError Error, Instant) override {
    logEvent(Severity::Warning, "store_lost", {{"reason", toString(Error)}});
  }

  void onHost(const StoreEntry &Entry) {
    auto Record = decodeHostRecord(Entry.m_value);
    if (Record)
      m_stateExchange.addPeer(
          HostId(Entry.m_key.substr(store_keys::Hosts.size())), *Record);
    else
      logEvent(Severity::Warning, "entry_unreadable", {{"key", Entry.m_key}});
  }

  /// The stored table is written before owners confirm their grants, whereas
  /// the coordinator publishes only confirmed owners. Therefore the stored
  /// table is not used while the coordinator can be reached.
  EntryEffect onKeyTable(const StoreEntry &Entry, Instant Now) {
    ServiceId Service(Entry.m_key.substr(store_keys::KeyTables.size()));
    if (m_state.m_owners.knows(Service) &&
        m_stateExchange.coordinatorReachable(Now))
      return EntryEffect::None;
    auto Table = decodeKeyTable(Entry.m_value);
    if (Table && Table->m_era.value() != 0 &&
        Table->m_era < eraOf(Entry.m_modified))
      m_coordinator.onOlderTable(Now);
    if (Table)
      m_state.m_owners.apply(*Table, {});
    else
      logEvent(Severity::Warning, "entry_unreadable", {{"key", Entry.m_key}});
    return EntryEffect::Change;
  }

  void onChange(const std::monostate &, Instant) {}
  void onChange(const UpstreamWritten &, Instant) {}

  EntryEffect onUpstream(const UpstreamRecord &Record, Instant Now) {
    auto Result = m_state.m_registry.onRecord(Record, Now);
    if (Result == UpstreamRegistry::Change::Joined && m_watcher.loaded())
      m_state.m_registry.find(Record.m_id)->m_joinedLate = true;
    if (Result == UpstreamRegistry::Change::Restarted)
      m_relay.onUpstreamDown(Record.m_id, Now);
    if (Result == UpstreamRegistry::Change::None)
      return EntryEffect::None;
    if (Result == UpstreamRegistry::Change::Renewed)
      return EntryEffect::Renewal;
    if (Result == UpstreamRegistry::Change::Updated)
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
    CallerLimits Limits = Change.m_configuration->m_limits;
    m_callerListener.setLimits(Limits);
    m_state.m_memory.setLargestRequest(Limits.m_bodyBytes +
                                       RequestOverheadBytes);
    Limits.m_headerBytes += ForwardHeaderBytes;
    Limits.m_headerFields += ForwardHeaderFields;
    m_forwardListener.setLimits(Limits);
    m_state.m_metrics.setRevision(Revision);
    logEvent(Severity::Info, "configuration_in_force",
             {{"revision", Revision.value()},
              {"routes", Change.m_configuration->m_routes.size()}});
  }

  void onChange(const DomainChanged &Change, Instant Now) {
    if (Change.m_out)
      m_heldDomainReturns.erase(Change.m_domain);
    else if (Now < m_domainsHeldUntil &&
             m_state.m_registry.domainOut(Change.m_domain)) {
      m_heldDomainReturns.insert(Change.m_domain);
      return logEvent(Severity::Info, "domain_return_held",
                      {{"domain", Change.m_domain.value()}});
    }
    Duration ColdTime{};
    if (auto Current = m_state.m_routes.current())
      for (const auto &[Name, Policy] : Current->m_services)
        ColdTime = std::max(ColdTime, Policy.m_coldStart);
    m_state.m_registry.setDomainOut(Change.m_domain, Change.m_out, ColdTime,
                                    Now);
    logEvent(Severity::Info, "domain_changed",
             {{"domain", Change.m_domain.value()}, {"out", Change.m_out}});
  }

  void onChange(const UnreadableEntry &Change, Instant Now) {
    if (auto Upstream = m_codec->upstreamOfKey(Change.m_key))
      m_state.m_registry.onUnreadable(*Upstream, Now + RecordReturnTime);
    logEvent(Severity::Warning, "entry_unreadable",
             {{"key", Change.m_key}, {"reason", Change.m_reason}});
  }

  std::unique_ptr<WatchableStore> m_store;
  std::unique_ptr<PlatformCodec> m_codec;
  GatewayState m_state;
  RegistryWatcher m_watcher;
  RequestRelay m_relay;
  UpstreamProber m_prober;
  CoordinatorDriver m_coordinator;
  PeerStateExchange m_stateExchange;
  HostRegistration m_registration;
  CallerListener m_callerListener;
  CallerListener m_forwardListener;
  CallerListener m_readyListener;
  CallerListener m_metricsListener;
  std::unique_ptr<RepeatingTimer> m_tickTimer;
  std::unique_ptr<RepeatingTimer> m_sweepTimer;
  std::unique_ptr<RepeatingTimer> m_flushTimer;
  bool m_watchesForDomain = true;
  bool m_tableReadInFlight = false;
  Instant m_nextTableRead;
  /// After a restore of the store, failure domains are not put back in service
  /// before this time.
  Instant m_domainsHeldUntil;
  std::set<DomainId> m_heldDomainReturns;
  Instant m_stopStarted;
  /// Connections for readiness checks and metrics that have been closed.
  std::uint64_t m_closedChecks = 0;
  std::string m_metricsText; ///< Of the time m_metricsMade.
  Instant m_metricsMade;
  bool m_registrationEnded = false;
};

GatewayHost::GatewayHost(event_base *Base, const GatewaySettings &Settings,
                         std::unique_ptr<WatchableStore> Store,
                         std::unique_ptr<PlatformCodec> Codec)
    : m_implementation(std::make_unique<Implementation>(
          Base, Settings, std::move(Store), std::move(Codec))) {}

GatewayHost::~GatewayHost() = default;

bool GatewayHost::start() { return m_implementation->start(); }

void GatewayHost::stop() { m_implementation->stop(); }

void GatewayHost::reload() { logEvent(Severity::Info, "reload", {}); }

} // namespace burdockpulley
