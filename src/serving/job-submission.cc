// Accepts batch jobs: validates them and writes them to the store, directly or
// through another daemon.

#include <absl/strings/numbers.h>

#include <algorithm>
#include <span>
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

constexpr int status_accepted = 202;
constexpr int status_bad_request = 400;
constexpr int status_conflict = 409;
constexpr int status_too_large = 413;
constexpr int status_too_many = 429;

/// Retry-After when a route's queue is full; one item takes seconds to run.
constexpr auto queue_full_retry_after = std::chrono::milliseconds(1000);

/// Larger bodies are stored as objects: a transaction is limited to 1 MB in
/// base64.
constexpr std::size_t max_body_in_rows = std::size_t{480} * 1024;

/// Entries of an acceptance that are not pieces of the body.
constexpr std::size_t acceptance_entries = 4;

/// Limit on retries of one submission after conflicts with other acceptances.
constexpr int max_acceptance_conflicts = 8;

/// Limit on retries of a transaction whose outcome is unknown.
constexpr int max_unknown_retries = 2;

/// Time after which a submission that the store has not confirmed is also
/// forwarded to another daemon. Three times the duration of a transaction, and
/// a third of the latency goal.
constexpr auto local_acceptance_timeout = std::chrono::milliseconds(130);

/// Outcome of a submission.
enum class acceptance_outcome {
  yes,
  known,
  /// Another team has a job of this id.
  id_taken,
  over_limit,
  not_run,
  unknown
};

inline constexpr std::array<named<acceptance_outcome>, 6>
    acceptance_outcome_names{{
        {acceptance_outcome::yes, "accepted"},
        {acceptance_outcome::known, "known"},
        {acceptance_outcome::id_taken, "id_taken"},
        {acceptance_outcome::over_limit, "over_limit"},
        {acceptance_outcome::not_run, "not_run"},
        {acceptance_outcome::unknown, "unknown"},
    }};

struct submission {
  job_row job;
  teams::job_caller caller;
  std::uint64_t tokens = 0;
  std::uint64_t limit = 0;
  /// Whether the transaction checks and updates the route's quota counter.
  bool ordered = true;
};

/// \return the jobs that share the limit on waiting tokens.
quota_scope scope_of(const submission& it) {
  auto out = quota_scope{.host = it.job.host, .route = it.job.route};
  if (it.caller.is_checked) out.team = it.job.team;
  return out;
}

/// \return the outcome for a job whose row exists already.
acceptance_outcome outcome_of_known(const front& in, const std::string& job,
                                    const teams::job_caller& caller) {
  const auto* known = find_job(in.book, job);
  auto allowed = known == nullptr || teams::may_use_job(caller, known->team);
  return allowed ? acceptance_outcome::known : acceptance_outcome::id_taken;
}

/// Updates the job book and the quota counter from the rows that a rejected
/// transaction returned.
/// \return whether the job's own row exists.
bool apply_current_rows(front& in, const transaction_result& result,
                        const std::string& job,
                        job_book::quota_counter& quota_counter) {
  auto exists = false;
  for (const auto& it : result.current) {
    if (it.name.key == job) {
      exists = it.version > 0;
      take_job_row(in.book, it);
      continue;
    }
    quota_counter.version = it.version;
    auto tokens = std::uint64_t{0};
    if (absl::SimpleAtoi(it.value, &tokens))
      quota_counter.accepted_tokens = tokens;
  }
  return exists;
}

quota_request make_quota_request(const front& in, const submission& it) {
  auto now = event_loop::steady();
  auto scope = scope_of(it);
  return {.quota_counter = quota_counter_key(scope),
          .tokens = it.tokens,
          .waiting = waiting_tokens(in.book, scope),
          .limit = it.limit,
          .daemons = 1 + live_members(in.board, "", now).size()};
}

