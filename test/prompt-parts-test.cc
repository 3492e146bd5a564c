#include "platform/prompt-parts.h"

#include <catch2/catch.hpp>

#include "fulmarpitch/core/text.h"

using namespace fulmar;
using namespace fulmar::platform;

namespace {

std::vector<std::string> parts_of(const std::string& value) {
  return shared_prompt_parts(
      {{.name = "fulmarpitch-prompt-prefix", .value = value}});
}

using parts = std::vector<std::string>;

}  // namespace

TEST_CASE("all parts of a prompt but the last are shared") {
  CHECK(parts_of("5c1e07a2:800,91bd3f06:410,e4402b7d:250") ==
        parts{"5c1e07a2", "91bd3f06"});
  CHECK(parts_of("5c1e07a2:800").empty());
  CHECK(parts_of("").empty());
  CHECK(shared_prompt_parts({}).empty());
}

TEST_CASE("an id is the same in any case and spacing, and counts once") {
  CHECK(parts_of(" 5C1E:800 , 5c1e:800,aB:1,ff:2") == parts{"5c1e", "ab"});
}

TEST_CASE("malformed parts are passed over") {
  CHECK(parts_of(",,:5,a,b:,c:1,") == parts{"a", "b", "c"});
}

TEST_CASE("the number of parts is bounded") {
  auto value = std::string();
  for (auto n = 0; n < 1000; ++n)
    value += concat("a", n, ":1,");
  CHECK(parts_of(value).size() == max_prompt_parts);
}
