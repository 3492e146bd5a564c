#pragma once

/// \file
/// Forwards job calls to another daemon when this one can't reach the
/// platform's store or is shutting down.

#include <memory>
#include <optional>

#include "front.h"

namespace fulmar::serving {

/// Result of forwarding a call.
struct forwarded_call {
  /// Whether the other daemon may have processed the call.
  bool sent = false;
  std::optional<http_response> answer;
};

/// Forwards a client's call to a daemon that reaches the store. A call that was
/// already forwarded by another daemon is not forwarded again.
/// \param caller who sent it; goes along in place of the client's key.
/// \return the result; a server error (5xx) of the other daemon counts as no
///     response.
task<forwarded_call> forward_call(front& in,
                                  std::shared_ptr<http_exchange> client,
                                  teams::job_caller caller);

/// Forwards an idempotent call and relays the response to the client.
/// \return whether the client has been answered.
task<bool> try_forward(front& in, std::shared_ptr<http_exchange> client,
                       teams::job_caller caller);

/// Forwards a call if this daemon has lost the store.
/// \return whether the client has been answered.
task<bool> forward_if_store_lost(front& in,
                                 std::shared_ptr<http_exchange> client,
                                 teams::job_caller caller);

}  // namespace fulmar::serving
