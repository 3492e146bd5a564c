#pragma once

/// \file
/// Interface of the platform's store: tables of rows, partitioned into parts,
/// and objects. It consists of plain functions, so that tests can supply an
/// in-memory store.

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "fulmarpitch/net/coroutine.h"
#include "fulmarpitch/serving/store-limits.h"

namespace fulmar::serving {

/// Key of one row.
struct row_name {
  std::string table;
  /// Partition; a transaction covers rows of one part. May be empty.
  std::string part;
  std::string key;

  bool operator==(const row_name&) const = default;
};

struct stored_row {
  row_name name;
  std::string value;
  /// Increases with each write; 0 for a row that does not exist.
  std::uint64_t version = 0;
  /// Set in change lists when the row was removed.
  bool removed = false;
};

/// A consistent snapshot of rows.
struct row_page {
  std::vector<stored_row> rows;
  /// More rows follow the last one.
  bool truncated = false;
  /// The newest version of any row in the snapshot.
  std::uint64_t version = 0;
  /// Time of the store's steady clock.
  instant now{};
};

/// Rows of one part whose keys lie in [from, to); an empty `to` has no end.
struct row_range {
  std::string table;
  std::string part;
  std::string from;
  std::string to;
  std::uint32_t limit = 500;
};

/// Condition that a row has exactly this version; 0 requires its absence.
struct expected_version {
  row_name name;
  std::uint64_t version = 0;
};

struct written_row {
  row_name name;
  std::string value;
};

/// Changes to one part that are applied atomically.
struct row_transaction {
  std::vector<expected_version> expected;
  std::vector<written_row> writes;
  std::vector<row_name> removals;
};

/// \return the conditions, writes and removals of a transaction.
std::size_t entries_of(const row_transaction& it);

/// \return the size of a transaction in its encoded form, in bytes; a little
///     too high, unless characters of names have to be escaped.
std::size_t encoded_size(const row_transaction& it);

/// \return whether a transaction may take one more row.
bool has_room(const row_transaction& it, const written_row& next,
              const store_limits& limits);

/// Checks a transaction against the limits of the store.
/// \return `too_large` or `bad_request` if the store would refuse it.
absl::Status check_limits(const row_transaction& it,
                          const store_limits& limits);

/// \return whether the store refuses a call in the same way however often it
///     is made.
bool is_refusal(const absl::Status& it);

/// Outcome of a transaction.
struct transaction_result {
  bool committed = false;
  /// When not committed: the rows whose condition failed, as they are now.
  std::vector<stored_row> current;
  /// When committed: the version of the written rows.
  std::uint64_t version = 0;
  instant now{};
};

/// Operations of the store. They fail with `store_unavailable`; the outcome is
/// `not_run` when the store did nothing, and `unknown` when the operation may
/// have taken effect or may still do so seconds later. `bad_request` and
/// `too_large` mean that the store refuses the call. `not_found` from `changes`
/// means that the change history was truncated.
struct row_store {
  std::function<task<absl::StatusOr<row_page>>(row_range)> read;
  /// Waits up to `wait` for changes to a table after a version.
  std::function<task<absl::StatusOr<row_page>>(
      std::string table, std::uint64_t after, instant wait)>
      changes;
  /// Lists the parts of a table.
  std::function<task<absl::StatusOr<std::vector<std::string>>>(
      std::string table)>
      parts;
  std::function<task<absl::StatusOr<transaction_result>>(row_transaction)>
      commit;
  /// Writes an object; does nothing if the name already exists.
  std::function<task<absl::Status>(std::string name, std::string bytes)>
      put_object;
  std::function<task<absl::StatusOr<std::string>>(std::string name)> get_object;
  /// Removes an object; does nothing if there is none.
  std::function<task<absl::Status>(std::string name)> drop_object;
};

}  // namespace fulmar::serving
