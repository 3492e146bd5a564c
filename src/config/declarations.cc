#include <algorithm>
#include <boost/json.hpp>
#include <concepts>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "fulmarpitch/config/configuration.h"
#include "fulmarpitch/config/validation.h"
#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

namespace json = boost::json;

using milliseconds = std::chrono::milliseconds;
using minutes = std::chrono::minutes;

template <typename T, typename Struct>
concept either_const = std::same_as<std::remove_const_t<T>, Struct>;

/// Writes a struct's fields into a JSON object.
struct field_writer {
  json::object& out;

  template <typename T>
  void operator()(std::string_view name, const T& member) {
    out[name] = json::value_from(member);
  }
  template <typename Unit>
  void span(std::string_view name, const instant& member) {
    out[name] = std::chrono::duration_cast<Unit>(member).count();
  }
  template <typename Names, typename E>
  void choice(std::string_view name, const Names& names, const E& member) {
    out[name] = name_in(names, member);
  }
  template <typename T>
  void items(std::string_view name, const std::vector<T>& members);
};

/// Reads a struct's fields from a JSON object that fits the schema.
struct field_reader {
  const json::object& in;

  template <typename T>
  void operator()(std::string_view name, T& member) {
    if (const auto* it = in.if_contains(name)) {
      member = json::value_to<T>(*it);
    }
  }
  template <typename Unit>
  void span(std::string_view name, instant& member) {
    if (const auto* it = in.if_contains(name)) {
      member = Unit(it->to_number<std::int64_t>());
    }
  }
  template <typename Names, typename E>
  void choice(std::string_view name, const Names& names, E& member) {
    if (const auto* it = in.if_contains(name)) {
      member = value_in(names, it->as_string()).value_or(member);
    }
  }
  template <typename T>
  void items(std::string_view name, std::vector<T>& members);
};

template <typename Fields, either_const<weights_declaration> T>
void visit(Fields& fields, T& it) {
  fields("name", it.name);
  fields("weights", it.weights);
}

template <typename Fields, either_const<model_declaration> T>
void visit(Fields& fields, T& it) {
  fields("name", it.name);
  fields.items("versions", it.versions);
  fields("serving_version", it.serving_version);
  fields.items("adapters", it.adapters);
}

template <typename Fields, either_const<service_declaration> T>
void visit(Fields& fields, T& it) {
  fields("name", it.name);
  fields("repeatable", it.repeatable);
  fields.template span<milliseconds>("timeout_ms", it.timeout);
}

template <typename Fields, either_const<target_declaration> T>
void visit(Fields& fields, T& it) {
  fields("name", it.name);
  fields("address", it.address);
  fields("region", it.region);
  fields("data_centre", it.data_centre);
  fields("models", it.models);
  fields("adapters", it.adapters);
  fields("services", it.services);
  fields("slots", it.slots);
  fields("kv_tokens", it.kv_tokens);
  fields("checks_fencing", it.checks_fencing);
  fields("can_resume", it.can_resume);
  fields("can_export_kv", it.can_export_kv);
  fields("draining", it.draining);
}

template <typename Fields, either_const<class_declaration> T>
void visit(Fields& fields, T& it) {
  fields("name", it.name);
  fields("rank", it.rank);
  fields.choice("kind", work_kind_names, it.kind);
  fields("guaranteed_percent", it.guaranteed_percent);
}

template <typename Fields, either_const<caller_declaration> T>
void visit(Fields& fields, T& it) {
  fields("name", it.name);
  fields("class", it.class_name);
  fields("key_hashes", it.key_hashes);
  fields("weight", it.weight);
  fields("requests_per_second", it.requests_per_second);
  fields("concurrency", it.concurrency);
}

template <typename Fields, either_const<operator_declaration> T>
void visit(Fields& fields, T& it) {
  fields("name", it.name);
  fields("key_hashes", it.key_hashes);
}

template <typename Fields, either_const<batch_policy> T>
void visit(Fields& fields, T& it) {
  fields("max_items_per_job", it.max_items_per_job);
  fields("chunk_items", it.chunk_items);
  fields("max_attempts_per_item", it.max_attempts_per_item);
  fields.template span<minutes>("default_window_minutes", it.default_window);
}

