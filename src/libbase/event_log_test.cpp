#include "burdockpulley/event_log.h"

#include <boost/test/unit_test.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <vector>

using namespace burdockpulley;

namespace {

/// Redirects standard output to a socket that keeps the boundaries of writes.
class CapturedWrites {
public:
  CapturedWrites() : m_savedOutput(dup(STDOUT_FILENO)) {
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_SEQPACKET, 0, m_ends.data()) == 0);
    dup2(m_ends[1], STDOUT_FILENO);
  }
  ~CapturedWrites() {
    dup2(m_savedOutput, STDOUT_FILENO);
    for (int Descriptor : {m_savedOutput, m_ends[0], m_ends[1]})
      close(Descriptor);
  }

  /// Returns what has been written, one string for each write.
  std::vector<std::string> take() {
    std::vector<std::string> Writes;
    std::array<char, 1 << 16> Buffer{};
    for (ssize_t Size = 0; (Size = recv(m_ends[0], Buffer.data(), Buffer.size(),
                                        MSG_DONTWAIT)) > 0;)
      Writes.emplace_back(Buffer.data(), static_cast<std::size_t>(Size));
    return Writes;
  }

private:
  int m_savedOutput;
  std::array<int, 2> m_ends{};
};

} // namespace

// A collector that tags each write with its source cut lines in two.
BOOST_AUTO_TEST_CASE(each_write_of_the_log_consists_of_whole_lines) {
  openEventLog("test");
  bufferEventLog();
  std::vector<std::string> Writes;
  {
    CapturedWrites Captured;
    constexpr int Events = 100;
    for (int Number = 0; Number < Events; ++Number)
      logEvent(Severity::Info, "numbered", {{"number", Number}});
    flushEventLog();
    Writes = Captured.take();
  }
  BOOST_TEST(Writes.size() > 1u);
  for (const std::string &Written : Writes) {
    BOOST_TEST(Written.starts_with("ts="));
    BOOST_TEST(Written.ends_with("\n"));
  }
}
