#include "fulmarpitch/serving/jobs.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/url.h"
#include "platform/json-fields.h"

namespace fulmar::serving {
namespace {

namespace json = boost::json;

/// Width to which numbers in keys are padded, so that keys sort by number.
constexpr std::size_t key_digits = 5;

std::string numbered_key(const job_row& job, std::uint32_t number) {
  return concat(job.id, "/", padded(number, key_digits));
}

constexpr std::string_view gate_prefix = "gate/";

/// The key goes on with the route and the team, both percent-encoded, so that
/// the mark between them stands in neither.
constexpr std::string_view team_gate_prefix = "team-gate/";
constexpr std::string_view team_mark = ":";

absl::Status malformed(const row_name& name) {
  return make_error(error_code::bad_request,
                    concat("row ", name.table, "/", name.key, " is malformed"));
}

std::string counter_key(const row_name& it) {
  return concat(it.part, " ", it.key);
}

bool apply_quota_counter(job_book& book, const stored_row& it) {
  auto key = std::string_view(it.name.key);
  if (!key.starts_with(gate_prefix) && !key.starts_with(team_gate_prefix))
    return false;
  auto& quota_counter = book.quota_counters[counter_key(it.name)];
  if (it.version <= quota_counter.version) return true;
  auto tokens = std::uint64_t{0};
  if (!absl::SimpleAtoi(it.value, &tokens)) return true;
  quota_counter = {.accepted_tokens = tokens, .version = it.version};
  return true;
}

}  // namespace

std::string quota_counter_key(const quota_scope& it) {
  return counter_key(quota_counter_row_name(it));
}

std::string encode_job(const job_row& it) {
  auto listed = json::array();
  for (auto item : it.listed)
    listed.push_back(item);
  auto out = json::object{{"route", it.route},
                          {"items", it.items},
                          {"waiting_tokens", it.waiting_tokens},
                          {"accepted_us", it.accepted.count()},
                          {"owner", it.owner.name},
                          {"owner_dc", it.owner.data_centre},
                          {"listed", std::move(listed)},
                          {"ended", it.ended},
                          {"object", it.object}};
  if (!it.team.empty()) out["team"] = it.team;
  return json::serialize(out);
}

absl::StatusOr<job_row> decode_job(const stored_row& from) {
  auto fields = platform::parse_object(from.value);
  if (!fields.ok()) return malformed(from.name);
  auto out = job_row{
      .id = from.name.key,
      .host = from.name.part,
      .route = platform::text_field(*fields, "route"),
      .team = platform::text_field(*fields, "team"),
      .items =
          static_cast<std::uint32_t>(platform::count_field(*fields, "items")),
      .waiting_tokens = platform::count_field(*fields, "waiting_tokens"),
      .accepted = instant(platform::count_field(*fields, "accepted_us")),
      .owner = {.name = platform::text_field(*fields, "owner"),
                .data_centre = platform::text_field(*fields, "owner_dc")},
      .object = platform::text_field(*fields, "object"),
      .version = from.version,
  };
  out.ended = platform::flag_field(*fields, "ended");
  const auto* listed = platform::field(*fields, "listed");
  if (out.route.empty() || out.items == 0 || listed == nullptr ||
      !listed->is_array()) {
    return malformed(from.name);
  }
  for (const auto& it : listed->get_array()) {
    auto ec = boost::system::error_code();
    auto item = it.to_number<std::uint32_t>(ec);
    if (ec || item >= out.items) return malformed(from.name);
    out.listed.push_back(item);
  }
  return out;
}

row_name job_row_name(const job_row& it) {
  return {.table = job_table::jobs, .part = it.host, .key = it.id};
}

row_name result_row_name(const job_row& it, std::uint32_t position) {
  return {.table = job_table::results,
          .part = it.host,
          .key = numbered_key(it, position)};
}

std::string body_object_name(const std::string& job, std::uint64_t incarnation,
                             std::uint64_t submission) {
  return concat("job-", job, "-", incarnation, "-", submission);
}

row_name progress_row_name(const job_row& it, std::uint32_t item) {
  return {.table = job_table::partials,
          .part = it.host,
          .key = numbered_key(it, item)};
}

row_name output_row_name(const job_row& it, std::uint32_t item,
                         std::uint32_t piece) {
  return {
      .table = job_table::outputs,
      .part = it.host,
      .key = concat(numbered_key(it, item), "/", padded(piece, key_digits))};
}

row_range output_rows_of(const job_row& it, std::uint32_t item) {
  return {.table = job_table::outputs,
          .part = it.host,
          .from = concat(numbered_key(it, item), "/"),
          .to = concat(numbered_key(it, item), "0")};
}

row_range rows_of(const char* table, const job_row& job) {
  return {.table = table,
          .part = job.host,
          .from = concat(job.id, "/"),
          // '0' is the byte after '/', so the range covers all "id/..." keys.
          .to = concat(job.id, "0")};
}

row_range results_from(const job_row& it, std::uint32_t position) {
  auto out = rows_of(job_table::results, it);
  out.from = numbered_key(it, position);
  return out;
}

std::string encode_result(const item_result& it) {
  auto pieces =
      it.pieces > 0 ? concat(" ", it.pieces, " ", it.item) : std::string();
  return concat(name_in(item_end_names, it.end), pieces, "\n", it.id, "\n",
                it.output);
}

absl::StatusOr<item_result> decode_result(std::string_view text) {
  auto first = text.find('\n');
  auto second =
      first == std::string_view::npos ? first : text.find('\n', first + 1);
  if (second == std::string_view::npos)
    return make_error(error_code::bad_request, "malformed result");
  auto fields = std::vector<std::string>(
      absl::StrSplit(absl::string_view(text.data(), first), ' '));
  constexpr std::size_t fields_with_pieces = 3;
  auto end = value_in(item_end_names, fields[0]);
  if (!end)
    return make_error(error_code::bad_request, "result with unknown end");
  auto out =
      item_result{.id = std::string(text.substr(first + 1, second - first - 1)),
                  .end = *end,
                  .output = std::string(text.substr(second + 1))};
  if (fields.size() == 1) return out;
  if (fields.size() != fields_with_pieces ||
      !absl::SimpleAtoi(fields[1], &out.pieces) ||
      !absl::SimpleAtoi(fields[2], &out.item))
    return make_error(error_code::bad_request, "malformed result");
  return out;
}

std::string encode_progress(const item_progress& it) {
  return concat(it.last_event, " ", it.failures, " ",
                percent_encode(it.origin.service), " ",
                percent_encode(it.origin.version), "\n", it.output);
}

absl::StatusOr<item_progress> decode_progress(std::string_view text) {
  auto end = text.find('\n');
  auto fields = std::vector<std::string>(absl::StrSplit(
      absl::string_view(text.data(), std::min(end, text.size())), ' '));
  auto out = item_progress();
  constexpr std::size_t field_count = 4;
  // Rows of earlier releases do not have the last two.
  constexpr std::size_t min_field_count = 2;
  auto complete =
      fields.size() == field_count || fields.size() == min_field_count;
  if (end == std::string_view::npos || !complete ||
      !absl::SimpleAtoi(fields[0], &out.last_event) ||
      !absl::SimpleAtoi(fields[1], &out.failures)) {
    return make_error(error_code::bad_request, "malformed progress");
  }
  if (fields.size() == field_count) {
    auto service = percent_decode(fields[2]);
    auto version = percent_decode(fields[3]);
    if (!service || !version)
      return make_error(error_code::bad_request, "malformed progress");
    out.origin = {.service = std::move(*service),
                  .version = std::move(*version)};
  }
  out.output = text.substr(end + 1);
  return out;
}

row_name quota_counter_row_name(const quota_scope& it) {
  auto key = concat(gate_prefix, it.route);
  if (it.team && !it.team->empty())
    key = concat(team_gate_prefix, percent_encode(it.route), team_mark,
                 percent_encode(*it.team));
  return {.table = job_table::jobs, .part = it.host, .key = std::move(key)};
}

std::string encode_quota_counter(std::uint64_t accepted_tokens) {
  return std::to_string(accepted_tokens);
}

std::optional<std::string> take_job_row(job_book& book, const stored_row& it) {
  if (apply_quota_counter(book, it)) return std::nullopt;
  auto known = book.jobs.find(it.name.key);
  if (known != book.jobs.end() && known->second.version >= it.version)
    return it.name.key;
  if (it.removed) {
    book.jobs.erase(it.name.key);
    return it.name.key;
  }
  auto job = decode_job(it);
  if (!job.ok()) return std::nullopt;
  book.jobs[job->id] = std::move(*job);
  return it.name.key;
}

const job_row* find_job(const job_book& book, const std::string& id) {
  auto it = book.jobs.find(id);
  return it == book.jobs.end() ? nullptr : &it->second;
}

std::uint64_t waiting_tokens(const job_book& book, const quota_scope& scope) {
  auto out = std::uint64_t{0};
  for (const auto& [id, it] : book.jobs) {
    auto counts = it.open() && it.host == scope.host &&
                  it.route == scope.route &&
                  (!scope.team || it.team == *scope.team);
    if (counts) out += it.waiting_tokens;
  }
  return out;
}

submission_verdict judge_submission(const job_book& book, const std::string& id,
                                    const quota_scope& scope,
                                    std::uint64_t limit,
                                    std::uint64_t accepted_tokens,
                                    std::uint64_t tokens) {
  if (find_job(book, id) != nullptr) return submission_verdict::known;
  if (limit == 0) return submission_verdict::fits;
  auto waiting = waiting_tokens(book, scope);
  auto seen = std::uint64_t{0};
  if (auto it = book.quota_counters.find(quota_counter_key(scope));
      it != book.quota_counters.end())
    seen = it->second.accepted_tokens;
  // Includes jobs that other daemons accepted and the book does not have yet.
  if (accepted_tokens > seen) waiting += accepted_tokens - seen;
  return waiting + tokens <= limit ? submission_verdict::fits
                                   : submission_verdict::over_limit;
}

row_transaction job_change(const job_row& before, const job_row& after) {
  return {
      .expected = {{.name = job_row_name(before), .version = before.version}},
      .writes = {{.name = job_row_name(before), .value = encode_job(after)}}};
}

bool is_expired(const job_row& it, instant store_now, instant lifetime) {
  // Covers the delay between submission and acceptance as well as reads that
  // are in flight.
  constexpr auto margin = std::chrono::seconds(30);
  return !it.open() && store_now > it.accepted + lifetime + margin;
}

row_transaction removal(const job_row& job, std::vector<row_name> rows,
                        bool whole) {
  // The store allows 100 entries per transaction, including the condition and
  // the job's own row.
  constexpr std::size_t max_rows = 98;
  auto last = whole && rows.size() <= max_rows;
  if (rows.size() > max_rows) rows.resize(max_rows);
  if (last) rows.push_back(job_row_name(job));
  return {.expected = {{.name = job_row_name(job), .version = job.version}},
          .removals = std::move(rows)};
}

row_transaction acceptance(
    const job_row& job,
    const std::optional<job_book::quota_counter>& quota_counter,
    std::uint64_t tokens, std::string_view body, std::size_t piece_bytes) {
  auto out = row_transaction{
      .expected = {{.name = job_row_name(job)}},
      .writes = {{.name = job_row_name(job), .value = encode_job(job)}}};
  if (quota_counter) {
    auto row = quota_counter_row_name(
        {.host = job.host, .route = job.route, .team = job.team});
    out.expected.push_back({.name = row, .version = quota_counter->version});
    out.writes.push_back({.name = row,
                          .value = encode_quota_counter(
                              quota_counter->accepted_tokens + tokens)});
  }
  for (auto piece = std::uint32_t{0}; !body.empty(); ++piece) {
    auto n = std::min(piece_bytes, body.size());
    out.writes.push_back({.name = {.table = job_table::bodies,
                                   .part = job.host,
                                   .key = numbered_key(job, piece)},
                          .value = std::string(body.substr(0, n))});
    body.remove_prefix(n);
  }
  return out;
}

}  // namespace fulmar::serving
