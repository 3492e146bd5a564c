// Accepts batch jobs: checks them, keeps them in the store, here or through
// another daemon.

#include <absl/strings/numbers.h>

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
constexpr int status_too_large = 413;
constexpr int status_too_many = 429;

/// A client that met a full queue may come back then; items take seconds each.
constexpr auto full_pause = std::chrono::milliseconds(1000);

/// A row's value in base64 must stay below the store's bound either way.
constexpr std::size_t body_piece_bytes = std::size_t{48} * 1024;

/// A larger body goes into an object: one transaction holds 1 MB in base64.
constexpr std::size_t max_body_in_rows = std::size_t{480} * 1024;

/// Races for the order of acceptances that one submission may lose.
constexpr int max_acceptance_races = 8;

/// Sends of one transaction whose outcome is unknown.
constexpr int max_unknown_sends = 2;

/// A store that has not kept a job by then is slow or out of reach, and another
/// daemon is asked as well: three transactions' time, a third of the goal.
constexpr auto own_acceptance_time = std::chrono::milliseconds(130);

/// How an acceptance ended.
enum class accepted { yes, known, over_limit, not_run, unknown };

inline constexpr std::array<named<accepted>, 5> accepted_names{{
    {accepted::yes, "accepted"},
    {accepted::known, "known"},
    {accepted::over_limit, "over_limit"},
    {accepted::not_run, "not_run"},
    {accepted::unknown, "unknown"},
}};

struct submission {
  job_row job;
  std::uint64_t tokens = 0;
  std::uint64_t limit = 0;
  /// The route's gate takes part.
  bool ordered = true;
};

/// Takes the rows that a failed condition shows.
/// \return whether the job itself exists.
bool take_current(front& in, const transaction_result& result,
                  const std::string& job, job_book::gate& gate) {
  auto exists = false;
  for (const auto& it : result.current) {
    if (it.name.key == job) {
      exists = it.version > 0;
      take_job_row(in.book, it);
      continue;
    }
    gate.version = it.version;
    auto tokens = std::uint64_t{0};
    if (absl::SimpleAtoi(it.value, &tokens)) gate.accepted_tokens = tokens;
  }
  return exists;
}

quota_request quota_request_of(const front& in, const submission& it) {
  auto now = event_loop::steady();
  return {.gate = gate_name(it.job.host, it.job.route),
          .tokens = it.tokens,
          .waiting = waiting_tokens(in.book, it.job.host, it.job.route),
          .limit = it.limit,
          .daemons = 1 + live_members(in.board, "", now).size()};
}

/// Writes the job's rows. Near the route's limit the gate orders acceptances,
/// so that two daemons never both use the last room.
task<accepted> accept(front& in, submission& it, std::string_view body) {
  auto gate = job_book::gate();
  auto request = quota_request_of(in, it);
  const auto& key = request.gate;
  auto now = event_loop::steady();
  it.ordered = !fits_without_order(in.unordered, request, now);
  if (!it.ordered) note_unordered(in.unordered, request, now);
  if (auto known = in.book.gates.find(key); known != in.book.gates.end())
    gate = known->second;
  auto sends = 0;
  auto pieces = it.job.object.empty() ? body : std::string_view();
  for (auto races = 0; races < max_acceptance_races;) {
    auto verdict =
        judge_submission(in.book, it.job.id, it.job.host, it.job.route,
                         it.limit, gate.accepted_tokens, it.tokens);
    if (verdict == submission_verdict::known) co_return accepted::known;
    if (verdict == submission_verdict::over_limit && sends == 0)
      co_return accepted::over_limit;
    auto order = it.ordered ? std::optional(gate) : std::nullopt;
    auto result = co_await in.store.commit(
        acceptance(it.job, order, it.tokens, pieces, body_piece_bytes));
    if (!result.ok()) {
      auto unknown = outcome_of(result.status()) != outcome::not_run;
      if (!unknown && sends == 0) co_return accepted::not_run;
      if (++sends > max_unknown_sends) co_return accepted::unknown;
      continue;
    }
    if (result->committed) {
      it.job.version = result->version;
      // The book knows this job from now on, before the row of the gate comes.
      if (it.ordered) in.book.gates[key].accepted_tokens += it.tokens;
      co_return accepted::yes;
    }
    // After a lost answer this is the job's own row: accepted all the same.
    if (take_current(in, *result, it.job.id, gate)) co_return accepted::known;
    ++races;
  }
  co_return sends == 0 ? accepted::not_run : accepted::unknown;
}

void log_submission(front& in, const submission& it, accepted how,
                    instant began) {
  in.log.add(
      "job_submitted",
      {{"job", it.job.id},
       {"route", it.job.route},
       {"end", name_in(accepted_names, how)},
       {"items", std::uint64_t{it.job.items}},
       {"tokens", it.tokens},
       {"limit", it.limit},
       {"ordered", it.ordered},
       {"waiting", waiting_tokens(in.book, it.job.host, it.job.route)},
       {"book_version", in.feeds.jobs.version},
       {"took_us", std::int64_t{(event_loop::steady() - began).count()}}});
}

/// A job that this daemon writes to the store itself.
struct own_acceptance {
  explicit own_acceptance(asio::io_context& io) : ended(io) {}

