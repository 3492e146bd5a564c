#pragma once

/// \file
/// Chooses the daemon that takes over a batch job whose owner is lost. Several
/// daemons may try at once; the version check on the job's row lets one
/// succeed.

#include <string>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/serving/jobs.h"
#include "fulmarpitch/serving/load-board.h"

namespace fulmar::serving {

/// The daemon that considers taking over a job.
struct takeover_candidate {
  /// Name of its VM.
  std::string name;
  std::string data_centre;
  /// Time since the process started.
  instant age{};
};

/// Minimum age at which a daemon may consider owners lost.
struct takeover_options {
  /// For owners in its own data centre: the time of ten load reports.
  instant settle_time = std::chrono::milliseconds(2500);
  /// For owners elsewhere, whose load arrives in summaries and thus later.
  instant far_settle_time = std::chrono::milliseconds(6000);
};

/// Tells whether this daemon should take over a job. A restarted daemon takes
/// back the jobs of its previous incarnation at once. A job of a lost owner
/// goes to the live daemon of the owner's data centre that rendezvous hashing
/// selects, or to one of all daemons when none is left there.
/// \param board the load reports that this daemon received.
/// \param now time of the steady clock.
bool should_take_over(const load_board& board, const takeover_candidate& self,
                      const job_row& job, instant now,
                      const takeover_options& options = {});

}  // namespace fulmar::serving
