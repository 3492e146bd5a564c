// Serves online requests: the client waits for the answer.

#include <absl/strings/numbers.h>

#include <algorithm>
#include <utility>

#include "forwarding.h"
#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/rendezvous.h"
#include "placing.h"
#include "platform/names.h"
#include "src/serving/attempt.h"

namespace fulmar::serving {
namespace {

constexpr int status_bad_gateway = 502;
constexpr int status_timeout = 504;

/// Targets tried for one request before the client gets a refusal.
constexpr std::size_t max_refusals = 4;

/// Delay before an interrupted request is retried when no target is free.
constexpr auto resume_delay = std::chrono::milliseconds(50);

/// A target may stay silent for this multiple of the route's latency goal
/// before it is suspected: a non-streaming answer arrives all at once.
constexpr int silence_timeout_factor = 2;

/// Window of the moving average of slot times, in requests.
constexpr int slot_time_weight = 32;

void update_slot_time(front& in, instant took) {
  in.slot_time += (took - in.slot_time) / slot_time_weight;
}

/// \return whether a request that runs now may not run once more.
bool is_last_attempt(const online_request& it) {
  return it.runs + 1 >= it.matched_route->attempts;
}

/// Counts an attempt that may have run; it uses up a granted trial.
void note_run(online_request& it) {
  ++it.runs;
  it.holds_trial = false;
}

task<serve_outcome> serve_at(front& in, online_request& it, target to) {
  ensure(!it.origin || *it.origin == origin_of(to), invariant::one_version,
         "a stream goes on at another version of its service");
  auto claim = load_guard(in, stable_hash(to.id), work_kind::online);
  preempt_batch_items(in);
  auto entry =
      attempt_entry(in, {.target = to.id,
                         .repeatable = it.matched_route->repeatable(),
                         .origin = origin_of(to),
                         .is_last = is_last_attempt(it),
                         .is_retry = it.runs > 0,
                         .head_sent = it.head_sent,
                         .silence_timeout = std::max<instant>(
                             min_silence_timeout,
                             silence_timeout_factor * it.matched_route->goal)});
  const auto& request = it.client->request();
  auto outgoing = target_request{.method = request.method,
                                 .path = request.target,
                                 .host = it.host,
                                 .id = it.id,
                                 .fields = it.fields,
                                 .body = request.body,
                                 .last_event = it.last_event,
                                 .deadline = it.deadline};
  auto began = event_loop::steady();
  it.attempt = &entry.row();
  auto attempt = co_await begin_attempt(in, to, outgoing, entry.row());
  auto link = entry.row().link;
  if (attempt.outcome != attempt_outcome::answered) {
    it.attempt = nullptr;
    log_attempt(in, outgoing, to, attempt);
    if (attempt.outcome == attempt_outcome::broken) note_run(it);
    note_evidence(in, it, attempt.evidence);
    co_return attempt.outcome == attempt_outcome::broken
        ? serve_outcome::broken
        : serve_outcome::not_run;
  }
  note_run(it);
  auto end = co_await forward_answer(in, it, *link, attempt.head, entry.row());
  it.attempt = nullptr;
  if (end != serve_outcome::answered) co_return end;
  update_slot_time(in, event_loop::steady() - began);
  if (attempt.head.status < min_server_error_status)
    record_target_success(in, to.id);
  in.target_links.give_back(link);
  co_return end;
}

/// Responds to a request that no target will answer.
/// \param why the error text if the request did not run.
void give_up(online_request& it, instant now,
             std::string_view why = "no target has a free slot") {
  if (it.head_sent) {
    it.client->abort();
  } else if (it.runs == 0) {
    refuse(*it.client, status_not_run, why, it.retry_after);
  } else {
    refuse(*it.client, now >= it.deadline ? status_timeout : status_bad_gateway,
           "the target did not answer");
  }
}

/// Tries targets until one answers or none is left.
/// \return the outcome for the log.
task<std::string_view> run(front& in, online_request& it) {
  for (;;) {
    auto now = event_loop::steady();
    if (it.client_gone) co_return "client_gone";
    auto attempts_used_up =
        it.runs >= std::max(it.matched_route->attempts, 1U) ||
        (it.runs > 0 && !it.matched_route->repeatable());
    if (now >= it.deadline || attempts_used_up) {
      give_up(it, now);
      co_return "failed";
    }
    auto id = std::string();
    if (!it.late_entry && is_late(in, it)) id = co_await hold(in, it);
    if (it.client_gone) co_return "client_gone";
    if (id.empty() && it.tried.size() < max_refusals && may_continue(in, it))
      id = place(in, it);
    auto* row = id.empty() ? nullptr : find_target(in.targets, id);
    if (row == nullptr && !may_continue(in, it)) {
      it.retry_after = {};
      give_up(it, now,
              "no target of the version that began the stream is left");
      co_return "version_gone";
    }
    if (row == nullptr) {
      if (it.runs > 0 && it.matched_route->repeatable()) {
        it.tried.clear();
        co_await pause_for(resume_delay);
        continue;
      }
      in.metrics_registry.add(
          counter::sheds, 1,
          in.metrics_registry.of(it.matched_route->name, ""));
      it.retry_after = promise_return(in.returns,
                                      {.wait = it.placed.wait,
                                       .slot_time = in.slot_time,
                                       .slots = share_of_slots(in, it)},
                                      now);
      give_up(it, now);
      co_return "refused";
    }
    it.to = row->listed;
    if (!in.crashes.records.empty() && !it.holds_trial) {
      auto permit = co_await acquire_run_permit(in, causes_of(it), it.id);
      if (permit.what == run_permit::kind::held) {
        it.retry_after = permit.retry_after;
        give_up(it, now, "targets ended under requests like this one");
        co_return "held";
      }
      it.holds_trial = permit.what == run_permit::kind::trial;
      if (it.client_gone) co_return "client_gone";
    }
    it.tried.insert(id);
    auto end = co_await serve_at(in, it, it.to);
    if (it.client_gone) co_return "client_gone";
    if (end == serve_outcome::answered) co_return "answered";
    in.metrics_registry.add(counter::retries, 1,
                            in.metrics_registry.of(it.matched_route->name, ""));
  }
}

/// Finds the software that began the stream that the client resumes, and keeps
/// the request with it.
/// \return whether the stream may go on.
task<bool> find_origin(front& in, online_request& it) {
  auto found = co_await find_stream_origin(in, it.begun_by, it.service);
  it.origin_known = found.source;
  if (found.source == origin_source::unknown) co_return false;
  // A split may send the attempts of one stream to several services.
  if (!leads_to(*it.matched_route, found.origin.service)) co_return false;
  it.service = found.origin.service;
  it.origin = std::move(found.origin);
  co_return true;
}

/// Serves a request that goes on with a stream, if its origin is known.
/// \return the outcome for the log.
task<std::string_view> resume(front& in, online_request& it) {
  auto known = co_await find_origin(in, it);
  if (it.client_gone) co_return "client_gone";
  if (!known) {
    give_up(it, event_loop::steady(), "the stream's version is not known");
    co_return "origin_unknown";
  }
  auto end = co_await run(in, it);
  co_return end;
}

}  // namespace

task<void> serve_online(
    front& in, std::shared_ptr<http_exchange> client,
    std::shared_ptr<const served_configuration> configuration,
    const route& matched_route, const teams::team* caller) {
  const auto& headers = client->request().headers;
  auto request = std::make_shared<online_request>();
  auto& it = *request;
  it.client = client;
  it.configuration = std::move(configuration);
  it.matched_route = &matched_route;
  it.caller = caller;
  it.id = find_header(headers, platform::header::request_id);
  it.host = find_header(headers, "Host");
  auto identity = it.configuration->teams.requires_keys
                      ? identity_headers::dropped
                      : identity_headers::forwarded;
  it.fields = forwarded_header_lines(headers, identity);
  if (caller != nullptr) it.fields += team_header_line(caller->name);
  set_times(in, it);
  if (may_outlast_daemon(in, it.deadline)) {
    refuse(*client, status_not_run, "shutting down", instant{});
    log_request(in, it, "leaving");
    co_return;
  }
  if (!is_late(in, it)) note_arrival(in.arrivals, it.arrived);
  it.begun_by = it.id;
  auto resumed = find_header(headers, platform::header::last_event);
  if (auto last = std::uint64_t{0};
      absl::SimpleAtoi(std::string(resumed), &last))
    it.last_event = last;
  auto resumes = matched_route.resumable && it.last_event > 0;
  if (resumes) it.begun_by = find_header(headers, platform::header::resumes);
  const auto& first_id = it.begun_by.empty() ? it.id : it.begun_by;
  it.service = pick_service(matched_route, stable_hash(first_id));
  client->on_closed([weak = std::weak_ptr(request)] {
    auto gone = weak.lock();
    if (!gone) return;
    gone->client_gone = true;
    if (gone->attempt != nullptr) gone->attempt->stop();
  });
  auto end = std::string_view();
  if (resumes) {
    end = co_await resume(in, it);
  } else {
    end = co_await run(in, it);
  }
  log_request(in, it, end);
}

}  // namespace fulmar::serving
