#include "message_syntax.h"

#include <algorithm>

namespace burdockpulley::detail {

namespace {

/// Holds the version and status of a response.
constexpr std::size_t LineStartBytes = 16;

bool isDigit(char Byte) { return Byte >= '0' && Byte <= '9'; }

/// Returns true if the status has three digits and is in one of the classes
/// that HTTP defines. http_parser checks the version.
bool isStatusLine(std::string_view Line) {
  constexpr std::size_t VersionSize = std::string_view("HTTP/1.1").size();
  constexpr std::size_t StatusEnd = VersionSize + 4;
  if (Line.size() < StatusEnd || Line[VersionSize] != ' ')
    return false;
  std::string_view Status = Line.substr(VersionSize + 1, 3);
  return std::all_of(Status.begin(), Status.end(), isDigit) &&
         Status[0] >= '1' && Status[0] <= '5' &&
         (Line.size() == StatusEnd || Line[StatusEnd] == ' ');
}

} // namespace

bool isTokenByte(char Byte) {
  constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~";
  bool Letter = (Byte >= 'a' && Byte <= 'z') || (Byte >= 'A' && Byte <= 'Z');
  return Letter || isDigit(Byte) || Punctuation.find(Byte) != Punctuation.npos;
}

bool isValueByte(char Byte) {
  auto Code = static_cast<unsigned char>(Byte);
  return Byte == '\t' || (Code >= 0x20 && Code != 0x7f);
}

std::size_t MessageSyntax::check(std::string_view Bytes) {
  return m_section == Section::Body ? Bytes.size() : checkLine(Bytes);
}

std::size_t MessageSyntax::checkLine(std::string_view Bytes) {
  std::size_t Size = 0;
  for (char Byte : Bytes) {
    ++Size;
    if (Byte == '\n') {
      checkLineEnd();
      break;
    }
    if (Byte != '\r' && m_section == Section::StartLine &&
        m_lineStart.size() < LineStartBytes)
      m_lineStart += Byte;
  }
  return failed() ? 0 : Size;
}

void MessageSyntax::checkLineEnd() {
  if (m_section == Section::StartLine && !m_lineStart.empty()) {
    // Empty lines before a message are skipped.
    m_section = Section::Fields;
    if (m_isResponse && !isStatusLine(m_lineStart))
      m_problem = "malformed-status";
  }
  m_lineStart.clear();
}

void MessageSyntax::reset() {
  m_section = Section::StartLine;
  m_lineStart.clear();
  m_problem = "";
}

void MessageSyntax::beginBody() { m_section = Section::Body; }

} // namespace burdockpulley::detail
