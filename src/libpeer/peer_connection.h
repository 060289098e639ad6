#ifndef BURDOCKPULLEY_LIBPEER_PEER_CONNECTION_H
#define BURDOCKPULLEY_LIBPEER_PEER_CONNECTION_H

#include "burdockpulley/peer.h"
#include "peer_session.h"

struct bufferevent;

namespace burdockpulley {
namespace detail {

/// One TCP connection that carries frames: four bytes of length, most
/// significant first, then a message, then its MAC when there are keys.
///
/// The network deletes a closed connection later, outside its callbacks.
class PeerConnection {
public:
  /// Takes over an accepted descriptor.
  PeerConnection(PeerNetwork &Network, int Descriptor);
  /// Opens a connection. \p Peer is empty when the host is not known yet.
  PeerConnection(PeerNetwork &Network, HostId Peer, const Endpoint &Where);
  ~PeerConnection();
  PeerConnection(const PeerConnection &) = delete;
  PeerConnection &operator=(const PeerConnection &) = delete;

  /// Precondition: ready().
  void send(const wire::Message &Message);

  /// Sends now, or when the greetings are done. Dropped when too much waits.
  void post(const wire::Message &Message);

  /// Ends the connection and tells the network. Does nothing when closed.
  void close(std::string_view Reason);

  const HostId &peer() const { return m_peer; }
  bool outgoing() const { return m_isOutgoing; }
  const Endpoint &address() const { return m_address; }
  const std::string &keyId() const { return m_session.keyId(); }
  /// True when the greetings are done.
  bool ready() const { return m_state == State::Ready; }

private:
  enum class State { Greeting, Ready, Closed };

  void attach();
  void writeFrame(const wire::Message &Message);
  void readFrames();
  bool readFrame();
  void onFrame(std::string_view Frame);
  void onHello(const wire::Hello &Theirs);
  void becomeReady();
  static void onReadable(bufferevent *Event, void *Self);
  static void onEvent(bufferevent *Event, short What, void *Self);

  PeerNetwork &m_network;
  HostId m_peer;
  Endpoint m_address;
  bufferevent *m_event;
  bool m_isOutgoing;
  State m_state = State::Greeting;
  bool m_proven = false; ///< The peer has sent a frame that only it can send.
  PeerSession m_session;
  std::unique_ptr<wire::Hello> m_mine;
  std::vector<wire::Message> m_waiting;
};

} // namespace detail
} // namespace burdockpulley

#endif
