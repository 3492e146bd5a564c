// End-to-end tests over loopback of daemons that help each other with keys of
// teams while the store turns one of them away.

#include <catch2/catch.hpp>

#include "team-fixture.h"

using namespace fulmar;
using namespace fulmar::serving_test;

namespace {

constexpr auto stranger = "127.0.0.9";

/// Time after which a daemon knows that it lost the store, and the other that
/// it did.
constexpr auto loss_time = 2500ms;

/// Calls a daemon's port for other daemons.
/// \return the status; 0 if there was no answer.
int call_peer_port(fixture& it, const std::string& from, const std::string& to,
                   const std::string& head) {
  auto links = link_pool(io_of(it.loop), {.source = from});
  auto link = links.make_link(concat(to, ":", it.ports.peer));
  return run_exchange(it, *link, head);
}

std::string forwarded_read(const std::string& team, int configuration) {
  return concat(
      "GET /v1/lots/j1?after=0 HTTP/1.1\r\nHost: h\r\n"
      "Fulmar-Passed-On: vm-1\r\nFulmar-Team: ",
      team, "\r\nFulmar-Configuration: ", configuration, "\r\n\r\n");
}

bool contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("a daemon that the store turns away learns of keys from another") {
  auto& it = make_team_fixture(true);
  it.add_target(whole);
  it.run_for(1500ms);
  it.proxy->set(GENERATE(soak::link_fault::cut, soak::link_fault::reset));
  SECTION("within seconds, also just after it lost the store") {}
  SECTION("or long after") {
    it.run_for(loss_time);
  }
  configure(it, 6, {{"north", {north_second_key, "added"}}});
  it.run_for(1500ms);
  CHECK(contains(metrics_of(it, "127.0.0.1"),
                 "fulmar_configuration_version 6\n"));
  CHECK(contains(metrics_of(it, "127.0.0.1"),
                 "fulmar_fetched_configurations 1\n"));
  CHECK(contains(metrics_of(it, "127.0.0.2"),
                 "fulmar_fetched_configurations 0\n"));
  CHECK(status_of(it, online("/once/1", "a1"), "added") == 200);
  CHECK(status_of(it, online("/once/1", "a2"), north_key) == 401);
  CHECK(status_of(it, online("/once/1", "a3"), south_key) == 401);
  // The store comes back with what is in force already.
  it.proxy->set(soak::link_fault::none);
  it.run_for(2s);
  configure(it, 7, {{"north", {north_key}}});
  it.run_for(500ms);
  CHECK(status_of(it, online("/once/1", "a4"), north_key) == 200);
}

TEST_CASE("a daemon that the store turns away asks another about a key") {
  auto& it = make_team_fixture(true);
  it.add_target(whole);
  it.run_for(1500ms);
  it.proxy->set(soak::link_fault::cut);
  it.run_for(loss_time);
  CHECK(status_of(it, online("/once/1", "a1"), "wrong") == 401);
  // A key that is newer than any report.
  configure(it, 6, {{"north", {"added"}}});
  CHECK(status_of(it, online("/once/1", "a2"), "added") == 200);
  SECTION("and cannot tell when neither reaches the store") {
    it.store.set_fault(store_fault::down);
    it.run_for(500ms);
    CHECK(status_of(it, online("/once/1", "a3"), "unknown") == 503);
    CHECK(status_of(it, online("/once/1", "a4"), "added") == 200);
  }
}

TEST_CASE("calls on jobs are passed on with the team that was found") {
  auto& it = make_team_fixture(true);
  it.add_target(whole);
  it.run_for(1500ms);
  CHECK(status_of(it, job_request("j1", job_body(10)), north_key) == 202);
  it.until([&] { return results_with(it, "j1", north_key) == 2; });
  it.proxy->set(soak::link_fault::cut);
  it.run_for(loss_time);
  CHECK(results_with(it, "j1", north_second_key) == 2);
  CHECK(status_of(it, read_request("j1"), south_key) == 404);
  CHECK(status_of(it, job_request("j1", job_body(10)), south_key) == 409);
  CHECK(status_of(it, job_request("j2", job_body(10)), south_key) == 202);
  CHECK(contains(it.store.value("jobs", "h", "j2"), "\"team\":\"south\""));
  CHECK(contains(it.store.value("jobs", "h", "j2"), "vm-2#"));
  SECTION("whatever team the client names") {
    for (const auto* name : {"Fulmar-Team", "fulmar-team", "FULMAR-TEAM"}) {
      auto request = read_request("j1");
      request.headers = {{name, "north"}, {"Fulmarpitch-Tenant", "north"}};
      CHECK(status_of(it, request, south_key) == 404);
      request.headers.push_back({"Fulmar-Configuration", "3"});
      CHECK(status_of(it, request, south_key) == 404);
    }
  }
  SECTION("and a team that is gone is refused") {
    configure(it, 6, {{"south", {south_key}}});
    // The receiver has the newer configuration, the sender has not yet.
    CHECK(status_of(it, read_request("j1"), north_key) == 401);
  }
}

TEST_CASE("a client cannot pass for a daemon") {
  auto& it = make_team_fixture(true);
  it.add_target(whole);
  it.run_for(1500ms);
  CHECK(status_of(it, job_request("j1", job_body(10)), north_key) == 202);
  SECTION("on the clients' port") {
    auto request = read_request("j1");
    request.headers = {{"Fulmar-Passed-On", "vm-2"},
                       {"Fulmar-Team", "north"},
                       {"Fulmar-Configuration", "3"},
                       {"Fulmarpitch-Tenant", "north"}};
    CHECK(status_of(it, request, "") == 401);
    CHECK(status_of(it, request, "wrong") == 401);
    CHECK(status_of(it, request, south_key) == 404);
  }
  SECTION("on the daemons' port") {
    auto call = forwarded_read("north", 3);
    CHECK(call_peer_port(it, stranger, "127.0.0.1", call) == 503);
    CHECK(call_peer_port(it, stranger, "127.0.0.2", call) == 503);
    CHECK(call_peer_port(
              it, stranger, "127.0.0.2",
              "GET /configuration?after=0 HTTP/1.1\r\nHost: h\r\n\r\n") == 503);
    // The same from the address of a daemon.
    CHECK(call_peer_port(it, "127.0.0.1", "127.0.0.2", call) == 200);
  }
}

TEST_CASE("a daemon serves a passed-on call with the sender's configuration") {
  auto& it = make_team_fixture(true);
  it.add_target(whole);
  it.run_for(1500ms);
  CHECK(status_of(it, job_request("j1", job_body(10)), north_key) == 202);
  auto read = [&](const std::string& team, int version) {
    return call_peer_port(it, "127.0.0.1", "127.0.0.2",
                          forwarded_read(team, version));
  };
  CHECK(read("north", 3) == 200);
  CHECK(read("south", 3) == 404);
  CHECK(read("none", 3) == 401);
  // Nobody has that version: the sender can't be believed, nor refused.
  CHECK(read("north", 4) == 503);
  CHECK(read("north", 4) == 503);
  configure(it, 4, two_teams());
  CHECK(read("north", 4) == 200);
  SECTION("an online request is not passed on") {
    CHECK(call_peer_port(it, "127.0.0.1", "127.0.0.2",
                         "GET /once/1 HTTP/1.1\r\nHost: h\r\n"
                         "Fulmar-Team: north\r\nFulmar-Configuration: 4\r\n"
                         "\r\n") == 503);
  }
}
