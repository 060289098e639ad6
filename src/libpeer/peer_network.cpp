#include "peer_connection.h"

#include "burdockpulley/clock.h"
#include "peer_types.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <arpa/inet.h>

#include <algorithm>

namespace burdockpulley {

namespace {

constexpr Duration FirstRetryDelay{50'000};
constexpr Duration MaxRetryDelay{2'000'000};
constexpr unsigned MaxDoublings = 6;

} // namespace

PeerNetwork::PeerNetwork(event_base *Base, wire::Hello Self, Handler &Owner)
    : m_base(Base), m_self(std::make_unique<wire::Hello>(std::move(Self))),
      m_owner(Owner), m_random(std::random_device()()) {
  auto Reap = [](int, short, void *Network) {
    static_cast<PeerNetwork *>(Network)->m_closed.clear();
  };
  m_reaper = event_new(Base, -1, 0, Reap, this);
}

PeerNetwork::~PeerNetwork() {
  m_closing = true;
  event_free(m_reaper);
  if (m_listener)
    evconnlistener_free(m_listener);
}

void PeerNetwork::setKeys(PeerKeys Keys) {
  m_keys = std::move(Keys);
  std::vector<detail::PeerConnection *> Stale;
  for (const auto &Each : m_connections) {
    bool Good = Each->keyId().empty() ? m_keys.empty()
                                      : m_keys.find(Each->keyId()) != nullptr;
    if (!Good)
      Stale.push_back(Each.get());
  }
  closeAll(Stale);
}

std::uint16_t PeerNetwork::listen(const Endpoint &Where) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Where.m_port);
  inet_pton(AF_INET, Where.m_address.c_str(), &Address.sin_addr);
  auto Accept = [](evconnlistener *, int Descriptor, sockaddr *, int,
                   void *Self) {
    static_cast<PeerNetwork *>(Self)->onAccept(Descriptor);
  };
  m_listener = evconnlistener_new_bind(
      m_base, Accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  if (!m_listener)
    return 0;
  socklen_t Size = sizeof(Address);
  getsockname(evconnlistener_get_fd(m_listener),
              reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

void PeerNetwork::setPeers(std::map<HostId, Endpoint> Peers) {
  std::map<HostId, Endpoint> Old = std::move(m_peers);
  m_peers = std::move(Peers);
  for (const auto &[Peer, Where] : Old) {
    auto Now = m_peers.find(Peer);
    if (Now != m_peers.end() && Now->second == Where)
      continue;
    auto Connection = m_outgoing.find(Peer);
    if (Connection != m_outgoing.end())
      Connection->second->close("");
  }
}

detail::PeerConnection *PeerNetwork::open(const HostId &Peer,
                                          const Endpoint &Where) {
  auto Failed = m_backoff.find(Where);
  if (Failed != m_backoff.end() && bootClockNow() < Failed->second.m_notBefore)
    return nullptr;
  m_connections.push_back(
      std::make_unique<detail::PeerConnection>(*this, Peer, Where));
  return m_connections.back().get();
}

detail::PeerConnection *PeerNetwork::outgoing(const HostId &Peer) {
  auto Found = m_outgoing.find(Peer);
  if (Found != m_outgoing.end())
    return Found->second;
  auto Where = m_peers.find(Peer);
  if (Where == m_peers.end())
    return nullptr;
  detail::PeerConnection *Connection = open(Peer, Where->second);
  if (Connection)
    m_outgoing[Peer] = Connection;
  return Connection;
}

detail::PeerConnection *PeerNetwork::readyTo(const HostId &Peer) const {
  auto Outgoing = m_outgoing.find(Peer);
  if (Outgoing != m_outgoing.end() && Outgoing->second->ready())
    return Outgoing->second;
  auto Incoming = m_incoming.find(Peer);
  if (Incoming != m_incoming.end() && Incoming->second->ready())
    return Incoming->second;
  return nullptr;
}

bool PeerNetwork::send(const HostId &To, const wire::Message &Message) {
  outgoing(To);
  detail::PeerConnection *Connection = readyTo(To);
  if (!Connection)
    return false;
  Connection->send(Message);
  return true;
}

void PeerNetwork::post(const HostId &To, const wire::Message &Message) {
  detail::PeerConnection *Opened = outgoing(To);
  detail::PeerConnection *Connection = readyTo(To);
  if (!Connection)
    Connection = Opened;
  if (Connection)
    Connection->post(Message);
}

void PeerNetwork::postToSeed(const Endpoint &Where,
                             const wire::Message &Message) {
  auto Found = m_seeds.find(Where);
  if (Found == m_seeds.end()) {
    detail::PeerConnection *Connection = open(HostId(), Where);
    if (!Connection)
      return;
    Found = m_seeds.insert({Where, Connection}).first;
  }
  Found->second->post(Message);
}

void PeerNetwork::drop(const HostId &Peer) {
  std::vector<detail::PeerConnection *> Gone;
  for (const auto &Each : m_connections)
    if (Each->peer() == Peer)
      Gone.push_back(Each.get());
  closeAll(Gone);
}

void PeerNetwork::closeAll(
    const std::vector<detail::PeerConnection *> &Connections) {
  // Closed connections stay allocated until the loop runs again.
  for (detail::PeerConnection *Each : Connections)
    Each->close("");
}

bool PeerNetwork::connected(const HostId &Peer) const {
  return readyTo(Peer) != nullptr;
}

void PeerNetwork::onAccept(int Descriptor) {
  m_connections.push_back(
      std::make_unique<detail::PeerConnection>(*this, Descriptor));
}

void PeerNetwork::onReady(detail::PeerConnection *Connection) {
  if (Connection->outgoing())
    m_backoff.erase(Connection->address());
}

void PeerNetwork::onProven(detail::PeerConnection *Connection) {
  if (!Connection->outgoing())
    m_incoming[Connection->peer()] = Connection;
}

void PeerNetwork::onClosed(detail::PeerConnection *Connection, bool WasReady) {
  if (m_closing)
    return;
  const HostId Peer = Connection->peer();
  auto Erase = [&](auto &Table, const auto &Key) {
    auto Known = Table.find(Key);
    bool Was = Known != Table.end() && Known->second == Connection;
    if (Was)
      Table.erase(Known);
    return Was;
  };
  bool WasKnown = Connection->outgoing() ? Erase(m_outgoing, Peer)
                                         : Erase(m_incoming, Peer);
  if (Connection->outgoing()) {
    Erase(m_seeds, Connection->address());
    Backoff &Failed = m_backoff[Connection->address()];
    Duration Delay = std::min<Duration>(
        FirstRetryDelay * (1 << std::min(Failed.m_failures++, MaxDoublings)),
        MaxRetryDelay);
    double Jitter = std::uniform_real_distribution<>(0.5, 1)(m_random);
    Failed.m_notBefore =
        bootClockNow() +
        Duration(static_cast<Duration::rep>(Delay.count() * Jitter));
  }
  auto Found =
      std::find_if(m_connections.begin(), m_connections.end(),
                   [&](const auto &Each) { return Each.get() == Connection; });
  if (Found != m_connections.end()) {
    m_closed.push_back(std::move(*Found));
    m_connections.erase(Found);
    event_active(m_reaper, EV_TIMEOUT, 0);
  }
  if (WasKnown && WasReady)
    m_owner.onPeerLost(Peer);
}

} // namespace burdockpulley
