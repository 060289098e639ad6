#include "arbitrary_response.h"
#include "message_parser.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace burdockpulley;
using detail::MessageParser;

namespace {

constexpr MessageParser::Limits LargeLimits{16 << 10, 1 << 20};

/// Feeds bytes in pieces, whose sizes are one more than \p Sizes in turn;
/// single bytes if \p Sizes is empty. Returns how many bytes belong to the
/// message.
std::size_t feedInPieces(MessageParser &Parser, const std::string &Bytes,
                         const std::vector<std::uint8_t> &Sizes) {
  std::size_t Position = 0;
  std::size_t PieceIndex = 0;
  while (Position < Bytes.size() &&
         Parser.state() == MessageParser::State::Reading) {
    std::size_t Size =
        Sizes.empty() ? 1 : Sizes[PieceIndex++ % Sizes.size()] + 1U;
    Position += Parser.feed(Bytes.data() + Position,
                            std::min(Size, Bytes.size() - Position));
  }
  return Position;
}

MessageParser::State stateAfter(const std::string &Bytes,
                                MessageParser::Kind Kind) {
  MessageParser Parser(Kind, LargeLimits);
  feedInPieces(Parser, Bytes, {255});
  return Parser.state();
}

/// Returns the state after a response whose connection then ends in order.
MessageParser::State stateOfResponse(const std::string &Bytes) {
  MessageParser Parser(MessageParser::Kind::Response, LargeLimits);
  feedInPieces(Parser, Bytes, {255});
  Parser.finish();
  return Parser.state();
}

/// Generates a response and makes its head malformed. Precondition: called
/// within a property of RapidCheck.
std::string arbitraryMalformedResponse() {
  ResponseShapes Shapes;
  Shapes.m_headerLines = "X-Name: a\r\n";
  const ArbitraryResponse Response = arbitraryResponse(Shapes);
  std::string Bytes = Response.m_bytes;
  const std::size_t Name = Bytes.find("X-Name");
  const std::size_t Status = Bytes.rfind("HTTP/1.1 ", Name) + 9;
  switch (*rc::gen::inRange(0, 3)) {
  case 0:
    return Bytes.replace(
        Status, 3,
        *rc::gen::element<std::string>("000", "0", "20", "099", "0200", "999"));
  case 1:
    return Bytes.insert(Name + *rc::gen::inRange<std::size_t>(0, 7), " ");
  default:
    return Bytes.insert(
        *rc::gen::inRange<std::size_t>(0, Response.m_headEnd),
        std::string(1, *rc::gen::element('\0', '\x01', '\x1f', '\x7f')));
  }
}

const std::string ShortBody = "Content-Length: 2\r\n\r\nok";

} // namespace

BOOST_AUTO_TEST_CASE(a_message_split_into_pieces_of_any_size_is_parsed_alike) {
  const std::string Request = "POST /a/b?c=d HTTP/1.1\r\nHost: x.example\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "4\r\nwool\r\n6\r\n-shear\r\n0\r\n\r\n";
  BOOST_TEST(rc::check([&](const std::vector<std::uint8_t> &Sizes) {
    MessageParser Parser(MessageParser::Kind::Request, LargeLimits);
    std::size_t Used = feedInPieces(Parser, Request + "GET", Sizes);
    RC_ASSERT(Parser.state() == MessageParser::State::Complete);
    RC_ASSERT(Used == Request.size());
    RC_ASSERT(Parser.m_method == "POST");
    RC_ASSERT(Parser.m_target == "/a/b?c=d");
    RC_ASSERT(Parser.m_body == "wool-shear");
    RC_ASSERT(Parser.m_headers.size() == 2u);
    RC_ASSERT(Parser.m_headers[0].m_value == "x.example");
  }));
}

