#pragma once

/// \file
/// Chooses the daemon that runs a new job. Clients submit unevenly, and online
/// load differs between data centres: jobs that stayed where they were
/// submitted would wait in one data centre while slots are free in another. An
/// owner runs items in its own data centre, where they give way to online
/// requests at once, so the job goes to the data centre whose slots clear it
/// first.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <span>
#include <string>

#include "fulmarpitch/serving/jobs.h"

namespace fulmar::serving {

/// Slots and online load of a data centre's targets.
struct data_centre_load {
  double slots = 0;
  double online = 0;
};

/// Data centres by name.
using data_centre_loads = absl::flat_hash_map<std::string, data_centre_load>;

/// Updates the moving averages of slots and online loads, which cover several
/// seconds: online load often changes by the second, and a job lasts longer.
/// \param mean the averages; an unknown data centre starts with its load now.
/// \param current loads now; data centres without slots are removed.
/// \param elapsed time since the last update.
void update_mean_loads(data_centre_loads& mean,
                       const data_centre_loads& current, instant elapsed);

struct job_owner_options {
  /// A job moves to another data centre when it waits this many times as long
  /// at home: its new owner has to read it from the store.
  double min_gain = 1.5;
  /// Part of the slots that batch gets however high the online load is.
  double min_batch_share = 0.1;
};

/// Chooses the owner of a new job.
/// \param book the known jobs and what waits of them.
/// \param among live daemons that reach the store, including this one.
/// \param loads mean loads of the data centres.
/// \param self this daemon.
/// \param tokens the job's tokens.
/// \return one of `among`, or `self`.
job_owner choose_owner(const job_book& book, std::span<const job_owner> among,
                       const data_centre_loads& loads, const job_owner& self,
                       std::uint64_t tokens,
                       const job_owner_options& options = {});

}  // namespace fulmar::serving
