#pragma once

/// \file
/// A job that this daemon runs: which item is next, what an attempt's end means
/// for it, what may be listed, and what is saved for the next owner.

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/serving/jobs.h"

namespace fulmar::serving {

enum class item_state { waiting, running, finished, listed };

/// One item of a job that this daemon runs.
struct job_item {
  submitted_item request;
  item_state state = item_state::waiting;
  item_progress progress;
  /// What the store holds of the progress.
  std::uint64_t saved_event = 0;
  std::uint32_t saved_failures = 0;
  item_end end = item_end::done;
  /// Attempts in a row that broke off before a single event.
  std::uint32_t breaks = 0;
  /// Queues that it was taken out of since its last event.
  std::uint32_t times_queued = 0;
  /// The next attempt starts no earlier.
  instant not_before{};
};

/// A job that this daemon runs.
struct job_run {
  job_row row;
  std::vector<job_item> items;
  /// A transaction that lists results is under way.
  bool listing = false;
  /// Time from acceptance to the moment all results are due.
  instant due_after = instant::max() / 2;
  /// After a failed transaction, the next one starts no earlier.
  instant list_after{};
  /// A transaction that saves progress is under way.
  bool saving = false;
  /// Output is saved no earlier; failures are saved at once.
  instant save_after{};
  /// After a failed transaction, the next one starts no earlier.
  instant save_retry_after{};
  /// The job is being given away.
  bool releasing = false;
  /// After a failed transaction, the next one starts no earlier.
  instant release_after{};
  /// Tells two runs of one job in this process apart.
  std::uint64_t serial = 0;
};

/// Jobs by id.
using job_runs = absl::flat_hash_map<std::string, job_run>;

/// How an attempt at an item ended.
enum class attempt_end {
  /// The whole output arrived.
  complete,
  /// The target says that the item can never be done.
  impossible,
  /// The target failed to run it.
  failed,
  /// The target did not run it.
  not_run,
  /// The connection broke or went silent.
  broken,
  /// This daemon stopped it in favour of online requests.
  yielded,
  /// This daemon took it out of the queue of a target without a free slot.
  queued,
};

inline constexpr std::array<named<attempt_end>, 7> attempt_end_names{{
    {attempt_end::complete, "complete"},
    {attempt_end::impossible, "impossible"},
    {attempt_end::failed, "failed"},
    {attempt_end::not_run, "not_run"},
    {attempt_end::broken, "broken"},
    {attempt_end::yielded, "yielded"},
    {attempt_end::queued, "queued"},
}};

/// How items are tried again.
struct item_retry_options {
  /// Pause after an attempt that a full target refused.
  instant after_refusal = std::chrono::milliseconds(100);
  /// Pause after a failure, in which the target's doubt reaches the others.
  instant after_failure = std::chrono::milliseconds(200);
  /// Pause after an item gave way; a burst lasts a second or more.
  instant after_yield = std::chrono::milliseconds(150);
  /// Pause after an item waited in vain for a slot; items of other daemons,
  /// which no report counts, hold it for seconds.
  instant after_queue = std::chrono::milliseconds(500);
  /// Pause after the first break without an event; grows fourfold with each.
  instant after_break = std::chrono::milliseconds(200);
  /// Longest pause: an item is owed whatever happened to its targets, and they
  /// are back within seconds.
  instant longest = std::chrono::milliseconds(3200);
};

/// Names one item of the jobs that run here.
struct item_place {
  std::string job;
  std::uint32_t item = 0;
};

/// Makes a run from a job's row and its body.
/// \param row the job, as this daemon owns it.
/// \param submitted its items.
job_run start_run(job_row row, std::vector<submitted_item> submitted);

/// How items are chosen.
struct item_order_options {
  /// Time of an item in a slot, before anything is known of it.
  instant item_time = std::chrono::milliseconds(4900);
  /// Time of one event.
  instant event_time = std::chrono::microseconds(20500);
  /// Kept for stops in favour of online requests.
  instant margin = std::chrono::milliseconds(500);
  /// An item that would be done less than this before it is due is urgent. The
  /// time lets most of another item end first.
  instant urgency = std::chrono::milliseconds(4000);
  /// Chooses among urgent items alone.
  bool only_urgent = false;
};

/// An item that may start, and how urgent it is.
struct item_choice {
  item_place place;
  /// The item can still be done when its job is due.
  bool in_time = true;
  /// When its job is due, on the store's clock.
  instant due{};
};

/// Chooses the item to run next. An item that failed waits until that is saved,
/// so that a new owner does not count anew. Items that can still be done in
/// time go first, by the time they are due; the others are late already and
/// wait for slots that nobody else needs. When more waits than can be done, the
/// slots then go to items that gain from them.
/// \param runs all jobs that run here.
/// \param now the steady clock.
/// \param store_now the store's clock.
/// \param options how items are chosen.
/// \return nothing when no item may start.
std::optional<item_choice> next_item(const job_runs& runs, instant now,
                                     instant store_now,
                                     const item_order_options& options = {});

/// Takes the end of an attempt.
/// \param item the item; it was running.
/// \param end how the attempt ended.
/// \param progressed whether it brought at least one event.
/// \param attempts failures after which the item is given up.
/// \param now the steady clock.
/// \param options pauses.
void end_attempt(job_item& item, attempt_end end, bool progressed,
                 std::uint32_t attempts, instant now,
                 const item_retry_options& options = {});

/// Gives up every item that is neither running nor finished.
void give_up(job_run& run);

/// What a listing transaction holds.
struct listing {
  row_transaction transaction;
  job_row row;
};

/// Builds the transaction that lists finished items.
/// \param run the job.
/// \param max_bytes most bytes of results in one transaction.
/// \return nothing when no item is finished and unlisted.
std::optional<listing> next_listing(const job_run& run, std::size_t max_bytes);

/// What a transaction that saves progress holds.
struct progress_save {
  row_transaction transaction;
  struct item {
    std::uint32_t number = 0;
    std::uint64_t last_event = 0;
    std::uint32_t failures = 0;

    bool operator==(const item&) const = default;
  };
  std::vector<item> items;
};

/// Builds the transaction that saves the progress of items under way, so that a
/// new owner goes on from there. It fails when the job's row has changed.
/// \param run the job.
/// \param least_events items with fewer events since the last time are left,
///     unless they failed meanwhile.
/// \param max_bytes most bytes of output in one transaction.
/// \return nothing when there is nothing to save.
std::optional<progress_save> next_save(const job_run& run,
                                       std::uint64_t least_events,
                                       std::size_t max_bytes);

/// Notes that the store holds the progress of items.
void take_saved(job_run& run, const progress_save& save);

/// Tells whether a row that became known ends the run at once, also while a
/// listing of it waits for the store: the job was ended, or has another owner.
/// \param run the job.
/// \param known the newest row known of it.
bool must_stop(const job_run& run, const job_row& known);

/// Takes a row that the store now holds for the job.
/// \param run the job.
/// \param row the store's row.
/// \return whether this daemon still runs the job.
bool take_row(job_run& run, const job_row& row);

/// \return whether an item of the job is in a state.
bool has_item(const job_run& run, item_state state);

}  // namespace fulmar::serving
