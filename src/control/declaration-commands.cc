#include <algorithm>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <limits>
#include <optional>

#include "fulmarpitch/config/tickets.h"
#include "fulmarpitch/control/rendering.h"
#include "fulmarpitch/control/session.h"
#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

namespace fs = std::filesystem;
namespace json = boost::json;

/// Holds the state that a folder was exported from or applied over, so that
/// what others changed since is not taken for this folder's change. The name
/// does not end in `.json`, so it is no declaration.
constexpr auto base_file = ".fulmar-base";

constexpr std::int64_t max_ticket_number = 999'999'999'999;

std::string base_path(const std::string& folder) {
  return (fs::path(folder) / base_file).string();
}

bool write_file(const std::string& path, std::string_view text) {
  auto out = std::ofstream(path, std::ios::binary | std::ios::trunc);
  out << text;
  out.flush();
  return out.good();
}

std::optional<config_snapshot> read_base(const std::string& folder) {
  auto in = std::ifstream(base_path(folder), std::ios::binary);
  if (!in) return std::nullopt;
  const auto text = std::string(std::istreambuf_iterator<char>(in), {});
  auto snapshot = parse_config_snapshot(text);
  if (!snapshot.ok()) return std::nullopt;
  return *std::move(snapshot);
}

constexpr auto in_force_path = "/operator/v1/configuration";
constexpr auto newest_path = "/operator/v1/configuration?newest=1";

absl::StatusOr<config_snapshot> snapshot_in(
    const absl::StatusOr<http_response>& answer) {
  if (!answer.ok()) return answer.status();
  return parse_config_snapshot(answer->body);
}

/// Reads a snapshot, or prints why it cannot be had.
std::optional<config_snapshot> load_snapshot(const control_session& session,
                                             const char* path,
                                             exit_status& result) {
  const auto answer =
      call_daemon(session, control_port::operators, {.target = path});
  result = exit_for(answer);
  if (result != exit_status::ok) {
    report_failure(session, answer);
    return std::nullopt;
  }
  auto snapshot = snapshot_in(answer);
  if (snapshot.ok()) return *std::move(snapshot);
  session.links.warn("the answer is not a snapshot\n");
  result = exit_status::unavailable;
  return std::nullopt;
}

json::array json_of(const std::vector<object_change>& changes) {
  auto list = json::array();
  for (const auto& it : changes) {
    list.push_back(json::object(
        {{"object", to_string(it.key)},
         {"base_version", it.base_version},
         {"body", it.body ? json::parse(*it.body) : json::value(nullptr)}}));
  }
  return list;
}

exit_status send_ticket(const control_session& session, const ticket& value,
                        ticket_answer& made) {
  const auto answer =
      call_daemon(session, control_port::operators,
                  {.method = "POST",
                   .target = "/operator/v1/tickets",
                   .headers = {{"Content-Type", "application/json"}},
                   .body = to_json(value)});
  const auto result = exit_for(answer);
  if (!answer.ok()) return report_failure(session, answer);
  auto ec = boost::system::error_code();
  const auto body = json::parse(answer->body, ec);
  const auto* fields = body.if_object();
  if (fields == nullptr || !fields->contains("verdict")) {
    return report_failure(session, answer);
  }
  if (session.wants_json()) session.links.print(answer->body + "\n");
  made.version = fields->at("version").to_number<std::uint64_t>();
  const auto verdict = std::string(fields->at("verdict").as_string());
  if (result == exit_status::ok) {
    if (session.wants_json()) return result;
    session.links.print(concat("ticket ", value.number, " ", verdict,
                               ", version ", made.version, "\n"));
    return result;
  }
  session.links.warn(concat("ticket ", value.number, ": ", verdict, "\n"));
  if (const auto& list = fields->at("conflicts").as_array(); !list.empty()) {
    session.links.warn(render_table(list));
  }
  if (const auto& list = fields->at("faults").as_array(); !list.empty()) {
    session.links.warn(render_table(list));
  }
  return result;
}

/// Notes the accepted changes in the folder's base; what others changed stays
/// as the folder last saw it.
void advance_base(const control_session& session, const std::string& folder,
                  config_snapshot base, const ticket& value,
                  std::uint64_t version) {
  base.version = version;
  for (const auto& it : value.changes) {
    base.objects[it.key] = {version, value.number, it.body};
  }
  if (write_file(base_path(folder), to_json(base))) return;
  session.links.warn(concat(base_path(folder), " cannot be written\n"));
}

bool removes(const std::vector<object_change>& changes) {
  return std::any_of(changes.begin(), changes.end(),
                     [](const auto& it) { return !it.body.has_value(); });
}

std::uint64_t ticket_number(control_session& session) {
  return static_cast<std::uint64_t>(
      session.values.number("--ticket", 1, max_ticket_number));
}

}  // namespace