template <typename Fields, either_const<deployment_declaration> T>
void visit(Fields& fields, T& it) {
  fields("name", it.name);
  fields("batch_preference", it.batch_preference);
  fields.template span<milliseconds>("first_token_ms", it.first_token_target);
  fields.template span<milliseconds>("between_tokens_ms",
                                     it.between_tokens_target);
}

template <typename T>
void field_writer::items(std::string_view name, const std::vector<T>& members) {
  auto array = json::array();
  for (const auto& it : members) {
    auto fields = field_writer{array.emplace_back(json::object()).as_object()};
    visit(fields, it);
  }
  out[name] = std::move(array);
}

template <typename T>
void field_reader::items(std::string_view name, std::vector<T>& members) {
  const auto* array = in.if_contains(name);
  if (array == nullptr) return;
  members.clear();
  for (const auto& it : array->as_array()) {
    auto fields = field_reader{it.as_object()};
    visit(fields, members.emplace_back());
  }
}

template <typename T>
json::object written(const T& value) {
  auto out = json::object();
  auto fields = field_writer{out};
  visit(fields, value);
  return out;
}

template <typename T>
T read_as(const json::object& in) {
  auto value = T();
  auto fields = field_reader{in};
  visit(fields, value);
  return value;
}

/// Where the objects of a kind stand in a declaration file.
struct section {
  object_kind kind;
  std::string_view field;
  /// Whether the kind has exactly one object.
  bool single;
};

constexpr std::array<section, 8> sections{{
    {object_kind::model, "models", false},
    {object_kind::service, "services", false},
    {object_kind::target, "targets", false},
    {object_kind::caller_class, "classes", false},
    {object_kind::caller, "callers", false},
    {object_kind::operator_account, "operators", false},
    {object_kind::batch, "batch", true},
    {object_kind::deployment, "deployment", true},
}};

const section& section_of(object_kind kind) {
  return *std::find_if(sections.begin(), sections.end(),
                       [&](const auto& it) { return it.kind == kind; });
}

void add_object(configuration& value, object_kind kind,
                const json::object& in) {
  switch (kind) {
    case object_kind::model:
      value.models.push_back(read_as<model_declaration>(in));
      break;
    case object_kind::service:
      value.services.push_back(read_as<service_declaration>(in));
      break;
    case object_kind::target:
      value.targets.push_back(read_as<target_declaration>(in));
      break;
    case object_kind::caller_class:
      value.classes.push_back(read_as<class_declaration>(in));
      break;
    case object_kind::caller:
      value.callers.push_back(read_as<caller_declaration>(in));
      break;
    case object_kind::operator_account:
      value.operators.push_back(read_as<operator_declaration>(in));
      break;
    case object_kind::batch:
      value.batch = read_as<batch_policy>(in);
      break;
    case object_kind::deployment:
      value.deployment = read_as<deployment_declaration>(in);
      break;
  }
}

/// One object of a file, before it is read.
struct raw_object {
  object_kind kind;
  const json::value* body;
  object_place place;
};

std::vector<raw_object> objects_in(const json::value& document,
                                   const std::string& file) {
  auto found = std::vector<raw_object>();
  const auto* root = document.if_object();
  if (root == nullptr) return found;
  for (const auto& it : sections) {
    const auto* body = root->if_contains(it.field);
    if (body == nullptr) continue;
    const auto path = concat("/", it.field);
    if (it.single) {
      found.push_back({it.kind, body, {file, path}});
      continue;
    }
    const auto* array = body->if_array();
    for (std::size_t n = 0; array != nullptr && n < array->size(); ++n) {
      found.push_back({it.kind, &(*array)[n], {file, concat(path, "/", n)}});
    }
  }
  return found;
}

std::optional<object_key> key_of(const raw_object& object) {
  const auto& section = section_of(object.kind);
  // The single objects stand under the name of their kind.
  if (section.single) {
    return object_key{object.kind,
                      std::string(name_in(object_kind_names, object.kind))};
  }
  const auto* body = object.body->if_object();
  const auto* name = body == nullptr ? nullptr : body->if_contains("name");
  if (name == nullptr || !name->is_string()) return std::nullopt;
  return object_key{object.kind, std::string(name->as_string())};
}

