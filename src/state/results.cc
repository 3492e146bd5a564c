#include "fulmarpitch/state/results.h"

#include <boost/json.hpp>
#include <charconv>
#include <memory>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace detail {
namespace {

constexpr std::string_view id_prefix = "req_";
constexpr std::size_t unique_digits = 16;
constexpr std::size_t minute_digits = 10;
constexpr std::size_t index_page = 64;

template <typename T>
bool read_number(std::string_view text, int base, T& out) {
  const auto* const end = text.data() + text.size();
  const auto [last, ec] = std::from_chars(text.data(), end, out, base);
  return ec == std::errc() && last == end;
}

bool safe_in_key(char c) {
  const auto letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const auto digit = c >= '0' && c <= '9';
  return letter || digit || c == '-' || c == '_' || c == '.';
}

absl::Status damaged() {
  return make_error(error_code::internal, "a stored record is damaged",
                    outcome::unknown);
}

absl::Status no_result() {
  return make_error(error_code::not_found, "no result is recorded",
                    outcome::unknown);
}

result_record read_header(const boost::json::object& header) {
  auto record = result_record();
  record.request_id = header.at("id").as_string().c_str();
  record.caller = header.at("caller").as_string().c_str();
  const auto code = header.at("code").as_string();
  record.code = value_in(error_code_names, std::string_view(code))
                    .value_or(error_code::internal);
  const auto what = header.at("outcome").as_string();
  record.what = value_in(outcome_names, std::string_view(what))
                    .value_or(outcome::unknown);
  record.status = header.at("status").to_number<int>();
  record.content_type = header.at("type").as_string().c_str();
  record.started = instant(header.at("started").to_number<std::int64_t>());
  record.finished = instant(header.at("finished").to_number<std::int64_t>());
  return record;
}

/// Takes one result off the front of the bytes.
/// \return whether the bytes were whole.
bool take_result(std::string_view& bytes, std::vector<result_record>& out) {
  const auto end = bytes.find('\n');
  if (end == std::string_view::npos) return false;
  auto ec = boost::json::error_code();
  const auto header =
      boost::json::parse(boost::json::string_view(bytes.data(), end), ec);
  if (ec || !header.is_object()) return false;
  const auto size = header.at("bytes").to_number<std::size_t>();
  bytes.remove_prefix(end + 1);
  if (bytes.size() < size + 1 || bytes[size] != '\n') return false;
  out.push_back(read_header(header.get_object()));
  out.back().body = std::string(bytes.substr(0, size));
  bytes.remove_prefix(size + 1);
  return true;
}

/// One lookup under way.
struct lookup {
  platform_stores stores;
  std::string request_id;
  std::string prefix;
  std::string unique;
  callback<result_record> done;
};

void read_object(const std::shared_ptr<lookup>& call,
                 const std::string& object) {
  call->stores.objects.get(object, [call](absl::StatusOr<std::string> bytes) {
    if (!bytes.ok()) return call->done(bytes.status());
    const auto records = parse_results(*bytes);
    if (!records.ok()) return call->done(records.status());
    for (const auto& it : *records) {
      if (it.request_id == call->request_id) return call->done(it);
    }
    call->done(damaged());
  });
}

/// An index row's value is the object's name, a line feed, and the 16 digits
/// of each id's unique number.
bool lists_id(std::string_view value, std::string_view unique) {
  const auto begin = value.find('\n');
  if (begin == std::string_view::npos) return false;
  value.remove_prefix(begin + 1);
  for (; value.size() >= unique_digits; value.remove_prefix(unique_digits)) {
    if (value.starts_with(unique)) return true;
  }
  return false;
}

void scan_index(const std::shared_ptr<lookup>& call, const std::string& after) {
  call->stores.table.scan(
      call->prefix, after, index_page,
      [call](absl::StatusOr<std::vector<table_row>> page) {
        if (!page.ok()) return call->done(page.status());
        for (const auto& it : *page) {
          if (!lists_id(it.value, call->unique)) continue;
          return read_object(call, it.value.substr(0, it.value.find('\n')));
        }
        if (page->size() < index_page) return call->done(no_result());
        scan_index(call, page->back().key);
      });
}

}  // namespace

