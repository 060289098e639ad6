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
constexpr unsigned MaxRetryDoublings = 6;

} // namespace

PeerNetwork::PeerNetwork(event_base *Base, wire::Hello LocalHello,
                         Handler &EventHandler)
    : m_base(Base),
      m_localHello(std::make_unique<wire::Hello>(std::move(LocalHello))),
      m_handler(EventHandler), m_random(std::random_device()()) {
  auto DeleteClosed = [](int, short, void *Self) {
    static_cast<PeerNetwork *>(Self)->m_closedConnections.clear();
  };
  m_deleteClosedEvent = event_new(Base, -1, 0, DeleteClosed, this);
}

PeerNetwork::~PeerNetwork() {
  m_closing = true;
  event_free(m_deleteClosedEvent);
  if (m_listener)
    evconnlistener_free(m_listener);
}

void PeerNetwork::setKeys(PeerKeys Keys) {
  m_keys = std::move(Keys);
  std::vector<detail::PeerConnection *> Unauthenticated;
  for (const auto &Connection : m_connections) {
    bool KeyIsValid = Connection->keyId().empty()
                          ? m_keys.empty()
                          : m_keys.find(Connection->keyId()) != nullptr;
    if (!KeyIsValid)
      Unauthenticated.push_back(Connection.get());
  }
  closeAll(Unauthenticated);
}

std::uint16_t PeerNetwork::listen(const Endpoint &Address) {
  sockaddr_in SocketAddress{};
  SocketAddress.sin_family = AF_INET;
  SocketAddress.sin_port = htons(Address.m_port);
  inet_pton(AF_INET, Address.m_address.c_str(), &SocketAddress.sin_addr);
  auto OnConnection = [](evconnlistener *, int Descriptor, sockaddr *, int,
                         void *Self) {
    static_cast<PeerNetwork *>(Self)->onAccept(Descriptor);
  };
  m_listener = evconnlistener_new_bind(
      m_base, OnConnection, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<sockaddr *>(&SocketAddress), sizeof(SocketAddress));
  if (!m_listener)
    return 0;
  socklen_t Size = sizeof(SocketAddress);
  getsockname(evconnlistener_get_fd(m_listener),
              reinterpret_cast<sockaddr *>(&SocketAddress), &Size);
  return ntohs(SocketAddress.sin_port);
}

void PeerNetwork::setPeers(std::map<HostId, Endpoint> Peers) {
  std::map<HostId, Endpoint> OldAddresses = std::move(m_peerAddresses);
  m_peerAddresses = std::move(Peers);
  for (const auto &[Peer, OldAddress] : OldAddresses) {
    auto AddressIt = m_peerAddresses.find(Peer);
    if (AddressIt != m_peerAddresses.end() && AddressIt->second == OldAddress)
      continue;
    auto ConnectionIt = m_outgoing.find(Peer);
    if (ConnectionIt != m_outgoing.end())
      ConnectionIt->second->close("");
  }
}

detail::PeerConnection *PeerNetwork::openConnection(const HostId &Peer,
                                                    const Endpoint &Address) {
  auto BackoffIt = m_backoff.find(Address);
  if (BackoffIt != m_backoff.end() &&
      bootClockNow() < BackoffIt->second.m_notBefore)
    return nullptr;
  m_connections.push_back(
      std::make_unique<detail::PeerConnection>(*this, Peer, Address));
  return m_connections.back().get();
}

detail::PeerConnection *PeerNetwork::outgoingConnection(const HostId &Peer) {
  auto ConnectionIt = m_outgoing.find(Peer);
  if (ConnectionIt != m_outgoing.end())
    return ConnectionIt->second;
  auto AddressIt = m_peerAddresses.find(Peer);
  if (AddressIt == m_peerAddresses.end())
    return nullptr;
  detail::PeerConnection *Connection = openConnection(Peer, AddressIt->second);
  if (Connection)
    m_outgoing[Peer] = Connection;
  return Connection;
}

detail::PeerConnection *PeerNetwork::readyConnection(const HostId &Peer) const {
  auto OutgoingIt = m_outgoing.find(Peer);
  if (OutgoingIt != m_outgoing.end() && OutgoingIt->second->ready())
    return OutgoingIt->second;
  auto IncomingIt = m_incoming.find(Peer);
  if (IncomingIt != m_incoming.end() && IncomingIt->second->ready())
    return IncomingIt->second;
  return nullptr;
}

