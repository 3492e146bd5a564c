#pragma once

/// \file
/// Group commit of results: one object and one transaction for each group.

#include <memory>
#include <string>

#include "fulmarpitch/state/recorder.h"

namespace fulmar::detail {

/// Results of a group at most; their ids fit into one index row.
inline constexpr std::size_t max_group_results = 2'000;
/// Bytes of a group's object at which no further result is added.
inline constexpr std::size_t max_group_bytes = std::size_t{4} * 1024 * 1024;
/// Minutes whose index rows fit into one transaction.
inline constexpr std::size_t max_group_minutes = max_transaction_rows - 2;

/// Writes results. A group is settled before the next one starts, so that the
/// groups of one recorder never wait for each other's numbers.
class result_writer {
 public:
  result_writer(platform_stores stores, recorder_options options);

  /// Takes a result, or another callback for one that is pending.
  void add(result_record record, callback<recorded> done);
  void tick(instant now);
  const result_record* find(const std::string& request_id) const;
  std::size_t size() const;
  std::size_t bytes() const;

  struct state;

 private:
  std::shared_ptr<state> state_;
};

}  // namespace fulmar::detail
