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
constexpr std::uint32_t MaxGreetingBytes = 4096;
constexpr std::size_t FrameHeaderBytes = 4;
constexpr std::size_t MaxWaiting = 64;
/// Posted messages are dropped while more than this waits for the socket.
constexpr std::size_t MaxPostBacklogBytes = std::size_t(4) << 20;
constexpr timeval GreetingTimeout{2, 0};

void disableDelay(bufferevent *Event) {
  int On = 1;
  setsockopt(bufferevent_getfd(Event), IPPROTO_TCP, TCP_NODELAY, &On,
             sizeof(On));
}

} // namespace

PeerConnection::PeerConnection(PeerNetwork &Network, int Descriptor)
    : m_network(Network),
      m_event(bufferevent_socket_new(Network.m_base, Descriptor,
                                     BEV_OPT_CLOSE_ON_FREE)),
      m_isOutgoing(false), m_session(false),
      m_mine(std::make_unique<wire::Hello>(*Network.m_self)) {
  attach();
  disableDelay(m_event);
}

PeerConnection::PeerConnection(PeerNetwork &Network, HostId Peer,
                               const Endpoint &Where)
    : m_network(Network), m_peer(std::move(Peer)), m_address(Where),
      m_event(
          bufferevent_socket_new(Network.m_base, -1, BEV_OPT_CLOSE_ON_FREE)),
      m_isOutgoing(true), m_session(true),
      m_mine(std::make_unique<wire::Hello>(*Network.m_self)) {
  attach();
  m_session.open(Network.m_keys, *m_mine);
  wire::Message Greeting;
  Greeting.__set_hello(*m_mine);
  writeFrame(Greeting);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Where.m_port);
  inet_pton(AF_INET, Where.m_address.c_str(), &Address.sin_addr);
  bufferevent_socket_connect(m_event, reinterpret_cast<sockaddr *>(&Address),
                             sizeof(Address));
}

PeerConnection::~PeerConnection() { bufferevent_free(m_event); }

void PeerConnection::attach() {
  bufferevent_setcb(m_event, onReadable, nullptr, onEvent, this);
  bufferevent_set_timeouts(m_event, &GreetingTimeout, nullptr);
  bufferevent_enable(m_event, EV_READ | EV_WRITE);
}

void PeerConnection::writeFrame(const wire::Message &Message) {
  std::string Bytes = encodeMessage(Message);
  std::string Mac = m_session.seal(Bytes);
  std::uint32_t Size =
      htonl(static_cast<std::uint32_t>(Bytes.size() + Mac.size()));
  evbuffer *Output = bufferevent_get_output(m_event);
  evbuffer_add(Output, &Size, sizeof(Size));
  evbuffer_add(Output, Bytes.data(), Bytes.size());
  evbuffer_add(Output, Mac.data(), Mac.size());
}

void PeerConnection::send(const wire::Message &Message) { writeFrame(Message); }

void PeerConnection::post(const wire::Message &Message) {
  if (m_state == State::Greeting && m_waiting.size() < MaxWaiting)
    m_waiting.push_back(Message);
  if (m_state == State::Ready && evbuffer_get_length(bufferevent_get_output(
                                     m_event)) < MaxPostBacklogBytes)
    writeFrame(Message);
}

void PeerConnection::close(std::string_view Reason) {
  if (m_state == State::Closed)
    return;
  bool WasReady = m_state == State::Ready;
  m_state = State::Closed;
  bufferevent_disable(m_event, EV_READ | EV_WRITE);
  bufferevent_setcb(m_event, nullptr, nullptr, nullptr, nullptr);
  if (!Reason.empty())
    logEvent(Severity::Warning, "peer-dropped",
             {{"peer", m_peer.value()}, {"reason", Reason}});
  m_network.onClosed(this, WasReady);
}

bool PeerConnection::readFrame() {
  evbuffer *Input = bufferevent_get_input(m_event);
  std::uint32_t Size = 0;
  if (evbuffer_copyout(Input, &Size, FrameHeaderBytes) <
      static_cast<ev_ssize_t>(FrameHeaderBytes))
    return false;
  Size = ntohl(Size);
  // An opener is trusted with large frames once it is proven.
  bool Trusted = m_state == State::Ready && (m_isOutgoing || m_proven);
  if (Size > (Trusted ? MaxFrameBytes : MaxGreetingBytes)) {
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
  if (m_state == State::Ready && !m_session.unseal(Frame))
    return close("bad-mac");
  wire::Message Message;
  if (!decodeMessage(Frame, Message))
    return close("unreadable");
  if (m_state == State::Greeting) {
    if (!Message.__isset.hello)
      return close("no-greeting");
    return onHello(Message.hello);
  }
  if (!m_proven) {
    m_proven = true;
    m_network.onProven(this);
  }
  if (!Message.__isset.hello)
    m_network.m_owner.onMessage(m_peer, std::move(Message));
}

void PeerConnection::onHello(const wire::Hello &Theirs) {
  if (Theirs.version != PeerProtocolVersion)
    return close("unknown-version");
  if (Theirs.host.empty())
    return close("no-name");
  if (m_isOutgoing) {
    if (!m_peer.value().empty() && m_peer.value() != Theirs.host)
      return close("another-host");
    if (!m_session.confirm(m_network.m_keys, *m_mine, Theirs))
      return close("not-authenticated");
    m_peer = HostId(Theirs.host);
    return becomeReady();
  }
  m_peer = HostId(Theirs.host);
  PeerSession Session(false);
  if (!Session.accept(m_network.m_keys, Theirs, *m_mine))
    return close("not-authenticated");
  wire::Message Greeting;
  Greeting.__set_hello(*m_mine);
  writeFrame(Greeting);
  m_session = std::move(Session);
  becomeReady();
}

void PeerConnection::becomeReady() {
  m_state = State::Ready;
  bufferevent_set_timeouts(m_event, nullptr, nullptr);
  m_network.onReady(this);
  if (m_session.keyed() && m_isOutgoing) {
    // The first frame with a MAC proves this end.
    wire::Message Proof;
    Proof.__set_hello(*m_mine);
    writeFrame(Proof);
  }
  for (const wire::Message &Each : std::exchange(m_waiting, {}))
    writeFrame(Each);
  if (m_session.keyed() || m_isOutgoing)
    return;
  m_proven = true;
  m_network.onProven(this);
}

void PeerConnection::readFrames() {
  while (m_state != State::Closed && readFrame()) {
  }
}

void PeerConnection::onReadable(bufferevent *, void *Self) {
  static_cast<PeerConnection *>(Self)->readFrames();
}

void PeerConnection::onEvent(bufferevent *Event, short What, void *Self) {
  auto *Connection = static_cast<PeerConnection *>(Self);
  if (What & BEV_EVENT_CONNECTED)
    return disableDelay(Event);
  Connection->close(What & BEV_EVENT_TIMEOUT ? "no-greeting" : "");
}

} // namespace detail
} // namespace burdockpulley
