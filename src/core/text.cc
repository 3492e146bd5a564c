#include "fulmarpitch/core/text.h"

#include <cstdint>

namespace fulmar {

std::string padded(std::uint64_t value, std::size_t width) {
  auto digits = std::to_string(value);
  if (digits.size() >= width) return digits;
  return std::string(width - digits.size(), '0') + digits;
}

std::string hex(std::uint64_t value) {
  constexpr auto digits = std::string_view("0123456789abcdef");
  constexpr auto width = 16;
  auto out = std::string(width, '0');
  for (auto i = width - 1; i >= 0; --i) {
    out[i] = digits[value & 0xfU];
    value >>= 4U;
  }
  return out;
}

}  // namespace fulmar
