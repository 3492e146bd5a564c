// End-to-end tests over loopback of batch jobs that belong to teams.

#include <catch2/catch.hpp>

#include "team-fixture.h"

using namespace fulmar;
using namespace fulmar::serving_test;

namespace {

http_request item_request(const std::string& job) {
  return {.target = concat("/v1/items/", job, "?id=i1")};
}

http_request end_request(const std::string& job) {
  return {.method = "DELETE", .target = concat("/v1/lots/", job)};
}

/// A target that answers nothing, so that items stay open.
scripted_answer silence(const std::string& /*head*/) {
  return {.silent = true};
}

std::size_t count_in(const fixture& it, std::string_view text) {
  auto out = std::size_t{0};
  for (const auto& target : it.targets) {
    for (const auto& head : target.heads)
      out += head.find(text) != std::string::npos ? 1 : 0;
  }
  return out;
}

}  // namespace

TEST_CASE("a job is used with any key of its team and with no other's") {
  auto& it = make_team_fixture();
  it.add_target(silence);
  it.run_for(1500ms);
  CHECK(status_of(it, job_request("j1", job_body(10)), north_key) == 202);
  CHECK(status_of(it, job_request("j1", job_body(10)), north_second_key) ==
        202);
  CHECK(status_of(it, read_request("j1"), north_second_key) == 200);
  CHECK(status_of(it, item_request("j1"), north_second_key) == 200);

  CHECK(status_of(it, read_request("j1"), "") == 401);
  CHECK(status_of(it, item_request("j1"), "wrong") == 401);
  CHECK(status_of(it, end_request("j1"), "") == 401);
  CHECK(status_of(it, job_request("j2", job_body(10)), "wrong") == 401);

  auto missing = it.call(keyed(read_request("none"), south_key));
  auto foreign = it.call(keyed(read_request("j1"), south_key));
  REQUIRE(missing.ok());
  REQUIRE(foreign.ok());
  CHECK(foreign->status == 404);
  CHECK(foreign->body == missing->body);
  CHECK(status_of(it, item_request("j1"), south_key) == 404);
  CHECK(status_of(it, end_request("j1"), south_key) == 404);
  CHECK(it.store.value("jobs", "h", "j1").find("\"ended\":false") !=
        std::string::npos);

  auto taken = it.call(keyed(job_request("j1", job_body(70)), south_key));
  REQUIRE(taken.ok());
  CHECK(taken->status == 409);
  CHECK(taken->body.find("north") == std::string::npos);
  CHECK(status_of(it, end_request("j1"), north_second_key) == 200);
}

TEST_CASE("a daemon that has not heard of a job keeps it from other teams") {
  auto& it = make_team_fixture(true);
  it.add_target(silence);
  it.run_for(1500ms);
  for (const auto* id : {"j1", "j2", "j3"}) {
    call_daemon(it, "127.0.0.1");
    CHECK(status_of(it, job_request(id, job_body(10)), north_key) == 202);
    call_daemon(it, "127.0.0.2");
    CHECK(status_of(it, job_request(id, job_body(10)), south_key) == 409);
    CHECK(status_of(it, read_request(id), south_key) == 404);
    CHECK(status_of(it, job_request(id, job_body(10)), north_key) == 202);
  }
}

TEST_CASE("items bear the name of their team") {
  auto& it = make_team_fixture();
  it.add_target(whole);
  it.run_for(1500ms);
  CHECK(status_of(it, job_request("j1", job_body(10)), north_key) == 202);
  CHECK(status_of(it, job_request("j2", job_body(10)), south_key) == 202);
  it.until([&] {
    return results_with(it, "j1", north_key) == 2 &&
           results_with(it, "j2", south_key) == 2;
  });
  CHECK(count_in(it, "Fulmarpitch-Tenant: north\r\n") == 2);
  CHECK(count_in(it, "Fulmarpitch-Tenant: south\r\n") == 2);
}

TEST_CASE("a job goes on when its keys or its team are taken away") {
  auto& it = make_team_fixture();
  auto& target =
      it.add_target([](const auto& head) { return refuse_to_run(head); });
  it.run_for(1500ms);
  CHECK(status_of(it, job_request("j1", job_body(10)), north_key) == 202);
  SECTION("one of its keys") {
    configure(it, 4, {{"north", {north_second_key}}, {"south", {south_key}}});
  }
  SECTION("the team, which returns with another key") {
    configure(it, 4, {{"south", {south_key}}});
    it.run_for(200ms);
    CHECK(status_of(it, read_request("j1"), north_second_key) == 401);
    configure(it, 5, {{"north", {north_second_key}}});
  }
  it.run_for(200ms);
  CHECK(status_of(it, read_request("j1"), north_key) == 401);
  target.answer = whole;
  it.until([&] { return results_with(it, "j1", north_second_key) == 2; });
  CHECK(results_with(it, "j1", north_second_key) == 2);
  CHECK(count_in(it, "Fulmarpitch-Tenant: north\r\n") == target.heads.size());
}

TEST_CASE("a limit on waiting tokens counts for each team by itself") {
  auto& it = make_team_fixture();
  it.add_target(silence);
  it.run_for(1500ms);
  // The route takes 1,000 tokens.
  CHECK(status_of(it, job_request("j1", job_body(400)), north_key) == 202);
  CHECK(status_of(it, job_request("j2", job_body(400)), north_second_key) ==
        429);
  CHECK(status_of(it, job_request("j3", job_body(400)), south_key) == 202);
  CHECK(status_of(it, job_request("j4", job_body(100)), north_key) == 202);
  CHECK(status_of(it, job_request("j5", job_body(200)), south_key) == 429);
  CHECK(it.store.value("jobs", "h", "team-gate/jobs:north") == "1000");
  CHECK(it.store.value("jobs", "h", "team-gate/jobs:south") == "800");
  CHECK(it.store.value("jobs", "h", "gate/jobs").empty());
}

TEST_CASE("a job of a public route is everybody's") {
  auto& it = make_fixture();
  auto text = team_configuration(3, two_teams());
  constexpr auto mark = std::string_view(R"("name":"jobs",)");
  text.insert(text.find(mark) + mark.size(), R"("public":true,)");
  it.store.put("op", "config", text);
  it.start();
  it.add_target(whole);
  it.run_for(1500ms);
  CHECK(status_of(it, job_request("j1", job_body(10)), "") == 202);
  it.until([&] { return results_with(it, "j1", "") == 2; });
  CHECK(results_with(it, "j1", "") == 2);
  CHECK(results_with(it, "j1", south_key) == 2);
  CHECK(count_in(it, "Fulmarpitch-Tenant") == 0);
}
