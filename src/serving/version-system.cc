#include "version-system.h"

#include <algorithm>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/rendezvous.h"
#include "fulmarpitch/core/text.h"
#include "platform/names.h"
#include "table-follower.h"

namespace fulmar::serving {
namespace {

/// Clients come back within their time limit; this one holds if none is known.
constexpr auto max_resume_time = std::chrono::seconds(60);

/// Maximum rows per transaction; the store accepts 100.
constexpr std::size_t max_transaction_rows = 98;

/// Shortest pause between two writes of a daemon, for each live daemon: all
/// together make at most 500 writes a second. A stream lasts half a second, and
/// its row has to be written when its client comes back.
constexpr auto write_interval_per_member = std::chrono::milliseconds(2);

/// Interval of checking whether streams have to be recorded, while none has.
constexpr auto record_check_interval = std::chrono::milliseconds(40);

/// Delay after a failed call; store outages last seconds.
constexpr auto store_retry_interval = std::chrono::milliseconds(250);

/// Delay after a call that the store refuses however often it is made.
constexpr auto refused_retry_interval = std::chrono::seconds(10);

/// Interval at which the reader of the targets reads the rows of versions.
constexpr auto refresh_interval = std::chrono::seconds(5);

/// Interval of looking for outdated rows of streams, and their retention.
constexpr auto removal_interval = std::chrono::seconds(30);
constexpr auto row_retention = 2 * max_resume_time;

/// How long a version is remembered that has no targets any more.
constexpr auto version_retention = std::chrono::minutes(10);

instant observed_resume_time(const front& in) {
  auto out = instant();
  for (const auto& it : in.configuration->routes) {
    if (!it.resumable) continue;
    auto unlimited = it.timeout.count() == 0;
    out = std::max(out, unlimited ? instant(max_resume_time) : it.timeout);
    if (auto limit = in.time_limits.find(it.name);
        limit != in.time_limits.end())
      out = std::max(out, longest_time_limit(limit->second));
  }
  return std::min<instant>(out, max_resume_time);
}

version_bounds bounds_of(const front& in) {
  return {.resume_time = in.versions.resume_time};
}

/// \return whether requests of a route may have gone to another service since a
///     stream began that a client resumes now.
bool has_moved_routes(const front& in, instant now, instant lag) {
  const auto& moved = in.versions.routes_moved;
  return moved && now - *moved <= in.versions.resume_time + lag;
}

/// \return whether the daemon knows which versions were listed, as far as the
///     lag of the list allows.
bool knows_versions(const front& in, instant now) {
  auto age = now - in.feeds.targets.confirmed;
  return in.versions.read && in.targets_known &&
         age <= version_bounds().max_list_lag;
}

bool must_record(const front& in, const std::string& service, instant now) {
  return !knows_versions(in, now) ||
         has_moved_routes(in, now, 2 * version_bounds().max_list_lag) ||
         must_record(in.versions.history, service, bounds_of(in), now);
}

/// \return the only version that may have begun a stream of a service, as far
///     as this daemon knows; nothing if it cannot tell.
std::optional<std::string> conclude_version(const front& in,
                                            const std::string& service) {
  auto now = event_loop::steady();
  if (!knows_versions(in, now) ||
      has_moved_routes(in, now, version_bounds().max_list_lag))
    return std::nullopt;
  return only_version(in.versions.history, service, bounds_of(in), now);
}

/// Reads a stream's row.
/// \return the stream; `not_found` only if the store has no row.
task<absl::StatusOr<recorded_stream>> read_begun(front& in, std::string id) {
  auto name = begun_row_name(id);
  auto range = row_range{.table = name.table,
                         .part = name.part,
                         .from = id,
                         .to = id + '\0',
                         .limit = 1};
  auto page = co_await in.store.read(std::move(range));
  if (page.ok() && page->rows.empty())
    co_return make_error(error_code::not_found, "no such stream in the store");
  auto stream = page.ok() ? decode_begun(page->rows.front().value)
                          : absl::StatusOr<recorded_stream>(page.status());
  if (!stream.ok()) {
    auto why = std::string(stream.status().message());
    in.log.add("begun_stream_not_read", {{"request_id", id}, {"why", why}});
  }
  co_return stream;
}

task<void> write_rows(front& in, std::vector<std::string> ids) {
  auto transaction = row_transaction();
  for (const auto& id : ids) {
    auto it = in.begun.rows.find(id);
    if (it == in.begun.rows.end()) continue;
    auto at = it->second.at + in.store_clock_offset.value_or(instant{});
    auto value = encode_begun({.origin = it->second.origin, .at = at});
    transaction.writes.push_back(
        {.name = begun_row_name(id), .value = std::move(value)});
  }
  auto result = co_await in.store.commit(std::move(transaction));
  auto now = event_loop::steady();
  auto members = live_members(in.board, "", now).size() + 1;
  in.versions.writing_streams = false;
  in.versions.next_stream_write =
      now + write_interval_per_member * static_cast<std::int64_t>(members);
  if (result.ok() && result->committed) {
    in.versions.max_stream_rows = max_transaction_rows;
    co_return;
  }
  auto refused = !result.ok() && is_refusal(result.status());
  auto& most = in.versions.max_stream_rows;
  most =
      refused ? std::max<std::size_t>(ids.size() / 2, 1) : max_transaction_rows;
  // A stream that is refused alone holds up the others.
  auto dropped = refused && ids.size() == 1;
  if (!dropped) put_back(in.begun, ids);
  in.versions.next_stream_write = now + store_retry_interval;
  auto why = result.ok() ? std::string("the store rejected the transaction")
                         : std::string(result.status().message());
  in.log.add("begun_streams_not_written",
             {{"streams", std::uint64_t{ids.size()}},
              {"dropped", dropped},
              {"why", why}});
}

/// Applies a version's row.
/// \param at_start a version that is not known to have left may serve now.
void apply_version(front& in, const stored_row& row, bool at_start) {
  auto it = decode_version(row.value);
  if (!it.ok()) {
    auto why = std::string(it.status().message());
    in.log.add("version_row_refused", {{"key", row.name.key}, {"why", why}});
    return;
  }
  auto now = event_loop::steady();
  auto offset = in.store_clock_offset.value_or(instant{});
  auto left = it->left ? std::min(*it->left - offset, now) : now;
  if (it->left || at_start) note_listed(in.versions.history, it->origin, left);
  in.versions.recorded[it->origin] = it->left;
}

/// Reads all rows of versions.
task<bool> read_version_rows(front& in, bool at_start) {
  auto range = row_range{.table = version_table, .part = version_part};
  for (auto first = true;; first = false) {
    auto asked = event_loop::steady();
    auto page = co_await in.store.read(range);
    if (!page.ok()) co_return false;
    take_store_time(in, page->now, asked);
    if (first) in.versions.recorded.clear();
    for (const auto& it : page->rows)
      apply_version(in, it, at_start);
    if (!page->truncated || page->rows.empty()) co_return true;
    range.from = page->rows.back().name.key + '\0';
  }
}

/// Reads the rows again, which another reader may have changed.
task<void> refresh_versions(front& in) {
  auto done = co_await read_version_rows(in, false);
  auto pause = done ? instant(refresh_interval) : instant(store_retry_interval);
  in.versions.next_read = event_loop::steady() + pause;
  in.versions.writing = false;
}

/// Changes of the versions' rows.
struct version_changes {
  std::vector<recorded_version> writes;
  std::vector<stream_origin> removals;

