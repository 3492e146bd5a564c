#include "fulmarpitch/config/configuration.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>

#include "fulmarpitch/config/validation.h"
#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

const auto root = std::string(FULMAR_SOURCE_DIR);

std::string read(const std::string& path) {
  auto in = std::ifstream(root + path);
  return {std::istreambuf_iterator<char>(in), {}};
}

const auto hash_a = std::string(64, 'a');
const auto hash_b = std::string(64, 'b');

/// A complete set of declarations, in which a test replaces one part.
const auto base = std::string(R"({
"models": [{"name": "m", "versions": [{"name": "v1", "weights": "w"}],
            "serving_version": "v1",
            "adapters": [{"name": "ad", "weights": "w2"}]}],
"services": [{"name": "s", "repeatable": false, "timeout_ms": 100}],
"targets": [{"name": "t", "address": "127.0.0.1:81", "region": "r",
             "data_centre": "d", "models": ["m"], "adapters": ["ad"],
             "services": ["s"], "slots": 4, "kv_tokens": 1000}],
"classes": [{"name": "on", "rank": 0, "kind": "online",
             "guaranteed_percent": 60},
            {"name": "off", "rank": 1, "kind": "batch"}],
"callers": [{"name": "c", "class": "on", "key_hashes": [")") +
                  hash_a + R"("]}],
"operators": [{"name": "o", "key_hashes": [")" +
                  hash_b + R"("]}],
"batch": {"chunk_items": 10},
"deployment": {"name": "x", "first_token_ms": 1400}
})";

std::string with(const std::string& from, const std::string& to) {
  auto text = base;
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

parsed_configuration parse(const std::string& text) {
  return parse_declarations({{"a.json", text}});
}

TEST_CASE("a complete declaration is read and written without a change") {
  const auto parsed = parse(base);
  for (const auto& it : parsed.faults)
    UNSCOPED_INFO(to_string(it));
  REQUIRE(parsed.ok());
  CHECK(parsed.value.services[0].timeout == std::chrono::milliseconds(100));
  CHECK(parsed.value.batch.chunk_items == 10);
  CHECK(parsed.value.classes[1].kind == work_kind::batch);

  const auto again = parse_declarations(to_declarations(parsed.value));
  REQUIRE(again.ok());
  CHECK(objects_of(again.value) == objects_of(parsed.value));
  CHECK(to_json(again.value) == to_json(parsed.value));
  const auto snapshot = parse_snapshot(to_json(parsed.value));
  REQUIRE(snapshot.ok());
  CHECK(to_json(snapshot.value) == to_json(parsed.value));
  CHECK(configuration_from(objects_of(parsed.value)).ok());
}

TEST_CASE("each fault is refused with its kind, path and what is allowed") {
  struct fault_case {
    std::string from;
    std::string to;
    declaration_fault_kind kind;
    std::string path;
    std::string allowed;
  };
  using k = declaration_fault_kind;
  const auto cases = std::vector<fault_case>{
      {R"("slots": 4)", R"("slots": 0)", k::out_of_range, "/targets/0/slots",
       "at least 1"},
      {R"("slots": 4)", R"("slots": 4, "colour": 1)", k::unknown_field,
       "/targets/0/colour", "slots"},
      {R"("slots": 4, )", "", k::missing_field, "/targets/0/slots", "integer"},
      {R"("slots": 4)", R"("slots": true)", k::wrong_type, "/targets/0/slots",
       "integer"},
      {R"("slots": 4)", R"("slots": 4, "slots": 5)", k::duplicate,
       "/targets/0/slots", "once"},
      {R"("first_token_ms": 1400)", R"("first_token_ms": "1.4s")",
       k::wrong_unit, "/deployment/first_token_ms", "milliseconds"},
      {R"("first_token_ms": 1400)", R"("first_token_ms": 1.4)", k::wrong_unit,
       "/deployment/first_token_ms", "milliseconds"},
      {R"("first_token_ms": 1400)", R"("first_token_s": 1)", k::wrong_unit,
       "/deployment/first_token_s", "first_token_ms"},
      {R"("address": "127.0.0.1:81")", R"("address": "localhost")",
       k::out_of_range, "/targets/0/address", "IP number"},
      {R"("kind": "batch")", R"("kind": "slow")", k::out_of_range,
       "/classes/1/kind", "online"},
      {R"("name": "t")", R"("name": "a/b")", k::out_of_range, "/targets/0/name",
       "1 to 64 letters"},
      {R"("models": ["m"])", R"("models": ["m", "m"])", k::duplicate,
       "/targets/0/models/1", "once"},
      {R"("models": ["m"])", R"("models": ["m", "n"])", k::dangling_reference,
       "/targets/0/models/1", "a declared model: m"},
      {R"("adapters": ["ad"])", R"("adapters": ["no"])", k::dangling_reference,
       "/targets/0/adapters/0", "ad"},
      {R"("services": ["s"])", R"("services": ["z"])", k::dangling_reference,
       "/targets/0/services/0", "a declared service: s"},
      {R"("class": "on")", R"("class": "gone")", k::dangling_reference,
       "/callers/0/class", "off, on"},
      {R"("serving_version": "v1")", R"("serving_version": "v2")",
       k::dangling_reference, "/models/0/serving_version", "v1"},
      {R"("name": "off")", R"("name": "on")", k::duplicate, "/classes/1",
       "a.json at /classes/0"},
      {R"("rank": 1)", R"("rank": 0)", k::duplicate, "/classes/1/rank", "on"},
      {R"("rank": 0)", R"("rank": 2)", k::inconsistent, "/classes/1/rank",
       "above 2"},
      {R"("kind": "batch")", R"("kind": "batch", "guaranteed_percent": 41)",
       k::inconsistent, "/classes/0/guaranteed_percent", "101"},
      {R"("name": "s")", R"("name": "m")", k::duplicate, "/services/0/name",
       "model/m"},
      {hash_b, hash_a, k::duplicate, "/operators/0/key_hashes/0", "caller/c"},
      {hash_a, "secret", k::out_of_range, "/callers/0/key_hashes/0",
       "64 lower-case"},
      {R"("models": [{)", R"("models": 3, "modells": [{)", k::unknown_field,
       "/modells", "models"},
      {R"("batch": {)",
       R"("batch": {)"
       "\x01",
       k::malformed_json, "", "byte"},
  };
  for (const auto& it : cases) {
    const auto parsed = parse(with(it.from, it.to));
    CAPTURE(it.from, it.to, it.path);
    for (const auto& fault : parsed.faults)
      UNSCOPED_INFO(to_string(fault));
    const auto found = std::find_if(
        parsed.faults.begin(), parsed.faults.end(), [&](const auto& fault) {
          return fault.kind == it.kind && fault.path == it.path;
        });
    REQUIRE(found != parsed.faults.end());
    CHECK(found->file == "a.json");
    CHECK_THAT(found->allowed, Catch::Matchers::Contains(it.allowed));
  }
}

TEST_CASE("all faults of all files are reported at once") {
  const auto parsed = parse_declarations({
      {"a.json", R"({"targets": [{"name": "t", "speed": 1}],
                     "classes": [{"name": "c", "rank": -1, "kind": "online"}]})"},
      {"b.json", R"({"callers": [{"name": "x", "class": "c", "key_hashes": []},
                                 {"name": "x", "class": "d", "key_hashes": [")" +
                     hash_a + R"("]}]})"},
      {"c.json", "{"},
  });
  auto lines = std::string();
  for (const auto& it : parsed.faults)
    lines += to_string(it) + "\n";
  CAPTURE(lines);
  for (const auto* it :
       {"a.json: /targets/0/speed: unknown_field",
        "a.json: /targets/0/slots: missing_field",
        "a.json: /targets/0/region: missing_field",
        "a.json: /classes/0/rank: out_of_range",
        "b.json: /callers/0/key_hashes: out_of_range",
        "b.json: /callers/1: duplicate", "c.json: /: malformed_json",
        "/operators: missing_field"}) {
    CHECK_THAT(lines, Catch::Matchers::Contains(it));
  }
  // A class with a fault of its own is still declared.
  CHECK_THAT(lines, !Catch::Matchers::Contains("dangling"));
}

