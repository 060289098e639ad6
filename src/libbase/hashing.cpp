#include "burdockpulley/hashing.h"

#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace burdockpulley {

namespace {

std::string hex(const unsigned char *Bytes, std::size_t Size) {
  static const char Digits[] = "0123456789abcdef";
  std::string Text;
  Text.reserve(2 * Size);
  for (std::size_t I = 0; I < Size; ++I) {
    Text += Digits[Bytes[I] >> 4];
    Text += Digits[Bytes[I] & 15];
  }
  return Text;
}

} // namespace

std::uint64_t stableHash(std::string_view Bytes, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

std::uint64_t rendezvousScore(std::string_view Item,
                              std::string_view Candidate) {
  return stableHash(Candidate, stableHash(Item));
}

std::string sha256Hex(std::string_view Bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest;
  SHA256(reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
         Digest.data());
  return hex(Digest.data(), Digest.size());
}

std::string randomUuid() {
  std::array<unsigned char, 16> Bytes;
  RAND_bytes(Bytes.data(), Bytes.size());
  Bytes[6] = (Bytes[6] & 0x0f) | 0x40;
  Bytes[8] = (Bytes[8] & 0x3f) | 0x80;
  std::string Text = hex(Bytes.data(), Bytes.size());
  for (std::size_t Dash : {20, 16, 12, 8})
    Text.insert(Dash, "-");
  return Text;
}

} // namespace burdockpulley
