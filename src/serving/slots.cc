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
struct slot_view {
  std::vector<live_attempt*> attempts;
  std::vector<slot_use> uses;
};

slot_view view_slots(front& in) {
  auto out = slot_view();
  for (auto& it : in.attempts) {
    if (it.started.count() == 0 || it.stopped) continue;
    out.attempts.push_back(&it);
    out.uses.push_back({.target = stable_hash(it.target),
                        .kind = it.kind,
                        .sent = it.heard,
                        .begun = it.begun,
                        .relieved = it.relieved,
                        .times_queued = it.times_queued});
  }
  return out;
}

}  // namespace

void yield_batch(front& in) {
  auto now = event_loop::steady();
  for (const auto& [key, load] : in.board.own) {
    if (load.batch == 0) continue;
    const auto* target = find_target(in.targets, key);
    if (target == nullptr) continue;
    auto n = batch_to_yield(in.board, in.settings.name, key,
                            target->listed.slots, now);
    // Newest first: they lose the least output.
    for (auto it = in.attempts.rbegin(); it != in.attempts.rend() && n > 0;
         ++it) {
      if (it->kind != work_kind::batch || it->target != target->listed.id)
        continue;
      --n;
      if (!it->stopped) it->stop();
    }
  }
}

absl::flat_hash_set<std::uint64_t> targets_found_full(front& in, instant now) {
  return full_targets(view_slots(in).uses, now);
}

void relieve_slots(front& in, instant now) {
  auto view = view_slots(in);
  auto relief = relieve_waits(view.uses, now);
  for (auto n : relief.taken_back) {
    view.attempts[n]->taken_back = true;
    view.attempts[n]->stop();
  }
  for (auto n : relief.relieved)
    view.attempts[n]->relieved = true;
  for (auto n : relief.stopped) {
    auto& it = *view.attempts[n];
    in.log.add("batch_gives_way",
               {{"target", it.target},
                {"job", it.job},
                {"why", "an online request waits for a slot"}});
    it.stop();
  }
}

void end_stalled_items(front& in, instant now) {
  for (auto& it : in.attempts) {
    if (it.kind != work_kind::batch || it.started.count() == 0) continue;
    if (!it.link || !it.link->is_open() || !is_stalled(it.last_event, now))
      continue;
    in.log.add("item_stalled", {{"target", it.target}, {"job", it.job}});
    it.link->close();
    doubt_target(in, it.target, target_fault::silent);
  }
}

void watch_targets(front& in, instant now, bool paused) {
  auto heard = absl::flat_hash_map<std::string, instant>();
  for (auto& it : in.attempts) {
    if (paused) it.heard = it.last_event = now;
    if (it.started.count() == 0) continue;
    auto& last = heard[it.target];
    last = std::max({last, it.heard, it.started});
  }
  for (auto& it : in.attempts) {
    auto last = heard.find(it.target);
    it.fell_silent = last != heard.end() && now - last->second >= it.patience;
    if (!it.fell_silent) continue;
    if (auto* row = find_target(in.targets, it.target);
        row != nullptr && trust_at(row->seen.doubt, now) != trust::none) {
      doubt_target(in, it.target, target_fault::silent);
    }
    if (it.repeatable && it.link && it.link->is_open()) it.link->close();
  }
}

}  // namespace fulmar::serving
