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

wire::Hello hello(const std::string &Host) {
  wire::Hello Greeting;
  Greeting.version = PeerProtocolVersion;
  Greeting.host = Host;
  return Greeting;
}

class Recorder : public PeerNetwork::Handler {
public:
  void onMessage(const HostId &From, wire::Message &&Message) override {
    m_from.push_back(From.value());
    m_messages.push_back(std::move(Message));
  }
  void onPeerLost(const HostId &Peer) override {
    m_lost.push_back(Peer.value());
  }

  std::vector<std::string> m_from;
  std::vector<wire::Message> m_messages;
  std::vector<std::string> m_lost;
};

PeerKeys keys(const std::string &Text) {
  PeerKeys Keys;
  BOOST_REQUIRE(parsePeerKeys(Text, Keys));
  return Keys;
}

const std::string OldKey = "old:000102030405060708090a0b0c0d0e0f";
const std::string NewKey = "new:ff0102030405060708090a0b0c0d0e0f";

wire::Message anyMessage() {
  wire::Message Message;
  wire::ForwardRequest Request;
  Request.target = *rc::gen::arbitrary<std::string>();
  Request.headers.resize(*rc::gen::inRange(0, 4));
  Message.__set_forwardRequest(Request);
  return Message;
}

/// Two networks with keys; b listens, a knows where.
struct Pair {
  Pair(const std::string &KeysOfA, const std::string &KeysOfB) {
    if (!KeysOfA.empty())
      m_a->setKeys(keys(KeysOfA));
    if (!KeysOfB.empty())
      m_b->setKeys(keys(KeysOfB));
    m_port = m_b->listen({"127.0.0.1", 0});
    m_a->setPeers({{HostId("b"), {"127.0.0.1", m_port}}});
  }
  ~Pair() {
    m_a.reset();
    m_b.reset();
    event_base_free(m_base);
  }
  void runUntil(const std::function<bool()> &Holds) {
    while (!Holds())
      event_base_loop(m_base, EVLOOP_ONCE);
  }

  event_base *m_base = event_base_new();
  Recorder m_left;
  Recorder m_right;
  std::unique_ptr<PeerNetwork> m_a =
      std::make_unique<PeerNetwork>(m_base, hello("a"), m_left);
  std::unique_ptr<PeerNetwork> m_b =
      std::make_unique<PeerNetwork>(m_base, hello("b"), m_right);
  std::uint16_t m_port = 0;
};

/// Sends bytes as they are and waits until the other end hangs up.
void sendRaw(Pair &Networks, const std::string &Bytes) {
  bool Closed = false;
  auto OnEvent = [](bufferevent *, short What, void *Flag) {
    *static_cast<bool *>(Flag) = !(What & BEV_EVENT_CONNECTED);
  };
  bufferevent *Event =
      bufferevent_socket_new(Networks.m_base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(Event, nullptr, nullptr, OnEvent, &Closed);
  bufferevent_enable(Event, EV_READ | EV_WRITE);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Networks.m_port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bufferevent_socket_connect(Event, reinterpret_cast<sockaddr *>(&Address),
                             sizeof(Address));
  bufferevent_write(Event, Bytes.data(), Bytes.size());
  Networks.runUntil([&] { return Closed; });
  bufferevent_free(Event);
}

std::string frame(const wire::Message &Message) {
  std::string Bytes = encodeMessage(Message);
  std::uint32_t Size = htonl(static_cast<std::uint32_t>(Bytes.size()));
  return std::string(reinterpret_cast<char *>(&Size), sizeof(Size)) + Bytes;
}

} // namespace

BOOST_AUTO_TEST_CASE(bytes_that_are_no_message_are_refused) {
  wire::Message Message;
  Message.__set_forwardCancel({});
  std::string Bytes = encodeMessage(Message);
  wire::Message Read;
  BOOST_TEST(decodeMessage(Bytes, Read));
  BOOST_TEST(!decodeMessage(Bytes.substr(0, Bytes.size() - 1), Read));
  BOOST_TEST(!decodeMessage(Bytes + "x", Read));
  BOOST_TEST(!decodeMessage("\xff\xff\xff\xff", Read));
}

BOOST_AUTO_TEST_CASE(messages_arrive_once_in_order_and_a_loss_is_told) {
  event_base *Base = event_base_new();
  {
    Recorder Left;
    Recorder Right;
    PeerNetwork A(Base, hello("a"), Left);
    auto B = std::make_unique<PeerNetwork>(Base, hello("b"), Right);
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
    while (Right.m_messages.size() < 100)
      event_base_loop(Base, EVLOOP_ONCE);
    for (int I = 0; I < 100; ++I)
      BOOST_TEST(Right.m_messages[I].forwardCancel.id == I);
    BOOST_TEST(Right.m_from[0] == "a");
    BOOST_TEST(B->send(HostId("a"), Message));
    while (Left.m_messages.empty())
      event_base_loop(Base, EVLOOP_ONCE);
    B.reset();
    while (Left.m_lost.empty())
      event_base_loop(Base, EVLOOP_ONCE);
    BOOST_TEST(Left.m_lost[0] == "b");
    BOOST_TEST(!A.send(HostId("b"), Message));
  }
  event_base_free(Base);
}

