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

/// Size of the results in one transaction, which is limited to 1 MB in base64.
constexpr std::size_t max_listing_bytes = std::size_t{600} * 1024;

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

task<void> list_results(front& in, std::string job, std::uint64_t serial) {
  auto* run = find_run(in, job, serial);
  auto next = next_listing(*run, max_listing_bytes);
  auto before = run->row.listed.size();
  auto result = co_await in.store.commit(std::move(next->transaction));
  run = find_run(in, job, serial);
  if (run == nullptr) co_return;
  run->listing = false;
  if (!result.ok()) {
    run->list_after = event_loop::steady() + listing_retry_delay;
    auto why = std::string(result.status().message());
    in.log.add("listing_failed", {{"job", job}, {"why", why}});
    co_return;
  }
  if (result->committed) {
    next->row.version = result->version;
    update_known_job(in, next->row);
    in.log.add("results_listed",
               {{"job", job},
                {"from", std::uint64_t{before}},
                {"to", std::uint64_t{next->row.listed.size()}},
                {"version", result->version}});
    if (!apply_row(*run, next->row)) drop_run(in, job, "complete");
    co_return;
  }
  apply_conflict(in, job, *run, *result);
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
    auto why = result.ok() ? std::string("concurrent change of the job's row")
                           : std::string(result.status().message());
    in.log.add("saving_failed", {{"job", job}, {"why", why}});
    if (result.ok()) apply_conflict(in, job, *run, *result);
    co_return;
  }
  mark_saved(*run, save);
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
  if (auto save = next_save(*run, 1, max_listing_bytes)) {
    std::move(save->transaction.writes.begin(), save->transaction.writes.end(),
              std::back_inserter(change.writes));
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
  for (auto& [id, run] : in.runs) {
    if (run.listing || now < run.list_after) continue;
    if (!has_item(run, item_state::finished)) continue;
    run.listing = true;
    asio::co_spawn(in.io, list_results(in, id, run.serial), report_failure);
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
    auto save = next_save(run, min_events, max_listing_bytes);
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
