#include "fulmarpitch/model/world.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>
#include <random>

#include "fulmarpitch/core/text.h"
#include "fulmarpitch/model/figures.h"

namespace fulmar::model {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t poison_content = 0xBAD;
constexpr std::uint32_t progress_tokens = 32;

struct timed_call {
  instant at{};
  std::uint64_t number = 0;
  std::function<void()> call;

  bool operator<(const timed_call& other) const {
    return std::tie(other.at, other.number) < std::tie(at, number);
  }
};

class world {
 public:
  world(const world_options& options, const way& decider)
      : options_(options),
        decider_(decider),
        random_(options.seed),
        noise_(~options.seed) {}

  run_figures run() {
    set_up();
    while (!calls_.empty() && calls_.top().at <= options_.duration) {
      auto next = calls_.top();
      calls_.pop();
      now_ = next.at;
      next.call();
    }
    return figures_of(options_, requests_, engines_, tally_);
  }

 private:
  void at(instant when, std::function<void()> call) {
    calls_.push({std::max(when, now_), ++call_number_, std::move(call)});
  }

  void later(std::function<void()> call) {
    at(now_ + options_.message_delay, std::move(call));
  }

  void tell(sequencer_event event) {
    later([this, event = std::move(event)] {
      if (!is_down_) decider_.apply(event, now_);
    });
  }

  void set_up() {
    decider_.apply(
        policy_event{{.config_version = 1,
                      .classes = {{.name = "online"},
                                  {.name = "batch", .kind = work_kind::batch}},
                      .batch_preference = options_.batch_preference}},
        now_);
    for (std::uint32_t i = 0; i < options_.engines; ++i) {
      engines_.push_back({.costs = options_.costs,
                          .slots = options_.slots,
                          .kv_limit = options_.kv_tokens,
                          .cache_limit = options_.cache_blocks});
      decider_.apply(target_event{info_of(i, false)}, now_);
    }
    steps_planned_.resize(engines_.size());
    cache_numbers_.resize(engines_.size());
    leaving_since_.resize(engines_.size(), instant::max());
    next_arrival();
    if (options_.has_batch) add_batch();
    at(options_.tick_interval, [this] { tick(); });
    at(options_.report_interval, [this] { report(); });
    plan_faults();
  }

  target_info info_of(std::uint32_t i, bool leaving) const {
    return {.name = target_name(i),
            .address = target_name(i),
            .slots = options_.slots,
            .kv_tokens = options_.kv_tokens,
            .can_resume = options_.can_resume,
            .leaving = leaving,
            .costs = options_.costs};
  }

  void plan_faults() {
    if (options_.poison_at != instant{}) {
      for (std::uint32_t i = 0; i < options_.poison_sends; ++i)
        at(options_.poison_at + options_.poison_interval * i,
           [this] { send_poison(); });
    }
    if (options_.outage_at != instant{}) {
      at(options_.outage_at, [this] {
        for (std::uint32_t i = 0; i < engines_.size() / 2; ++i)
          lose_engine(i);
      });
    }
    if (options_.leaving_at != instant{})
      at(options_.leaving_at, [this] { begin_leaving(); });
    if (options_.owner_loss_at != instant{})
      at(options_.owner_loss_at, [this] { lose_owner(); });
  }

  void begin_leaving() {
    for (std::uint32_t i = 0; i < (engines_.size() + 9) / 10; ++i) {
      leaving_since_[i] = now_;
      tell(target_event{info_of(i, true)});
    }
  }

  void lose_owner() {
    is_down_ = true;
    at(now_ + options_.takeover_time, [this] {
      is_down_ = false;
      decider_.restart();
      for (std::uint32_t i = 0; i < engines_.size(); ++i) {
        if (engines_[i].is_up)
          decider_.apply(target_event{info_of(i, false)}, now_);
      }
      for (std::uint32_t i = 0; i < requests_.size(); ++i)
        submit_again(i);
    });
  }

