#ifndef BURDOCKPULLEY_PEER_KEYS_H
#define BURDOCKPULLEY_PEER_KEYS_H

#include <string>
#include <string_view>
#include <vector>

namespace burdockpulley {

/// Shared secret keys with which the hosts of a deployment authenticate each
/// other.
///
/// The host that opens a connection uses its first key; the other host accepts
/// any key of its list. To rotate keys, append the new key on all hosts, then
/// move it to the front on all hosts, then remove the old key.
///
/// Thread safety: concurrent reads are safe; writes are not.
class PeerKeys {
public:
  struct Key {
    std::string m_id;
    std::string m_secret;
  };

  bool empty() const { return m_keys.empty(); }

  /// The key for connections that this host opens.
  /// Precondition: not empty.
  const Key &first() const { return m_keys.front(); }

  /// Returns null when no key has this id.
  const Key *find(std::string_view Id) const;

  std::vector<Key> m_keys;
};

/// Parses keys of the form ID:HEX, separated by commas or line breaks. Each
/// secret has at least 16 bytes. Returns false, with \p Keys unspecified, when
/// the text has another form, contains no key or repeats an id.
/// Thread safety: safe.
bool parsePeerKeys(std::string_view Text, PeerKeys &Keys);

/// Computes an HMAC-SHA256 of 32 bytes.
/// Thread safety: safe.
std::string hmacSha256(std::string_view Secret, std::string_view Text);

/// Compares two MACs in constant time, so that the duration reveals nothing
/// about their contents.
/// Thread safety: safe.
bool sameMac(std::string_view A, std::string_view B);

} // namespace burdockpulley

#endif
