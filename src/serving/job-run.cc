#include "fulmarpitch/serving/job-run.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "fulmarpitch/core/invariant.h"

namespace fulmar::serving {
namespace {

/// Bounds the exponent of the backoff, so that the factor cannot overflow.
constexpr std::uint32_t max_backoff_steps = 4;
constexpr std::uint32_t backoff_factor = 4;

/// Outputs up to this size are never dropped for their memory.
constexpr std::size_t min_trimmed_bytes = std::size_t{48} * 1024;

/// Delay before a result that the store refused alone is listed again.
constexpr auto refused_list_delay = std::chrono::seconds(10);

/// Longest text in front of an output in a result's row, without the item's id,
/// and in a progress row, without its origin.
constexpr std::size_t max_result_head = 64;
constexpr std::size_t max_progress_head = 64;

/// Bytes of a percent-encoded one.
constexpr std::size_t percent_encoded_factor = 3;

void mark_listed(job_run& run) {
  for (auto it : run.row.listed) {
    auto& item = run.items[it];
    item.state = item_state::listed;
    item.progress = {};
    item.request.body.clear();
  }
}

void finish(job_item& item, item_end end) {
  item.state = item_state::finished;
  item.end = end;
  if (end == item_end::dead) item.progress = {};
}

void wait(job_item& item, instant until) {
  item.state = item_state::waiting;
  item.not_before = until;
}

/// \return a row that is as long as any later one of the job.
job_row longest_row(job_row it) {
  it.listed.assign(it.items, it.items);
  return it;
}

bool is_listable(const job_item& it, instant now) {
  return it.state == item_state::finished && now >= it.list_after;
}

/// \return the number of rows that an item's output takes apart from its
///     result's row; 0 if it fits there.
std::uint32_t count_pieces(const job_item& it, const store_limits& limits) {
  auto most = max_value_bytes(limits);
  auto size = it.progress.output.size();
  if (size + it.request.id.size() + max_result_head <= most) return 0;
  return static_cast<std::uint32_t>((size + most - 1) / most);
}

item_result result_of(const job_item& item, std::uint32_t number,
                      std::uint32_t pieces) {
  auto out = item_result{.id = item.request.id, .end = item.end};
  if (pieces == 0) {
    out.output = item.progress.output;
  } else {
    out.pieces = pieces;
    out.item = number;
  }
  return out;
}

bool fits_row(const item_progress& it, const store_limits& limits) {
  auto origin = it.origin.service.size() + it.origin.version.size();
  auto head = max_progress_head + percent_encoded_factor * origin;
  return it.output.size() + head <= max_value_bytes(limits);
}

}  // namespace

job_run start_run(job_row row, std::vector<submitted_item> submitted) {
  auto out = job_run{.row = std::move(row)};
  for (auto& it : submitted)
    out.items.push_back({.request = std::move(it)});
  ensure(out.items.size() == out.row.items, invariant::whole_answer,
         "the item count of a job's body differs from its row");
  mark_listed(out);
  return out;
}

std::optional<item_choice> next_item(const job_runs& runs, instant now,
                                     instant store_now,
                                     const item_order_options& options) {
  auto best = std::optional<item_choice>();
  auto before = [](const item_choice& a, const item_choice& b) {
    if (a.in_time != b.in_time) return a.in_time;
    return std::tie(a.due, a.ref.job, a.ref.item) <
           std::tie(b.due, b.ref.job, b.ref.item);
  };
  for (const auto& [id, run] : runs) {
    if (!run.row.open()) continue;
    auto due = run.row.accepted + run.due_after;
    for (auto it = std::uint32_t{0}; it < run.items.size(); ++it) {
      const auto& item = run.items[it];
      if (item.state != item_state::waiting || now < item.not_before) continue;
      if (item.progress.failures != item.saved_failures) continue;
      auto left =
          std::max(options.item_time -
                       options.event_time *
                           static_cast<std::int64_t>(item.progress.last_event),
                   instant{});
      if (options.only_urgent && store_now + left + options.urgency <= due)
        continue;
      auto choice =
          item_choice{.ref = {.job = id, .item = it},
                      .in_time = store_now + left + options.margin <= due,
                      .due = due};
      if (best && !before(choice, *best)) continue;
      if (options.accepts && !options.accepts(run, item)) continue;
      best = std::move(choice);
    }
  }
  return best;
}

void end_attempt(job_item& item, attempt_end end, bool progressed,
                 std::uint32_t attempts, instant now,
                 const item_retry_options& options) {
  if (end == attempt_end::too_long) {
    begin_anew(item);
    progressed = false;
  }
  if (progressed) item.consecutive_breaks = item.cut_count = 0;
  if (progressed) {
    item.stalled_since.reset();
  } else if (!item.stalled_since) {
    item.stalled_since = now;
  }
  switch (end) {
    case attempt_end::complete:
      finish(item, item_end::done);
      return;
    case attempt_end::impossible:
      finish(item, item_end::dead);
      return;
    case attempt_end::failed:
      if (++item.progress.failures >= std::max(attempts, 1U)) {
        finish(item, item_end::dead);
      } else {
        wait(item, now + options.failure_delay);
      }
      return;
    case attempt_end::not_run:
      wait(item, now + options.refusal_delay);
      return;
    case attempt_end::preempted:
      wait(item, now + options.preemption_delay);
      return;
    case attempt_end::queued:
      ++item.cut_count;
      wait(item, now + options.withdrawal_delay);
      return;
    case attempt_end::silent:
    case attempt_end::stalled:
      ++item.cut_count;
      break;
    case attempt_end::too_long:
    case attempt_end::broken:
      break;
  }
  if (progressed) {
    wait(item, now);
    return;
  }
  auto pause = options.initial_backoff;
  for (auto n = std::min(item.consecutive_breaks, max_backoff_steps); n > 0;
       --n)
    pause *= backoff_factor;
  ++item.consecutive_breaks;
  wait(item, now + std::min(pause, options.max_backoff));
}

void begin_anew(job_item& item) {
  item.progress = {.failures = item.progress.failures};
  item.stalled_since.reset();
}

std::vector<std::string> trim_outputs(job_runs& runs, std::size_t most) {
  auto sum = std::size_t{0};
  auto waiting = std::vector<job_item*>();
  for (auto& [id, run] : runs) {
    for (auto& it : run.items) {
      sum += it.progress.output.size();
      auto is_long = it.progress.output.size() > min_trimmed_bytes;
      if (it.state == item_state::waiting && is_long) waiting.push_back(&it);
    }
  }
  std::sort(waiting.begin(), waiting.end(), [](const auto* a, const auto* b) {
    return a->progress.output.size() > b->progress.output.size();
  });
  auto out = std::vector<std::string>();
  for (auto* it : waiting) {
    if (sum <= most) break;
    sum -= it->progress.output.size();
    begin_anew(*it);
    out.push_back(it->request.id);
  }
  return out;
}

bool is_stalled(const job_item& item, instant now,
                const item_retry_options& options) {
  return item.stalled_since &&
         now - *item.stalled_since >= options.max_version_wait;
}

void fail_waiting_items(job_run& run) {
  for (auto& it : run.items) {
    if (it.state == item_state::waiting) finish(it, item_end::dead);
  }
}

std::size_t max_item_id_bytes(const store_limits& limits) {
  auto most = max_value_bytes(limits);
  return most - std::min(most, max_result_head);
}

std::optional<listing> next_listing(const job_run& run,
                                    const store_limits& limits, instant now) {
  auto out = listing{.row = run.row};
  auto& change = out.transaction;
  change = job_change(run.row, longest_row(run.row));
  auto before = run.row.listed.size();
  for (auto it = std::uint32_t{0}; it < run.items.size(); ++it) {
    const auto& item = run.items[it];
    if (out.row.listed.size() - before >= run.max_listed) break;
    if (!is_listable(item, now)) continue;
    auto pieces = count_pieces(item, limits);
    if (item.stored_pieces < pieces) continue;
    auto position = static_cast<std::uint32_t>(out.row.listed.size());
    auto next =
        written_row{.name = result_row_name(run.row, position),
                    .value = encode_result(result_of(item, it, pieces))};
    if (!has_room(change, next, limits)) break;
    change.writes.push_back(std::move(next));
    out.row.listed.push_back(it);
    out.row.waiting_tokens -=
        std::min(out.row.waiting_tokens, item.request.tokens);
  }
  if (out.row.listed.size() == before) return std::nullopt;
  change.writes.front().value = encode_job(out.row);
  return out;
}

std::optional<output_save> next_output(const job_run& run,
                                       const store_limits& limits,
                                       instant now) {
  auto piece_bytes = max_value_bytes(limits);
  for (auto it = std::uint32_t{0}; it < run.items.size(); ++it) {
    const auto& item = run.items[it];
    auto all = is_listable(item, now) ? count_pieces(item, limits) : 0;
    if (item.stored_pieces >= all) continue;
    auto out = output_save{.item = it, .pieces = item.stored_pieces};
    out.transaction.expected = {
        {.name = job_row_name(run.row), .version = run.row.version}};
    for (; out.pieces < all; ++out.pieces) {
      auto next = written_row{.name = output_row_name(run.row, it, out.pieces),
                              .value = item.progress.output.substr(
                                  out.pieces * piece_bytes, piece_bytes)};
      if (!has_room(out.transaction, next, limits)) break;
      out.transaction.writes.push_back(std::move(next));
    }
    return out;
  }
  return std::nullopt;
}

void note_refusal(job_item& item, instant now) {
  item.list_after = now + refused_list_delay;
}

void note_refusal(job_run& run, const listing& refused, instant now) {
  auto n = refused.row.listed.size() - run.row.listed.size();
  if (n > 1) {
    run.max_listed = n / 2;
    return;
  }
  note_refusal(run.items[refused.row.listed.back()], now);
  run.max_listed = std::numeric_limits<std::size_t>::max();
}

std::optional<progress_save> next_save(const job_run& run,
                                       std::uint64_t min_events,
                                       const store_limits& limits) {
  auto out = progress_save();
  out.transaction.expected = {
      {.name = job_row_name(run.row), .version = run.row.version}};
  for (auto it = std::uint32_t{0}; it < run.items.size(); ++it) {
    if (out.items.size() >= run.max_saved) break;
    const auto& item = run.items[it];
    auto open =
        item.state == item_state::running || item.state == item_state::waiting;
    auto last = item.progress.last_event;
    auto failures = item.progress.failures;
    auto failed = failures != item.saved_failures;
    // An item that began anew may have less output than was saved.
    auto progressed =
        last > item.saved_event && last - item.saved_event >= min_events;
    auto fits = fits_row(item.progress, limits);
    if (!open || !(failed || (progressed && fits))) continue;
    auto kept = fits ? item.progress : item_progress{.failures = failures};
    auto next = written_row{.name = progress_row_name(run.row, it),
                            .value = encode_progress(kept)};
    if (!has_room(out.transaction, next, limits)) break;
    out.transaction.writes.push_back(std::move(next));
    out.items.push_back(
        {.number = it, .last_event = last, .failures = failures});
  }
  if (out.items.empty()) return std::nullopt;
  return out;
}

void note_refusal(job_run& run, const progress_save& refused) {
  auto n = refused.items.size();
  if (n > 1) {
    run.max_saved = n / 2;
    return;
  }
  mark_saved(run, refused);
  run.max_saved = std::numeric_limits<std::size_t>::max();
}

void mark_saved(job_run& run, const progress_save& save) {
  for (const auto& it : save.items) {
    auto& item = run.items[it.number];
    item.saved_event = it.last_event;
    item.saved_failures = it.failures;
  }
}

bool must_stop(const job_run& run, const job_row& known) {
  return known.version > run.row.version &&
         (known.ended || known.owner != run.row.owner);
}

bool apply_row(job_run& run, const job_row& row) {
  if (row.version < run.row.version) return true;
  auto same_owner = row.owner == run.row.owner;
  auto order_kept = row.listed.size() >= run.row.listed.size() &&
                    std::equal(run.row.listed.begin(), run.row.listed.end(),
                               row.listed.begin());
  ensure(order_kept, invariant::one_result,
         "the item at a listed position has changed");
  run.row = row;
  mark_listed(run);
  return same_owner && row.open();
}

bool has_item(const job_run& run, item_state state) {
  return std::any_of(run.items.begin(), run.items.end(),
                     [&](const auto& it) { return it.state == state; });
}

}  // namespace fulmar::serving
