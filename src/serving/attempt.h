#pragma once

/// \file
/// One attempt to run a request at one target, up to the response head.

#include <string>
#include <string_view>

#include "front.h"
#include "fulmarpitch/net/event-splitter.h"

namespace fulmar::serving {

/// A request as sent to a target.
struct target_request {
  std::string_view method;
  std::string_view path;
  std::string_view host;
  std::string_view id;
  /// Forwarded header lines, each ending in CRLF.
  std::string_view fields;
  std::string_view body;
  /// The id of the last event received; 0 for a new stream.
  std::uint64_t last_event = 0;
  /// When the answer is due; empty for no limit.
  std::optional<instant> deadline;
};

/// How an attempt ended.
enum class attempt_outcome {
  /// The response head arrived; the body is still to be read.
  answered,
  /// The request did not run: the target refused it or could not be reached.
  not_run,
  /// The attempt failed after the request was sent, so it may have run.
  broken,
};

inline constexpr std::array<named<attempt_outcome>, 3> attempt_outcome_names{{
    {attempt_outcome::answered, "answered"},
    {attempt_outcome::not_run, "not_run"},
    {attempt_outcome::broken, "broken"},
}};

/// What a failed attempt shows of its target.
enum class target_evidence {
  /// The daemon or the deadline ended the attempt.
  none,
  /// The target may have fallen silent for a while, or have ended.
  silent,
  /// The connection failed, as it does when the target crashes.
  ended,
};

inline constexpr std::array<named<target_evidence>, 3> target_evidence_names{{
    {target_evidence::none, "none"},
    {target_evidence::silent, "silent"},
    {target_evidence::ended, "ended"},
}};

struct attempt_result {
  attempt_outcome outcome = attempt_outcome::not_run;
  answer_head head;
  /// Why there is no answer.
  std::string reason;
  target_evidence evidence = target_evidence::none;
};

/// \param why the connection's error.
/// \return what the failure of an attempt shows of its target.
target_evidence evidence_of(const live_attempt& entry, const absl::Status& why);

/// How a stream ended.
enum class stream_end {
  whole,
  /// The target ended its stream in the middle of an event.
  inside_event,
  /// The connection, whose end marks the stream's end, ended before any event.
  without_events,
  /// The connection failed, or this daemon closed it.
  connection_failed,
  /// The stream sent more bytes than its events account for.
  endless,
  /// The body is of another type than a stream of events.
  other_type,
};

inline constexpr std::array<named<stream_end>, 6> stream_end_names{{
    {stream_end::whole, "whole"},
    {stream_end::inside_event, "inside_event"},
    {stream_end::without_events, "without_events"},
    {stream_end::connection_failed, "connection_failed"},
    {stream_end::endless, "endless"},
    {stream_end::other_type, "other_type"},
}};

/// \return whether an answer may be a stream of events: it says so, or says
///     nothing of its type.
bool may_be_stream(const answer_head& head);

/// Decides whether a stream is whole whose body ended as its framing says. A
/// target that crashes may end the body, too.
/// \param events the stream's events, all taken.
stream_end end_of_stream(const answer_head& head, const event_splitter& events);

/// Logs a stream that broke off.
void log_broken_stream(front& in, std::string_view request_id,
                       std::string_view target, stream_end end,
                       std::uint64_t last_event);

/// Logs an attempt that got no answer.
void log_attempt(front& in, const target_request& request, const target& to,
                 const attempt_result& result);

/// Sends a request to a target and reads the response head.
/// \param entry the attempt's row; its link and times are set.
task<attempt_result> begin_attempt(front& in, const target& target,
                                   const target_request& request,
                                   live_attempt& entry);

}  // namespace fulmar::serving
