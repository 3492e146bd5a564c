#pragma once

/// \file
/// Asks targets for their load where no daemon reports it.

#include "front.h"

namespace fulmar::serving {

/// Asks the target that was asked longest ago, of those in data centres whose
/// daemons do not report: while this daemon runs items there, which have to
/// give way to requests that it does not hear of, and while items wait for room
/// and the data centre is abandoned. \param now current time on the steady
/// clock.
void probe_targets(front& in, instant now);

/// Records that an item found no room, so that targets are asked.
/// \param now current time on the steady clock.
void want_probes(front& in, instant now);

/// Logs which data centres of targets have become abandoned, and which report
/// again.
/// \param now current time on the steady clock.
void log_abandoned(front& in, instant now);

}  // namespace fulmar::serving
