#include "burdockpulley/entry_host.h"

#include "admin_driver.h"
#include "burdockpulley/embedded_store.h"
#include "burdockpulley/etcd_store.h"
#include "burdockpulley/event_log.h"
#include "front_driver.h"
#include "keeper_driver.h"
#include "membership_driver.h"
#include "ownership_driver.h"
#include "peer_key_driver.h"
#include "peer_types.h"
#include "stop_driver.h"
#include "store_follower.h"
#include "trace_exporter.h"

#include <event2/event.h>

#include <cstdio>
#include <fstream>

namespace burdockpulley {

namespace {

constexpr Duration StoreTimeout{1'000'000};
constexpr std::uint64_t MaxBodyBytes = std::uint64_t(256) << 20;

wire::Hello greeting(const HostSettings &Settings) {
  wire::Hello Hello;
  Hello.version = PeerProtocolVersion;
  Hello.host = Settings.m_host.value();
  Hello.domain = Settings.m_domain.value();
  return Hello;
}

HostState initialState(const HostSettings &Settings) {
  HostState State;
  State.m_settings = Settings;
  return State;
}

} // namespace

class EntryHost::Impl : public PeerNetwork::Handler {
public:
  Impl(event_base *Base, const HostSettings &Settings)
      : m_base(Base), m_state(initialState(Settings)),
        m_store(openStore(Base, Settings), m_metrics),
        m_peers(Base, greeting(Settings), *this),
        m_peerKeys(Base, m_peers, Settings.m_peerKeys), m_pool(Base),
        m_loads(Base, m_state, m_peers),
        m_keeper(Base, m_state, m_pool, m_loads),
        m_ledger(Base, m_state, m_peers),
        m_front(Base, m_state, m_peers, m_keeper, m_ledger),
        m_ownership(Base, m_store, m_state, m_pool, m_peers,
                    [this] { m_follower.poll(); }),
        m_follower(
            Base, m_store, m_state, [this] { onTablesChanged(); },
            [this](Instant Began) { m_ownership.onContact(Began); }),
        m_spread(Base, m_state, m_peers, [this] { onTablesChanged(); }),
        m_members(
            Base, m_state, m_peers, m_spread,
            [this](const HostId &Host) { onPeerLost(Host); },
            [this] { m_ownership.wake(); }),
        m_server(Base, [this](HttpRequest &&Request, auto Responder) {
          onRequest(std::move(Request), std::move(Responder));
        }) {
    m_server.setMaxBodyBytes(MaxBodyBytes);
    m_state.m_mayServe = [this](const UpstreamId &Upstream,
                                PartitionIndex Partition, FencingToken Token,
                                Instant Now) {
      return m_ownership.mayServe(Upstream, Partition, Token, Now);
    };
    m_state.m_observer = &m_metrics;
    if (!Settings.m_traceEndpoint.m_address.empty()) {
      m_traces = std::make_unique<TraceExporter>(Base, Settings.m_host,
                                                 Settings.m_traceEndpoint);
      m_state.m_tracer = &m_traces->tracer();
    }
  }

  bool start() {
    const HostSettings &Settings = m_state.m_settings;
    if (!m_peerKeys.load())
      return false;
    std::uint16_t CallerPort = m_server.listen(Settings.m_listen);
    std::uint16_t PeerPort = m_peers.listen(Settings.m_peerListen);
    bool Admin = !Settings.m_adminListen.m_address.empty();
    std::uint16_t AdminPort =
        Admin ? m_admin.listen(Settings.m_adminListen) : 0;
    if (CallerPort == 0 || PeerPort == 0 || (Admin && AdminPort == 0)) {
      logEvent(Severity::Error, "address-in-use",
               {{"listen", toString(Settings.m_listen)},
                {"peerListen", toString(Settings.m_peerListen)},
                {"adminListen", toString(Settings.m_adminListen)}});
      return false;
    }
    writePorts(CallerPort, PeerPort, AdminPort);
    logEvent(Severity::Info, "started",
             {{"port", CallerPort},
              {"peerPort", PeerPort},
              {"adminPort", AdminPort}});
    return true;
  }

  void stop() { m_stop.stop(bootClockNow()); }

