#pragma once

/// \file
/// The runs of the jobs that this daemon owns, and their writes to the store.

#include <string>

#include "front.h"

namespace fulmar::serving {

/// Finds the run of a job.
/// \param serial distinguishes the run from later runs of the same job.
/// \return the run, or null when it has ended.
job_run* find_run(front& in, const std::string& job, std::uint64_t serial);

/// Stops the attempts of a job and removes its run.
/// \param why the reason, for the log.
void drop_run(front& in, const std::string& job, std::string_view why);

/// Starts to write the results of finished items to the store.
void start_listings(front& in, instant now);

/// Starts to save the progress of running items, for the next owner.
void start_saves(front& in, instant now);

}  // namespace fulmar::serving
