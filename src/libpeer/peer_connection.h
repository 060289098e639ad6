#ifndef BURDOCKPULLEY_LIBPEER_PEER_CONNECTION_H
#define BURDOCKPULLEY_LIBPEER_PEER_CONNECTION_H

#include "burdockpulley/peer.h"
#include "peer_session.h"

struct bufferevent;

namespace burdockpulley {
namespace detail {

/// One TCP connection that carries frames. A frame is a length of four bytes in
/// network byte order, an encoded message and, if keys are in use, its MAC. The
/// length is that of the message and the MAC.
///
/// The network deletes a closed connection after its callbacks have returned.
/// Thread safety: not safe; used only from the event loop's thread.
class PeerConnection {
public:
  /// Takes ownership of the descriptor of an accepted connection.
  PeerConnection(PeerNetwork &Network, int Descriptor);
  /// Opens a connection. \p Peer is empty when the host name is not known yet.
  PeerConnection(PeerNetwork &Network, HostId Peer, const Endpoint &Address);
  ~PeerConnection();
  PeerConnection(const PeerConnection &) = delete;
  PeerConnection &operator=(const PeerConnection &) = delete;

  /// Sends a message, whatever the amount of data already queued.
  /// Precondition: ready().
  void send(const wire::Message &Message);

  /// Sends a message now or, if the handshake is not complete, after it. The
  /// message is dropped when too much is already queued.
  void post(const wire::Message &Message);

  /// Closes the connection, notifies the network and logs \p Reason unless it
  /// is empty. Does nothing when the connection is already closed.
  void close(std::string_view Reason);

  const HostId &peer() const { return m_peer; }
  bool outgoing() const { return m_isOutgoing; }
  const Endpoint &address() const { return m_address; }
  const std::string &keyId() const { return m_session.keyId(); }
  /// True when the handshake is complete and the connection is open.
  bool ready() const { return m_state == State::Ready; }

private:
  enum class State { Handshake, Ready, Closed };

  void registerCallbacks();
  void writeFrame(const wire::Message &Message);
  void readFrames();
  /// Processes one frame. Returns false when no complete frame has been
  /// received or the connection is closed.
  bool readFrame();
  void onFrame(std::string_view Frame);
  void onHello(const wire::Hello &RemoteHello);
  void becomeReady();
  static void onReadable(bufferevent *BufferEvent, void *Self);
  static void onEvent(bufferevent *BufferEvent, short Flags, void *Self);

  PeerNetwork &m_network;
  HostId m_peer;
  Endpoint m_address;
  bufferevent *m_bufferEvent;
  bool m_isOutgoing;
  State m_state = State::Handshake;
  /// The peer has sent a valid frame after its Hello. Without keys, an accepted
  /// connection counts as authenticated after the Hello.
  bool m_authenticated = false;
  PeerSession m_session;
  std::unique_ptr<wire::Hello> m_localHello;
  std::vector<wire::Message> m_queuedMessages; ///< Posted before ready().
};

} // namespace detail
} // namespace burdockpulley

#endif
