#include "fulmarpitch/core/invariant.h"

#include "fulmarpitch/core/text.h"

namespace fulmar {

invariant_broken::invariant_broken(invariant which, const std::string& detail)
    : std::logic_error(concat("invariant ", name_in(invariant_names, which),
                              " is broken: ", detail)),
      which_(which) {}

}  // namespace fulmar
