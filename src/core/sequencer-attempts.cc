#include <algorithm>

#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/sequencer-state.h"

namespace fulmar::detail {
namespace {

// Newest results weigh this much in the averages.
constexpr double average_weight = 0.05;

void learn_output(sequencer_state& s, const request_row& it) {
  constexpr auto initial_share = 0.5;
  if (it.item.max_tokens == 0) return;
  auto& shares = s.classes[it.class_at].output_share;
  if (shares.size() <= it.caller) shares.resize(it.caller + 1, initial_share);
  auto seen = std::min(1.0, static_cast<double>(it.produced) /
                                static_cast<double>(it.item.max_tokens));
  shares[it.caller] += (seen - shares[it.caller]) * average_weight;
}

void learn_duration(sequencer_state& s, const request_row& it,
                    const target_row& target, instant now) {
  auto busy = target.running.size() * 4 >= target.info.slots * 3ULL;
  if (!busy || it.work_us <= 0 || it.kept != 0) return;
  auto ratio = static_cast<double>((now - it.admitted_at).count()) /
               static_cast<double>(it.work_us);
  s.work_ratio += (std::clamp(ratio, 0.05, 4.0) - s.work_ratio) * 0.02;
}

// What the attempt really used; nothing when it was lost with its target.
std::int64_t used_tokens(const request_row& it, attempt_end end) {
  if (end == attempt_end::target_lost) return 0;
  return it.item.prompt_tokens + it.produced -
         std::min<std::int64_t>(it.kept, it.produced);
}

}  // namespace

void start_attempt(sequencer_state& s, row_id row, target_id target,
                   instant now) {
  auto& it = s.requests[row];
  auto& at = s.targets[target];
  auto& group = s.classes[it.class_at];
  auto was_queued = it.life == life_state::queued;
  it.charged = it.item.prompt_tokens + expected_output(s, it);
  move(it, life_event::admit);
  ++it.attempt;
  it.target = target;
  it.admitted_at = now;
  it.stop_reason = error_code::none;
  it.kv_tokens = it.item.prompt_tokens + it.item.max_tokens;
  it.is_suspect = s.suspects.is_suspect(it.item.content_hash, now);
  if (was_queued) {
    group.queue.take(it.caller, entry_of(it, row), it.work_us, it.charged);
  } else {
    group.queue.charge(it.caller, it.charged);
    group.queue.add_running(it.caller, 1);
  }
  group.served.add(it.charged, now);
  s.served.add(it.charged, now);
  at.running.push_back(row);
  at.recent_running.add(static_cast<std::int64_t>(at.running.size()), now);
  ++(is_batch(it) ? at.batch : at.online);
  at.suspects += it.is_suspect ? 1 : 0;
  at.kv_tokens += it.kv_tokens;
  ++s.running;
}

void release_target(sequencer_state& s, row_id row, attempt_end end,
                    instant now) {
  auto& it = s.requests[row];
  auto& at = s.targets[it.target];
  auto& group = s.classes[it.class_at];
  if (end == attempt_end::completed) {
    learn_output(s, it);
    learn_duration(s, it, at, now);
  }
  group.queue.charge(it.caller, used_tokens(it, end) - it.charged);
  group.queue.add_running(it.caller, -1);
  auto place = std::find(at.running.begin(), at.running.end(), row);
  ensure(place != at.running.end(), invariant::one_result,
         "an attempt ended that its target does not run");
  *place = at.running.back();
  at.running.pop_back();
  --(is_batch(it) ? at.batch : at.online);
  if (is_batch(it) && it.life == life_state::stopping) --at.stopping;
  at.suspects -= it.is_suspect ? 1 : 0;
  at.kv_tokens -= it.kv_tokens;
  --s.running;
}

}  // namespace fulmar::detail
