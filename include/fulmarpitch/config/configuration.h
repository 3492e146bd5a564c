#pragma once

/// \file
/// What the operators declare, as plain structs, with its JSON form.

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "fulmarpitch/core/sequencer.h"
#include "fulmarpitch/core/types.h"

namespace fulmar {

/// Weights under a name: a version of a model, or an adapter.
struct weights_declaration {
  std::string name;
  /// Name in the weight store.
  std::string weights;
};

struct model_declaration {
  std::string name;
  std::vector<weights_declaration> versions;
  /// The version that targets load.
  std::string serving_version;
  std::vector<weights_declaration> adapters;
};

/// A plain service behind the system.
struct service_declaration {
  std::string name;
  /// Whether a call may be sent again after an unknown outcome.
  bool repeatable = false;
  instant timeout = std::chrono::seconds(30);
};

/// A model engine or service process that takes requests.
struct target_declaration {
  std::string name;
  /// Host and port.
  std::string address;
  std::string region;
  std::string data_centre;
  std::vector<std::string> models;
  std::vector<std::string> adapters;
  std::vector<std::string> services;
  std::uint32_t slots = 1;
  std::uint64_t kv_tokens = 0;
  /// Whether it refuses an order with an old fencing number.
  bool checks_fencing = false;
  bool can_resume = false;
  bool can_export_kv = false;
  /// A draining target receives no new work.
  bool draining = false;
};

struct class_declaration {
  std::string name;
  /// Place in the order of service; 0 goes first.
  std::uint32_t rank = 0;
  work_kind kind = work_kind::online;
  /// Share of a pool's tokens owed before rank counts; 0 to 100.
  std::uint32_t guaranteed_percent = 0;
};

struct caller_declaration {
  std::string name;
  std::string class_name;
  /// SHA-256 of each key, 64 lower-case hexadecimal digits.
  std::vector<std::string> key_hashes;
  std::uint32_t weight = 1;
  /// 0 means no limit.
  std::uint32_t requests_per_second = 0;
  /// 0 means no limit.
  std::uint32_t concurrency = 0;
};

struct operator_declaration {
  std::string name;
  std::vector<std::string> key_hashes;
};

/// How batch jobs are run.
struct batch_policy {
  std::uint32_t max_items_per_job = 1'000'000;
  std::uint32_t chunk_items = 500;
  std::uint32_t max_attempts_per_item = 4;
  /// Time to the deadline of a job that names none.
  instant default_window = std::chrono::hours(24);
};

/// The deployment's trade-off between batch and online work.
struct deployment_declaration {
  std::string name = "deployment";
  /// 0 protects online latency most, 100 favours batch throughput most.
  std::uint32_t batch_preference = 50;
  instant first_token_target = std::chrono::milliseconds(1400);
  instant between_tokens_target = std::chrono::milliseconds(38);
};

/// Everything declared, at one version.
struct configuration {
  /// Grows by one with each accepted ticket; 0 before the first.
  std::uint64_t version = 0;
  std::vector<model_declaration> models;
  std::vector<service_declaration> services;
  std::vector<target_declaration> targets;
  std::vector<class_declaration> classes;
  std::vector<caller_declaration> callers;
  std::vector<operator_declaration> operators;
  batch_policy batch;
  deployment_declaration deployment;
};

/// The kinds of declared objects. `batch` and `deployment` exist once.
enum class object_kind {
  model,
  service,
  target,
  caller_class,
  caller,
  operator_account,
  batch,
  deployment,
};

inline constexpr std::array<named<object_kind>, 8> object_kind_names{{
    {object_kind::model, "model"},
    {object_kind::service, "service"},
    {object_kind::target, "target"},
    {object_kind::caller_class, "class"},
    {object_kind::caller, "caller"},
    {object_kind::operator_account, "operator"},
    {object_kind::batch, "batch"},
    {object_kind::deployment, "deployment"},
}};

/// Names one declared object.
struct object_key {
  object_kind kind = object_kind::model;
  std::string name;

