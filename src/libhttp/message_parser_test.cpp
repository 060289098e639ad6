#include "message_parser.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace burdockpulley;
using detail::MessageParser;

namespace {

constexpr MessageParser::Limits Wide{16 << 10, 1 << 20};

/// Feeds bytes in pieces of the given sizes, in turn.
std::size_t feedPieces(MessageParser &Parser, const std::string &Bytes,
                       const std::vector<std::uint8_t> &Sizes) {
  std::size_t At = 0;
  std::size_t Turn = 0;
  while (At < Bytes.size() && Parser.state() == MessageParser::State::Reading) {
    std::size_t Size = Sizes.empty() ? 1 : Sizes[Turn++ % Sizes.size()] + 1U;
    At += Parser.feed(Bytes.data() + At, std::min(Size, Bytes.size() - At));
  }
  return At;
}

MessageParser::State stateAfter(const std::string &Bytes,
                                MessageParser::Kind Kind) {
  MessageParser Parser(Kind, Wide);
  feedPieces(Parser, Bytes, {255});
  return Parser.state();
}

} // namespace

BOOST_AUTO_TEST_CASE(pieces_of_any_size_give_the_same_message) {
  const std::string Request = "POST /a/b?c=d HTTP/1.1\r\nHost: x.example\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "4\r\nwool\r\n6\r\n-shear\r\n0\r\n\r\n";
  BOOST_TEST(rc::check([&](const std::vector<std::uint8_t> &Sizes) {
    MessageParser Parser(MessageParser::Kind::Request, Wide);
    std::size_t Used = feedPieces(Parser, Request + "GET", Sizes);
    RC_ASSERT(Parser.state() == MessageParser::State::Complete);
    RC_ASSERT(Used == Request.size());
    RC_ASSERT(Parser.m_method == "POST");
    RC_ASSERT(Parser.m_target == "/a/b?c=d");
    RC_ASSERT(Parser.m_body == "wool-shear");
    RC_ASSERT(Parser.m_headers.size() == 2u);
    RC_ASSERT(Parser.m_headers[0].m_value == "x.example");
  }));
}

BOOST_AUTO_TEST_CASE(any_bytes_end_in_a_state_and_never_read_beyond_it) {
  BOOST_TEST(rc::check([](const std::string &Bytes, bool AsRequest) {
    MessageParser Parser(AsRequest ? MessageParser::Kind::Request
                                   : MessageParser::Kind::Response,
                         Wide);
    RC_ASSERT(feedPieces(Parser, Bytes, {7}) <= Bytes.size());
    if (Parser.state() == MessageParser::State::Reading)
      Parser.finish();
  }));
}

BOOST_AUTO_TEST_CASE(ambiguous_framing_is_refused) {
  using Kind = MessageParser::Kind;
  using State = MessageParser::State;
  const std::string Head = "POST / HTTP/1.1\r\nHost: x\r\n";
  BOOST_TEST((stateAfter(Head + "Content-Length: 3\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                         Kind::Request) == State::Failed));
  BOOST_TEST((stateAfter(Head + "Content-Length: 3\r\n"
                                "Content-Length: 4\r\n\r\nabcd",
                         Kind::Request) == State::Failed));
  BOOST_TEST((stateAfter(Head + "Transfer-Encoding: gzip\r\n\r\n",
                         Kind::Request) == State::Failed));
  BOOST_TEST((stateAfter("CONNECT x:1 HTTP/1.1\r\n\r\n", Kind::Request) ==
              State::Failed));
}

BOOST_AUTO_TEST_CASE(limits_are_told_apart) {
  MessageParser Small(MessageParser::Kind::Request, {64, 8});
  std::string Long = "GET /" + std::string(100, 'a') + " HTTP/1.1\r\n\r\n";
  feedPieces(Small, Long, {255});
  BOOST_TEST((Small.fault() == MessageParser::Fault::HeaderTooLarge));
  MessageParser Body(MessageParser::Kind::Request, {1024, 8});
  feedPieces(Body, "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n", {255});
  BOOST_TEST((Body.fault() == MessageParser::Fault::BodyTooLarge));
}

BOOST_AUTO_TEST_CASE(only_the_end_of_the_stream_completes_an_open_answer) {
  MessageParser Parser(MessageParser::Kind::Response, Wide);
  feedPieces(Parser, "HTTP/1.1 200 OK\r\n\r\nabc", {255});
  BOOST_TEST((Parser.state() == MessageParser::State::Reading));
  Parser.finish();
  BOOST_TEST((Parser.state() == MessageParser::State::Complete));
  BOOST_TEST(Parser.m_body == "abc");
  MessageParser Short(MessageParser::Kind::Response, Wide);
  feedPieces(Short, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", {255});
  Short.finish();
  BOOST_TEST((Short.state() == MessageParser::State::Failed));
}

BOOST_AUTO_TEST_CASE(interim_answers_are_skipped) {
  MessageParser Parser(MessageParser::Kind::Response, Wide);
  feedPieces(Parser,
             "HTTP/1.1 100 Continue\r\nX: 1\r\n\r\n"
             "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok",
             {3});
  BOOST_TEST((Parser.state() == MessageParser::State::Complete));
  BOOST_TEST(Parser.m_status == 201);
  BOOST_TEST(Parser.m_headers.size() == 1u);
}