BOOST_AUTO_TEST_CASE(arbitrary_bytes_are_never_read_past_their_end) {
  BOOST_TEST(rc::check([](const std::string &Bytes, bool AsRequest) {
    MessageParser Parser(AsRequest ? MessageParser::Kind::Request
                                   : MessageParser::Kind::Response,
                         LargeLimits);
    RC_ASSERT(feedInPieces(Parser, Bytes, {7}) <= Bytes.size());
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

BOOST_AUTO_TEST_CASE(header_and_body_limits_give_different_faults) {
  MessageParser HeaderParser(MessageParser::Kind::Request, {64, 8});
  std::string LongRequest =
      "GET /" + std::string(100, 'a') + " HTTP/1.1\r\n\r\n";
  feedInPieces(HeaderParser, LongRequest, {255});
  BOOST_TEST((HeaderParser.fault() == MessageParser::Fault::HeaderTooLarge));
  MessageParser BodyParser(MessageParser::Kind::Request, {1024, 8});
  feedInPieces(BodyParser, "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n",
               {255});
  BOOST_TEST((BodyParser.fault() == MessageParser::Fault::BodyTooLarge));
}

BOOST_AUTO_TEST_CASE(
    a_response_without_a_length_is_completed_by_the_end_of_the_stream) {
  MessageParser Parser(MessageParser::Kind::Response, LargeLimits);
  feedInPieces(Parser, "HTTP/1.1 200 OK\r\n\r\nabc", {255});
  BOOST_TEST((Parser.state() == MessageParser::State::Reading));
  Parser.finish();
  BOOST_TEST((Parser.state() == MessageParser::State::Complete));
  BOOST_TEST(Parser.m_body == "abc");
  MessageParser TruncatedParser(MessageParser::Kind::Response, LargeLimits);
  feedInPieces(TruncatedParser,
               "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", {255});
  TruncatedParser.finish();
  BOOST_TEST((TruncatedParser.state() == MessageParser::State::Failed));
}

BOOST_AUTO_TEST_CASE(interim_responses_are_skipped) {
  MessageParser Parser(MessageParser::Kind::Response, LargeLimits);
  feedInPieces(Parser,
               "HTTP/1.1 100 Continue\r\nX: 1\r\n\r\n"
               "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok",
               {3});
  BOOST_TEST((Parser.state() == MessageParser::State::Complete));
  BOOST_TEST(Parser.m_status == 201);
  BOOST_TEST(Parser.m_headers.size() == 1u);
}

// A server stopped in the middle of a head; its clients got an empty 200.
BOOST_AUTO_TEST_CASE(a_response_that_is_cut_at_any_byte_is_never_complete) {
  BOOST_TEST(rc::check([](const std::vector<std::uint8_t> &Sizes) {
    const ArbitraryResponse Response = arbitraryResponse();
    for (std::size_t Cut = 0; Cut <= Response.m_bytes.size(); ++Cut) {
      MessageParser Parser(MessageParser::Kind::Response, LargeLimits);
      Parser.expectNoBody(Response.m_method == "HEAD");
      RC_ASSERT(feedInPieces(Parser, Response.m_bytes.substr(0, Cut), Sizes) ==
                Cut);
      bool Whole =
          Cut == Response.m_bytes.size() && !Response.m_endsWithConnection;
      RC_ASSERT((Parser.state() == MessageParser::State::Complete) == Whole);
      Parser.finish();
      bool Complete = Parser.state() == MessageParser::State::Complete;
      RC_ASSERT(Complete == Response.completeAt(Cut));
      if (!Complete)
        continue;
      RC_ASSERT(Parser.m_status == Response.m_status);
      RC_ASSERT(Parser.m_body == Response.bodyAt(Cut));
    }
  }));
}

BOOST_AUTO_TEST_CASE(the_kind_of_one_response_has_no_effect_on_the_next) {
  BOOST_TEST(rc::check([](const std::vector<std::uint8_t> &Sizes) {
    ResponseShapes Shapes;
    Shapes.m_endWithConnection = false;
    MessageParser Parser(MessageParser::Kind::Response, LargeLimits);
    for (int Count = 0; Count < 4; ++Count) {
      const ArbitraryResponse Response = arbitraryResponse(Shapes);
      Parser.reset();
      Parser.expectNoBody(Response.m_method == "HEAD");
      RC_ASSERT(feedInPieces(Parser, Response.m_bytes, Sizes) ==
                Response.m_bytes.size());
      RC_ASSERT(Parser.state() == MessageParser::State::Complete);
      RC_ASSERT(Parser.m_status == Response.m_status);
      RC_ASSERT(Parser.m_body == Response.m_body);
    }
  }));
}

BOOST_AUTO_TEST_CASE(a_response_without_body_takes_no_bytes_of_the_next) {
  const std::string Next = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  for (const char *Framing :
       {"Content-Length: 5\r\n", "Content-Length: 90000000\r\n",
        "Transfer-Encoding: chunked\r\n"})
    for (const char *Status : {"103", "204", "304", "200 HEAD"}) {
      const bool IsHead = std::string(Status).ends_with("HEAD");
      const bool IsInterim = Status[0] == '1';
      const std::string First =
          std::string("HTTP/1.1 ") + Status + "\r\n" + Framing + "\r\n";
      MessageParser Parser(MessageParser::Kind::Response, LargeLimits);
      Parser.expectNoBody(IsHead);
      BOOST_TEST_CONTEXT(First) {
        std::size_t Used = feedInPieces(Parser, First + Next, {});
        BOOST_TEST((Parser.state() == MessageParser::State::Complete));
        BOOST_TEST(Used == First.size() + (IsInterim ? Next.size() : 0));
        BOOST_TEST(Parser.m_body == (IsInterim ? "ok" : ""));
      }
    }
}

// A server in trouble sent the status 000; its clients got it as an answer.
BOOST_AUTO_TEST_CASE(a_status_has_three_digits_and_is_in_a_known_class) {
  auto StateOf = [](const std::string &StatusAndReason) {
    return stateOfResponse("HTTP/1.1 " + StatusAndReason + "\r\n" + ShortBody);
  };
  for (const std::string Status :
       {"000", "0", "5", "20", "099", "0200", "600", "999", "1000", " 200",
        "20x", "-20", "200OK", ""})
    for (const char *Reason : {"", " ", " OK"}) {
      BOOST_TEST_CONTEXT("status " << Status << Reason) {
        BOOST_TEST((StateOf(Status + Reason) == MessageParser::State::Failed));
      }
    }
  for (const std::string Status : {"200", "299", "404", "599"})
    for (const char *Reason : {"", " ", " OK", " \xc3\xa4"}) {
      BOOST_TEST_CONTEXT("status " << Status << Reason) {
        BOOST_TEST(
            (StateOf(Status + Reason) == MessageParser::State::Complete));
      }
    }
  // The status of an interim response counts, too.
  BOOST_TEST((stateOfResponse("HTTP/1.1 100 Continue\r\n\r\n"
                              "HTTP/1.1 000\r\n" +
                              ShortBody) == MessageParser::State::Failed));
}

// A server in trouble sent names with blanks. Its clients got these lines, or
// a body that was framed by them.
BOOST_AUTO_TEST_CASE(a_field_name_is_a_token) {
  const std::string ResponseHead = "HTTP/1.1 200 OK\r\n";
  const std::string RequestHead = "POST / HTTP/1.1\r\nHost: x\r\n";
  const std::string Chunked = "2\r\nok\r\n0\r\n";
  for (const std::string &Name : std::vector<std::string>{
           "X Bad", "X ", " X", "\tX", "X\t", "Content Length",
           "Content-Length ", "Transfer-Encoding ", "", "X\x01", "X\x7f",
           std::string("X\0Y", 3), "X(y)", "\xc3\xa4"})
    for (const char *Value : {"2", "chunked"}) {
      const std::string Line = Name + ": " + Value + "\r\n";
      BOOST_TEST_CONTEXT(Line) {
        // On the first line, a leading blank does not continue another one.
        BOOST_TEST((stateOfResponse(ResponseHead + Line + ShortBody) ==
                    MessageParser::State::Failed));
        BOOST_TEST((stateOfResponse(ResponseHead + Line + "\r\n" + Chunked +
                                    "\r\n") == MessageParser::State::Failed));
        BOOST_TEST((stateOfResponse("HTTP/1.1 100 Continue\r\n" + Line +
                                    "\r\n" + ResponseHead + ShortBody) ==
                    MessageParser::State::Failed));
        BOOST_TEST(
            (stateOfResponse(ResponseHead +
                             "Transfer-Encoding: chunked\r\n\r\n" + Chunked +
                             Line + "\r\n") == MessageParser::State::Failed));
        BOOST_TEST((stateAfter("POST / HTTP/1.1\r\n" + Line + ShortBody,
                               MessageParser::Kind::Request) ==
                    MessageParser::State::Failed));
      }
    }
  BOOST_TEST((stateOfResponse(ResponseHead + "x!#$%&'*+-.^_`|~9: a b\r\n" +
                              ShortBody) == MessageParser::State::Complete));
  BOOST_TEST((stateAfter(RequestHead + "X_a: b\r\n" + ShortBody,
                         MessageParser::Kind::Request) ==
              MessageParser::State::Complete));
}

// The bytes of a coding that this reader does not decode are not the body.
BOOST_AUTO_TEST_CASE(a_body_in_an_unknown_transfer_coding_is_refused) {
  const std::string Body = "\r\n2\r\nok\r\n0\r\n\r\n";
  for (const char *Coding :
       {"gzip", "gzip, chunked", "chunked, gzip", "identity",
        "chunked, chunked", "xchunked", "chunkedx", "chunked;a=b", "",
        "gzip\r\nTransfer-Encoding: chunked",
        "chunked\r\nTransfer-Encoding: chunked"}) {
    const std::string Lines =
        std::string("Transfer-Encoding: ") + Coding + "\r\n";
    BOOST_TEST_CONTEXT(Lines) {
      BOOST_TEST((stateOfResponse("HTTP/1.1 200 OK\r\n" + Lines + Body) ==
                  MessageParser::State::Failed));
      BOOST_TEST((stateAfter("POST / HTTP/1.1\r\n" + Lines + Body,
                             MessageParser::Kind::Request) ==
                  MessageParser::State::Failed));
    }
  }
  for (const char *Coding : {"chunked", "Chunked", "chunked ", "\tchunked"}) {
    MessageParser Parser(MessageParser::Kind::Response, LargeLimits);
    feedInPieces(Parser,
                 std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: ") +
                     Coding + "\r\n" + Body,
                 {});
    BOOST_TEST_CONTEXT(Coding) {
      BOOST_TEST((Parser.state() == MessageParser::State::Complete));
      BOOST_TEST(Parser.m_body == "ok");
    }
  }
}

BOOST_AUTO_TEST_CASE(a_message_of_another_major_version_is_refused) {
  for (const char *Version : {"HTTP/0.9", "HTTP/2.0", "HTTP/3.1", "HTTP/9.9"})
    BOOST_TEST_CONTEXT(Version) {
      BOOST_TEST((stateOfResponse(std::string(Version) + " 200 OK\r\n" +
                                  ShortBody) == MessageParser::State::Failed));
      BOOST_TEST(
          (stateAfter(std::string("POST / ") + Version + "\r\n" + ShortBody,
                      MessageParser::Kind::Request) ==
           MessageParser::State::Failed));
    }
  BOOST_TEST((stateOfResponse("HTTP/1.0 200 OK\r\n" + ShortBody) ==
              MessageParser::State::Complete));
}

// A byte in place of a line's end was dropped, and with it a part of the body
// or of a field.
BOOST_AUTO_TEST_CASE(a_line_that_does_not_end_as_it_should_is_refused) {
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string &Bytes : std::vector<std::string>{
           "HTTP/1.1 200 OK\rX" + ShortBody,
           Head + "Content-Length: 2\r\n\rXok",
           Head + "X: a\rb\r\n" + ShortBody,
           "HTTP/1.1 200 O\x01K\r\n" + ShortBody,
           std::string("HTTP/1.1 200 O\0K\r\n", 18) + ShortBody,
           Chunked + "2\r\nokay0\r\n\r\n", Chunked + "2\r\nok\n\n0\r\n\r\n",
           Chunked + "2\r\nok\r\r0\r\n\r\n", Chunked + "2\rXok\r\n0\r\n\r\n",
           Chunked + "2 garbage\r\nok\r\n0\r\n\r\n",
           Chunked + "2;a\nb\r\nok\r\n0\r\n\r\n",
           Chunked + "2;a=\x01\r\nok\r\n0\r\n\r\n",
           Chunked + "2\r\nok\r\n0\rX\r\n", Chunked + "2\r\nok\r\n0\r\n\rX",
           Chunked + "2\r\nok\r\n0\r\nX: a\x01\r\n\r\n"})
    for (const std::vector<std::uint8_t> &Sizes :
         std::vector<std::vector<std::uint8_t>>{{}, {255}}) {
      MessageParser Parser(MessageParser::Kind::Response, LargeLimits);
      feedInPieces(Parser, Bytes, Sizes);
      Parser.finish();
      BOOST_TEST_CONTEXT(Bytes) {
        BOOST_TEST((Parser.state() == MessageParser::State::Failed));
      }
    }
  for (const std::string &Bytes : std::vector<std::string>{
           "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
           "\r\nHTTP/1.1 200 OK\r\n" + ShortBody,
           Chunked + "02 \r\nok\r\n000;a=b\r\nX: a\r\n\r\n"}) {
    MessageParser Parser(MessageParser::Kind::Response, LargeLimits);
    feedInPieces(Parser, Bytes, {});
    BOOST_TEST_CONTEXT(Bytes) {
      BOOST_TEST((Parser.state() == MessageParser::State::Complete));
      BOOST_TEST(Parser.m_body == "ok");
    }
  }
}

BOOST_AUTO_TEST_CASE(a_folded_line_continues_the_value) {
  MessageParser Parser(MessageParser::Kind::Response, LargeLimits);
  feedInPieces(Parser, "HTTP/1.1 200 OK\r\nX-A: a\r\n b\r\n c\r\n" + ShortBody,
               {});
  BOOST_TEST((Parser.state() == MessageParser::State::Complete));
  BOOST_TEST(Parser.m_headers.at(0).m_value == "a b c");
  BOOST_TEST((stateOfResponse("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n 2"
                              "\r\n\r\nok") == MessageParser::State::Failed));
}

BOOST_AUTO_TEST_CASE(a_response_with_a_malformed_head_is_never_complete) {
  BOOST_TEST(rc::check([](const std::vector<std::uint8_t> &Sizes) {
    const std::string Bytes = arbitraryMalformedResponse();
    MessageParser Parser(MessageParser::Kind::Response, LargeLimits);
    Parser.expectNoBody(*rc::gen::arbitrary<bool>());
    feedInPieces(Parser, Bytes, Sizes);
    Parser.finish();
    RC_ASSERT(Parser.state() == MessageParser::State::Failed);
  }));
}
