#ifndef BURDOCKPULLEY_PEER_KEYS_H
#define BURDOCKPULLEY_PEER_KEYS_H

#include <string>
#include <string_view>
#include <vector>

namespace burdockpulley {

/// Shared keys with which hosts prove to each other that they belong together.
///
/// The host that opens a connection uses its first key; any key of the list is
/// accepted. To rotate, add the new key last everywhere, then move it to the
/// front everywhere, then remove the old one.
///
/// Thread safety: safe while nobody writes.
class PeerKeys {
public:
  struct Key {
    std::string m_id;
    std::string m_secret;
  };

  bool empty() const { return m_keys.empty(); }

  /// The key that is used for new connections.
  /// Precondition: not empty.
  const Key &first() const { return m_keys.front(); }

  /// Null when there is no key with this id.
  const Key *find(std::string_view Id) const;

  std::vector<Key> m_keys;
};

/// Reads "ID:HEX,ID:HEX" (or one a line) with keys of at least 16 bytes. False
/// when the text is anything else.
/// Thread safety: safe.
bool parsePeerKeys(std::string_view Text, PeerKeys &Keys);

/// HMAC-SHA256, 32 bytes. Thread safety: safe.
std::string hmacSha256(std::string_view Secret, std::string_view Text);

/// Compares in time that does not depend on the contents.
/// Thread safety: safe.
bool sameMac(std::string_view A, std::string_view B);

} // namespace burdockpulley

#endif