/// Writes the job's rows. Near the limit, the quota counter's row
/// serialises acceptances, so that two daemons cannot both use the remaining
/// quota.
task<acceptance_outcome> accept(front& in, submission& it,
                                std::string_view body) {
  auto quota_counter = job_book::quota_counter();
  auto request = make_quota_request(in, it);
  const auto& key = request.quota_counter;
  auto now = event_loop::steady();
  it.ordered = !fits_without_counter(in.unordered, request, now);
  if (!it.ordered) record_uncounted(in.unordered, request, now);
  if (auto known = in.book.quota_counters.find(key);
      known != in.book.quota_counters.end())
    quota_counter = known->second;
  auto retries = 0;
  auto pieces = it.job.object.empty() ? body : std::string_view();
  for (auto conflicts = 0; conflicts < max_acceptance_conflicts;) {
    auto verdict = judge_submission(in.book, it.job.id, scope_of(it), it.limit,
                                    quota_counter.accepted_tokens, it.tokens);
    if (verdict == submission_verdict::known)
      co_return outcome_of_known(in, it.job.id, it.caller);
    if (verdict == submission_verdict::over_limit && retries == 0)
      co_return acceptance_outcome::over_limit;
    auto order = it.ordered ? std::optional(quota_counter) : std::nullopt;
    auto result = co_await in.store.commit(acceptance(
        it.job, order, it.tokens, pieces, max_value_bytes(in.settings.limits)));
    if (!result.ok()) {
      auto unknown = outcome_of(result.status()) != outcome::not_run;
      if (!unknown && retries == 0) co_return acceptance_outcome::not_run;
      if (++retries > max_unknown_retries)
        co_return acceptance_outcome::unknown;
      continue;
    }
    if (result->committed) {
      it.job.version = result->version;
      // The book holds this job before the update of the counter's row arrives.
      if (it.ordered) in.book.quota_counters[key].accepted_tokens += it.tokens;
      co_return acceptance_outcome::yes;
    }
    // After a lost response, the row may come from an earlier attempt of this
    // submission: the job is accepted.
    if (apply_current_rows(in, *result, it.job.id, quota_counter))
      co_return outcome_of_known(in, it.job.id, it.caller);
    ++conflicts;
  }
  co_return retries == 0 ? acceptance_outcome::not_run
                         : acceptance_outcome::unknown;
}

void log_submission(front& in, const submission& it, acceptance_outcome how,
                    instant began) {
  in.log.add(
      "job_submitted",
      {{"job", it.job.id},
       {"route", it.job.route},
       {"team", it.job.team},
       {"end", name_in(acceptance_outcome_names, how)},
       {"owner", it.job.owner.name},
       {"items", std::uint64_t{it.job.items}},
       {"tokens", it.tokens},
       {"limit", it.limit},
       {"ordered", it.ordered},
       {"waiting", waiting_tokens(in.book, scope_of(it))},
       {"book_version", in.feeds.jobs.version},
       {"took_us", std::int64_t{(event_loop::steady() - began).count()}}});
}

/// A submission that this daemon writes to the store itself.
struct local_submission {
  explicit local_submission(asio::io_context& io) : ended(io) {}

  std::shared_ptr<http_exchange> client;
  submission it;
  std::vector<submitted_item> items;
  /// The body to store if it is not the client's.
  std::optional<std::string> replaced_body;

  const std::string& body() const {
    return replaced_body ? *replaced_body : client->request().body;
  }
  /// Empty until the outcome is decided.
  std::optional<acceptance_outcome> how;
  change_signal ended;
};

/// Combines the outcome at this daemon with the response to the forwarded call.
acceptance_outcome combine_outcomes(acceptance_outcome here,
                                    const forwarded_call& forwarded) {
  if (here == acceptance_outcome::yes || here == acceptance_outcome::known ||
      here == acceptance_outcome::id_taken)
    return here;
  if (forwarded.answer && forwarded.answer->status == status_accepted)
    return acceptance_outcome::known;
  if (here == acceptance_outcome::unknown ||
      (forwarded.sent && !forwarded.answer))
    return acceptance_outcome::unknown;
  if (forwarded.answer && forwarded.answer->status == status_too_many)
    return acceptance_outcome::over_limit;
  if (forwarded.answer && forwarded.answer->status == status_conflict)
    return acceptance_outcome::id_taken;
  return here;
}

