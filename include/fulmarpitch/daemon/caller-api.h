#pragma once

/// \file
/// The callers' interface over HTTP: completions, plain services, results,
/// files and batch jobs.

#include <functional>
#include <memory>
#include <string>

#include "fulmarpitch/config/configuration.h"
#include "fulmarpitch/daemon/entry.h"
#include "fulmarpitch/net/http.h"
#include "fulmarpitch/state/recorder.h"

namespace fulmar {

struct held_answer;

/// What the callers' interface asks of the daemon around it.
struct caller_api_links {
  event_loop* loop = nullptr;
  entry* requests = nullptr;
  platform_stores stores;
  std::string self;
  std::string data_centre;
  /// The configuration in force, or null.
  std::function<std::shared_ptr<const configuration>()> in_force;
  /// Asks the recorder for a claim.
  std::function<void(claim_record, callback<claim_outcome>)> claim;
  /// Finds a result anywhere in the data centre or in the stores.
  std::function<void(const std::string& request_id, callback<result_record>)>
      find_result;
  /// Asks a daemon what it holds of a request; unless it holds the request, it
  /// never starts it from then on.
  std::function<void(const std::string& daemon, const std::string& request_id,
                     callback<held_answer>)>
      ask_holder;
  /// Whether a daemon of this data centre is alive.
  std::function<bool(const std::string& name)> is_alive;
  /// Whether the daemon takes new work.
  std::function<bool()> is_ready;
};

/// Answers callers.
class caller_api {
 public:
  explicit caller_api(caller_api_links links);
  ~caller_api();
  caller_api(const caller_api&) = delete;
  caller_api& operator=(const caller_api&) = delete;

  void serve(const std::shared_ptr<http_exchange>& it);
  /// Whether a request's body is read in pieces.
  static bool streams_body(const http_request& head);

  /// Retries what uploads have under way.
  void tick();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace fulmar
