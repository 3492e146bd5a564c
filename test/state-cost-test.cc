#include <catch2/catch.hpp>
#include <iostream>

#include "fulmarpitch/core/text.h"
#include "fulmarpitch/state/chunk-lease.h"
#include "fulmarpitch/state/recorder.h"
#include "store-bench.h"

namespace {

using namespace fulmar;
using namespace std::chrono_literals;

/// What the stores may be asked for at load, from the stated goals.
constexpr double most_writes_per_1000_requests = 20;
constexpr double most_writes_per_1000_items = 10;

/// One data centre's share of 4,000 requests a second over 11 data centres.
constexpr std::uint64_t requests_per_second = 364;
constexpr std::uint64_t seconds_of_load = 60;

store_fault_plan store_delays() {
  return {.least_delay = 2ms, .most_delay = 20ms};
}

double per_1000(std::uint64_t writes, std::uint64_t of) {
  return 1000.0 * static_cast<double>(writes) / static_cast<double>(of);
}

/// Records the load of one data centre, with a claim for some requests.
double request_writes(std::uint64_t claims_per_100) {
  auto it = store_bench(store_delays());
  auto writer = recorder(it.stores, {.data_centre = "dc-1", .name = "a"});
  auto done = std::uint64_t{0};
  auto n = std::uint64_t{0};
  constexpr auto total = requests_per_second * seconds_of_load;
  while (n < total) {
    it.run(store_bench::tick_length, writer);
    const auto due = static_cast<std::uint64_t>(it.now.count()) *
                     requests_per_second / 1'000'000;
    for (; n < std::min(due, total); ++n) {
      const auto id = make_request_id("dc-1", it.now, n);
      REQUIRE(writer
                  .record({.request_id = id, .body = std::string(2048, 'x')},
                          [&done](const auto&) { ++done; })
                  .ok());
      if (n % 100 >= claims_per_100) continue;
      REQUIRE(writer.claim({.subject = id, .claimant = "a"}, [](const auto&) {})
                  .ok());
    }
  }
  it.run(10s, writer);
  REQUIRE(done == total);
  REQUIRE(writer.load().claims == 0);
  return per_1000(it.memory->counts.writes(), total);
}

TEST_CASE("store writes for online requests at load") {
  const auto ordinary = request_writes(0);
  const auto mixed = request_writes(10);
  const auto claimed = request_writes(100);
  std::cout << "store writes per 1000 requests: " << ordinary
            << ", with a claim for 10 in 100: " << mixed
            << ", with a claim for each: " << claimed << '\n';
  CHECK(ordinary <= most_writes_per_1000_requests);
  CHECK(mixed <= most_writes_per_1000_requests);
}

/// Uploads a file, runs its job with items that take a minute a chunk, and
/// reads the files.
double item_writes(std::uint64_t items) {
  auto it = store_bench(store_delays());
  auto upload = file_upload(it.stores, {.file_id = "f", .caller = "c"});
  for (std::uint64_t n = 0; n < items; ++n) {
    REQUIRE(upload.feed(concat(R"({"custom_id":")", n, R"(","body":{}})", '\n'))
                .ok());
    if (!upload.ready()) it.run(50ms, upload);
  }
  auto file = absl::StatusOr<file_info>();
  upload.finish(it.now, [&file](const auto& out) { file = out; });
  it.run(1s, upload);
  auto created = it.wait_for<job_created>([&](auto done) {
    create_job(it.stores, {.file = *file, .transaction_id = "t"}, done);
  });
  REQUIRE(created.ok());
  const auto options = chunk_options{.holder = "vm"};
  auto finder = chunk_finder(it.stores, options);
  while (true) {
    const auto found =
        *it.wait_for<std::optional<chunk_candidate>>([&](auto done) {
          finder.next_chunk(
              it.now, [](const auto&) { return true; }, done);
        });
    if (!found) break;
    auto holder = chunk_holder(it.stores, options, *found, it.now);
    it.run(60s, holder);
    auto results = std::vector<item_result>();
    for (const auto& item : *holder.items()) {
      results.push_back({.custom_id = item.custom_id, .line = "{}"});
    }
    holder.finish(results);
    it.run(1s, holder);
    REQUIRE(holder.current() == lease_state::committed);
  }
  return per_1000(it.memory->counts.writes(), items);
}

TEST_CASE("store writes for batch items") {
  const auto writes = item_writes(20'000);
  std::cout << "store writes per 1000 items: " << writes << '\n';
  CHECK(writes <= most_writes_per_1000_items);
}

}  // namespace
