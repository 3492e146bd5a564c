#pragma once

/// \file
/// What the command groups of fulmarctl share.

#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/config/configuration.h"
#include "fulmarpitch/control/commands.h"

namespace fulmar {

/// A command under way.
struct control_session {
  settings& values;
  const control_links& links;

  bool wants_json() const { return values.has("--json"); }
};

/// Sends a request with the key. A call that fails, or is answered with 503,
/// is sent again a few times: every request that is sent so is idempotent.
absl::StatusOr<http_response> call_daemon(const control_session& session,
                                          control_port port,
                                          http_request request);

/// What an answer's HTTP status means for the exit code.
exit_status exit_for(const absl::StatusOr<http_response>& answer);

/// Prints why a request failed.
/// \return the exit status.
exit_status report_failure(const control_session& session,
                           const absl::StatusOr<http_response>& answer);

/// Prints faults, as JSON or one a line.
/// \return `refused`.
exit_status report_faults(const control_session& session,
                          const std::vector<declaration_fault>& faults);

/// `check`, `plan`, `apply` and `export`.
exit_status check_folder(control_session& session);
exit_status plan_folder(control_session& session);
exit_status apply_folder(control_session& session);
exit_status export_folder(control_session& session);
/// `target drain` and `target undrain`: a ticket with the target's new state.
exit_status drain_target(control_session& session, bool draining);

/// `tickets`, `state`, `vms` and `targets`.
exit_status show_tickets(control_session& session);
exit_status show_state(control_session& session);
exit_status show_vms(control_session& session);
exit_status show_targets(control_session& session);

/// `jobs`, `job`, `job cancel` and `upload`.
exit_status show_jobs(control_session& session);
exit_status show_job(control_session& session);
exit_status cancel_job(control_session& session);
exit_status upload_file(control_session& session);

}  // namespace fulmar
