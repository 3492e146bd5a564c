#include "fulmarpitch/teams/caller.h"

#include <catch2/catch.hpp>

using namespace fulmar::teams;

namespace {

constexpr std::uint64_t version = 7;

team_directory two_teams() {
  auto out = team_directory{.requires_keys = true};
  add_team(out, {.name = "north"}, {"key-n1", "key-n2"});
  add_team(out, {.name = "south"}, {"key-s1", "key-n1", ""});
  return out;
}

caller_claim of_daemon(std::string team, std::uint64_t configuration) {
  return {.checked = checked_caller{.team = std::move(team),
                                    .configuration = configuration}};
}

}  // namespace

TEST_CASE("each key of a team names it") {
  auto teams = two_teams();
  for (const auto* key : {"key-n1", "key-n2"}) {
    auto it = find_caller(teams, version, {.key = key}, false);
    CHECK(it.state == caller_state::known);
    REQUIRE(it.by != nullptr);
    CHECK(it.by->name == "north");
  }
  CHECK(find_caller(teams, version, {.key = "key-s1"}, false).by->name ==
        "south");
}

TEST_CASE("a key that no team holds is unknown, and so is none") {
  auto teams = two_teams();
  for (const auto* key : {"", "key", "key-n11", "KEY-N1", "north"}) {
    CAPTURE(key);
    auto it = find_caller(teams, version, {.key = key}, false);
    CHECK(it.state == caller_state::unknown);
    CHECK(it.by == nullptr);
  }
}

TEST_CASE("a public route belongs to no team, whatever the key") {
  auto teams = two_teams();
  for (const auto* key : {"", "key-n1", "wrong"}) {
    auto it = find_caller(teams, version, {.key = key}, true);
    CHECK(it.state == caller_state::open);
    CHECK(it.by == nullptr);
  }
}

TEST_CASE("without teams callers are not told apart") {
  auto it = find_caller({}, version, {.key = "key-n1"}, false);
  CHECK(it.state == caller_state::unchecked);
  CHECK(it.by == nullptr);
  auto none = team_directory{.requires_keys = true};
  CHECK(find_caller(none, version, {.key = "key-n1"}, false).state ==
        caller_state::unknown);
}

TEST_CASE("another daemon names the team that it found") {
  auto teams = two_teams();
  auto it = find_caller(teams, version, of_daemon("south", version), false);
  CHECK(it.state == caller_state::known);
  CHECK(it.by->name == "south");
  SECTION("also from an older configuration, if the team is still there") {
    CHECK(find_caller(teams, version, of_daemon("south", 3), false).by->name ==
          "south");
    CHECK(find_caller(teams, version, of_daemon("gone", 3), false).state ==
          caller_state::unknown);
  }
  SECTION("but not from a newer one, which may have another team") {
    for (const auto* team : {"south", "new", ""}) {
      CHECK(find_caller(teams, version, of_daemon(team, version + 1), true)
                .state == caller_state::unknown);
    }
  }
  SECTION("or that there was none") {
    CHECK(find_caller(teams, version, of_daemon("", version), false).state ==
          caller_state::open);
  }
  SECTION("on a host that also takes calls without a key") {
    CHECK(find_caller(teams, version, of_daemon("south", version), true).by !=
          nullptr);
  }
}

TEST_CASE("a job is its team's, and one without a team is everybody's") {
  auto teams = two_teams();
  auto caller = [&](const char* key, bool is_public) {
    auto it = find_caller(teams, version, {.key = key}, is_public);
    return job_caller_of(it, version);
  };
  auto north = caller("key-n2", false);
  CHECK(north.team == "north");
  CHECK(north.configuration == version);
  CHECK(may_use_job(north, "north"));
  CHECK_FALSE(may_use_job(north, "south"));
  CHECK(may_use_job(north, ""));
  auto nobody = caller("", true);
  CHECK_FALSE(may_use_job(nobody, "north"));
  CHECK(may_use_job(nobody, ""));
  auto unchecked = job_caller_of(find_caller({}, version, {}, false), version);
  CHECK(may_use_job(unchecked, "north"));
  CHECK(may_use_job(unchecked, ""));
}
