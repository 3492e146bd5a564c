#pragma once

#include <string>
#include <string_view>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/net/peer_generated.h"

namespace fulmar {

wire::workT to_wire(const work_item& from);
work_item from_wire(const wire::workT& from);

/// The JSON body of a failure.
std::string error_body(error_code code, outcome what, std::string_view message);

/// A sentence for a person about a failure.
std::string_view failure_message(error_code code);

}  // namespace fulmar
