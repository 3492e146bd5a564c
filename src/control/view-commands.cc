#include <boost/json.hpp>
#include <optional>

#include "fulmarpitch/config/tickets.h"
#include "fulmarpitch/control/rendering.h"
#include "fulmarpitch/control/session.h"
#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

namespace json = boost::json;

/// Writes an answer for people.
using render = std::string (*)(const json::object&);

std::string list_in(const json::object& root, std::string_view name) {
  const auto* list = root.if_contains(name);
  const auto* rows = list == nullptr ? nullptr : list->if_array();
  return rows == nullptr || rows->empty() ? "none\n" : render_table(*rows);
}

std::string vms_in(const json::object& root) {
  return list_in(root, "vms");
}

std::string state_in(const json::object& root) {
  auto plain = root;
  plain.erase("vms");
  return render_fields(plain) + "\n" + vms_in(root);
}

std::string targets_in(const json::object& root) {
  const auto snapshot = parse_config_snapshot(json::serialize(root));
  auto rows = json::array();
  if (!snapshot.ok()) return "the answer is not a snapshot\n";
  for (const auto& [key, state] : snapshot->objects) {
    if (key.kind != object_kind::target || !state.body) continue;
    rows.push_back(json::parse(*state.body));
  }
  return list_in(json::object({{"targets", std::move(rows)}}), "targets");
}

exit_status show(const control_session& session, const std::string& target,
                 render text) {
  const auto answer =
      call_daemon(session, control_port::operators, {.target = target});
  if (exit_for(answer) != exit_status::ok) {
    return report_failure(session, answer);
  }
  if (session.wants_json()) {
    session.links.print(answer->body + "\n");
    return exit_status::ok;
  }
  auto ec = boost::system::error_code();
  const auto body = json::parse(answer->body, ec);
  if (!body.is_object()) return report_failure(session, answer);
  session.links.print(text(body.as_object()));
  return exit_status::ok;
}

}  // namespace

exit_status show_tickets(control_session& session) {
  const auto number = session.values.text("<number>");
  if (!number.empty()) {
    return show(session, concat("/operator/v1/tickets/", number),
                render_fields);
  }
  return show(session, "/operator/v1/tickets?limit=1000",
              [](const json::object& it) { return list_in(it, "tickets"); });
}

exit_status show_state(control_session& session) {
  return show(session, "/operator/v1/state", state_in);
}

exit_status show_vms(control_session& session) {
  return show(session, "/operator/v1/state", vms_in);
}

exit_status show_targets(control_session& session) {
  return show(session, "/operator/v1/configuration", targets_in);
}

}  // namespace fulmar
