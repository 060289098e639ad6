#ifndef BURDOCKPULLEY_EVENT_LOG_H
#define BURDOCKPULLEY_EVENT_LOG_H

#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace burdockpulley {

/// How much attention a logged event asks for.
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

/// Sets up the process log: one line of key=value pairs an event, on standard
/// output. \p Process names the process in each line.
///
/// Writing never blocks: lines that the reader does not take in time are
/// dropped, as are lines beyond a rate, and their number is logged.
/// Precondition: called once, before the first logEvent().
/// Thread safety: not safe; call it from main().
void openEventLog(std::string_view Process);

/// Lines are kept from now on until flushEventLog() is called, or there are
/// enough of them for one write. Thread safety: as openEventLog().
void bufferEventLog();

/// Writes the lines kept so far. Thread safety: safe.
void flushEventLog();

/// Writes one event. A value with blanks or quotes is quoted.
/// Thread safety: safe.
void logEvent(Severity Level, std::string_view Event,
              std::initializer_list<LogField> Fields);

} // namespace burdockpulley

#endif
