#pragma once

/// \file
/// The scenarios: parameters, the ways that are run, and what is concluded.

#include <functional>
#include <string>
#include <vector>

#include "fulmarpitch/model/ways.h"

namespace fulmar::model {

enum class deployment { maitokulku, lakeshore, design };

inline constexpr std::array<named<deployment>, 3> deployment_names{{
    {deployment::maitokulku, "maitokulku"},
    {deployment::lakeshore, "lakeshore"},
    {deployment::design, "design"},
}};

/// One way's figures in a scenario.
struct way_result {
  std::string name;
  run_figures figures;
};

/// A figure with the goal it is held against.
struct conclusion {
  std::string name;
  double value = 0;
  double goal = 0;
  bool is_at_most = true;
};

/// Whether the figure meets its goal.
bool is_met(const conclusion& it);

struct scenario_result {
  std::vector<way_result> ways;
  std::vector<conclusion> conclusions;
};

/// A scenario of the table.
struct scenario {
  std::string name;
  std::string summary;
  std::function<scenario_result(const world_options&)> run;
};

/// All scenarios.
const std::vector<scenario>& scenarios();

/// The parameters of a deployment, before a scenario changes them.
world_options options_for(deployment size, std::uint64_t seed);

}  // namespace fulmar::model
