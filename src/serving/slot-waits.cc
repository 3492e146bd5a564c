#include "fulmarpitch/serving/slot-waits.h"

#include <algorithm>
#include <optional>

namespace fulmar::serving {
namespace {

/// Caps the batch timeout at 4.8 s, longer than any target takes to start a
/// request.
constexpr std::uint32_t max_doublings = 4;

instant max_wait_of(const slot_use& it, const slot_wait_options& options) {
  if (it.kind == work_kind::online) return options.max_online_wait;
  return options.max_batch_wait *
         (1 << std::min(it.withdrawal_count, max_doublings));
}

bool waited_too_long(const slot_use& it, instant now,
                     const slot_wait_options& options) {
  auto max_wait = max_wait_of(it, options);
  return !it.has_output && now - it.sent > max_wait;
}

/// Finds the newest batch item that holds a slot at a target and is not in
/// `taken`.
std::optional<std::size_t> newest_item(std::span<const slot_use> uses,
                                       std::uint64_t target,
                                       std::span<const std::size_t> taken) {
  for (auto n = uses.size(); n > 0; --n) {
    const auto& it = uses[n - 1];
    if (it.kind != work_kind::batch || it.target != target || !it.has_output)
      continue;
    if (std::find(taken.begin(), taken.end(), n - 1) == taken.end())
      return n - 1;
  }
  return std::nullopt;
}

}  // namespace

absl::flat_hash_set<std::uint64_t> full_targets(
    std::span<const slot_use> uses, instant now,
    const slot_wait_options& options) {
  auto out = absl::flat_hash_set<std::uint64_t>();
  for (const auto& it : uses) {
    if (waited_too_long(it, now, options)) out.insert(it.target);
  }
  return out;
}

bool is_stalled(instant last_event, instant now) {
  return now - last_event > max_event_gap;
}

preemption_plan plan_preemptions(std::span<const slot_use> uses, instant now,
                                 const slot_wait_options& options) {
  auto out = preemption_plan();
  for (auto n = std::size_t{0}; n < uses.size(); ++n) {
    const auto& it = uses[n];
    if (!waited_too_long(it, now, options)) continue;
    if (it.kind == work_kind::batch) {
      out.withdrawn.push_back(n);
      continue;
    }
    if (it.has_preempted) continue;
    auto item = newest_item(uses, it.target, out.preempted);
    if (!item) continue;
    out.preempted.push_back(*item);
    out.preempting.push_back(n);
  }
  return out;
}

}  // namespace fulmar::serving
