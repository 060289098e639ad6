#include "message_parser.h"

#include "framing.h"

#include <strings.h>

#include <algorithm>

namespace burdockpulley::detail {

namespace {

/// What on_headers_complete returns to make http_parser expect no body.
constexpr int SkipBody = 1;
/// Limits the memory that a Content-Length alone can reserve.
constexpr std::size_t MaxReservedBodyBytes = 1 << 16;
/// Ratio by which the space for a body of a known length grows. Large blocks
/// are mapped, so the part that is not written yet is not resident.
constexpr std::size_t BodyGrowth = 16;
/// Bytes of a header field besides its name and value: separator and line end.
constexpr std::size_t HeaderOverheadBytes = 4;
/// Least size of a 1xx response.
constexpr std::size_t InterimResponseBytes = 16;

} // namespace

MessageParser::MessageParser(Kind MessageKind, Limits SizeLimits)
    : m_kind(MessageKind), m_limits(SizeLimits),
      m_syntax(MessageKind == Kind::Response) {
  reset();
}

MessageParser &MessageParser::self(http_parser *Parser) {
  return *static_cast<MessageParser *>(Parser->data);
}

const http_parser_settings &MessageParser::callbacks() {
  static const http_parser_settings Settings = [] {
    http_parser_settings Callbacks;
    http_parser_settings_init(&Callbacks);
    Callbacks.on_message_begin = [](http_parser *Parser) {
      self(Parser).m_begun = true;
      return 0;
    };
    Callbacks.on_url = [](http_parser *Parser, const char *Bytes,
                          std::size_t Size) {
      MessageParser &Self = self(Parser);
      Self.m_target.append(Bytes, Size);
      return Self.countHeaderBytes(Size) ? 0 : Self.fail(Fault::HeaderTooLarge);
    };
    Callbacks.on_header_field = [](http_parser *Parser, const char *Bytes,
                                   std::size_t Size) {
      return self(Parser).onField(Bytes, Size);
    };
    Callbacks.on_header_value = [](http_parser *Parser, const char *Bytes,
                                   std::size_t Size) {
      return self(Parser).onValue(Bytes, Size);
    };
    Callbacks.on_headers_complete = [](http_parser *Parser) {
      return self(Parser).onHeadersComplete();
    };
    Callbacks.on_chunk_header = [](http_parser *Parser) {
      return self(Parser).onChunkHeader();
    };
    Callbacks.on_body = [](http_parser *Parser, const char *Bytes,
                           std::size_t Size) {
      return self(Parser).onBody(Bytes, Size);
    };
    Callbacks.on_message_complete = [](http_parser *Parser) {
      return self(Parser).onComplete();
    };
    return Callbacks;
  }();
  return Settings;
}

void MessageParser::reset() {
  http_parser_init(&m_parser,
                   m_kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser.data = this;
  m_state = State::Reading;
  m_fault = Fault::None;
  m_problem = "";
  m_syntax.reset();
  m_headerBytesRead = 0;
  m_announcedBytes = 0;
  m_valueBegun = true;
  m_begun = m_headersComplete = m_keepAlive = m_expectsContinue = false;
  m_method.clear();
  m_target.clear();
  m_status = 0;
  m_headers.clear();
  m_body.clear();
}

std::size_t MessageParser::feed(const char *Bytes, std::size_t Size) {
  std::size_t ConsumedBytes = 0;
  while (m_state == State::Reading && ConsumedBytes < Size) {
    const char *Part = Bytes + ConsumedBytes;
    std::size_t PartSize = m_syntax.check({Part, Size - ConsumedBytes});
    if (PartSize == 0) {
      failMalformed(m_syntax.problem());
      break;
    }
    ConsumedBytes +=
        http_parser_execute(&m_parser, &callbacks(), Part, PartSize);
    auto Error = HTTP_PARSER_ERRNO(&m_parser);
    if (m_state != State::Reading || Error == HPE_OK)
      continue;
    if (Error == HPE_HEADER_OVERFLOW)
      fail(Fault::HeaderTooLarge);
    else
      failMalformed("malformed");
  }
  return ConsumedBytes;
}

void MessageParser::finish() {
  if (m_state != State::Reading)
    return;
  http_parser_execute(&m_parser, &callbacks(), nullptr, 0);
  if (m_state != State::Complete)
    failMalformed("incomplete");
}

bool MessageParser::countHeaderBytes(std::size_t Size) {
  m_headerBytesRead += Size;
  return m_headerBytesRead <= m_limits.m_headerBytes;
}

int MessageParser::fail(Fault Reason) {
  m_state = State::Failed;
  if (m_fault != Fault::None)
    return -1;
  m_fault = Reason;
  if (Reason == Fault::HeaderTooLarge)
    m_problem = "header-too-large";
  if (Reason == Fault::BodyTooLarge)
    m_problem = "body-too-large";
  return -1;
}

int MessageParser::failMalformed(const char *Problem) {
  if (m_fault == Fault::None)
    m_problem = Problem;
  return fail(Fault::Malformed);
}

int MessageParser::onField(const char *Bytes, std::size_t Size) {
  if (!std::all_of(Bytes, Bytes + Size, isTokenByte))
    return failMalformed("malformed-field-name");
  if (m_headersComplete)
    return 0; // Trailers are dropped.
  if (m_valueBegun) {
    if (m_headers.size() >= m_limits.m_headerFields)
      return fail(Fault::HeaderTooLarge);
    m_headers.emplace_back();
    m_valueBegun = false;
    countHeaderBytes(HeaderOverheadBytes);
  }
  m_headers.back().m_name.append(Bytes, Size);
  return countHeaderBytes(Size) ? 0 : fail(Fault::HeaderTooLarge);
}

int MessageParser::onValue(const char *Bytes, std::size_t Size) {
  if (m_headersComplete)
    return 0;
  m_valueBegun = true;
  m_headers.back().m_value.append(Bytes, Size);
  return countHeaderBytes(Size) ? 0 : fail(Fault::HeaderTooLarge);
}

int MessageParser::onHeadersComplete() {
  m_headersComplete = true;
  m_status = m_parser.status_code;
  // Protocol upgrades are not supported; the message is read like any other.
  m_parser.upgrade = 0;
  if (m_parser.http_major != 1)
    return failMalformed("unsupported-version");
  if (m_kind == Kind::Request) {
    m_method = http_method_str(static_cast<http_method>(m_parser.method));
    if (m_parser.method == HTTP_CONNECT)
      return failMalformed("malformed");
    for (const HttpHeader &Header : m_headers)
      if (strcasecmp(Header.m_name.c_str(), "Expect") == 0)
        m_expectsContinue =
            strcasecmp(Header.m_value.c_str(), "100-continue") == 0;
  }
  if (m_kind == Kind::Response && endsWithHead(m_status, m_noBody))
    return SkipBody;
  if (!hasKnownCoding())
    return failMalformed("unsupported-transfer-coding");
  m_syntax.beginBody((m_parser.flags & F_CHUNKED) != 0);
  constexpr std::uint64_t UnknownLength = ~std::uint64_t(0);
  if (m_parser.content_length != UnknownLength) {
    if (m_parser.content_length > m_limits.m_bodyBytes)
      return fail(Fault::BodyTooLarge);
    m_announcedBytes = m_parser.content_length;
    m_body.reserve(std::min(m_announcedBytes, MaxReservedBodyBytes));
  }
  return 0;
}

bool MessageParser::hasKnownCoding() const {
  bool Found = false;
  for (const HttpHeader &Header : m_headers) {
    if (strcasecmp(Header.m_name.c_str(), "Transfer-Encoding") != 0)
      continue;
    // http_parser removes the blanks before a value.
    std::string Coding =
        Header.m_value.substr(0, Header.m_value.find_last_not_of(" \t") + 1);
    if (Found || strcasecmp(Coding.c_str(), "chunked") != 0)
      return false;
    Found = true;
  }
  return true;
}

int MessageParser::onChunkHeader() {
  m_syntax.beginChunk(m_parser.content_length);
  return 0;
}

int MessageParser::onBody(const char *Bytes, std::size_t Size) {
  if (m_body.size() + Size > m_limits.m_bodyBytes)
    return fail(Fault::BodyTooLarge);
  reserveBody(Size);
  m_body.append(Bytes, Size);
  return 0;
}

void MessageParser::reserveBody(std::size_t Size) {
  std::size_t Needed = m_body.size() + Size;
  if (Needed > m_body.capacity() && Needed <= m_announcedBytes)
    m_body.reserve(std::min(m_announcedBytes, Needed * BodyGrowth));
}

void MessageParser::discard() {
  // Assigning an empty string would keep the allocation.
  std::string().swap(m_method);
  std::string().swap(m_target);
  std::string().swap(m_body);
  std::vector<HttpHeader>().swap(m_headers);
  m_headerBytesRead = 0;
}

int MessageParser::onComplete() {
  m_syntax.reset();
  m_keepAlive = http_should_keep_alive(&m_parser) != 0;
  if (m_kind == Kind::Response && isInterim(m_status)) {
    m_headers.clear();
    m_headersComplete = false;
    m_valueBegun = true;
    return countHeaderBytes(InterimResponseBytes) ? 0
                                                  : fail(Fault::HeaderTooLarge);
  }
  m_state = State::Complete;
  http_parser_pause(&m_parser, 1);
  return 0;
}

} // namespace burdockpulley::detail
