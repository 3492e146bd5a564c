#pragma once

/// \file
/// Admits the work of one pool to its targets: typed events in, typed commands
/// out. Reads no clock and opens no socket.

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "fulmarpitch/core/choice.h"
#include "fulmarpitch/core/routing.h"
#include "fulmarpitch/core/types.h"

namespace fulmar {

/// A target as the sequencer knows it.
struct target_info {
  std::string name;
  /// Host and port the entry connects to.
  std::string address;
  std::string data_centre;
  std::string region;
  /// Models and adapters that are loaded.
  std::vector<std::string> models;
  /// Most sequences the engine runs at once.
  std::uint32_t slots = 0;
  std::uint64_t kv_tokens = 0;
  bool can_resume = false;
  /// A leaving target receives no new work.
  bool leaving = false;
  /// How fast the engine is.
  engine_costs costs;
};

/// A class of callers, in the operators' order.
struct class_policy {
  std::string name;
  std::uint32_t rank = 0;
  work_kind kind = work_kind::online;
  /// Share of the pool's tokens owed to the class before rank counts; 0 to 100.
  std::uint32_t guaranteed_percent = 0;
};

/// A caller's weight and limits within its class.
struct caller_policy {
  std::string name;
  std::string class_name;
  std::uint32_t weight = 1;
  /// 0 means no limit.
  std::uint32_t requests_per_second = 0;
  std::uint32_t concurrency = 0;
};

/// What the operators state for a pool.
struct pool_policy {
  std::uint64_t config_version = 0;
  std::vector<class_policy> classes;
  std::vector<caller_policy> callers;
  instant first_token_target = std::chrono::milliseconds(1400);
  instant between_tokens_target = std::chrono::milliseconds(38);
  /// 0 protects online latency most, 100 favours batch throughput most.
  std::uint32_t batch_preference = 50;
};

/// How an attempt at a target ended.
enum class attempt_end { completed, failed, target_lost, cancelled, preempted };

inline constexpr std::array<named<attempt_end>, 5> attempt_end_names{{
    {attempt_end::completed, "completed"},
    {attempt_end::failed, "failed"},
    {attempt_end::target_lost, "target_lost"},
    {attempt_end::cancelled, "cancelled"},
    {attempt_end::preempted, "preempted"},
}};

/// A request enters the queue. The deadline of batch work is its due time: it
/// orders batch work, and batch work is not refused when it passes. After the
/// loss of a sequencer the entry submits again what it holds: `attempt` and
/// `target` then name the running attempt.
struct submit_event {
  work_item item;
  /// The entry daemon that holds the request.
  std::string origin;
  std::uint32_t attempt = 0;
  std::string target;
  std::uint32_t tokens_produced = 0;
};

struct cancel_event {
  std::string request_id;
};

/// Tokens produced so far; sent coarsely.
struct progress_event {
  std::string request_id;
  std::uint32_t tokens_produced = 0;
};

struct finished_event {
  std::string request_id;
  std::uint32_t attempt = 0;
  attempt_end end = attempt_end::completed;
  std::uint32_t tokens_produced = 0;
  /// Time from admission to the first token; 0 when there was none.
  instant first_token_after{};
};

/// A target's own, lagging view of its load.
struct load_report_event {
  std::string target;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint64_t kv_tokens_used = 0;
  instant measured_at{};
};

/// A target's prefix cache changed; events come late and with gaps.
struct cache_event {
  std::string target;
  /// Consecutive per target; a jump means that events were lost.
  std::uint64_t sequence = 0;
  bool reset = false;
  std::vector<std::uint64_t> added;
  std::vector<std::uint64_t> removed;
};

struct target_event {
  target_info target;
};

struct target_gone_event {
  std::string target;
};

/// An entry daemon was lost with everything it held.
struct origin_gone_event {
  std::string origin;
};

struct policy_event {
  pool_policy policy;
};

/// Another sequencer found a content that crashes targets.
struct quarantine_event {
  std::uint64_t content_hash = 0;
};

using sequencer_event =
    std::variant<submit_event, cancel_event, progress_event, finished_event,
                 load_report_event, cache_event, target_event,
                 target_gone_event, origin_gone_event, policy_event,
                 quarantine_event>;

/// The origin may start this attempt.
struct admit_command {
  std::uint64_t number = 0;
  std::string request_id;
  std::string origin;
  std::uint32_t attempt = 0;
  std::string address;
  choice chosen;
  choice_inputs inputs;
};

/// The request is given up. The outcome says whether any attempt left a VM.
struct refuse_command {
  std::uint64_t number = 0;
  std::string request_id;
  std::string origin;
  std::string caller;
  std::string class_name;
  error_code code = error_code::overloaded;
  outcome what = outcome::not_run;
  /// The content to quarantine elsewhere too, with `error_code::quarantined`.
  std::uint64_t content_hash = 0;
  /// When to come back; 0 when coming back does not help.
  instant retry_after{};
};

/// The origin must cancel the attempt at the target and report it `preempted`.
struct preempt_command {
  std::uint64_t number = 0;
  std::string request_id;
  std::string origin;
  std::uint32_t attempt = 0;
};

/// The origin must cancel the attempt at the target and report it `cancelled`.
struct cancel_command {
  std::uint64_t number = 0;
  std::string request_id;
  std::string origin;
  std::uint32_t attempt = 0;
};

using sequencer_command = std::variant<admit_command, refuse_command,
                                       preempt_command, cancel_command>;

/// How a sequencer is built.
struct sequencer_options {
  std::string pool;
  std::string region;
  /// Numbers of commands start after this one.
  std::uint64_t last_number = 0;
  std::uint64_t random_seed = 1;
};

/// The sequencer of one pool.
class sequencer {
 public:
  explicit sequencer(sequencer_options options);
  ~sequencer();
  sequencer(sequencer&&) noexcept;
  sequencer& operator=(sequencer&&) noexcept;

  /// Takes an event in.
  /// \param event what happened.
  /// \param now the time; never runs backwards.
  void apply(const sequencer_event& event, instant now);

  /// Runs the systems over the tables.
  /// \param now the time.
  /// \return the commands, in order of their numbers.
  std::vector<sequencer_command> tick(instant now);

  /// Requests that wait, held ones included.
  std::size_t queued() const;
  /// Requests with an attempt at a target.
  std::size_t running() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace fulmar
