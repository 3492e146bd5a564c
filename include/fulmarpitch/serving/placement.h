#pragma once

/// \file
/// Where a request goes: the least loaded target near by, a lent slot in
/// another region when home would be late, or a refusal. Batch items go only to
/// slots that nobody uses.

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/serving/load-board.h"

namespace fulmar::serving {

/// How far a target is.
enum class distance { data_centre, region, other_region };

/// A target as a placement sees it.
struct candidate {
  target_load load;
  std::uint32_t slots = 1;
  distance away = distance::data_centre;
  /// What it may be given, by what was seen of it lately.
  trust trusted = trust::full;
  /// Reports tell how busy it is; otherwise others may use it unseen.
  bool load_known = true;
  /// Requests of this daemon wait there, whatever the reports of others say.
  bool found_full = false;
  /// A connection to it is open and idle.
  bool linked = false;
  /// Requests of this client attempt already went there.
  bool tried = false;
  /// Breaks ties; differs from request to request.
  std::uint64_t tie = 0;
};

/// Why a placement came out as it did.
enum class placement_reason {
  free_slot,
  batch_gives_way,
  lent_slot,
  short_queue,
  on_trial,
  doubtful_only,
  no_target,
  would_be_late,
};

inline constexpr std::array<named<placement_reason>, 8> placement_reason_names{
    {{placement_reason::free_slot, "free_slot"},
     {placement_reason::batch_gives_way, "batch_gives_way"},
     {placement_reason::lent_slot, "lent_slot"},
     {placement_reason::short_queue, "short_queue"},
     {placement_reason::on_trial, "on_trial"},
     {placement_reason::doubtful_only, "doubtful_only"},
     {placement_reason::no_target, "no_target"},
     {placement_reason::would_be_late, "would_be_late"}}};

/// What a placement weighs.
struct placement_options {
  /// Mean time that an online request holds a slot.
  instant slot_time = std::chrono::milliseconds(700);
  /// Longest wait in a target's queue that still meets the goal.
  instant max_wait = std::chrono::milliseconds(200);
  /// One in so many slots of another data centre is not lent while home has a
  /// short queue: its load is heard of half a second late, so that several
  /// daemons take the last slot at once.
  std::uint32_t slots_per_reserved_lent = 4;
};

/// How long a caller waits.
struct caller_time {
  /// Time within which its answer begins in time.
  instant goal{};
  /// The route's time-out; zero for none.
  instant timeout{};
  /// What is left of the caller's own time.
  instant left{};
};

/// Weighs a request by its caller's time. One with less time than its route
/// allows came back after a refusal, and may not come again: it is queued for
/// longer, where a first one is told when to come back.
/// \param time the caller's time.
/// \param slot_time mean time that an online request holds a slot.
placement_options placement_of(const caller_time& time, instant slot_time);

/// The outcome: a target, or none.
struct placement {
  std::optional<std::size_t> target;
  placement_reason reason = placement_reason::no_target;
  /// Expected wait in the shortest queue.
  instant wait{};
};

/// Places an online request. Among targets at home with slots to spare, those
/// with an open connection come first: many daemons share them, and each new
/// connection costs the target and the request time.
/// \param among the targets of its service that take work.
/// \param options the weights.
placement place_online(std::span<const candidate> among,
                       const placement_options& options);

/// Slots that batch leaves free for online requests, which then stop fewer
/// items when they arrive.
struct batch_reserve {
  /// One in so many slots of a target; 0 for none.
  std::uint32_t slots_per_reserved = 0;
  /// The same in other data centres, where an item stops later; 0 if no slot
  /// may be used there.
  std::uint32_t slots_per_reserved_away = 0;
  /// Share of the daemons near by that are heard. The slots of the others stay
  /// free: daemons that are cut off from each other would each fill all.
  double heard_share = 1;
};

/// Places a batch item: a slot that is free beyond the reserve, in the own data
/// centre if there is one.
/// \param among the targets of its service that take work.
/// \param reserve slots to leave free.
std::optional<std::size_t> place_batch(std::span<const candidate> among,
                                       const batch_reserve& reserve);

}  // namespace fulmar::serving
