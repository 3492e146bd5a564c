#pragma once

/// \file
/// Shares the records of contents and prompt parts that were running when
/// targets ended with the other daemons, through the store.

#include <cstdint>
#include <string>
#include <vector>

#include "front.h"

namespace fulmar::serving {

/// Table of the store with one row per event, whose value is the event's time
/// on the store's clock.
inline constexpr const char* crash_table = "crashes";

/// Computes the keys under which crashes of a request are recorded.
crash_causes crash_causes_of(const http_request& request);

/// Records that a target ended while running a request.
/// \param it the request, the target, and when it ended.
void note_target_end(front& in, const target_end& it);

/// Records that a target fell silent while running a request. It counts as an
/// end if the list of targets shows it within seconds.
void note_target_silence(front& in, target_end it);

/// Records the ends of targets that had fallen silent.
/// \param now current time on the steady clock.
void note_ends_of_silent_targets(front& in, instant now);

/// Records that a target answered a request.
void note_answer(front& in, std::uint64_t content);

/// Records that a target answered a request with success, to its end.
/// \param parts keys of the shared parts of its prompt.
void note_parts_answered(front& in, const std::vector<std::uint64_t>& parts);

/// Computes the keys of the shared parts of a request's prompt.
std::vector<std::uint64_t> part_keys_of(
    const std::vector<http_header>& headers);

/// Decides whether a request may run now. A trial is claimed in the store, so
/// that only one daemon grants it.
/// \param request id of the request.
/// \return a permit of kind `held` if it may not run.
task<run_permit> acquire_run_permit(front& in, crash_causes causes,
                                    std::string request);

/// Applies rows read from the store.
void apply_crash_rows(front& in, const std::vector<stored_row>& rows);

/// Starts writing queued events to the store.
void write_crash_rows(front& in, instant now);

/// Removes expired records, and queues the removal of the rows that this daemon
/// owns by rendezvous hashing.
void forget_crashes(front& in, instant now);

}  // namespace fulmar::serving
