#pragma once

/// \file
/// Chooses the target of an online request, or holds the request.

#include <string>

#include "request.h"

namespace fulmar::serving {

/// \return this daemon's share of the slots that the last placement found in
///     this data centre.
double share_of_slots(const front& in, const online_request& it);

/// \return whether a target is listed that may run the request.
bool may_continue(const front& in, const online_request& it);

/// Chooses a target for a request.
/// \return the target's id; empty if no target should get the request.
std::string place(front& in, online_request& it);

/// Holds a late request until there is a slot that new requests do not need, or
/// until it may be held no longer.
/// \return the target's id; empty if the request is to be placed as others are.
task<std::string> hold(front& in, online_request& it);

}  // namespace fulmar::serving
