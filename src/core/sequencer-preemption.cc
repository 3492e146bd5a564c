#include <algorithm>
#include <cmath>

#include "fulmarpitch/core/sequencer-state.h"

namespace fulmar::detail {
namespace {

// Prefill work that batch may put before a new online request, in
// thousandths of the target for the first token, per point of preference.
constexpr std::int64_t prefill_permille_per_point = 1;

// Online arrivals are averaged over about these times: the long one is steady,
// the short one sees a burst.
constexpr instant steady_time = std::chrono::milliseconds(500);
constexpr instant burst_time = std::chrono::milliseconds(150);

// Standard deviations by which the short average must stand out.
constexpr double burst_deviations = 2;

// A request weighs this much in the average work of one.
constexpr double request_weight = 0.02;

// Capacity that online targets have beyond the recent load, as a share of it,
// and what is added to it at preference 0.
constexpr double headroom = 0.3;
constexpr double strict_headroom = 0.7;

// Share of the targets that online work has besides, one target at most.
constexpr double reserve_share = 0.1;

// Up to this preference, batch work leaves a target that goes to online work
// at once, and enters no online target.
constexpr std::uint32_t strict_preference = 50;

// Share of an online target's slots that batch may enter at preference 100.
constexpr double most_mixed_share = 0.25;

double decay(instant elapsed, instant time) {
  return std::exp(-static_cast<double>(elapsed.count()) /
                  static_cast<double>(time.count()));
}

void add(load_average& it, double engine_us, instant time, instant now) {
  it.engines *= decay(now - it.at, time);
  it.engines += engine_us / static_cast<double>(time.count());
  it.at = now;
}

double value(const load_average& it, instant time, instant now) {
  return it.engines * decay(now - it.at, time);
}

std::uint32_t reference_slots(const sequencer_state& s) {
  for (const auto& it : s.targets) {
    if (it.is_known) return it.info.slots;
  }
  return 0;
}

std::uint32_t preference(const sequencer_state& s) {
  return std::min(s.policy.batch_preference, 100U);
}

bool is_open(const target_row& it) {
  return it.is_known && !it.is_lost && !it.info.leaving;
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

// How far online is protected beyond the middle preference; 0 to 1.
double strictness(const sequencer_state& s) {
  auto under = strict_preference - std::min(preference(s), strict_preference);
  return static_cast<double>(under) / strict_preference;
}

// How far batch is preferred beyond the middle preference; 0 to 1.
double leniency(const sequencer_state& s) {
  auto over = std::max(preference(s), strict_preference) - strict_preference;
  return static_cast<double>(over) / (100 - strict_preference);
}

// Batch work that a target took before it went to online work may run on up to
// a share of the slots.
void trim_target(sequencer_state& s, target_row& it, instant now) {
  auto excess = static_cast<std::uint32_t>(leniency(s) *
                                           static_cast<double>(it.info.slots));
  while (kept_batch(it) > 0) {
    auto has_room = sequences(it) <= it.info.slots &&
                    kept_batch(it) <= it.batch_limit + excess;
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
  add(s.steady_load, engine_us, steady_time, now);
  add(s.burst_load, engine_us, burst_time, now);
  s.request_us += (engine_us - s.request_us) * request_weight;
}

double online_load(const sequencer_state& s, instant now) {
  auto steady = value(s.steady_load, steady_time, now);
  auto burst = value(s.burst_load, burst_time, now);
  // Arrivals by chance make the short average vary by this much.
  auto variance =
      burst * s.request_us / (2 * static_cast<double>(burst_time.count()));
  auto deviation = burst_deviations * std::sqrt(variance);
  return std::clamp(steady, burst - deviation, burst + deviation);
}

void divide_targets(sequencer_state& s, instant now) {
  auto count = static_cast<double>(
      std::count_if(s.targets.begin(), s.targets.end(), is_open));
  auto load = online_load(s, now);
  auto reserve = std::min({1.0, reserve_share * count, load});
  auto left = load * (1 + headroom + strict_headroom * strictness(s)) + reserve;
  auto mixed = left < count ? leniency(s) : 0;
  for (auto& it : s.targets) {
    if (!is_open(it)) continue;
    auto share = std::clamp(1 - left, mixed * most_mixed_share, 1.0);
    it.batch_limit = static_cast<std::uint32_t>(share * it.info.slots);
    left -= 1;
  }
}

bool batch_fits(const sequencer_state& s, const target_row& it, instant now) {
  if (now < it.batch_paused_until || it.batch >= it.batch_limit) return false;
  auto count = sequences(it) + it.stopping + 1;
  if (count > it.info.slots || !meets_step_target(s, it, count)) return false;
  auto allowed = s.policy.first_token_target * s.policy.batch_preference *
                 prefill_permille_per_point / 1000;
  return it.prefill_until <= now + allowed;
}

void preempt_batch(sequencer_state& s, instant now) {
  auto stopping = std::size_t(0);
  for (auto& it : s.targets) {
    trim_target(s, it, now);
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
