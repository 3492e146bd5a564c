#include "fulmarpitch/serving/quota.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

#include "fulmarpitch/serving/jobs.h"

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

quota_request job_of(std::uint64_t tokens) {
  return {.quota_counter = "a.example r",
          .tokens = tokens,
          .waiting = 0,
          .limit = 8'400'000,
          .daemons = 85};
}

/// Simulates daemons that accept jobs of one route in one part of the store.
/// Transactions run one at a time and take 5 ms; a round trip takes 70 ms.
struct store_part_model {
  static constexpr auto transaction = 5ms;
  static constexpr auto call = 70ms;

  struct attempt {
    instant sent{};
    std::uint64_t gate_seen = 0;
    std::uint32_t races = 0;
  };

  bool ordered = true;
  std::uint64_t quota_counter = 0;
  instant free_at{};

  /// Simulates `n` jobs that are submitted at the same time.
  /// \param max_races failed conditions after which a job is refused.
  /// \return the number of jobs accepted within 2 s.
  std::uint32_t keep(std::uint32_t n, std::uint32_t max_races) {
    auto waiting = std::vector<attempt>(n);
    auto kept = std::uint32_t{0};
    while (!waiting.empty()) {
      auto next = std::min_element(
          waiting.begin(), waiting.end(),
          [](const auto& a, const auto& b) { return a.sent < b.sent; });
      auto begun = std::max(next->sent, free_at);
      if (begun > 2s) break;
      free_at = begun + transaction;
      if (!ordered || next->gate_seen == quota_counter) {
        ++quota_counter;
        ++kept;
        waiting.erase(next);
      } else if (++next->races >= max_races) {
        waiting.erase(next);
      } else {
        // The response carries the current row.
        next->gate_seen = quota_counter;
        next->sent = free_at + call;
      }
    }
    return kept;
  }
};

}  // namespace

TEST_CASE("a job far below the limit does not need the quota counter") {
  auto jobs = uncounted_jobs();
  CHECK(fits_without_counter(jobs, job_of(23'000), 1s));

  SECTION("a route without a limit never needs it") {
    auto it = job_of(90'000'000);
    it.limit = 0;
    CHECK(fits_without_counter(jobs, it, 1s));
  }
  SECTION("the upper half of the limit needs it") {
    auto it = job_of(23'000);
    it.waiting = 4'180'000;
    CHECK_FALSE(fits_without_counter(jobs, it, 1s));
  }
  SECTION("a lowered limit needs it") {
    auto it = job_of(23'000);
    it.limit = 200'000;
    CHECK_FALSE(fits_without_counter(jobs, it, 1s));
  }
}

TEST_CASE("a daemon accepts at most its share before others learn of it") {
  auto jobs = uncounted_jobs();
  auto it = job_of(23'000);
  record_uncounted(jobs, it, 1s);
  CHECK(fits_without_counter(jobs, it, 1100ms));
  record_uncounted(jobs, it, 1100ms);
  CHECK_FALSE(fits_without_counter(jobs, it, 1200ms));

  SECTION("jobs of another route don't count") {
    it.quota_counter = "b.example r";
    CHECK(fits_without_counter(jobs, it, 1200ms));
  }
  SECTION("they count for 2 s") {
    CHECK(fits_without_counter(jobs, it, 3050ms));
  }
}

TEST_CASE("all daemons together stay below the limit") {
  auto accepted = std::uint64_t{0};
  for (auto daemon = 0; daemon < 85; ++daemon) {
    auto jobs = uncounted_jobs();
    for (auto it = 0; it < 100; ++it) {
      // The daemons do not know of each other's jobs.
      auto request = job_of(5'000 + it * 500);
      if (!fits_without_counter(jobs, request, 1s)) continue;
      record_uncounted(jobs, request, 1s);
      accepted += request.tokens;
    }
  }
  CHECK(accepted <= 8'400'000 / 2);
  CHECK(accepted > 8'400'000 / 4);
}

TEST_CASE("jobs submitted together after an outage are all accepted") {
  // 35 jobs wait for the store to recover: five per second of the outage.
  constexpr auto waiting = 35U;
  auto ordered = store_part_model();
  CHECK(ordered.keep(waiting, 8) < waiting);
  auto unordered = store_part_model{.ordered = false};
  CHECK(unordered.keep(waiting, 8) == waiting);
}

TEST_CASE(
    "an acceptance without the quota counter writes only the job's rows") {
  auto job = job_row{.id = "j", .host = "a.example", .route = "r", .items = 1};
  auto it = acceptance(job, std::nullopt, 300, "body", 3);
  REQUIRE(it.expected.size() == 1);
  CHECK(it.expected[0].name == job_row_name(job));
  CHECK(it.expected[0].version == 0);
  CHECK(it.writes.size() == 3);
  auto scope = quota_scope{.host = "a.example", .route = "r"};
  for (const auto& row : it.writes)
    CHECK_FALSE(row.name == quota_counter_row_name(scope));
}
