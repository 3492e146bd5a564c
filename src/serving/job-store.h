#pragma once

/// \file
/// Reads and removes the rows of jobs in the platform's store.

#include <string>
#include <vector>

#include "front.h"

namespace fulmar::serving {

/// Reads a job's row.
/// \return the job, or `not_found`.
task<absl::StatusOr<job_row>> read_job(front& in, std::string host,
                                       std::string id);

/// Reads the items of a job as they were submitted.
task<absl::StatusOr<std::vector<submitted_item>>> read_items(front& in,
                                                             job_row job);

/// Progress of items, by their index in the job.
using progress_table = absl::flat_hash_map<std::uint32_t, item_progress>;

/// Reads the progress of items that a previous owner saved.
task<absl::StatusOr<progress_table>> read_progress(front& in, job_row job);

/// Starts to run a job that this daemon owns.
/// \param progress saved progress of items that are still waiting.
void add_run(front& in, const job_row& job, std::vector<submitted_item> items,
             const progress_table& progress = {});

/// Removes a job's rows from the store, in several transactions if needed.
/// \return whether the job's own row was removed.
task<bool> remove_job(front& in, job_row job);

/// Time from a job's acceptance to the moment its results are due.
instant due_after(const front& in, const job_row& job);

/// Updates the job book with a row that this daemon wrote or read, unless the
/// book has a newer version.
void update_known_job(front& in, const job_row& job);

}  // namespace fulmar::serving
