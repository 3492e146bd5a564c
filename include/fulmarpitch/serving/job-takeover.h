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
  /// It cannot reach the platform's store.
  bool store_lost = false;
};

/// Minimum age at which a daemon may consider owners lost.
struct takeover_options {
  /// For all owners: ten report intervals, as a daemon that has just started
  /// has not yet received the reports of its own data centre.
  instant settle_time = std::chrono::milliseconds(2500);
  /// For owners in other data centres, which are known through summaries only;
  /// these take longer to arrive.
  instant far_settle_time = std::chrono::milliseconds(6000);
};

/// Tells whether this daemon should take over a job. A restarted daemon takes
/// back the jobs of its previous incarnation at once. A job of a lost owner
/// goes to the live daemon of the owner's data centre that rendezvous hashing
/// selects, or to one of all daemons when none is left there. Daemons that
/// cannot reach the store are passed over, as they may wait for it for long.
/// \param board the reports and summaries that this daemon received.
/// \param now current time on the steady clock.
bool should_take_over(const load_board& board, const takeover_candidate& self,
                      const job_row& job, instant now,
                      const takeover_options& options = {});

}  // namespace fulmar::serving
