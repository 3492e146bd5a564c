#pragma once

/// \file
/// Proofs that a peer knows the shared secret.

#include <string>
#include <string_view>

namespace fulmar {

/// Bytes of a proof made by `prove`.
inline constexpr std::size_t proof_bytes = 32;

/// Computes an HMAC-SHA-256.
/// \param secret the shared secret.
/// \param text what is proved.
/// \return 32 bytes.
std::string prove(std::string_view secret, std::string_view text);

/// Compares in time that depends on the length alone.
/// \return whether both texts are equal.
bool same_secret(std::string_view left, std::string_view right);

/// \return 16 bytes from the system's random source, as hexadecimal digits.
std::string random_nonce();

}  // namespace fulmar