  bool is_full() const {
    return writes.size() + removals.size() >= max_transaction_rows;
  }
};

/// Collects the versions whose row differs from what this daemon observes, and
/// those that left long ago.
version_changes changed_versions(const front& in, instant now) {
  auto out = version_changes();
  auto offset = in.store_clock_offset.value_or(instant{});
  const auto& recorded = in.versions.recorded;
  for (const auto& [origin, at] : in.versions.history.last_listed) {
    if (out.is_full()) return out;
    auto row = recorded.find(origin);
    auto open = row != recorded.end() && !row->second;
    auto listed = now - at <= version_bounds().max_list_lag;
    if (listed && !open) out.writes.push_back({.origin = origin});
    if (!listed && open)
      out.writes.push_back({.origin = origin, .left = at + offset});
  }
  for (const auto& [origin, left] : recorded) {
    if (out.is_full()) return out;
    auto known = in.versions.history.last_listed.contains(origin);
    if (left && !known && now + offset - *left > version_retention)
      out.removals.push_back(origin);
  }
  return out;
}

task<void> write_changes(front& in, version_changes changes) {
  auto transaction = row_transaction();
  for (const auto& it : changes.writes) {
    transaction.writes.push_back(
        {.name = version_row_name(it.origin), .value = encode_version(it)});
  }
  for (const auto& it : changes.removals)
    transaction.removals.push_back(version_row_name(it));
  auto result = co_await in.store.commit(std::move(transaction));
  auto& state = in.versions;
  state.writing = false;
  auto done = result.ok() && result->committed;
  for (const auto& it : changes.writes) {
    if (done) state.recorded[it.origin] = it.left;
    in.log.add("version_recorded", {{"service", it.origin.service},
                                    {"version", it.origin.version},
                                    {"listed", !it.left},
                                    {"done", done}});
  }
  if (!done) {
    auto refused = !result.ok() && is_refusal(result.status());
    state.next_write =
        event_loop::steady() + (refused ? instant(refused_retry_interval)
                                        : instant(store_retry_interval));
    auto why = std::string(result.ok() ? "the store rejected the transaction"
                                       : result.status().message());
    in.log.add("versions_not_written", {{"refused", refused}, {"why", why}});
    co_return;
  }
  for (const auto& it : changes.removals)
    state.recorded.erase(it);
}

/// Removes the outdated rows of one page of the table.
task<void> remove_outdated_streams(front& in) {
  auto range = row_range{.table = begun_table, .part = version_part};
  for (;;) {
    auto page = co_await in.store.read(range);
    if (!page.ok() || page->rows.empty()) co_return;
    auto transaction = row_transaction();
    for (const auto& it : page->rows) {
      auto stream = decode_begun(it.value);
      if (stream.ok() && page->now - stream->at < row_retention) continue;
      if (transaction.removals.size() == max_transaction_rows) break;
      transaction.removals.push_back(it.name);
    }
    auto whole = transaction.removals.size() == max_transaction_rows;
    if (!whole) range.from = page->rows.back().name.key + '\0';
    if (!transaction.removals.empty()) {
      auto result = co_await in.store.commit(std::move(transaction));
      if (!result.ok()) co_return;
    }
    if (!whole && !page->truncated) co_return;
  }
}

}  // namespace

task<known_origin> find_stream_origin(front& in, std::string id,
                                      std::string service) {
  if (const auto* it = find_origin(in.begun, id)) {
    auto out = known_origin{.source = origin_source::remembered, .origin = *it};
    co_return out;
  }
  if (store_lost(in)) co_return known_origin();
  if (!id.empty()) {
    auto row = co_await read_begun(in, id);
    if (row.ok()) {
      auto out = known_origin{.source = origin_source::recorded,
                              .origin = std::move(row->origin)};
      co_return out;
    }
    // Another daemon may have recorded a version that is not listed here yet.
    if (code_of(row.status()) != error_code::not_found)
      co_return known_origin();
  }
  auto version = conclude_version(in, service);
  if (!version) co_return known_origin();
  // The stream may have begun at a version that joined a moment ago.
  auto current = co_await refresh(in, std::string(platform::table::targets));
  if (!current) co_return known_origin();
  version = conclude_version(in, service);
  if (!version) co_return known_origin();
  auto out = known_origin{
      .source = origin_source::only_version,
      .origin = {.service = std::move(service), .version = *version}};
  co_return out;
}

task<void> read_versions(front& in) {
  for (;;) {
    auto done = co_await read_version_rows(in, true);
    if (done) break;
    co_await pause_for(store_retry_interval);
  }
  in.versions.read = true;
}

void observe_versions(front& in, instant now) {
  // A list that is not current counts, too: streams begin on its targets.
  note_listed(in.versions.history, in.targets, now);
  in.versions.resume_time =
      std::max(in.versions.resume_time, observed_resume_time(in));
  forget_versions(in.versions.history, now - version_retention);
}

void write_versions(front& in, instant now) {
  auto& state = in.versions;
  if (state.writing || !knows_versions(in, now) || now < state.next_write)
    return;
  if (!reads_for_others(in.board, in.settings.name, store_lost(in), now))
    return;
  if (now >= state.next_read) {
    state.writing = true;
    asio::co_spawn(in.io, refresh_versions(in), report_failure);
    return;
  }
  auto changes = changed_versions(in, now);
  if (changes.writes.empty() && changes.removals.empty()) return;
  state.writing = true;
  asio::co_spawn(in.io, write_changes(in, std::move(changes)), report_failure);
}

void write_begun_streams(front& in, instant now) {
  auto& state = in.versions;
  if (in.begun.unrecorded.empty()) return;
  if (state.writing_streams || now < state.next_stream_write || store_lost(in))
    return;
  auto ids = take_unrecorded(
      in.begun,
      [&](const std::string& service) { return must_record(in, service, now); },
      std::min(state.max_stream_rows, max_transaction_rows));
  if (ids.empty()) {
    state.next_stream_write = now + record_check_interval;
    return;
  }
  state.writing_streams = true;
  asio::co_spawn(in.io, write_rows(in, std::move(ids)), report_failure);
}

void remove_begun_rows(front& in, instant now) {
  auto bounds = bounds_of(in);
  forget_streams(in.begun, now - bounds.resume_time - 2 * bounds.max_list_lag);
  if (now < in.versions.next_removal || store_lost(in)) return;
  in.versions.next_removal = now + removal_interval;
  auto members = live_members(in.board, "", now);
  members.push_back(in.settings.name);
  if (rendezvous_owner(begun_table, members) != in.settings.name) return;
  asio::co_spawn(in.io, remove_outdated_streams(in), report_failure);
}

}  // namespace fulmar::serving
