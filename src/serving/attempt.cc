#include "attempt.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/serving/crash-book.h"
#include "platform/names.h"

namespace fulmar::serving {
namespace {

/// A connection between regions opens in 60 ms. A lost packet would add a
/// second; the attempt then moves on to another target instead.
constexpr auto connect_timeout = std::chrono::milliseconds(700);

/// Responses to earlier requests that may arrive first on a reused connection.
constexpr int max_stray_answers = 3;

/// Size limit for a response body that is read only to be discarded.
constexpr std::size_t max_stray_bytes = std::size_t{1024} * 1024;

constexpr int status_misdirected = 421;

std::string request_text(const target& to, const target_request& it) {
  auto out =
      concat(it.method, " ", it.path, " HTTP/1.1\r\nHost: ", it.host, "\r\n",
             it.fields, platform::header::expected_target, ": ", to.id, "\r\n");
  if (it.deadline) {
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        *it.deadline - event_loop::steady());
    out += concat(platform::header::time_left, ": ",
                  std::max<std::int64_t>(left.count(), 1), "\r\n");
  }
  if (it.last_event > 0)
    out += concat(platform::header::last_event, ": ", it.last_event, "\r\n");
  if (!it.body.empty() || it.method == "POST" || it.method == "PUT")
    out += concat("Content-Length: ", it.body.size(), "\r\n");
  out += "\r\n";
  return out;
}

attempt_result failed_attempt(attempt_outcome how, std::string_view reason) {
  return {.outcome = how, .reason = std::string(reason)};
}

attempt_result answered(answer_head&& head) {
  return {.outcome = attempt_outcome::answered, .head = std::move(head)};
}

/// Takes a link to a target on which it has not refused the request before, or
/// a new one if the request has failed once and may not fail again.
link_ptr take_link(front& in, const target& to, const target_request& request,
                   const live_attempt& entry) {
  if (entry.is_last && entry.is_retry)
    return in.target_links.make_link(to.address);
  for (;;) {
    auto out = in.target_links.take(to.address);
    if (!out->has_refused(request.id)) return out;
    out->close();
  }
}

/// Reads response heads until one carries the request's id, skipping responses
/// to other requests. A response without an id is the request's own only on a
/// connection that carried no earlier request.
task<absl::StatusOr<answer_head>> read_own_head(http_link& link,
                                                std::string_view id) {
  for (auto strays = 0;; ++strays) {
    auto head = co_await link.read_head();
    if (!head.ok()) co_return head.status();
    auto owner = find_header(head->headers, platform::header::request_id);
    if (owner == id || (owner.empty() && !link.was_used_before()))
      co_return std::move(*head);
    if (owner.empty() || strays == max_stray_answers) break;
    auto rest = co_await link.read_rest(max_stray_bytes);
    if (!rest.ok()) co_return rest.status();
  }
  link.close();
  co_return make_error(error_code::attempt_failed,
                       "received no response that names the request");
}

}  // namespace

target_evidence evidence_of(const live_attempt& entry,
                            const absl::Status& why) {
  if (entry.stopped) return target_evidence::none;
  if (entry.closed_silent) return target_evidence::silent;
  if (code_of(why) != error_code::deadline_exceeded)
    return target_evidence::ended;
  return entry.target_silent ? target_evidence::silent : target_evidence::none;
}

bool may_be_stream(const answer_head& head) {
  auto type = find_header(head.headers, "Content-Type");
  auto text = absl::string_view(type.data(), type.size());
  return type.empty() || absl::StartsWithIgnoreCase(text, "text/event-stream");
}

stream_end end_of_stream(const answer_head& head,
                         const event_splitter& events) {
  if (events.is_inside_event()) return stream_end::inside_event;
  if (head.ends_with_connection && !events.has_events())
    return stream_end::without_events;
  return stream_end::whole;
}

void log_broken_stream(front& in, std::string_view request_id,
                       std::string_view target, stream_end end,
                       std::uint64_t last_event) {
  in.log.add("stream_broken_off", {{"request_id", request_id},
                                   {"target", target},
                                   {"end", name_in(stream_end_names, end)},
                                   {"last_event", last_event}});
}

void log_attempt(front& in, const target_request& request, const target& to,
                 const attempt_result& result) {
  auto content = content_key(request.method, request.path, request.body);
  in.log.add("attempt",
             {{"request_id", request.id},
              {"content", hex(content)},
              {"target", to.id},
              {"address", to.address},
              {"outcome", name_in(attempt_outcome_names, result.outcome)},
              {"evidence", name_in(target_evidence_names, result.evidence)},
              {"why", result.reason}});
}

task<attempt_result> begin_attempt(front& in, const target& to,
                                   const target_request& request,
                                   live_attempt& entry) {
  auto link = take_link(in, to, request, entry);
  entry.link = link;
  auto now = event_loop::steady();
  auto deadline = request.deadline;
  if (!link->is_open()) {
    auto until = now + connect_timeout;
    link->expire_at(deadline ? std::min(*deadline, until) : until);
    if (auto status = co_await link->connect(); !status.ok()) {
      if (!entry.stopped)
        record_target_failure(in, to.id, target_fault::silent);
      co_return failed_attempt(attempt_outcome::not_run,
                               std::string(status.message()));
    }
  }
  if (entry.stopped || (deadline && event_loop::steady() >= *deadline))
    co_return failed_attempt(
        attempt_outcome::not_run,
        "cancelled or past its deadline before it was sent");
  link->expire_at(deadline);
  auto text = request_text(to, request);
  entry.started = event_loop::steady();
  entry.last_received = entry.started;
  entry.last_event = entry.started;
  auto sent = co_await link->send(text, request.body);
  auto head = absl::StatusOr<answer_head>(
      sent.ok() ? absl::UnknownError("no response received") : sent);
  if (sent.ok()) head = co_await read_own_head(*link, request.id);
  if (!head.ok()) {
    auto why = std::string(head.status().message());
    auto closed_here = entry.stopped ||
                       code_of(head.status()) == error_code::deadline_exceeded;
    if (!closed_here) record_target_failure(in, to.id, target_fault::broke_off);
    auto out = failed_attempt(attempt_outcome::broken, why);
    out.evidence = evidence_of(entry, head.status());
    co_return out;
  }
  entry.last_received = event_loop::steady();
  auto leaves =
      !find_header(head->headers, platform::header::target_leaving).empty();
  if (leaves && head->status != status_misdirected) mark_target_leaving(in, to);
  auto refused = !find_header(head->headers, platform::header::not_run).empty();
  if (!refused && head->status != status_misdirected) {
    co_return answered(std::move(*head));
  }
  if (head->status == status_misdirected) {
    if (auto* row = find_target(in.targets, to.id)) row->seen.replaced = true;
    in.log.add("target_replaced", {{"target", to.id}, {"address", to.address}});
  }
  link->note_refusal(request.id);
  auto rest = co_await link->read_rest(max_stray_bytes);
  if (rest.ok()) in.target_links.give_back(link);
  co_return failed_attempt(attempt_outcome::not_run,
                           "the target refused to run the request");
}

}  // namespace fulmar::serving
