#pragma once

/// \file
/// The tables of a sequencer and the systems that run over them. Internal to
/// `core`.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fulmarpitch/core/limits.h"
#include "fulmarpitch/core/queues.h"
#include "fulmarpitch/core/request-life.h"
#include "fulmarpitch/core/routing.h"
#include "fulmarpitch/core/sequencer.h"
#include "fulmarpitch/core/suspects.h"

namespace fulmar::detail {

/// Failed attempts after which a request is given up.
inline constexpr std::uint32_t max_failures = 4;

/// First pause before a retry; it doubles with each failure.
inline constexpr instant retry_pause = std::chrono::milliseconds(50);

/// How often a request that needs a certain target looks for one.
inline constexpr instant isolation_pause = std::chrono::milliseconds(20);

/// How long a target that gave batch work up takes no more of it.
inline constexpr instant batch_pause = std::chrono::milliseconds(500);

/// Cost for online work of a target that is full of batch work.
inline constexpr std::int64_t batch_target_us = 100'000;

/// Cost of leaving the region; above any cost within it.
inline constexpr std::int64_t cross_region_us = 60'000'000;

/// Callers of a class, and targets, that an order record shows.
inline constexpr std::size_t recorded_candidates = 4;

/// A request in the table.
struct request_row {
  work_item item;
  std::string origin;
  life_state life = life_state::queued;
  std::uint32_t attempt = 0;
  std::uint32_t class_at = 0;
  caller_id caller = 0;
  std::uint64_t arrival_number = 0;
  target_id target = 0;
  instant admitted_at{};
  instant held_until{};
  std::uint32_t produced = 0;
  /// Tokens produced before the running attempt.
  std::uint32_t kept = 0;
  std::int64_t charged = 0;
  std::int64_t work_us = 0;
  std::uint64_t kv_tokens = 0;
  std::uint32_t failures = 0;
  std::uint32_t preemptions = 0;
  bool needs_budget = false;
  /// An attempt was lost with its target: what it did is not known.
  bool lost_once = false;
  bool is_suspect = false;
  /// Why a running attempt is being stopped; `none` for a preemption.
  error_code stop_reason = error_code::none;
};

/// A target in the table, with the sequencer's own accounting.
struct target_row {
  target_info info;
  bool is_known = false;
  /// An attempt was lost here and the target has not been heard of since.
  bool is_lost = false;
  instant lost_at{};
  std::vector<row_id> running;
  std::uint32_t online = 0;
  std::uint32_t batch = 0;
  /// Batch attempts that were told to stop.
  std::uint32_t stopping = 0;
  std::uint32_t suspects = 0;
  /// Sequences that the target reports beyond those admitted here.
  std::uint32_t unaccounted = 0;
  std::uint64_t kv_tokens = 0;
  /// When the prompts admitted so far have been taken in.
  instant prefill_until{};
  instant batch_paused_until{};
  /// Batch sequences that may be admitted.
  std::uint32_t batch_limit = 0;
  std::uint64_t cache_sequence = 0;
  sliding_peak recent_running;
};

/// A class in the table.
struct class_row {
  class_policy policy;
  class_queue queue;
  sliding_sum served;
  /// Share of `max_tokens` that callers really use, by caller.
  std::vector<double> output_share;
};

/// Work that arrives, in engines kept busy; decays with time.
struct load_average {
  double engines = 0;
  instant at{};
};

/// All the tables.
struct sequencer_state {
  sequencer_options options;
  pool_policy policy;
  std::vector<request_row> requests;
  std::vector<row_id> free_rows;
  absl::flat_hash_map<std::string, row_id> by_id;
  std::vector<target_row> targets;
  absl::flat_hash_map<std::string, target_id> target_by_name;
  std::vector<class_row> classes;
  absl::flat_hash_map<std::string, token_bucket> buckets;
  std::set<std::pair<instant, row_id>> held;
  std::set<std::pair<instant, row_id>> deadlines;
  prefix_index prefixes;
  suspect_table suspects;
  /// When targets were lost lately.
  std::vector<instant> losses;
  retry_budget retries;
  sliding_sum served;
  load_average steady_load;
  load_average burst_load;
  /// Average work of an online request, in microseconds of a full engine.
  double request_us = 0;
  std::uint64_t last_arrival = 0;
  std::uint64_t last_number = 0;
  std::uint64_t random = 1;
  /// Real duration of requests over the expected one, on busy targets.
  double work_ratio = 1;
  std::size_t running = 0;
  instant swept_at{};
  std::vector<std::uint32_t> depths;
  std::vector<std::pair<std::int64_t, target_id>> costs;
  std::vector<sequencer_command> commands;
};

inline bool is_batch(const request_row& it) {
  return it.item.kind == work_kind::batch;
}

// Requests: src/core/sequencer-requests.cc
void submit(sequencer_state& s, const submit_event& event, instant now);
void cancel(sequencer_state& s, const cancel_event& event);
void finish(sequencer_state& s, const finished_event& event, instant now);
void end_attempt(sequencer_state& s, row_id row, attempt_end end, instant now);
void drop_origin(sequencer_state& s, const std::string& origin, instant now);
/// Moves a request along its life; an event that is not allowed is a fault.
void move(request_row& row, life_event event);
queue_entry entry_of(const request_row& it, row_id row);
void enqueue(sequencer_state& s, row_id row);
void dequeue(sequencer_state& s, row_id row);
void hold(sequencer_state& s, row_id row, instant until);
/// Gives a request up and forgets it.
void refuse(sequencer_state& s, row_id row, error_code code,
            instant retry_after = {});
void forget(sequencer_state& s, row_id row);
/// Tells the origin to stop the attempt.
void stop(sequencer_state& s, row_id row, error_code reason);
std::uint32_t expected_output(const sequencer_state& s, const request_row& row);

// Attempts: src/core/sequencer-attempts.cc
void start_attempt(sequencer_state& s, row_id row, target_id target,
                   instant now);
void release_target(sequencer_state& s, row_id row, attempt_end end,
                    instant now);

// Targets: src/core/sequencer-targets.cc
target_id target_named(sequencer_state& s, const std::string& name);
void update_target(sequencer_state& s, const target_info& info, instant now);
void lose_target(sequencer_state& s, const std::string& name, instant now);
void apply_load(sequencer_state& s, const load_report_event& event,
                instant now);
void apply_cache(sequencer_state& s, const cache_event& event, instant now);
/// Marks a target lost and blames what ran on it; once per loss.
void blame_loss(sequencer_state& s, target_id target, instant now);

// Policy and limits: src/core/sequencer-limits.cc
void apply_policy(sequencer_state& s, const pool_policy& policy, instant now);
std::uint32_t class_of(sequencer_state& s, const work_item& item);
/// Refuses a new request that breaks a limit or cannot meet its deadline.
/// \return whether it was refused.
bool refuse_early(sequencer_state& s, row_id row, instant now);
std::int64_t owed_tokens(const sequencer_state& s, const class_row& it,
                         instant now);
/// The time a request takes on a full target, in microseconds.
std::int64_t service_us(const sequencer_state& s, const request_row& row);
void expire(sequencer_state& s, instant now);
void release_held(sequencer_state& s, instant now);

// Admission: src/core/sequencer-admission.cc
void admit_all(sequencer_state& s, instant now);

// Routing: src/core/sequencer-routing.cc
/// Weighs the targets that may take a request now.
/// \return the cheapest ones, the best first.
std::vector<target_candidate> weigh_targets(sequencer_state& s,
                                            const request_row& row,
                                            instant now);
/// Whether any open target has a slot left.
bool has_free_slot(const sequencer_state& s);
/// Whether an open target has what the request needs, free or not.
bool has_place(const sequencer_state& s, const request_row& row);
/// The time a target takes to take a prompt in, in microseconds.
std::int64_t prefill_us(const target_row& it, std::uint32_t tokens);

// Batch against online: src/core/sequencer-preemption.cc
void note_arrival(sequencer_state& s, const request_row& row, instant now);
/// Engines that recent online arrivals keep busy.
double online_load(const sequencer_state& s, instant now);
/// Divides the targets between online and batch work, by the recent online
/// load and its bursts.
void divide_targets(sequencer_state& s, instant now);
/// Whether batch work leaves the targets for latency within reach.
bool batch_fits(const sequencer_state& s, const target_row& it, instant now);
/// Takes batch work back where online work needs its place.
void preempt_batch(sequencer_state& s, instant now);

}  // namespace fulmar::detail
