#include "message_syntax.h"

#include <algorithm>

namespace burdockpulley::detail {

namespace {

/// Holds the version and status of a response, and the size of a chunk with
/// many leading zeros.
constexpr std::size_t LineStartBytes = 32;

bool isDigit(char Byte) { return Byte >= '0' && Byte <= '9'; }

bool isHexDigit(char Byte) {
  return isDigit(Byte) || (Byte >= 'a' && Byte <= 'f') ||
         (Byte >= 'A' && Byte <= 'F');
}

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

/// Returns true if nothing but blanks is between the size and an extension.
bool isChunkSizeLine(std::string_view Line) {
  auto SizeEnd = std::find_if_not(Line.begin(), Line.end(), isHexDigit);
  auto Next = std::find_if_not(SizeEnd, Line.end(), [](char Byte) {
    return Byte == ' ' || Byte == '\t';
  });
  return SizeEnd != Line.begin() && (Next == Line.end() || *Next == ';');
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
  switch (m_section) {
  case Section::Body:
    return Bytes.size();
  case Section::ChunkData: {
    auto Size = static_cast<std::size_t>(
        std::min<std::uint64_t>(Bytes.size(), m_chunkBytesLeft));
    m_chunkBytesLeft -= Size;
    if (m_chunkBytesLeft == 0)
      m_section = Section::ChunkEnd;
    return Size;
  }
  case Section::ChunkEnd:
    return checkChunkEnd(Bytes.front());
  case Section::StartLine:
  case Section::Fields:
  case Section::ChunkSize:
  case Section::Trailers:
    break;
  }
  return checkLine(Bytes);
}

std::size_t MessageSyntax::checkLine(std::string_view Bytes) {
  bool KeepsStart =
      m_section == Section::StartLine || m_section == Section::ChunkSize;
  std::size_t Size = 0;
  for (char Byte : Bytes) {
    ++Size;
    if (Byte == '\n') {
      checkLineEnd();
      break;
    }
    if (m_afterCarriageReturn)
      m_problem = "malformed-line-end";
    m_afterCarriageReturn = Byte == '\r';
    if (m_afterCarriageReturn)
      continue;
    if (!isValueByte(Byte))
      m_problem = "control-byte";
    if (KeepsStart && m_lineStart.size() < LineStartBytes)
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
  if (m_section == Section::ChunkSize && !isChunkSizeLine(m_lineStart))
    m_problem = "malformed-chunk";
  // In a head, a line feed alone ends a line, too.
  bool InBody =
      m_section == Section::ChunkSize || m_section == Section::Trailers;
  if (InBody && !m_afterCarriageReturn)
    m_problem = "malformed-line-end";
  m_afterCarriageReturn = false;
  m_lineStart.clear();
}

std::size_t MessageSyntax::checkChunkEnd(char Byte) {
  if (Byte != (m_afterCarriageReturn ? '\n' : '\r')) {
    m_problem = "malformed-chunk";
    return 0;
  }
  m_afterCarriageReturn = !m_afterCarriageReturn;
  if (!m_afterCarriageReturn)
    m_section = Section::ChunkSize;
  return 1;
}

void MessageSyntax::reset() {
  m_section = Section::StartLine;
  m_lineStart.clear();
  m_afterCarriageReturn = false;
  m_problem = "";
}

void MessageSyntax::beginBody(bool Chunked) {
  m_section = Chunked ? Section::ChunkSize : Section::Body;
}

void MessageSyntax::beginChunk(std::uint64_t Size) {
  m_chunkBytesLeft = Size;
  m_section = Size > 0 ? Section::ChunkData : Section::Trailers;
}

} // namespace burdockpulley::detail
