#pragma once

/// \file
/// The cases. Each returns 1 if a rule was broken, 0 if it held, and 2 if the
/// case could not run.

#include "stage.h"

namespace review {

/// The only runner of one service is lost for good; jobs of another service.
task<int> lost_service(stage& at, bool trouble);

/// Items whose prompts a sound runner reads for longer than a second.
task<int> long_prompts(stage& at, bool trouble);

/// An item whose header's value holds another request.
task<int> smuggled_request(stage& at, bool trouble);

/// The last runner of an older version starts again with the newer one.
task<int> upgraded_in_place(stage& at, bool trouble);

/// The connections of a job's owner to the store fall silent; new ones work.
task<int> silent_store(stage& at, bool trouble);

}  // namespace review
