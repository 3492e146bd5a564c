#include "fulmarpitch/core/choice.h"

#include <tuple>

namespace fulmar {
namespace {

bool may_be_chosen(const class_candidate& it) {
  return it.may_admit && !it.callers.empty();
}

auto class_key(const class_candidate& it) {
  auto is_batch = it.kind == work_kind::batch;
  auto owed = is_batch || it.owed_tokens < 0 ? 0 : it.owed_tokens;
  return std::tuple(is_batch, -owed, it.rank, std::string_view(it.name));
}

auto caller_key(work_kind kind, const caller_candidate& it) {
  auto deadline = kind == work_kind::batch ? it.deadline : instant{};
  return std::tuple(it.virtual_tokens, deadline, it.arrival_number,
                    std::string_view(it.caller));
}

choice_rule rule_for(const std::vector<class_candidate>& classes,
                     std::size_t chosen) {
  auto others = 0;
  for (const auto& it : classes)
    others += may_be_chosen(it) ? 1 : 0;
  if (others <= 1) return choice_rule::only_class;
  const auto& it = classes[chosen];
  auto is_owed = it.kind != work_kind::batch && it.owed_tokens > 0;
  return is_owed ? choice_rule::owed_share : choice_rule::class_order;
}

}  // namespace

std::optional<std::size_t> choose_class(
    const std::vector<class_candidate>& classes) {
  auto best = std::optional<std::size_t>();
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (!may_be_chosen(classes[i])) continue;
    if (!best || class_key(classes[i]) < class_key(classes[*best])) best = i;
  }
  return best;
}

std::optional<std::size_t> choose_caller(
    work_kind kind, const std::vector<caller_candidate>& callers) {
  auto best = std::optional<std::size_t>();
  for (std::size_t i = 0; i < callers.size(); ++i) {
    if (!best ||
        caller_key(kind, callers[i]) < caller_key(kind, callers[*best])) {
      best = i;
    }
  }
  return best;
}

std::optional<std::size_t> choose_target(
    const std::vector<target_candidate>& targets) {
  auto best = std::optional<std::size_t>();
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const auto& it = targets[i];
    if (!it.may_admit) continue;
    if (!best || std::tie(it.cost_us, it.target) <
                     std::tie(targets[*best].cost_us, targets[*best].target)) {
      best = i;
    }
  }
  return best;
}

std::optional<choice> choose(const choice_inputs& inputs) {
  auto class_at = choose_class(inputs.classes);
  auto target_at = choose_target(inputs.targets);
  if (!class_at || !target_at) return std::nullopt;
  const auto& chosen_class = inputs.classes[*class_at];
  auto caller_at = choose_caller(chosen_class.kind, chosen_class.callers);
  if (!caller_at) return std::nullopt;
  const auto& head = chosen_class.callers[*caller_at];
  return choice{.request_id = head.request_id,
                .caller = head.caller,
                .class_name = chosen_class.name,
                .target = inputs.targets[*target_at].target,
                .rule = rule_for(inputs.classes, *class_at)};
}

}  // namespace fulmar
