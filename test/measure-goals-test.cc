#include <catch2/catch.hpp>

#include "fulmarpitch/model/scenarios.h"
#include "goal-check.h"

using namespace fulmar;
using namespace fulmar::model;

TEST_CASE("harm and idle meet all goals at once") {
  auto name = GENERATE(as<std::string>(), "harm", "idle");
  auto size = GENERATE(deployment::maitokulku, deployment::lakeshore,
                       deployment::design);
  check_goals(name, size, 1);
}
