// Monitors requests in flight: detects silent targets and stalled streams, and
// preempts batch items where online requests wait for slots.

#include <absl/container/flat_hash_map.h>

#include <algorithm>

#include "front.h"
#include "fulmarpitch/core/rendezvous.h"
#include "fulmarpitch/serving/slot-waits.h"

namespace fulmar::serving {
namespace {

/// Requests in flight, and for each the input of the slot-wait decisions.
struct slot_snapshot {
  std::vector<live_attempt*> attempts;
  std::vector<slot_use> uses;
};

slot_snapshot take_slot_snapshot(front& in) {
  auto out = slot_snapshot();
  for (auto& it : in.attempts) {
    if (it.started.count() == 0 || it.stopped) continue;
    out.attempts.push_back(&it);
    out.uses.push_back({.target = stable_hash(it.target),
                        .kind = it.kind,
                        .sent = it.last_received,
                        .has_output = it.has_output,
                        .has_preempted = it.has_preempted,
                        .cut_count = it.cut_count});
  }
  return out;
}

/// Slots that online requests could take, by the software of the targets.
using spare_slots = absl::flat_hash_map<stream_origin, std::uint32_t>;

/// Counts the slots at targets that are not avoided.
spare_slots count_spare_slots(front& in, instant now) {
  auto out = spare_slots();
  auto loads = all_loads(in.board, now);
  auto full = find_full_targets(in, now);
  for (const auto& [id, row] : in.targets.rows) {
    if (trust_in(row, {}, now) == trust::none || full.contains(row.key))
      continue;
    auto load = loads.find(row.key);
    auto online = load == loads.end() ? 0 : load->second.online;
    out[origin_of(row.listed)] +=
        row.listed.slots - std::min(online, row.listed.slots);
  }
  return out;
}

/// \return whether a request at a silent target may be closed. A target may be
///     silent for a while and go on, so a request waits for it if it may run
///     nowhere else, or has begun and finds no slot elsewhere.
/// \param spare is reduced by the slot that the request takes.
bool may_close(const live_attempt& it, spare_slots& spare, instant now) {
  if (it.kind == work_kind::batch) {
    auto limit = extended_limit(it.silence_timeout, it.cut_count);
    return now - it.last_received >= limit;
  }
  if (it.is_last) return false;
  auto has_begun = it.has_output || it.head_sent;
  if (!has_begun) return true;
  auto& slots = spare[it.origin];
  if (slots == 0) return false;
  --slots;
  return true;
}

}  // namespace

void preempt_batch_items(front& in) {
  auto now = event_loop::steady();
  for (const auto& [key, load] : in.board.own) {
    if (load.batch == 0) continue;
    const auto* target = find_target(in.targets, key);
    if (target == nullptr) continue;
    preempt_newest_items(in, target->listed.id,
                         batch_to_yield(in.board, in.settings.name, key,
                                        target->listed.slots, now));
  }
}

void preempt_newest_items(front& in, const std::string& target,
                          std::uint32_t count) {
  for (auto it = in.attempts.rbegin(); it != in.attempts.rend() && count > 0;
       ++it) {
    if (it->kind != work_kind::batch || it->target != target) continue;
    --count;
    if (!it->stopped) it->stop();
  }
}

absl::flat_hash_set<std::uint64_t> find_full_targets(front& in, instant now) {
  return full_targets(take_slot_snapshot(in).uses, now);
}

void preempt_for_waiting_requests(front& in, instant now) {
  auto snapshot = take_slot_snapshot(in);
  auto plan = plan_preemptions(snapshot.uses, now);
  for (auto n : plan.withdrawn) {
    snapshot.attempts[n]->withdrawn = true;
    snapshot.attempts[n]->stop();
  }
  for (auto n : plan.preempting)
    snapshot.attempts[n]->has_preempted = true;
  for (auto n : plan.preempted) {
    auto& it = *snapshot.attempts[n];
    in.log.add("batch_gives_way",
               {{"target", it.target},
                {"job", it.job},
                {"why", "an online request waits for a slot"}});
    it.stop();
  }
}

void close_stalled_streams(front& in, instant now) {
  for (auto& it : in.attempts) {
    if (it.kind != work_kind::batch || it.started.count() == 0) continue;
    if (!it.link || !it.link->is_open() ||
        !is_stalled(it.last_event, now, it.cut_count))
      continue;
    in.log.add("item_stalled", {{"target", it.target}, {"job", it.job}});
    it.closed_stalled = true;
    it.link->close();
    record_target_failure(in, it.target, target_fault::silent);
  }
}

namespace {

/// Closes the requests at silent targets that may run elsewhere.
void close_silent_attempts(front& in, instant now) {
  auto spare = std::optional<spare_slots>();
  for (auto& it : in.attempts) {
    if (!it.target_silent || !it.repeatable) continue;
    if (!it.link || !it.link->is_open()) continue;
    if (!spare) spare = count_spare_slots(in, now);
    if (!may_close(it, *spare, now)) continue;
    it.closed_silent = true;
    it.link->close();
  }
}

}  // namespace

void detect_silent_targets(front& in, instant now, bool paused) {
  auto last_received = absl::flat_hash_map<std::string, instant>();
  for (auto& it : in.attempts) {
    if (paused) it.last_received = it.last_event = now;
    if (it.started.count() == 0) continue;
    auto& last = last_received[it.target];
    last = std::max({last, it.last_received, it.started});
  }
  for (auto& it : in.attempts) {
    auto last = last_received.find(it.target);
    it.target_silent =
        last != last_received.end() && now - last->second >= it.silence_timeout;
    if (!it.target_silent) continue;
    if (auto* row = find_target(in.targets, it.target);
        row != nullptr && trust_at(row->seen.doubt, now) != trust::none) {
      record_target_failure(in, it.target, target_fault::silent);
    }
  }
  close_silent_attempts(in, now);
}

}  // namespace fulmar::serving
