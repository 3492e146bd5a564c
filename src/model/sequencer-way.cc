#include <memory>

#include "fulmarpitch/model/ways.h"

namespace fulmar::model {
namespace {

std::uint32_t number_in(const std::string& text, std::size_t from = 0) {
  return static_cast<std::uint32_t>(std::stoul(text.substr(from)));
}

std::uint32_t target_number(const std::string& name) {
  return number_in(name, name.rfind('-') + 1);
}

struct to_action {
  action operator()(const admit_command& it) const {
    return {.kind = action_kind::admit,
            .request = number_in(it.request_id),
            .attempt = it.attempt,
            .target = target_number(it.chosen.target)};
  }
  action operator()(const refuse_command& it) const {
    return {.kind = action_kind::refuse,
            .request = number_in(it.request_id),
            .code = it.code};
  }
  action operator()(const preempt_command& it) const {
    return {.kind = action_kind::preempt,
            .request = number_in(it.request_id),
            .attempt = it.attempt};
  }
  action operator()(const cancel_command& it) const {
    return {.kind = action_kind::stop,
            .request = number_in(it.request_id),
            .attempt = it.attempt};
  }
};

struct sequencer_holder {
  sequencer_options options;
  std::unique_ptr<sequencer> decider;
  policy_event policy;
};

}  // namespace

way sequencer_way(const std::string& name, std::uint64_t seed) {
  auto held = std::make_shared<sequencer_holder>();
  held->options = {.pool = "pool", .random_seed = seed};
  held->decider = std::make_unique<sequencer>(held->options);
  auto apply = [held](const sequencer_event& event, instant now) {
    if (const auto* it = std::get_if<policy_event>(&event)) held->policy = *it;
    held->decider->apply(event, now);
  };
  auto tick = [held](instant now) {
    auto result = std::vector<action>();
    for (const auto& it : held->decider->tick(now))
      result.push_back(std::visit(to_action{}, it));
    return result;
  };
  auto restart = [held] {
    held->decider = std::make_unique<sequencer>(held->options);
    held->decider->apply(held->policy, {});
  };
  return {.name = name, .apply = apply, .tick = tick, .restart = restart};
}

way only(work_kind kind, const std::string& name, const way& decider) {
  auto result = decider;
  result.name = name;
  result.apply = [kind, inner = decider.apply](const sequencer_event& event,
                                               instant now) {
    const auto* it = std::get_if<submit_event>(&event);
    if (it == nullptr || it->item.kind == kind) inner(event, now);
  };
  return result;
}

}  // namespace fulmar::model
