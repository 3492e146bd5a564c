#pragma once

/// \file
/// One `fulmard`: every part wired together on one event loop.

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/net/event-loop.h"
#include "fulmarpitch/state/results.h"

namespace fulmar {

struct daemon_options {
  /// Name of the VM; the daemon adds its start time to it.
  std::string vm;
  std::string data_centre = "local-1";
  std::string region = "local";
  std::string host = "127.0.0.1";
  std::uint16_t caller_port = 0;
  std::uint16_t operator_port = 0;
  /// TCP for messages, UDP of the same number for membership.
  std::uint16_t peer_port = 0;
  std::string secret;
  /// Peer addresses in this data centre.
  std::vector<std::string> seeds;
  /// Peer addresses in other data centres.
  std::vector<std::string> remote_seeds;
  platform_stores stores;
  /// SHA-256 of operators' keys that count before the first ticket.
  std::vector<std::string> first_key_hashes;
  /// Longest wait for open requests when the daemon is asked to end.
  instant shutdown_limit = std::chrono::seconds(90);
  /// Time for the balancer to notice that the daemon is not ready.
  instant unready_wait = std::chrono::seconds(1);
};

/// A running daemon.
class entry_daemon {
 public:
  entry_daemon(event_loop& loop, daemon_options options);
  ~entry_daemon();
  entry_daemon(const entry_daemon&) = delete;
  entry_daemon& operator=(const entry_daemon&) = delete;

  /// Binds every port and joins the members.
  absl::Status start();

  std::uint16_t caller_port() const;
  std::uint16_t operator_port() const;

  /// Ends without cutting a request off: unready first, then open streams,
  /// chunks, results and order records.
  /// \param done receives whether everything ended within the limit.
  void shut_down(std::function<void(bool clean)> done);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace fulmar
