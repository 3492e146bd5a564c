#pragma once

/// \file
/// Small text helpers. Debian's `absl::StrCat` does not take
/// `std::string_view`; `concat` does.

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace fulmar {
namespace detail {

inline void append(std::string& out, std::string_view part) {
  out += part;
}
inline void append(std::string& out, char part) {
  out += part;
}

template <typename T>
requires(std::integral<T> ||
         std::floating_point<T>) void append(std::string& out, T part) {
  out += std::to_string(part);
}

}  // namespace detail

/// Joins texts and numbers.
/// \param parts anything that converts to `std::string_view`, or a number.
/// \return the parts, one after the other.
template <typename... Parts>
std::string concat(const Parts&... parts) {
  auto out = std::string();
  (detail::append(out, parts), ...);
  return out;
}

/// Writes a number in decimal with leading zeros, so that keys sort.
/// \param value the number.
/// \param width the least number of digits.
/// \return the digits.
std::string padded(std::uint64_t value, std::size_t width = 20);

/// Writes a number as 16 hexadecimal digits.
/// \param value the number.
/// \return the digits.
std::string hex(std::uint64_t value);

}  // namespace fulmar