std::string key_part(std::string_view text) {
  constexpr std::string_view digits = "0123456789ABCDEF";
  auto out = std::string();
  for (const auto c : text) {
    if (safe_in_key(c)) {
      out += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out += '%';
    out += digits[byte >> 4U];
    out += digits[byte & 15U];
  }
  return out;
}

std::string claim_value(const claim_record& claim) {
  return concat(claim.claimant, '\n', claim.value);
}

claim_outcome parse_claim(std::string_view value, std::string_view claimant) {
  const auto end = std::min(value.find('\n'), value.size());
  auto out = claim_outcome();
  out.claimant = std::string(value.substr(0, end));
  out.granted = out.claimant == claimant;
  if (end < value.size()) out.value = std::string(value.substr(end + 1));
  return out;
}

std::string result_prefix(std::string_view data_centre, std::uint64_t minute) {
  return concat("result/", key_part(data_centre), '/',
                padded(minute, minute_digits), '/');
}

std::string result_row_key(std::string_view data_centre, std::uint64_t minute,
                           std::uint64_t sequence) {
  return concat(result_prefix(data_centre, minute), padded(sequence));
}

std::string result_head_key(std::string_view data_centre) {
  return concat("result-head/", key_part(data_centre));
}

}  // namespace detail

std::string make_request_id(std::string_view data_centre, instant start,
                            std::uint64_t unique) {
  const auto minute =
      std::chrono::duration_cast<std::chrono::minutes>(start).count();
  return concat(detail::id_prefix, minute, '_', hex(unique), '_', data_centre);
}

std::optional<request_id_parts> parse_request_id(std::string_view id) {
  if (!id.starts_with(detail::id_prefix)) return std::nullopt;
  id.remove_prefix(detail::id_prefix.size());
  const auto first = id.find('_');
  const auto second = first + 1 + detail::unique_digits;
  if (first == std::string_view::npos || second + 1 >= id.size()) {
    return std::nullopt;
  }
  if (id[second] != '_') return std::nullopt;
  auto parts = request_id_parts();
  const auto unique = id.substr(first + 1, detail::unique_digits);
  if (!detail::read_number(id.substr(0, first), 10, parts.minute) ||
      !detail::read_number(unique, 16, parts.unique)) {
    return std::nullopt;
  }
  parts.data_centre = std::string(id.substr(second + 1));
  return parts;
}

void append_result(const result_record& record, std::string& out) {
  auto header = boost::json::object();
  header["id"] = record.request_id;
  header["caller"] = record.caller;
  header["code"] = std::string(name_in(error_code_names, record.code));
  header["outcome"] = std::string(name_in(outcome_names, record.what));
  header["status"] = record.status;
  header["type"] = record.content_type;
  header["started"] = record.started.count();
  header["finished"] = record.finished.count();
  header["bytes"] = record.body.size();
  out += boost::json::serialize(header);
  out += '\n';
  out += record.body;
  out += '\n';
}

absl::StatusOr<std::vector<result_record>> parse_results(
    std::string_view bytes) {
  auto out = std::vector<result_record>();
  try {
    while (!bytes.empty()) {
      if (!detail::take_result(bytes, out)) return detail::damaged();
    }
  } catch (const std::exception&) {
    return detail::damaged();
  }
  return out;
}

void find_result(const platform_stores& stores, const std::string& request_id,
                 callback<result_record> done) {
  const auto parts = parse_request_id(request_id);
  if (!parts) {
    return done(make_error(error_code::bad_request, "not a request id"));
  }
  auto call = std::make_shared<detail::lookup>();
  call->stores = stores;
  call->request_id = request_id;
  call->prefix = detail::result_prefix(parts->data_centre, parts->minute);
  call->unique = hex(parts->unique);
  call->done = std::move(done);
  detail::scan_index(call, "");
}

std::string claim_key(claim_kind kind, std::string_view subject) {
  return concat(name_in(claim_kind_names, kind), '/',
                detail::key_part(subject));
}

void find_claim(const platform_stores& stores, const claim_record& claim,
                callback<claim_outcome> done) {
  stores.table.read(
      claim_key(claim.kind, claim.subject),
      [claimant = claim.claimant,
       done = std::move(done)](absl::StatusOr<table_row> row) {
        if (!row.ok()) return done(row.status());
        if (row->version == 0) {
          return done(make_error(error_code::not_found, "nobody holds it"));
        }
        done(detail::parse_claim(row->value, claimant));
      });
}

}  // namespace fulmar
