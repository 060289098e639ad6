#include "burdockpulley/peer.h"

#include "peer_types.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>

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
