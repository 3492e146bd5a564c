#include <catch2/catch.hpp>
#include <map>

#include "fulmarpitch/model/scenarios.h"
#include "goal-check.h"

using namespace fulmar;
using namespace fulmar::model;

TEST_CASE("an engine batches, caches prefixes and evicts the oldest") {
  auto it = engine{.slots = 2, .kv_limit = 100'000, .cache_limit = 2};
  start(it,
        {.request = 1,
         .prompt_tokens = 512,
         .output_tokens = 2,
         .blocks = {1, 2}},
        {});
  auto notes = std::vector<engine_note>();
  end_step(it, *it.step_end, notes);
  REQUIRE(notes.size() == 1);
  CHECK(notes[0].kind == note_kind::first_token);
  // One full chunk, no sequence that decodes.
  CHECK(notes[0].gap == instant(8000 + 512 * 30));
  end_step(it, *it.step_end, notes);
  CHECK(notes[1].kind == note_kind::done);
  CHECK_FALSE(it.step_end);
  start(it,
        {.request = 2,
         .prompt_tokens = 512,
         .output_tokens = 1,
         .blocks = {1, 2, 3}},
        {});
  CHECK(it.prompt_tokens_cached == 2ULL * prefix_block_tokens);
  end_step(it, *it.step_end, notes);
  CHECK(take_changes(it).removed == std::vector<std::uint64_t>{3});
}

TEST_CASE("the goals hold in the scenarios that keep them apart") {
  auto name =
      GENERATE(as<std::string>(), "prefix", "fairness", "overload", "poison",
               "lagging-load", "outage", "leaving", "owner-loss");
  auto size = GENERATE(deployment::maitokulku, deployment::lakeshore);
  check_goals(name, size, 11);
}

TEST_CASE("the preference trades online latency against batch") {
  auto options = options_for(deployment::lakeshore, 5);
  auto share = std::map<std::uint32_t, double>();
  auto ratio = std::map<std::uint32_t, double>();
  for (auto preference : {0U, 100U}) {
    options.batch_preference = preference;
    auto result = scenarios().front().run(options);
    for (const auto& it : result.conclusions) {
      if (it.name == "online_ttft_p99_ratio") ratio[preference] = it.value;
      if (it.name == "batch_share_of_idle") share[preference] = it.value;
      if (it.name == "give_way_ms") CHECK(is_met(it));
      if (it.name == "online_gap_p95_ms") CHECK(is_met(it));
    }
  }
  CHECK(ratio[0] < ratio[100]);
  CHECK(share[0] < share[100]);
}
