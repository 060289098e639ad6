#include "etcd_codec.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <cstdlib>

namespace burdockpulley {
namespace detail {

std::string encodeBase64(std::string_view Bytes) {
  std::string Text(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  int Size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(Size);
  return Text;
}

std::string decodeBase64(std::string_view Text) {
  std::string Bytes(3 * (Text.size() / 4) + 3, '\0');
  int Size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Size < 0)
    return "";
  for (std::size_t I = Text.size(); I > 0 && Text[I - 1] == '='; --I)
    --Size;
  Bytes.resize(Size);
  return Bytes;
}

std::string prefixEnd(std::string Prefix) {
  while (!Prefix.empty() && Prefix.back() == '\xff')
    Prefix.pop_back();
  if (Prefix.empty())
    return std::string(1, '\0');
  ++Prefix.back();
  return Prefix;
}

std::int64_t readInt64(const nlohmann::json &Object, const char *Name) {
  auto Found = Object.find(Name);
  if (Found == Object.end())
    return 0;
  if (Found->is_number())
    return Found->get<std::int64_t>();
  if (!Found->is_string())
    return 0;
  return std::strtoll(Found->get_ref<const std::string &>().c_str(), nullptr,
                      10);
}

} // namespace detail
} // namespace burdockpulley
