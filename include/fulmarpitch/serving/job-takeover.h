#pragma once

/// \file
/// Who takes over a batch job whose owner is lost. Several daemons may try at
/// once: the job's row lets one through.

#include <string>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/serving/jobs.h"
#include "fulmarpitch/serving/load-board.h"

namespace fulmar::serving {

/// The daemon that asks whether to take over a job.
struct takeover_candidate {
  /// Name of its VM.
  std::string name;
  std::string data_centre;
  /// Time since the process began.
  instant age{};
};

/// When a daemon that has just started may judge others.
struct takeover_options {
  /// It has not heard its data centre before that: ten reports.
  instant settle_time = std::chrono::milliseconds(2500);
  /// Far data centres are heard through summaries, which take longer.
  instant far_settle_time = std::chrono::milliseconds(6000);
};

/// Tells whether a daemon should take over a job. One that started again takes
/// back the jobs of its earlier life at once; those of others go to the first
/// in rendezvous order of the owner's data centre, or of all when none is left.
/// \param board whom this daemon hears.
/// \param self this daemon.
/// \param job the job.
/// \param now the steady clock.
/// \param options the times.
bool should_take_over(const load_board& board, const takeover_candidate& self,
                      const job_row& job, instant now,
                      const takeover_options& options = {});

}  // namespace fulmar::serving