TEST_CASE("the sequencer's view follows the declarations") {
  auto parsed = parse(base);
  parsed.value.version = 7;
  const auto policy = policy_for(parsed.value, "m");
  CHECK(policy.config_version == 7);
  REQUIRE(policy.classes.size() == 2);
  CHECK(policy.classes[0].guaranteed_percent == 60);
  CHECK(policy.first_token_target == std::chrono::milliseconds(1400));
  const auto targets = targets_for(parsed.value, "m");
  REQUIRE(targets.size() == 1);
  CHECK(targets[0].models == std::vector<std::string>{"m", "ad", "s"});
  CHECK(targets_for(parsed.value, "s").size() == 1);
  CHECK(targets_for(parsed.value, "other").empty());
}

TEST_CASE("a key finds its owner alone") {
  auto value = configuration();
  value.callers = {{.name = "a", .key_hashes = {sha256_hex("key-a")}},
                   {.name = "b", .key_hashes = {sha256_hex("key-b")}}};
  value.operators = {{.name = "o", .key_hashes = {sha256_hex("key-o")}}};
  CHECK(find_caller_by_key(value, "key-a")->name == "a");
  CHECK(find_caller_by_key(value, "key-b")->name == "b");
  CHECK(find_caller_by_key(value, "key-o") == nullptr);
  CHECK(find_caller_by_key(value, sha256_hex("key-a")) == nullptr);
  CHECK(find_caller_by_key(value, "") == nullptr);
  CHECK(find_operator_by_key(value, "key-o")->name == "o");
}

TEST_CASE("the schemas in the library are the published files") {
  CHECK(declarations_schema() == read("/schema/declarations.schema.json"));
  CHECK(ticket_schema() == read("/schema/ticket.schema.json"));
}

TEST_CASE("the example folders are complete") {
  for (const auto* it : {"demo", "maitokulku", "lakeshore"}) {
    const auto parsed = load_declarations(concat(root, "/examples/", it));
    for (const auto& fault : parsed.faults)
      UNSCOPED_INFO(to_string(fault));
    CHECK(parsed.ok());
    CHECK_FALSE(parsed.value.targets.empty());
  }
  CHECK_FALSE(load_declarations(root + "/no-such-folder").ok());
}

}  // namespace
}  // namespace fulmar
