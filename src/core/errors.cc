#include "fulmarpitch/core/errors.h"

#include <absl/strings/cord.h>

#include <string>

namespace fulmar {
namespace {

constexpr std::string_view code_url = "fulmarpitch/code";
constexpr std::string_view outcome_url = "fulmarpitch/outcome";

absl::StatusCode status_code(error_code code) {
  switch (code) {
    case error_code::none:
      return absl::StatusCode::kOk;
    case error_code::bad_request:
    case error_code::too_large:
    case error_code::key_reused:
    case error_code::quarantined:
      return absl::StatusCode::kInvalidArgument;
    case error_code::unauthorized:
      return absl::StatusCode::kUnauthenticated;
    case error_code::not_found:
      return absl::StatusCode::kNotFound;
    case error_code::conflict:
      return absl::StatusCode::kAborted;
    case error_code::cancelled:
      return absl::StatusCode::kCancelled;
    case error_code::rate_limited:
    case error_code::overloaded:
      return absl::StatusCode::kResourceExhausted;
    case error_code::deadline_exceeded:
      return absl::StatusCode::kDeadlineExceeded;
    case error_code::store_unavailable:
    case error_code::shutting_down:
      return absl::StatusCode::kUnavailable;
    case error_code::attempt_failed:
    case error_code::outcome_unknown:
    case error_code::internal:
      return absl::StatusCode::kInternal;
  }
  return absl::StatusCode::kInternal;
}

}  // namespace

absl::Status make_error(error_code code, std::string_view message,
                        outcome what) {
  auto status = absl::Status(status_code(code),
                             absl::string_view(message.data(), message.size()));
  if (status.ok()) return status;
  auto name = name_in(error_code_names, code);
  auto run = name_in(outcome_names, what);
  status.SetPayload({code_url.data(), code_url.size()},
                    absl::Cord(absl::string_view(name.data(), name.size())));
  status.SetPayload({outcome_url.data(), outcome_url.size()},
                    absl::Cord(absl::string_view(run.data(), run.size())));
  return status;
}

error_code code_of(const absl::Status& status) {
  if (status.ok()) return error_code::none;
  auto text = status.GetPayload({code_url.data(), code_url.size()});
  if (!text) return error_code::internal;
  auto code = value_in(error_code_names, std::string(*text));
  return code.value_or(error_code::internal);
}

outcome outcome_of(const absl::Status& status) {
  if (status.ok()) return outcome::ran;
  auto text = status.GetPayload({outcome_url.data(), outcome_url.size()});
  if (!text) return outcome::unknown;
  return value_in(outcome_names, std::string(*text)).value_or(outcome::unknown);
}

}  // namespace fulmar
