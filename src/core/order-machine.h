#pragma once

/// \file
/// The life of one order as a state machine, without Boost.MSM in the header.

#include <memory>

namespace fulmar::detail {

/// Where an order stands at the daemon that carries it out.
enum class order_phase {
  /// Another holds the lease, or none does.
  waiting,
  /// Asks the engine whether the order is in effect already.
  checking,
  /// Waits for the weight store's rate limit.
  pacing,
  /// Writes to the row that the order is about to be sent.
  starting,
  /// The engine was told.
  executing,
  /// Writes to the row how the order ended.
  ending,
  ended,
};

/// What happens to an order.
enum class order_step {
  lease_taken,
  lease_lost,
  effect_absent,
  effect_present,
  load_allowed,
  start_recorded,
  engine_done,
  engine_failed,
  reply_lost,
  end_recorded,
};

/// The state machine.
class order_machine {
 public:
  order_machine();
  ~order_machine();
  order_machine(order_machine&&) noexcept;
  order_machine& operator=(order_machine&&) noexcept;

  /// Takes a step; one that does not fit the phase changes nothing.
  /// \return the phase after the step.
  order_phase apply(order_step step);
  order_phase phase() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace fulmar::detail
