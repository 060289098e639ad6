#ifndef BURDOCKPULLEY_SETTINGS_READER_H
#define BURDOCKPULLEY_SETTINGS_READER_H

#include "burdockpulley/types.h"

#include <cxxopts.hpp>

#include <charconv>
#include <cstdlib>
#include <sstream>
#include <string>
#include <vector>

namespace burdockpulley::detail {

/// Takes values from flags or the environment and collects the faults.
class SettingsReader {
public:
  SettingsReader(const cxxopts::ParseResult &Flags,
                 std::vector<std::string> &Faults)
      : m_flags(Flags), m_faults(Faults) {}

  std::string text(const std::string &Name, bool Required) {
    if (m_flags.count(Name))
      return m_flags[Name].as<std::string>();
    const char *Value = std::getenv(variable(Name).c_str());
    if (Value)
      return Value;
    if (Required)
      m_faults.push_back("--" + Name + " (or " + variable(Name) +
                         ") is missing");
    return "";
  }

  Endpoint endpoint(const std::string &Name, bool Required = true) {
    Endpoint Where;
    std::string Text = text(Name, Required);
    if (!Text.empty() && !parseEndpoint(Text, Where))
      m_faults.push_back("--" + Name + " is " + Text +
                         "; write IP-ADDRESS:PORT");
    return Where;
  }

  /// Leaves \p Value alone when the setting is not given.
  void duration(const std::string &Name, Duration &Value) {
    std::string Text = text(Name, false);
    if (!Text.empty() && !parseDuration(Text, Value))
      m_faults.push_back("--" + Name + " is " + Text +
                         "; write a time, 250ms or 1.5s");
  }

  /// Leaves \p Value alone when the setting is not given.
  template <class Number> void number(const std::string &Name, Number &Value) {
    std::string Text = text(Name, false);
    if (Text.empty())
      return;
    double Read = 0;
    auto [End, Error] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Read);
    if (Error != std::errc() || End != Text.data() + Text.size() || Read < 0)
      m_faults.push_back("--" + Name + " is " + Text + "; write a number");
    else
      Value = static_cast<Number>(Read);
  }

  std::vector<Endpoint> endpoints(const std::string &Name) {
    std::vector<Endpoint> All;
    std::stringstream Text(text(Name, false));
    for (std::string Part; std::getline(Text, Part, ',');) {
      Endpoint Where;
      if (parseEndpoint(Part, Where))
        All.push_back(Where);
      else
        m_faults.push_back("--" + Name + " has " + Part +
                           "; write IP-ADDRESS:PORT,...");
    }
    return All;
  }

private:
  static std::string variable(const std::string &Name) {
    std::string Variable = "BURDOCKPULLEY_";
    for (char Letter : Name)
      Variable += Letter == '-' ? '_' : static_cast<char>(std::toupper(Letter));
    return Variable;
  }

  const cxxopts::ParseResult &m_flags;
  std::vector<std::string> &m_faults;
};

} // namespace burdockpulley::detail

#endif
