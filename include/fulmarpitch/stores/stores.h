#pragma once

/// \file
/// The platform's table service and object store, as plain structs of
/// functions. docs/PLATFORM.md states what the project assumes of them.

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fulmar {

/// Receives the result of a call, once, on the thread that made the call.
template <typename T>
using callback = std::function<void(absl::StatusOr<T>)>;

/// A row of the table service.
struct table_row {
  std::string key;
  std::string value;
  /// Grows with each write of the row; an absent row has version 0.
  std::uint64_t version = 0;
};

/// Holds while a row has exactly this version; 0 demands that it is absent.
struct row_condition {
  std::string key;
  std::uint64_t version = 0;
};

/// Replaces a row, or deletes it when there is no value.
struct row_write {
  std::string key;
  std::optional<std::string> value;
};

/// At most this many conditions plus writes stand in one transaction.
inline constexpr std::size_t max_transaction_rows = 64;

/// At most this many bytes stand in one row's value.
inline constexpr std::size_t max_row_bytes = std::size_t{64} * 1024;

/// Writes that take effect together, or not at all.
struct table_transaction {
  /// Names the write; the same id never takes effect twice.
  std::string id;
  std::vector<row_condition> conditions;
  std::vector<row_write> writes;
};

/// How a transaction ended.
struct commit_result {
  bool committed = false;
  /// Keys whose conditions did not hold; empty when committed.
  std::vector<std::string> conflicts;
};

/// The table service. A failed call may have taken effect: send the same
/// transaction again, with the same id, to learn which.
struct table_store {
  std::function<void(table_transaction, callback<commit_result>)> commit;
  std::function<void(std::string key, callback<table_row>)> read;
  /// Rows whose keys begin with `prefix` and sort after `after`.
  std::function<void(std::string prefix, std::string after, std::size_t limit,
                     callback<std::vector<table_row>>)>
      scan;
};

/// The object store: objects are written once and never changed.
struct object_store {
  /// Gives true when this call, or an earlier one with the same bytes, wrote
  /// the object; false when the name holds other bytes.
  std::function<void(std::string name, std::string bytes, callback<bool>)>
      put_if_absent;
  std::function<void(std::string name, callback<std::string>)> get;
  /// Names that begin with `prefix` and sort after `after`.
  std::function<void(std::string prefix, std::string after, std::size_t limit,
                     callback<std::vector<std::string>>)>
      list;
};

}  // namespace fulmar
