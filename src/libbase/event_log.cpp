#include "burdockpulley/event_log.h"

#include <glog/logging.h>

#include "burdockpulley/clock.h"

#include <poll.h>
#include <unistd.h>

#include <ctime>
#include <mutex>

namespace burdockpulley {

namespace {

/// Size of one write. A write of up to PIPE_BUF bytes to a pipe that polls as
/// writable does not block.
constexpr std::size_t WriteBytes = 4096;
/// Size of the lines that are not written yet; further lines are dropped.
constexpr std::size_t MaxPendingBytes = 256 << 10;
/// Limit for each severity; further lines are dropped.
constexpr std::uint32_t MaxLinesPerSecond = 400;
constexpr std::size_t SeverityCount = 3;

std::string &processName() {
  static std::string Name = "burdockpulley";
  return Name;
}

/// Writes the lines of glog to standard output without blocking.
class NonBlockingSink : public google::LogSink {
public:
  void send(google::LogSeverity, const char *, const char *, int,
            const struct ::tm *, const char *Message,
            std::size_t Size) override {
    std::lock_guard<std::mutex> Guard(m_mutex);
    if (m_pending.size() + Size > MaxPendingBytes) {
      ++m_dropped;
      return;
    }
    m_pending.append(Message, Size);
    m_pending += '\n';
    if (!m_buffered || m_pending.size() >= WriteBytes)
      writePending();
  }

  /// Counts a line. Returns false when the lines of this severity have reached
  /// their limit in the current second.
  bool countLine(Severity Level, Instant Now) {
    std::lock_guard<std::mutex> Guard(m_mutex);
    if (Now - m_windowStart >= std::chrono::seconds(1)) {
      m_windowStart = Now;
      std::fill(std::begin(m_lineCounts), std::end(m_lineCounts), 0U);
    }
    if (++m_lineCounts[static_cast<std::size_t>(Level)] <= MaxLinesPerSecond)
      return true;
    ++m_dropped;
    return false;
  }

  /// Returns and resets the number of dropped lines.
  std::uint64_t takeDropped() {
    std::lock_guard<std::mutex> Guard(m_mutex);
    return std::exchange(m_dropped, 0);
  }

  void setBuffered() { m_buffered = true; }

  void flush() {
    std::lock_guard<std::mutex> Guard(m_mutex);
    writePending();
  }

private:
  /// Size of the next write from an offset of m_pending: whole lines, unless a
  /// single one is longer than a write.
  std::size_t nextWriteSize(std::size_t Offset) const {
    if (m_pending.size() - Offset <= WriteBytes)
      return m_pending.size() - Offset;
    std::size_t LineEnd = m_pending.rfind('\n', Offset + WriteBytes - 1);
    return LineEnd == m_pending.npos || LineEnd < Offset ? WriteBytes
                                                         : LineEnd + 1 - Offset;
  }

  /// Writes as much as standard output accepts now.
  void writePending() {
    std::size_t WrittenBytes = 0;
    while (WrittenBytes < m_pending.size()) {
      pollfd Output{STDOUT_FILENO, POLLOUT, 0};
      if (poll(&Output, 1, 0) != 1 || !(Output.revents & POLLOUT))
        break;
      std::size_t Size = nextWriteSize(WrittenBytes);
      ssize_t Result =
          write(STDOUT_FILENO, m_pending.data() + WrittenBytes, Size);
      if (Result <= 0)
        break;
      WrittenBytes += static_cast<std::size_t>(Result);
    }
    m_pending.erase(0, WrittenBytes);
  }

  std::mutex m_mutex;
  std::string m_pending;
  bool m_buffered = false;
  std::uint64_t m_dropped = 0;
  Instant m_windowStart; ///< Start of the current second.
  std::uint32_t m_lineCounts[SeverityCount] = {};
};

NonBlockingSink &sink() {
  static NonBlockingSink Sink;
  return Sink;
}

/// Appends a value, quoted if needed. Line breaks become blanks, so that an
/// event stays on one line.
void appendValue(std::string &Line, std::string_view Value) {
  bool Plain =
      !Value.empty() && Value.find_first_of(" \"=\n\r\t\\") == Value.npos;
  if (Plain) {
    Line += Value;
    return;
  }
  Line += '"';
  for (char Character : Value) {
    if (Character == '\n' || Character == '\r') {
      Line += ' ';
      continue;
    }
    if (Character == '"' || Character == '\\')
      Line += '\\';
    Line += Character;
  }
  Line += '"';
}

std::string currentTimestamp() {
  timespec Now{};
  clock_gettime(CLOCK_REALTIME, &Now);
  std::tm Calendar{};
  gmtime_r(&Now.tv_sec, &Calendar);
  char Text[40];
  std::size_t Size = strftime(Text, sizeof(Text), "%FT%T", &Calendar);
  snprintf(Text + Size, sizeof(Text) - Size, ".%03ldZ", Now.tv_nsec / 1000000);
  return Text;
}

google::LogSeverity glogSeverity(Severity Level) {
  switch (Level) {
  case Severity::Warning:
    return google::GLOG_WARNING;
  case Severity::Error:
    return google::GLOG_ERROR;
  case Severity::Info:
    break;
  }
  return google::GLOG_INFO;
}

const char *severityName(Severity Level) {
  switch (Level) {
  case Severity::Warning:
    return "warning";
  case Severity::Error:
    return "error";
  case Severity::Info:
    break;
  }
  return "info";
}

} // namespace

void openEventLog(std::string_view Process) {
  processName() = Process;
  FLAGS_log_prefix = false;
  google::InitGoogleLogging("burdockpulley");
}

void bufferEventLog() { sink().setBuffered(); }

void flushEventLog() {
  std::uint64_t Dropped = sink().takeDropped();
  if (Dropped > 0)
    logEvent(Severity::Warning, "log_lines_dropped", {{"count", Dropped}});
  sink().flush();
}

void logEvent(Severity Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  if (!sink().countLine(Level, bootClockNow()))
    return;
  std::string Line = "ts=" + currentTimestamp();
  Line += " level=";
  Line += severityName(Level);
  Line += " process=";
  appendValue(Line, processName());
  Line += " event=";
  appendValue(Line, Event);
  for (const LogField &Field : Fields) {
    Line += ' ';
    Line += Field.m_key;
    Line += '=';
    appendValue(Line, Field.m_value);
  }
  google::LogMessage("", 0, glogSeverity(Level), &sink(), false).stream()
      << Line;
}

} // namespace burdockpulley
