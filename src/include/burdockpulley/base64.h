#ifndef BURDOCKPULLEY_BASE64_H
#define BURDOCKPULLEY_BASE64_H

#include <string>
#include <string_view>

namespace burdockpulley {

/// Writes bytes as standard base64 with padding. Thread safety: safe.
std::string encodeBase64(std::string_view Bytes);

/// Reads base64; wrong characters give an empty string. Thread safety: safe.
std::string decodeBase64(std::string_view Text);

} // namespace burdockpulley

#endif
