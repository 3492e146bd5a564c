#include "fulmarpitch/serving/placement.h"

#include <algorithm>
#include <tuple>

#include "fulmarpitch/serving/returns.h"

namespace fulmar::serving {
namespace {

/// Time to first output apart from the queue wait: prompt processing, the first
/// step and the network round trip.
constexpr auto min_first_output = std::chrono::milliseconds(60);

/// A request whose caller has waited for this long is a retry.
constexpr auto min_retry_delay = return_options().least;

/// Longest queue wait of a request that may not be retried again. Clients
/// abandon a stream without an event for 2 s, and wait estimates are rough.
constexpr auto max_retry_wait = std::chrono::milliseconds(600);

/// Finds the candidate with the least key among those that fit.
template <typename Fits, typename Key>
std::optional<std::size_t> least(std::span<const candidate> among, Fits fits,
                                 Key key) {
  auto best = std::optional<std::size_t>();
  for (auto it = std::size_t{0}; it < among.size(); ++it) {
    if (!fits(among[it])) continue;
    if (!best || key(among[it]) < key(among[*best])) best = it;
  }
  return best;
}

bool usable(const candidate& it) {
  return it.trusted == trust::full && !it.tried;
}

/// Slots without a known request.
std::uint32_t free_slots(const candidate& it) {
  if (it.found_full || it.load.total() >= it.slots) return 0;
  return it.slots - it.load.total();
}

/// Of a target whose data centre has not reported for long, one in this many
/// slots is considered free, and at least one.
constexpr std::uint32_t slots_per_unclaimed = 4;

/// Slots assumed to be in use beyond the known load.
std::uint32_t reserved_slots(const candidate& it,
                             std::uint32_t slots_per_reserved) {
  if (slots_per_reserved == 0) return 0;
  switch (it.knowledge) {
    case load_knowledge::reported:
      return it.slots / slots_per_reserved;
    case load_knowledge::abandoned:
      return it.slots - std::max(it.slots / slots_per_unclaimed, 1U);
    case load_knowledge::unreported:
      break;
  }
  return it.slots;
}

/// Slots of a target that daemons without a current report may use.
std::uint32_t unreported_slots(const candidate& it, double heard_share) {
  auto heard = static_cast<std::uint32_t>(it.slots * heard_share);
  return it.slots - std::min(heard, it.slots);
}

auto by_distance(const candidate& it) {
  return std::tuple(it.away, it.load.online, it.tie);
}

/// A target with at most one in this many of its slots free is nearly full:
/// several daemons may take the last slots at once.
constexpr std::uint32_t slots_per_spare = 4;

/// Orders targets with free slots: those with slots to spare first, among them
/// those with an open connection.
auto by_spare_and_link(const candidate& it) {
  auto nearly_full = free_slots(it) <= it.slots / slots_per_spare;
  auto unlinked = !nearly_full && !it.linked;
  return std::tuple(nearly_full, unlinked, it.load.total(), it.tie);
}

auto by_total(const candidate& it) {
  return std::tuple(it.load.total(), it.tie);
}

auto by_online(const candidate& it) {
  return std::tuple(it.load.online, it.load.batch, it.tie);
}

/// Queue wait of the next request at a target if batch items are preempted.
instant expected_wait(const candidate& it, instant slot_time) {
  auto online =
      it.found_full ? std::max(it.load.online, it.slots) : it.load.online;
  if (online < it.slots) return {};
  auto ahead = online - it.slots + 1;
  return slot_time * ahead / std::max<std::uint32_t>(it.slots, 1);
}

/// Finds a slot at one distance: a free one, or else one held by a batch item.
/// \param slots_per_reserved one in this many slots is assumed to be in use
///     beyond the known load; 0 for none.
std::optional<placement> place_at(std::span<const candidate> among,
                                  distance away,
                                  std::uint32_t slots_per_reserved) {
  auto free_slot = least(
      among,
      [&](const candidate& it) {
        return usable(it) && it.away == away &&
               free_slots(it) > reserved_slots(it, slots_per_reserved);
      },
      by_spare_and_link);
  auto lent = away != distance::data_centre;
  if (free_slot) {
    return placement{.target = free_slot,
                     .reason = lent ? placement_reason::lent_slot
                                    : placement_reason::free_slot};
  }
  auto yielding = least(
      among,
      [&](const candidate& it) {
        return usable(it) && it.away == away && !it.found_full &&
               it.load.online + reserved_slots(it, slots_per_reserved) <
                   it.slots;
      },
      by_online);
  if (!yielding) return std::nullopt;
  return placement{.target = yielding,
                   .reason = lent ? placement_reason::lent_slot
                                  : placement_reason::batch_gives_way};
}

/// Finds a slot in another data centre, preferably in the own region.
std::optional<placement> lend(std::span<const candidate> among,
                              std::uint32_t slots_per_reserved) {
  for (auto away : {distance::region, distance::other_region}) {
    if (auto it = place_at(among, away, slots_per_reserved)) return it;
  }
  return std::nullopt;
}

}  // namespace

placement_options placement_of(const caller_time& time, instant slot_time) {
  auto out = placement_options{.slot_time = slot_time};
  if (time.goal > min_first_output) out.max_wait = time.goal - min_first_output;
  out.max_home_wait = out.max_wait / 2;
  auto came_back = time.waited >= min_retry_delay;
  if (!came_back) return out;
  auto max_useful_wait = time.left - slot_time - min_first_output;
  out.max_wait = std::max(out.max_wait,
                          std::min<instant>(max_retry_wait, max_useful_wait));
  return out;
}

placement place_online(std::span<const candidate> among,
                       const placement_options& options) {
  if (auto it = place_at(among, distance::data_centre, 0)) return *it;
  auto queue = least(
      among,
      [&](const candidate& it) {
        return usable(it) && it.away == distance::data_centre;
      },
      by_online);
  auto has_home = queue.has_value();
  if (!queue) queue = least(among, usable, by_online);
  auto wait =
      queue ? expected_wait(among[*queue], options.slot_time) : instant::max();
  auto in_queue = placement{
      .target = queue, .reason = placement_reason::short_queue, .wait = wait};
  if (has_home && wait <= options.max_home_wait) return in_queue;
  if (auto it = lend(among, options.slots_per_reserved_remote)) return *it;
  auto in_time = queue && wait <= options.max_wait;
  if (in_time && has_home) return in_queue;
  if (auto it = lend(among, 0)) return *it;
  if (in_time) return in_queue;
  auto on_trial = least(
      among,
      [](const candidate& it) {
        return it.trusted == trust::trial && !it.tried &&
               it.load.online < it.slots;
      },
      by_distance);
  if (on_trial)
    return {.target = on_trial, .reason = placement_reason::on_trial};
  if (queue) {
    return {.reason = placement_reason::would_be_late, .wait = wait};
  }
  auto doubtful = least(
      among, [](const candidate& it) { return !it.tried; }, by_distance);
  if (doubtful)
    return {.target = doubtful, .reason = placement_reason::doubtful_only};
  return {.reason = placement_reason::no_target};
}

placement place_late(std::span<const candidate> among,
                     const placement_options& options) {
  if (auto it = place_at(among, distance::data_centre,
                         options.slots_per_reserved_late))
    return *it;
  if (auto it = lend(among, options.slots_per_reserved_remote)) return *it;
  return {.reason = placement_reason::held_back};
}

std::optional<std::size_t> place_batch(std::span<const candidate> among,
                                       const batch_reserve& reserve) {
  auto has_room = [&](const candidate& it, std::uint32_t slots_per_reserved) {
    return free_slots(it) > reserved_slots(it, slots_per_reserved) +
                                unreported_slots(it, reserve.heard_share);
  };
  auto here = least(
      among,
      [&](const candidate& it) {
        return it.trusted != trust::none && it.away == distance::data_centre &&
               has_room(it, reserve.slots_per_reserved);
      },
      by_total);
  if (here || reserve.slots_per_reserved_away == 0) return here;
  return least(
      among,
      [&](const candidate& it) {
        return it.trusted == trust::full && it.away != distance::data_centre &&
               has_room(it, reserve.slots_per_reserved_away);
      },
      [](const candidate& it) {
        return std::tuple(it.away, it.load.total(), it.tie);
      });
}

}  // namespace fulmar::serving
