#pragma once

/// \file
/// The queue of one class: callers share by virtual tokens, the requests of a
/// caller are ordered by arrival, or by due time for batch work.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "fulmarpitch/core/choice.h"
#include "fulmarpitch/core/types.h"

namespace fulmar {

/// Index of a request in the sequencer's table.
using row_id = std::uint32_t;

/// Index of a caller within its class.
using caller_id = std::uint32_t;

/// A request in a caller's queue, in order of service.
struct queue_entry {
  /// Zero for work that is not ordered by due time.
  instant deadline{};
  std::uint64_t arrival_number = 0;
  row_id row = 0;

  bool operator==(const queue_entry&) const = default;
  bool operator<(const queue_entry& other) const {
    return std::tie(deadline, arrival_number, row) <
           std::tie(other.deadline, other.arrival_number, other.row);
  }
};

/// A caller of a class.
struct caller_row {
  std::string name;
  std::uint32_t weight = 1;
  std::uint32_t concurrency = 0;
  std::uint32_t running = 0;
  std::int64_t virtual_tokens = 0;
  /// Tokens charged that do not yet make up a whole virtual token.
  std::int64_t remainder = 0;
  /// Work queued, in microseconds of one slot.
  std::int64_t queued_us = 0;
  bool listed = false;
  /// Requests that its concurrency lets it run now.
  std::size_t servable = 0;
  std::set<queue_entry> entries;
};

/// The queue of one class.
class class_queue {
 public:
  explicit class_queue(work_kind kind) : kind_(kind) {}

  /// Finds a caller, and adds it when it is new.
  caller_id caller(const std::string& name);

  /// Sets the limits of a caller.
  /// \param weight its share against its neighbours; at least 1.
  /// \param concurrency most requests it may run at once; 0 for no limit.
  void set_limits(caller_id caller, std::uint32_t weight,
                  std::uint32_t concurrency);

  /// \param work_us the expected work, in microseconds of one slot.
  void push(caller_id caller, queue_entry entry, std::int64_t work_us);
  void erase(caller_id caller, queue_entry entry, std::int64_t work_us);

  /// Takes a request out to run it: removes it from its queue, charges its
  /// tokens and counts it as running.
  void take(caller_id caller, queue_entry entry, std::int64_t work_us,
            std::int64_t tokens);

  /// Charges tokens to a caller; a negative number corrects a charge.
  void charge(caller_id caller, std::int64_t tokens);

  /// Counts a request in or out of a caller's running ones.
  void add_running(caller_id caller, std::int32_t change);

  /// Bounds the time until a new request of a caller is served.
  /// \return queued work before it, in microseconds of one slot.
  std::int64_t work_ahead_us(caller_id caller) const;

  /// \param limit most callers to list.
  /// \return the rows at the heads of the callers' queues, next one first.
  std::vector<row_id> heads(std::size_t limit) const;

  const caller_row& at(caller_id caller) const { return callers_[caller]; }
  work_kind kind() const { return kind_; }
  std::size_t size() const { return size_; }
  /// Queued requests that no concurrency limit holds back.
  std::size_t servable() const { return servable_; }
  bool can_serve() const { return !active_.empty(); }
  std::int64_t work_us() const { return work_us_; }

 private:
  using active_key = std::tuple<std::int64_t, queue_entry, caller_id>;

  void remove(caller_row& it, queue_entry entry, std::int64_t work_us);
  static void add_tokens(caller_row& it, std::int64_t tokens);
  active_key key_of(caller_id caller) const;
  void unlist(caller_id caller);
  void list(caller_id caller, bool returns);

  work_kind kind_;
  std::vector<caller_row> callers_;
  absl::flat_hash_map<std::string, caller_id> by_name_;
  std::set<active_key> active_;
  std::int64_t floor_ = 0;
  std::int64_t work_us_ = 0;
  std::int64_t weight_ = 0;
  std::size_t size_ = 0;
  std::size_t servable_ = 0;
};

}  // namespace fulmar
