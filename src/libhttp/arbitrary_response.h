#ifndef BURDOCKPULLEY_LIBHTTP_ARBITRARY_RESPONSE_H
#define BURDOCKPULLEY_LIBHTTP_ARBITRARY_RESPONSE_H

#include <rapidcheck.h>

#include <cstdio>
#include <ostream>
#include <string>
#include <vector>

namespace burdockpulley {

/// A valid response in the bytes of HTTP/1.1, and what a client must read.
struct ArbitraryResponse {
  std::string m_method; ///< Method of the request.
  int m_status = 0;
  std::string m_body;
  std::string m_bytes;       ///< Interim responses included.
  std::size_t m_headEnd = 0; ///< Offset of the end of the final head.
  bool m_endsWithConnection = false;

  /// Returns true if the response is complete when its connection ends in order
  /// after \p Size bytes of it.
  bool completeAt(std::size_t Size) const {
    return Size == m_bytes.size() ||
           (m_endsWithConnection && Size >= m_headEnd);
  }
  /// Returns the body that a client has then read.
  std::string bodyAt(std::size_t Size) const {
    return m_endsWithConnection ? m_bytes.substr(m_headEnd, Size - m_headEnd)
                                : m_body;
  }
};

inline void showValue(const ArbitraryResponse &Response, std::ostream &Stream) {
  Stream << Response.m_method << " -> ";
  rc::show(Response.m_bytes, Stream);
}

/// What arbitraryResponse() may generate.
struct ResponseShapes {
  /// Added to each final head; whole lines.
  std::string m_headerLines;
  /// Whether a response may end with its connection.
  bool m_endWithConnection = true;
};

namespace detail {

inline std::string arbitraryHeaderLines() {
  static const std::vector<std::string> Lines = {
      "X-Empty:\r\n", "Server: a/1.0 (b)\r\n", "X-List: a,  b\r\n",
      "Keep-Alive: timeout=5\r\n"};
  std::string Chosen;
  for (std::size_t Count = *rc::gen::inRange(0, 3); Count > 0; --Count)
    Chosen += *rc::gen::elementOf(Lines);
  return Chosen;
}

inline std::string chunked(const std::string &Body) {
  std::string Bytes;
  for (std::size_t Position = 0; Position < Body.size();) {
    std::size_t Size =
        *rc::gen::inRange<std::size_t>(1, Body.size() - Position + 1);
    char Length[20];
    snprintf(Length, sizeof(Length), "%zx", Size);
    Bytes += Length;
    Bytes += *rc::gen::element<std::string>("", ";a=b");
    Bytes += "\r\n" + Body.substr(Position, Size) + "\r\n";
    Position += Size;
  }
  return Bytes + "0\r\n" + *rc::gen::element<std::string>("", "X-Sum: 1\r\n") +
         "\r\n";
}

} // namespace detail

/// Generates a response. Precondition: called within a property of RapidCheck.
inline ArbitraryResponse arbitraryResponse(const ResponseShapes &Shapes = {}) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  enum class Framing { Length, Chunked, Connection };
  ArbitraryResponse Response;
  Response.m_method = *rc::gen::element<std::string>("GET", "POST", "HEAD");
  Response.m_status =
      *rc::gen::element(200, 201, NoContent, NotModified, 404, 500, 503);
  auto Frame =
      *rc::gen::element(Framing::Length, Framing::Chunked, Framing::Connection);
  if (!Shapes.m_endWithConnection && Frame == Framing::Connection)
    Frame = Framing::Length;
  Response.m_body = *rc::gen::container<std::string>(
      rc::gen::element('a', 'H', '\r', '\n', '0', ':', ' '));
  bool HasBody = Response.m_method != "HEAD" &&
                 Response.m_status != NoContent &&
                 Response.m_status != NotModified;
  for (int Count = *rc::gen::inRange(0, 3); Count > 0; --Count)
    Response.m_bytes += *rc::gen::element<std::string>(
                            "HTTP/1.1 100 Continue\r\n",
                            "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n") +
                        "\r\n";
  Response.m_bytes += "HTTP/1.1 " + std::to_string(Response.m_status) +
                      *rc::gen::element<std::string>(" OK", " No Such Thing") +
                      "\r\n" + Shapes.m_headerLines +
                      detail::arbitraryHeaderLines();
  // A 204 must have neither; with HEAD and 304 they describe a body that is not
  // sent.
  if (Frame == Framing::Length && Response.m_status != NoContent)
    Response.m_bytes +=
        "Content-Length: " + std::to_string(Response.m_body.size()) + "\r\n";
  if (Frame == Framing::Chunked && Response.m_status != NoContent)
    Response.m_bytes += "Transfer-Encoding: chunked\r\n";
  Response.m_bytes += detail::arbitraryHeaderLines() + "\r\n";
  Response.m_headEnd = Response.m_bytes.size();
  Response.m_endsWithConnection = HasBody && Frame == Framing::Connection;
  if (!HasBody)
    Response.m_body.clear();
  else
    Response.m_bytes += Frame == Framing::Chunked
                            ? detail::chunked(Response.m_body)
                            : Response.m_body;
  return Response;
}

/// Generates how many bytes of a response are sent; often all of them, or those
/// of the head. Precondition: called within a property of RapidCheck.
inline std::size_t arbitraryCut(const ArbitraryResponse &Response) {
  std::size_t Size = Response.m_bytes.size();
  return *rc::gen::weightedOneOf<std::size_t>(
      {{8, rc::gen::inRange<std::size_t>(0, Size + 1)},
       {1, rc::gen::just(Size)},
       {1, rc::gen::just(Response.m_headEnd)}});
}

} // namespace burdockpulley

#endif
