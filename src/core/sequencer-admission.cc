#include <algorithm>

#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/sequencer-state.h"

namespace fulmar::detail {
namespace {

class_candidate candidate_of(const sequencer_state& s, const class_row& it,
                             instant now) {
  auto result = class_candidate{.name = it.policy.name,
                                .rank = it.policy.rank,
                                .kind = it.policy.kind,
                                .owed_tokens = owed_tokens(s, it, now)};
  result.callers.reserve(recorded_candidates);
  for (auto row : it.queue.heads(recorded_candidates)) {
    const auto& request = s.requests[row];
    const auto& caller = it.queue.at(request.caller);
    result.callers.push_back(
        {.caller = caller.name,
         .request_id = request.item.id,
         .virtual_tokens = caller.virtual_tokens,
         .deadline = is_batch(request) ? request.item.deadline : instant{},
         .arrival_number = request.arrival_number});
  }
  return result;
}

// Classes with work, and their places in the table.
struct open_classes {
  std::vector<class_candidate> candidates;
  std::vector<std::size_t> places;
};

open_classes open_of(const sequencer_state& s, instant now) {
  auto result = open_classes();
  result.candidates.reserve(s.classes.size());
  result.places.reserve(s.classes.size());
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    if (!s.classes[i].queue.can_serve()) continue;
    result.candidates.push_back(candidate_of(s, s.classes[i], now));
    result.places.push_back(i);
  }
  return result;
}

// A head that must not be admitted any more, or not yet, leaves the queue.
bool drop_head(sequencer_state& s, row_id row, instant now) {
  const auto& it = s.requests[row];
  if (s.suspects.is_quarantined(it.item.content_hash, now)) {
    refuse(s, row, error_code::quarantined);
    return true;
  }
  return false;
}

// A head that waits for more than a free slot does not hold up its class.
bool hold_aside(sequencer_state& s, row_id row, instant now) {
  const auto& it = s.requests[row];
  auto is_suspect = s.suspects.is_suspect(it.item.content_hash, now);
  if (!is_suspect && has_place(s, it)) return false;
  hold(s, row, now + isolation_pause);
  return true;
}

// Online work that waits for a place keeps batch work out.
void close_class(open_classes& open, std::size_t at) {
  auto& closed = open.candidates[at];
  closed.may_admit = false;
  if (closed.kind == work_kind::batch) return;
  for (auto& it : open.candidates) {
    if (it.kind == work_kind::batch) it.may_admit = false;
  }
}

void check_admission(const sequencer_state& s, const request_row& row,
                     const target_row& target) {
  ensure(!target.info.leaving && target.is_known,
         invariant::leaving_gets_nothing, "a leaving target was chosen");
  ensure(!row.item.no_repeat || row.attempt == 0, invariant::at_most_once,
         "a request that may not be repeated was admitted again");
  if (!is_batch(row)) return;
  for (const auto& it : s.classes) {
    ensure(it.policy.kind == work_kind::batch || !it.queue.can_serve(),
           invariant::online_first, "batch work went before online work");
  }
}

void admit(sequencer_state& s, row_id row, open_classes open, std::size_t at,
           std::vector<target_candidate> targets, instant now) {
  auto inputs = choice_inputs{.config_version = s.policy.config_version,
                              .classes = std::move(open.candidates),
                              .targets = std::move(targets)};
  auto chosen = choose(inputs);
  const auto& it = s.requests[row];
  ensure(chosen && chosen->request_id == it.item.id &&
             chosen->class_name == inputs.classes[at].name,
         invariant::order_has_no_gap, "the rule chose another request");
  auto id = s.target_by_name.at(chosen->target);
  auto& target = s.targets[id];
  check_admission(s, it, target);
  auto fresh = it.item.prompt_tokens + it.kept;
  if (id < s.depths.size())
    fresh -=
        std::min(it.item.prompt_tokens, s.depths[id] * prefix_block_tokens);
  auto start = std::max(target.prefill_until, now);
  target.prefill_until = start + instant(prefill_us(target, fresh));
  if (it.attempt == 0) earn(s.retries);
  start_attempt(s, row, id, now);
  s.prefixes.add(id, it.item.prefix_blocks, now);
  s.commands.emplace_back(admit_command{.number = ++s.last_number,
                                        .request_id = it.item.id,
                                        .origin = it.origin,
                                        .attempt = it.attempt,
                                        .address = target.info.address,
                                        .chosen = std::move(*chosen),
                                        .inputs = std::move(inputs)});
}

// Makes one choice.
// \return whether another may follow.
bool admit_one(sequencer_state& s, instant now) {
  if (!has_free_slot(s)) return false;
  auto open = open_of(s, now);
  while (auto at = choose_class(open.candidates)) {
    auto& group = s.classes[open.places[*at]];
    auto row = group.queue.heads(1).front();
    if (drop_head(s, row, now)) return true;
    auto targets = weigh_targets(s, s.requests[row], now);
    if (!targets.empty()) {
      admit(s, row, std::move(open), *at, std::move(targets), now);
      return true;
    }
    if (hold_aside(s, row, now)) return true;
    close_class(open, *at);
  }
  return false;
}

}  // namespace

void admit_all(sequencer_state& s, instant now) {
  while (admit_one(s, now)) {
  }
}

}  // namespace fulmar::detail
