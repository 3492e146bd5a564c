#pragma once

/// \file
/// Forwards the answer of a target to the client of an online request.

#include "request.h"
#include "src/serving/attempt.h"

namespace fulmar::serving {

/// How an attempt to serve a request at one target ended.
enum class serve_outcome { answered, not_run, broken };

/// Records what a failed attempt shows of its target.
void note_evidence(front& in, online_request& it, target_evidence evidence);

/// Forwards an answer whose head has arrived.
/// \param link the connection to the target.
/// \param entry the attempt in flight.
task<serve_outcome> forward_answer(front& in, online_request& it,
                                   http_link& link, const answer_head& head,
                                   live_attempt& entry);

}  // namespace fulmar::serving
