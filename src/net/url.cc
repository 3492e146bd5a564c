#include "fulmarpitch/net/url.h"

#include <absl/strings/ascii.h>

#include <charconv>

#include "endpoint.h"

namespace fulmar {
namespace {

constexpr std::string_view unreserved_marks = "-_.~/";

bool is_plain(char c) {
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
         unreserved_marks.find(c) != std::string_view::npos;
}

}  // namespace

std::string percent_encode(std::string_view text) {
  constexpr auto digits = std::string_view("0123456789ABCDEF");
  auto out = std::string();
  for (auto c : text) {
    if (is_plain(c)) {
      out += c;
      continue;
    }
    auto byte = static_cast<unsigned char>(c);
    out += '%';
    out += digits[byte >> 4U];
    out += digits[byte & 0xfU];
  }
  return out;
}

std::optional<std::string> percent_decode(std::string_view text) {
  auto out = std::string();
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i];
      continue;
    }
    if (i + 2 >= text.size()) return std::nullopt;
    auto byte = unsigned{};
    const auto* end = text.data() + i + 3;
    if (auto [it, ec] = std::from_chars(text.data() + i + 1, end, byte, 16);
        ec != std::errc() || it != end) {
      return std::nullopt;
    }
    out += static_cast<char>(byte);
    i += 2;
  }
  return out;
}

std::string_view path_of(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string query_parameter(std::string_view target, std::string_view name) {
  auto at = target.find('?');
  if (at == std::string_view::npos) return {};
  auto rest = target.substr(at + 1);
  while (!rest.empty()) {
    auto part = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    auto equals = part.find('=');
    if (part.substr(0, equals) != name) continue;
    if (equals == std::string_view::npos) return {};
    return percent_decode(part.substr(equals + 1)).value_or("");
  }
  return {};
}

bool is_address(std::string_view text) {
  auto it = parse_endpoint(text);
  return it && it->port() > 0;
}

std::optional<std::string_view> after_prefix(std::string_view path,
                                             std::string_view prefix) {
  if (path.substr(0, prefix.size()) != prefix) return std::nullopt;
  return path.substr(prefix.size());
}

}  // namespace fulmar
