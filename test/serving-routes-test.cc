#include "fulmarpitch/serving/routes.h"

#include <catch2/catch.hpp>

using namespace fulmar::serving;

namespace {

served_configuration sample() {
  return {
      .version = 3,
      .routes = {{.name = "wide", .host = "a.example", .path_prefix = "/x/"},
                 {.name = "narrow",
                  .host = "a.example",
                  .path_prefix = "/x/y/",
                  .shares = {{.service = "one", .weight = 90},
                             {.service = "two", .weight = 10}}},
                 {.name = "other", .host = "b.example", .path_prefix = "/x/"}}};
}

}  // namespace

TEST_CASE("a request matches the longest path prefix of its host") {
  struct expectation {
    const char* host;
    const char* path;
    const char* route;
  };
  auto it = GENERATE(values<expectation>({{"a.example", "/x/1", "wide"},
                                          {"a.example", "/x/y/1?q=2", "narrow"},
                                          {"b.example", "/x/y/1", "other"},
                                          {"c.example", "/x/1", nullptr},
                                          {"a.example", "/z/", nullptr},
                                          {"a.example", "/x", nullptr}}));
  auto in = sample();
  const auto* found = match_route(in, it.host, it.path);
  if (it.route == nullptr) {
    CHECK(found == nullptr);
  } else {
    REQUIRE(found != nullptr);
    CHECK(found->name == it.route);
  }
}

TEST_CASE("a route with several services splits requests by weight") {
  auto in = sample();
  auto ones = 0;
  for (auto key = 0U; key < 1000; ++key) {
    if (pick_service(in.routes[1], key) == "one") ++ones;
  }
  CHECK(ones == 900);
  CHECK(pick_service(in.routes[0], 7).empty());
}

TEST_CASE("a stream runs at most once unless it is resumable") {
  CHECK_FALSE(route{.kind = route_kind::stream}.repeatable());
  CHECK(route{.kind = route_kind::stream, .resumable = true}.repeatable());
  CHECK(route{.kind = route_kind::safe}.repeatable());
  CHECK_FALSE(route{.kind = route_kind::at_most_once}.repeatable());
}