exit_status check_folder(control_session& session) {
  const auto parsed = load_declarations(session.values.text("<dir>"));
  if (!parsed.ok()) return report_faults(session, parsed.faults);
  session.links.print(session.wants_json()
                          ? "{\"faults\":[]}\n"
                          : concat("no faults in ",
                                   objects_of(parsed.value).size(),
                                   " objects\n"));
  return exit_status::ok;
}

exit_status plan_folder(control_session& session) {
  const auto folder = session.values.text("<dir>");
  const auto parsed = load_declarations(folder);
  if (!parsed.ok()) return report_faults(session, parsed.faults);
  auto result = exit_status::ok;
  const auto in_force = load_snapshot(session, in_force_path, result);
  if (!in_force) return result;
  const auto changes = difference(*in_force, objects_of(parsed.value));
  if (session.wants_json()) {
    session.links.print(
        json::serialize(json::object(
            {{"version", in_force->version}, {"changes", json_of(changes)}})) +
        "\n");
    return exit_status::ok;
  }
  session.links.print(changes.empty() ? concat("nothing differs from version ",
                                               in_force->version, "\n")
                                      : render_changes(*in_force, changes));
  return exit_status::ok;
}

exit_status apply_folder(control_session& session) {
  const auto folder = session.values.text("<dir>");
  const auto number = ticket_number(session);
  if (!session.values.errors().empty()) return exit_status::usage;
  const auto parsed = load_declarations(folder);
  if (!parsed.ok()) return report_faults(session, parsed.faults);
  auto result = exit_status::ok;
  auto base = read_base(folder);
  const auto has_base = base.has_value();
  if (!has_base) base = load_snapshot(session, newest_path, result);
  if (!base) return result;
  auto value = ticket{number, session.values.text("--author"),
                      difference(*base, objects_of(parsed.value))};
  if (value.changes.empty()) {
    session.links.print(session.wants_json() ? "{\"changes\":[]}\n"
                                             : "nothing to change\n");
    return exit_status::ok;
  }
  if (!has_base && removes(value.changes) && !session.values.has("--remove")) {
    session.links.warn(render_changes(*base, value.changes));
    session.links.warn(
        "the folder was neither exported nor applied before and does not "
        "declare all that is in force; run export, or pass --remove\n");
    return exit_status::refused;
  }
  auto made = ticket_answer();
  result = send_ticket(session, value, made);
  if (result != exit_status::ok) return result;
  advance_base(session, folder, *std::move(base), value, made.version);
  return exit_status::ok;
}

exit_status export_folder(control_session& session) {
  const auto folder = session.values.text("<dir>");
  auto result = exit_status::ok;
  const auto in_force = load_snapshot(session, in_force_path, result);
  if (!in_force) return result;
  const auto parsed = configuration_of(*in_force);
  if (!parsed.ok()) return report_faults(session, parsed.faults);
  auto ec = std::error_code();
  fs::create_directories(folder, ec);
  for (const auto& it : fs::directory_iterator(folder, ec)) {
    if (it.path().extension() != ".json") continue;
    session.links.warn(concat(folder, " already holds declarations\n"));
    return exit_status::refused;
  }
  auto written = !ec && write_file(base_path(folder), to_json(*in_force));
  for (const auto& it : to_declarations(parsed.value)) {
    written =
        written && write_file((fs::path(folder) / it.name).string(), it.text);
  }
  if (!written) {
    session.links.warn(concat(folder, " cannot be written\n"));
    return exit_status::refused;
  }
  session.links.print(
      session.wants_json()
          ? concat("{\"version\":", in_force->version, "}\n")
          : concat("version ", in_force->version, " in ", folder, "\n"));
  return exit_status::ok;
}

exit_status drain_target(control_session& session, bool draining) {
  const auto number = ticket_number(session);
  if (!session.values.errors().empty()) return exit_status::usage;
  auto result = exit_status::ok;
  const auto newest = load_snapshot(session, newest_path, result);
  if (!newest) return result;
  const auto key =
      object_key{object_kind::target, session.values.text("<target>")};
  const auto found = newest->objects.find(key);
  if (found == newest->objects.end() || !found->second.body) {
    session.links.warn(concat("no target is named ", key.name, "\n"));
    return exit_status::not_found;
  }
  auto body = json::parse(*found->second.body).as_object();
  if (body["draining"] == json::value(draining)) {
    session.links.print(session.wants_json() ? "{\"changes\":[]}\n"
                                             : "nothing to change\n");
    return exit_status::ok;
  }
  body["draining"] = draining;
  auto change = object_change{.key = key};
  change.base_version = found->second.version;
  change.body = json::serialize(body);
  auto value = ticket{.number = number};
  value.author = session.values.text("--author");
  value.changes.push_back(std::move(change));
  auto made = ticket_answer();
  return send_ticket(session, value, made);
}

}  // namespace fulmar
