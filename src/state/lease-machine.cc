#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "fulmarpitch/state/chunk-lease.h"

namespace fulmar {
namespace detail {
namespace {

namespace front = boost::msm::front;

/// An event of the machine for each value of the enumeration.
template <lease_event Event>
struct on {};

/// A state of the machine for each value of the enumeration.
template <lease_state State>
struct in : front::state<> {
  template <typename Event, typename Machine>
  void on_entry(const Event& /*event*/, Machine& machine) {
    machine.current = State;
  }
};

struct definition : front::state_machine_def<definition> {
  using initial_state = in<lease_state::acquiring>;

  template <lease_state From, lease_event Event, lease_state To>
  using row = front::Row<in<From>, on<Event>, in<To>>;

  using s = lease_state;
  using e = lease_event;
  // A lapse while the commit is under way decides nothing: the store does.
  struct transition_table
      : boost::mpl::vector<row<s::acquiring, e::granted, s::held>,
                           row<s::acquiring, e::refused, s::lost>,
                           row<s::acquiring, e::lapsed, s::lost>,
                           row<s::held, e::finished, s::committing>,
                           row<s::held, e::hand_back, s::returning>,
                           row<s::held, e::fenced, s::lost>,
                           row<s::held, e::lapsed, s::lost>,
                           row<s::committing, e::written, s::committed>,
                           row<s::committing, e::fenced, s::lost>,
                           row<s::returning, e::written, s::returned>,
                           row<s::returning, e::fenced, s::lost>> {};

  template <typename Machine, typename Event>
  void no_transition(const Event& /*event*/, Machine& /*machine*/,
                     int /*state*/) {}

  lease_state current = lease_state::acquiring;
};

}  // namespace
}  // namespace detail

struct lease_machine::machine {
  boost::msm::back::state_machine<detail::definition> states;
};

lease_machine::lease_machine() : machine_(std::make_unique<machine>()) {
  machine_->states.start();
}

lease_machine::~lease_machine() = default;
lease_machine::lease_machine(lease_machine&&) noexcept = default;
lease_machine& lease_machine::operator=(lease_machine&&) noexcept = default;

lease_state lease_machine::apply(lease_event event) {
  using detail::on;
  auto& it = machine_->states;
  switch (event) {
    case lease_event::granted:
      it.process_event(on<lease_event::granted>());
      break;
    case lease_event::refused:
      it.process_event(on<lease_event::refused>());
      break;
    case lease_event::lapsed:
      it.process_event(on<lease_event::lapsed>());
      break;
    case lease_event::fenced:
      it.process_event(on<lease_event::fenced>());
      break;
    case lease_event::finished:
      it.process_event(on<lease_event::finished>());
      break;
    case lease_event::hand_back:
      it.process_event(on<lease_event::hand_back>());
      break;
    case lease_event::written:
      it.process_event(on<lease_event::written>());
      break;
  }
  return current();
}

lease_state lease_machine::current() const {
  return machine_->states.current;
}

}  // namespace fulmar
