#include "fulmarpitch/core/errors.h"

#include <catch2/catch.hpp>

using namespace fulmar;

TEST_CASE("every error code survives a round trip through a status") {
  for (const auto& [code, name] : error_code_names) {
    if (code == error_code::none) continue;
    for (const auto& [what, unused] : outcome_names) {
      auto status = make_error(code, "seen", what);
      CHECK_FALSE(status.ok());
      CHECK(code_of(status) == code);
      CHECK(outcome_of(status) == what);
      CHECK(http_status(code) >= 400);
    }
  }
  CHECK(make_error(error_code::none, "").ok());
}

TEST_CASE("a status made elsewhere has an unknown outcome") {
  auto status = absl::InternalError("other");
  CHECK(code_of(status) == error_code::internal);
  CHECK(outcome_of(status) == outcome::unknown);
}
