#pragma once

/// \file
/// Runs chunks of batch jobs on this VM: leases them, sends their items through
/// the entry, commits their output.

#include <functional>
#include <memory>
#include <string>

#include "fulmarpitch/config/configuration.h"
#include "fulmarpitch/daemon/entry.h"
#include "fulmarpitch/state/chunk-lease.h"

namespace fulmar {

struct batch_runner_options {
  /// Unique for each start of the daemon.
  std::string holder;
  std::string data_centre;
  std::uint64_t random_seed = 1;
  std::size_t most_chunks = 2;
  /// Items of one chunk that wait or run at the same time.
  std::size_t most_items = 64;
  instant look_period = std::chrono::milliseconds(250);
};

struct batch_runner_links {
  entry* requests = nullptr;
  platform_stores stores;
  std::function<std::shared_ptr<const configuration>()> in_force;
  std::function<bool()> is_ready;
  /// Whether a daemon is known to be lost.
  std::function<bool(const std::string& name)> is_lost;
};

struct batch_runner_counts {
  std::uint64_t chunks_committed = 0;
  std::uint64_t chunks_lost = 0;
  std::uint64_t items_succeeded = 0;
  std::uint64_t items_failed = 0;
  std::uint64_t items_cancelled = 0;
};

/// The chunks that this VM works on.
class batch_runner {
 public:
  batch_runner(batch_runner_options options, batch_runner_links links);
  ~batch_runner();
  batch_runner(const batch_runner&) = delete;
  batch_runner& operator=(const batch_runner&) = delete;

  /// Looks for chunks, starts items, renews and commits.
  void tick(instant now);
  /// Takes no more chunks; hands back those that have no running item.
  void close();

  /// Chunks under lease.
  std::size_t open() const;
  const batch_runner_counts& counts() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace fulmar
