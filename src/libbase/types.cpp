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

} // namespace burdockpulley
