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

TEST_CASE("a route leads to the services that have a weight") {
  auto it = route{.shares = {{"one", 3}, {"two", 0}}};
  CHECK(leads_to(it, "one"));
  CHECK_FALSE(leads_to(it, "two"));
  CHECK_FALSE(leads_to(it, "three"));
}

TEST_CASE("a configuration that moves resumable requests is recognised") {
  auto before = served_configuration{
      .routes = {{.name = "r", .resumable = true, .shares = {{"one", 3}}}}};
  auto next = before;
  CHECK_FALSE(moves_resumable_routes(before, next));
  SECTION("to another service") {
    next.routes[0].shares = {{"two", 3}};
  }
  SECTION("in other shares") {
    next.routes[0].shares = {{"one", 1}, {"two", 1}};
  }
  CHECK(moves_resumable_routes(before, next));
  before.routes[0].resumable = next.routes[0].resumable = false;
  CHECK_FALSE(moves_resumable_routes(before, next));
}
