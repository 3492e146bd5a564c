#pragma once

/// \file
/// Keeps a copy of a table of the platform's store up to date, from the store
/// or from another daemon of the data centre.

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "front.h"

namespace fulmar::serving {

/// Delay after a failed call; store outages last seconds.
inline constexpr auto retry_delay = std::chrono::milliseconds(250);

/// Describes how a table is replicated.
struct table_follower {
  /// Name of the dependency in the log.
  std::string_view what;
  /// Reads the whole table.
  std::function<task<absl::StatusOr<row_page>>()> read_whole;
  std::string table;
  /// Long-poll time: the maximum wait for a change.
  instant poll_timeout{};
  /// Delay after each reply, to batch changes.
  instant batch_delay{};
  /// Applies the whole table or changes of it.
  std::function<void(const std::vector<stored_row>&, bool whole)> apply;
  /// Selects the rows to forward to the data centre; all if not set.
  std::function<std::vector<stored_row>(const std::vector<stored_row>&)>
      select_forwarded;
  /// Replication progress.
  feed_state* state = nullptr;
  /// Whether one daemon of the data centre reads the table for the others.
  bool shared = false;
};

/// Replicates a table for the lifetime of the process. During an outage the
/// last known rows stay in use; after a truncated change history the whole
/// table is read again.
task<void> follow(front& in, table_follower it);

/// Reads the newest changes of a replicated table from the store.
/// \param table name of the table.
/// \return whether the copy is as new as the call; false if the store did not
///     answer, or the table has not been read yet.
task<bool> refresh(front& in, std::string table);

}  // namespace fulmar::serving
