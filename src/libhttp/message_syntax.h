#ifndef BURDOCKPULLEY_LIBHTTP_MESSAGE_SYNTAX_H
#define BURDOCKPULLEY_LIBHTTP_MESSAGE_SYNTAX_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace burdockpulley::detail {

/// Returns true if a byte may be part of the name of a field.
bool isTokenByte(char Byte);

/// Returns true if a byte may be part of the value of a field, or of a reason
/// phrase.
bool isValueByte(char Byte);

/// Checks what http_parser, as Debian packages it, takes on trust: status
/// codes, line ends and the framing of chunks.
///
/// It splits a message into parts that do not cross the end of a line or of a
/// chunk, so that the parser has reported each of them when the next one is
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
  void beginBody(bool Chunked);
  /// Call it when the size of a chunk has been read; 0 for the last chunk.
  void beginChunk(std::uint64_t Size);

  /// Returns what is malformed, for logs; empty if nothing is.
  const char *problem() const { return m_problem; }

private:
  enum class Section {
    StartLine,
    Fields,
    Body, ///< Of a length, or until the end of the connection.
    ChunkSize,
    ChunkData,
    ChunkEnd,
    Trailers,
  };

  std::size_t checkLine(std::string_view Bytes);
  void checkLineEnd();
  std::size_t checkChunkEnd(char Byte);
  bool failed() const { return *m_problem != '\0'; }

  bool m_isResponse;
  Section m_section = Section::StartLine;
  /// The first bytes of the present start line or size of a chunk.
  std::string m_lineStart;
  bool m_afterCarriageReturn = false;
  std::uint64_t m_chunkBytesLeft = 0;
  const char *m_problem = "";
};

} // namespace burdockpulley::detail

#endif
