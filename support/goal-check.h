#pragma once

/// \file
/// Holds the scenarios' figures against their stated goals.

#include <catch2/catch.hpp>
#include <string>

#include "fulmarpitch/model/scenarios.h"

namespace fulmar::model {

/// Holds a scenario against its goals at a size.
/// \param name the scenario's name.
/// \param size the deployment.
/// \param seed the run's seed.
inline void check_goals(const std::string& name, deployment size,
                        std::uint64_t seed) {
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

}  // namespace fulmar::model
