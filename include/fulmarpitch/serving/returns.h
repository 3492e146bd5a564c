#pragma once

/// \file
/// Retry times of refused clients. In a burst that outlasts one queue wait,
/// clients that all retry after that wait meet the same burst and are lost.
/// Each is therefore told to retry after those refused before it, as if it kept
/// its place in a queue.

#include <cstdint>
#include <deque>

#include "fulmarpitch/core/types.h"

namespace fulmar::serving {

/// Pending retries of clients that this daemon refused.
struct return_book {
  /// Retry times on the steady clock, ascending.
  std::deque<instant> due;
};

/// Bounds of the retry delay.
struct return_options {
  /// Shortest delay: a target with 8 slots completes a request at least this
  /// often.
  instant least = std::chrono::milliseconds(150);
  /// Longest delay: a third of the client timeout, which is mostly 5 s.
  instant most = std::chrono::milliseconds(1600);
  /// Slots counted per retry: new requests take about half of the slots.
  double slots_per_return = 2;
};

/// Inputs of a retry delay.
struct refusal {
  /// Wait in the shortest queue.
  instant wait{};
  /// Mean time that an online request holds a slot.
  instant slot_time{};
  /// This daemon's share of the local slots.
  double slots = 1;
};

/// Computes when a refused client may retry and records the retry in the book.
/// \param now current time on the steady clock.
/// \return the delay from now.
instant promise_return(return_book& book, const refusal& it, instant now,
                       const return_options& options = {});

}  // namespace fulmar::serving
