#pragma once

/// \file
/// Decides which waiting items of the jobs of this daemon start. Items of one
/// service are in the order of their deadlines; a service without room holds up
/// no other.

#include <functional>
#include <string>
#include <string_view>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/serving/job-run.h"

namespace fulmar::serving {

/// How far away an item may run.
enum class item_reach { data_centre, anywhere };

/// What became of an item that was to be started.
enum class item_start {
  started,
  /// It waits for a target of the version that began it.
  postponed,
  /// No target of its service has room within reach.
  no_room,
};

/// How items are started.
struct item_starter {
  /// Selects the service that runs an item; empty if there is none.
  std::function<std::string_view(const job_run&, const job_item&)> service_of;
  /// Starts an item. One that is started or postponed is not chosen again at
  /// the same time.
  std::function<item_start(const item_ref&, item_reach)> start;
};

/// Starts items in this data centre, and anywhere those that would be late
/// otherwise.
/// \param now current time on the steady clock.
/// \param store_now current time on the store's clock.
/// \param most most items to start.
/// \param held services whose items do not start.
/// \return the number of items that were started.
int start_items(const job_runs& runs, instant now, instant store_now, int most,
                service_names held, const item_starter& starter);

}  // namespace fulmar::serving
