#pragma once

/// \file
/// One thread's event loop: posted functions, timers and signals.

#include <cstdint>
#include <functional>
#include <memory>

#include "fulmarpitch/core/types.h"

namespace fulmar {

/// Runs everything that a process does, on one thread.
class event_loop {
 public:
  struct impl;

  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /// Runs until `stop`; may be called again after that.
  void run();
  void stop();

  /// Runs a function soon, never inside this call. Safe from any thread.
  void post(std::function<void()> work);

  /// Runs a function once, after a delay.
  void after(instant delay, std::function<void()> work);

  /// Runs a function again and again until the loop ends.
  void every(instant period, std::function<void()> work);

  /// Runs a function when the process is asked to end (SIGTERM, SIGINT).
  void on_termination(std::function<void()> work);

  /// \return wall-clock time since the Unix epoch.
  static instant now();
  /// \return monotonic time, for timeouts and leases.
  static instant steady();
  /// \return monotonic time that also counts while the VM is suspended.
  static instant since_boot();

  impl& native() { return *impl_; }

 private:
  std::unique_ptr<impl> impl_;
};

}  // namespace fulmar
