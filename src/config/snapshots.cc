#include <algorithm>
#include <boost/json.hpp>

#include "fulmarpitch/config/tickets.h"
#include "fulmarpitch/config/validation.h"
#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

namespace json = boost::json;

json::value body_of(const std::optional<std::string>& body) {
  return body ? json::parse(*body) : json::value(nullptr);
}

json::object key_fields(const object_key& key) {
  return {{"kind", name_in(object_kind_names, key.kind)}, {"name", key.name}};
}

std::string_view view(const json::value& value) {
  return {value.as_string().data(), value.as_string().size()};
}

object_key key_in(const json::object& fields) {
  const auto kind = value_in(object_kind_names, view(fields.at("kind")));
  if (!kind) throw std::invalid_argument("unknown kind");
  return {*kind, std::string(view(fields.at("name")))};
}

std::optional<std::string> body_in(const json::object& fields) {
  const auto& body = fields.at("body");
  if (body.is_null()) return std::nullopt;
  return json::serialize(body.as_object());
}

/// Faults that the schema cannot express.
void check_changes(const ticket& value,
                   std::vector<declaration_fault>& faults) {
  auto seen = std::map<object_key, std::size_t>();
  for (std::size_t n = 0; n < value.changes.size(); ++n) {
    const auto& it = value.changes[n];
    const auto path = concat("/changes/", n);
    const auto is_single = it.key.kind == object_kind::batch ||
                           it.key.kind == object_kind::deployment;
    const auto kind = name_in(object_kind_names, it.key.kind);
    if (!seen.emplace(it.key, n).second) {
      faults.push_back({declaration_fault_kind::duplicate, "ticket", path,
                        "one change for each object"});
    }
    if (is_single && it.key.name != kind) {
      faults.push_back({declaration_fault_kind::out_of_range, "ticket",
                        concat(path, "/name"), concat("the name ", kind)});
    }
    if (is_single && !it.body) {
      faults.push_back({declaration_fault_kind::inconsistent, "ticket",
                        concat(path, "/body"),
                        concat("a body, since ", kind, " always exists")});
    }
  }
}

std::vector<object_change> sorted(std::vector<object_change> changes) {
  std::sort(changes.begin(), changes.end(),
            [](const auto& a, const auto& b) { return a.key < b.key; });
  return changes;
}

config_snapshot read_snapshot_fields(const json::object& root) {
  auto value = config_snapshot();
  value.version = root.at("version").to_number<std::uint64_t>();
  for (const auto& it : root.at("objects").as_array()) {
    const auto& fields = it.as_object();
    value.objects[key_in(fields)] = {
        .version = fields.at("version").to_number<std::uint64_t>(),
        .ticket = fields.at("ticket").to_number<std::uint64_t>(),
        .body = body_in(fields),
    };
  }
  return value;
}

}  // namespace

std::optional<ticket> parse_ticket(std::string_view text,
                                   std::vector<declaration_fault>& faults) {
  const auto document = parse_json(text, "ticket", faults);
  if (!faults.empty()) return std::nullopt;
  faults = check_schema(ticket_schema(), document, "ticket");
  if (!faults.empty()) return std::nullopt;
  const auto& root = document.as_object();
  auto value = ticket();
  value.number = root.at("number").to_number<std::uint64_t>();
  value.author = view(root.at("author"));
  for (const auto& it : root.at("changes").as_array()) {
    const auto& fields = it.as_object();
    value.changes.push_back({
        .key = key_in(fields),
        .base_version = fields.at("base_version").to_number<std::uint64_t>(),
        .body = body_in(fields),
    });
  }
  check_changes(value, faults);
  if (!faults.empty()) return std::nullopt;
  return value;
}

std::string to_json(const ticket& value) {
  auto changes = json::array();
  for (const auto& it : sorted(value.changes)) {
    auto fields = key_fields(it.key);
    fields["base_version"] = it.base_version;
    fields["body"] = body_of(it.body);
    changes.push_back(std::move(fields));
  }
  return json::serialize(json::object({{"number", value.number},
                                       {"author", value.author},
                                       {"changes", std::move(changes)}}));
}

std::string digest_of(const ticket& value) {
  return sha256_hex(to_json(value));
}

std::vector<object_change> difference(const config_snapshot& from,
                                      const object_table& to) {
  auto changes = std::vector<object_change>();
  for (const auto& [key, body] : to) {
    const auto it = from.objects.find(key);
    const auto base = it == from.objects.end() ? object_state{} : it->second;
    if (base.body != body) changes.push_back({key, base.version, body});
  }
  for (const auto& [key, state] : from.objects) {
    if (!state.body || to.contains(key)) continue;
    changes.push_back({key, state.version, std::nullopt});
  }
  return sorted(std::move(changes));
}

std::string to_json(const config_snapshot& value) {
  auto objects = json::array();
  for (const auto& [key, state] : value.objects) {
    auto fields = key_fields(key);
    fields["version"] = state.version;
    fields["ticket"] = state.ticket;
    fields["body"] = body_of(state.body);
    objects.push_back(std::move(fields));
  }
  return json::serialize(json::object(
      {{"version", value.version}, {"objects", std::move(objects)}}));
}

absl::StatusOr<config_snapshot> parse_config_snapshot(std::string_view text) {
  try {
    const auto document =
        json::parse(json::string_view(text.data(), text.size()));
    return read_snapshot_fields(document.as_object());
  } catch (const std::exception& error) {
    return make_error(error_code::bad_request,
                      concat("not a snapshot: ", error.what()));
  }
}

parsed_configuration configuration_of(const config_snapshot& value) {
  auto table = object_table();
  for (const auto& [key, state] : value.objects) {
    if (state.body) table[key] = *state.body;
  }
  auto parsed = configuration_from(table);
  parsed.value.version = value.version;
  return parsed;
}

}  // namespace fulmar