  std::shared_ptr<http_exchange> client;
  submission it;
  std::vector<submitted_item> items;
  /// Nothing until the store has answered.
  std::optional<accepted> how;
  change_signal ended;
};

/// Joins what this daemon found out with what another one answered.
accepted join(accepted here, const passed_call& there) {
  if (here == accepted::yes || here == accepted::known) return here;
  if (there.answer && there.answer->status == status_accepted)
    return accepted::known;
  if (here == accepted::unknown || (there.sent && !there.answer))
    return accepted::unknown;
  if (there.answer && there.answer->status == status_too_many)
    return accepted::over_limit;
  return here;
}

void answer_submission(http_exchange& client, accepted how) {
  switch (how) {
    case accepted::yes:
    case accepted::known:
      client.respond({.status = status_accepted});
      return;
    case accepted::over_limit:
      refuse(client, status_too_many, "too many tokens wait on this route",
             full_pause);
      return;
    case accepted::not_run:
      refuse(client, status_not_run, "the store is away", store_pause);
      return;
    case accepted::unknown:
      refuse(client, status_unknown, "the store's answer was lost");
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

/// Tells whether a job could be kept now. An outage lasts seconds, longer than
/// the client waits for an answer.
bool can_accept(front& in, const std::string& job) {
  auto away = store_lost(in);
  if (!in.leaving && !away && in.store_clock_offset) return true;
  in.log.add("job_not_kept_here",
             {{"job", job},
              {"why", away ? "the store is away" : "not ready"},
              {"store_failures", in.store_counts.failures_in_a_row}});
  return false;
}

submission make_submission(const front& in, std::string host, std::string id,
                           const route& path,
                           std::span<const submitted_item> items) {
  auto out = submission{.limit = path.max_waiting_tokens};
  for (const auto& it : items)
    out.tokens += it.tokens;
  out.job = {.id = std::move(id),
             .host = std::move(host),
             .route = path.name,
             .items = static_cast<std::uint32_t>(items.size()),
             .waiting_tokens = out.tokens,
             .accepted = store_time(in).value_or(instant{}),
             .owner = in.self};
  return out;
}

/// Puts a body that is too large for rows into an object.
/// \return false when the store did not take it.
task<bool> keep_large_body(front& in, job_row& job, std::string body) {
  if (body.size() <= max_body_in_rows) co_return true;
  job.object = concat("job-", job.id, "-", in.incarnation);
  auto status = co_await in.store.put_object(job.object, std::move(body));
  co_return status.ok();
}

/// Runs a job that this daemon accepted, unless its row changed since.
void begin_run(front& in, job_row job, std::vector<submitted_item> items) {
  if (const auto* known = find_job(in.book, job.id)) job = *known;
  in.book.jobs.try_emplace(job.id, job);
  if (job.owner != in.self || !job.open()) return;
  add_run(in, job, std::move(items));
}

/// Keeps a job, and runs it if that succeeded.
task<void> accept_here(front& in, std::shared_ptr<own_acceptance> at) {
  auto began = event_loop::steady();
  const auto& body = at->client->request().body;
  auto how = accepted::not_run;
  auto kept = co_await keep_large_body(in, at->it.job, body);
  if (kept) how = co_await accept(in, at->it, body);
  log_submission(in, at->it, how, began);
  at->how = how;
  at->ended.notify();
  if (how == accepted::yes) begin_run(in, at->it.job, std::move(at->items));
}

/// Keeps a job here, or through another daemon when the store is slow to
/// answer or out of reach. A job that both keep is kept once, by its row.
task<accepted> accept_anywhere(front& in, std::shared_ptr<own_acceptance> at) {
  auto here = can_accept(in, at->it.job.id);
  if (here) {
    asio::co_spawn(in.io, accept_here(in, at), asio::detached);
    if (!at->how) co_await at->ended.wait(own_acceptance_time);
  } else {
    at->how = accepted::not_run;
  }
  auto failed = !at->how || *at->how == accepted::not_run ||
                *at->how == accepted::unknown;
  auto there = passed_call();
  if (failed) there = co_await pass_on(in, at->client);
  if (there.answer && there.answer->status == status_accepted)
    co_return accepted::known;
  while (!at->how)
    co_await at->ended.wait(own_acceptance_time);
  co_return join(*at->how, there);
}

}  // namespace

task<void> submit_job(
    front& in, std::shared_ptr<http_exchange> client,
    std::shared_ptr<const served_configuration> /*keeps the route*/,
    const route& path) {
  const auto& request = client->request();
  auto id =
      std::string(find_header(request.headers, platform::header::request_id));
  if (id.empty()) {
    refuse(*client, status_bad_request, "the job has no id");
    co_return;
  }
  if (find_job(in.book, id) != nullptr) {
    answer_submission(*client, accepted::known);
    co_return;
  }
  auto items = platform::decode_submission(request.body);
  if (!items.ok()) {
    refuse_malformed(in, *client, id, items.status());
    co_return;
  }
  auto at = std::make_shared<own_acceptance>(in.io);
  at->client = client;
  at->it = make_submission(in, host_of(*client), id, path, *items);
  at->items = std::move(*items);
  auto how = co_await accept_anywhere(in, at);
  answer_submission(*client, how);
}

}  // namespace fulmar::serving
