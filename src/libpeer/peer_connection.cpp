#include "peer_connection.h"

#include "burdockpulley/event_log.h"
#include "peer_types.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <arpa/inet.h>

namespace burdockpulley {
namespace detail {

namespace {

constexpr std::uint32_t MaxFrameBytes = std::uint32_t(320) << 20;
constexpr std::uint32_t MaxHandshakeFrameBytes = 4096;
constexpr std::size_t FrameHeaderBytes = 4;
/// Messages posted before the handshake is complete; more are dropped.
constexpr std::size_t MaxQueuedMessages = 64;
/// Posted messages are dropped while more unsent data than this is queued.
constexpr std::size_t MaxPostBacklogBytes = std::size_t(4) << 20;
constexpr timeval HandshakeTimeout{2, 0};

void disableNagle(bufferevent *BufferEvent) {
  int Enable = 1;
  setsockopt(bufferevent_getfd(BufferEvent), IPPROTO_TCP, TCP_NODELAY, &Enable,
             sizeof(Enable));
}

} // namespace

PeerConnection::PeerConnection(PeerNetwork &Network, int Descriptor)
    : m_network(Network),
      m_bufferEvent(bufferevent_socket_new(Network.m_base, Descriptor,
                                           BEV_OPT_CLOSE_ON_FREE)),
      m_isOutgoing(false), m_session(false),
      m_localHello(std::make_unique<wire::Hello>(*Network.m_localHello)) {
  registerCallbacks();
  disableNagle(m_bufferEvent);
}

PeerConnection::PeerConnection(PeerNetwork &Network, HostId Peer,
                               const Endpoint &Address)
    : m_network(Network), m_peer(std::move(Peer)), m_address(Address),
      m_bufferEvent(
          bufferevent_socket_new(Network.m_base, -1, BEV_OPT_CLOSE_ON_FREE)),
      m_isOutgoing(true), m_session(true),
      m_localHello(std::make_unique<wire::Hello>(*Network.m_localHello)) {
  registerCallbacks();
  m_session.open(Network.m_keys, *m_localHello);
  wire::Message HelloMessage;
  HelloMessage.__set_hello(*m_localHello);
  writeFrame(HelloMessage);
  sockaddr_in SocketAddress{};
  SocketAddress.sin_family = AF_INET;
  SocketAddress.sin_port = htons(Address.m_port);
  inet_pton(AF_INET, Address.m_address.c_str(), &SocketAddress.sin_addr);
  bufferevent_socket_connect(m_bufferEvent,
                             reinterpret_cast<sockaddr *>(&SocketAddress),
                             sizeof(SocketAddress));
}

PeerConnection::~PeerConnection() { bufferevent_free(m_bufferEvent); }

void PeerConnection::registerCallbacks() {
  bufferevent_setcb(m_bufferEvent, onReadable, nullptr, onEvent, this);
  bufferevent_set_timeouts(m_bufferEvent, &HandshakeTimeout, nullptr);
  bufferevent_enable(m_bufferEvent, EV_READ | EV_WRITE);
}

void PeerConnection::writeFrame(const wire::Message &Message) {
  std::string Bytes = encodeMessage(Message);
  std::string Mac = m_session.nextFrameMac(Bytes);
  std::uint32_t Size =
      htonl(static_cast<std::uint32_t>(Bytes.size() + Mac.size()));
  evbuffer *Output = bufferevent_get_output(m_bufferEvent);
  evbuffer_add(Output, &Size, sizeof(Size));
  evbuffer_add(Output, Bytes.data(), Bytes.size());
  evbuffer_add(Output, Mac.data(), Mac.size());
}

void PeerConnection::send(const wire::Message &Message) { writeFrame(Message); }

void PeerConnection::post(const wire::Message &Message) {
  if (m_state == State::Handshake &&
      m_queuedMessages.size() < MaxQueuedMessages)
    m_queuedMessages.push_back(Message);
  if (m_state == State::Ready && evbuffer_get_length(bufferevent_get_output(
                                     m_bufferEvent)) < MaxPostBacklogBytes)
    writeFrame(Message);
}

void PeerConnection::close(std::string_view Reason) {
  if (m_state == State::Closed)
    return;
  bool WasReady = m_state == State::Ready;
  m_state = State::Closed;
  bufferevent_disable(m_bufferEvent, EV_READ | EV_WRITE);
  bufferevent_setcb(m_bufferEvent, nullptr, nullptr, nullptr, nullptr);
  if (!Reason.empty())
    logEvent(Severity::Warning, "peer-dropped",
             {{"peer", m_peer.value()}, {"reason", Reason}});
  m_network.onClosed(this, WasReady);
}

bool PeerConnection::readFrame() {
  evbuffer *Input = bufferevent_get_input(m_bufferEvent);
  std::uint32_t Size = 0;
  if (evbuffer_copyout(Input, &Size, FrameHeaderBytes) <
      static_cast<ev_ssize_t>(FrameHeaderBytes))
    return false;
  Size = ntohl(Size);
  // Large frames are accepted only from an authenticated peer. The peer of an
  // outgoing connection is authenticated by its Hello.
  bool LargeFrames =
      m_state == State::Ready && (m_isOutgoing || m_authenticated);
  if (Size > (LargeFrames ? MaxFrameBytes : MaxHandshakeFrameBytes)) {
    close("frame-too-large");
    return false;
  }
  if (evbuffer_get_length(Input) < FrameHeaderBytes + Size)
    return false;
  evbuffer_drain(Input, FrameHeaderBytes);
  const auto *Bytes =
      reinterpret_cast<const char *>(evbuffer_pullup(Input, Size));
  onFrame(std::string_view(Bytes, Size));
  if (m_state == State::Closed)
    return false;
  evbuffer_drain(Input, Size);
  return true;
}

void PeerConnection::onFrame(std::string_view Frame) {
  if (m_state == State::Ready && !m_session.verifyFrame(Frame))
    return close("bad-mac");
  wire::Message Message;
  if (!decodeMessage(Frame, Message))
    return close("unreadable");
  if (m_state == State::Handshake) {
    if (!Message.__isset.hello)
      return close("no-greeting");
    return onHello(Message.hello);
  }
  if (!m_authenticated) {
    m_authenticated = true;
    m_network.onAuthenticated(this);
  }
  if (!Message.__isset.hello)
    m_network.m_handler.onMessage(m_peer, std::move(Message));
}

void PeerConnection::onHello(const wire::Hello &RemoteHello) {
  if (RemoteHello.version != PeerProtocolVersion)
    return close("unknown-version");
  if (RemoteHello.host.empty())
    return close("no-name");
  if (m_isOutgoing) {
    if (!m_peer.value().empty() && m_peer.value() != RemoteHello.host)
      return close("another-host");
    if (!m_session.confirm(m_network.m_keys, *m_localHello, RemoteHello))
      return close("not-authenticated");
    m_peer = HostId(RemoteHello.host);
    return becomeReady();
  }
  m_peer = HostId(RemoteHello.host);
  PeerSession Session(false);
  if (!Session.accept(m_network.m_keys, RemoteHello, *m_localHello))
    return close("not-authenticated");
  wire::Message HelloMessage;
  HelloMessage.__set_hello(*m_localHello);
  writeFrame(HelloMessage);
  m_session = std::move(Session);
  becomeReady();
}

void PeerConnection::becomeReady() {
  m_state = State::Ready;
  bufferevent_set_timeouts(m_bufferEvent, nullptr, nullptr);
  m_network.onReady(this);
  if (m_session.usesMac() && m_isOutgoing) {
    // The first frame with a MAC authenticates this host to the accepter.
    wire::Message AuthenticationMessage;
    AuthenticationMessage.__set_hello(*m_localHello);
    writeFrame(AuthenticationMessage);
  }
  for (const wire::Message &Message : std::exchange(m_queuedMessages, {}))
    writeFrame(Message);
  if (m_session.usesMac() || m_isOutgoing)
    return;
  m_authenticated = true;
  m_network.onAuthenticated(this);
}

void PeerConnection::readFrames() {
  while (m_state != State::Closed && readFrame()) {
  }
}

void PeerConnection::onReadable(bufferevent *, void *Self) {
  static_cast<PeerConnection *>(Self)->readFrames();
}

void PeerConnection::onEvent(bufferevent *BufferEvent, short Flags,
                             void *Self) {
  auto *Connection = static_cast<PeerConnection *>(Self);
  if (Flags & BEV_EVENT_CONNECTED)
    return disableNagle(BufferEvent);
  Connection->close(Flags & BEV_EVENT_TIMEOUT ? "no-greeting" : "");
}

} // namespace detail
} // namespace burdockpulley
