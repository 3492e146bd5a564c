#pragma once

/// \file
/// Runs one way of deciding against engines, callers and a fault plan in
/// virtual time.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fulmarpitch/core/sequencer.h"
#include "fulmarpitch/model/engine.h"

namespace fulmar::model {

/// A caller in a scenario.
struct caller_load {
  std::string name = "caller";
  /// Share of the scenario's online load.
  double share = 1;
};

/// The parameters of a run, declared in one place.
struct world_options {
  std::uint64_t seed = 1;
  std::uint32_t engines = 10;
  std::uint32_t slots = 64;
  std::uint64_t kv_tokens = 120'000;
  std::size_t cache_blocks = 600;
  engine_costs costs;
  instant duration = std::chrono::seconds(40);
  /// Online load over capacity at a time.
  std::function<double(instant)> online_load = [](instant) { return 0.0; };
  std::vector<caller_load> callers = {{}};
  bool has_batch = false;
  bool can_resume = true;
  /// Work of resuming with an exported KV cache, over computing it again.
  double kv_import_share = 0.1;
  double mean_prompt_tokens = 600;
  double mean_output_tokens = 120;
  std::uint32_t max_tokens = 480;
  instant online_deadline = std::chrono::seconds(20);
  /// Shared prompt prefixes; 0 for none.
  std::uint32_t prefixes = 0;
  std::uint32_t prefix_blocks = 6;
  /// One way between an entry and the sequencer or a target.
  instant message_delay = std::chrono::microseconds(500);
  instant tick_interval = std::chrono::milliseconds(5);
  instant report_interval = std::chrono::milliseconds(500);
  instant report_lag = std::chrono::milliseconds(500);
  instant cache_lag = std::chrono::seconds(1);
  double cache_loss = 0.05;
  /// When a content that crashes engines is first sent; 0 for never.
  instant poison_at{};
  instant poison_interval = std::chrono::seconds(2);
  std::uint32_t poison_sends = 10;
  /// When half of the engines are lost; 0 for never.
  instant outage_at{};
  /// When a tenth of the engines begin to leave; 0 for never.
  instant leaving_at{};
  /// When the sequencer is lost; 0 for never.
  instant owner_loss_at{};
  instant takeover_time = std::chrono::seconds(1);
  std::uint32_t batch_preference = 50;
};

/// Requests an engine serves a second when it is full.
double engine_capacity(const world_options& options);

/// A request and what became of it.
struct request_log {
  work_item item;
  std::uint32_t output_tokens = 0;
  bool crashes = false;
  std::uint32_t produced = 0;
  std::uint32_t attempt = 0;
  std::uint32_t target = 0;
  bool is_running = false;
  instant admitted_at{};
  instant first_token_at{};
  instant done_at{};
  bool is_refused = false;
  error_code refused = error_code::none;
};

enum class action_kind { admit, stop, preempt, refuse };

/// What a way wants done.
struct action {
  action_kind kind = action_kind::admit;
  std::uint32_t request = 0;
  std::uint32_t attempt = 0;
  std::uint32_t target = 0;
  error_code code = error_code::none;
};

/// A way of deciding, as a struct of functions.
struct way {
  std::string name;
  std::function<void(const sequencer_event&, instant)> apply;
  std::function<std::vector<action>(instant)> tick;
  /// Replaces the decider after its loss, where the way has one.
  std::function<void()> restart = [] {};
};

/// The figures of a run. Times in milliseconds.
struct run_figures {
  std::uint64_t online_sent = 0;
  std::uint64_t online_done = 0;
  std::uint64_t online_refused = 0;
  double ttft_p50 = 0;
  double ttft_p99 = 0;
  double gap_p95 = 0;
  /// Longest wait for admission while batch work was running.
  double give_way = 0;
  /// Tokens of finished work within the run, prompts included.
  double online_tokens = 0;
  double batch_tokens = 0;
  /// Online requests done within their deadline, a second.
  double goodput = 0;
  double jain_index = 0;
  double prefix_hit_rate = 0;
  std::uint64_t preemptions = 0;
  std::uint64_t targets_lost = 0;
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  /// Longest time after which a leaving target still got new work.
  double leaving_ms = 0;
  /// Requests that ran twice at once; must be none.
  std::uint64_t double_runs = 0;
};

/// The name of the n-th target.
std::string target_name(std::uint32_t n);

/// Runs a way.
run_figures run_world(const world_options& options, const way& decider);

}  // namespace fulmar::model