BOOST_AUTO_TEST_CASE(any_bytes_are_read_or_refused) {
  BOOST_TEST(rc::check([](const std::string &Bytes) {
    wire::Message Read;
    decodeMessage(Bytes, Read);
  }));
  BOOST_TEST(rc::check([] {
    std::string Bytes = encodeMessage(anyMessage());
    std::string Cut =
        Bytes.substr(0, *rc::gen::inRange<std::size_t>(0, Bytes.size()));
    wire::Message Read;
    RC_ASSERT(!decodeMessage(Cut, Read));
    Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] =
        *rc::gen::arbitrary<char>();
    decodeMessage(Bytes, Read);
  }));
}

BOOST_AUTO_TEST_CASE(a_peer_that_sends_nonsense_is_dropped) {
  Pair Networks("", "");
  wire::Message Greeting;
  Greeting.__set_hello(hello("x"));
  std::string Hello = frame(Greeting);
  Greeting.hello.version = PeerProtocolVersion + 1;
  wire::Message Request;
  Request.__set_forwardCancel({});
  sendRaw(Networks, frame(Greeting));
  sendRaw(Networks, frame(Request));
  sendRaw(Networks, "\x7f\x01\x01\x01");
  sendRaw(Networks, Hello + std::string("\0\0\0\4abcd", 8));
  sendRaw(Networks, Hello + "\x7f\x01\x01\x01");
  BOOST_TEST(Networks.m_right.m_messages.empty());
  Networks.m_a->post(HostId("b"), Request);
  Networks.runUntil([&] { return !Networks.m_right.m_messages.empty(); });
}

BOOST_AUTO_TEST_CASE(hosts_with_a_common_key_talk_and_others_do_not) {
  wire::Message Request;
  Request.__set_forwardCancel({});
  {
    Pair Networks(NewKey + "," + OldKey, OldKey + "," + NewKey);
    Networks.m_a->post(HostId("b"), Request);
    Networks.runUntil([&] { return !Networks.m_right.m_messages.empty(); });
    Networks.m_b->post(HostId("a"), Request);
    Networks.runUntil([&] { return !Networks.m_left.m_messages.empty(); });
    Networks.m_b->setKeys(keys(OldKey));
    Networks.runUntil([&] { return !Networks.m_left.m_lost.empty(); });
  }
  const std::string SameId = "old:ff0102030405060708090a0b0c0d0e0f";
  for (const std::string &Other : {NewKey, SameId, std::string()}) {
    Pair Networks(Other, OldKey);
    wire::Message Greeting;
    Greeting.__set_hello(hello("a"));
    Networks.m_a->post(HostId("b"), Request);
    // Each takes more rounds of the loop than the connection of a.
    for (int I = 0; I < 3; ++I)
      sendRaw(Networks, frame(Greeting));
    BOOST_TEST(!Networks.m_a->connected(HostId("b")));
    BOOST_TEST(Networks.m_right.m_messages.empty());
  }
}

BOOST_AUTO_TEST_CASE(a_changed_repeated_or_reflected_frame_is_refused) {
  BOOST_TEST(rc::check([](std::string Payload) {
    PeerKeys Keys = keys(OldKey);
    detail::PeerSession Opener(true);
    detail::PeerSession Accepter(false);
    wire::Hello A = hello("a");
    wire::Hello B = hello("b");
    Opener.open(Keys, A);
    RC_ASSERT(Accepter.accept(Keys, A, B));
    RC_ASSERT(Opener.confirm(Keys, A, B));
    std::string Frame = Payload + Opener.seal(Payload);
    std::string_view Good = Frame;
    std::string_view Reflected = Frame;
    RC_ASSERT(!Opener.unseal(Reflected));
    RC_ASSERT(Accepter.unseal(Good));
    RC_ASSERT(Good == Payload);
    std::string_view Again = Frame;
    RC_ASSERT(!Accepter.unseal(Again));
    Opener.seal("");
    Frame = Payload + Opener.seal(Payload);
    Frame[*rc::gen::inRange<std::size_t>(0, Frame.size())] ^= 1;
    std::string_view Changed = Frame;
    RC_ASSERT(!Accepter.unseal(Changed));
    B.host = "c";
    RC_ASSERT(!Opener.confirm(Keys, A, B));
  }));
}
