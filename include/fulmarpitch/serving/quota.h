#pragma once

/// \file
/// Decides whether a job's acceptance must update its route's quota counter.
/// The counter's row admits one acceptance per round trip to the store, so that
/// jobs that arrive together, as after an outage, make each other's
/// transactions fail. Far below the route's limit the counter is not needed.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "fulmarpitch/core/types.h"

namespace fulmar::serving {

/// A job that was accepted without the quota counter.
struct uncounted_job {
  /// Key of the route's quota counter: host and route.
  std::string quota_counter;
  std::uint64_t tokens = 0;
  /// Time of the steady clock.
  instant accepted{};
};

/// Jobs that this daemon recently accepted without the quota counter.
struct uncounted_jobs {
  std::deque<uncounted_job> recent;
};

/// A job to be accepted, and the load of its route.
struct quota_request {
  std::string quota_counter;
  /// Tokens of the job.
  std::uint64_t tokens = 0;
  /// Waiting tokens of the route, as far as this daemon knows.
  std::uint64_t waiting = 0;
  /// Maximum of the route's waiting tokens; 0 for no limit.
  std::uint64_t limit = 0;
  /// Daemons that may accept jobs of the route, this one included.
  std::size_t daemons = 1;
};

/// Tells whether a job may be accepted without the quota counter. What all
/// daemons together accept this way before they learn of each other's jobs
/// stays below half of the limit, and is allowed only while the known waiting
/// tokens fill at most the other half.
/// \param now current time on the steady clock.
bool fits_without_counter(const uncounted_jobs& jobs, const quota_request& it,
                          instant now);

/// Records a job that is being accepted without the quota counter.
void record_uncounted(uncounted_jobs& jobs, const quota_request& it,
                      instant now);

}  // namespace fulmar::serving
