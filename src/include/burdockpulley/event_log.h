#ifndef BURDOCKPULLEY_EVENT_LOG_H
#define BURDOCKPULLEY_EVENT_LOG_H

#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace burdockpulley {

/// Log level of an event.
enum class Severity { Info, Warning, Error };

/// One key=value pair of a logged event.
struct LogField {
  LogField(std::string_view Key, std::string_view Value)
      : m_key(Key), m_value(Value) {}
  LogField(std::string_view Key, const std::string &Value)
      : m_key(Key), m_value(Value) {}
  LogField(std::string_view Key, const char *Value)
      : m_key(Key), m_value(Value) {}
  template <class Number>
  requires std::is_arithmetic_v<Number> LogField(std::string_view Key,
                                                 Number Value)
      : m_key(Key), m_value(std::to_string(Value)) {}

  std::string_view m_key;
  std::string m_value;
};

/// Sets up the process log: each event is one line of key=value pairs on
/// standard output. \p Process is written to every line.
///
/// Logging never blocks. Lines are dropped when the reader of standard output
/// is too slow or when more lines are logged per second than the limit;
/// flushEventLog() logs the number of dropped lines.
/// Precondition: called once, before the first logEvent().
/// Thread safety: not safe; call it from main().
void openEventLog(std::string_view Process);

/// Enables buffering: from now on lines are written when flushEventLog() is
/// called or when enough of them are pending for one full write.
/// Thread safety: not safe; call it from main().
void bufferEventLog();

/// Logs the number of dropped lines, if any, and writes the pending lines.
/// Thread safety: safe.
void flushEventLog();

/// Logs one event. A value is quoted when it is empty or contains white space,
/// a quote, an equals sign or a backslash.
/// Thread safety: safe.
void logEvent(Severity Level, std::string_view Event,
              std::initializer_list<LogField> Fields);

} // namespace burdockpulley

#endif
