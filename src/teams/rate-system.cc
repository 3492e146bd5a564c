#include "rate-system.h"

namespace fulmar::teams {

std::optional<instant> admit_request(serving::front& /*in*/,
                                     const team& /*by*/) {
  return std::nullopt;
}

}  // namespace fulmar::teams
