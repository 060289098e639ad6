#ifndef BURDOCKPULLEY_HASHING_H
#define BURDOCKPULLEY_HASHING_H

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockpulley {

/// XXH3 of a byte string. The value is part of the protocol between hosts: it
/// must not change between versions.
/// Thread safety: safe.
std::uint64_t stableHash(std::string_view Bytes, std::uint64_t Seed = 0);

/// Rendezvous score of a candidate for an item; the highest score wins.
/// Thread safety: safe.
std::uint64_t rendezvousScore(std::string_view Item,
                              std::string_view Candidate);

/// SHA-256 of a byte string in lower-case hexadecimal.
/// Thread safety: safe.
std::string sha256Hex(std::string_view Bytes);

/// A random version 4 UUID from the system's generator; nobody can foresee it.
/// Thread safety: safe.
std::string randomUuid();

/// A version 4 UUID from a generator that the system's generator has seeded:
/// unique and cheap, for what needs no secrecy.
/// Thread safety: safe.
std::string uniqueUuid();

} // namespace burdockpulley

#endif
