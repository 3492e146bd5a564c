#include <algorithm>

#include "fulmarpitch/core/orders.h"

namespace fulmar {
namespace {

struct model_state {
  const model_demand* demand = nullptr;
  double capacity = 0;
  std::uint32_t targets = 0;
};

double load_of(const model_state& it, double capacity) {
  if (capacity > 0) return it.demand->tokens_per_second / capacity;
  constexpr auto beyond_any = 1e9;
  return it.demand->tokens_per_second > 0 ? beyond_any : 0;
}

std::vector<model_state> states_of(
    const std::vector<model_demand>& demands,
    const std::vector<placement_target>& targets) {
  auto states = std::vector<model_state>();
  for (const auto& demand : demands) {
    auto state = model_state{.demand = &demand};
    for (const auto& it : targets) {
      if (it.leaving || it.model != demand.model) continue;
      state.capacity += it.tokens_per_second;
      ++state.targets;
    }
    states.push_back(state);
  }
  return states;
}

// The model that most needs a target; null when none does.
const model_state* neediest(const std::vector<model_state>& states,
                            const placement_options& options) {
  const model_state* found = nullptr;
  auto most = options.raise_above;
  for (const auto& it : states) {
    if (it.targets < it.demand->min_targets) return &it;
    auto load = load_of(it, it.capacity);
    if (load <= most) continue;
    most = load;
    found = &it;
  }
  return found;
}

bool can_spare(const std::vector<model_state>& states,
               const placement_target& target,
               const placement_options& options) {
  auto it = std::find_if(states.begin(), states.end(), [&](const auto& s) {
    return s.demand->model == target.model;
  });
  if (it == states.end()) return true;
  if (it->targets <= it->demand->min_targets) return false;
  auto rest = it->capacity - target.tokens_per_second;
  return load_of(*it, rest) < options.lower_below;
}

}  // namespace

std::optional<engine_order> place_models(
    const std::vector<model_demand>& demands,
    const std::vector<placement_target>& targets,
    const placement_options& options, instant now) {
  auto states = states_of(demands, targets);
  const auto* needy = neediest(states, options);
  if (needy == nullptr) return std::nullopt;
  const placement_target* chosen = nullptr;
  for (const auto& it : targets) {
    if (it.leaving || it.model == needy->demand->model) continue;
    auto held = !it.model.empty() && now - it.changed_at < options.hold;
    if (held || !can_spare(states, it, options)) continue;
    if (chosen == nullptr || it.changed_at < chosen->changed_at) chosen = &it;
  }
  if (chosen == nullptr) return std::nullopt;
  return engine_order{.target = chosen->name,
                      .kind = order_kind::load_model,
                      .value = needy->demand->model};
}

}  // namespace fulmar
