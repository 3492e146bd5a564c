#pragma once

/// \file
/// The state of a randomised run, and the systems that run over it each tick.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fulmarpitch/core/sequencer.h"
#include "fulmarpitch/simulate/simulation.h"
#include "fulmarpitch/state/chunk-lease.h"
#include "fulmarpitch/state/entry-outbox.h"
#include "fulmarpitch/state/recorder.h"
#include "fulmarpitch/stores/memory-stores.h"

namespace fulmar::simulate {

inline constexpr auto tick_length = instant(std::chrono::milliseconds(50));
inline constexpr auto detection_time = instant(std::chrono::seconds(2));
inline constexpr std::string_view place = "dc-1";
inline constexpr std::string_view caller_name = "depot";

/// One life of one VM.
struct vm_life {
  std::size_t vm = 0;
  std::uint64_t life = 0;

  bool operator==(const vm_life&) const = default;
};

/// Something a caller wants, under whatever request ids it is known.
struct intent {
  std::uint64_t number = 0;
  bool keyed = false;
  bool no_repeat = false;
  bool settled = false;
  std::uint32_t sends = 0;
  std::uint32_t executions = 0;
  /// Where the caller waits for an answer; reset by the answer.
  std::optional<vm_life> waits_at;
  /// Request ids under which the caller was given a result.
  std::set<std::string> ids;
  /// The result that the caller was given.
  std::optional<result_record> answer;
  /// Both VMs that held the pending result were lost before it was recorded.
  bool copies_lost = false;
  bool recorded = false;
  /// The loss of both copies shows in what the stores hold.
  bool excused = false;
  std::vector<vm_life> copies;
};

/// A request that an entry works on.
struct entry_request {
  std::uint64_t intent = 0;
  std::string id;
  std::string claimant;
  bool answered = false;
  bool finished = false;
  /// The request had another holder, which is lost.
  bool taken_over = false;
  bool submitted = false;
  instant submitted_at{};
  /// The last attempt that was admitted, and its target while it runs.
  std::uint32_t attempt = 0;
  bool running = false;
  std::string target;
};

/// A target of the pool.
struct pool_target {
  std::string name;
  std::optional<instant> leaving_since;
};

/// An item that runs at a target.
struct running_item {
  std::string custom_id;
  instant ends{};
};

/// A chunk that a worker holds.
struct worker_chunk {
  worker_chunk(const platform_stores& stores, chunk_options options,
               const chunk_candidate& candidate, instant now)
      : holder(stores, std::move(options), candidate, now) {}

  chunk_holder holder;
  std::size_t started = 0;
  std::vector<running_item> running;
  std::vector<item_result> results;
  bool finished = false;
};

/// An entry VM with all its roles.
struct entry_vm {
  std::size_t index = 0;
  std::uint64_t life = 0;
  bool alive = true;
  bool draining = false;
  instant died{};
  instant returns{};
  /// The worker does nothing before this time.
  instant paused_until{};
  entry_outbox outbox{entry_outbox_options{}};
  std::map<std::string, entry_request> requests;
  std::unique_ptr<recorder> writer;
  std::unique_ptr<sequencer> pool;
  std::unique_ptr<chunk_finder> finder;
  std::vector<std::unique_ptr<worker_chunk>> chunks;
  bool searching = false;
  instant next_search{};
};

/// A batch job that a caller wants.
struct wanted_job {
  std::uint64_t number = 0;
  std::uint64_t items = 0;
  bool keyed = false;
  std::unique_ptr<file_upload> upload;
  std::optional<file_info> file;
  std::optional<job_info> job;
  bool calling = false;
  bool wants_cancel = false;
  instant cancelled_at{};
  std::set<std::string> job_ids;
  /// Both files of the job as first read once it was final.
  std::optional<std::string> content;
  bool reading = false;
};

/// Everything a run consists of.
struct world {
  simulation_options options;
  std::mt19937_64 random;
  instant now{};
  std::shared_ptr<memory_stores> memory;
  platform_stores stores;
  std::multimap<instant, std::function<void()>> events;
  std::vector<entry_vm> vms;
  std::map<std::uint64_t, intent> intents;
  std::vector<wanted_job> jobs;
  std::vector<pool_target> targets;
  std::size_t pool_vm = 0;
  std::uint64_t last_command = 0;
  std::size_t recorder_vm = 0;
  /// During a split view the VMs with odd numbers use this recorder.
  std::optional<std::size_t> second_recorder_vm;
  bool faulty = true;
  bool accepting = true;
  std::uint64_t names_used = 0;
  fault_counts faults{};
  std::deque<std::string> trace;
};

/// \return a number below `bound`.
std::uint64_t draw(world& it, std::uint64_t bound);
/// \return whether a chance in thousandths came true.
bool chance(world& it, std::uint64_t per_mille);
/// \return a span between both bounds.
instant draw_span(world& it, instant least, instant most);
/// Notes an event for the trace.
void note(world& it, const std::string& event);
void count_fault(world& it, simulated_fault fault, std::uint64_t times = 1);
/// Runs something later.
void after(world& it, instant delay, std::function<void()> run);
/// \return whether this life of the VM goes on.
bool lives(const world& it, const vm_life& life);
vm_life life_of(const entry_vm& vm);
/// Sends a message; it arrives late, or never.
void send(world& it, const vm_life& to, std::function<void()> run);
/// \return the recorder that a VM believes in.
std::size_t recorder_of(const world& it, std::size_t vm);

/// Callers and entries.
void start_intents(world& it);
void run_entries(world& it);
/// Hands a result to the outbox; the caller is answered once a second VM has
/// it.
void finish(world& it, const vm_life& at, const std::string& claimant,
            error_code code, outcome what);
/// The sequencer and the targets.
void submit(world& it, const vm_life& at, const std::string& claimant);
void run_pool(world& it);
void give_pool_role(world& it, std::size_t vm);
void tell_origin_gone(world& it, const vm_life& life);
/// \return whether the target was not leaving already.
bool leave_target(world& it, std::size_t target);
/// Callers of jobs, and chunk workers.
void start_job(world& it);
void run_jobs(world& it);
void run_workers(world& it);
/// Losses, shutdowns and roles.
void kill_vm(world& it, std::size_t vm);
void run_vms(world& it);
/// \return whether the VM can be shut down now.
bool begin_shutdown(world& it, std::size_t vm);
void give_recorder_role(world& it, std::size_t vm);

/// Checks that hold at the end of a run.
void check_intents(world& it);
void check_jobs(world& it);
bool all_settled(const world& it);

}  // namespace fulmar::simulate
