#include "burdockpulley/peer_keys.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace burdockpulley {

namespace {

constexpr std::size_t MinSecretBytes = 16;

/// Returns false when \p Text is not hexadecimal or too short for a secret.
bool parseSecret(std::string_view Text, std::string &Bytes) {
  long Size = 0;
  unsigned char *Buffer = OPENSSL_hexstr2buf(std::string(Text).c_str(), &Size);
  if (!Buffer)
    return false;
  Bytes.assign(reinterpret_cast<char *>(Buffer),
               static_cast<std::size_t>(Size));
  OPENSSL_clear_free(Buffer, static_cast<std::size_t>(Size));
  return Bytes.size() >= MinSecretBytes;
}

} // namespace

const PeerKeys::Key *PeerKeys::find(std::string_view Id) const {
  for (const Key &Candidate : m_keys)
    if (Candidate.m_id == Id)
      return &Candidate;
  return nullptr;
}

bool parsePeerKeys(std::string_view Text, PeerKeys &Keys) {
  Keys.m_keys.clear();
  while (!Text.empty()) {
    std::size_t End = Text.find_first_of(",\n");
    std::string_view Item = Text.substr(0, End);
    Text = End == std::string_view::npos ? "" : Text.substr(End + 1);
    if (Item.empty())
      continue;
    std::size_t Colon = Item.find(':');
    PeerKeys::Key Key;
    if (Colon == std::string_view::npos || Colon == 0 ||
        !parseSecret(Item.substr(Colon + 1), Key.m_secret))
      return false;
    Key.m_id = Item.substr(0, Colon);
    if (Keys.find(Key.m_id))
      return false;
    Keys.m_keys.push_back(std::move(Key));
  }
  return !Keys.empty();
}

std::string hmacSha256(std::string_view Secret, std::string_view Text) {
  unsigned char Digest[EVP_MAX_MD_SIZE];
  unsigned int Size = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
       Digest, &Size);
  return std::string(reinterpret_cast<char *>(Digest), Size);
}

bool sameMac(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

} // namespace burdockpulley
