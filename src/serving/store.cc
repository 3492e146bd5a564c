#include "fulmarpitch/serving/store.h"

#include <algorithm>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"

namespace fulmar::serving {
namespace {

/// Names of fields, quotes and the version of one entry.
constexpr std::size_t entry_overhead = 96;

/// The parts of a transaction's encoded form that no entry accounts for.
constexpr std::size_t transaction_overhead = 128;

std::size_t base64_size(std::size_t bytes) {
  constexpr std::size_t group = 3;
  constexpr std::size_t encoded_group = 4;
  return (bytes + group - 1) / group * encoded_group;
}

std::size_t size_of(const row_name& it) {
  return it.table.size() + it.part.size() + it.key.size() + entry_overhead;
}

absl::Status too_large(std::string_view what, std::size_t size,
                       std::size_t limit) {
  return make_error(error_code::too_large,
                    concat(what, " ", size, ", the store allows ", limit));
}

absl::Status check_name(const row_name& it, const std::string& part,
                        const store_limits& limits) {
  auto longest = std::max({it.table.size(), it.part.size(), it.key.size()});
  if (longest > limits.name_bytes)
    return too_large("a row's name has a text of length", longest,
                     limits.name_bytes);
  if (it.part != part)
    return make_error(error_code::bad_request,
                      "a transaction covers rows of several parts");
  return absl::OkStatus();
}

}  // namespace

std::size_t max_value_bytes(const store_limits& limits) {
  constexpr std::size_t group = 3;
  constexpr std::size_t encoded_group = 4;
  constexpr std::size_t values_per_call = 2;
  auto most = std::min(limits.row_bytes, limits.call_bytes / values_per_call);
  return most / encoded_group * group;
}

std::size_t entries_of(const row_transaction& it) {
  return it.expected.size() + it.writes.size() + it.removals.size();
}

std::size_t encoded_size(const row_transaction& it) {
  auto out = transaction_overhead;
  for (const auto& row : it.expected)
    out += size_of(row.name);
  for (const auto& row : it.writes)
    out += size_of(row.name) + base64_size(row.value.size());
  for (const auto& row : it.removals)
    out += size_of(row);
  return out;
}

bool has_room(const row_transaction& it, const written_row& next,
              const store_limits& limits) {
  auto size =
      encoded_size(it) + size_of(next.name) + base64_size(next.value.size());
  return entries_of(it) < limits.entries && size <= limits.call_bytes;
}

absl::Status check_limits(const row_transaction& it,
                          const store_limits& limits) {
  if (auto n = entries_of(it); n > limits.entries)
    return too_large("a transaction's entries are", n, limits.entries);
  if (auto n = encoded_size(it); n > limits.call_bytes)
    return too_large("a transaction's bytes are", n, limits.call_bytes);
  auto part = std::string();
  if (!it.expected.empty()) {
    part = it.expected.front().name.part;
  } else if (!it.writes.empty()) {
    part = it.writes.front().name.part;
  } else if (!it.removals.empty()) {
    part = it.removals.front().part;
  }
  auto out = absl::OkStatus();
  for (const auto& row : it.expected)
    out.Update(check_name(row.name, part, limits));
  for (const auto& row : it.removals)
    out.Update(check_name(row, part, limits));
  for (const auto& row : it.writes) {
    out.Update(check_name(row.name, part, limits));
    if (auto n = base64_size(row.value.size()); n > limits.row_bytes)
      out.Update(too_large("a row's value has", n, limits.row_bytes));
  }
  return out;
}

bool is_refusal(const absl::Status& it) {
  auto code = code_of(it);
  return code == error_code::bad_request || code == error_code::too_large;
}

}  // namespace fulmar::serving
