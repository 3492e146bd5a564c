#include "fulmarpitch/model/decision-cost.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>

#include "fulmarpitch/core/sequencer.h"
#include "fulmarpitch/core/text.h"

namespace fulmar::model {
namespace {

constexpr std::uint32_t targets = 55;
constexpr std::uint32_t callers = 30;
constexpr auto decisions = 2000;

submit_event make_submit(std::uint32_t n, std::mt19937_64& random) {
  auto prefix = random() % 500;
  auto item = work_item{.id = concat("request-", padded(n, 12)),
                        .caller = concat("caller-", random() % callers),
                        .class_name = concat("class-", random() % 3),
                        .prompt_tokens = 1000,
                        .max_tokens = 200,
                        .content_hash = random() | 1};
  for (std::uint64_t i = 0; i < 6; ++i)
    item.prefix_blocks.push_back(prefix * 100 + i);
  return {.item = std::move(item), .origin = "entry"};
}

// One slot is free at a time, so that a tick makes one decision.
double median_us(std::uint32_t queued, std::uint64_t seed) {
  auto random = std::mt19937_64(seed);
  auto under_test = sequencer({.pool = "pool"});
  auto now = instant(std::chrono::seconds(1));
  for (std::uint32_t n = 0; n < queued; ++n)
    under_test.apply(make_submit(n, random), now);
  for (std::uint32_t i = 0; i < targets; ++i)
    under_test.apply(
        target_event{{.name = target_name(i), .address = "h:1", .slots = 8}},
        now);
  auto admitted = under_test.tick(now);
  auto times = std::vector<double>();
  for (auto i = 0; i < decisions; ++i) {
    auto& last = std::get<admit_command>(
        admitted[random() % std::min<std::size_t>(admitted.size(), 400)]);
    now += std::chrono::milliseconds(1);
    under_test.apply(finished_event{.request_id = last.request_id,
                                    .attempt = last.attempt,
                                    .tokens_produced = 100},
                     now);
    under_test.apply(
        make_submit(queued + static_cast<std::uint32_t>(i), random), now);
    auto start = std::chrono::steady_clock::now();
    auto commands = under_test.tick(now);
    auto end = std::chrono::steady_clock::now();
    times.push_back(
        std::chrono::duration<double, std::micro>(end - start).count());
    if (commands.size() == 1) last = std::get<admit_command>(commands[0]);
  }
  auto middle = times.begin() + decisions / 2;
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

}  // namespace

std::vector<conclusion> measure_decisions(std::uint64_t seed) {
  auto small = median_us(1000, seed);
  auto middle = median_us(10'000, seed);
  auto large = median_us(1'000'000, seed);
  // log2(1,000,000) over log2(1,000).
  constexpr auto log_growth = 2.0;
  return {{"decision_us_1000", small, 5},
          {"decision_us_10000", middle, 5},
          {"decision_us_1000000", large, 5 * log_growth},
          {"growth_1000_to_1000000", large / small, log_growth}};
}

}  // namespace fulmar::model
