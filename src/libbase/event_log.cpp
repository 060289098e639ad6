#include "burdockpulley/event_log.h"

#include <glog/logging.h>

#include "burdockpulley/clock.h"

#include <poll.h>
#include <unistd.h>

#include <ctime>
#include <mutex>

namespace burdockpulley {

namespace {

/// A pipe that reports room takes this much without blocking (PIPE_BUF).
constexpr std::size_t WriteBytes = 4096;
/// Lines that wait for a reader; more are dropped.
constexpr std::size_t MaxWaitingBytes = 256 << 10;
/// Lines a second of each severity; more are dropped.
constexpr std::uint32_t MaxLinesPerSecond = 400;
constexpr std::size_t SeverityCount = 3;

std::string &processName() {
  static std::string Name = "burdockpulley";
  return Name;
}

/// Takes the lines of glog and writes them without ever blocking.
class BoundedSink : public google::LogSink {
public:
  void send(google::LogSeverity, const char *, const char *, int,
            const struct ::tm *, const char *Message,
            std::size_t Size) override {
    std::lock_guard<std::mutex> Guard(m_mutex);
    if (m_waiting.size() + Size > MaxWaitingBytes) {
      ++m_dropped;
      return;
    }
    m_waiting.append(Message, Size);
    m_waiting += '\n';
    if (!m_buffered || m_waiting.size() >= WriteBytes)
      writeOut();
  }

  /// False when lines of this severity have used up their rate.
  bool admit(Severity Level, Instant Now) {
    std::lock_guard<std::mutex> Guard(m_mutex);
    if (Now - m_second >= std::chrono::seconds(1)) {
      m_second = Now;
      std::fill(std::begin(m_lines), std::end(m_lines), 0U);
    }
    if (++m_lines[static_cast<std::size_t>(Level)] <= MaxLinesPerSecond)
      return true;
    ++m_dropped;
    return false;
  }

  std::uint64_t takeDropped() {
    std::lock_guard<std::mutex> Guard(m_mutex);
    return std::exchange(m_dropped, 0);
  }

  void setBuffered() { m_buffered = true; }

  void flush() {
    std::lock_guard<std::mutex> Guard(m_mutex);
    writeOut();
  }

private:
  void writeOut() {
    std::size_t Done = 0;
    while (Done < m_waiting.size()) {
      pollfd Output{STDOUT_FILENO, POLLOUT, 0};
      if (poll(&Output, 1, 0) != 1 || !(Output.revents & POLLOUT))
        break;
      std::size_t Size = std::min(WriteBytes, m_waiting.size() - Done);
      ssize_t Written = write(STDOUT_FILENO, m_waiting.data() + Done, Size);
      if (Written <= 0)
        break;
      Done += static_cast<std::size_t>(Written);
    }
    m_waiting.erase(0, Done);
  }

  std::mutex m_mutex;
  std::string m_waiting;
  bool m_buffered = false;
  std::uint64_t m_dropped = 0;
  Instant m_second;
  std::uint32_t m_lines[SeverityCount] = {};
};

BoundedSink &sink() {
  static BoundedSink Only;
  return Only;
}

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

std::string timestamp() {
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
  if (!sink().admit(Level, bootClockNow()))
    return;
  std::string Line = "ts=" + timestamp();
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
