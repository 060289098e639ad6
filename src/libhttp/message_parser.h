#ifndef BURDOCKPULLEY_LIBHTTP_MESSAGE_PARSER_H
#define BURDOCKPULLEY_LIBHTTP_MESSAGE_PARSER_H

#include "burdockpulley/http.h"

#include <http_parser.h>

namespace burdockpulley::detail {

/// Reads HTTP/1.1 messages one at a time from a byte stream.
///
/// It stops right behind each message, so that the bytes of the next one stay
/// with the caller. Ambiguous framing is an error.
/// Thread safety: none.
class MessageParser {
public:
  enum class Kind { Request, Response };
  enum class State { Reading, Complete, Failed };
  enum class Fault { None, Malformed, HeaderTooLarge, BodyTooLarge };

  struct Limits {
    std::size_t m_headerBytes;
    std::size_t m_bodyBytes;
  };

  MessageParser(Kind Which, Limits Allowed);

  /// Takes bytes and returns how many belong to the current message.
  /// Precondition: the state is Reading.
  std::size_t feed(const char *Bytes, std::size_t Size);

  /// The stream has ended. A response that is delimited by the end of its
  /// connection becomes Complete.
  void finish();

  /// Begins the next message.
  void reset();

  /// The next response has no body, whatever its headers say.
  void expectNoBody() { m_noBody = true; }

  void setLimits(Limits Allowed) { m_limits = Allowed; }

  State state() const { return m_state; }
  Fault fault() const { return m_fault; }
  /// True from the first byte of a message on.
  bool begun() const { return m_begun; }
  bool headersComplete() const { return m_headersComplete; }
  /// True when another message may follow on the connection.
  bool keepAlive() const { return m_keepAlive; }
  bool expectsContinue() const { return m_expectsContinue; }

  // What was read; whole once the state is Complete.
  std::string m_method;
  std::string m_target;
  int m_status = 0;
  std::vector<HttpHeader> m_headers;
  std::string m_body;

private:
  static const http_parser_settings &callbacks();
  static MessageParser &self(http_parser *Parser);
  int onField(const char *Bytes, std::size_t Size);
  int onValue(const char *Bytes, std::size_t Size);
  int onHeadersComplete();
  int onBody(const char *Bytes, std::size_t Size);
  int onComplete();
  bool countHeader(std::size_t Size);
  int fail(Fault Why);

  Kind m_kind;
  Limits m_limits;
  http_parser m_parser;
  State m_state = State::Reading;
  Fault m_fault = Fault::None;
  std::size_t m_headerSize = 0;
  bool m_valueBegun = true;
  bool m_begun = false;
  bool m_headersComplete = false;
  bool m_keepAlive = false;
  bool m_noBody = false;
  bool m_expectsContinue = false;
};

} // namespace burdockpulley::detail

#endif
