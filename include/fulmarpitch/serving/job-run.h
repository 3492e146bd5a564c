#pragma once

/// \file
/// State of a batch job that this daemon runs: selects the next item, applies
/// attempt outcomes, and builds the transactions that list results and save
/// progress for a later owner.

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/serving/jobs.h"

namespace fulmar::serving {

enum class item_state { waiting, running, finished, listed };

/// Run-time state of one item.
struct job_item {
  submitted_item request;
  item_state state = item_state::waiting;
  item_progress progress;
  /// Progress that is already in the store.
  std::uint64_t saved_event = 0;
  std::uint32_t saved_failures = 0;
  item_end end = item_end::done;
  /// Consecutive attempts whose connection broke before the first event.
  std::uint32_t consecutive_breaks = 0;
  /// Runs that this daemon cut off as they brought nothing, since its last
  /// event.
  std::uint32_t cut_count = 0;
  /// Earliest start of the next attempt.
  instant not_before{};
  /// Pieces of its output that are already in the store.
  std::uint32_t stored_pieces = 0;
  /// Earliest time to list it again after the store refused its result.
  instant list_after{};
  /// Since when no target has brought an event of the item; empty while one
  /// does.
  std::optional<instant> stalled_since;
};

/// Run-time state of a job.
struct job_run {
  job_row row;
  std::vector<job_item> items;
  /// A listing transaction is in flight.
  bool listing = false;
  /// Time from acceptance until all results are due.
  instant due_after = instant::max() / 2;
  /// Earliest retry after a failed listing transaction.
  instant list_after{};
  /// Most results in one transaction; lowered while the store refuses them.
  std::size_t max_listed = std::numeric_limits<std::size_t>::max();
  /// A transaction that saves progress is in flight.
  bool saving = false;
  /// Earliest time to save output again; failures are saved at once.
  instant save_after{};
  /// Earliest retry after a failed save transaction.
  instant save_retry_after{};
  /// Most items in one save; lowered while the store refuses it.
  std::size_t max_saved = std::numeric_limits<std::size_t>::max();
  /// The job's ownership is being released.
  bool releasing = false;
  /// Earliest retry after a failed release transaction.
  instant release_after{};
  /// Distinguishes successive runs of one job in this process.
  std::uint64_t serial = 0;
};

/// Jobs by id.
using job_runs = absl::flat_hash_map<std::string, job_run>;

/// How an attempt at an item ended.
enum class attempt_end {
  /// The complete output arrived.
  complete,
  /// The target rejected the item permanently.
  impossible,
  /// The target reported a failure.
  failed,
  /// The target refused it without running it.
  not_run,
  /// The connection broke or timed out.
  broken,
  /// This daemon preempted it in favour of online requests.
  preempted,
  /// This daemon withdrew it from the queue of a target without a free slot.
  queued,
  /// The output is longer than any answer that lists it.
  too_long,
  /// This daemon cut it off, as the target sent it nothing.
  silent,
  /// This daemon cut it off, as the target sent bytes without events.
  stalled,
};

inline constexpr std::array<named<attempt_end>, 10> attempt_end_names{{
    {attempt_end::complete, "complete"},
    {attempt_end::impossible, "impossible"},
    {attempt_end::failed, "failed"},
    {attempt_end::not_run, "not_run"},
    {attempt_end::broken, "broken"},
    {attempt_end::preempted, "yielded"},
    {attempt_end::queued, "queued"},
    {attempt_end::too_long, "too_long"},
    {attempt_end::silent, "silent"},
    {attempt_end::stalled, "stalled"},
}};

/// Longest output of an item: clients read it in an answer of at most 1 MB.
inline constexpr std::size_t max_output_bytes = 900'000;

/// Delays before an item is retried.
struct item_retry_options {
  /// After a full target refused the attempt.
  instant refusal_delay = std::chrono::milliseconds(100);
  /// After a failure; meanwhile the other daemons learn to avoid the target.
  instant failure_delay = std::chrono::milliseconds(200);
  /// After preemption; a burst of online requests lasts a second or more.
  instant preemption_delay = std::chrono::milliseconds(150);
  /// After withdrawal from a queue; items of other daemons, which load reports
  /// do not count, hold the slots for seconds.
  instant withdrawal_delay = std::chrono::milliseconds(500);
  /// After the first break without an event; quadruples with each further one.
  instant initial_backoff = std::chrono::milliseconds(200);
  /// Upper bound of the backoff. Items must complete however often their
  /// targets failed, and targets recover within seconds.
  instant max_backoff = std::chrono::milliseconds(3200);
  /// How long an item waits for a target of the version that began it while
  /// others have room; its output is lost when it begins anew.
  instant max_version_wait = std::chrono::milliseconds(3000);
  /// Breaks without an event after which it no longer counts on its version.
  std::uint32_t max_version_breaks = 3;
  /// The same for runs that were cut off as they brought nothing.
  std::uint32_t max_version_cuts = 4;
};

/// Identifies one item of the jobs that run here.
struct item_ref {
  std::string job;
  std::uint32_t item = 0;
};

/// Creates the run-time state from a job's row and the items of its body.
job_run start_run(job_row row, std::vector<submitted_item> submitted);

/// Parameters for choosing the next item.
struct item_order_options {
  /// Estimated time that an item without output occupies a slot.
  instant item_time = std::chrono::milliseconds(4900);
  /// Estimated time per event.
  instant event_time = std::chrono::microseconds(20500);
  /// Time reserved for preemptions by online requests.
  instant margin = std::chrono::milliseconds(500);
  /// An item is urgent if its estimated completion is less than this before it
  /// is due. The value leaves time for most of another item to end first.
  instant urgency = std::chrono::milliseconds(4000);
  /// Considers urgent items only.
  bool only_urgent = false;
  /// Considers the items for which it returns true; all if not set.
  std::function<bool(const job_run&, const job_item&)> accepts;
};

/// An item that may start, with its deadline.
struct item_choice {
  item_ref ref;
  /// The estimated completion is before the job is due.
  bool in_time = true;
  /// When its job is due, on the store's clock.
  instant due{};
};

/// Chooses the item to run next: items that can still meet their deadline go
/// first, earliest deadline first, so that slots under overload go to items
/// that can still gain from them. Late items take slots that nothing else
/// needs. An item that failed waits until the failure is saved, so that a new
/// owner does not restart the count.
/// \param now current time on the steady clock.
/// \param store_now current time on the store's clock.
/// \return nothing when no item may start.
std::optional<item_choice> next_item(const job_runs& runs, instant now,
                                     instant store_now,
                                     const item_order_options& options = {});

/// Applies the outcome of an attempt to a running item.
/// \param progressed whether the attempt produced at least one event.
/// \param attempts number of failures after which the item is dead.
/// \param now current time on the steady clock.
void end_attempt(job_item& item, attempt_end end, bool progressed,
                 std::uint32_t attempts, instant now,
                 const item_retry_options& options = {});

/// Drops an item's output, so that any version may run it from the start.
void begin_anew(job_item& item);

/// Drops outputs of waiting items, the longest first, until all outputs
/// together take less than a limit. Their items begin anew. Outputs of up to a
/// row's size stay. \param most limit in bytes. \return the ids of the items.
std::vector<std::string> trim_outputs(job_runs& runs, std::size_t most);

/// \return whether an item has waited long enough for its version.
bool is_stalled(const job_item& item, instant now,
                const item_retry_options& options = {});

/// Marks all waiting items of a job as dead.
void fail_waiting_items(job_run& run);

/// \return the longest id of an item whose result fits into a row.
std::size_t max_item_id_bytes(const store_limits& limits);

/// A transaction that lists results, and the job's row after it.
struct listing {
  row_transaction transaction;
  job_row row;
};

/// Builds the transaction that lists finished items, as many as the store's
/// limits allow. An output that is longer than a row has to be stored first.
/// \param now current time on the steady clock.
/// \return nothing when no finished item can be listed.
std::optional<listing> next_listing(const job_run& run,
                                    const store_limits& limits, instant now);

/// A transaction that stores pieces of an item's output.
struct output_save {
  row_transaction transaction;
  std::uint32_t item = 0;
  /// Pieces in the store after it.
  std::uint32_t pieces = 0;
};

/// Builds the transaction that stores the next pieces of a finished item's
/// output. It fails when the job's row has changed, so that a former owner does
/// not replace the pieces of its successor.
/// \param now current time on the steady clock.
/// \return nothing when no output has to be stored.
std::optional<output_save> next_output(const job_run& run,
                                       const store_limits& limits, instant now);

/// Puts aside an item whose output or result the store refuses.
/// \param now current time on the steady clock.
void note_refusal(job_item& item, instant now);

/// Adapts a run to a transaction that the store refuses however often it is
/// sent: the next one lists fewer results, and a result that is refused alone
/// does not hold up the others.
/// \param refused the transaction.
/// \param now current time on the steady clock.
void note_refusal(job_run& run, const listing& refused, instant now);

/// A transaction that saves progress, and what it saves of each item.
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

/// Builds the transaction that saves the progress of unfinished items, so that
/// a new owner resumes from there. It fails when the job's row has changed.
/// \param min_events items with fewer events since the last save are skipped,
///     unless they have failed since.
/// \return nothing when there is nothing to save. Output that is longer than a
///     row is not saved, so that a new owner begins the item anew.
std::optional<progress_save> next_save(const job_run& run,
                                       std::uint64_t min_events,
                                       const store_limits& limits);

/// Records that a progress transaction was committed.
void mark_saved(job_run& run, const progress_save& save);

/// Adapts a run to a save that the store refuses however often it is sent: the
/// next one has fewer items, and an item that is refused alone goes on without.
void note_refusal(job_run& run, const progress_save& refused);

/// Tells whether a newer row ends the run at once, even while a listing
/// transaction is in flight: the job was ended, or has another owner.
/// \param known the newest known row of the job.
bool must_stop(const job_run& run, const job_row& known);

/// Updates the run from the job's row in the store; ignores older rows.
/// \return whether this daemon still runs the job.
bool apply_row(job_run& run, const job_row& row);

/// Tells whether any item of the job is in the given state.
bool has_item(const job_run& run, item_state state);

}  // namespace fulmar::serving
