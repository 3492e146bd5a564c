#pragma once

/// \file
/// The table service and the object store in memory, with injected faults in
/// virtual time. Stands in for the platform in tests, in the stand-in server
/// and in the embedded daemon.

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/stores/stores.h"

namespace fulmar {

/// A window in which no call reaches the stores: `from` up to before `until`.
struct store_outage {
  instant from{};
  instant until{};
};

/// Which faults the stores inject. The default injects none.
struct store_fault_plan {
  std::uint64_t seed = 1;
  /// Chances of each call, in thousandths.
  std::uint32_t fail_before_per_mille = 0;
  std::uint32_t lose_reply_per_mille = 0;
  /// The caller sees a failure first, the write takes effect later.
  std::uint32_t late_effect_per_mille = 0;
  /// Bounds of the delay of each of a call's two ways.
  instant least_delay{};
  instant most_delay{};
  /// How long after the failed reply a late effect comes, at most.
  instant most_lateness = std::chrono::seconds(10);
  std::vector<store_outage> outages;
  /// Calls back before the call returns, without delay.
  bool synchronous = false;
};

/// How often each thing happened.
struct store_counts {
  std::uint64_t commits = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t reads = 0;
  std::uint64_t scans = 0;
  std::uint64_t puts = 0;
  std::uint64_t gets = 0;
  std::uint64_t lists = 0;
  std::uint64_t failed_before = 0;
  std::uint64_t replies_lost = 0;
  std::uint64_t late_effects = 0;
  std::uint64_t refused_in_outage = 0;

  /// \return the calls that write: transactions and object puts.
  std::uint64_t writes() const { return commits + puts; }
};

/// The data of both stores and the calls under way. Not for several threads.
struct memory_stores {
  std::map<std::string, table_row> rows;
  std::map<std::string, std::string> objects;
  /// Ids of the transactions that took effect.
  std::unordered_set<std::string> committed_ids;
  std::uint64_t last_version = 0;
  store_fault_plan plan;
  store_counts counts;
  std::mt19937_64 random;
  instant now{};
  /// Effects and replies that wait for their time.
  std::multimap<instant, std::function<void()>> scheduled;
};

/// Builds empty stores.
/// \param plan the faults to inject.
/// \return the shared state of both stores.
std::shared_ptr<memory_stores> make_memory_stores(store_fault_plan plan = {});

/// Drops the calls under way when it goes out of scope. Their callbacks hold
/// the stores that hold them, so a run that ends early must drop them.
class pending_calls_scope {
 public:
  explicit pending_calls_scope(std::shared_ptr<memory_stores> state);
  ~pending_calls_scope();
  pending_calls_scope(const pending_calls_scope&) = delete;
  pending_calls_scope& operator=(const pending_calls_scope&) = delete;

 private:
  std::shared_ptr<memory_stores> state_;
};

/// Gives the table service over the state.
/// \param state the shared state; the functions keep it alive.
/// \return the struct of functions.
table_store make_table_store(const std::shared_ptr<memory_stores>& state);

/// Gives the object store over the state.
/// \param state the shared state; the functions keep it alive.
/// \return the struct of functions.
object_store make_object_store(const std::shared_ptr<memory_stores>& state);

/// Runs every effect and reply that is due, also those that the callbacks
/// bring about and that are due at once.
/// \param state the stores.
/// \param now the time; never runs backwards.
/// \return how many effects and replies ran.
std::size_t deliver(memory_stores& state, instant now);

}  // namespace fulmar
