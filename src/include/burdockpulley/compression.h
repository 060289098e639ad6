#ifndef BURDOCKPULLEY_COMPRESSION_H
#define BURDOCKPULLEY_COMPRESSION_H

#include <optional>
#include <string>
#include <string_view>

namespace burdockpulley {

/// Makes text smaller, for messages between hosts. Thread safety: safe.
std::string compress(std::string_view Text);

/// The text that compress() was given. Nothing when \p Bytes are not of it, or
/// the text would be larger than \p MaxBytes. Thread safety: safe.
std::optional<std::string> decompress(std::string_view Bytes,
                                      std::size_t MaxBytes);

} // namespace burdockpulley

#endif
