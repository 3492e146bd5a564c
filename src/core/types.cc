#include "fulmarpitch/core/types.h"

namespace fulmar {

int http_status(error_code code) {
  switch (code) {
    case error_code::none:
      return 200;
    case error_code::bad_request:
      return 400;
    case error_code::unauthorized:
      return 401;
    case error_code::not_found:
      return 404;
    case error_code::conflict:
    case error_code::cancelled:
      return 409;
    case error_code::too_large:
      return 413;
    case error_code::key_reused:
    case error_code::quarantined:
      return 422;
    case error_code::rate_limited:
      return 429;
    case error_code::attempt_failed:
    case error_code::outcome_unknown:
      return 502;
    case error_code::overloaded:
    case error_code::store_unavailable:
    case error_code::shutting_down:
      return 503;
    case error_code::deadline_exceeded:
      return 504;
    case error_code::internal:
      return 500;
  }
  return 500;
}

}  // namespace fulmar