  void onMessage(const HostId &From, wire::Message &&Message) override {
    m_metrics.onPeerMessage();
    if (Message.__isset.forwardRequest)
      m_keeper.serve(
          From, std::move(Message.forwardRequest),
          [this, From](wire::ForwardReply &&Reply) {
            wire::Message Answer;
            Answer.__set_forwardReply(std::move(Reply));
            m_peers.send(From, Answer);
          },
          bootClockNow());
    else if (Message.__isset.forwardReply)
      m_front.onReply(std::move(Message.forwardReply), bootClockNow());
    else if (Message.__isset.forwardCancel)
      m_keeper.cancel(From, Message.forwardCancel.id);
    else if (Message.__isset.ledger)
      m_ledger.onMessage(From, Message.ledger, bootClockNow());
    else if (Message.__isset.member)
      m_members.onMessage(From, Message.member, bootClockNow());
    else if (Message.__isset.configPull)
      m_spread.onPull(From, Message.configPull);
    else if (Message.__isset.configPush)
      m_spread.onPush(std::move(Message.configPush));
    else if (Message.__isset.tablePull)
      m_spread.onPull(From, Message.tablePull);
    else if (Message.__isset.tablePush)
      m_spread.onPush(Message.tablePush);
    else if (Message.__isset.versionRequest)
      m_ownership.onQuestion(From, Message.versionRequest);
    else if (Message.__isset.versionResponse)
      m_ownership.onAnswer(From, std::move(Message.versionResponse));
    else if (Message.__isset.loadReport)
      m_loads.onReport(Message.loadReport);
    else if (Message.__isset.leaving)
      m_stop.onLeaving(From);
  }

  void onPeerLost(const HostId &Peer) override {
    m_keeper.onPeerLost(Peer);
    m_front.onPeerLost(Peer, bootClockNow());
    m_stop.onPeerLost(Peer);
  }

private:
  void onTablesChanged() {
    std::map<HostId, Endpoint> Peers;
    for (const FailureDomain &Domain : m_state.declared().m_domains)
      for (const FailureDomain::Host &Host : Domain.m_hosts)
        if (Host.m_name != m_state.m_settings.m_host)
          Peers[Host.m_name] = Host.m_peerAddress;
    m_peers.setPeers(std::move(Peers));
    m_spread.onTablesChanged();
    m_members.onTablesChanged(bootClockNow());
    m_ownership.wake();
  }

  void onRequest(HttpRequest &&Request,
                 std::shared_ptr<HttpResponder> Responder) {
    if (Request.m_target == "/healthz" || Request.m_target == "/readyz")
      return Responder->send(healthAnswer(Request.m_target, ready()));
    if (m_stop.stopping())
      Responder->closeAfterResponse();
    m_front.onRequest(std::move(Request), std::move(Responder), bootClockNow());
  }

  std::unique_ptr<Store> openStore(event_base *Base,
                                   const HostSettings &Settings) {
    if (!Settings.m_embedded)
      return std::make_unique<EtcdStore>(Base, Settings.m_platform,
                                         StoreTimeout);
    logEvent(Severity::Warning, "embedded-store",
             {{"warning", "NOT FOR PRODUCTION: nothing that is published or "
                          "granted outlives this process"}});
    auto Embedded = std::make_unique<EmbeddedStore>(Base, bootClockNow);
    m_embedded = &Embedded->state();
    return Embedded;
  }

  bool ready() const {
    return !m_stop.stopping() && m_state.m_set->m_root.m_revision.value() > 0;
  }

  void writePorts(std::uint16_t CallerPort, std::uint16_t PeerPort,
                  std::uint16_t AdminPort) {
    const std::string &Path = m_state.m_settings.m_portFile;
    if (Path.empty())
      return;
    // Renamed into place, so that a reader never sees half a file.
    std::string Draft = Path + ".draft";
    std::ofstream(Draft) << CallerPort << " " << PeerPort << " " << AdminPort
                         << "\n";
    std::rename(Draft.c_str(), Path.c_str());
  }

  event_base *m_base;
  HostState m_state;
  HostMetrics m_metrics;
  std::unique_ptr<TraceExporter> m_traces;
  StoreState *m_embedded = nullptr;
  MeteredStore m_store;
  PeerNetwork m_peers;
  PeerKeyDriver m_peerKeys;
  UpstreamPool m_pool;
  LoadDriver m_loads;
  KeeperDriver m_keeper;
  LedgerDriver m_ledger;
  FrontDriver m_front;
  OwnershipDriver m_ownership;
  StoreFollower m_follower;
  TableSpread m_spread;
  MembershipDriver m_members;
  HttpServer m_server;
  AdminDriver m_admin{m_base,
                      {m_state, m_peers, m_front, m_store, m_pool, m_metrics,
                       m_embedded, [this] { return ready(); }}};
  StopDriver m_stop{
      m_base,
      m_state,
      m_peers,
      {[this] { return m_front.inFlight() + m_keeper.inFlight(); },
       [this] { m_server.stopListening(); }, [this] { m_ownership.wake(); },
       [this] { event_base_loopexit(m_base, nullptr); }}};
};

EntryHost::EntryHost(event_base *Base, const HostSettings &Settings)
    : m_impl(std::make_unique<Impl>(Base, Settings)) {}

EntryHost::~EntryHost() = default;

bool EntryHost::start() { return m_impl->start(); }

void EntryHost::stop() { m_impl->stop(); }

} // namespace burdockpulley
