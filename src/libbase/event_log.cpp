#include "burdockpulley/event_log.h"

#include <glog/logging.h>

#include <ctime>

namespace burdockpulley {

namespace {

std::string &processName() {
  static std::string Name = "burdockpulley";
  return Name;
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
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = false;
  google::InitGoogleLogging("burdockpulley");
}

void logEvent(Severity Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
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
  google::LogMessage("", 0, glogSeverity(Level)).stream() << Line;
}

} // namespace burdockpulley