bool PeerNetwork::send(const HostId &To, const wire::Message &Message) {
  outgoingConnection(To);
  detail::PeerConnection *Connection = readyConnection(To);
  if (!Connection)
    return false;
  Connection->send(Message);
  return true;
}

void PeerNetwork::post(const HostId &To, const wire::Message &Message) {
  detail::PeerConnection *Outgoing = outgoingConnection(To);
  detail::PeerConnection *Connection = readyConnection(To);
  if (!Connection)
    Connection = Outgoing;
  if (Connection)
    Connection->post(Message);
}

void PeerNetwork::postToSeed(const Endpoint &Address,
                             const wire::Message &Message) {
  auto ConnectionIt = m_seedConnections.find(Address);
  if (ConnectionIt == m_seedConnections.end()) {
    detail::PeerConnection *Connection = openConnection(HostId(), Address);
    if (!Connection)
      return;
    ConnectionIt = m_seedConnections.insert({Address, Connection}).first;
  }
  ConnectionIt->second->post(Message);
}

void PeerNetwork::drop(const HostId &Peer) {
  std::vector<detail::PeerConnection *> PeerConnections;
  for (const auto &Connection : m_connections)
    if (Connection->peer() == Peer)
      PeerConnections.push_back(Connection.get());
  closeAll(PeerConnections);
}

void PeerNetwork::closeAll(
    const std::vector<detail::PeerConnection *> &Connections) {
  // The pointers stay valid: closed connections are deleted later, by the event
  // loop.
  for (detail::PeerConnection *Connection : Connections)
    Connection->close("");
}

bool PeerNetwork::connected(const HostId &Peer) const {
  return readyConnection(Peer) != nullptr;
}

void PeerNetwork::onAccept(int Descriptor) {
  m_connections.push_back(
      std::make_unique<detail::PeerConnection>(*this, Descriptor));
}

void PeerNetwork::onReady(detail::PeerConnection *Connection) {
  if (Connection->outgoing())
    m_backoff.erase(Connection->address());
}

void PeerNetwork::onAuthenticated(detail::PeerConnection *Connection) {
  if (!Connection->outgoing())
    m_incoming[Connection->peer()] = Connection;
}

void PeerNetwork::onClosed(detail::PeerConnection *Connection, bool WasReady) {
  if (m_closing)
    return;
  const HostId Peer = Connection->peer();
  // Erases the table's entry only if it still refers to this connection.
  auto Erase = [&](auto &Table, const auto &Key) {
    auto EntryIt = Table.find(Key);
    bool IsRegistered = EntryIt != Table.end() && EntryIt->second == Connection;
    if (IsRegistered)
      Table.erase(EntryIt);
    return IsRegistered;
  };
  bool WasRegistered = Connection->outgoing() ? Erase(m_outgoing, Peer)
                                              : Erase(m_incoming, Peer);
  if (Connection->outgoing()) {
    Erase(m_seedConnections, Connection->address());
    Backoff &Retry = m_backoff[Connection->address()];
    Duration Delay =
        std::min<Duration>(FirstRetryDelay * (1 << std::min(Retry.m_failures++,
                                                            MaxRetryDoublings)),
                           MaxRetryDelay);
    double Jitter = std::uniform_real_distribution<>(0.5, 1)(m_random);
    Retry.m_notBefore =
        bootClockNow() +
        Duration(static_cast<Duration::rep>(Delay.count() * Jitter));
  }
  auto ConnectionIt = std::find_if(
      m_connections.begin(), m_connections.end(),
      [&](const auto &Candidate) { return Candidate.get() == Connection; });
  if (ConnectionIt != m_connections.end()) {
    m_closedConnections.push_back(std::move(*ConnectionIt));
    m_connections.erase(ConnectionIt);
    event_active(m_deleteClosedEvent, EV_TIMEOUT, 0);
  }
  if (WasRegistered && WasReady)
    m_handler.onPeerLost(Peer);
}

} // namespace burdockpulley
