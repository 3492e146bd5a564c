#pragma once

/// \file
/// Rendezvous hashing: every VM that sees the same members names the same
/// owner of a key, and the loss of one member moves that member's keys only.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

/// Hashes bytes with 64-bit FNV-1a, followed by the finaliser of SplitMix64.
/// The result is the same on every machine and in every version.
/// \param bytes the bytes.
/// \return the hash.
std::uint64_t stable_hash(std::string_view bytes);

/// Mixes two numbers into one hash.
std::uint64_t mix_hash(std::uint64_t a, std::uint64_t b);

/// Weighs one member for a key: `stable_hash(key)` and `stable_hash(member)`
/// joined by the SplitMix64 finaliser.
/// \param key the key to be owned.
/// \param member the member's name.
/// \return the weight; the highest owns the key.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view member);

/// Names the owner of a key by highest random weight; names break ties.
/// \param key the key to be owned.
/// \param members names of the members that may own it, in any order.
/// \return the owner's name, empty when there are no members.
std::string rendezvous_owner(std::string_view key,
                             std::span<const std::string> members);

/// Names the members with the highest weights for a key, the owner first.
/// \param key the key to be owned.
/// \param members names of the members that may own it, in any order.
/// \param count how many to name.
/// \return at most `count` names.
std::vector<std::string> rendezvous_owners(std::string_view key,
                                           std::span<const std::string> members,
                                           std::size_t count);

}  // namespace fulmar
