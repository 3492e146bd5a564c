#pragma once

/// \file
/// The commands of fulmarctl, over functions that reach the daemons.

#include <absl/status/statusor.h>

#include <array>
#include <functional>
#include <string>
#include <string_view>

#include "fulmarpitch/core/settings.h"
#include "fulmarpitch/core/types.h"
#include "fulmarpitch/net/http.h"

namespace fulmar {

/// What the exit code of fulmarctl says. The values are the codes.
enum class exit_status {
  ok = 0,
  refused = 1,
  usage = usage_exit_code,
  conflict = 3,
  unavailable = 4,
  not_found = 5,
  unauthorized = 6,
};

inline constexpr std::array<named<exit_status>, 7> exit_status_names{{
    {exit_status::ok, "ok"},
    {exit_status::refused, "refused"},
    {exit_status::usage, "usage"},
    {exit_status::conflict, "conflict"},
    {exit_status::unavailable, "unavailable"},
    {exit_status::not_found, "not_found"},
    {exit_status::unauthorized, "unauthorized"},
}};

/// The port that a request goes to.
enum class control_port { operators, callers };

/// How the commands reach the world.
struct control_links {
  /// Sends a request and waits for the whole answer.
  std::function<absl::StatusOr<http_response>(control_port, http_request)> call;
  std::function<void(instant)> pause;
  std::function<void(std::string_view)> print;
  std::function<void(std::string_view)> warn;
  /// Whether progress may be drawn.
  bool is_terminal = false;
};

/// The docopt text of fulmarctl.
std::string_view control_usage();

/// Runs the command that the settings name.
/// \param values the parsed command line.
/// \param links how to reach the daemons and the terminal.
/// \return the exit status.
exit_status run_control(settings& values, const control_links& links);

}  // namespace fulmar
