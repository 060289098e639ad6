#ifndef BURDOCKPULLEY_BASE64_H
#define BURDOCKPULLEY_BASE64_H

#include <string>
#include <string_view>

namespace burdockpulley {

/// Encodes bytes as standard base64 with padding.
/// Thread safety: safe.
std::string encodeBase64(std::string_view Bytes);

/// Decodes base64. Returns an empty string when \p Text is not valid base64.
/// Thread safety: safe.
std::string decodeBase64(std::string_view Text);

} // namespace burdockpulley

#endif
