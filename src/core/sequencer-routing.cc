#include <algorithm>
#include <tuple>

#include "fulmarpitch/core/sequencer-state.h"

namespace fulmar::detail {
namespace {

// A cached prefix draws no more work to a target that runs this much more
// than the mean, in quarters of the mean, plus a few sequences.
constexpr std::uint32_t sticky_quarters = 5;
constexpr std::uint32_t sticky_extra = 2;

// Decoding steps by which a crowded target is weighed.
constexpr std::uint32_t weighed_steps = 16;

std::uint32_t sequences(const target_row& it) {
  return it.online + it.batch + it.unaccounted;
}

bool has_model(const target_info& info, const work_item& item) {
  if (info.models.empty()) return true;
  auto has = [&info](const std::string& name) {
    return name.empty() || std::find(info.models.begin(), info.models.end(),
                                     name) != info.models.end();
  };
  return has(item.model) && has(item.adapter);
}

bool is_open(const target_row& it) {
  return it.is_known && !it.is_lost && !it.info.leaving;
}

bool may_take(const target_row& it, const request_row& row) {
  if (!is_open(it)) return false;
  if (sequences(it) >= it.info.slots) return false;
  auto need = row.item.prompt_tokens + row.item.max_tokens;
  auto has_room =
      it.info.kv_tokens == 0 || it.kv_tokens + need <= it.info.kv_tokens;
  // A prompt that no engine can hold still goes to an empty one.
  if (!has_room && !it.running.empty()) return false;
  return has_model(it.info, row.item);
}

bool may_cross(const sequencer_state& s, const request_row& row, instant now) {
  if (is_batch(row)) return false;
  return now - row.item.arrival > s.policy.first_token_target / 2;
}

std::uint32_t mean_running(const sequencer_state& s) {
  auto total = std::uint32_t(0);
  auto known = std::uint32_t(0);
  for (const auto& it : s.targets) {
    if (!it.is_known) continue;
    total += sequences(it);
    ++known;
  }
  return known == 0 ? 0 : total / known;
}

std::int64_t cost_of(const target_row& it, const request_row& row,
                     std::uint32_t cached_blocks, std::uint32_t mean,
                     instant now) {
  auto is_crowded = sequences(it) > mean * sticky_quarters / 4 + sticky_extra;
  auto cached = is_crowded ? 0
                           : std::min(row.item.prompt_tokens,
                                      cached_blocks * prefix_block_tokens);
  auto backlog = std::max<std::int64_t>(0, (it.prefill_until - now).count());
  auto decode = step_us(it.info.costs, sequences(it)) * weighed_steps;
  auto fresh = row.item.prompt_tokens - cached + row.kept;
  return backlog + prefill_us(it, fresh) + decode;
}

}  // namespace

std::int64_t prefill_us(const target_row& it, std::uint32_t tokens) {
  const auto& costs = it.info.costs;
  auto chunk = std::max<std::uint32_t>(costs.prefill_chunk, 1);
  auto steps = (tokens + chunk - 1) / chunk;
  return static_cast<std::int64_t>(costs.prefill_per_token_us * tokens) +
         step_us(costs, sequences(it)) * steps;
}

bool has_free_slot(const sequencer_state& s) {
  return std::any_of(s.targets.begin(), s.targets.end(), [](const auto& it) {
    return is_open(it) && sequences(it) < it.info.slots;
  });
}

bool has_place(const sequencer_state& s, const request_row& row) {
  return std::any_of(s.targets.begin(), s.targets.end(), [&](const auto& it) {
    return is_open(it) && has_model(it.info, row.item);
  });
}

std::vector<target_candidate> weigh_targets(sequencer_state& s,
                                            const request_row& row,
                                            instant now) {
  s.depths.resize(s.targets.size());
  s.prefixes.match(row.item.prefix_blocks, now, s.depths);
  s.costs.clear();
  auto mean = mean_running(s);
  auto suspect = s.suspects.is_suspect(row.item.content_hash, now);
  for (target_id id = 0; id < s.targets.size(); ++id) {
    const auto& it = s.targets[id];
    if (!may_take(it, row)) continue;
    if (suspect && it.suspects > 0) continue;
    if (is_batch(row) && !batch_fits(s, it, now)) continue;
    auto abroad = !it.info.region.empty() && it.info.region != s.options.region;
    if (abroad && !may_cross(s, row, now)) continue;
    auto cost = cost_of(it, row, s.depths[id], mean, now);
    if (!is_batch(row) && it.info.slots > 0)
      cost += batch_target_us * it.batch / it.info.slots;
    s.costs.emplace_back(cost + (abroad ? cross_region_us : 0), id);
  }
  auto count = std::min(recorded_candidates, s.costs.size());
  auto end = s.costs.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(s.costs.begin(), end, s.costs.end(),
                    [&s](const auto& a, const auto& b) {
                      return std::tie(a.first, s.targets[a.second].info.name) <
                             std::tie(b.first, s.targets[b.second].info.name);
                    });
  auto result = std::vector<target_candidate>();
  result.reserve(count);
  for (auto it = s.costs.begin(); it != end; ++it)
    result.push_back(
        {.target = s.targets[it->second].info.name, .cost_us = it->first});
  return result;
}

}  // namespace fulmar::detail
