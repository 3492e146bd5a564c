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
                        .withdrawal_count = it.withdrawal_count});
  }
  return out;
}

/// \return whether another target that is not avoided could go on with a
///     request.
bool has_alternative(const front& in, const live_attempt& it, instant now) {
  return std::any_of(
      in.targets.rows.begin(), in.targets.rows.end(), [&](const auto& other) {
        const auto& [id, row] = other;
        return id != it.target && origin_of(row.listed) == it.origin &&
               trust_in(row, {}, now) != trust::none;
      });
}

/// \return whether a request at a silent target may be closed. A target may be
///     silent for a while and go on, so a request waits for it if it may run
///     nowhere else, or has begun and cannot go on elsewhere.
bool may_close(const front& in, const live_attempt& it, instant now) {
  if (it.kind == work_kind::batch) return true;
  if (it.is_last) return false;
  auto has_begun = it.has_output || it.head_sent;
  return !has_begun || has_alternative(in, it, now);
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
    if (!it.link || !it.link->is_open() || !is_stalled(it.last_event, now))
      continue;
    in.log.add("item_stalled", {{"target", it.target}, {"job", it.job}});
    it.link->close();
    record_target_failure(in, it.target, target_fault::silent);
  }
}

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
    if (!it.repeatable || !it.link || !it.link->is_open()) continue;
    if (!may_close(in, it, now)) continue;
    it.closed_silent = true;
    it.link->close();
  }
}

}  // namespace fulmar::serving
