#pragma once

/// \file
/// Wakes coroutines that wait for a change.

#include <list>

#include "fulmarpitch/net/coroutine.h"

namespace fulmar {

/// Any number of coroutines wait for one event.
class change_signal {
 public:
  explicit change_signal(asio::io_context& io) : io_(io) {}
  change_signal(const change_signal&) = delete;
  change_signal& operator=(const change_signal&) = delete;

  /// Waits for the next `notify`.
  /// \param longest returns after this time in any case.
  task<void> wait(instant longest);

  /// Wakes every coroutine that waits now.
  void notify();

 private:
  asio::io_context& io_;
  // One timer a waiter: setting the time of a shared one would wake the others.
  std::list<asio::steady_timer> waiters_;
};

}  // namespace fulmar
