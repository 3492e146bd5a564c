#include "fulmarpitch/order/digest.h"

#include <openssl/evp.h>

#include <stdexcept>

namespace fulmar {
namespace {

constexpr auto hex_digits = std::string_view("0123456789abcdef");

}  // namespace

digest sha256(std::string_view bytes) {
  auto out = digest();
  auto size = static_cast<unsigned>(out.size());
  auto ok = EVP_Digest(bytes.data(), bytes.size(), out.data(), &size,
                       EVP_sha256(), nullptr);
  if (ok != 1) throw std::runtime_error("SHA-256 is not available");
  return out;
}

std::string to_text(const digest& value) {
  auto out = std::string();
  out.reserve(2 * value.size());
  for (auto it : value) {
    out += hex_digits[it >> 4U];
    out += hex_digits[it & 0xfU];
  }
  return out;
}

std::optional<digest> digest_from_text(std::string_view text) {
  auto out = digest();
  if (text.size() != 2 * out.size()) return std::nullopt;
  for (std::size_t i = 0; i < out.size(); ++i) {
    auto high = hex_digits.find(text[2 * i]);
    auto low = hex_digits.find(text[2 * i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return std::nullopt;
    }
    out[i] = static_cast<std::uint8_t>(high << 4U | low);
  }
  return out;
}

}  // namespace fulmar
