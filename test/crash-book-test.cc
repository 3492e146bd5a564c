#include "fulmarpitch/serving/crash-book.h"

#include <catch2/catch.hpp>

using namespace fulmar::serving;

TEST_CASE("a content is told apart by method, path and body") {
  auto key = content_key("POST", "/a", "b");
  CHECK(key == content_key("POST", "/a", "b"));
  CHECK(key != content_key("PUT", "/a", "b"));
  CHECK(key != content_key("POST", "/a2", "b"));
  CHECK(key != content_key("POST", "/a", "b2"));
  CHECK(key != content_key("POST", "/ab", ""));
}
