#include "burdockpulley/compression.h"

#include <zlib.h>

namespace burdockpulley {

std::string compress(std::string_view Text) {
  uLongf Size = compressBound(static_cast<uLong>(Text.size()));
  std::string Bytes(Size, '\0');
  // This cannot fail, because the buffer has the size of compressBound().
  compress2(reinterpret_cast<Bytef *>(Bytes.data()), &Size,
            reinterpret_cast<const Bytef *>(Text.data()),
            static_cast<uLong>(Text.size()), Z_BEST_SPEED);
  Bytes.resize(Size);
  return Bytes;
}

std::optional<std::string> decompress(std::string_view Bytes,
                                      std::size_t MaxBytes) {
  // One byte more than allowed, to detect that the text is longer.
  std::string Text(MaxBytes + 1, '\0');
  uLongf Size = static_cast<uLongf>(Text.size());
  int Status = uncompress(reinterpret_cast<Bytef *>(Text.data()), &Size,
                          reinterpret_cast<const Bytef *>(Bytes.data()),
                          static_cast<uLong>(Bytes.size()));
  if (Status != Z_OK || Size > MaxBytes)
    return std::nullopt;
  Text.resize(Size);
  return Text;
}

} // namespace burdockpulley
