// Serves online requests: the client waits for the answer.

#include <absl/container/flat_hash_set.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <array>
#include <utility>

#include "attempt.h"
#include "crash-system.h"
#include "front.h"
#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/rendezvous.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/net/event-splitter.h"
#include "platform/names.h"
#include "version-system.h"

namespace fulmar::serving {
namespace {

constexpr int status_bad_gateway = 502;
constexpr int status_timeout = 504;

/// Deadline of a request if neither the client nor the route sets a shorter
/// one.
constexpr auto max_request_time = std::chrono::seconds(60);
constexpr auto max_request_ms =
    std::int64_t{std::chrono::milliseconds(max_request_time).count()};

/// Interval at which a held request looks for a free slot.
constexpr auto late_poll_interval = std::chrono::milliseconds(10);

/// Targets tried for one request before the client gets a refusal.
constexpr std::size_t max_refusals = 4;

/// Delay before an interrupted request is retried when no target is free.
constexpr auto resume_delay = std::chrono::milliseconds(50);

/// Size limit for non-streaming answers, which are buffered whole.
constexpr std::size_t max_answer_bytes = std::size_t{4} * 1024 * 1024;

/// Bytes of a stream that its client has not taken, beyond which the target is
/// not read.
constexpr std::size_t max_stream_backlog = std::size_t{256} * 1024;

/// Interval at which a stream whose client takes nothing looks again.
constexpr auto backlog_poll_interval = std::chrono::milliseconds(10);

/// A target may stay silent for this multiple of the route's latency goal
/// before it is suspected: a non-streaming answer arrives all at once.
constexpr int silence_timeout_factor = 2;

/// Window of the moving average of slot times, in requests.
constexpr int slot_time_weight = 32;

/// The state of one online request, from arrival to the last byte.
struct online_request {
  std::shared_ptr<http_exchange> client;
  std::shared_ptr<const served_configuration> configuration;
  const route* matched_route = nullptr;
  /// The team that sent it; null if the route needs none.
  const teams::team* caller = nullptr;
  std::string service;
  std::string id;
  std::string host;
  std::string fields;
  /// Keys of the request in the crash records; computed on first use.
  std::optional<crash_causes> causes;
  instant arrived{};
  instant deadline{};
  /// How long the client had waited before it sent this attempt.
  instant waited{};
  /// Set once the request was late.
  std::optional<late_queue_entry> late_entry;
  /// How long it was held here as it gave way to new requests.
  instant held{};
  std::optional<instant> first_byte;
  /// Targets that the request may have run on.
  std::uint32_t runs = 0;
  /// A trial run was granted, and no target has run it yet.
  bool holds_trial = false;
  absl::flat_hash_set<std::string> tried;
  std::uint64_t last_event = 0;
  /// The attempt that brought the first event of a stream that is resumed, or
  /// this one; empty if the client does not name it.
  std::string begun_by;
  /// Resumable streams: the software that began the stream.
  std::optional<stream_origin> origin;
  origin_source origin_known = origin_source::unknown;
  bool head_sent = false;
  bool client_gone = false;
  /// The attempt in flight, if any.
  live_attempt* attempt = nullptr;
  /// The last placement decision, for the log.
  placement placed;
  /// When the client may retry after a refusal.
  instant retry_after{};
  target_load load_seen;
  /// Slots of the fully trusted targets in this data centre.
  double local_slots = 0;
  /// Age of the oldest load report that the placement used.
  instant load_age{};
  /// The target of the last attempt.
  target to;
};

const crash_causes& causes_of(online_request& it) {
  if (!it.causes) it.causes = crash_causes_of(it.client->request());
  return *it.causes;
}

/// How an attempt to serve a request at one target ended.
enum class serve_outcome { answered, not_run, broken };

/// \return the longest time that a route allows a request.
instant max_time_of(const route& it) {
  return it.timeout.count() > 0
             ? std::min<instant>(it.timeout, max_request_time)
             : max_request_time;
}

/// \return how long the client says it will wait; empty if it does not say.
std::optional<instant> client_time_left(const online_request& it) {
  auto text =
      find_header(it.client->request().headers, platform::header::time_left);
  auto left_ms = std::int64_t{0};
  if (!absl::SimpleAtoi(std::string(text), &left_ms) || left_ms <= 0)
    return std::nullopt;
  return std::chrono::milliseconds(std::min(left_ms, max_request_ms));
}

/// Sets the deadline of a request and how long its client has waited before.
void set_times(front& in, online_request& it) {
  it.arrived = event_loop::steady();
  it.deadline = it.arrived + max_time_of(*it.matched_route);
  auto left = client_time_left(it);
  if (!left) return;
  it.deadline = std::min(it.deadline, it.arrived + *left);
  auto& limit = in.time_limits[it.matched_route->name];
  note_time_limit(limit, *left, it.arrived);
  it.waited = std::max(time_limit(limit) - *left, instant{});
}

/// \return how long the client waits for the first output.
instant max_silence_of(const online_request& it) {
  const auto& route = *it.matched_route;
  if (route.kind != route_kind::stream) return it.deadline - it.arrived;
  return std::min(route.max_silence, it.deadline - it.arrived);
}

caller_time time_of(const online_request& it) {
  auto now = event_loop::steady();
  return {.goal = it.matched_route->goal,
          .waited = it.waited,
          .held = now - it.arrived,
          .left = it.deadline - now,
          .max_silence = max_silence_of(it)};
}

/// \return whether the request is late and gives way to new ones.
bool is_late(const front& in, const online_request& it) {
  return it.runs == 0 && gives_way(time_of(it), in.slot_time);
}

/// \return the number of daemons in this data centre, including this one; they
///     share its targets.
std::size_t count_local_daemons(const front& in) {
  return 1 +
         live_members(in.board, in.settings.data_centre, event_loop::steady())
             .size();
}

/// \return this daemon's share of the slots that the last placement found in
///     this data centre.
double share_of_slots(const front& in, const online_request& it) {
  return it.local_slots / static_cast<double>(count_local_daemons(in));
}

/// \return whether this daemon runs as many late requests as it may.
bool late_requests_full(const front& in, const online_request& it) {
  auto rate = arrival_rate(in.arrivals, event_loop::steady());
  return in.late_requests.running >=
         max_late_running(share_of_slots(in, it), rate, in.slot_time);
}

/// \return whether a target is listed that may run the request.
bool may_continue(const front& in, const online_request& it) {
  return !it.origin || has_target_for(in.targets, *it.origin);
}

/// Collects the targets for a request and counts the slots near by.
service_targets candidates_for(front& in, online_request& it) {
  auto found = targets_of(in, it.service);
  if (it.origin) keep_version(found, it.origin->version);
  it.load_age = oldest_report(in.board, event_loop::steady());
  it.local_slots = 0;
  for (auto n = std::size_t{0}; n < found.rows.size(); ++n) {
    auto& row = found.candidates[n];
    row.tried = it.tried.contains(found.rows[n]->listed.id);
    auto is_local = row.away == distance::data_centre;
    if (is_local && row.trusted == trust::full) it.local_slots += row.slots;
  }
  return found;
}

/// Records a placement.
/// \return the target's id; empty if no target should get the request.
std::string take_placement(online_request& it, const service_targets& found,
                           const placement& out) {
  it.placed = out;
  if (!out.target) return {};
  it.load_seen = found.candidates[*out.target].load;
  return found.rows[*out.target]->listed.id;
}

/// Chooses a target for a request.
/// \return the target's id; empty if no target should get the request.
std::string place(front& in, online_request& it) {
  auto found = candidates_for(in, it);
  return take_placement(
      it, found,
      place_online(found.candidates, placement_of(time_of(it), in.slot_time)));
}

/// Chooses a target for a late request that is next to start.
/// \return the target's id; empty while the request is to be held.
std::string place_held(front& in, online_request& it) {
  auto found = candidates_for(in, it);
  auto out = placement{.reason = placement_reason::held_back};
  if (!late_requests_full(in, it)) out = place_late(found.candidates, {});
  return take_placement(it, found, out);
}

/// Holds a late request until there is a slot that new requests do not need, or
/// until it may be held no longer.
/// \return the target's id; empty if the request is to be placed as others are.
task<std::string> hold(front& in, online_request& it) {
  auto& entry = it.late_entry.emplace(in.late_requests, it.deadline);
  auto id = std::string();
  while (is_late(in, it) && !it.client_gone && may_continue(in, it)) {
    if (entry.is_first()) id = place_held(in, it);
    if (!id.empty()) break;
    co_await pause_for(late_poll_interval);
  }
  entry.start();
  it.held = event_loop::steady() - it.arrived;
  co_return id;
}

void note_first_byte(front& in, online_request& it) {
  if (it.first_byte) return;
  it.first_byte = event_loop::steady();
  in.metrics_registry.observe(
      measure::first_token, in.metrics_registry.of(it.matched_route->name, ""),
      *it.first_byte - it.arrived);
}

/// Records that a target answered the request, if any crashes are on record.
void note_answered(front& in, online_request& it) {
  if (!in.crashes.records.empty()) note_answer(in, causes_of(it).content);
}

/// Records that a target answered the request with success, to its end.
void note_served(front& in, online_request& it) {
  note_answered(in, it);
  note_parts_answered(in, causes_of(it).parts);
}

/// Records what a failed attempt shows of its target.
void note_evidence(front& in, online_request& it, target_evidence evidence) {
  if (evidence == target_evidence::none) return;
  auto end = target_end{.causes = causes_of(it),
                        .request = it.id,
                        .to = it.to,
                        .at = event_loop::steady()};
  if (evidence == target_evidence::silent) {
    note_target_silence(in, std::move(end));
  } else {
    note_target_end(in, end);
  }
}

/// Consumes the complete events that have arrived. Events of a resumable stream
/// are forwarded here, so that it can resume after the last complete one.
void forward_events(online_request& it, event_splitter& events) {
  while (auto event = events.next()) {
    if (event->id && *event->id <= it.last_event) continue;
    if (event->id) it.last_event = *event->id;
    if (event->id || event->has_data) events.note_news();
    if (it.matched_route->resumable) it.client->write(std::move(event->raw));
  }
}

/// Records a stream that broke off, unless this daemon closed it.
/// \param status the connection's error, if it failed.
void note_broken_stream(front& in, online_request& it,
                        const live_attempt& entry, stream_end end,
                        const absl::Status& status) {
  if (entry.stopped) return;
  log_broken_stream(in, it.id, it.to.id, end, it.last_event);
  auto late = code_of(status) == error_code::deadline_exceeded;
  if (!late) record_target_failure(in, it.to.id, target_fault::broke_off);
  auto faulty = end == stream_end::endless || end == stream_end::other_type;
  if (!faulty) note_evidence(in, it, evidence_of(entry, status));
}

/// Records which software began a resumable stream.
void note_origin(front& in, online_request& it) {
  if (!it.origin) it.origin = origin_of(it.to);
  if (it.begun_by.empty()) return;
  note_begun(in.begun, it.begun_by, *it.origin, event_loop::steady());
}

/// Waits until the client has taken most of the stream, or the stream ends.
task<void> wait_for_client(online_request& it, live_attempt& entry) {
  while (it.client->unsent_bytes() > max_stream_backlog && !it.client_gone &&
         entry.link->is_open()) {
    // The target is not silent; it is not read.
    entry.note_output();
    co_await pause_for(backlog_poll_interval);
  }
}

task<serve_outcome> forward_stream(front& in, online_request& it,
                                   http_link& link, const answer_head& head,
                                   live_attempt& entry) {
  if (!it.head_sent) {
    it.head_sent = true;
    if (it.matched_route->resumable) note_origin(in, it);
    it.client->start_stream(
        {.status = head.status, .headers = forwarded_headers(head)});
  }
  auto events = event_splitter();
  for (;;) {
    auto piece = co_await link.read_piece();
    if (!piece.ok()) {
      note_broken_stream(in, it, entry, stream_end::connection_failed,
                         piece.status());
      // The bytes of a truncated event are dropped: they must not be joined
      // with those of the next attempt.
      co_return serve_outcome::broken;
    }
    if (piece->empty()) break;
    entry.note_output();
    note_first_byte(in, it);
    events.feed(*piece);
    if (!it.matched_route->resumable) it.client->write(std::string(*piece));
    forward_events(it, events);
    co_await wait_for_client(it, entry);
    if (!events.is_endless()) continue;
    link.close();
    note_broken_stream(in, it, entry, stream_end::endless, absl::OkStatus());
    co_return serve_outcome::broken;
  }
  if (auto end = end_of_stream(head, events); end != stream_end::whole) {
    link.close();
    note_broken_stream(in, it, entry, end, absl::OkStatus());
    co_return serve_outcome::broken;
  }
  note_served(in, it);
  it.client->finish();
  co_return serve_outcome::answered;
}

/// \return whether clients take a status for the promise that a request has not
///     run. A target that keeps this promise says so in a header, too; without
///     it the request may have run.
bool promises_not_run(int status) {
  constexpr auto statuses = std::array{408, 421, 429, 503};
  return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

task<serve_outcome> forward_answer(front& in, online_request& it,
                                   http_link& link, const answer_head& head,
                                   live_attempt& entry) {
  auto signature =
      find_header(head.headers, platform::header::target_signature);
  auto success = head.status < min_redirect_status;
  if (success && signature.empty()) {
    link.close();
    record_target_failure(in, it.to.id, target_fault::broke_off);
    co_return serve_outcome::broken;
  }
  if (success && it.head_sent && !may_be_stream(head)) {
    link.close();
    note_broken_stream(in, it, entry, stream_end::other_type, absl::OkStatus());
    co_return serve_outcome::broken;
  }
  if (success && it.matched_route->kind == route_kind::stream)
    co_return co_await forward_stream(in, it, link, head, entry);
  auto body = co_await link.read_rest(max_answer_bytes);
  if (!body.ok()) {
    auto why = std::string(body.status().message());
    in.log.add("answer_not_read",
               {{"request_id", it.id}, {"target", it.to.id}, {"why", why}});
    note_evidence(in, it, evidence_of(entry, body.status()));
    co_return serve_outcome::broken;
  }
  if (success) {
    note_served(in, it);
  } else {
    note_answered(in, it);
  }
  if (promises_not_run(head.status)) {
    record_target_failure(in, it.to.id, target_fault::failed);
    co_return serve_outcome::broken;
  }
  auto retry = head.status >= min_server_error_status &&
               it.matched_route->repeatable() &&
               it.runs < it.matched_route->attempts;
  if (retry || it.head_sent) co_return serve_outcome::broken;
  if (head.status >= min_server_error_status)
    record_target_failure(in, it.to.id, target_fault::failed);
  note_first_byte(in, it);
  it.head_sent = true;
  it.client->respond({.status = head.status,
                      .headers = forwarded_headers(head),
                      .body = std::move(*body)});
  co_return serve_outcome::answered;
}

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

void log_request(front& in, const online_request& it, std::string_view end) {
  auto now = event_loop::steady();
  auto since = [&](instant at) {
    return std::int64_t{(at - it.arrived).count()};
  };
  in.log.add(
      "request",
      {{"request_id", it.id},
       {"route", it.matched_route->name},
       {"end", end},
       {"target", it.to.id},
       {"software", it.to.version},
       {"begun_by", it.begun_by},
       {"origin", name_in(origin_source_names, it.origin_known)},
       {"placed", name_in(placement_reason_names, it.placed.reason)},
       {"online_there", std::uint64_t{it.load_seen.online}},
       {"batch_there", std::uint64_t{it.load_seen.batch}},
       {"load_age_us", std::int64_t{it.load_age.count()}},
       {"wait_us", std::int64_t{it.placed.wait.count()}},
       {"retry_after_us", std::int64_t{it.retry_after.count()}},
       {"time_left_us", std::int64_t{(it.deadline - it.arrived).count()}},
       {"waited_us", std::int64_t{it.waited.count()}},
       {"held_us", std::int64_t{it.held.count()}},
       {"runs", std::uint64_t{it.runs}},
       {"configuration", it.configuration->version},
       {"first_us", it.first_byte ? since(*it.first_byte) : std::int64_t{-1}},
       {"whole_us", since(now)}});
  in.metrics_registry.observe(
      measure::whole_time, in.metrics_registry.of(it.matched_route->name, ""),
      now - it.arrived);
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
