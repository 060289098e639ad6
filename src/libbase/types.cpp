#include "burdockpulley/types.h"

#include <arpa/inet.h>

#include <charconv>

namespace burdockpulley {

std::string toString(const Endpoint &Where) {
  return Where.m_address + ":" + std::to_string(Where.m_port);
}

bool parseEndpoint(const std::string &Text, Endpoint &Where) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  std::string Address = Text.substr(0, Colon);
  in_addr Parsed{};
  if (inet_pton(AF_INET, Address.c_str(), &Parsed) != 1)
    return false;
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Error != std::errc() || Stop != End)
    return false;
  Where = Endpoint{std::move(Address), Port};
  return true;
}

bool parseDuration(const std::string &Text, Duration &Value) {
  double Number = 0;
  const char *TextEnd = Text.data() + Text.size();
  auto [End, Error] = std::from_chars(Text.data(), TextEnd, Number);
  if (Error != std::errc() || Number < 0)
    return false;
  std::string_view Unit(End, static_cast<std::size_t>(TextEnd - End));
  constexpr double MicrosPerMillisecond = 1e3;
  constexpr double MicrosPerSecond = 1e6;
  constexpr double MaxMicros = 1e15;
  double Scale = Unit == "ms"  ? MicrosPerMillisecond
                 : Unit == "s" ? MicrosPerSecond
                               : 0;
  if (Scale == 0 || Number * Scale > MaxMicros)
    return false;
  Value = Duration(static_cast<std::int64_t>(Number * Scale));
  return true;
}

} // namespace burdockpulley