  // Entries submit what they hold within the time between two heartbeats.
  void submit_again(std::uint32_t n) {
    const auto& it = requests_[n];
    if (it.done_at != instant{} || it.is_refused) return;
    auto delay = instant(std::uniform_int_distribution<>(0, 200'000)(noise_));
    at(now_ + delay, [this, n] { submit(n); });
  }

  void submit(std::uint32_t n) {
    const auto& it = requests_[n];
    if (it.done_at != instant{} || it.is_refused) return;
    tell(submit_event{.item = it.item,
                      .origin = "entry",
                      .attempt = it.attempt,
                      .target = it.is_running ? target_name(it.target) : "",
                      .tokens_produced = it.produced});
  }

  double draw(double mean) {
    return std::lognormal_distribution<>(std::log(mean) - 0.18, 0.6)(random_);
  }

  std::uint32_t add_request(work_kind kind, const std::string& caller) {
    auto n = static_cast<std::uint32_t>(requests_.size());
    auto name = std::string(name_in(work_kind_names, kind));
    auto output = std::clamp(draw(options_.mean_output_tokens), 2.0,
                             static_cast<double>(options_.max_tokens));
    auto item =
        work_item{.id = std::to_string(n),
                  .caller = caller,
                  .class_name = name,
                  .kind = kind,
                  .prompt_tokens = static_cast<std::uint32_t>(std::clamp(
                      draw(options_.mean_prompt_tokens), 8.0, 8000.0)),
                  .max_tokens = options_.max_tokens,
                  .content_hash = random_() | 1,
                  .arrival = now_,
                  .deadline = now_ + (kind == work_kind::batch
                                          ? instant(seconds(3600))
                                          : options_.online_deadline)};
    add_prefix(item);
    requests_.push_back({.item = std::move(item),
                         .output_tokens = static_cast<std::uint32_t>(output)});
    return n;
  }

  void add_prefix(work_item& item) {
    if (options_.prefixes == 0) return;
    auto u = std::uniform_real_distribution<>(0, 1)(random_);
    auto prefix = static_cast<std::uint64_t>(
        std::pow(static_cast<double>(options_.prefixes), u));
    for (std::uint64_t i = 0; i < options_.prefix_blocks; ++i)
      item.prefix_blocks.push_back(prefix * 1000 + i);
    item.prompt_tokens += options_.prefix_blocks * prefix_block_tokens;
  }

  void next_arrival() {
    auto load = std::max(options_.online_load(now_), 0.001);
    auto rate = load * engine_capacity(options_) * options_.engines;
    auto gap = std::exponential_distribution<>(rate)(random_);
    // The load changes with time, so that no gap may span a change.
    constexpr auto longest = 0.02;
    auto is_arrival = gap <= longest;
    auto wait = std::chrono::duration<double>(std::min(gap, longest));
    at(now_ + std::chrono::duration_cast<instant>(wait), [this, is_arrival] {
      if (is_arrival) arrive();
      next_arrival();
    });
  }

  void arrive() {
    auto total = 0.0;
    for (const auto& it : options_.callers)
      total += it.share;
    auto draw = std::uniform_real_distribution<>(0, total)(random_);
    auto n = std::size_t(0);
    while (n + 1 < options_.callers.size() && draw > options_.callers[n].share)
      draw -= options_.callers[n++].share;
    submit(add_request(work_kind::online, options_.callers[n].name));
  }

  // A backlog that lasts for the run.
  void add_batch() {
    auto time = std::chrono::duration<double>(options_.duration).count();
    auto count = 1.3 * time * engine_capacity(options_) * options_.engines +
                 2.0 * options_.slots * options_.engines;
    for (auto i = 0; i < static_cast<int>(count); ++i)
      submit(add_request(work_kind::batch, concat("team", i % 4)));
  }

  void send_poison() {
    auto n = add_request(work_kind::online, "poisoner");
    requests_[n].item.content_hash = poison_content;
    requests_[n].crashes = true;
    submit(n);
  }

  void tick() {
    at(now_ + options_.tick_interval, [this] { tick(); });
    if (is_down_) return;
    for (const auto& it : decider_.tick(now_))
      later([this, it] { carry_out(it); });
  }

  void carry_out(const action& it) {
    auto& log = requests_[it.request];
    if (it.kind == action_kind::refuse) {
      log.is_refused = true;
      log.refused = it.code;
      return;
    }
    if (it.kind == action_kind::admit)
      return later([this, it] { start_attempt(it); });
    later([this, it] { stop_attempt(it); });
  }

  void start_attempt(const action& it) {
    auto& log = requests_[it.request];
    tally_.double_runs += log.is_running ? 1 : 0;
    log.attempt = it.attempt;
    log.target = it.target;
    log.is_running = true;
    if (log.admitted_at == instant{}) log.admitted_at = now_;
    note_admission(log, it);
    auto& target = engines_[it.target];
    if (!target.is_up) return end_attempt(it.request, attempt_end::target_lost);
    start(target,
          {.request = it.request,
           .attempt = it.attempt,
           .prompt_tokens = log.item.prompt_tokens + log.produced,
           .output_tokens = log.output_tokens - log.produced,
           .kv_tokens = log.item.prompt_tokens + log.item.max_tokens,
           .imported_tokens = imported_tokens(log),
           .blocks = log.item.prefix_blocks,
           .crashes = log.crashes},
          now_);
    plan_step(it.target);
  }

  std::uint32_t imported_tokens(const request_log& log) const {
    if (log.produced == 0) return 0;
    auto all = log.item.prompt_tokens + log.produced;
    return static_cast<std::uint32_t>((1 - options_.kv_import_share) * all);
  }

  void note_admission(const request_log& log, const action& it) {
    auto is_batch = log.item.kind == work_kind::batch;
    tally_.batch_running += is_batch ? 1 : 0;
    if (it.attempt == 1) ++tally_.first_attempts;
    if (!is_batch && it.attempt > 1) ++tally_.retries;
    if (!is_batch && tally_.batch_running > 0)
      tally_.give_way = std::max(tally_.give_way, now_ - log.item.arrival);
    if (leaving_since_[it.target] <= now_)
      tally_.leaving =
          std::max(tally_.leaving, now_ - leaving_since_[it.target]);
  }

  void stop_attempt(const action& it) {
    auto& log = requests_[it.request];
    if (!log.is_running || log.attempt != it.attempt) return;
    auto produced = cancel(engines_[log.target], it.request, it.attempt);
    if (!produced) return;
    auto is_preemption = it.kind == action_kind::preempt;
    tally_.preemptions += is_preemption ? 1 : 0;
    if (options_.can_resume) log.produced += *produced;
    end_attempt(it.request, is_preemption ? attempt_end::preempted
                                          : attempt_end::cancelled);
  }

  void end_attempt(std::uint32_t n, attempt_end end) {
    auto& log = requests_[n];
    log.is_running = false;
    if (log.item.kind == work_kind::batch) --tally_.batch_running;
    if (end == attempt_end::target_lost) log.produced = 0;
    auto first = log.first_token_at - log.admitted_at;
    later(
        [this, n, attempt = log.attempt, end, produced = log.produced, first] {
          tell(finished_event{.request_id = std::to_string(n),
                              .attempt = attempt,
                              .end = end,
                              .tokens_produced = produced,
                              .first_token_after = std::max(first, instant{})});
        });
  }

  void plan_step(std::uint32_t n) {
    auto& it = engines_[n];
    if (!it.step_end || steps_planned_[n] == *it.step_end) return;
    steps_planned_[n] = *it.step_end;
    at(*it.step_end, [this, n] { step(n); });
  }

  void step(std::uint32_t n) {
    auto& it = engines_[n];
    if (!it.step_end || *it.step_end != now_) return;
    notes_.clear();
    end_step(it, now_, notes_);
    for (const auto& note : notes_) {
      if (note.kind == note_kind::crashed) return lose_engine(n);
      take_note(note);
    }
    plan_step(n);
  }

  void take_note(const engine_note& note) {
    auto& log = requests_[note.request];
    auto is_online = log.item.kind == work_kind::online;
    if (log.first_token_at == instant{}) {
      log.first_token_at = now_ + options_.message_delay;
    } else if (is_online && note.produced > 1) {
      tally_.add_gap(note.gap);
    }
    if (note.kind == note_kind::done) {
      log.done_at = now_ + options_.message_delay;
      log.produced += note.produced;
      return end_attempt(note.request, attempt_end::completed);
    }
    if (note.produced % progress_tokens == 0)
      tell(progress_event{.request_id = log.item.id,
                          .tokens_produced = log.produced + note.produced});
  }

  void lose_engine(std::uint32_t n) {
    auto& it = engines_[n];
    ++tally_.targets_lost;
    auto lost = std::vector<std::uint32_t>();
    for (const auto& each : it.running)
      lost.push_back(each.request);
    for (const auto& each : it.waiting)
      lost.push_back(each.request);
    // A sequence that ended in the step of the crash is not in the tables.
    for (const auto& note : notes_) {
      auto& log = requests_[note.request];
      auto is_here = log.is_running && log.target == n;
      if (is_here && note.kind == note_kind::done) lost.push_back(note.request);
      if (is_here && note.kind == note_kind::crashed)
        lost.push_back(note.request);
    }
    std::sort(lost.begin(), lost.end());
    lost.erase(std::unique(lost.begin(), lost.end()), lost.end());
    crash(it);
    for (auto request : lost) {
      if (requests_[request].is_running)
        end_attempt(request, attempt_end::target_lost);
    }
    tell(target_gone_event{target_name(n)});
  }

  void report() {
    at(now_ + options_.report_interval, [this] { report(); });
    for (std::uint32_t i = 0; i < engines_.size(); ++i) {
      auto& it = engines_[i];
      if (!it.is_up) continue;
      auto event = load_report_event{
          .target = target_name(i),
          .running = static_cast<std::uint32_t>(it.running.size()),
          .queued = static_cast<std::uint32_t>(it.waiting.size()),
          .kv_tokens_used = it.kv_used,
          .measured_at = now_};
      at(now_ + options_.report_lag, [this, event] { tell(event); });
      report_cache(i);
    }
  }

  void report_cache(std::uint32_t i) {
    auto change = take_changes(engines_[i]);
    if (change.added.empty() && change.removed.empty()) return;
    auto number = ++cache_numbers_[i];
    auto is_lost =
        std::uniform_real_distribution<>(0, 1)(noise_) < options_.cache_loss;
    if (is_lost) return;
    auto event = cache_event{.target = target_name(i),
                             .sequence = number,
                             .added = std::move(change.added),
                             .removed = std::move(change.removed)};
    at(now_ + options_.cache_lag, [this, event] { tell(event); });
  }

  const world_options& options_;
  const way& decider_;
  // Arrivals draw from one source and faults from another, so that every way
  // meets the same arrivals.
  std::mt19937_64 random_;
  std::mt19937_64 noise_;
  instant now_{};
  bool is_down_ = false;
  std::uint64_t call_number_ = 0;
  std::priority_queue<timed_call> calls_;
  std::vector<request_log> requests_;
  std::vector<engine> engines_;
  std::vector<instant> steps_planned_;
  std::vector<std::uint64_t> cache_numbers_;
  std::vector<instant> leaving_since_;
  std::vector<engine_note> notes_;
  run_tally tally_;
};

}  // namespace

double engine_capacity(const world_options& options) {
  const auto& costs = options.costs;
  auto decode = costs.step_base_us / options.slots + costs.step_per_sequence_us;
  auto prefill = costs.prefill_per_token_us * options.mean_prompt_tokens;
  return 1e6 / (prefill + decode * options.mean_output_tokens);
}

std::string target_name(std::uint32_t n) {
  return concat("target-", padded(n, 3));
}

run_figures run_world(const world_options& options, const way& decider) {
  return world(options, decider).run();
}

}  // namespace fulmar::model
