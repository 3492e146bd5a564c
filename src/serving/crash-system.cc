#include "crash-system.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <utility>

#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/rendezvous.h"
#include "fulmarpitch/core/text.h"
#include "platform/names.h"
#include "platform/prompt-parts.h"

namespace fulmar::serving {
namespace {

/// Delay after a failed write; store outages last seconds.
constexpr auto write_retry_delay = std::chrono::milliseconds(250);

/// Maximum rows per transaction; the store accepts 100.
constexpr std::size_t max_transaction_rows = 100;

/// Maximum rows queued for the store. Beyond it the oldest are dropped; their
/// events stay in this daemon's memory.
constexpr std::size_t max_queued_rows = 4096;

row_name crash_row_name(std::string key) {
  return {.table = crash_table, .key = std::move(key)};
}

std::string encode_time(const front& in, instant at) {
  if (!in.store_clock_offset) return {};
  return concat((at + *in.store_clock_offset).count());
}

/// \return a row's time on the steady clock, or the current time if the row has
///     none.
instant decode_time(const front& in, std::string_view value) {
  auto now = event_loop::steady();
  auto count = std::int64_t{0};
  auto text = absl::string_view(value.data(), value.size());
  if (!in.store_clock_offset || !absl::SimpleAtoi(text, &count)) return now;
  return std::min(instant(count) - *in.store_clock_offset, now);
}

void queue_row(front& in, crash_row_change it) {
  auto& pending = in.crash_rows.pending;
  if (pending.size() >= max_queued_rows) {
    in.log.add("crash_row_dropped", {{"key", pending.front().key}});
    pending.pop_front();
  }
  pending.push_back(std::move(it));
}

void record_and_queue(front& in, const crash_event& it) {
  note_event(in.crashes, it);
  queue_row(in, {.key = crash_key(it), .value = encode_time(in, it.at)});
}

task<void> write_rows(front& in, std::vector<crash_row_change> changes) {
  auto transaction = row_transaction();
  for (const auto& it : changes) {
    auto name = crash_row_name(it.key);
    if (it.removed) {
      transaction.removals.push_back(std::move(name));
    } else {
      transaction.writes.push_back(
          {.name = std::move(name), .value = it.value});
    }
  }
  auto result = co_await in.store.commit(std::move(transaction));
  auto& rows = in.crash_rows;
  rows.writing = false;
  if (result.ok() && result->committed) {
    rows.max_changes = max_transaction_rows;
    co_return;
  }
  auto refused = !result.ok() && is_refusal(result.status());
  rows.max_changes = refused ? std::max<std::size_t>(changes.size() / 2, 1)
                             : max_transaction_rows;
  // A row that is refused alone holds up the others.
  auto dropped = refused && changes.size() == 1;
  // Writing the rows again is harmless if the store did commit them.
  if (!dropped) {
    rows.pending.insert(rows.pending.begin(),
                        std::make_move_iterator(changes.begin()),
                        std::make_move_iterator(changes.end()));
  }
  rows.retry_after = event_loop::steady() + write_retry_delay;
  auto why = result.ok() ? std::string("the store rejected the transaction")
                         : std::string(result.status().message());
  in.log.add("crash_rows_not_written",
             {{"rows", std::uint64_t{rows.pending.size()}},
              {"dropped", dropped},
              {"why", why}});
}

/// Identifies one end of a target. Several requests with the same content may
/// run there, but each run of the target ends only once.
std::uint64_t end_number(std::string_view request, const target& to) {
  auto start = to.started_ms > 0 ? to.started_ms : stable_hash(request);
  return mix_hash(stable_hash(to.id), start);
}

void log_held(front& in, std::uint64_t content, std::string_view request,
              const run_permit& permit) {
  // The record may have expired during the call to the store.
  auto found = in.crashes.records.find(content);
  auto it = found == in.crashes.records.end() ? crash_record() : found->second;
  in.log.add("request_held",
             {{"request_id", request},
              {"content", hex(content)},
              {"ends", std::uint64_t{it.ends.size()}},
              {"trials", std::uint64_t{it.trials}},
              {"retry_after_us", std::int64_t{permit.retry_after.count()}}});
}

/// Claims a trial in the store, unless another daemon has claimed it.
task<bool> claim_trial(front& in, crash_event trial) {
  auto name = crash_row_name(crash_key(trial));
  auto change = row_transaction();
  change.expected.push_back({.name = name});
  change.writes.push_back(
      {.name = std::move(name), .value = encode_time(in, trial.at)});
  auto result = co_await in.store.commit(std::move(change));
  auto known = result.ok();
  auto taken = known && result->committed;
  // Without a reply it is unknown whether the write was committed.
  if (known) note_event(in.crashes, trial);
  in.log.add("trial", {{"content", hex(trial.key)},
                       {"number", trial.number},
                       {"store_answered", known},
                       {"taken", taken}});
  co_return taken;
}

/// Grants a trial of a part without the store.
void grant_trial(front& in, const crash_event& trial) {
  record_and_queue(in, trial);
  in.log.add("trial", {{"content", hex(trial.key)},
                       {"number", trial.number},
                       {"store_answered", false},
                       {"taken", true}});
}

std::string format_keys(const std::vector<std::uint64_t>& keys) {
  auto out = std::string();
  for (auto it : keys)
    out += concat(out.empty() ? "" : ",", hex(it));
  return out;
}

}  // namespace

crash_causes crash_causes_of(const http_request& request) {
  return {.content = content_key(request.method, request.target, request.body),
          .parts = part_keys_of(request.headers)};
}

std::vector<std::uint64_t> part_keys_of(
    const std::vector<http_header>& headers) {
  auto out = std::vector<std::uint64_t>();
  auto model = find_header(headers, platform::header::model);
  for (const auto& it : platform::shared_prompt_parts(headers))
    out.push_back(part_key(model, it));
  return out;
}

void note_target_end(front& in, const target_end& it) {
  const auto& causes = it.causes;
  auto end = end_number(it.request, it.to);
  auto sound = is_sound(in.crashes, causes.content);
  if (!sound)
    record_and_queue(in, {.key = causes.content, .number = end, .at = it.at});
  // Recording the parts may evict this record.
  auto ends = in.crashes.records.at(causes.content).ends.size();
  auto parts = parts_to_record(in.crashes, causes.parts, it.at);
  for (auto part : parts)
    record_and_queue(in, {.key = part, .number = end, .at = it.at});
  in.log.add("target_ended", {{"request_id", it.request},
                              {"content", hex(causes.content)},
                              {"parts", format_keys(causes.parts)},
                              {"parts_recorded", format_keys(parts)},
                              {"target", it.to.id},
                              {"ends", std::uint64_t{ends}},
                              {"sound", sound}});
}

void note_target_silence(front& in, target_end it) {
  in.log.add("target_silent", {{"request_id", it.request},
                               {"content", hex(it.causes.content)},
                               {"target", it.to.id}});
  if (note_silence(in.silences, std::move(it)))
    in.log.add("target_silence_forgotten", {});
}

void note_ends_of_silent_targets(front& in, instant now) {
  for (const auto& it : take_ended(in.silences, in.targets, now))
    note_target_end(in, it);
}

void note_answer(front& in, std::uint64_t content) {
  if (!in.crashes.records.contains(content) || is_sound(in.crashes, content))
    return;
  record_and_queue(in, {.key = content,
                        .kind = crash_event_kind::sound,
                        .at = event_loop::steady()});
  in.log.add("content_sound", {{"content", hex(content)}});
}

void note_parts_answered(front& in, const std::vector<std::uint64_t>& parts) {
  auto now = event_loop::steady();
  for (auto part : parts) {
    if (!note_part_answer(in.crashes, part, now)) continue;
    record_and_queue(
        in, {.key = part, .kind = crash_event_kind::answer, .at = now});
    in.log.add("part_answered", {{"part", hex(part)}});
  }
}

task<run_permit> acquire_run_permit(front& in, crash_causes causes,
                                    std::string request) {
  auto keys = std::move(causes.parts);
  keys.insert(keys.begin(), causes.content);
  auto now = event_loop::steady();
  auto trials = std::vector<crash_event>();
  for (auto key : keys) {
    auto permit = decide_run(in.crashes, key, now);
    if (permit.what == run_permit::kind::held) {
      log_held(in, key, request, permit);
      co_return permit;
    }
    if (permit.what != run_permit::kind::trial) continue;
    const auto& options = in.crashes.options;
    auto most = key == causes.content ? options.trial_delays.size()
                                      : options.max_trials;
    ensure(permit.trial < most, invariant::limit_holds,
           "a content or a part has more trials than allowed");
    trials.push_back({.key = key,
                      .kind = crash_event_kind::trial,
                      .number = permit.trial,
                      .at = now});
  }
  for (const auto& it : trials) {
    auto taken = false;
    // Without the store nobody else can clear a part that was only unlucky.
    if (it.key != causes.content && store_lost(in)) {
      grant_trial(in, it);
      taken = true;
    } else {
      taken = co_await claim_trial(in, it);
    }
    if (taken) continue;
    auto permit =
        run_permit{.what = run_permit::kind::held,
                   .retry_after = in.crashes.options.trial_delays.front()};
    log_held(in, it.key, request, permit);
    co_return permit;
  }
  co_return run_permit{.what = trials.empty() ? run_permit::kind::free
                                              : run_permit::kind::trial};
}

void apply_crash_rows(front& in, const std::vector<stored_row>& rows) {
  for (const auto& it : rows) {
    auto event = parse_crash_key(it.name.key);
    // Removals are ignored: the record expires here at about the same time.
    if (!event || it.removed) continue;
    event->at = decode_time(in, it.value);
    note_event(in.crashes, *event);
  }
}

void write_crash_rows(front& in, instant now) {
  auto& rows = in.crash_rows;
  if (rows.writing || rows.pending.empty() || now < rows.retry_after) return;
  rows.writing = true;
  auto n =
      std::min({rows.pending.size(), max_transaction_rows, rows.max_changes});
  auto end = rows.pending.begin() + static_cast<std::ptrdiff_t>(n);
  auto changes = std::vector(std::make_move_iterator(rows.pending.begin()),
                             std::make_move_iterator(end));
  rows.pending.erase(rows.pending.begin(), end);
  asio::co_spawn(in.io, write_rows(in, std::move(changes)), report_failure);
}

void forget_crashes(front& in, instant now) {
  auto keys = expire_records(in.crashes, now);
  if (keys.empty()) return;
  auto members = live_members(in.board, "", now);
  members.push_back(in.settings.name);
  for (auto& it : keys) {
    if (rendezvous_owner(it, members) != in.settings.name) continue;
    queue_row(in, {.key = std::move(it), .removed = true});
  }
}

}  // namespace fulmar::serving
