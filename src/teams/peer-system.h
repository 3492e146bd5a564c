#pragma once

/// \file
/// Calls between daemons on a port that clients do not reach: the
/// configuration, questions for a newer one, and clients' calls on jobs that
/// are passed on.

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/teams/caller.h"
#include "fulmarpitch/teams/key-lookups.h"
#include "src/serving/front.h"

namespace fulmar::teams {

/// Marks a forwarded call; its value is the name of the forwarding daemon's VM.
inline constexpr std::string_view forwarded_by_header = "Fulmar-Passed-On";

/// Starts the server for other daemons if the configuration has teams, or
/// updates its limits.
void update_peer_server(serving::front& in);

/// \param ip the IP address of a daemon.
/// \return the IP address and port at which it serves other daemons.
std::string peer_address(const serving::front& in, std::string_view ip);

/// Builds the header lines of a client's call that is passed on: the team that
/// was found takes the place of the key.
/// \param headers the client's headers.
std::string caller_header_lines(const std::vector<http_header>& headers,
                                const job_caller& caller);

/// Reads who sent a call that another daemon passes on.
checked_caller read_checked_caller(const http_request& request);

/// Reads an answer of another daemon.
task<absl::StatusOr<http_response>> read_response(http_link& link,
                                                  std::size_t max_bytes);

/// Asks daemons that reach the store whether the configuration in force is the
/// newest, and applies a newer one.
task<lookup_end> ask_peers(serving::front& in);

/// Fetches a newer configuration that another daemon reports, if the store does
/// not bring it.
/// \param now current time on the steady clock.
void fetch_reported_configuration(serving::front& in, instant now);

}  // namespace fulmar::teams
