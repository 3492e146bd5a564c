#include "fulmarpitch/net/secret.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <stdexcept>

#include "fulmarpitch/core/text.h"

namespace fulmar {

std::string prove(std::string_view secret, std::string_view text) {
  auto out = std::string(proof_bytes, '\0');
  auto n = static_cast<unsigned>(out.size());
  const auto* input = reinterpret_cast<const unsigned char*>(text.data());
  auto* output = reinterpret_cast<unsigned char*>(out.data());
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), input,
       text.size(), output, &n);
  return out;
}

bool same_secret(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_nonce() {
  unsigned char buf[16];
  if (RAND_bytes(buf, sizeof buf) != 1) {
    throw std::runtime_error("the system's random source failed");
  }
  auto words = std::array<std::uint64_t, 2>();
  std::memcpy(words.data(), buf, sizeof buf);
  return hex(words[0]) + hex(words[1]);
}

}  // namespace fulmar
