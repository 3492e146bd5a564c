#pragma once

/// \file
/// Keeps the book of contents under which targets ended, together with the
/// other daemons.

#include <cstdint>
#include <string>
#include <vector>

#include "front.h"

namespace fulmar::serving {

/// Table of the store: one row an event, with its time on the store's clock.
inline constexpr const char* crash_table = "crashes";

/// Notes that a target ended, or may have ended, while it ran a request.
/// \param content what the request asks.
/// \param request its id.
/// \param to where it ran.
void note_target_end(front& in, std::uint64_t content, std::string_view request,
                     const target& to);

/// Notes that a target answered a request.
void note_answer(front& in, std::uint64_t content);

/// Asks whether a request may run now. A trial is agreed upon through the
/// store, so that all daemons together grant it once.
/// \param content what the request asks.
/// \param request its id.
/// \return a permit of kind `held` when it may not run.
task<run_permit> ask_to_run(front& in, std::uint64_t content,
                            std::string request);

/// Takes rows that the store holds.
void take_crash_rows(front& in, const std::vector<stored_row>& rows);

/// Writes events that the store does not hold yet.
void write_crash_rows(front& in, instant now);

/// Forgets contents, and removes their rows if this daemon is the one to do it.
void forget_crashes(front& in, instant now);

}  // namespace fulmar::serving
