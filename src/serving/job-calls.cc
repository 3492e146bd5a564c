// Client calls on accepted jobs: reading results and items, and ending a job.

#include <utility>

#include "front.h"
#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "job-store.h"
#include "pass-on.h"
#include "platform/job-bodies.h"
#include "platform/names.h"

namespace fulmar::serving {
namespace {

/// Limit on retries of ending a job after its row was changed concurrently.
constexpr int max_end_conflicts = 8;

/// Retry interval and time limit for ending a job while the store does not
/// answer. The client must get a reply within its time-out of 5 s.
constexpr auto end_retry_delay = std::chrono::milliseconds(100);
constexpr auto end_timeout = std::chrono::milliseconds(2000);

/// Limits on the results in one response.
constexpr std::uint32_t max_results_per_response = 40;
constexpr std::size_t max_response_bytes = 1'000'000;

/// Finds a job in the job book or, failing that, in the store.
/// \return the job; `not_found` only when the store has no such row.
task<absl::StatusOr<job_row>> find_or_read_job(front& in, std::string host,
                                               std::string id) {
  if (const auto* known = find_job(in.book, id)) co_return *known;
  auto row = co_await read_job(in, host, id);
  if (!row.ok()) co_return row.status();
  co_return *row;
}

/// The same for a job that a caller may use. To others it does not exist.
task<absl::StatusOr<job_row>> find_job_of(front& in, std::string host,
                                          std::string id,
                                          teams::job_caller caller) {
  auto job = co_await find_or_read_job(in, std::move(host), id);
  if (!job.ok() || teams::may_use_job(caller, job->team)) co_return job;
  in.log.add("job_of_other_team",
             {{"job", id}, {"team", job->team}, {"caller", caller.team}});
  co_return make_error(error_code::not_found, "no such job of this team");
}

/// Waits until a job has a result at a position, the job ends or time runs out.
/// \return the latest known state of the job.
task<job_row> wait_for_result(front& in, job_row job, std::uint32_t position,
                              instant until) {
  while (job.listed.size() <= position && job.open() && !in.leaving) {
    auto now = event_loop::steady();
    if (now >= until) break;
    co_await in.book_changed.wait(until - now);
    if (const auto* known = find_job(in.book, job.id)) job = *known;
  }
  co_return job;
}

/// Handles a read that failed, mostly because the store does not answer:
/// forwards it to another daemon, or refuses it.
task<void> forward_or_refuse_read(front& in,
                                  std::shared_ptr<http_exchange> client,
                                  std::string job, teams::job_caller caller,
                                  absl::Status fault) {
  auto answered = co_await try_forward(in, client, std::move(caller));
  if (answered) co_return;
  auto why = std::string(fault.message());
  in.log.add("read_refused", {{"job", job}, {"why", why}});
  refuse(*client, status_not_run, "the store is away", store_retry_delay);
}

/// Reads the pieces of an output that is longer than a row.
task<absl::StatusOr<std::string>> read_output(front& in, job_row job,
                                              item_result result) {
  auto out = std::string();
  auto pieces = std::uint32_t{0};
  auto range = output_rows_of(job, result.item);
  for (;;) {
    auto page = co_await in.store.read(range);
    if (!page.ok()) co_return page.status();
    for (const auto& it : page->rows) {
      // A former owner may have left pieces of a longer output.
      if (pieces == result.pieces) break;
      out += it.value;
      ++pieces;
    }
    if (pieces == result.pieces) co_return out;
    if (!page->truncated || page->rows.empty()) {
      co_return make_error(
          error_code::internal,
          concat("pieces of item ", result.id, " are missing"));
    }
    range.from = page->rows.back().name.key + '\0';
  }
}

/// Reads the results from a position on, up to the limits of one response.
task<absl::StatusOr<std::vector<item_result>>> read_result_page(
    front& in, job_row job, std::uint32_t position) {
  auto range = results_from(job, position);
  range.limit = max_results_per_response;
  auto page = co_await in.store.read(std::move(range));
  if (!page.ok()) co_return page.status();
  auto out = std::vector<item_result>();
  auto bytes = std::size_t{0};
  for (const auto& it : page->rows) {
    auto result = decode_result(it.value);
    if (!result.ok()) co_return result.status();
    if (!out.empty() && result->pieces > 0) break;
    if (result->pieces > 0) {
      auto output = co_await read_output(in, job, *result);
      if (!output.ok()) co_return output.status();
      result->output = std::move(*output);
    }
    bytes += result->output.size();
    if (!out.empty() && bytes > max_response_bytes) break;
    out.push_back(std::move(*result));
  }
  co_return out;
}

/// Encodes results from a position on, as many as fit into a response.
std::string encode_page(const job_row& job, std::vector<item_result> results,
                        std::uint32_t position) {
  for (;;) {
    auto next = position + static_cast<std::uint32_t>(results.size());
    auto out = platform::encode_results(job.items, results, next);
    if (results.size() <= 1 || out.size() <= max_response_bytes) return out;
    results.resize(results.size() / 2);
  }
}

}  // namespace

task<void> read_results(front& in, std::shared_ptr<http_exchange> client,
                        std::string id, std::uint32_t position,
                        teams::job_caller caller) {
  auto served = co_await forward_if_store_lost(in, client, caller);
  if (served) co_return;
  auto job = co_await find_job_of(in, host_of(*client), id, caller);
  if (!job.ok() && code_of(job.status()) == error_code::not_found) {
    in.log.add("job_unknown",
               {{"job", id}, {"book_version", in.feeds.jobs.version}});
    refuse(*client, status_not_found, "there is no such job");
    co_return;
  }
  if (!job.ok()) {
    co_await forward_or_refuse_read(in, client, id, caller, job.status());
    co_return;
  }
  auto until = event_loop::steady() +
               requested_wait(client->request()).value_or(instant{});
  *job = co_await wait_for_result(in, *job, position, until);
  auto stale = !shows_absence(in.feeds.jobs, event_loop::steady());
  if (job->listed.size() <= position && stale)
    job = co_await read_job(in, job->host, id);
  auto results =
      absl::StatusOr<std::vector<item_result>>(std::vector<item_result>());
  if (!job.ok()) {
    results = job.status();
  } else if (job->listed.size() > position) {
    results = co_await read_result_page(in, *job, position);
  }
  if (!results.ok()) {
    co_await forward_or_refuse_read(in, client, id, caller, results.status());
    co_return;
  }
  client->respond({.headers = {{"Content-Type", "application/json"}},
                   .body = encode_page(*job, std::move(*results), position)});
}

task<void> read_item(front& in, std::shared_ptr<http_exchange> client,
                     std::string id, std::string item,
                     teams::job_caller caller) {
  auto served = co_await forward_if_store_lost(in, client, caller);
  if (served) co_return;
  auto job = co_await find_job_of(in, host_of(*client), id, caller);
  auto items = absl::StatusOr<std::vector<submitted_item>>(
      std::vector<submitted_item>());
  if (job.ok()) {
    items = co_await read_items(in, *job);
  } else {
    items = job.status();
  }
  if (!items.ok() && code_of(items.status()) != error_code::not_found) {
    co_await forward_or_refuse_read(in, client, id, caller, items.status());
    co_return;
  }
  if (items.ok()) {
    for (auto& it : *items) {
      if (it.id != item) continue;
      client->respond(
          {.headers = {{"Content-Type", "application/octet-stream"}},
           .body = std::move(it.body)});
      co_return;
    }
  }
  in.log.add("item_unknown", {{"job", id}, {"item", item}});
  refuse(*client, status_not_found, "there is no such item");
}

task<void> end_job(front& in, std::shared_ptr<http_exchange> client,
                   std::string id, teams::job_caller caller) {
  auto served = co_await forward_if_store_lost(in, client, caller);
  if (served) co_return;
  auto host = host_of(*client);
  auto began = event_loop::steady();
  for (auto conflicts = 0; conflicts < max_end_conflicts; ++conflicts) {
    auto job = co_await find_job_of(in, host, id, caller);
    if (!job.ok() && code_of(job.status()) == error_code::not_found) {
      refuse(*client, status_not_found, "there is no such job");
      co_return;
    }
    if (!job.ok()) break;
    if (job->ended) {
      client->respond({});
      co_return;
    }
    auto next = *job;
    next.ended = true;
    auto result = co_await in.store.commit(job_change(*job, next));
    if (!result.ok()) {
      auto late = event_loop::steady() - began > end_timeout;
      if (late || is_refusal(result.status())) break;
      co_await pause_for(end_retry_delay);
      continue;
    }
    if (!result->committed) {
      for (const auto& it : result->current)
        take_job_row(in.book, it);
      continue;
    }
    next.version = result->version;
    update_known_job(in, next);
    in.log.add("job_ended", {{"job", id},
                             {"listed", std::uint64_t{next.listed.size()}},
                             {"version", next.version}});
    client->respond({});
    co_return;
  }
  auto answered = co_await try_forward(in, client, caller);
  if (answered) co_return;
  refuse(*client, status_outcome_unknown, "the store is away",
         store_retry_delay);
}

}  // namespace fulmar::serving
