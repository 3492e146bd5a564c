#pragma once

/// \file
/// One seeded run of real daemons under faults that come from outside them.

#include <cstdint>
#include <string>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/soak/ledger.h"

namespace fulmar::soak {

struct soak_options {
  std::uint64_t seed = 1;
  /// Time with faults.
  instant length = std::chrono::seconds(12);
  /// Time without faults at the end, in which jobs complete.
  instant recovery = std::chrono::seconds(25);
  std::uint32_t daemons = 4;
  std::uint32_t targets = 4;
  std::uint32_t callers = 6;
  /// Path of `fulmar-front`.
  std::string program;
  /// Directory for settings and logs; it must exist.
  std::string directory;
  /// No faults at all, to show what the checks see on a calm run.
  bool calm = false;
};

struct soak_report {
  ledger seen;
  /// Each fault with its time, in the order in which they struck.
  std::vector<std::string> faults;
};

/// Runs a seed.
soak_report run_soak(const soak_options& options);

}  // namespace fulmar::soak
