#pragma once

/// \file
/// Asks targets for their load where no daemon reports it.

#include "front.h"

namespace fulmar::serving {

/// Asks the target whose answer is oldest, of those in data centres whose
/// daemons no longer report, while items wait for room or this daemon runs
/// items there. \param now current time on the steady clock.
void probe_targets(front& in, instant now);

/// Records that an item found no room, so that targets are asked.
/// \param now current time on the steady clock.
void want_probes(front& in, instant now);

}  // namespace fulmar::serving
