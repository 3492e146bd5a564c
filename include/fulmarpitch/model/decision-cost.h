#pragma once

/// \file
/// The real time that one decision takes.

#include <cstdint>
#include <vector>

#include "fulmarpitch/model/scenarios.h"

namespace fulmar::model {

/// Times decisions with 1,000 to 1,000,000 requests queued and 55 targets.
/// \return the medians in microseconds and their growth.
std::vector<conclusion> measure_decisions(std::uint64_t seed);

}  // namespace fulmar::model
