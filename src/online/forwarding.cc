#include "forwarding.h"

#include <algorithm>
#include <array>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/net/event-splitter.h"
#include "platform/names.h"

namespace fulmar::serving {
namespace {

/// Size limit for non-streaming answers, which are buffered whole.
constexpr std::size_t max_answer_bytes = std::size_t{4} * 1024 * 1024;

/// Bytes of a stream that its client has not taken, beyond which the target is
/// not read.
constexpr std::size_t max_stream_backlog = std::size_t{256} * 1024;

/// Interval at which a stream whose client takes nothing looks again.
constexpr auto backlog_poll_interval = std::chrono::milliseconds(10);

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

}  // namespace

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
  auto streams = it.matched_route->kind == route_kind::stream;
  auto other_status = streams && head.status != status_ok;
  auto other_type = it.head_sent && !may_be_stream(head);
  if (success && (other_status || other_type)) {
    link.close();
    note_broken_stream(in, it, entry, stream_end::other_type, absl::OkStatus());
    co_return serve_outcome::broken;
  }
  if (success && streams)
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

}  // namespace fulmar::serving
