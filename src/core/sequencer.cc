#include "fulmarpitch/core/sequencer.h"

#include <utility>

#include "fulmarpitch/core/sequencer-state.h"

namespace fulmar {
namespace {

using namespace detail;

constexpr instant sweep_interval = std::chrono::seconds(10);

void progress(sequencer_state& s, const progress_event& event) {
  auto it = s.by_id.find(event.request_id);
  if (it == s.by_id.end()) return;
  auto& row = s.requests[it->second];
  row.produced = std::max(row.produced, event.tokens_produced);
}

struct dispatch {
  sequencer_state& s;
  instant now;

  void operator()(const submit_event& it) const { submit(s, it, now); }
  void operator()(const cancel_event& it) const { cancel(s, it); }
  void operator()(const progress_event& it) const { progress(s, it); }
  void operator()(const finished_event& it) const { finish(s, it, now); }
  void operator()(const load_report_event& it) const { apply_load(s, it, now); }
  void operator()(const cache_event& it) const { apply_cache(s, it, now); }
  void operator()(const target_event& it) const {
    update_target(s, it.target, now);
  }
  void operator()(const target_gone_event& it) const {
    lose_target(s, it.target, now);
  }
  void operator()(const origin_gone_event& it) const {
    drop_origin(s, it.origin, now);
  }
  void operator()(const policy_event& it) const {
    apply_policy(s, it.policy, now);
  }
  void operator()(const quarantine_event& it) const {
    s.suspects.quarantine(it.content_hash, now);
  }
};

}  // namespace

struct sequencer::state : detail::sequencer_state {};

sequencer::sequencer(sequencer_options options)
    : state_(std::make_unique<state>()) {
  state_->last_number = options.last_number;
  state_->random = options.random_seed | 1;
  state_->options = std::move(options);
}

sequencer::~sequencer() = default;
sequencer::sequencer(sequencer&&) noexcept = default;
sequencer& sequencer::operator=(sequencer&&) noexcept = default;

void sequencer::apply(const sequencer_event& event, instant now) {
  std::visit(dispatch{*state_, now}, event);
}

std::vector<sequencer_command> sequencer::tick(instant now) {
  auto& s = *state_;
  expire(s, now);
  release_held(s, now);
  divide_targets(s, now);
  admit_all(s, now);
  preempt_batch(s, now);
  if (now - s.swept_at >= sweep_interval) {
    s.suspects.sweep(now);
    s.swept_at = now;
  }
  return std::exchange(s.commands, {});
}

std::size_t sequencer::queued() const {
  return state_->by_id.size() - state_->running;
}

std::size_t sequencer::running() const {
  return state_->running;
}

}  // namespace fulmar
