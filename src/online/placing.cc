#include "placing.h"

#include <utility>

namespace fulmar::serving {
namespace {

/// Interval at which a held request looks for a free slot.
constexpr auto late_poll_interval = std::chrono::milliseconds(10);

/// \return the number of daemons in this data centre, including this one; they
///     share its targets.
std::size_t count_local_daemons(const front& in) {
  return 1 +
         live_members(in.board, in.settings.data_centre, event_loop::steady())
             .size();
}

/// \return whether this daemon runs as many late requests as it may.
bool late_requests_full(const front& in, const online_request& it) {
  auto rate = arrival_rate(in.arrivals, event_loop::steady());
  return count_running(in.late_requests, it.service) >=
         max_late_running(share_of_slots(in, it), rate, in.slot_time);
}

/// Collects the targets for a request and counts the slots near by.
service_targets candidates_for(front& in, online_request& it) {
  auto found = targets_of(in, it.service);
  if (it.origin) keep_version(found, it.origin->version);
  it.load_age = oldest_report(in.board, event_loop::steady());
  it.local_slots = 0;
  for (auto n = std::size_t{0}; n < found.rows.size(); ++n) {
    auto& row = found.candidates[n];
    row.tried = it.tried.contains(found.rows[n]->listed.id);
    auto is_local = row.away == distance::data_centre;
    if (is_local && row.trusted == trust::full) it.local_slots += row.slots;
  }
  return found;
}

/// Records a placement.
/// \return the target's id; empty if no target should get the request.
std::string take_placement(online_request& it, const service_targets& found,
                           const placement& out) {
  it.placed = out;
  if (!out.target) return {};
  it.load_seen = found.candidates[*out.target].load;
  return found.rows[*out.target]->listed.id;
}

/// Chooses a target for a late request that is next to start.
/// \return the target's id; empty while the request is to be held.
std::string place_held(front& in, online_request& it) {
  auto found = candidates_for(in, it);
  auto out = placement{.reason = placement_reason::held_back};
  if (!late_requests_full(in, it)) out = place_late(found.candidates, {});
  return take_placement(it, found, out);
}

}  // namespace

double share_of_slots(const front& in, const online_request& it) {
  return it.local_slots / static_cast<double>(count_local_daemons(in));
}

bool may_continue(const front& in, const online_request& it) {
  return !it.origin || has_target_for(in.targets, *it.origin);
}

std::string place(front& in, online_request& it) {
  auto found = candidates_for(in, it);
  return take_placement(
      it, found,
      place_online(found.candidates, placement_of(time_of(it), in.slot_time)));
}

task<std::string> hold(front& in, online_request& it) {
  auto line = it.origin.value_or(stream_origin{.service = it.service});
  auto& entry =
      it.late_entry.emplace(in.late_requests, std::move(line), it.deadline);
  auto id = std::string();
  while (is_late(in, it) && !it.client_gone && may_continue(in, it)) {
    if (entry.is_first()) id = place_held(in, it);
    if (!id.empty()) break;
    co_await pause_for(late_poll_interval);
  }
  entry.start();
  it.held = event_loop::steady() - it.arrived;
  co_return id;
}

}  // namespace fulmar::serving
