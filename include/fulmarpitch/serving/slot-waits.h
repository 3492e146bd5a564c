#pragma once

/// \file
/// Infers from the waits of this daemon's own requests which targets are full,
/// for targets whose load is not reported. Partitioned daemons fill the same
/// slots, and engines admit requests in order of arrival, so an online request
/// can queue behind batch items that no load report counts.

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/serving/load-board.h"

namespace fulmar::serving {

/// One request that this daemon has sent to a target.
struct slot_use {
  /// The target's key in the target table.
  std::uint64_t target = 0;
  work_kind kind = work_kind::online;
  /// When the request was sent, on the steady clock.
  instant sent{};
  /// The target has sent output, so the request holds a slot.
  bool has_output = false;
  /// A batch item was already preempted for this online request.
  bool has_preempted = false;
  /// Runs of this batch item that this daemon has cut off since its last event.
  std::uint32_t cut_count = 0;
};

/// Limits on silence double with each run of an item that was cut off without
/// an event: a sound target that reads a long prompt, or has many to read,
/// looks like one that is full or gone. So every item gets a run that is long
/// enough.
/// \param limit the limit for the first run.
/// \param cut_count runs that were cut off since the item's last event.
/// \return the limit for the next run; the growth ends at 256 times the first.
instant extended_limit(instant limit, std::uint32_t cut_count);

/// A decoding target sends an event every 20 to 40 ms, and a request may queue
/// there for as long as its latency goal, 300 to 500 ms.
inline constexpr auto min_silence_timeout = std::chrono::milliseconds(700);

/// How long a request may wait for its first output before the target counts as
/// full. A target with a free slot responds in 35 ms, or 95 ms across regions.
struct slot_wait_options {
  /// Half of the latency goal of 300 ms: a slot freed by then still lets the
  /// request meet it.
  instant max_online_wait = std::chrono::milliseconds(150);
  /// A queued item delays every online request behind it, but withdrawing it
  /// costs a connection. Extended for items that were cut off before.
  instant max_batch_wait = std::chrono::milliseconds(300);
  /// Upper bound of the extended limit while an online request of this daemon
  /// waits behind the item.
  instant max_batch_wait_before_online = std::chrono::milliseconds(4800);
};

/// Finds the targets at which one of these requests has waited too long.
/// \param uses this daemon's requests.
/// \param now current time on the steady clock.
/// \return the keys of the targets.
absl::flat_hash_set<std::uint64_t> full_targets(
    std::span<const slot_use> uses, instant now,
    const slot_wait_options& options = {});

/// A batch item's stream that delivers no complete event for this long has
/// stalled, even if bytes keep arriving. Engines pause streams for seconds when
/// they run out of memory.
inline constexpr auto max_event_gap = std::chrono::seconds(10);

/// \param last_event when the last complete event arrived, or when the request
///     was sent if none has.
/// \param now current time on the steady clock.
/// \param cut_count runs that were cut off since the item's last event.
/// \return whether the stream has stalled.
bool is_stalled(instant last_event, instant now, std::uint32_t cut_count = 0);

/// The batch items to stop so that waiting requests get slots. All members are
/// indices into the list of requests.
struct preemption_plan {
  /// Batch items without output that have waited too long at a target, or for
  /// long with an online request behind them.
  std::vector<std::size_t> withdrawn;
  /// Batch items that are preempted because an online request waits for a slot.
  std::vector<std::size_t> preempted;
  /// The online request that each preempted item makes room for, in the same
  /// order.
  std::vector<std::size_t> preempting;
};

/// Selects the batch items to withdraw or preempt. Each waiting online request
/// preempts at most one item: the newest at its target.
/// \param uses this daemon's requests, oldest first.
/// \param now current time on the steady clock.
/// \return indices into `uses`.
preemption_plan plan_preemptions(std::span<const slot_use> uses, instant now,
                                 const slot_wait_options& options = {});

}  // namespace fulmar::serving
