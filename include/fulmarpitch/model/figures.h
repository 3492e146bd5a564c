#pragma once

/// \file
/// Turns the log of a run into its figures.

#include <array>
#include <cstdint>
#include <vector>

#include "fulmarpitch/model/world.h"

namespace fulmar::model {

/// What a run counts as it goes.
struct run_tally {
  /// Gaps between tokens, by quarters of a millisecond.
  std::array<std::uint64_t, 2000> gaps{};
  std::int64_t batch_running = 0;
  instant give_way{};
  instant leaving{};
  std::uint64_t preemptions = 0;
  std::uint64_t targets_lost = 0;
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t double_runs = 0;

  void add_gap(instant gap);
};

/// Works the figures out.
run_figures figures_of(const world_options& options,
                       const std::vector<request_log>& requests,
                       const std::vector<engine>& engines,
                       const run_tally& tally);

}  // namespace fulmar::model
