#pragma once

/// \file
/// One attempt to run a request at a target.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fulmarpitch/core/sequencer.h"
#include "fulmarpitch/daemon/completion.h"
#include "fulmarpitch/net/http.h"

namespace fulmar {

struct attempt_options {
  std::string address;
  http_request request;
  /// Nothing for a plain service: its answer is passed on as it is.
  std::optional<completion_form> form;
  /// Longest silence of the target.
  instant silence_limit = std::chrono::seconds(10);
};

/// How an attempt ended.
struct attempt_result {
  attempt_end end = attempt_end::completed;
  /// What the target answered; 0 when it did not.
  int status = 0;
  std::string content_type;
  /// The answer of a plain service, or of a target that refused.
  std::string body;
  std::string finish_reason;
  /// `not_run` only when no byte left for the target.
  outcome what = outcome::ran;
};

struct attempt_handlers {
  /// Receives each token's text, with the event as the target sent it.
  std::function<void(const completion_event&, const std::string& data)>
      on_event;
  /// Runs exactly once, last.
  std::function<void(attempt_result)> on_end;
};

/// A running attempt.
class attempt {
 public:
  virtual ~attempt() = default;
  /// Cancels the request at the target by closing the connection.
  virtual void cancel() = 0;
};

/// Starts an attempt.
/// \param loop the loop to run on.
/// \param options where and what.
/// \param handlers receive tokens and the end.
/// \return the running attempt.
std::shared_ptr<attempt> start_attempt(event_loop& loop,
                                       attempt_options options,
                                       attempt_handlers handlers);

}  // namespace fulmar
