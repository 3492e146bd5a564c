#pragma once

/// \file
/// SHA-256 digests that chain order records and segments.

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fulmar {

/// A SHA-256 digest; all zeros stands for "none".
using digest = std::array<std::uint8_t, 32>;

/// Hashes bytes with SHA-256.
/// \param bytes what to hash.
/// \return the digest.
/// \throws std::runtime_error when OpenSSL refuses the hash.
digest sha256(std::string_view bytes);

/// Writes a digest as 64 hexadecimal digits.
/// \param value the digest.
/// \return the digits.
std::string to_text(const digest& value);

/// Reads a digest from 64 lower-case hexadecimal digits.
/// \param text the digits.
/// \return the digest, or nothing for any other text.
std::optional<digest> digest_from_text(std::string_view text);

}  // namespace fulmar
