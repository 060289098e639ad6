#ifndef BURDOCKPULLEY_LIBHTTP_MESSAGE_SYNTAX_H
#define BURDOCKPULLEY_LIBHTTP_MESSAGE_SYNTAX_H

#include <cstddef>
#include <string>
#include <string_view>

namespace burdockpulley::detail {

/// Returns true if a byte may be part of the name of a field.
bool isTokenByte(char Byte);

/// Returns true if a byte may be part of the value of a field, or of a reason
/// phrase.
bool isValueByte(char Byte);

/// Checks what http_parser takes on trust: status codes.
///
/// It splits a message into parts that do not cross the end of a line of the
/// head, so that the parser has reported each of them when the next one is
/// checked.
/// Thread safety: none.
class MessageSyntax {
public:
  explicit MessageSyntax(bool IsResponse) : m_isResponse(IsResponse) {}

  /// Checks the next part of a message. Returns its size, or 0 if it is
  /// malformed; problem() then tells why. Precondition: \p Bytes is not empty.
  std::size_t check(std::string_view Bytes);

  /// Prepares for the next message.
  void reset();
  /// Call it at the end of a head that a body follows.
  void beginBody();

  /// Returns what is malformed, for logs; empty if nothing is.
  const char *problem() const { return m_problem; }

private:
  enum class Section {
    StartLine,
    Fields,
    Body,
  };

  std::size_t checkLine(std::string_view Bytes);
  void checkLineEnd();
  bool failed() const { return *m_problem != '\0'; }

  bool m_isResponse;
  Section m_section = Section::StartLine;
  /// The first bytes of the present start line.
  std::string m_lineStart;
  const char *m_problem = "";
};

} // namespace burdockpulley::detail

#endif
