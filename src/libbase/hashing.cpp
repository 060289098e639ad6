#include "burdockpulley/hashing.h"

#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <cstring>
#include <random>

namespace burdockpulley {

namespace {

constexpr std::size_t UuidLength = 36;

std::string toHex(const unsigned char *Bytes, std::size_t Size) {
  static const char Digits[] = "0123456789abcdef";
  std::string Text;
  Text.reserve(2 * Size);
  for (std::size_t I = 0; I < Size; ++I) {
    Text += Digits[Bytes[I] >> 4];
    Text += Digits[Bytes[I] & 15];
  }
  return Text;
}

std::string formatUuid(std::array<unsigned char, 16> Bytes) {
  // Version 4 and the variant of RFC 4122.
  Bytes[6] = (Bytes[6] & 0x0f) | 0x40;
  Bytes[8] = (Bytes[8] & 0x3f) | 0x80;
  std::string Digits = toHex(Bytes.data(), Bytes.size());
  std::string Text;
  Text.reserve(UuidLength);
  for (std::size_t I = 0; I < Digits.size(); ++I) {
    if (I == 8 || I == 12 || I == 16 || I == 20)
      Text += '-';
    Text += Digits[I];
  }
  return Text;
}

std::mt19937_64 makeSeededGenerator() {
  std::array<std::uint32_t, 8> Words;
  RAND_bytes(reinterpret_cast<unsigned char *>(Words.data()), sizeof(Words));
  std::seed_seq Seed(Words.begin(), Words.end());
  return std::mt19937_64(Seed);
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
  return toHex(Digest.data(), Digest.size());
}

std::string randomUuid() {
  std::array<unsigned char, 16> Bytes;
  RAND_bytes(Bytes.data(), Bytes.size());
  return formatUuid(Bytes);
}

std::string uniqueUuid() {
  thread_local std::mt19937_64 Generator = makeSeededGenerator();
  std::array<std::uint64_t, 2> Words = {Generator(), Generator()};
  std::array<unsigned char, 16> Bytes;
  std::memcpy(Bytes.data(), Words.data(), Bytes.size());
  return formatUuid(Bytes);
}

} // namespace burdockpulley
