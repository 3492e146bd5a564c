#pragma once

/// \file
/// Whether a job needs the row that orders the acceptances of its route. That
/// row lets one acceptance through in the time of one call to the store, so
/// that jobs that come together, as after an outage, would fail each other's
/// conditions. Far below the route's limit no order is needed.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "fulmarpitch/core/types.h"

namespace fulmar::serving {

/// A job that was accepted without order.
struct unordered_job {
  /// Host and route.
  std::string gate;
  std::uint64_t tokens = 0;
  /// On the steady clock.
  instant accepted{};
};

/// Jobs that this daemon accepted lately without order.
struct unordered_jobs {
  std::deque<unordered_job> recent;
};

/// A job that wants to be accepted.
struct quota_request {
  std::string gate;
  /// Tokens of the job.
  std::uint64_t tokens = 0;
  /// Tokens that wait on the route, as far as this daemon knows.
  std::uint64_t waiting = 0;
  /// Most tokens that may wait; 0 for no limit.
  std::uint64_t limit = 0;
  /// Daemons that may accept jobs of the route, this one included.
  std::size_t daemons = 1;
};

/// Tells whether a job may be accepted without order. What all daemons accept
/// so before they hear of each other stays below half of the limit, and the
/// other half has room for it.
/// \param jobs what this daemon accepted without order.
/// \param it the job.
/// \param now the steady clock.
bool fits_without_order(const unordered_jobs& jobs, const quota_request& it,
                        instant now);

/// Notes a job that may be accepted without order from now on.
void note_unordered(unordered_jobs& jobs, const quota_request& it, instant now);

}  // namespace fulmar::serving
