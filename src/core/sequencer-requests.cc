#include <algorithm>
#include <cmath>

#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/sequencer-state.h"

namespace fulmar::detail {
namespace {

row_id add_row(sequencer_state& s, const submit_event& event) {
  auto row = static_cast<row_id>(s.requests.size());
  if (s.free_rows.empty()) {
    s.requests.emplace_back();
  } else {
    row = s.free_rows.back();
    s.free_rows.pop_back();
  }
  auto class_at = class_of(s, event.item);
  auto& queue = s.classes[class_at].queue;
  s.requests[row] = {.item = event.item,
                     .origin = event.origin,
                     .attempt = event.attempt,
                     .class_at = class_at,
                     .caller = queue.caller(event.item.caller),
                     .arrival_number = ++s.last_arrival,
                     .produced = event.tokens_produced};
  s.by_id[event.item.id] = row;
  return row;
}

void watch_deadline(sequencer_state& s, row_id row) {
  const auto& it = s.requests[row];
  if (is_batch(it) || it.item.deadline == instant{}) return;
  s.deadlines.emplace(it.item.deadline, row);
}

void adopt(sequencer_state& s, row_id row, const submit_event& event,
           instant now) {
  s.requests[row].attempt = event.attempt - 1;
  start_attempt(s, row, target_named(s, event.target), now);
}

// A request that is known already: only news of a running attempt counts.
void submit_again(sequencer_state& s, row_id row, const submit_event& event,
                  instant now) {
  auto& it = s.requests[row];
  auto waits = it.life == life_state::queued || it.life == life_state::held;
  if (!waits || event.target.empty() || event.attempt <= it.attempt) return;
  if (it.life == life_state::held) s.held.erase({it.held_until, row});
  adopt(s, row, event, now);
}

outcome outcome_of_row(const request_row& it) {
  if (it.attempt == 0) return outcome::not_run;
  return it.lost_once || it.item.no_repeat ? outcome::unknown : outcome::ran;
}

instant backoff(sequencer_state& s, std::uint32_t failures) {
  s.random ^= s.random << 13;
  s.random ^= s.random >> 7;
  s.random ^= s.random << 17;
  auto pause = retry_pause * (1 << std::min<std::uint32_t>(failures, 6));
  return pause / 2 +
         instant(static_cast<std::int64_t>(
             s.random % static_cast<std::uint64_t>(pause.count() / 2 + 1)));
}

void end_failed(sequencer_state& s, row_id row, instant now) {
  auto& it = s.requests[row];
  ++it.failures;
  if (it.item.no_repeat || it.failures >= max_failures)
    return refuse(s, row, error_code::attempt_failed);
  it.needs_budget = true;
  move(it, life_event::retry);
  hold(s, row, now + backoff(s, it.failures));
}

void end_lost(sequencer_state& s, row_id row, instant now) {
  auto& it = s.requests[row];
  it.lost_once = true;
  it.kept = it.produced = 0;
  if (s.suspects.is_quarantined(it.item.content_hash, now))
    return refuse(s, row, error_code::quarantined);
  if (it.item.no_repeat) return refuse(s, row, error_code::outcome_unknown);
  it.needs_budget = true;
  move(it, life_event::retry);
  hold(s, row, now);
}

void end_preempted(sequencer_state& s, row_id row, bool can_resume,
                   instant now) {
  auto& it = s.requests[row];
  if (it.item.no_repeat) return refuse(s, row, error_code::outcome_unknown);
  ++it.preemptions;
  if (!can_resume) it.produced = 0;
  it.kept = it.produced;
  move(it, life_event::retry);
  hold(s, row, now);
}

}  // namespace

queue_entry entry_of(const request_row& it, row_id row) {
  return {.deadline = is_batch(it) ? it.item.deadline : instant{},
          .arrival_number = it.arrival_number,
          .row = row};
}

void move(request_row& row, life_event event) {
  auto next = next_state(row.life, event);
  ensure(next.has_value(), invariant::one_result,
         "a request was moved in a way its life does not allow");
  row.life = *next;
}

void submit(sequencer_state& s, const submit_event& event, instant now) {
  if (auto it = s.by_id.find(event.item.id); it != s.by_id.end())
    return submit_again(s, it->second, event, now);
  auto row = add_row(s, event);
  if (event.attempt > 0 && !event.target.empty()) {
    watch_deadline(s, row);
    move(s.requests[row], life_event::hold);
    return adopt(s, row, event, now);
  }
  auto& it = s.requests[row];
  if (it.item.no_repeat && it.attempt > 0)
    return refuse(s, row, error_code::outcome_unknown);
  it.kept = it.produced;
  if (!is_batch(it)) note_arrival(s, it, now);
  if (refuse_early(s, row, now)) return;
  watch_deadline(s, row);
  enqueue(s, row);
}

void cancel(sequencer_state& s, const cancel_event& event) {
  auto found = s.by_id.find(event.request_id);
  if (found == s.by_id.end()) return;
  auto row = found->second;
  auto& it = s.requests[row];
  if (it.life == life_state::running || it.life == life_state::stopping)
    return stop(s, row, error_code::cancelled);
  refuse(s, row, error_code::cancelled);
}

void finish(sequencer_state& s, const finished_event& event, instant now) {
  auto found = s.by_id.find(event.request_id);
  if (found == s.by_id.end()) return;
  auto& it = s.requests[found->second];
  auto runs = it.life == life_state::running || it.life == life_state::stopping;
  if (!runs || event.attempt != it.attempt) return;
  it.produced = std::max(it.produced, event.tokens_produced);
  end_attempt(s, found->second, event.end, now);
}

void end_attempt(sequencer_state& s, row_id row, attempt_end end, instant now) {
  if (end == attempt_end::target_lost)
    blame_loss(s, s.requests[row].target, now);
  auto can_resume = s.targets[s.requests[row].target].info.can_resume;
  release_target(s, row, end, now);
  auto& it = s.requests[row];
  if (end == attempt_end::completed) {
    s.suspects.clear(it.item.content_hash);
    return forget(s, row);
  }
  if (it.stop_reason != error_code::none) return refuse(s, row, it.stop_reason);
  switch (end) {
    case attempt_end::failed:
      return end_failed(s, row, now);
    case attempt_end::target_lost:
      return end_lost(s, row, now);
    case attempt_end::preempted:
      return end_preempted(s, row, can_resume, now);
    case attempt_end::completed:
    case attempt_end::cancelled:
      return forget(s, row);
  }
}

void drop_origin(sequencer_state& s, const std::string& origin, instant now) {
  for (row_id row = 0; row < s.requests.size(); ++row) {
    const auto& it = s.requests[row];
    if (it.life == life_state::done || it.origin != origin) continue;
    auto runs =
        it.life == life_state::running || it.life == life_state::stopping;
    if (runs) release_target(s, row, attempt_end::cancelled, now);
    forget(s, row);
  }
}

void enqueue(sequencer_state& s, row_id row) {
  auto& it = s.requests[row];
  auto& group = s.classes[it.class_at];
  it.work_us = service_us(s, it);
  group.queue.push(it.caller, entry_of(it, row), it.work_us);
}

void dequeue(sequencer_state& s, row_id row) {
  const auto& it = s.requests[row];
  s.classes[it.class_at].queue.erase(it.caller, entry_of(it, row), it.work_us);
}

void hold(sequencer_state& s, row_id row, instant until) {
  auto& it = s.requests[row];
  if (it.life == life_state::queued) {
    dequeue(s, row);
    move(it, life_event::hold);
  }
  it.held_until = until;
  s.held.emplace(until, row);
}

void refuse(sequencer_state& s, row_id row, error_code code,
            instant retry_after) {
  const auto& it = s.requests[row];
  auto what = outcome_of_row(it);
  ensure(what != outcome::not_run || it.attempt == 0,
         invariant::not_run_is_true, "a refused request had an attempt");
  s.commands.emplace_back(refuse_command{.number = ++s.last_number,
                                         .request_id = it.item.id,
                                         .origin = it.origin,
                                         .caller = it.item.caller,
                                         .class_name = it.item.class_name,
                                         .code = code,
                                         .what = what,
                                         .content_hash = it.item.content_hash,
                                         .retry_after = retry_after});
  forget(s, row);
}

void forget(sequencer_state& s, row_id row) {
  auto& it = s.requests[row];
  if (it.life == life_state::queued) dequeue(s, row);
  if (it.life == life_state::held) s.held.erase({it.held_until, row});
  if (it.item.deadline != instant{}) s.deadlines.erase({it.item.deadline, row});
  s.by_id.erase(it.item.id);
  move(it, life_event::finish);
  s.free_rows.push_back(row);
}

void stop(sequencer_state& s, row_id row, error_code reason) {
  auto& it = s.requests[row];
  auto was_running = it.life == life_state::running;
  auto is_new_reason = it.stop_reason != reason;
  move(it, life_event::stop);
  if (was_running && is_batch(it)) ++s.targets[it.target].stopping;
  it.stop_reason = reason;
  if (reason == error_code::none) {
    s.commands.emplace_back(preempt_command{.number = ++s.last_number,
                                            .request_id = it.item.id,
                                            .origin = it.origin,
                                            .attempt = it.attempt});
  } else if (is_new_reason) {
    s.commands.emplace_back(cancel_command{.number = ++s.last_number,
                                           .request_id = it.item.id,
                                           .origin = it.origin,
                                           .attempt = it.attempt});
  }
}

std::uint32_t expected_output(const sequencer_state& s,
                              const request_row& row) {
  constexpr auto initial_share = 0.5;
  const auto& shares = s.classes[row.class_at].output_share;
  auto share = row.caller < shares.size() ? shares[row.caller] : initial_share;
  auto left = row.item.max_tokens - std::min(row.item.max_tokens, row.kept);
  return static_cast<std::uint32_t>(std::lround(left * share));
}

}  // namespace fulmar::detail
