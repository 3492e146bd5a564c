#include "fulmarpitch/teams/refusals.h"

#include <catch2/catch.hpp>

using namespace fulmar;
using namespace fulmar::teams;
using namespace std::chrono_literals;

TEST_CASE("refusals are counted by reason, and few of them logged") {
  auto it = refusal_counts();
  auto lines = 0;
  auto logged = std::uint64_t{0};
  for (auto now = instant(50s); now < instant(60s); now += 1ms) {
    auto due = count_refusal(it, refusal_reason::over_rate, now);
    if (!due) continue;
    ++lines;
    logged += *due;
  }
  CHECK(lines == 100);
  CHECK(logged == 9901);
  CHECK(it[static_cast<std::size_t>(refusal_reason::over_rate)].all == 10'000);
  CHECK(it[static_cast<std::size_t>(refusal_reason::over_rate)].unlogged == 99);
}

TEST_CASE("refusals for one reason do not hide those for another") {
  auto it = refusal_counts();
  CHECK(count_refusal(it, refusal_reason::over_rate, 50s) == 1);
  CHECK_FALSE(count_refusal(it, refusal_reason::over_rate, 50s));
  CHECK(count_refusal(it, refusal_reason::unknown_key, 50s) == 1);
  CHECK(count_refusal(it, refusal_reason::over_rate, 51s) == 2);
}
