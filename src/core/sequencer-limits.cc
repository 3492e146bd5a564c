#include <algorithm>

#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/sequencer-state.h"
#include "fulmarpitch/core/text.h"

namespace fulmar::detail {
namespace {

// Rank of a class that no policy names: after all that one does.
constexpr std::uint32_t unnamed_rank = 1'000'000;

constexpr instant min_retry_after = std::chrono::seconds(1);
constexpr instant max_retry_after = std::chrono::seconds(30);

std::string caller_key(const std::string& class_name,
                       const std::string& caller) {
  return concat(class_name, '\n', caller);
}

void apply_class(class_row& it, const pool_policy& policy) {
  auto kind = it.policy.kind;
  auto name = it.policy.name;
  auto found = std::find_if(
      policy.classes.begin(), policy.classes.end(),
      [&name](const class_policy& each) { return each.name == name; });
  it.policy = found != policy.classes.end()
                  ? *found
                  : class_policy{.name = name, .rank = unnamed_rank};
  it.policy.kind = kind;
  for (const auto& each : policy.callers) {
    if (each.class_name != name) continue;
    auto caller = it.queue.caller(each.name);
    it.queue.set_limits(caller, each.weight, each.concurrency);
  }
}

const target_row* reference_target(const sequencer_state& s) {
  for (const auto& it : s.targets) {
    if (it.is_known) return &it;
  }
  return nullptr;
}

std::int64_t usable_slots(const sequencer_state& s) {
  auto slots = std::int64_t(0);
  for (const auto& it : s.targets) {
    if (it.is_known && !it.is_lost && !it.info.leaving) slots += it.info.slots;
  }
  return slots;
}

// Work that is served before a new request of this row's caller.
std::int64_t work_ahead_us(const sequencer_state& s, const request_row& row,
                           instant now) {
  const auto& own = s.classes[row.class_at];
  auto ahead = own.queue.work_ahead_us(row.caller);
  auto own_only = ahead;
  for (const auto& it : s.classes) {
    if (&it == &own || it.policy.kind == work_kind::batch) continue;
    if (it.policy.rank <= own.policy.rank || owed_tokens(s, it, now) > 0)
      ahead += it.queue.work_us();
  }
  auto percent = own.policy.guaranteed_percent;
  if (percent == 0) return ahead;
  return std::min(ahead, own_only * 100 / percent);
}

bool refuse_by_deadline(sequencer_state& s, row_id row, instant now) {
  const auto& it = s.requests[row];
  auto slots = usable_slots(s);
  if (it.item.deadline == instant{} || slots == 0) return false;
  auto work = static_cast<double>(work_ahead_us(s, it, now)) * s.work_ratio;
  auto wait = instant(static_cast<std::int64_t>(work) / slots);
  auto own = static_cast<double>(service_us(s, it)) * s.work_ratio;
  auto done = now + wait + instant(static_cast<std::int64_t>(own));
  if (done <= it.item.deadline) return false;
  auto later =
      std::clamp(done - it.item.deadline, min_retry_after, max_retry_after);
  refuse(s, row, error_code::overloaded, later);
  return true;
}

}  // namespace

void apply_policy(sequencer_state& s, const pool_policy& policy, instant now) {
  if (policy.config_version < s.policy.config_version) return;
  s.policy = policy;
  for (auto& it : s.classes)
    apply_class(it, policy);
  s.buckets.clear();
  for (const auto& it : policy.callers) {
    auto& bucket = s.buckets[caller_key(it.class_name, it.name)];
    set_rate(bucket, it.requests_per_second, now);
  }
}

std::uint32_t class_of(sequencer_state& s, const work_item& item) {
  for (std::uint32_t i = 0; i < s.classes.size(); ++i) {
    const auto& it = s.classes[i].policy;
    if (it.name == item.class_name && it.kind == item.kind) return i;
  }
  s.classes.push_back({.policy = {.name = item.class_name, .kind = item.kind},
                       .queue = class_queue(item.kind)});
  apply_class(s.classes.back(), s.policy);
  return static_cast<std::uint32_t>(s.classes.size() - 1);
}

bool refuse_early(sequencer_state& s, row_id row, instant now) {
  const auto& it = s.requests[row];
  if (s.suspects.is_quarantined(it.item.content_hash, now)) {
    refuse(s, row, error_code::quarantined);
    return true;
  }
  if (!is_batch(it) && it.item.deadline != instant{} &&
      it.item.deadline <= now) {
    refuse(s, row, error_code::deadline_exceeded);
    return true;
  }
  auto bucket = s.buckets.find(caller_key(it.item.class_name, it.item.caller));
  if (bucket != s.buckets.end()) {
    if (auto wait = take(bucket->second, now)) {
      refuse(s, row, error_code::rate_limited, *wait);
      return true;
    }
  }
  return !is_batch(it) && refuse_by_deadline(s, row, now);
}

std::int64_t owed_tokens(const sequencer_state& s, const class_row& it,
                         instant now) {
  if (it.policy.guaranteed_percent == 0) return 0;
  auto due = s.served.sum(now) * it.policy.guaranteed_percent / 100;
  return std::max<std::int64_t>(0, due - it.served.sum(now));
}

std::int64_t service_us(const sequencer_state& s, const request_row& row) {
  const auto* target = reference_target(s);
  if (target == nullptr) return 0;
  return slot_work_us(target->info.costs, target->info.slots,
                      row.item.prompt_tokens, expected_output(s, row));
}

void expire(sequencer_state& s, instant now) {
  while (!s.deadlines.empty() && s.deadlines.begin()->first <= now) {
    auto row = s.deadlines.begin()->second;
    s.deadlines.erase(s.deadlines.begin());
    const auto& it = s.requests[row];
    auto waits = it.life == life_state::queued || it.life == life_state::held;
    if (waits) {
      refuse(s, row, error_code::deadline_exceeded);
    } else if (!it.item.no_repeat && it.stop_reason == error_code::none) {
      stop(s, row, error_code::deadline_exceeded);
    }
  }
}

void release_held(sequencer_state& s, instant now) {
  refill(s.retries, now);
  auto due = std::vector<row_id>();
  for (const auto& [until, row] : s.held) {
    if (until > now) break;
    due.push_back(row);
  }
  for (auto row : due) {
    auto& it = s.requests[row];
    if (it.needs_budget && !spend(s.retries)) continue;
    it.needs_budget = false;
    s.held.erase({it.held_until, row});
    move(it, life_event::release);
    enqueue(s, row);
  }
}

}  // namespace fulmar::detail
