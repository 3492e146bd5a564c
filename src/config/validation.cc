#include "fulmarpitch/config/validation.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/json/basic_parser_impl.hpp>
#include <charconv>
#include <optional>
#include <valijson/adapters/boost_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

namespace json = boost::json;

using kind = declaration_fault_kind;

/// Watches the parse for fields that stand twice in one object.
struct repeated_field_handler {
  static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

  using error = boost::system::error_code;

  struct level {
    std::set<std::string> fields;
    /// What the path names at this level: the field or the array index.
    std::string step;
    std::size_t index = 0;
    bool is_array = false;
  };

  std::vector<level> levels;
  std::string text;
  std::vector<std::string> repeated;

  std::string path() const {
    auto out = std::string();
    for (const auto& it : levels) {
      out += it.is_array ? concat("/", it.index) : concat("/", it.step);
    }
    return out;
  }

  bool value_done() {
    if (!levels.empty() && levels.back().is_array) ++levels.back().index;
    return true;
  }

  bool on_document_begin(error&) { return true; }
  bool on_document_end(error&) { return true; }
  bool on_object_begin(error&) {
    levels.emplace_back();
    return true;
  }
  bool on_object_end(std::size_t, error&) {
    levels.pop_back();
    return value_done();
  }
  bool on_array_begin(error&) {
    levels.push_back({.is_array = true});
    return true;
  }
  bool on_array_end(std::size_t, error&) {
    levels.pop_back();
    return value_done();
  }
  bool on_key_part(json::string_view part, std::size_t, error&) {
    text.append(part.data(), part.size());
    return true;
  }
  bool on_key(json::string_view part, std::size_t, error&) {
    text.append(part.data(), part.size());
    auto& top = levels.back();
    top.step = text;
    if (!top.fields.insert(std::move(text)).second) repeated.push_back(path());
    text.clear();
    return true;
  }
  bool on_string_part(json::string_view, std::size_t, error&) { return true; }
  bool on_string(json::string_view, std::size_t, error&) {
    return value_done();
  }
  bool on_number_part(json::string_view, error&) { return true; }
  bool on_int64(std::int64_t, json::string_view, error&) {
    return value_done();
  }
  bool on_uint64(std::uint64_t, json::string_view, error&) {
    return value_done();
  }
  bool on_double(double, json::string_view, error&) { return value_done(); }
  bool on_bool(bool, error&) { return value_done(); }
  bool on_null(error&) { return value_done(); }
  bool on_comment_part(json::string_view, error&) { return true; }
  bool on_comment(json::string_view, error&) { return true; }
};

/// Turns a failed node into typed faults, by the schema's own words.
class explainer {
 public:
  explainer(const json::value& schema, std::string file,
            std::vector<declaration_fault>& faults)
      : schema_(schema), file_(std::move(file)), faults_(faults) {}

  /// Explains what is wrong with the value itself, not with what it holds.
  /// \return whether a fault was found.
  bool explain(const json::object& node, const json::value& value,
               const std::string& path) {
    const auto before = faults_.size();
    if (!fits_type(node, value)) {
      fail(wrong_type(node, value), path, describe(node));
      return true;
    }
    if (const auto* it = value.if_object()) explain_object(node, *it, path);
    if (const auto* it = value.if_array()) explain_array(node, *it, path);
    if (!value.is_object() && !value.is_array()) {
      fail(kind::out_of_range, path, describe(node));
    }
    return faults_.size() != before;
  }

  const json::object& resolve(const json::object& node) const {
    const auto* it = node.if_contains("$ref");
    if (it == nullptr) return node;
    const auto name = it->as_string().subview(std::size("#/definitions/") - 1);
    return schema_.at("definitions").at(name).as_object();
  }

  /// The schema of a field or item, or null for an unknown field.
  const json::object* child(const json::object& node,
                            const std::string& step) const {
    if (const auto* items = node.if_contains("items")) {
      return &resolve(items->as_object());
    }
    const auto* properties = node.if_contains("properties");
    if (properties == nullptr) return nullptr;
    const auto* it = properties->as_object().if_contains(step);
    return it == nullptr ? nullptr : &resolve(it->as_object());
  }

