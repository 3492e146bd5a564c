#pragma once

/// \file
/// Stores in memory with virtual time, for tests.

#include <memory>
#include <string>
#include <utility>

#include "fulmarpitch/state/results.h"
#include "fulmarpitch/stores/memory-stores.h"

namespace fulmar {

/// One set of stores and the things that run over it.
struct store_bench {
  static constexpr auto tick_length = instant(std::chrono::milliseconds(10));

  explicit store_bench(store_fault_plan plan = {})
      : memory(make_memory_stores(std::move(plan))),
        stores{make_table_store(memory), make_object_store(memory)} {}

  /// Lets time pass and ticks everything that is given.
  template <typename... Parts>
  void run(instant length, Parts&... parts) {
    for (const auto end = now + length; now < end; now += tick_length) {
      deliver(*memory, now);
      (parts.tick(now), ...);
    }
  }

  /// Makes a call and lets its reply arrive.
  template <typename T, typename Call>
  absl::StatusOr<T> wait_for(Call call) {
    auto out = std::make_shared<absl::StatusOr<T>>();
    call(callback<T>([out](absl::StatusOr<T> it) { *out = std::move(it); }));
    run(std::chrono::seconds(1));
    return *out;
  }

  absl::StatusOr<result_record> find(const std::string& id) {
    return wait_for<result_record>(
        [&](auto done) { find_result(stores, id, std::move(done)); });
  }

  std::shared_ptr<memory_stores> memory;
  platform_stores stores;
  instant now{};
};

}  // namespace fulmar
