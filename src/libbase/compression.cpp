#include "burdockpulley/compression.h"

#include <zlib.h>
#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace burdockpulley {

namespace {

constexpr int DifferenceLevel = 3;

/// Returns the base-2 logarithm of a window that covers \p Bytes.
int windowLog(std::size_t Bytes) {
  constexpr int MinWindowLog = 10;
  constexpr int MaxWindowLog = 27;
  return std::clamp(static_cast<int>(std::bit_width(Bytes)), MinWindowLog,
                    MaxWindowLog);
}

} // namespace

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

std::string compressDifference(std::string_view Base, std::string_view Text) {
  std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> Context(
      ZSTD_createCCtx(), ZSTD_freeCCtx);
  ZSTD_CCtx *Raw = Context.get();
  ZSTD_CCtx_setParameter(Raw, ZSTD_c_compressionLevel, DifferenceLevel);
  ZSTD_CCtx_setParameter(Raw, ZSTD_c_windowLog,
                         windowLog(Base.size() + Text.size()));
  ZSTD_CCtx_setParameter(Raw, ZSTD_c_enableLongDistanceMatching, 1);
  // Another base would otherwise restore another text.
  ZSTD_CCtx_setParameter(Raw, ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_refPrefix(Raw, Base.data(), Base.size());
  std::string Bytes(ZSTD_compressBound(Text.size()), '\0');
  // This cannot fail, because the buffer has the size of ZSTD_compressBound().
  Bytes.resize(ZSTD_compress2(Raw, Bytes.data(), Bytes.size(), Text.data(),
                              Text.size()));
  return Bytes;
}

std::optional<std::string> restoreDifference(std::string_view Base,
                                             std::string_view Bytes,
                                             std::size_t MaxBytes) {
  unsigned long long Size =
      ZSTD_getFrameContentSize(Bytes.data(), Bytes.size());
  if (Size > MaxBytes) // So are the values for unknown sizes and bad frames.
    return std::nullopt;
  std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> Context(
      ZSTD_createDCtx(), ZSTD_freeDCtx);
  ZSTD_DCtx_refPrefix(Context.get(), Base.data(), Base.size());
  std::string Text(Size, '\0');
  std::size_t Restored = ZSTD_decompressDCtx(
      Context.get(), Text.data(), Text.size(), Bytes.data(), Bytes.size());
  if (ZSTD_isError(Restored) || Restored != Text.size())
    return std::nullopt;
  return Text;
}

} // namespace burdockpulley
