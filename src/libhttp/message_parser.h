#ifndef BURDOCKPULLEY_LIBHTTP_MESSAGE_PARSER_H
#define BURDOCKPULLEY_LIBHTTP_MESSAGE_PARSER_H

#include "burdockpulley/http.h"
#include "burdockpulley/memory_budget.h"
#include "message_syntax.h"

#include <http_parser.h>

namespace burdockpulley::detail {

/// Parses HTTP/1.1 messages one at a time from a byte stream.
///
/// Parsing stops at the end of each message; the bytes of the next one are left
/// to the caller. Ambiguous framing, a transfer coding other than chunked, and
/// what MessageSyntax finds malformed are errors. 1xx responses are skipped,
/// but count towards the limit of the header's size, and trailers are dropped.
/// The lines of a folded value are joined.
/// Thread safety: none.
class MessageParser {
public:
  enum class Kind { Request, Response };
  enum class State { Reading, Complete, Failed };
  enum class Fault { None, Malformed, HeaderTooLarge, BodyTooLarge };

  struct Limits {
    std::size_t m_headerBytes;
    std::size_t m_bodyBytes;
    std::size_t m_headerFields = 512;
  };

  MessageParser(Kind MessageKind, Limits SizeLimits);

  /// Parses bytes. Returns how many of them belong to the current message.
  /// Precondition: the state is Reading.
  std::size_t feed(const char *Bytes, std::size_t Size);

  /// Handles the end of the stream. If the state is Reading, it becomes
  /// Complete for a response that is delimited by the end of its connection,
  /// and Failed for any other message.
  void finish();

  /// Prepares for the next message.
  void reset();

  /// Sets whether the responses from now on have no body, whatever their
  /// headers say, as is the case for those to HEAD. reset() does not change it.
  void expectNoBody(bool Expected) { m_noBody = Expected; }

  void setLimits(Limits SizeLimits) { m_limits = SizeLimits; }
  /// Limits the fields of the present message, too.
  void limitHeaderFields(std::size_t Count) { m_limits.m_headerFields = Count; }

  /// Releases what is kept of a message that is given up. The state does not
  /// change.
  void discard();

  /// Returns the bytes that the header section and the body take.
  std::size_t headerMemory() const {
    return m_headerBytesRead + m_headers.capacity() * sizeof(HttpHeader);
  }
  std::size_t bodyMemory() const { return residentBytes(m_body); }

  /// Returns how much of the body is still to come, or as much as there is if
  /// its length is not known.
  std::size_t missingBytes() const {
    return m_announcedBytes > m_body.size() ? m_announcedBytes - m_body.size()
                                            : m_body.size();
  }

  State state() const { return m_state; }
  Fault fault() const { return m_fault; }
  /// Returns what is wrong with a message that has failed, for logs.
  const char *problem() const { return m_problem; }
  /// Returns true from the first byte of a message until reset().
  bool begun() const { return m_begun; }
  bool headersComplete() const { return m_headersComplete; }
  /// Returns true if another message may follow on the connection.
  bool keepAlive() const { return m_keepAlive; }
  bool expectsContinue() const { return m_expectsContinue; }

  // Parts of the message; complete once the state is Complete.
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
  int onChunkHeader();
  bool countHeaderBytes(std::size_t Size);
  /// Returns true if the body, if any, is chunked at most.
  bool hasKnownCoding() const;
  int fail(Fault Reason);
  int failMalformed(const char *Problem);

  /// Makes room for \p Size more bytes of a body whose length is known.
  void reserveBody(std::size_t Size);

  Kind m_kind;
  Limits m_limits;
  std::size_t m_announcedBytes = 0; ///< Of the body; 0 if not known.
  http_parser m_parser;
  MessageSyntax m_syntax;
  State m_state = State::Reading;
  const char *m_problem = "";
  Fault m_fault = Fault::None;
  std::size_t m_headerBytesRead = 0;
  bool m_valueBegun = true;
  bool m_begun = false;
  bool m_headersComplete = false;
  bool m_keepAlive = false;
  bool m_noBody = false;
  bool m_expectsContinue = false;
};

} // namespace burdockpulley::detail

#endif
