#include "fulmarpitch/core/routing.h"

#include <algorithm>
#include <cmath>

namespace fulmar {

std::int64_t step_us(const engine_costs& costs, std::uint32_t sequences) {
  return std::llround(costs.step_base_us +
                      costs.step_per_sequence_us * sequences);
}

std::int64_t slot_work_us(const engine_costs& costs, std::uint32_t slots,
                          std::uint32_t prompt_tokens,
                          std::uint32_t output_tokens) {
  auto prefill = costs.prefill_per_token_us * prompt_tokens;
  // A prefill delays every sequence of the engine.
  return std::llround(prefill * slots) + step_us(costs, slots) * output_tokens;
}

void prefix_index::add(target_id target,
                       const std::vector<std::uint64_t>& blocks, instant now) {
  for (auto block : blocks) {
    if (holders_.size() >= max_blocks && !holders_.contains(block))
      make_room(now);
    auto& holders = holders_[block];
    auto it = std::find_if(
        holders.begin(), holders.end(),
        [target](const holder& each) { return each.target == target; });
    if (it != holders.end()) {
      it->seen_at = now;
    } else {
      holders.push_back({.target = target, .seen_at = now});
    }
  }
}

void prefix_index::remove(target_id target,
                          const std::vector<std::uint64_t>& blocks) {
  for (auto block : blocks) {
    auto it = holders_.find(block);
    if (it == holders_.end()) continue;
    std::erase_if(it->second, [target](const holder& each) {
      return each.target == target;
    });
    if (it->second.empty()) holders_.erase(it);
  }
}

void prefix_index::gap(target_id target, instant now) {
  mark(target).gap_at = now;
}

void prefix_index::reset(target_id target, instant now) {
  mark(target).reset_at = now;
}

void prefix_index::match(const std::vector<std::uint64_t>& blocks, instant now,
                         std::vector<std::uint32_t>& depths) const {
  std::fill(depths.begin(), depths.end(), 0);
  auto depth = std::uint32_t(0);
  for (auto block : blocks) {
    auto it = holders_.find(block);
    if (it == holders_.end()) return;
    auto found = false;
    for (const auto& holder : it->second) {
      if (holder.target >= depths.size()) continue;
      if (depths[holder.target] != depth || !is_trusted(holder, now)) continue;
      depths[holder.target] = depth + 1;
      found = true;
    }
    if (!found) return;
    ++depth;
  }
}

bool prefix_index::is_trusted(const holder& it, instant now) const {
  auto trust = trust_time;
  if (it.target < marks_.size()) {
    const auto& mark = marks_[it.target];
    if (it.seen_at <= mark.reset_at) return false;
    if (it.seen_at <= mark.gap_at) trust = gap_trust_time;
  }
  return it.seen_at + trust > now;
}

// Drops what is no longer trusted, then the older half by age.
void prefix_index::make_room(instant now) {
  auto drop_before = now - trust_time;
  while (holders_.size() >= max_blocks) {
    absl::erase_if(holders_, [this, now, drop_before](auto& it) {
      std::erase_if(it.second, [&](const holder& each) {
        return each.seen_at < drop_before || !is_trusted(each, now);
      });
      return it.second.empty();
    });
    drop_before += (now - drop_before) / 2 + instant(1);
  }
}

prefix_index::target_mark& prefix_index::mark(target_id target) {
  if (marks_.size() <= target) marks_.resize(target + 1);
  return marks_[target];
}

}  // namespace fulmar
