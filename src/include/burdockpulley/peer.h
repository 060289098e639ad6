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

/// Version of the protocol between hosts that this build speaks.
constexpr std::int32_t PeerProtocolVersion = 1;

/// Writes a message in the compact form, without its frame.
/// Thread safety: safe.
std::string encodeMessage(const wire::Message &Message);

/// Reads a message; false when the bytes are not one.
/// Thread safety: safe.
bool decodeMessage(std::string_view Bytes, wire::Message &Message);

namespace detail {
class PeerConnection;
} // namespace detail

/// Connections to the other entry hosts, and messages over them.
///
/// Each pair of hosts uses the connection that the sender opened for what it
/// sends, and the same connection for answers. A message is delivered at most
/// once and in order; when a connection breaks, what was under way is lost,
/// and the handler's onPeerLost() says so.
///
/// Thread safety: none; it belongs to the loop's thread.
class PeerNetwork {
public:
  /// What a network tells its owner.
  class Handler {
  public:
    virtual ~Handler() = default;

    /// A message has come from a peer.
    virtual void onMessage(const HostId &From, wire::Message &&Message) = 0;

    /// A connection to a peer has broken. Messages sent before may have been
    /// delivered or not; answers to them will not come.
    virtual void onPeerLost(const HostId &Peer) = 0;
  };

  /// Precondition: \p Base and \p Owner outlive the network.
  PeerNetwork(event_base *Base, wire::Hello Self, Handler &Owner);
  ~PeerNetwork();

  /// Replaces the keys. Connections whose key is gone are closed. Without keys
  /// peers are not authenticated.
  void setKeys(PeerKeys Keys);

  /// Listens; port 0 takes a free one. Returns the bound port, or 0 when the
  /// address can not be had.
  std::uint16_t listen(const Endpoint &Where);

  /// Replaces the addresses of the peers. Connections to peers that are gone
  /// or have moved are closed.
  void setPeers(std::map<HostId, Endpoint> Peers);

  /// Sends a message. False when there is no address or no connection and the
  /// message has certainly not left; a connection attempt is then under way.
  bool send(const HostId &To, const wire::Message &Message);

  /// Sends a message when a connection is there, which may have to be opened
  /// first; it is dropped when that fails.
  void post(const HostId &To, const wire::Message &Message);

  /// Sends a message to an address whose host is not known yet. The answers
  /// come through the handler.
  void postToSeed(const Endpoint &Where, const wire::Message &Message);

  /// Closes the connections to a peer, which may be gone without a trace.
  void drop(const HostId &Peer);

  /// True when messages to the peer can leave now.
  bool connected(const HostId &Peer) const;

private:
  friend class detail::PeerConnection;
  void onAccept(int Descriptor);
  void onReady(detail::PeerConnection *Connection);
  void onProven(detail::PeerConnection *Connection);
  void onClosed(detail::PeerConnection *Connection, bool WasReady);
  detail::PeerConnection *open(const HostId &Peer, const Endpoint &Where);
  detail::PeerConnection *outgoing(const HostId &Peer);
  detail::PeerConnection *readyTo(const HostId &Peer) const;
  void closeAll(const std::vector<detail::PeerConnection *> &Connections);

  /// When an address that has failed may be tried again.
  struct Backoff {
    unsigned m_failures = 0;
    Instant m_notBefore;
  };

  event_base *m_base;
  std::unique_ptr<wire::Hello> m_self;
  Handler &m_owner;
  evconnlistener *m_listener = nullptr;
  std::map<HostId, Endpoint> m_peers;
  std::map<HostId, detail::PeerConnection *> m_outgoing;
  std::map<HostId, detail::PeerConnection *> m_incoming;
  std::map<Endpoint, detail::PeerConnection *> m_seeds;
  std::vector<std::unique_ptr<detail::PeerConnection>> m_connections;
  /// Closed ones, until the loop has left their callbacks.
  std::vector<std::unique_ptr<detail::PeerConnection>> m_closed;
  event *m_reaper;
  std::map<Endpoint, Backoff> m_backoff;
  std::minstd_rand m_random;
  PeerKeys m_keys;
  bool m_closing = false;
};

} // namespace burdockpulley

#endif
