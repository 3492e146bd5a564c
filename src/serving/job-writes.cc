// Store writes of a job's owner: results, progress, and the release of the job
// to another daemon.

#include "job-writes.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "job-store.h"

namespace fulmar::serving {
namespace {

/// Retry delay after a failed transaction; outages of the store last seconds.
constexpr auto listing_retry_delay = std::chrono::milliseconds(200);

/// Interval between saves of one job's progress. When an owner is lost, its
/// successor repeats at most a third of an item.
constexpr auto save_interval = std::chrono::milliseconds(1500);

/// Retry delay after a failed save; outages of the store last seconds.
constexpr auto save_retry_delay = std::chrono::milliseconds(250);

/// Items with fewer new events, a tenth of an item, are not saved.
constexpr std::uint64_t min_saved_events = 20;

/// Retry delay after a failed release of a job.
constexpr auto release_retry_delay = std::chrono::milliseconds(250);

void stop_attempts(front& in, const std::string& job) {
  for (auto& it : in.attempts) {
    if (it.kind == work_kind::batch && it.job == job) it.stop();
  }
}

/// Updates the job book from the rows that a rejected transaction returned, and
/// drops the run if this daemon no longer owns the job.
/// \return whether this daemon still runs the job.
bool apply_conflict(front& in, const std::string& job, job_run& run,
                    const transaction_result& result) {
  for (const auto& it : result.current)
    take_job_row(in.book, it);
  const auto* known = find_job(in.book, job);
  if (known != nullptr && apply_row(run, *known)) return true;
  drop_run(in, job, "another owner, or ended");
  return false;
}

task<void> list_results(front& in, std::string job, std::uint64_t serial,
                        listing next) {
  auto result = co_await in.store.commit(next.transaction);
  auto* run = find_run(in, job, serial);
  if (run == nullptr) co_return;
  run->listing = false;
  auto before = run->row.listed.size();
  if (!result.ok()) {
    auto now = event_loop::steady();
    run->list_after = now + listing_retry_delay;
    auto refused = is_refusal(result.status());
    if (refused) note_refusal(*run, next, now);
    auto why = std::string(result.status().message());
    in.log.add("listing_failed",
               {{"job", job},
                {"results", std::uint64_t{next.row.listed.size() - before}},
                {"refused", refused},
                {"why", why}});
    co_return;
  }
  if (result->committed) {
    run->max_listed = std::numeric_limits<std::size_t>::max();
    next.row.version = result->version;
    update_known_job(in, next.row);
    in.log.add("results_listed", {{"job", job},
                                  {"from", std::uint64_t{before}},
                                  {"to", std::uint64_t{next.row.listed.size()}},
                                  {"version", result->version}});
    if (!apply_row(*run, next.row)) drop_run(in, job, "complete");
    co_return;
  }
  apply_conflict(in, job, *run, *result);
}

/// Stores pieces of an output that is too long for a row.
task<void> store_output(front& in, std::string job, std::uint64_t serial,
                        output_save save) {
  auto result = co_await in.store.commit(std::move(save.transaction));
  auto* run = find_run(in, job, serial);
  if (run == nullptr) co_return;
  run->listing = false;
  auto& item = run->items[save.item];
  if (!result.ok()) {
    auto now = event_loop::steady();
    run->list_after = now + listing_retry_delay;
    auto refused = is_refusal(result.status());
    if (refused) note_refusal(item, now);
    auto why = std::string(result.status().message());
    in.log.add("output_not_stored", {{"job", job},
                                     {"item", item.request.id},
                                     {"refused", refused},
                                     {"why", why}});
    co_return;
  }
  if (!result->committed) {
    apply_conflict(in, job, *run, *result);
    co_return;
  }
  item.stored_pieces = save.pieces;
  in.log.add("output_stored", {{"job", job},
                               {"item", item.request.id},
                               {"pieces", std::uint64_t{save.pieces}}});
}

task<void> save_progress(front& in, std::string job, std::uint64_t serial,
                         progress_save save) {
  auto result = co_await in.store.commit(std::move(save.transaction));
  auto* run = find_run(in, job, serial);
  if (run == nullptr) co_return;
  run->saving = false;
  run->save_after = event_loop::steady() + save_interval;
  if (!result.ok() || !result->committed) {
    // The next save includes the progress that this one did not write.
    run->save_retry_after = event_loop::steady() + save_retry_delay;
    auto refused = !result.ok() && is_refusal(result.status());
    if (refused) note_refusal(*run, save);
    auto why = result.ok() ? std::string("concurrent change of the job's row")
                           : std::string(result.status().message());
    in.log.add("saving_failed", {{"job", job},
                                 {"items", std::uint64_t{save.items.size()}},
                                 {"refused", refused},
                                 {"why", why}});
    if (result.ok()) apply_conflict(in, job, *run, *result);
    co_return;
  }
  mark_saved(*run, save);
  run->max_saved = std::numeric_limits<std::size_t>::max();
  in.log.add("progress_saved", {{"job", job},
                                {"items", std::uint64_t{save.items.size()}},
                                {"version", result->version}});
}

/// Saves the progress of a job's items and clears the job's owner, so that
/// another daemon takes it over.
task<void> release_job(front& in, std::string id, std::uint64_t serial) {
  auto* run = find_run(in, id, serial);
  if (run == nullptr) co_return;
  auto next = run->row;
  next.owner = {.data_centre = in.settings.data_centre};
  auto change = job_change(run->row, next);
  if (auto save = next_save(*run, 1, in.settings.limits)) {
    for (auto& it : save->transaction.writes) {
      if (!has_room(change, it, in.settings.limits)) break;
      change.writes.push_back(std::move(it));
    }
  }
  auto result = co_await in.store.commit(std::move(change));
  auto done = result.ok() && result->committed;
  in.log.add("job_released", {{"job", id}, {"done", done}});
  if (done) {
    drop_run(in, id, "leaving");
    co_return;
  }
  run = find_run(in, id, serial);
  if (run == nullptr) co_return;
  if (result.ok() && !apply_conflict(in, id, *run, *result)) co_return;
  run->releasing = false;
  run->release_after = event_loop::steady() + release_retry_delay;
}

}  // namespace

job_run* find_run(front& in, const std::string& job, std::uint64_t serial) {
  auto it = in.runs.find(job);
  if (it == in.runs.end() || it->second.serial != serial) return nullptr;
  return &it->second;
}

void drop_run(front& in, const std::string& job, std::string_view why) {
  stop_attempts(in, job);
  in.log.add("job_left", {{"job", job}, {"why", why}});
  in.runs.erase(job);
}

void start_listings(front& in, instant now) {
  const auto& limits = in.settings.limits;
  for (auto& [id, run] : in.runs) {
    if (run.listing || now < run.list_after) continue;
    if (!has_item(run, item_state::finished)) continue;
    if (auto next = next_listing(run, limits, now)) {
      run.listing = true;
      asio::co_spawn(in.io, list_results(in, id, run.serial, std::move(*next)),
                     report_failure);
    } else if (auto save = next_output(run, limits, now)) {
      run.listing = true;
      asio::co_spawn(in.io, store_output(in, id, run.serial, std::move(*save)),
                     report_failure);
    }
  }
}

void start_saves(front& in, instant now) {
  if (store_lost(in)) return;
  for (auto& [id, run] : in.runs) {
    if (run.saving || run.listing || now < run.save_retry_after) continue;
    // A failure is saved immediately: its item is not retried before that.
    auto min_events = now < run.save_after
                          ? std::numeric_limits<std::uint64_t>::max()
                          : min_saved_events;
    auto save = next_save(run, min_events, in.settings.limits);
    if (!save) continue;
    run.saving = true;
    asio::co_spawn(in.io, save_progress(in, id, run.serial, std::move(*save)),
                   report_failure);
  }
}

void release_jobs(front& in) {
  auto now = event_loop::steady();
  for (auto& [id, run] : in.runs) {
    if (run.releasing || now < run.release_after) continue;
    // The results of finished items have to be listed first, or they are lost.
    if (run.listing || has_item(run, item_state::finished)) continue;
    run.releasing = true;
    asio::co_spawn(in.io, release_job(in, id, run.serial), report_failure);
  }
}

}  // namespace fulmar::serving
