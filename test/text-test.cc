#include "fulmarpitch/core/text.h"

#include <catch2/catch.hpp>

using namespace fulmar;

TEST_CASE("texts and numbers are joined") {
  CHECK(concat("a", std::string("b"), std::string_view("c"), 4, 'd') ==
        "abc4d");
  CHECK(padded(42, 5) == "00042");
  CHECK(padded(123456, 3) == "123456");
  CHECK(hex(0xabcULL) == "0000000000000abc");
}
