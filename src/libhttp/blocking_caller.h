#ifndef BURDOCKPULLEY_LIBHTTP_BLOCKING_CALLER_H
#define BURDOCKPULLEY_LIBHTTP_BLOCKING_CALLER_H

#include <boost/test/unit_test.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <vector>

namespace burdockpulley {

/// A caller whose bytes lie in the kernel until the event loop runs.
class BlockingCaller {
public:
  explicit BlockingCaller(std::uint16_t Port)
      : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(connect(m_socket, reinterpret_cast<sockaddr *>(&Address),
                          sizeof(Address)) == 0);
  }
  ~BlockingCaller() {
    if (m_socket >= 0)
      close(m_socket);
  }
  BlockingCaller(const BlockingCaller &) = delete;
  BlockingCaller &operator=(const BlockingCaller &) = delete;

  void send(const std::string &Bytes) const {
    BOOST_REQUIRE(write(m_socket, Bytes.data(), Bytes.size()) ==
                  static_cast<ssize_t>(Bytes.size()));
  }
  /// True once a response with this text has arrived; fails the test if the
  /// connection has ended before.
  bool received(const char *Text) {
    char Bytes[4096];
    ssize_t Size = recv(m_socket, Bytes, sizeof(Bytes), MSG_DONTWAIT);
    BOOST_REQUIRE(Size != 0);
    BOOST_REQUIRE((Size > 0 || errno == EAGAIN));
    if (Size > 0)
      m_received.append(Bytes, static_cast<std::size_t>(Size));
    return m_received.find(Text) != std::string::npos;
  }

  /// Sends no more, and still receives.
  void endInOrder() const { shutdown(m_socket, SHUT_WR); }
  /// Resets the connection.
  void reset() {
    linger Reset{1, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
    close(m_socket);
    m_socket = -1;
  }
  /// True once the other side has ended the connection.
  bool ended() const {
    char Byte = 0;
    ssize_t Size = 0;
    do
      Size = recv(m_socket, &Byte, 1, MSG_DONTWAIT);
    while (Size > 0);
    return Size == 0 || errno != EAGAIN;
  }

private:
  int m_socket;
  std::string m_received;
};

/// Requests without a body, with a length and in chunks.
inline std::vector<std::string> sampleRequests(const std::string &Target) {
  const std::string End = " " + Target + " HTTP/1.1\r\nHost: x\r\n";
  return {"GET" + End + "\r\n", "POST" + End + "Content-Length: 3\r\n\r\nabc",
          "POST" + End +
              "Transfer-Encoding: chunked\r\n\r\n"
              "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"};
}

} // namespace burdockpulley

#endif
