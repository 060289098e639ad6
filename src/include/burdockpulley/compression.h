#ifndef BURDOCKPULLEY_COMPRESSION_H
#define BURDOCKPULLEY_COMPRESSION_H

#include <optional>
#include <string>
#include <string_view>

namespace burdockpulley {

/// Compresses \p Text in zlib format, for messages between hosts.
/// Thread safety: safe.
std::string compress(std::string_view Text);

/// Restores the text that was passed to compress(). Returns nullopt when
/// \p Bytes are not valid, or when the text is longer than \p MaxBytes bytes.
/// Thread safety: safe.
std::optional<std::string> decompress(std::string_view Bytes,
                                      std::size_t MaxBytes);

/// Compresses what distinguishes \p Text from \p Base, as a zstd frame. Takes
/// little space if they have long parts in common, wherever these are.
/// Thread safety: safe.
std::string compressDifference(std::string_view Base, std::string_view Text);

/// Restores the text that was passed to compressDifference() with the same
/// \p Base. Returns nullopt when \p Bytes are not valid or \p Base is another
/// one, or when the text is longer than \p MaxBytes bytes.
/// Thread safety: safe.
std::optional<std::string> restoreDifference(std::string_view Base,
                                             std::string_view Bytes,
                                             std::size_t MaxBytes);

} // namespace burdockpulley

#endif