 private:
  void fail(kind what, const std::string& path, std::string allowed) {
    faults_.push_back({what, file_, path, std::move(allowed)});
  }

  static bool is_type(std::string_view type, const json::value& value) {
    if (type == "object") return value.is_object();
    if (type == "array") return value.is_array();
    if (type == "string") return value.is_string();
    if (type == "boolean") return value.is_bool();
    if (type == "null") return value.is_null();
    return value.is_int64() || value.is_uint64();
  }

  static bool fits_type(const json::object& node, const json::value& value) {
    const auto* type = node.if_contains("type");
    if (type == nullptr) return true;
    if (type->is_string()) return is_type(type->as_string(), value);
    const auto& types = type->as_array();
    return std::any_of(types.begin(), types.end(), [&](const auto& it) {
      return is_type(it.as_string(), value);
    });
  }

  /// A number written as text or as a fraction is most often another unit.
  static kind wrong_type(const json::object& node, const json::value& value) {
    const auto* type = node.if_contains("type");
    const auto wants_number = *type == json::value("integer");
    const auto* text = value.if_string();
    const auto has_unit = text != nullptr && !text->empty() &&
                          text->front() >= '0' && text->front() <= '9';
    if (wants_number && (has_unit || value.is_double())) {
      return kind::wrong_unit;
    }
    return kind::wrong_type;
  }

  static std::string bound(const json::object& node, const char* field) {
    const auto* it = node.if_contains(field);
    return it == nullptr ? std::string() : json::serialize(*it);
  }

  static std::string describe(const json::object& node) {
    auto out = std::string();
    if (const auto* it = node.if_contains("enum")) {
      return concat("one of ", json::serialize(*it));
    }
    if (const auto* it = node.if_contains("type")) {
      out = it->is_string() ? concat("a value of type ", as_view(*it))
                            : concat("a value of types ", json::serialize(*it));
    }
    if (const auto least = bound(node, "minimum"); !least.empty()) {
      out += concat(" of at least ", least);
    }
    if (const auto most = bound(node, "maximum"); !most.empty()) {
      out += concat(" and at most ", most);
    }
    if (const auto* it = node.if_contains("description")) {
      out += concat("; ", as_view(*it));
    }
    return out;
  }

  static std::string_view as_view(const json::value& value) {
    return {value.as_string().data(), value.as_string().size()};
  }

  void explain_object(const json::object& node, const json::object& value,
                      const std::string& path) {
    const auto* properties = node.if_contains("properties");
    if (properties == nullptr) return;
    const auto& known = properties->as_object();
    for (const auto& it : value) {
      if (known.contains(it.key())) continue;
      explain_unknown(known, std::string(it.key()), path);
    }
    const auto* required = node.if_contains("required");
    if (required == nullptr) return;
    for (const auto& it : required->as_array()) {
      if (value.contains(it.as_string())) continue;
      const auto& wanted = resolve(known.at(it.as_string()).as_object());
      fail(kind::missing_field, concat(path, "/", as_view(it)),
           describe(wanted));
    }
  }

  void explain_unknown(const json::object& known, const std::string& field,
                       const std::string& path) {
    auto allowed = std::string();
    for (const auto& it : known) {
      const auto name = std::string(it.key());
      if (differs_in_unit(field, name)) {
        fail(kind::wrong_unit, concat(path, "/", field),
             concat(name, ", ", describe(resolve(it.value().as_object()))));
        return;
      }
      allowed.append(allowed.empty() ? "the fields " : ", ") += name;
    }
    fail(kind::unknown_field, concat(path, "/", field), allowed);
  }

  static bool differs_in_unit(const std::string& field,
                              const std::string& known) {
    constexpr auto units = std::array<std::string_view, 4>{
        "_ms", "_minutes", "_percent", "_per_second"};
    return std::any_of(units.begin(), units.end(), [&](auto unit) {
      if (!known.ends_with(unit)) return false;
      const auto stem = known.substr(0, known.size() - unit.size());
      return field == stem || field.starts_with(stem + "_");
    });
  }

