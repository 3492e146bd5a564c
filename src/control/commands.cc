#include "fulmarpitch/control/commands.h"

#include <boost/json.hpp>
#include <vector>

#include "fulmarpitch/control/session.h"
#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

namespace json = boost::json;

constexpr std::uint32_t max_sends = 5;
constexpr instant first_pause = std::chrono::milliseconds(200);

constexpr int status_ok_end = 300;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_server_fault = 500;
constexpr int status_unavailable = 503;

constexpr auto usage =
    std::string_view(R"(fulmarctl: declarations, tickets and batch jobs.

Usage:
  fulmarctl check <dir> [options]
  fulmarctl plan <dir> [options]
  fulmarctl apply <dir> [options]
  fulmarctl export <dir> [options]
  fulmarctl tickets [<number>] [options]
  fulmarctl state [options]
  fulmarctl vms [options]
  fulmarctl targets [options]
  fulmarctl target drain <target> [options]
  fulmarctl target undrain <target> [options]
  fulmarctl jobs [options]
  fulmarctl job cancel <id> [options]
  fulmarctl job <id> [options]
  fulmarctl upload <file> [options]

Options:
  --ticket N          Number of the ticket that a change is applied as.
  --author NAME       Who makes the ticket [default: operator].
  --remove            Let a folder that was neither exported nor applied before
                      remove what it does not declare.
  --operator ADDRESS  Operators' port of any VM [default: 127.0.0.1:8081].
  --entry ADDRESS     Callers' port of any VM [default: 127.0.0.1:8080].
  --key KEY           Key of the operator or caller; better in FULMAR_KEY.
  --endpoint PATH     Path of an uploaded file's requests
                      [default: /v1/completions].
  --wait              Wait until the uploaded job has ended.
  --json              Print JSON.
  --help              Show this text.
  --version           Show the version.

Every flag has a variable: --operator is FULMAR_OPERATOR.

Exit codes: 0 done, 1 refused or faults found, 2 wrong command line, 3 another
ticket came first, 4 no answer or outcome unknown (send it again), 5 not found,
6 key not accepted.
)");

struct command {
  std::vector<std::string> words;
  exit_status (*run)(control_session&);
};

const std::vector<command>& commands() {
  static const auto table = std::vector<command>{
      {{"check"}, check_folder},
      {{"plan"}, plan_folder},
      {{"apply"}, apply_folder},
      {{"export"}, export_folder},
      {{"tickets"}, show_tickets},
      {{"state"}, show_state},
      {{"vms"}, show_vms},
      {{"targets"}, show_targets},
      {{"target", "drain"},
       [](control_session& it) { return drain_target(it, true); }},
      {{"target", "undrain"},
       [](control_session& it) { return drain_target(it, false); }},
      {{"jobs"}, show_jobs},
      {{"job", "cancel"}, cancel_job},
      {{"job"}, show_job},
      {{"upload"}, upload_file},
  };
  return table;
}

bool matches(const command& it, const settings& values) {
  for (const auto& word : it.words) {
    if (!values.has(word)) return false;
  }
  return true;
}

bool should_send_again(const absl::StatusOr<http_response>& answer) {
  return !answer.ok() || answer->status == status_unavailable;
}

std::string error_text(const http_response& answer) {
  auto ec = boost::system::error_code();
  const auto body = json::parse(answer.body, ec);
  const auto* root = body.if_object();
  const auto* error = root == nullptr ? nullptr : root->if_contains("error");
  const auto* fields = error == nullptr ? nullptr : error->if_object();
  const auto* message =
      fields == nullptr ? nullptr : fields->if_contains("message");
  if (message == nullptr || !message->is_string()) {
    return concat("HTTP status ", answer.status);
  }
  return std::string(message->as_string());
}

}  // namespace

std::string_view control_usage() {
  return usage;
}

exit_status run_control(settings& values, const control_links& links) {
  auto session = control_session{values, links};
  if (!values.errors().empty()) {
    report_errors(values);
    return exit_status::usage;
  }
  for (const auto& it : commands()) {
    if (!matches(it, values)) continue;
    const auto result = it.run(session);
    if (values.errors().empty()) return result;
    report_errors(values);
    return exit_status::usage;
  }
  return exit_status::usage;
}

absl::StatusOr<http_response> call_daemon(const control_session& session,
                                          control_port port,
                                          http_request request) {
  request.headers.push_back(
      {"Authorization", concat("Bearer ", session.values.text("--key"))});
  auto pause = first_pause;
  for (std::uint32_t sent = 1;; ++sent) {
    auto answer = session.links.call(port, request);
    if (!should_send_again(answer) || sent == max_sends) return answer;
    session.links.pause(pause);
    pause *= 2;
  }
}

exit_status exit_for(const absl::StatusOr<http_response>& answer) {
  if (!answer.ok()) return exit_status::unavailable;
  if (answer->status < status_ok_end) return exit_status::ok;
  if (answer->status == status_unauthorized) return exit_status::unauthorized;
  if (answer->status == status_not_found) return exit_status::not_found;
  if (answer->status == status_conflict) return exit_status::conflict;
  if (answer->status >= status_server_fault) return exit_status::unavailable;
  return exit_status::refused;
}

exit_status report_failure(const control_session& session,
                           const absl::StatusOr<http_response>& answer) {
  const auto result = exit_for(answer);
  if (!answer.ok()) {
    const auto message = answer.status().message();
    session.links.warn(concat(
        "no answer: ", std::string(message.data(), message.size()), "\n"));
    return result;
  }
  if (session.wants_json()) session.links.print(answer->body + "\n");
  session.links.warn(concat(name_in(exit_status_names, result), ": ",
                            error_text(*answer), "\n"));
  return result;
}

exit_status report_faults(const control_session& session,
                          const std::vector<declaration_fault>& faults) {
  auto list = json::array();
  for (const auto& it : faults) {
    list.push_back(
        json::object({{"kind", name_in(declaration_fault_kind_names, it.kind)},
                      {"file", it.file},
                      {"path", it.path},
                      {"allowed", it.allowed}}));
    if (!session.wants_json()) session.links.warn(to_string(it) + "\n");
  }
  if (session.wants_json()) {
    session.links.print(
        json::serialize(json::object({{"faults", std::move(list)}})) + "\n");
  }
  return exit_status::refused;
}

}  // namespace fulmar
