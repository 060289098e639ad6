#include "peer_connection.h"

#include "peer_types.h"

#include <event2/listener.h>
#include <netinet/in.h>

#include <arpa/inet.h>

#include <algorithm>

namespace burdockpulley {

PeerNetwork::PeerNetwork(event_base *Base, wire::Hello Self, Handler &Owner)
    : m_base(Base), m_self(std::make_unique<wire::Hello>(std::move(Self))),
      m_owner(Owner) {}

PeerNetwork::~PeerNetwork() {
  m_closing = true;
  if (m_listener)
    evconnlistener_free(m_listener);
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
      onClosed(Connection->second);
  }
}

void PeerNetwork::connect(const HostId &Peer, const Endpoint &Where) {
  m_connections.push_back(
      std::make_unique<detail::PeerConnection>(*this, Peer, Where));
  m_outgoing[Peer] = m_connections.back().get();
}

bool PeerNetwork::send(const HostId &To, const wire::Message &Message) {
  auto Outgoing = m_outgoing.find(To);
  if (Outgoing != m_outgoing.end() && Outgoing->second->open()) {
    Outgoing->second->send(Message);
    return true;
  }
  if (Outgoing == m_outgoing.end()) {
    auto Where = m_peers.find(To);
    if (Where != m_peers.end())
      connect(To, Where->second);
  }
  auto Incoming = m_incoming.find(To);
  if (Incoming == m_incoming.end() || !Incoming->second->open())
    return false;
  Incoming->second->send(Message);
  return true;
}

bool PeerNetwork::connected(const HostId &Peer) const {
  auto Outgoing = m_outgoing.find(Peer);
  if (Outgoing != m_outgoing.end() && Outgoing->second->open())
    return true;
  auto Incoming = m_incoming.find(Peer);
  return Incoming != m_incoming.end() && Incoming->second->open();
}

void PeerNetwork::onAccept(int Descriptor) {
  m_connections.push_back(
      std::make_unique<detail::PeerConnection>(*this, Descriptor));
}

void PeerNetwork::onHello(detail::PeerConnection *Connection,
                          const wire::Hello &Hello) {
  if (Connection->outgoing())
    return;
  Connection->setPeer(HostId(Hello.host));
  m_incoming[Connection->peer()] = Connection;
}

void PeerNetwork::onClosed(detail::PeerConnection *Connection) {
  if (m_closing)
    return;
  HostId Peer = Connection->peer();
  auto &Table = Connection->outgoing() ? m_outgoing : m_incoming;
  auto Known = Table.find(Peer);
  bool WasKnown = Known != Table.end() && Known->second == Connection;
  if (WasKnown)
    Table.erase(Known);
  auto Found =
      std::find_if(m_connections.begin(), m_connections.end(),
                   [&](const auto &Each) { return Each.get() == Connection; });
  if (Found != m_connections.end())
    m_connections.erase(Found);
  if (WasKnown)
    m_owner.onPeerLost(Peer);
}

} // namespace burdockpulley
