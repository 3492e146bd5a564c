#include "fulmarpitch/core/request-life.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <deque>
#include <utility>
#include <vector>

namespace fulmar {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;

struct hold {};
struct release {};
struct admit {};
struct stop {};
struct retry {};
struct finish {};

struct queued : msm::front::state<> {};
struct held : msm::front::state<> {};
struct running : msm::front::state<> {};
struct stopping : msm::front::state<> {};
struct done : msm::front::state<> {};

struct life_def : msm::front::state_machine_def<life_def> {
  using initial_state = queued;

  template <typename From, typename Event, typename To>
  using row = msm::front::Row<From, Event, To, none, none>;

  struct transition_table
      : mpl::vector12<row<queued, hold, held>, row<queued, admit, running>,
                      row<queued, finish, done>, row<held, release, queued>,
                      row<held, admit, running>, row<held, finish, done>,
                      row<running, stop, stopping>, row<running, retry, held>,
                      row<running, finish, done>, row<stopping, stop, stopping>,
                      row<stopping, retry, held>, row<stopping, finish, done>> {
  };

  template <typename Machine, typename Event>
  void no_transition(const Event&, Machine& machine, int) {
    machine.refused = true;
  }

  bool refused = false;
};

using machine = msm::back::state_machine<life_def>;

void process(machine& it, life_event event) {
  switch (event) {
    case life_event::hold:
      it.process_event(hold{});
      return;
    case life_event::release:
      it.process_event(release{});
      return;
    case life_event::admit:
      it.process_event(admit{});
      return;
    case life_event::stop:
      it.process_event(stop{});
      return;
    case life_event::retry:
      it.process_event(retry{});
      return;
    case life_event::finish:
      it.process_event(finish{});
      return;
  }
}

/// The state numbers that the machine gives, in order of `life_state`.
std::array<int, life_state_names.size()> state_numbers() {
  return {msm::back::get_state_id<machine::stt, queued>::value,
          msm::back::get_state_id<machine::stt, held>::value,
          msm::back::get_state_id<machine::stt, running>::value,
          msm::back::get_state_id<machine::stt, stopping>::value,
          msm::back::get_state_id<machine::stt, done>::value};
}

life_state state_of(const machine& it) {
  static const auto numbers = state_numbers();
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    if (numbers[i] == it.current_state()[0]) return static_cast<life_state>(i);
  }
  return life_state::done;
}

using transition_array =
    std::array<std::array<std::optional<life_state>, life_event_names.size()>,
               life_state_names.size()>;

using life_path = std::vector<life_event>;

// The state at the end of a path, or nothing when its last event is refused.
std::optional<life_state> state_after(const life_path& path) {
  auto it = machine();
  it.start();
  for (auto event : path)
    process(it, event);
  if (it.refused) return std::nullopt;
  return state_of(it);
}

/// Walks the machine along every event from every state it can reach, so that
/// a request need not hold a machine of its own.
transition_array explore() {
  auto result = transition_array();
  auto visited = std::array<bool, life_state_names.size()>();
  auto frontier = std::deque<life_path>{{}};
  while (!frontier.empty()) {
    auto path = frontier.front();
    frontier.pop_front();
    auto from = static_cast<std::size_t>(*state_after(path));
    if (std::exchange(visited[from], true)) continue;
    for (std::size_t e = 0; e < life_event_names.size(); ++e) {
      auto longer = path;
      longer.push_back(life_event_names[e].first);
      result[from][e] = state_after(longer);
      if (result[from][e]) frontier.push_back(longer);
    }
  }
  return result;
}

}  // namespace

std::optional<life_state> next_state(life_state from, life_event event) {
  static const auto transitions = explore();
  return transitions[static_cast<std::size_t>(from)]
                    [static_cast<std::size_t>(event)];
}

}  // namespace fulmar
