#include "fulmarpitch/teams/key-changes.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace fulmar::teams;

namespace {

team_directory teams_of(const std::vector<std::string>& north,
                        const std::vector<std::string>& south) {
  auto out = team_directory{.requires_keys = true};
  add_team(out, {.name = "north"}, north);
  add_team(out, {.name = "south"}, south);
  return out;
}

}  // namespace

TEST_CASE("keys that are added, removed and moved are listed once") {
  auto before = teams_of({"n1", "n2", "n3"}, {"s1"});
  auto next = teams_of({"n1", "n4"}, {"s1", "n3"});
  auto all = changes_of_keys(before, next);
  REQUIRE(all.size() == 3);
  auto has = [&](key_event event, const char* team, const char* key) {
    return std::count_if(all.begin(), all.end(), [&](const auto& it) {
             return it.event == event && it.team == team &&
                    it.key_digest == digest_of_key(key);
           }) == 1;
  };
  CHECK(has(key_event::added, "north", "n4"));
  CHECK(has(key_event::removed, "north", "n2"));
  CHECK(has(key_event::moved, "south", "n3"));
}

TEST_CASE("the same keys are no change, whatever the order of teams") {
  auto before = teams_of({"n1"}, {"s1"});
  auto next = team_directory{.requires_keys = true};
  add_team(next, {.name = "south"}, {"s1"});
  add_team(next, {.name = "north"}, {"n1"});
  CHECK(changes_of_keys(before, next).empty());
  CHECK(changes_of_keys(before, {}).size() == 2);
}

TEST_CASE("a digest names a key and does not hold it") {
  CHECK(digest_of_key("abc") == "ba7816bf8f01cfea");
  CHECK(digest_of_key("abc") != digest_of_key("abd"));
  auto key = std::string("north-1234567890");
  CHECK(digest_of_key(key).find("1234") == std::string::npos);
}