void answer_submission(http_exchange& client, acceptance_outcome how) {
  switch (how) {
    case acceptance_outcome::yes:
    case acceptance_outcome::known:
      client.respond({.status = status_accepted});
      return;
    case acceptance_outcome::id_taken:
      refuse(client, status_conflict, "the id is in use");
      return;
    case acceptance_outcome::over_limit:
      refuse(client, status_too_many, "too many tokens wait on this route",
             queue_full_retry_after);
      return;
    case acceptance_outcome::not_run:
      refuse(client, status_not_run, "the store is away", store_retry_delay);
      return;
    case acceptance_outcome::unknown:
      refuse(client, status_outcome_unknown, "the store's answer was lost");
      return;
  }
}

void refuse_malformed(front& in, http_exchange& client, const std::string& job,
                      const absl::Status& fault) {
  auto why = std::string(fault.message());
  in.log.add("job_refused", {{"job", job}, {"why", why}});
  auto large = code_of(fault) == error_code::too_large;
  refuse(client, large ? status_too_large : status_bad_request,
         "the job's body has another form");
}

/// Returns whether this daemon can write a job now. Does not wait for the
/// store: an outage lasts seconds, longer than the client waits for a response.
bool can_accept(front& in, const std::string& job) {
  auto away = store_lost(in);
  if (!in.leaving && !away && in.store_clock_offset) return true;
  in.log.add("job_not_kept_here",
             {{"job", job},
              {"why", away ? "store unreachable" : "not ready"},
              {"store_failures", in.store_counts.failures_in_a_row}});
  return false;
}

/// \return the daemons that may run a new job.
std::vector<job_owner> owner_candidates(const front& in) {
  auto out = std::vector{in.self};
  for (const auto& it : live_store_members(in.board, event_loop::steady())) {
    out.push_back({.name = concat(it.name, "#", it.incarnation),
                   .data_centre = it.data_centre});
  }
  return out;
}

submission make_submission(const front& in, std::string host, std::string id,
                           const route& path, teams::job_caller caller,
                           std::span<const submitted_item> items) {
  auto out =
      submission{.caller = std::move(caller), .limit = path.max_waiting_tokens};
  for (const auto& it : items)
    out.tokens += it.tokens;
  out.job = {.id = std::move(id),
             .host = std::move(host),
             .route = path.name,
             .team = out.caller.team,
             .items = static_cast<std::uint32_t>(items.size()),
             .waiting_tokens = out.tokens,
             .accepted = store_time(in).value_or(instant{}),
             .owner = choose_owner(in.book, owner_candidates(in), in.mean_loads,
                                   in.self, out.tokens)};
  return out;
}

/// Drops the headers of items that name a caller: a stored job holds no key.
/// \return whether there were any.
bool drop_identity_headers(std::vector<submitted_item>& items) {
  auto dropped = std::size_t{0};
  for (auto& item : items) {
    dropped += std::erase_if(item.headers, [](const http_header& it) {
      return is_identity_header(it.name);
    });
  }
  return dropped > 0;
}

/// \return whether a body fits into the rows of one transaction.
bool fits_rows(std::size_t body_bytes, const store_limits& limits) {
  auto pieces = limits.entries - acceptance_entries;
  return body_bytes <=
         std::min(max_body_in_rows, pieces * max_value_bytes(limits));
}

/// Stores a body that is too large for rows as an object.
/// \return false when the store did not confirm it.
task<bool> store_large_body(front& in, job_row& job, std::string body) {
  if (fits_rows(body.size(), in.settings.limits)) co_return true;
  job.object = body_object_name(job.id, in.incarnation, ++in.request_count);
  auto status = co_await in.store.put_object(job.object, std::move(body));
  if (!status.ok()) {
    auto why = std::string(status.message());
    in.log.add("body_not_stored", {{"job", job.id}, {"why", why}});
  }
  co_return status.ok();
}

/// Drops the object of a job that was not accepted with it.
task<void> drop_unused_object(front& in, submission it,
                              acceptance_outcome how) {
  if (it.job.object.empty() || how == acceptance_outcome::yes ||
      how == acceptance_outcome::unknown)
    co_return;
  // A lost response may have been that of the acceptance.
  const auto* known = find_job(in.book, it.job.id);
  if (known != nullptr && known->object == it.job.object) co_return;
  auto status = co_await in.store.drop_object(it.job.object);
  if (status.ok()) co_return;
  auto why = std::string(status.message());
  in.log.add("object_not_dropped", {{"object", it.job.object}, {"why", why}});
}

