#include "burdockpulley/types.h"

#include <arpa/inet.h>

#include <charconv>

namespace burdockpulley {

std::string toString(const Endpoint &Value) {
  return Value.m_address + ":" + std::to_string(Value.m_port);
}

bool parseEndpoint(const std::string &Text, Endpoint &Value) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  std::string Address = Text.substr(0, Colon);
  in_addr BinaryAddress{};
  // inet_pton() reads up to the first null character.
  if (Address.find('\0') != Address.npos ||
      inet_pton(AF_INET, Address.c_str(), &BinaryAddress) != 1)
    return false;
  std::uint16_t Port = 0;
  const char *TextEnd = Text.data() + Text.size();
  auto [PortEnd, Error] =
      std::from_chars(Text.data() + Colon + 1, TextEnd, Port);
  if (Error != std::errc() || PortEnd != TextEnd)
    return false;
  Value = Endpoint{std::move(Address), Port};
  return true;
}

bool parseDuration(const std::string &Text, Duration &Value) {
  double Number = 0;
  const char *TextEnd = Text.data() + Text.size();
  auto [NumberEnd, Error] = std::from_chars(Text.data(), TextEnd, Number);
  // This is also false for "nan".
  bool IsNonNegative = Number >= 0;
  if (Error != std::errc() || !IsNonNegative)
    return false;
  std::string_view Unit(NumberEnd,
                        static_cast<std::size_t>(TextEnd - NumberEnd));
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