bool is_faulty(const object_place& place,
               const std::vector<declaration_fault>& faults) {
  return std::any_of(faults.begin(), faults.end(), [&](const auto& it) {
    if (it.file != place.file || !it.path.starts_with(place.path)) return false;
    return it.path.size() == place.path.size() ||
           it.path[place.path.size()] == '/';
  });
}

/// Collects the objects of several documents, and every fault.
class collector {
 public:
  void add(const json::value& document, const std::string& file) {
    const auto found = check_schema(declarations_schema(), document, file);
    faults_.insert(faults_.end(), found.begin(), found.end());
    for (const auto& it : objects_in(document, file))
      add_object_of(it, found);
  }

  void fail(declaration_fault fault) { faults_.push_back(std::move(fault)); }
  std::vector<declaration_fault>& faults() { return faults_; }

  parsed_configuration finish() {
    const auto found = check_references(objects_);
    faults_.insert(faults_.end(), found.begin(), found.end());
    return {std::move(objects_.value), std::move(faults_)};
  }

 private:
  void add_object_of(const raw_object& object,
                     const std::vector<declaration_fault>& found) {
    const auto key = key_of(object);
    if (!key) return;
    const auto [it, is_new] = objects_.places.emplace(*key, object.place);
    if (!is_new) {
      fail({declaration_fault_kind::duplicate, object.place.file,
            object.place.path,
            concat("one ", to_string(*key), "; the first stands in ",
                   it->second.file, " at ", it->second.path)});
      return;
    }
    if (is_faulty(object.place, found)) return;
    add_object(objects_.value, object.kind, object.body->as_object());
  }

  declared_objects objects_;
  std::vector<declaration_fault> faults_;
};

constexpr std::size_t indent_spaces = 2;

void print_pretty(const json::value& value, std::size_t depth,
                  std::string& out);

template <typename Range, typename Print>
void print_items(const Range& items, std::size_t depth, std::string_view marks,
                 std::string& out, Print print) {
  out += marks[0];
  auto separator = std::string_view("\n");
  for (const auto& it : items) {
    out += separator;
    out.append((depth + 1) * indent_spaces, ' ');
    print(it);
    separator = ",\n";
  }
  out += '\n';
  out.append(depth * indent_spaces, ' ');
  out += marks[1];
}

void print_pretty(const json::value& value, std::size_t depth,
                  std::string& out) {
  if (const auto* object = value.if_object();
      object != nullptr && !object->empty()) {
    print_items(*object, depth, "{}", out, [&](const auto& it) {
      out += json::serialize(json::string(it.key())) + ": ";
      print_pretty(it.value(), depth + 1, out);
    });
    return;
  }
  if (const auto* array = value.if_array();
      array != nullptr && !array->empty()) {
    print_items(*array, depth, "[]", out,
                [&](const auto& it) { print_pretty(it, depth + 1, out); });
    return;
  }
  out += json::serialize(value);
}

json::object document_of(const configuration& value) {
  auto document = json::object();
  for (const auto& [key, body] : objects_of(value)) {
    const auto& section = section_of(key.kind);
    auto parsed = json::parse(body);
    if (section.single) {
      document[section.field] = std::move(parsed);
      continue;
    }
    auto& array = document[section.field];
    if (!array.is_array()) array = json::array();
    array.as_array().push_back(std::move(parsed));
  }
  return document;
}

template <typename T>
void add_all(object_table& table, object_kind kind,
             const std::vector<T>& values) {
  for (const auto& it : values) {
    table[{kind, it.name}] = json::serialize(written(it));
  }
}

std::string read_file(const std::filesystem::path& path, bool& failed) {
  auto in = std::ifstream(path, std::ios::binary);
  auto text = std::string(std::istreambuf_iterator<char>(in), {});
  failed = !in.good() && !in.eof();
  return text;
}

}  // namespace

