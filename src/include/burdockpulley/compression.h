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

} // namespace burdockpulley

#endif
