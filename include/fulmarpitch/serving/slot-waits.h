#pragma once

/// \file
/// What the waits of this daemon's own requests tell about targets whose load
/// it does not hear of. Daemons that are cut off from each other fill the same
/// slots, and engines admit in order of arrival: an online request then queues
/// behind batch items that no report counts.

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/serving/load-board.h"

namespace fulmar::serving {

/// One request of this daemon at a target.
struct slot_use {
  /// The target's key.
  std::uint64_t target = 0;
  work_kind kind = work_kind::online;
  /// When the request was sent, on the steady clock.
  instant sent{};
  /// The target has sent output: the request holds a slot.
  bool begun = false;
  /// A batch item was already stopped for this online request.
  bool relieved = false;
  /// Queues that this batch item was taken out of since its last event.
  std::uint32_t times_queued = 0;
};

/// How long a request waits for its first output before the target counts as
/// full. A target with a free slot takes 35 ms, and 95 ms in another region.
struct slot_wait_options {
  /// Half of the goal of 300 ms: a slot that is freed then still helps.
  instant online = std::chrono::milliseconds(150);
  /// An item in a target's queue delays every online request behind it, but
  /// taking one back costs a connection. Doubles each time, so that an item is
  /// run even where all targets are slow.
  instant batch = std::chrono::milliseconds(300);
};

/// Finds the targets that let one of these requests wait.
/// \param uses this daemon's requests.
/// \param now the steady clock.
/// \return the targets' keys.
absl::flat_hash_set<std::uint64_t> full_targets(
    std::span<const slot_use> uses, instant now,
    const slot_wait_options& options = {});

/// A batch item's stream that brings no whole event for this long has stalled,
/// even if bytes of one arrive. Engines pause streams for seconds when their
/// memory runs out.
inline constexpr auto longest_event_gap = std::chrono::seconds(10);

/// Tells whether a stream has stalled.
/// \param last_event when the last whole event arrived, or it was sent.
/// \param now the steady clock.
bool is_stalled(instant last_event, instant now);

/// What this daemon does about waits.
struct slot_relief {
  /// Batch items that wait in a target's queue and are taken out of it.
  std::vector<std::size_t> taken_back;
  /// Batch items that hold a slot for which an online request waits.
  std::vector<std::size_t> stopped;
  /// The online requests for which they stop, in the same order.
  std::vector<std::size_t> relieved;
};

/// Chooses the batch items that give way. Each waiting online request has one
/// item stopped, the newest at its target, and only once.
/// \param uses this daemon's requests, oldest first.
/// \param now the steady clock.
/// \return indices into `uses`.
slot_relief relieve_waits(std::span<const slot_use> uses, instant now,
                          const slot_wait_options& options = {});

}  // namespace fulmar::serving
