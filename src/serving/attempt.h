#pragma once

/// \file
/// One attempt to run a request at one target, up to the response head.

#include <string>
#include <string_view>

#include "front.h"

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

struct attempt_result {
  attempt_outcome outcome = attempt_outcome::not_run;
  answer_head head;
  /// Why there is no answer.
  std::string reason;
  /// The target may have crashed while it ran the request.
  bool target_lost = false;
};

/// \param why the connection's error.
/// \return whether the connection may have failed because the target crashed,
///     rather than because this daemon closed it or the deadline passed.
bool is_target_lost(const live_attempt& entry, const absl::Status& why);

/// Logs an attempt that got no answer.
void log_attempt(front& in, const target_request& request, const target& to,
                 const attempt_result& result);

/// Sends a request to a target and reads the response head.
/// \param entry the attempt's row; its link and times are set.
task<attempt_result> begin_attempt(front& in, const target& target,
                                   const target_request& request,
                                   live_attempt& entry);

}  // namespace fulmar::serving
