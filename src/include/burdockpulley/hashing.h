#ifndef BURDOCKPULLEY_HASHING_H
#define BURDOCKPULLEY_HASHING_H

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockpulley {

/// XXH3 hash of a byte string. All hosts must compute the same values, so the
/// function must not change between versions.
/// Thread safety: safe.
std::uint64_t stableHash(std::string_view Bytes, std::uint64_t Seed = 0);

/// Score of a candidate for an item in rendezvous hashing. The candidate with
/// the highest score is selected.
/// Thread safety: safe.
std::uint64_t rendezvousScore(std::string_view Item,
                              std::string_view Candidate);

/// SHA-256 of a byte string in lower-case hexadecimal.
/// Thread safety: safe.
std::string sha256Hex(std::string_view Bytes);

/// A version 4 UUID from the cryptographic random generator; it cannot be
/// predicted.
/// Thread safety: safe.
std::string randomUuid();

/// A version 4 UUID from a fast pseudo-random generator that is seeded by the
/// cryptographic one. It is unique but predictable: not for secrets.
/// Thread safety: safe.
std::string uniqueUuid();

} // namespace burdockpulley

#endif
