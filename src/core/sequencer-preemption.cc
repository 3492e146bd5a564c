#include <algorithm>
#include <cmath>

#include "fulmarpitch/core/sequencer-state.h"

namespace fulmar::detail {
namespace {

// Prefill work that batch may put before a new online request, in
// thousandths of the target for the first token, per point of preference.
constexpr std::int64_t prefill_permille_per_point = 1;

// Online arrivals are averaged over about this time.
constexpr instant load_time = std::chrono::milliseconds(200);

// Online load above which no batch work is admitted, at preference 0 and 100.
constexpr double least_load_limit = 0.5;
constexpr double most_load_limit = 1.0;

double decay(instant elapsed) {
  return std::exp(-static_cast<double>(elapsed.count()) /
                  static_cast<double>(load_time.count()));
}

double load_limit(const pool_policy& policy) {
  auto preference = std::min(policy.batch_preference, 100U) / 100.0;
  return least_load_limit + (most_load_limit - least_load_limit) * preference;
}

std::uint32_t reference_slots(const sequencer_state& s) {
  for (const auto& it : s.targets) {
    if (it.is_known) return it.info.slots;
  }
  return 0;
}

std::uint32_t kept_batch(const target_row& it) {
  return it.batch - it.stopping;
}

std::uint32_t sequences(const target_row& it) {
  return it.online + kept_batch(it) + it.unaccounted;
}

bool meets_step_target(const sequencer_state& s, const target_row& it,
                       std::uint32_t count) {
  const auto& costs = it.info.costs;
  auto chunk = costs.prefill_per_token_us * costs.prefill_chunk;
  auto step = step_us(costs, count) + static_cast<std::int64_t>(chunk);
  return step <= s.policy.between_tokens_target.count();
}

// The batch attempt that has produced least since it was admitted.
std::optional<row_id> least_loss(const sequencer_state& s,
                                 const target_row& it) {
  auto best = std::optional<row_id>();
  for (auto row : it.running) {
    const auto& each = s.requests[row];
    auto may_stop = is_batch(each) && each.life == life_state::running &&
                    !each.item.no_repeat;
    if (!may_stop) continue;
    if (!best || each.admitted_at > s.requests[*best].admitted_at) best = row;
  }
  return best;
}

bool preempt_one(sequencer_state& s, target_row& it, instant now) {
  auto row = least_loss(s, it);
  if (!row) return false;
  stop(s, *row, error_code::none);
  it.batch_paused_until = now + batch_pause;
  return true;
}

void trim_target(sequencer_state& s, target_row& it, std::uint32_t reserve,
                 instant now) {
  while (kept_batch(it) > 0) {
    auto has_room = sequences(it) + reserve <= it.info.slots;
    if (has_room && meets_step_target(s, it, sequences(it))) return;
    if (!preempt_one(s, it, now)) return;
  }
}

std::size_t waiting_online(const sequencer_state& s) {
  auto result = std::size_t(0);
  for (const auto& it : s.classes) {
    if (it.policy.kind != work_kind::batch) result += it.queue.servable();
  }
  return result;
}

}  // namespace

void note_arrival(sequencer_state& s, const request_row& row, instant now) {
  auto slots = std::max(1U, reference_slots(s));
  auto engine_us = static_cast<double>(service_us(s, row)) / slots;
  s.online_load *= decay(now - s.online_load_at);
  s.online_load += engine_us / static_cast<double>(load_time.count());
  s.online_load_at = now;
  if (now - s.burst_start > give_way_time) {
    s.burst_start = now;
    s.burst_size = 0;
  }
  s.bursts.add(++s.burst_size, now);
}

double online_load(const sequencer_state& s, instant now) {
  auto targets = std::count_if(
      s.targets.begin(), s.targets.end(),
      [](const target_row& it) { return it.is_known && !it.info.leaving; });
  if (targets == 0) return 0;
  return s.online_load * decay(now - s.online_load_at) /
         static_cast<double>(targets);
}

std::uint32_t reserve_slots(const sequencer_state& s, instant now) {
  auto targets = std::int64_t(0);
  for (const auto& it : s.targets)
    targets += it.is_known && !it.info.leaving ? 1 : 0;
  if (targets == 0) return 0;
  auto scale = 200 - 2 * static_cast<std::int64_t>(
                             std::min(s.policy.batch_preference, 100U));
  auto slots = (s.bursts.peak(now) * scale / 100 + targets - 1) / targets;
  return static_cast<std::uint32_t>(slots);
}

bool batch_may_enter(const sequencer_state& s, instant now) {
  return online_load(s, now) <= load_limit(s.policy);
}

bool batch_fits(const sequencer_state& s, const target_row& it,
                std::uint32_t reserve, instant now) {
  if (now < it.batch_paused_until) return false;
  // One slot more than preemption needs, so that the two do not alternate.
  auto count = it.online + it.batch + it.unaccounted + 2;
  if (count + reserve > it.info.slots) return false;
  if (!meets_step_target(s, it, count)) return false;
  auto allowed = s.policy.first_token_target * s.policy.batch_preference *
                 prefill_permille_per_point / 1000;
  return it.prefill_until <= now + allowed;
}

void preempt_batch(sequencer_state& s, instant now) {
  auto reserve = reserve_slots(s, now);
  auto stopping = std::size_t(0);
  for (auto& it : s.targets) {
    trim_target(s, it, reserve, now);
    stopping += it.stopping;
  }
  auto waiting = waiting_online(s);
  while (stopping < waiting) {
    auto most = std::max_element(s.targets.begin(), s.targets.end(),
                                 [](const auto& a, const auto& b) {
                                   return kept_batch(a) < kept_batch(b);
                                 });
    if (most == s.targets.end() || kept_batch(*most) == 0) return;
    if (!preempt_one(s, *most, now)) return;
    ++stopping;
  }
}

}  // namespace fulmar::detail
