#pragma once

/// \file
/// Failures as `absl::Status` values that carry their `error_code`.

#include <absl/status/status.h>

#include <string_view>

#include "fulmarpitch/core/types.h"

namespace fulmar {

/// Builds a status that carries an error code and an outcome.
/// \param code the failure; `none` gives an OK status.
/// \param message a sentence for a person.
/// \param what whether the request ran.
/// \return the status.
absl::Status make_error(error_code code, std::string_view message,
                        outcome what = outcome::not_run);

/// Reads the error code of a status.
/// \param status any status.
/// \return its code; `internal` for a failure made elsewhere.
error_code code_of(const absl::Status& status);

/// Reads the outcome of a status.
/// \param status any status.
/// \return its outcome; `unknown` for a failure made elsewhere.
outcome outcome_of(const absl::Status& status);

}  // namespace fulmar
