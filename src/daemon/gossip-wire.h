#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "fulmarpitch/core/membership.h"

namespace fulmar {

std::string encode_gossip(const membership_message& from);

/// \return nothing for bytes that are no valid datagram.
std::optional<membership_message> decode_gossip(std::string_view bytes);

}  // namespace fulmar
