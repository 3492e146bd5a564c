#pragma once

/// \file
/// Holds the teams' requests to their rates, at all daemons together.

#include <optional>

#include "fulmarpitch/teams/team.h"
#include "src/serving/front.h"

namespace fulmar::teams {

/// Counts a request of a team against its rate.
/// \param by the team; must stay valid during the call only.
/// \return nothing if the request may run; else after which time its client may
///     return.
std::optional<instant> admit_request(serving::front& in, const team& by);

}  // namespace fulmar::teams
