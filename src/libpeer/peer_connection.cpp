#include "peer_connection.h"

#include "peer_types.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <arpa/inet.h>

#include <cstring>

namespace burdockpulley {
namespace detail {

namespace {

constexpr std::uint32_t MaxFrameBytes = std::uint32_t(1) << 30;
constexpr std::size_t FrameHeaderBytes = 4;

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
      m_isOutgoing(false), m_open(true) {
  attach();
  disableDelay(m_event);
}

PeerConnection::PeerConnection(PeerNetwork &Network, HostId Peer,
                               const Endpoint &Where)
    : m_network(Network), m_peer(std::move(Peer)),
      m_event(
          bufferevent_socket_new(Network.m_base, -1, BEV_OPT_CLOSE_ON_FREE)),
      m_isOutgoing(true), m_open(false) {
  attach();
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
  bufferevent_enable(m_event, EV_READ | EV_WRITE);
}

void PeerConnection::send(const wire::Message &Message) {
  std::string Bytes = encodeMessage(Message);
  std::uint32_t Size = htonl(static_cast<std::uint32_t>(Bytes.size()));
  evbuffer *Output = bufferevent_get_output(m_event);
  evbuffer_add(Output, &Size, sizeof(Size));
  evbuffer_add(Output, Bytes.data(), Bytes.size());
}

bool PeerConnection::readFrame() {
  evbuffer *Input = bufferevent_get_input(m_event);
  std::uint32_t Size = 0;
  if (evbuffer_copyout(Input, &Size, FrameHeaderBytes) <
      static_cast<ev_ssize_t>(FrameHeaderBytes))
    return false;
  Size = ntohl(Size);
  if (Size > MaxFrameBytes) {
    m_open = false;
    return false;
  }
  if (evbuffer_get_length(Input) < FrameHeaderBytes + Size)
    return false;
  evbuffer_drain(Input, FrameHeaderBytes);
  const auto *Bytes =
      reinterpret_cast<const char *>(evbuffer_pullup(Input, Size));
  wire::Message Message;
  bool Good = decodeMessage(std::string_view(Bytes, Size), Message);
  evbuffer_drain(Input, Size);
  if (!Good) {
    m_open = false;
    return false;
  }
  if (Message.__isset.hello)
    m_network.onHello(this, Message.hello);
  else if (!m_peer.value().empty())
    m_network.m_owner.onMessage(m_peer, std::move(Message));
  return m_open;
}

void PeerConnection::readFrames() {
  while (readFrame()) {
  }
  if (!m_open)
    m_network.onClosed(this);
}

void PeerConnection::onReadable(bufferevent *, void *Self) {
  static_cast<PeerConnection *>(Self)->readFrames();
}

void PeerConnection::onEvent(bufferevent *Event, short What, void *Self) {
  auto *Connection = static_cast<PeerConnection *>(Self);
  if (What & BEV_EVENT_CONNECTED) {
    disableDelay(Event);
    Connection->m_open = true;
    wire::Message Greeting;
    Greeting.__set_hello(*Connection->m_network.m_self);
    Connection->send(Greeting);
    return;
  }
  Connection->m_open = false;
  Connection->m_network.onClosed(Connection);
}

} // namespace detail
} // namespace burdockpulley
