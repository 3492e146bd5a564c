#pragma once

/// \file
/// Chooses the target of a request: the least loaded one in the own data
/// centre, a slot in another data centre when the local wait would be too long,
/// or a refusal. Batch items use only free slots.

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/serving/load-board.h"

namespace fulmar::serving {

/// Distance of a target from this daemon.
enum class distance { data_centre, region, other_region };

/// A target that a placement considers.
struct candidate {
  target_load load;
  std::uint32_t slots = 1;
  distance away = distance::data_centre;
  /// Work that it may be given, by its recent behaviour.
  trust trusted = trust::full;
  /// Whether the load includes the requests of the daemons in its data centre.
  load_knowledge knowledge = load_knowledge::reported;
  /// Requests of this daemon queue there, although reports may show free slots.
  bool found_full = false;
  /// A connection to it is open and idle.
  bool linked = false;
  /// This client attempt has already been sent there.
  bool tried = false;
  /// Tie-breaker; differs from request to request.
  std::uint64_t tie = 0;
};

/// Reason for the outcome of a placement.
enum class placement_reason {
  free_slot,
  batch_gives_way,
  lent_slot,
  short_queue,
  on_trial,
  doubtful_only,
  no_target,
  would_be_late,
  held_back,
};

inline constexpr std::array<named<placement_reason>, 9> placement_reason_names{
    {{placement_reason::free_slot, "free_slot"},
     {placement_reason::batch_gives_way, "batch_gives_way"},
     {placement_reason::lent_slot, "lent_slot"},
     {placement_reason::short_queue, "short_queue"},
     {placement_reason::on_trial, "on_trial"},
     {placement_reason::doubtful_only, "doubtful_only"},
     {placement_reason::no_target, "no_target"},
     {placement_reason::would_be_late, "would_be_late"},
     {placement_reason::held_back, "held_back"}}};

/// Parameters of a placement.
struct placement_options {
  /// Mean time that an online request holds a slot.
  instant slot_time = std::chrono::milliseconds(700);
  /// Longest wait in a target's queue that still meets the latency goal.
  instant max_wait = std::chrono::milliseconds(200);
  /// Longest wait at home that is preferred to a slot in another data centre:
  /// its load is half a second old, and in a peak its slots are often taken.
  instant max_home_wait = std::chrono::milliseconds(100);
  /// One in this many slots of a target in another data centre is not used
  /// while the local queue is short: reports of its load are half a second
  /// old, so that several daemons would take the last slot at once.
  std::uint32_t slots_per_reserved_remote = 4;
  /// One in this many slots of a target is not used by late requests, so that
  /// new ones find a free slot.
  std::uint32_t slots_per_reserved_late = 8;
};

/// Times of a request that is to be placed.
struct caller_time {
  /// Latency goal for the first output.
  instant goal{};
  /// How long the caller had waited before it sent this attempt.
  instant waited{};
  /// Time since this attempt arrived.
  instant held{};
  /// Time left until the caller's deadline.
  instant left{};
  /// How long the caller waits for the first output of an attempt.
  instant max_silence{};
};

/// Derives placement options from the caller's time limits. A request whose
/// caller has waited before is a retry and may not be retried again: it may
/// queue for longer, where a first attempt is refused with a time to retry.
/// \param slot_time mean time that an online request holds a slot.
placement_options placement_of(const caller_time& time, instant slot_time);

/// Outcome of a placement: a target, or none.
struct placement {
  std::optional<std::size_t> target;
  placement_reason reason = placement_reason::no_target;
  /// Expected wait in the shortest queue.
  instant wait{};
};

/// Places an online request that gives way to new ones: on a slot that is free
/// or held by a batch item, beyond a reserve for new requests.
/// \return no target and `held_back` if there is none.
placement place_late(std::span<const candidate> among,
                     const placement_options& options);

/// Places an online request. Among local targets with slots to spare, those
/// with an idle open connection are preferred: many daemons share the targets,
/// and each new connection costs time at the target and for the request.
/// \param among the targets of its service that accept work.
placement place_online(std::span<const candidate> among,
                       const placement_options& options);

/// Slots that batch leaves free for online requests, which then preempt fewer
/// items when they arrive.
struct batch_reserve {
  /// One in this many slots of a target is kept free; 0 for none.
  std::uint32_t slots_per_reserved = 0;
  /// The same in other data centres, where preemption takes longer; 0 if batch
  /// may use no slot there.
  std::uint32_t slots_per_reserved_away = 0;
  /// Fraction of the local daemons with a current report. The slots of the
  /// others stay free: daemons partitioned from each other would otherwise each
  /// fill every slot.
  double heard_share = 1;
};

/// Places a batch item on a slot that is free beyond the reserve, preferably in
/// the own data centre. Of a target elsewhere whose daemons no longer report,
/// batch uses few slots, as they may serve online requests there unseen.
/// \param among the targets of its service that accept work.
/// \param reserve slots to leave free.
std::optional<std::size_t> place_batch(std::span<const candidate> among,
                                       const batch_reserve& reserve);

}  // namespace fulmar::serving
