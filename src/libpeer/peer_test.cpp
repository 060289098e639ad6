#include "burdockpulley/peer.h"

#include "peer_session.h"
#include "peer_types.h"

#include <boost/test/unit_test.hpp>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <rapidcheck.h>

#include <arpa/inet.h>

using namespace burdockpulley;

namespace {

wire::Hello makeHello(const std::string &Host) {
  wire::Hello Hello;
  Hello.version = PeerProtocolVersion;
  Hello.host = Host;
  return Hello;
}

/// Records the events of a network.
class RecordingHandler : public PeerNetwork::Handler {
public:
  void onMessage(const HostId &From, wire::Message &&Message) override {
    m_senders.push_back(From.value());
    m_messages.push_back(std::move(Message));
  }
  void onPeerLost(const HostId &Peer) override {
    m_lostPeers.push_back(Peer.value());
  }

  std::vector<std::string> m_senders;
  std::vector<wire::Message> m_messages;
  std::vector<std::string> m_lostPeers;
};

PeerKeys makeKeys(const std::string &Text) {
  PeerKeys Keys;
  BOOST_REQUIRE(parsePeerKeys(Text, Keys));
  return Keys;
}

const std::string OldKey = "old:000102030405060708090a0b0c0d0e0f";
const std::string NewKey = "new:ff0102030405060708090a0b0c0d0e0f";

wire::Message arbitraryMessage() {
  wire::Message Message;
  wire::ForwardRequest Request;
  Request.target = *rc::gen::arbitrary<std::string>();
  Request.headers.resize(*rc::gen::inRange(0, 4));
  Message.__set_forwardRequest(Request);
  return Message;
}

/// Two networks on one event loop: b listens, and a has the address of b. An
/// empty string means no keys.
struct NetworkPair {
  NetworkPair(const std::string &KeysOfA, const std::string &KeysOfB) {
    if (!KeysOfA.empty())
      m_a->setKeys(makeKeys(KeysOfA));
    if (!KeysOfB.empty())
      m_b->setKeys(makeKeys(KeysOfB));
    m_port = m_b->listen({"127.0.0.1", 0});
    m_a->setPeers({{HostId("b"), {"127.0.0.1", m_port}}});
  }
  ~NetworkPair() {
    m_a.reset();
    m_b.reset();
    event_base_free(m_base);
  }
  void runUntil(const std::function<bool()> &Condition) {
    while (!Condition())
      event_base_loop(m_base, EVLOOP_ONCE);
  }

