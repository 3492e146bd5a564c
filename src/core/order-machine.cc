#include "order-machine.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace fulmar::detail {
namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;

struct lease_taken {};
struct lease_lost {};
struct effect_absent {};
struct effect_present {};
struct load_allowed {};
struct start_recorded {};
struct engine_done {};
struct engine_failed {};
struct reply_lost {};
struct end_recorded {};

struct waiting : front::state<> {};
struct checking : front::state<> {};
struct pacing : front::state<> {};
struct starting : front::state<> {};
struct executing : front::state<> {};
struct ending : front::state<> {};
struct ended : front::state<> {};

struct order_life : front::state_machine_def<order_life> {
  using initial_state = waiting;

  template <typename From, typename Event, typename To>
  using row = front::Row<From, Event, To, front::none, front::none>;

  struct transition_table
      : boost::mpl::vector<row<waiting, lease_taken, checking>,
                           row<checking, effect_absent, pacing>,
                           row<checking, effect_present, ending>,
                           row<pacing, load_allowed, starting>,
                           row<starting, start_recorded, executing>,
                           row<executing, engine_done, ending>,
                           row<executing, engine_failed, ending>,
                           row<executing, reply_lost, checking>,
                           row<ending, end_recorded, ended>,
                           row<checking, lease_lost, waiting>,
                           row<pacing, lease_lost, waiting>,
                           row<starting, lease_lost, waiting>,
                           row<executing, lease_lost, waiting>,
                           row<ending, lease_lost, waiting>> {};

  template <typename Fsm, typename Event>
  void no_transition(const Event&, Fsm&, int) {}
};

using backend = msm::back::state_machine<order_life>;

template <typename State>
constexpr int id_of() {
  return msm::back::get_state_id<backend::stt, State>::value;
}

}  // namespace

struct order_machine::state {
  backend machine;
};

order_machine::order_machine() : state_(std::make_unique<state>()) {
  state_->machine.start();
}
order_machine::~order_machine() = default;
order_machine::order_machine(order_machine&&) noexcept = default;
order_machine& order_machine::operator=(order_machine&&) noexcept = default;

order_phase order_machine::apply(order_step step) {
  auto& it = state_->machine;
  switch (step) {
    case order_step::lease_taken:
      it.process_event(lease_taken());
      break;
    case order_step::lease_lost:
      it.process_event(lease_lost());
      break;
    case order_step::effect_absent:
      it.process_event(effect_absent());
      break;
    case order_step::effect_present:
      it.process_event(effect_present());
      break;
    case order_step::load_allowed:
      it.process_event(load_allowed());
      break;
    case order_step::start_recorded:
      it.process_event(start_recorded());
      break;
    case order_step::engine_done:
      it.process_event(engine_done());
      break;
    case order_step::engine_failed:
      it.process_event(engine_failed());
      break;
    case order_step::reply_lost:
      it.process_event(reply_lost());
      break;
    case order_step::end_recorded:
      it.process_event(end_recorded());
      break;
  }
  return phase();
}

order_phase order_machine::phase() const {
  auto id = *state_->machine.current_state();
  if (id == id_of<waiting>()) return order_phase::waiting;
  if (id == id_of<checking>()) return order_phase::checking;
  if (id == id_of<pacing>()) return order_phase::pacing;
  if (id == id_of<starting>()) return order_phase::starting;
  if (id == id_of<executing>()) return order_phase::executing;
  if (id == id_of<ending>()) return order_phase::ending;
  return order_phase::ended;
}

}  // namespace fulmar::detail
