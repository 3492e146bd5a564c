#include "fulmarpitch/serving/slot-waits.h"

#include <algorithm>
#include <optional>

namespace fulmar::serving {
namespace {

constexpr std::uint32_t max_doublings = 8;

instant max_wait_of(const slot_use& it, const slot_wait_options& options) {
  if (it.kind == work_kind::online) return options.max_online_wait;
  return extended_limit(options.max_batch_wait, it.cut_count);
}

bool waited_too_long(const slot_use& it, instant now,
                     const slot_wait_options& options) {
  auto max_wait = max_wait_of(it, options);
  return !it.has_output && now - it.sent > max_wait;
}

/// \return whether `uses[n]`, a batch item without output, has waited long at a
///     target where an online request behind it waits too long.
bool delays_online(std::span<const slot_use> uses, std::size_t n, instant now,
                   const slot_wait_options& options) {
  const auto& item = uses[n];
  if (item.has_output ||
      now - item.sent <= options.max_batch_wait_before_online)
    return false;
  auto later = uses.subspan(n + 1);
  return std::any_of(later.begin(), later.end(), [&](const slot_use& it) {
    return it.kind == work_kind::online && it.target == item.target &&
           waited_too_long(it, now, options);
  });
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

instant extended_limit(instant limit, std::uint32_t cut_count) {
  return limit * (1 << std::min(cut_count, max_doublings));
}

absl::flat_hash_set<std::uint64_t> full_targets(
    std::span<const slot_use> uses, instant now,
    const slot_wait_options& options) {
  auto out = absl::flat_hash_set<std::uint64_t>();
  for (const auto& it : uses) {
    if (waited_too_long(it, now, options)) out.insert(it.target);
  }
  return out;
}

bool is_stalled(instant last_event, instant now, std::uint32_t cut_count) {
  return now - last_event > extended_limit(max_event_gap, cut_count);
}

preemption_plan plan_preemptions(std::span<const slot_use> uses, instant now,
                                 const slot_wait_options& options) {
  auto out = preemption_plan();
  for (auto n = std::size_t{0}; n < uses.size(); ++n) {
    const auto& it = uses[n];
    auto is_late = waited_too_long(it, now, options);
    if (it.kind == work_kind::batch) {
      if (is_late || delays_online(uses, n, now, options))
        out.withdrawn.push_back(n);
      continue;
    }
    if (!is_late || it.has_preempted) continue;
    auto item = newest_item(uses, it.target, out.preempted);
    if (!item) continue;
    out.preempted.push_back(*item);
    out.preempting.push_back(n);
  }
  return out;
}

}  // namespace fulmar::serving
