#pragma once

/// \file
/// The serving daemon of one VM: start-up, serving and graceful shutdown.

#include <absl/status/status.h>

#include <functional>
#include <memory>

#include "fulmarpitch/net/event-loop.h"
#include "fulmarpitch/serving/settings.h"

namespace fulmar::serving {

struct front;

/// Serves on an event loop. Coroutines on the loop hold references to the
/// daemon, so it must outlive the loop, or the process must exit before either
/// is destroyed.
class serving_daemon {
 public:
  serving_daemon(event_loop& loop, vm_settings settings);
  ~serving_daemon();
  serving_daemon(const serving_daemon&) = delete;
  serving_daemon& operator=(const serving_daemon&) = delete;

  /// Binds the addresses and starts serving.
  /// \return an error if an address can't be bound.
  absl::Status start();

  /// Shuts down gracefully: leaves the load balancer's rotation, stops
  /// accepting work, then drains open requests.
  /// \param done called when nothing is left or the grace period has passed.
  void shut_down(std::function<void()> done);

 private:
  std::unique_ptr<front> front_;
};

}  // namespace fulmar::serving