  void explain_array(const json::object& node, const json::array& value,
                     const std::string& path) {
    if (const auto* it = node.if_contains("minItems");
        it != nullptr && value.size() < it->to_number<std::size_t>()) {
      fail(kind::out_of_range, path,
           concat("at least ", json::serialize(*it), " items"));
    }
    if (const auto* it = node.if_contains("maxItems");
        it != nullptr && value.size() > it->to_number<std::size_t>()) {
      fail(kind::out_of_range, path,
           concat("at most ", json::serialize(*it), " items"));
    }
    if (!node.contains("uniqueItems")) return;
    for (std::size_t n = 1; n < value.size(); ++n) {
      const auto* end = value.begin() + n;
      if (std::find(value.begin(), end, value[n]) == end) continue;
      fail(kind::duplicate, concat(path, "/", n),
           "an item that stands once in the list");
    }
  }

  const json::value& schema_;
  std::string file_;
  std::vector<declaration_fault>& faults_;
};

/// Steps of a path as valijson writes them: `<root>`, `["field"]`, `[0]`.
std::vector<std::string> steps_of(const std::vector<std::string>& context) {
  auto steps = std::vector<std::string>();
  for (const auto& it : context) {
    if (!it.starts_with('[')) continue;
    auto step = it.substr(1, it.size() - 2);
    if (step.starts_with('"')) step = step.substr(1, step.size() - 2);
    steps.push_back(std::move(step));
  }
  return steps;
}

const json::value* value_at(const json::value& value, const std::string& step) {
  if (const auto* it = value.if_object()) return it->if_contains(step);
  const auto* array = value.if_array();
  auto n = std::size_t(0);
  const auto* end = step.data() + step.size();
  if (array == nullptr ||
      std::from_chars(step.data(), end, n).ec != std::errc()) {
    return nullptr;
  }
  return array->if_contains(n);
}

/// The parsed form of one schema.
struct compiled_schema {
  json::value source;
  valijson::Schema rules;

  explicit compiled_schema(std::string_view text)
      : source(json::parse(json::string_view(text.data(), text.size()))) {
    const auto adapter = valijson::adapters::BoostJsonAdapter(source);
    valijson::SchemaParser().populateSchema(adapter, rules);
  }
};

const compiled_schema& compiled(std::string_view text) {
  static const auto declarations = compiled_schema(declarations_schema());
  static const auto tickets = compiled_schema(ticket_schema());
  return text == ticket_schema() ? tickets : declarations;
}

}  // namespace

std::vector<declaration_fault> check_schema(std::string_view schema_text,
                                            const json::value& document,
                                            const std::string& file) {
  const auto& schema = compiled(schema_text);
  auto results = valijson::ValidationResults();
  // The validator keeps the compiled patterns, which are costly to build.
  thread_local auto validator = valijson::Validator();
  const auto adapter = valijson::adapters::BoostJsonAdapter(document);
  if (validator.validate(schema.rules, adapter, &results)) return {};
  auto faults = std::vector<declaration_fault>();
  auto explain = explainer(schema.source, file, faults);
  auto seen = std::set<std::string>();
  for (const auto& error : results) {
    const auto* node = &schema.source.as_object();
    const auto* value = &document;
    auto path = std::string();
    for (const auto& step : steps_of(error.context)) {
      const auto* next = explain.child(*node, step);
      const auto* inner = value_at(*value, step);
      if (next == nullptr || inner == nullptr) break;
      path += concat("/", step);
      node = next;
      value = inner;
    }
    if (seen.insert(path).second) explain.explain(*node, *value, path);
  }
  // A failure that could not be explained must still refuse the file.
  if (faults.empty()) {
    faults.push_back(
        {kind::wrong_type, file, "", results.begin()->description});
  }
  return faults;
}

json::value parse_json(std::string_view text, const std::string& file,
                       std::vector<declaration_fault>& faults) {
  auto scanner = json::basic_parser<repeated_field_handler>({});
  auto ec = boost::system::error_code();
  const auto n = scanner.write_some(false, text.data(), text.size(), ec);
  if (ec || n != text.size()) {
    faults.push_back({kind::malformed_json, file, "",
                      concat("a JSON document; it breaks off at byte ", n)});
    return nullptr;
  }
  for (const auto& it : scanner.handler().repeated) {
    faults.push_back(
        {kind::duplicate, file, it, "a field that stands once in its object"});
  }
  return json::parse(json::string_view(text.data(), text.size()), ec);
}

}  // namespace fulmar