  bool operator==(const object_key&) const = default;
  bool operator<(const object_key& other) const {
    return std::tie(kind, name) < std::tie(other.kind, other.name);
  }
};

/// Spells a key.
/// \param key the object's key.
/// \return `kind/name`.
std::string to_string(const object_key& key);

/// Each declared object as canonical JSON, by key.
using object_table = std::map<object_key, std::string>;

/// Why a declaration was refused.
enum class declaration_fault_kind {
  unreadable_file,
  malformed_json,
  unknown_field,
  missing_field,
  wrong_type,
  wrong_unit,
  out_of_range,
  duplicate,
  dangling_reference,
  inconsistent,
};

inline constexpr std::array<named<declaration_fault_kind>, 10>
    declaration_fault_kind_names{{
        {declaration_fault_kind::unreadable_file, "unreadable_file"},
        {declaration_fault_kind::malformed_json, "malformed_json"},
        {declaration_fault_kind::unknown_field, "unknown_field"},
        {declaration_fault_kind::missing_field, "missing_field"},
        {declaration_fault_kind::wrong_type, "wrong_type"},
        {declaration_fault_kind::wrong_unit, "wrong_unit"},
        {declaration_fault_kind::out_of_range, "out_of_range"},
        {declaration_fault_kind::duplicate, "duplicate"},
        {declaration_fault_kind::dangling_reference, "dangling_reference"},
        {declaration_fault_kind::inconsistent, "inconsistent"},
    }};

/// One fault in the declarations.
struct declaration_fault {
  declaration_fault_kind kind = declaration_fault_kind::malformed_json;
  std::string file;
  /// Path of the field, such as `/targets/0/slots`.
  std::string path;
  /// What may stand there.
  std::string allowed;
};

/// Spells a fault in one line.
/// \param fault the fault.
/// \return file, path, kind and what is allowed.
std::string to_string(const declaration_fault& fault);

/// A file of declarations and its text.
struct declaration_file {
  std::string name;
  std::string text;
};

/// A configuration, or every fault that was found.
struct parsed_configuration {
  configuration value;
  std::vector<declaration_fault> faults;

  bool ok() const { return faults.empty(); }
};

/// Parses declarations that are spread over files.
/// \param files the files; each may hold any part of the configuration.
/// \return the configuration at version 0, or all faults.
parsed_configuration parse_declarations(
    const std::vector<declaration_file>& files);

/// Reads and parses every `*.json` file of a folder.
/// \param folder the folder's path.
/// \return the configuration at version 0, or all faults.
parsed_configuration load_declarations(const std::string& folder);

/// Parses a document that `to_json` wrote.
/// \param text the document.
/// \return the configuration with its version, or all faults.
parsed_configuration parse_snapshot(std::string_view text);

/// Writes a configuration as one canonical JSON document, version included.
/// \param value the configuration.
/// \return the document; equal configurations give equal bytes.
std::string to_json(const configuration& value);

/// Writes a configuration as a folder's files, without the version.
/// \param value the configuration.
/// \return files that parse to the same objects.
std::vector<declaration_file> to_declarations(const configuration& value);

/// Splits a configuration into its objects.
/// \param value the configuration.
/// \return each object's canonical JSON.
object_table objects_of(const configuration& value);

/// Joins objects to a configuration and checks the whole.
/// \param objects each object's JSON.
/// \return the configuration at version 0, or all faults; a fault's file is
///   the object's key.
parsed_configuration configuration_from(const object_table& objects);

/// The text of the published schema, schema/declarations.schema.json.
std::string_view declarations_schema();

/// What a pool's sequencer needs of a configuration.
/// \param value the configuration.
/// \param pool the pool's model or service.
/// \return classes, callers, targets of latency and the trade-off.
pool_policy policy_for(const configuration& value, std::string_view pool);

/// The targets that serve a pool.
/// \param value the configuration.
/// \param pool the model or service; empty means every target.
/// \return the targets in declared order, by name.
std::vector<target_info> targets_for(const configuration& value,
                                     std::string_view pool = {});

/// Finds the caller that owns a key. The time does not depend on which key
/// matches, nor on how much of one does.
/// \param value the configuration.
/// \param key the key as the caller sent it.
/// \return the caller, or null.
const caller_declaration* find_caller_by_key(const configuration& value,
                                             std::string_view key);

/// Finds the operator that owns a key, in the same manner.
/// \param value the configuration.
/// \param key the key as the operator sent it.
/// \return the operator, or null.
const operator_declaration* find_operator_by_key(const configuration& value,
                                                 std::string_view key);

/// Hashes bytes with SHA-256.
/// \param bytes the bytes.
/// \return 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view bytes);

}  // namespace fulmar