  event_base *m_base = event_base_new();
  RecordingHandler m_handlerA;
  RecordingHandler m_handlerB;
  std::unique_ptr<PeerNetwork> m_a =
      std::make_unique<PeerNetwork>(m_base, makeHello("a"), m_handlerA);
  std::unique_ptr<PeerNetwork> m_b =
      std::make_unique<PeerNetwork>(m_base, makeHello("b"), m_handlerB);
  std::uint16_t m_port = 0;
};

/// Sends bytes to b without framing and waits until b closes the connection.
void sendRawBytes(NetworkPair &Networks, const std::string &Bytes) {
  bool Closed = false;
  auto OnEvent = [](bufferevent *, short Flags, void *IsClosed) {
    *static_cast<bool *>(IsClosed) = !(Flags & BEV_EVENT_CONNECTED);
  };
  bufferevent *BufferEvent =
      bufferevent_socket_new(Networks.m_base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(BufferEvent, nullptr, nullptr, OnEvent, &Closed);
  bufferevent_enable(BufferEvent, EV_READ | EV_WRITE);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Networks.m_port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bufferevent_socket_connect(
      BufferEvent, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  bufferevent_write(BufferEvent, Bytes.data(), Bytes.size());
  Networks.runUntil([&] { return Closed; });
  bufferevent_free(BufferEvent);
}

std::string encodeFrame(const wire::Message &Message) {
  std::string Bytes = encodeMessage(Message);
  std::uint32_t Size = htonl(static_cast<std::uint32_t>(Bytes.size()));
  return std::string(reinterpret_cast<char *>(&Size), sizeof(Size)) + Bytes;
}

} // namespace

BOOST_AUTO_TEST_CASE(invalid_messages_are_rejected) {
  wire::Message Message;
  Message.__set_forwardCancel({});
  std::string Bytes = encodeMessage(Message);
  wire::Message Decoded;
  BOOST_TEST(decodeMessage(Bytes, Decoded));
  BOOST_TEST(!decodeMessage(Bytes.substr(0, Bytes.size() - 1), Decoded));
  BOOST_TEST(!decodeMessage(Bytes + "x", Decoded));
  BOOST_TEST(!decodeMessage("\xff\xff\xff\xff", Decoded));
}

BOOST_AUTO_TEST_CASE(messages_arrive_once_in_order_and_peer_loss_is_reported) {
  event_base *Base = event_base_new();
  {
    RecordingHandler HandlerA;
    RecordingHandler HandlerB;
    PeerNetwork A(Base, makeHello("a"), HandlerA);
    auto B = std::make_unique<PeerNetwork>(Base, makeHello("b"), HandlerB);
    std::uint16_t Port = B->listen({"127.0.0.1", 0});
    A.setPeers({{HostId("b"), {"127.0.0.1", Port}}});
    wire::Message Message;
    Message.__set_forwardCancel({});
    BOOST_TEST(!A.send(HostId("b"), Message));
    while (!A.connected(HostId("b")))
      event_base_loop(Base, EVLOOP_ONCE);
    for (int I = 0; I < 100; ++I) {
      Message.forwardCancel.id = I;
      BOOST_TEST(A.send(HostId("b"), Message));
    }
    while (HandlerB.m_messages.size() < 100)
      event_base_loop(Base, EVLOOP_ONCE);
    for (int I = 0; I < 100; ++I)
      BOOST_TEST(HandlerB.m_messages[I].forwardCancel.id == I);
    BOOST_TEST(HandlerB.m_senders[0] == "a");
    BOOST_TEST(B->send(HostId("a"), Message));
    while (HandlerA.m_messages.empty())
      event_base_loop(Base, EVLOOP_ONCE);
    B.reset();
    while (HandlerA.m_lostPeers.empty())
      event_base_loop(Base, EVLOOP_ONCE);
    BOOST_TEST(HandlerA.m_lostPeers[0] == "b");
    BOOST_TEST(!A.send(HostId("b"), Message));
  }
  event_base_free(Base);
}

BOOST_AUTO_TEST_CASE(arbitrary_bytes_are_decoded_or_rejected) {
  BOOST_TEST(rc::check([](const std::string &Bytes) {
    wire::Message Decoded;
    decodeMessage(Bytes, Decoded);
  }));
  BOOST_TEST(rc::check([] {
    std::string Bytes = encodeMessage(arbitraryMessage());
    std::string Truncated =
        Bytes.substr(0, *rc::gen::inRange<std::size_t>(0, Bytes.size()));
    wire::Message Decoded;
    RC_ASSERT(!decodeMessage(Truncated, Decoded));
    Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] =
        *rc::gen::arbitrary<char>();
    decodeMessage(Bytes, Decoded);
  }));
}

BOOST_AUTO_TEST_CASE(connections_with_invalid_frames_are_closed) {
  NetworkPair Networks("", "");
  wire::Message HelloMessage;
  HelloMessage.__set_hello(makeHello("x"));
  std::string HelloFrame = encodeFrame(HelloMessage);
  HelloMessage.hello.version = PeerProtocolVersion + 1;
  wire::Message Request;
  Request.__set_forwardCancel({});
  sendRawBytes(Networks, encodeFrame(HelloMessage));
  sendRawBytes(Networks, encodeFrame(Request));
  sendRawBytes(Networks, "\x7f\x01\x01\x01");
  sendRawBytes(Networks, HelloFrame + std::string("\0\0\0\4abcd", 8));
  sendRawBytes(Networks, HelloFrame + "\x7f\x01\x01\x01");
  BOOST_TEST(Networks.m_handlerB.m_messages.empty());
  Networks.m_a->post(HostId("b"), Request);
  Networks.runUntil([&] { return !Networks.m_handlerB.m_messages.empty(); });
}

BOOST_AUTO_TEST_CASE(only_hosts_with_a_common_key_connect) {
  wire::Message Request;
  Request.__set_forwardCancel({});
  {
    NetworkPair Networks(NewKey + "," + OldKey, OldKey + "," + NewKey);
    Networks.m_a->post(HostId("b"), Request);
    Networks.runUntil([&] { return !Networks.m_handlerB.m_messages.empty(); });
    Networks.m_b->post(HostId("a"), Request);
    Networks.runUntil([&] { return !Networks.m_handlerA.m_messages.empty(); });
    Networks.m_b->setKeys(makeKeys(OldKey));
    Networks.runUntil([&] { return !Networks.m_handlerA.m_lostPeers.empty(); });
  }
  const std::string OtherSecretSameId = "old:ff0102030405060708090a0b0c0d0e0f";
  for (const std::string &KeyOfA : {NewKey, OtherSecretSameId, std::string()}) {
    NetworkPair Networks(KeyOfA, OldKey);
    wire::Message HelloMessage;
    HelloMessage.__set_hello(makeHello("a"));
    Networks.m_a->post(HostId("b"), Request);
    // Each call runs the event loop longer than the connection attempt of a
    // takes, so that a would be connected by now.
    for (int I = 0; I < 3; ++I)
      sendRawBytes(Networks, encodeFrame(HelloMessage));
    BOOST_TEST(!Networks.m_a->connected(HostId("b")));
    BOOST_TEST(Networks.m_handlerB.m_messages.empty());
  }
}

BOOST_AUTO_TEST_CASE(changed_replayed_and_reflected_frames_are_rejected) {
  BOOST_TEST(rc::check([](std::string Payload) {
    PeerKeys Keys = makeKeys(OldKey);
    detail::PeerSession Opener(true);
    detail::PeerSession Accepter(false);
    wire::Hello HelloA = makeHello("a");
    wire::Hello HelloB = makeHello("b");
    Opener.open(Keys, HelloA);
    RC_ASSERT(Accepter.accept(Keys, HelloA, HelloB));
    RC_ASSERT(Opener.confirm(Keys, HelloA, HelloB));
    std::string Frame = Payload + Opener.nextFrameMac(Payload);
    std::string_view Valid = Frame;
    std::string_view Reflected = Frame;
    RC_ASSERT(!Opener.verifyFrame(Reflected));
    RC_ASSERT(Accepter.verifyFrame(Valid));
    RC_ASSERT(Valid == Payload);
    std::string_view Replayed = Frame;
    RC_ASSERT(!Accepter.verifyFrame(Replayed));
    // The accepter has counted the replayed frame, so the opener skips a
    // number.
    Opener.nextFrameMac("");
    Frame = Payload + Opener.nextFrameMac(Payload);
    Frame[*rc::gen::inRange<std::size_t>(0, Frame.size())] ^= 1;
    std::string_view Changed = Frame;
    RC_ASSERT(!Accepter.verifyFrame(Changed));
    HelloB.host = "c";
    RC_ASSERT(!Opener.confirm(Keys, HelloA, HelloB));
  }));
}
