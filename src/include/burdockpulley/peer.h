#ifndef BURDOCKPULLEY_PEER_H
#define BURDOCKPULLEY_PEER_H

#include "burdockpulley/peer_keys.h"
#include "burdockpulley/types.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

struct event;
struct event_base;
struct evconnlistener;

namespace burdockpulley {

namespace wire {
class Message;
class Hello;
} // namespace wire

/// Version of the protocol between hosts. Hosts with different versions do not
/// connect.
constexpr std::int32_t PeerProtocolVersion = 1;

/// Encodes a message in Thrift's compact protocol, without the frame around it.
/// Thread safety: safe.
std::string encodeMessage(const wire::Message &Message);

/// Decodes a message. Returns false, with \p Message unspecified, when the
/// bytes are not exactly one encoded message.
/// Thread safety: safe.
bool decodeMessage(std::string_view Bytes, wire::Message &Message);

namespace detail {
class PeerConnection;
} // namespace detail

/// Maintains TCP connections to the other entry hosts and exchanges messages
/// over them.
///
/// A host sends on the connection that it opened itself or, until that one is
/// ready, on the connection that the peer opened. Messages are delivered at
/// most once, and in order within one connection. When a connection breaks,
/// messages in transit are lost, and the handler's onPeerLost() is called.
///
/// Thread safety: not safe; used only from the event loop's thread.
class PeerNetwork {
public:
  /// Receives the events of a network.
  class Handler {
  public:
    virtual ~Handler() = default;

    /// A message has been received from a peer.
    virtual void onMessage(const HostId &From, wire::Message &&Message) = 0;

    /// A ready connection to a peer has closed. Messages that were sent on it
    /// may or may not have been delivered; responses to them will not arrive.
    virtual void onPeerLost(const HostId &Peer) = 0;
  };

  /// \p LocalHello describes this host to its peers.
  /// Precondition: \p Base and \p EventHandler outlive the network.
  PeerNetwork(event_base *Base, wire::Hello LocalHello, Handler &EventHandler);
  ~PeerNetwork();

  /// Replaces the keys and closes connections whose key is no longer among
  /// them. Without keys peers are not authenticated.
  void setKeys(PeerKeys Keys);

  /// Listens on an address; port 0 selects a free port. Returns the bound port,
  /// or 0 when the address cannot be bound.
  std::uint16_t listen(const Endpoint &Address);

  /// Replaces the addresses of the peers. Connections that this host opened to
  /// peers that are removed or have another address are closed.
  void setPeers(std::map<HostId, Endpoint> Peers);

  /// Sends a message if a connection to the peer is ready. Otherwise returns
  /// false, and the message has certainly not been sent. In both cases a
  /// connection is opened if this host has none to the peer, knows its address
  /// and the retry delay after the last failure is over.
  bool send(const HostId &To, const wire::Message &Message);

  /// Sends a message now or, if a connection has yet to be opened, when it is
  /// ready. The message is dropped when the connection fails or too much data
  /// is already queued.
  void post(const HostId &To, const wire::Message &Message);

  /// As post(), to an address whose host name is not known yet. Responses
  /// arrive through the handler.
  void postToSeed(const Endpoint &Address, const wire::Message &Message);

  /// Closes all connections to a peer, which may have failed without closing
  /// them.
  void drop(const HostId &Peer);

  /// True when send() can send a message to the peer now.
  bool connected(const HostId &Peer) const;

private:
  friend class detail::PeerConnection;
  void onAccept(int Descriptor);
  void onReady(detail::PeerConnection *Connection);
  void onAuthenticated(detail::PeerConnection *Connection);
  void onClosed(detail::PeerConnection *Connection, bool WasReady);
  /// Opens a connection. Returns null while the retry delay of the address
  /// lasts.
  detail::PeerConnection *openConnection(const HostId &Peer,
                                         const Endpoint &Address);
  /// The connection that this host opened to a peer; opens it if needed.
  detail::PeerConnection *outgoingConnection(const HostId &Peer);
  /// A connection on which messages to the peer can be sent now, or null.
  detail::PeerConnection *readyConnection(const HostId &Peer) const;
  void closeAll(const std::vector<detail::PeerConnection *> &Connections);

  /// Retry state of an address whose last connection failed or was closed.
  struct Backoff {
    unsigned m_failures = 0;
    Instant m_notBefore;
  };

  event_base *m_base;
  std::unique_ptr<wire::Hello> m_localHello;
  Handler &m_handler;
  evconnlistener *m_listener = nullptr;
  std::map<HostId, Endpoint> m_peerAddresses;
  std::map<HostId, detail::PeerConnection *> m_outgoing;
  std::map<HostId, detail::PeerConnection *> m_incoming;
  std::map<Endpoint, detail::PeerConnection *> m_seedConnections;
  std::vector<std::unique_ptr<detail::PeerConnection>> m_connections;
  /// Closed connections. They are deleted by m_deleteClosedEvent, after the
  /// event loop has left their callbacks.
  std::vector<std::unique_ptr<detail::PeerConnection>> m_closedConnections;
  event *m_deleteClosedEvent;
  std::map<Endpoint, Backoff> m_backoff;
  std::minstd_rand m_random;
  PeerKeys m_keys;
  bool m_closing = false;
};

} // namespace burdockpulley

#endif
