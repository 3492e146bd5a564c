#include "job-store.h"

#include <absl/strings/numbers.h>

#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "platform/job-bodies.h"

namespace fulmar::serving {
task<absl::StatusOr<job_row>> read_job(front& in, std::string host,
                                       std::string id) {
  auto range = row_range{.table = job_table::jobs,
                         .part = host,
                         .from = id,
                         .to = id + '\0',
                         .limit = 1};
  auto page = co_await in.store.read(std::move(range));
  if (!page.ok()) co_return page.status();
  if (page->rows.empty())
    co_return make_error(error_code::not_found, "no such job in the store");
  take_job_row(in.book, page->rows.front());
  co_return decode_job(page->rows.front());
}

task<absl::StatusOr<std::vector<submitted_item>>> read_items(front& in,
                                                             job_row job) {
  auto body = std::string();
  if (!job.object.empty()) {
    auto object = co_await in.store.get_object(job.object);
    if (!object.ok()) co_return object.status();
    body = std::move(*object);
  } else {
    auto range = rows_of(job_table::bodies, job);
    auto page = co_await in.store.read(range);
    if (!page.ok()) co_return page.status();
    for (const auto& it : page->rows)
      body += it.value;
    while (page->truncated && !page->rows.empty()) {
      range.from = page->rows.back().name.key + '\0';
      page = co_await in.store.read(range);
      if (!page.ok()) co_return page.status();
      for (const auto& it : page->rows)
        body += it.value;
    }
  }
  co_return platform::decode_submission(body);
}

task<absl::StatusOr<progress_table>> read_progress(front& in, job_row job) {
  auto out = progress_table();
  auto range = rows_of(job_table::partials, job);
  for (;;) {
    auto page = co_await in.store.read(range);
    if (!page.ok()) co_return page.status();
    for (const auto& it : page->rows) {
      auto number = it.name.key.substr(job.id.size() + 1);
      auto item = std::uint32_t{0};
      auto progress = decode_progress(it.value);
      if (!progress.ok() || !absl::SimpleAtoi(number, &item)) continue;
      out[item] = std::move(*progress);
    }
    if (!page->truncated || page->rows.empty()) co_return out;
    range.from = page->rows.back().name.key + '\0';
  }
}

task<bool> remove_job(front& in, job_row job) {
  if (!job.object.empty()) {
    // Before its job, which alone names it.
    auto status = co_await in.store.drop_object(job.object);
    if (!status.ok()) co_return false;
  }
  for (;;) {
    auto rows = std::vector<row_name>();
    auto whole = true;
    for (const auto* table : {job_table::results, job_table::outputs,
                              job_table::bodies, job_table::partials}) {
      auto range = rows_of(table, job);
      auto page = co_await in.store.read(std::move(range));
      if (!page.ok()) co_return false;
      if (page->truncated) whole = false;
      for (auto& it : page->rows)
        rows.push_back(std::move(it.name));
    }
    auto change = removal(job, std::move(rows), whole);
    auto last = change.removals.back() == job_row_name(job);
    auto result = co_await in.store.commit(std::move(change));
    if (!result.ok() || !result->committed) co_return false;
    if (last) co_return true;
  }
}

instant due_after(const front& in, const job_row& job) {
  const auto* path = find_route(*in.configuration, job.route);
  if (path != nullptr && path->due.count() > 0) return path->due;
  return instant::max() / 2;
}

void add_run(front& in, const job_row& job, std::vector<submitted_item> items,
             const progress_table& progress) {
  auto run = start_run(job, std::move(items));
  run.serial = ++in.request_count;
  run.due_after = due_after(in, job);
  for (const auto& [item, it] : progress) {
    if (item >= run.items.size()) continue;
    auto& row = run.items[item];
    if (row.state != item_state::waiting) continue;
    row.progress = it;
    row.saved_event = it.last_event;
    row.saved_failures = it.failures;
  }
  in.runs.try_emplace(job.id, std::move(run));
}

void update_known_job(front& in, const job_row& job) {
  auto& known = in.book.jobs[job.id];
  if (known.version < job.version) known = job;
  in.book_changed.notify();
}

}  // namespace fulmar::serving
