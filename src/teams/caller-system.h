#pragma once

/// \file
/// Identifies the callers of requests, and refuses those that may not call.

#include <string>

#include "fulmarpitch/teams/caller.h"
#include "fulmarpitch/teams/key-lookups.h"
#include "src/serving/front.h"

namespace fulmar::teams {

/// A request whose caller is to be found.
struct caller_question {
  serving::request_source from = serving::request_source::client;
  /// When the request arrived, on the steady clock.
  instant arrived{};
};

/// Finds out who sent a request.
/// \param configuration the configuration that routes the request.
/// \param is_public the request needs no key.
found_caller identify(const serving::served_configuration& configuration,
                      const http_request& request, serving::request_source from,
                      bool is_public);

/// Why a request with an unknown caller can't be served.
struct caller_verdict {
  /// A newer configuration is in force: the request is to be routed anew.
  bool is_outdated = false;
  /// The configuration is the newest, so that the caller is unknown for good.
  bool is_confirmed = false;
  /// When the client may return if neither holds.
  instant retry_after{};
};

/// Looks for a newer configuration on behalf of a request whose caller is
/// unknown.
task<caller_verdict> check_unknown_caller(serving::front& in,
                                          std::shared_ptr<http_exchange> client,
                                          caller_question it);

/// Answers a request whose caller stays unknown.
void refuse_caller(serving::front& in, http_exchange& client,
                   const caller_verdict& why);

/// Counts an online request against the rate of its team, and refuses it if it
/// is over the rate.
/// \return whether the request may run.
bool admit(serving::front& in, http_exchange& client, const team& by);

/// Reads the newest configuration from the store.
/// \return whether the configuration in force is the newest now; false if the
///     store did not say so in time.
task<bool> confirm_by_store(serving::front& in);

/// Logs what a configuration changes for teams, and opens the port for other
/// daemons once there are teams.
/// \param before the configuration that was in force.
void note_team_changes(serving::front& in,
                       const serving::served_configuration& before);

/// \return the metrics of teams as text; empty as long as there are none.
std::string metrics_text(const serving::front& in);

}  // namespace fulmar::teams
