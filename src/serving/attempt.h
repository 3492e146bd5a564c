#pragma once

/// \file
/// One attempt of a request at one target, up to the head of its answer.

#include <string>
#include <string_view>

#include "front.h"

namespace fulmar::serving {

/// What is sent to a target.
struct target_request {
  std::string_view method;
  std::string_view path;
  std::string_view host;
  std::string_view id;
  /// Lines of headers that are passed on.
  std::string_view fields;
  std::string_view body;
  /// The id of the last event that arrived; 0 for a new stream.
  std::uint64_t last_event = 0;
  /// What the target may take; nothing for no bound.
  std::optional<instant> deadline;
};

/// How far an attempt came.
enum class attempt_outcome {
  /// The target's answer begins; its body is still to be read.
  answered,
  /// The target did not run the request, and says so or was not reached.
  not_run,
  /// The request may have run.
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
  /// The target may have ended while it ran the request.
  bool target_lost = false;
};

/// Tells whether a connection broke because its target may have ended, and not
/// by this daemon's doing.
/// \param entry the attempt.
/// \param why how the connection failed.
bool is_target_lost(const live_attempt& entry, const absl::Status& why);

/// Writes the line about an attempt that brought no answer.
/// \param request what was sent.
void log_attempt(front& in, const target_request& request, const target& to,
                 const attempt_result& result);

/// Sends a request to a target and reads the head of its answer.
/// \param in the daemon.
/// \param target the target's id and address.
/// \param request what is sent.
/// \param entry the attempt's row; its link is set.
task<attempt_result> begin_attempt(front& in, const target& target,
                                   const target_request& request,
                                   live_attempt& entry);

}  // namespace fulmar::serving
