#pragma once

/// \file
/// Follows a table of the platform's store, read by this daemon or by another
/// one of the data centre.

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "front.h"

namespace fulmar::serving {

/// Pause after a failed call; the store's outages last seconds.
inline constexpr auto retry_pause = std::chrono::milliseconds(250);

/// How a table is followed.
struct table_follower {
  /// Names the dependency in the log.
  std::string_view what;
  /// Reads the whole table.
  std::function<task<absl::StatusOr<row_page>>()> read_whole;
  std::string table;
  /// Longest wait for a change.
  instant wait{};
  /// Pause after each answer, in which changes gather.
  instant gather{};
  /// Takes the whole table, or what changed in it.
  std::function<void(const std::vector<stored_row>&, bool whole)> take;
  /// Picks the rows of an answer that the data centre should hear of; all when
  /// not set.
  std::function<std::vector<stored_row>(const std::vector<stored_row>&)> news;
  /// How far the table is known.
  feed_state* state = nullptr;
  /// One daemon of the data centre reads it for the others.
  bool shared = false;
};

/// Follows a table for as long as the process lives. An outage leaves what is
/// known in force; a dropped history has the table read anew.
/// \param in the daemon.
/// \param it how the table is followed.
task<void> follow(front& in, table_follower it);

}  // namespace fulmar::serving