parsed_configuration parse_declarations(
    const std::vector<declaration_file>& files) {
  auto collected = collector();
  // Bodies are only looked at within `add`, so each document may go after it.
  for (const auto& it : files) {
    const auto before = collected.faults().size();
    const auto document = parse_json(it.text, it.name, collected.faults());
    if (collected.faults().size() == before) collected.add(document, it.name);
  }
  return collected.finish();
}

parsed_configuration load_declarations(const std::string& folder) {
  namespace fs = std::filesystem;
  auto ec = std::error_code();
  auto paths = std::vector<fs::path>();
  for (auto it = fs::directory_iterator(folder, ec);
       !ec && it != fs::directory_iterator(); it.increment(ec)) {
    if (it->path().extension() == ".json") paths.push_back(it->path());
  }
  const auto unreadable = [](const fs::path& path) {
    return parsed_configuration{
        {},
        {{declaration_fault_kind::unreadable_file, path.string(), "",
          "a folder with readable *.json files"}}};
  };
  if (ec || paths.empty()) return unreadable(folder);
  std::sort(paths.begin(), paths.end());
  auto files = std::vector<declaration_file>();
  for (const auto& it : paths) {
    auto failed = false;
    auto text = read_file(it, failed);
    if (failed) return unreadable(it);
    files.push_back({it.filename().string(), std::move(text)});
  }
  return parse_declarations(files);
}

parsed_configuration parse_snapshot(std::string_view text) {
  auto collected = collector();
  auto document = parse_json(text, "snapshot", collected.faults());
  if (!collected.faults().empty()) return {{}, collected.faults()};
  auto version = std::uint64_t(0);
  if (auto* root = document.if_object()) {
    const auto* it = root->if_contains("version");
    auto ec = boost::system::error_code();
    if (it != nullptr) version = it->to_number<std::uint64_t>(ec);
    if (it == nullptr || ec) {
      collected.fail({declaration_fault_kind::wrong_type, "snapshot",
                      "/version", "an integer of at least 0"});
    }
    root->erase("version");
  }
  collected.add(document, "snapshot");
  auto result = collected.finish();
  result.value.version = version;
  return result;
}

std::string to_json(const configuration& value) {
  auto document = document_of(value);
  document["version"] = value.version;
  return json::serialize(document);
}

std::vector<declaration_file> to_declarations(const configuration& value) {
  auto files = std::vector<declaration_file>();
  for (const auto& it : document_of(value)) {
    auto text = std::string();
    print_pretty(json::object({{it.key(), it.value()}}), 0, text);
    files.push_back({concat(std::string_view(it.key()), ".json"), text + "\n"});
  }
  return files;
}

object_table objects_of(const configuration& value) {
  auto table = object_table();
  add_all(table, object_kind::model, value.models);
  add_all(table, object_kind::service, value.services);
  add_all(table, object_kind::target, value.targets);
  add_all(table, object_kind::caller_class, value.classes);
  add_all(table, object_kind::caller, value.callers);
  add_all(table, object_kind::operator_account, value.operators);
  table[{object_kind::batch, "batch"}] = json::serialize(written(value.batch));
  table[{object_kind::deployment, "deployment"}] =
      json::serialize(written(value.deployment));
  return table;
}

parsed_configuration configuration_from(const object_table& objects) {
  auto collected = collector();
  for (const auto& [key, body] : objects) {
    const auto file = to_string(key);
    const auto before = collected.faults().size();
    auto parsed = parse_json(body, file, collected.faults());
    if (collected.faults().size() != before) continue;
    const auto& section = section_of(key.kind);
    const auto* object = parsed.if_object();
    const auto* name = object ? object->if_contains("name") : nullptr;
    if (!section.single && name != nullptr &&
        *name != json::value(json::string(key.name))) {
      collected.fail({declaration_fault_kind::inconsistent, file, "/name",
                      concat("the name in the object's key, ", key.name)});
      continue;
    }
    if (!section.single) parsed = json::array({std::move(parsed)});
    collected.add(json::object({{section.field, std::move(parsed)}}), file);
  }
  return collected.finish();
}

}  // namespace fulmar
