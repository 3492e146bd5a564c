#pragma once

/// \file
/// Targets that fell silent while they ran requests. A sound target may be
/// silent for a while and go on, and one whose VM is lost says nothing either.
/// Which it was shows in the list of targets: an entry that is not renewed is
/// removed, and a target that starts again has a new start time.

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/serving/crash-book.h"
#include "fulmarpitch/serving/targets.h"

namespace fulmar::serving {

/// A target ended, or fell silent and may have ended, while it ran a request.
struct target_end {
  crash_causes causes;
  /// Id of the request.
  std::string request;
  target to;
  /// When the request was given up, on the steady clock.
  instant at{};
};

struct silence_options {
  /// A target that is still listed after this time is alive: entries are
  /// removed after three missed renewals, of about a second each, and lists
  /// lag by a second.
  instant settle_time = std::chrono::milliseconds(5000);
  /// Silences that are remembered; beyond it the oldest is forgotten.
  std::size_t max_waiting = 4096;
};

/// Silences of which it is not known yet whether the target has ended, oldest
/// first.
struct silent_ends {
  std::deque<target_end> waiting;
  silence_options options;
};

/// Remembers a silence.
/// \return whether an older one was forgotten for it.
bool note_silence(silent_ends& ends, target_end it);

/// Takes the silences whose targets have ended, and forgets those whose targets
/// are alive or leave as planned.
/// \param now current time on the steady clock.
std::vector<target_end> take_ended(silent_ends& ends, const target_table& table,
                                   instant now);

}  // namespace fulmar::serving
