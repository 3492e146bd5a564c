#include "fulmarpitch/order/segment.h"

#include <boost/json.hpp>

#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

namespace json = boost::json;

constexpr std::string_view segment_format = "fulmar-order/1";

/// Positions of the header's fields.
enum header_field : std::size_t {
  format_at,
  pool_at,
  epoch_at,
  first_at,
  last_at,
  count_at,
  previous_name_at,
  previous_hash_at,
  header_fields
};

json::string_view text(std::string_view it) {
  return {it.data(), it.size()};
}

bool is_plain(char it) {
  constexpr auto plain = std::string_view(
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._@-");
  return plain.find(it) != std::string_view::npos;
}

std::string escaped(std::string_view it) {
  constexpr auto digits = std::string_view("0123456789ABCDEF");
  auto out = std::string();
  for (auto one : it) {
    if (is_plain(one)) {
      out += one;
      continue;
    }
    auto byte = static_cast<unsigned char>(one);
    out += '%';
    out += digits[byte >> 4U];
    out += digits[byte & 0xfU];
  }
  return out;
}

std::optional<std::string> string_at(const json::array& header,
                                     header_field at) {
  if (!header[at].is_string()) return std::nullopt;
  const auto& it = header[at].get_string();
  return std::string(it.data(), it.size());
}

std::optional<std::uint64_t> number_at(const json::array& header,
                                       header_field at) {
  auto ec = boost::system::error_code();
  auto out = header[at].to_number<std::uint64_t>(ec);
  if (ec) return std::nullopt;
  return out;
}

struct parsed_header {
  order_segment segment;
  std::uint64_t count = 0;
};

std::optional<parsed_header> read_header(std::string_view line) {
  auto ec = boost::system::error_code();
  auto value = json::parse(text(line), ec);
  if (ec || !value.is_array()) return std::nullopt;
  const auto& header = value.get_array();
  if (header.size() != header_fields) return std::nullopt;
  if (string_at(header, format_at) != segment_format) return std::nullopt;
  auto pool = string_at(header, pool_at);
  auto epoch = epoch_from_text(string_at(header, epoch_at).value_or(""));
  auto first = number_at(header, first_at);
  auto last = number_at(header, last_at);
  auto count = number_at(header, count_at);
  auto name = string_at(header, previous_name_at);
  auto hash =
      digest_from_text(string_at(header, previous_hash_at).value_or(""));
  if (!pool || !epoch || !first || !last || !count || !name || !hash) {
    return std::nullopt;
  }
  return parsed_header{.segment = {.pool = *pool,
                                   .epoch = *epoch,
                                   .first = *first,
                                   .last = *last,
                                   .previous = {.name = *name, .hash = *hash}},
                       .count = *count};
}

}  // namespace

std::string epoch_folder(std::string_view pool, const epoch_id& epoch) {
  return concat(segment_prefix, escaped(pool), "/", escaped(to_text(epoch)),
                "/");
}

std::string segment_name(std::string_view pool, const epoch_id& epoch,
                         std::uint64_t first) {
  return concat(epoch_folder(pool, epoch), padded(first));
}

stored_segment encode_segment(const order_segment& segment) {
  auto header = json::array{text(segment_format),
                            text(segment.pool),
                            text(to_text(segment.epoch)),
                            segment.first,
                            segment.last,
                            segment.lines.size(),
                            text(segment.previous.name),
                            text(to_text(segment.previous.hash))};
  auto out = stored_segment{
      .name = segment_name(segment.pool, segment.epoch, segment.first),
      .bytes = json::serialize(header)};
  out.bytes += '\n';
  for (const auto& it : segment.lines) {
    out.bytes += it;
    out.bytes += '\n';
  }
  return out;
}

decoded_segment decode_segment(std::string_view bytes) {
  auto end = bytes.find('\n');
  if (end == std::string_view::npos) return segment_fault::no_header;
  auto header = read_header(bytes.substr(0, end));
  if (!header) return segment_fault::wrong_header;
  if (bytes.back() != '\n') return segment_fault::torn;
  auto& out = header->segment;
  for (bytes.remove_prefix(end + 1); !bytes.empty();) {
    end = bytes.find('\n');
    out.lines.emplace_back(bytes.substr(0, end));
    bytes.remove_prefix(end + 1);
  }
  if (out.lines.size() != header->count || out.lines.empty()) {
    return segment_fault::wrong_count;
  }
  return std::move(out);
}

segment_link link_to(const stored_segment& segment) {
  return {.name = segment.name, .hash = sha256(segment.bytes)};
}

}  // namespace fulmar