/// \return why the store can never keep a job or its results; OK if it can.
absl::Status check_storable(const submission& it,
                            std::span<const submitted_item> items,
                            std::size_t body_bytes,
                            const store_limits& limits) {
  auto names = acceptance(it.job, job_book::quota_counter(), it.tokens, {},
                          max_value_bytes(limits));
  // The longest key of a job's rows.
  names.removals.push_back(output_row_name(it.job, 0, 0));
  if (auto status = check_limits(names, limits); !status.ok())
    return make_error(error_code::bad_request, std::string(status.message()));
  for (const auto& item : items) {
    if (item.id.size() > max_item_id_bytes(limits))
      return make_error(error_code::bad_request, "an item's id is too long");
  }
  if (!fits_rows(body_bytes, limits) && body_bytes > limits.object_bytes)
    return make_error(error_code::too_large, "the job's body is too large");
  return absl::OkStatus();
}

/// Starts a job that this daemon accepted, unless it has ended or changed owner
/// in the meantime.
void start_accepted_job(front& in, job_row job,
                        std::vector<submitted_item> items) {
  if (const auto* known = find_job(in.book, job.id)) job = *known;
  in.book.jobs.try_emplace(job.id, job);
  if (job.owner != in.self || !job.open()) return;
  add_run(in, job, std::move(items));
}

/// Writes a job to the store and, if it was accepted, starts it.
task<void> accept_locally(front& in, std::shared_ptr<local_submission> at) {
  auto began = event_loop::steady();
  auto how = acceptance_outcome::not_run;
  auto stored = co_await store_large_body(in, at->it.job, at->body());
  if (stored) how = co_await accept(in, at->it, at->body());
  log_submission(in, at->it, how, began);
  at->how = how;
  at->ended.notify();
  if (how == acceptance_outcome::yes)
    start_accepted_job(in, at->it.job, std::move(at->items));
  co_await drop_unused_object(in, at->it, how);
}

/// Accepts a job here, or through another daemon when the store is slow or
/// unreachable. A job that both write is accepted once, as both write the same
/// row.
task<acceptance_outcome> accept_or_forward(
    front& in, std::shared_ptr<local_submission> at) {
  auto here = can_accept(in, at->it.job.id);
  if (here) {
    asio::co_spawn(in.io, accept_locally(in, at), report_failure);
    if (!at->how) co_await at->ended.wait(local_acceptance_timeout);
  } else {
    at->how = acceptance_outcome::not_run;
  }
  auto failed = !at->how || *at->how == acceptance_outcome::not_run ||
                *at->how == acceptance_outcome::unknown;
  auto forwarded = forwarded_call();
  if (failed) forwarded = co_await forward_call(in, at->client, at->it.caller);
  if (forwarded.answer && forwarded.answer->status == status_accepted)
    co_return acceptance_outcome::known;
  while (!at->how)
    co_await at->ended.wait(local_acceptance_timeout);
  co_return combine_outcomes(*at->how, forwarded);
}

}  // namespace

task<void> submit_job(
    front& in, std::shared_ptr<http_exchange> client,
    std::shared_ptr<const served_configuration> /*keeps the route*/,
    const route& path, teams::job_caller caller) {
  const auto& request = client->request();
  auto id =
      std::string(find_header(request.headers, platform::header::request_id));
  if (id.empty()) {
    refuse(*client, status_bad_request, "the job has no id");
    co_return;
  }
  if (find_job(in.book, id) != nullptr) {
    answer_submission(*client, outcome_of_known(in, id, caller));
    co_return;
  }
  auto items = platform::decode_submission(request.body);
  if (!items.ok()) {
    refuse_malformed(in, *client, id, items.status());
    co_return;
  }
  auto at = std::make_shared<local_submission>(in.io);
  at->client = client;
  if (caller.is_checked && drop_identity_headers(*items))
    at->replaced_body = platform::encode_submission(*items);
  at->it = make_submission(in, host_of(*client), id, path, std::move(caller),
                           *items);
  at->items = std::move(*items);
  auto storable =
      check_storable(at->it, at->items, at->body().size(), in.settings.limits);
  if (!storable.ok()) {
    refuse_malformed(in, *client, id, storable);
    co_return;
  }
  auto how = co_await accept_or_forward(in, at);
  answer_submission(*client, how);
}

}  // namespace fulmar::serving
