#include "burdockpulley/base64.h"

#include <openssl/evp.h>

namespace burdockpulley {

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
  constexpr std::size_t MaxPadding = 2;
  std::size_t Padding = 0;
  while (Padding < Text.size() && Text[Text.size() - Padding - 1] == '=')
    ++Padding;
  if (Padding > MaxPadding)
    return "";
  Bytes.resize(static_cast<std::size_t>(Size) - Padding);
  return Bytes;
}

} // namespace burdockpulley
