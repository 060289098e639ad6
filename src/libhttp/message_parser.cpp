#include "message_parser.h"

#include <strings.h>

#include <algorithm>

namespace burdockpulley::detail {

namespace {

constexpr int SkipBody = 1;
constexpr std::size_t MaxReservedBody = 1 << 16;
/// What the parser counts beside names and values: separators and line ends.
constexpr std::size_t HeaderOverhead = 4;

bool isInterim(int Status) { return Status >= 100 && Status < 200; }

} // namespace

MessageParser::MessageParser(Kind Which, Limits Allowed)
    : m_kind(Which), m_limits(Allowed) {
  reset();
}

MessageParser &MessageParser::self(http_parser *Parser) {
  return *static_cast<MessageParser *>(Parser->data);
}

const http_parser_settings &MessageParser::callbacks() {
  static const http_parser_settings Settings = [] {
    http_parser_settings Made;
    http_parser_settings_init(&Made);
    Made.on_message_begin = [](http_parser *Parser) {
      self(Parser).m_begun = true;
      return 0;
    };
    Made.on_url = [](http_parser *Parser, const char *Bytes, std::size_t Size) {
      MessageParser &Self = self(Parser);
      Self.m_target.append(Bytes, Size);
      return Self.countHeader(Size) ? 0 : Self.fail(Fault::HeaderTooLarge);
    };
    Made.on_header_field = [](http_parser *Parser, const char *Bytes,
                              std::size_t Size) {
      return self(Parser).onField(Bytes, Size);
    };
    Made.on_header_value = [](http_parser *Parser, const char *Bytes,
                              std::size_t Size) {
      return self(Parser).onValue(Bytes, Size);
    };
    Made.on_headers_complete = [](http_parser *Parser) {
      return self(Parser).onHeadersComplete();
    };
    Made.on_body = [](http_parser *Parser, const char *Bytes,
                      std::size_t Size) {
      return self(Parser).onBody(Bytes, Size);
    };
    Made.on_message_complete = [](http_parser *Parser) {
      return self(Parser).onComplete();
    };
    return Made;
  }();
  return Settings;
}

void MessageParser::reset() {
  http_parser_init(&m_parser,
                   m_kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser.data = this;
  m_state = State::Reading;
  m_fault = Fault::None;
  m_headerSize = 0;
  m_valueBegun = true;
  m_begun = m_headersComplete = m_keepAlive = m_expectsContinue = false;
  m_method.clear();
  m_target.clear();
  m_status = 0;
  m_headers.clear();
  m_body.clear();
}

std::size_t MessageParser::feed(const char *Bytes, std::size_t Size) {
  std::size_t Used = http_parser_execute(&m_parser, &callbacks(), Bytes, Size);
  if (m_state == State::Complete || m_state == State::Failed)
    return Used;
  if (HTTP_PARSER_ERRNO(&m_parser) != HPE_OK)
    fail(HTTP_PARSER_ERRNO(&m_parser) == HPE_HEADER_OVERFLOW
             ? Fault::HeaderTooLarge
             : Fault::Malformed);
  return Used;
}

void MessageParser::finish() {
  if (m_state != State::Reading)
    return;
  http_parser_execute(&m_parser, &callbacks(), nullptr, 0);
  if (m_state != State::Complete)
    fail(Fault::Malformed);
}

bool MessageParser::countHeader(std::size_t Size) {
  m_headerSize += Size;
  return m_headerSize <= m_limits.m_headerBytes;
}

int MessageParser::fail(Fault Why) {
  m_state = State::Failed;
  if (m_fault == Fault::None)
    m_fault = Why;
  return -1;
}

int MessageParser::onField(const char *Bytes, std::size_t Size) {
  if (m_headersComplete)
    return 0; // Trailers are dropped.
  if (m_valueBegun) {
    m_headers.emplace_back();
    m_valueBegun = false;
    countHeader(HeaderOverhead);
  }
  m_headers.back().m_name.append(Bytes, Size);
  return countHeader(Size) ? 0 : fail(Fault::HeaderTooLarge);
}

int MessageParser::onValue(const char *Bytes, std::size_t Size) {
  if (m_headersComplete)
    return 0;
  m_valueBegun = true;
  m_headers.back().m_value.append(Bytes, Size);
  return countHeader(Size) ? 0 : fail(Fault::HeaderTooLarge);
}

int MessageParser::onHeadersComplete() {
  m_headersComplete = true;
  m_status = m_parser.status_code;
  // An upgrade is not offered; the message is read as any other.
  m_parser.upgrade = 0;
  if (m_kind == Kind::Request) {
    m_method = http_method_str(static_cast<http_method>(m_parser.method));
    if (m_parser.method == HTTP_CONNECT)
      return fail(Fault::Malformed);
    for (const HttpHeader &Header : m_headers)
      if (strcasecmp(Header.m_name.c_str(), "Expect") == 0)
        m_expectsContinue =
            strcasecmp(Header.m_value.c_str(), "100-continue") == 0;
  }
  constexpr std::uint64_t UnknownLength = ~std::uint64_t(0);
  if (m_parser.content_length != UnknownLength) {
    if (m_parser.content_length > m_limits.m_bodyBytes)
      return fail(Fault::BodyTooLarge);
    m_body.reserve(
        std::min<std::uint64_t>(m_parser.content_length, MaxReservedBody));
  }
  return m_noBody && !isInterim(m_status) ? SkipBody : 0;
}

int MessageParser::onBody(const char *Bytes, std::size_t Size) {
  if (m_body.size() + Size > m_limits.m_bodyBytes)
    return fail(Fault::BodyTooLarge);
  m_body.append(Bytes, Size);
  return 0;
}

int MessageParser::onComplete() {
  m_keepAlive = http_should_keep_alive(&m_parser) != 0;
  if (m_kind == Kind::Response && isInterim(m_status)) {
    m_headers.clear();
    m_headersComplete = false;
    m_valueBegun = true;
    m_headerSize = 0;
    return 0;
  }
  m_state = State::Complete;
  http_parser_pause(&m_parser, 1);
  return 0;
}

} // namespace burdockpulley::detail
