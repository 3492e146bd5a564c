#include "answer-reader.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <string_view>

namespace fulmar {
namespace {

namespace http = boost::beast::http;

constexpr unsigned status_switching_protocols = 101;
constexpr unsigned min_interim_status = 100;
constexpr unsigned min_final_status = 200;
constexpr unsigned max_final_status = 599;

bool is_control(char it) {
  constexpr unsigned char first_printable = 0x20;
  constexpr unsigned char del = 0x7f;
  auto byte = static_cast<unsigned char>(it);
  return byte < first_printable || byte == del;
}

/// Tab is the one control character of a field value.
bool is_value(boost::beast::string_view text) {
  return std::none_of(text.begin(), text.end(),
                      [](char it) { return is_control(it) && it != '\t'; });
}

bool is_token(boost::beast::string_view text) {
  constexpr auto others = std::string_view("!#$%&'*+-.^_`|~");
  auto is_token_char = [&](char it) {
    return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'z') ||
           (it >= 'A' && it <= 'Z') || others.find(it) != others.npos;
  };
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}

bool is_chunked_only(boost::beast::string_view coding) {
  return absl::EqualsIgnoreCase(absl::string_view(coding.data(), coding.size()),
                                "chunked");
}

}  // namespace

bool is_interim_status(unsigned status) {
  return status >= min_interim_status && status < min_final_status;
}

boost::system::error_code check_answer_head(
    const http::response_header<>& head) {
  auto status = head.result_int();
  auto known = is_interim_status(status) ||
               (status >= min_final_status && status <= max_final_status);
  // No request asks for another protocol.
  if (!known || status == status_switching_protocols)
    return make_error_code(http::error::bad_status);
  if (!is_value(head.reason())) return make_error_code(http::error::bad_reason);
  for (const auto& it : head) {
    if (!is_token(it.name_string()))
      return make_error_code(http::error::bad_field);
    if (!is_value(it.value())) return make_error_code(http::error::bad_value);
    // No request asks for another coding, and the parser decodes none.
    if (it.name() == http::field::transfer_encoding &&
        !is_chunked_only(it.value()))
      return make_error_code(http::error::bad_transfer_encoding);
  }
  return {};
}

void reset_parser(std::optional<answer_parser>& parser,
                  std::uint32_t max_head_bytes) {
  parser.emplace();
  parser->header_limit(max_head_bytes);
  parser->body_limit(boost::none);
}

}  // namespace fulmar
