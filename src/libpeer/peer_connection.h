#ifndef BURDOCKPULLEY_LIBPEER_PEER_CONNECTION_H
#define BURDOCKPULLEY_LIBPEER_PEER_CONNECTION_H

#include "burdockpulley/peer.h"

struct bufferevent;

namespace burdockpulley {
namespace detail {

/// One TCP connection that carries frames: four bytes of length, most
/// significant first, then a message.
class PeerConnection {
public:
  /// Takes over an accepted descriptor.
  PeerConnection(PeerNetwork &Network, int Descriptor);
  /// Opens a connection to a peer.
  PeerConnection(PeerNetwork &Network, HostId Peer, const Endpoint &Where);
  ~PeerConnection();
  PeerConnection(const PeerConnection &) = delete;
  PeerConnection &operator=(const PeerConnection &) = delete;

  void send(const wire::Message &Message);

  const HostId &peer() const { return m_peer; }
  void setPeer(HostId Peer) { m_peer = std::move(Peer); }
  bool outgoing() const { return m_isOutgoing; }
  bool open() const { return m_open; }

private:
  void attach();
  void readFrames();
  bool readFrame();
  static void onReadable(bufferevent *Event, void *Self);
  static void onEvent(bufferevent *Event, short What, void *Self);

  PeerNetwork &m_network;
  HostId m_peer;
  bufferevent *m_event;
  bool m_isOutgoing;
  bool m_open;
};

} // namespace detail
} // namespace burdockpulley

#endif
