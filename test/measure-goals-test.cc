#include <catch2/catch.hpp>

#include "fulmarpitch/model/scenarios.h"

using namespace fulmar;
using namespace fulmar::model;

namespace {

// Holds a scenario against its goals at a size.
void check_goals(const std::string& name, deployment size, std::uint64_t seed) {
  for (const auto& it : scenarios()) {
    if (it.name != name) continue;
    auto result = it.run(options_for(size, seed));
    REQUIRE_FALSE(result.conclusions.empty());
    for (const auto& each : result.conclusions) {
      INFO(name << " " << name_in(deployment_names, size) << " seed " << seed);
      INFO(each.name << " " << each.value << " goal " << each.goal);
      CHECK(is_met(each));
    }
  }
}

}  // namespace

TEST_CASE("harm and idle meet all goals at once") {
  auto name = GENERATE(as<std::string>(), "harm", "idle");
  auto size = GENERATE(deployment::maitokulku, deployment::lakeshore,
                       deployment::design);
  check_goals(name, size, 1);
}
