// End-to-end tests over loopback of requests with keys of teams.

#include <algorithm>
#include <catch2/catch.hpp>

#include "fulmarpitch/teams/key-changes.h"
#include "team-fixture.h"

using namespace fulmar;
using namespace fulmar::serving_test;

namespace {

/// \return the values of a header in the heads that targets received.
std::vector<std::string> received(const fixture& it, const std::string& name) {
  auto out = std::vector<std::string>();
  for (const auto& target : it.targets) {
    for (const auto& head : target.heads) {
      auto mark = concat("\r\n", name, ": ");
      for (auto at = head.find(mark); at != std::string::npos;
           at = head.find(mark, at + 1)) {
        auto begin = at + mark.size();
        out.push_back(head.substr(begin, head.find("\r\n", begin) - begin));
      }
    }
  }
  return out;
}

/// \return all bytes that targets received.
std::string received_bytes(const fixture& it) {
  auto out = std::string();
  for (const auto& target : it.targets) {
    for (const auto& head : target.heads)
      out += head;
    for (const auto& body : target.bodies)
      out += body;
  }
  return out;
}

bool contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("the route is looked for first, then the key") {
  auto& it = make_team_fixture();
  auto& target = it.add_target(whole);
  it.run_for(1500ms);
  CHECK(status_of(it, online("/none/1", "a1"), "") == 404);
  CHECK(status_of(it, online("/none/1", "a2"), "wrong") == 404);
  CHECK(status_of(it, online("/once/1", "a3"), "") == 401);
  CHECK(status_of(it, online("/once/1", "a4"), "wrong") == 401);
  CHECK(status_of(it, online("/once/1", "a5"), "wrong") == 401);
  CHECK(target.heads.empty());
  CHECK(status_of(it, online("/once/1", "a6"), north_key) == 200);
  CHECK(status_of(it, online("/once/1", "a7"), north_second_key) == 200);
  CHECK(status_of(it, online("/once/1", "a8"), south_key) == 200);
  CHECK(status_of(it, online("/open/1", "a9"), "") == 200);
  CHECK(status_of(it, online("/open/1", "a10"), "wrong") == 200);
  CHECK(received(it, "Fulmarpitch-Tenant") ==
        std::vector<std::string>{"north", "north", "south"});
  CHECK(received(it, "X-Api-Key").empty());
}

TEST_CASE("a daemon that knows no configuration refuses no key") {
  auto& it = make_fixture();
  it.store.put("op", "config", team_configuration(3, two_teams()));
  it.store.set_fault(store_fault::down);
  call_daemon(it, "127.0.0.1");
  it.daemon = it.start_daemon("vm-1", "127.0.0.1", it.store.address());
  CHECK(status_of(it, online("/once/1", "a1"), north_key) == 503);
  CHECK(status_of(it, online("/once/1", "a2"), "wrong") == 503);
}

TEST_CASE("the team's name is set whatever the client sent") {
  auto& it = make_team_fixture();
  it.add_target(whole);
  it.run_for(1500ms);
  auto sent = 0;
  for (const auto* name :
       {"Fulmarpitch-Tenant", "fulmarpitch-tenant", "FULMARPITCH-TENANT"}) {
    auto request = online("/once/1", concat("a", ++sent));
    request.headers.push_back({name, "south"});
    CHECK(status_of(it, request, north_key) == 200);
    request.target = "/open/1";
    CHECK(status_of(it, request, "") == 200);
  }
  auto bytes = received_bytes(it);
  CHECK_FALSE(contains(bytes, "south"));
  CHECK(received(it, "Fulmarpitch-Tenant") ==
        std::vector<std::string>{"north", "north", "north"});
  CHECK_FALSE(contains(bytes, "fulmarpitch-tenant"));
  CHECK_FALSE(contains(bytes, "FULMARPITCH-TENANT"));
}

TEST_CASE("without teams the two headers are headers like others") {
  auto& it = make_fixture();
  it.add_target(whole);
  it.start(true);
  auto request = online("/once/1", "a1");
  request.headers.push_back({"Fulmarpitch-Tenant", "south"});
  CHECK(status_of(it, request, "some-key") == 200);
  CHECK(received(it, "X-Api-Key") == std::vector<std::string>{"some-key"});
  CHECK(received(it, "Fulmarpitch-Tenant") ==
        std::vector<std::string>{"south"});
  // Nothing listens for other daemons, and no metric is added.
  CHECK(is_free<tcp>("127.0.0.1", it.ports.peer));
  CHECK_FALSE(contains(metrics_of(it, "127.0.0.1"), "fulmar_teams"));
  CHECK_FALSE(contains(metrics_of(it, "127.0.0.1"), "callers_refused"));
}

TEST_CASE("a key that was just added is served, one taken away is not") {
  auto& it = make_team_fixture();
  it.add_target(whole);
  it.run_for(1500ms);
  configure(it, 4, {{"north", {north_key, "added"}}, {"south", {south_key}}});
  CHECK(status_of(it, online("/once/1", "a1"), "added") == 200);
  CHECK(status_of(it, online("/once/1", "a2"), north_second_key) == 401);
  CHECK(status_of(it, online("/once/1", "a3"), north_key) == 200);
  configure(it, 5, {{"south", {south_key}}, {"west", {"added"}}});
  it.run_for(50ms);
  CHECK(status_of(it, online("/once/1", "a4"), "added") == 200);
  CHECK(received(it, "Fulmarpitch-Tenant") ==
        std::vector<std::string>{"north", "north", "west"});
}

TEST_CASE("a key is checked at each request of a kept connection") {
  auto& it = make_team_fixture();
  it.add_target(whole);
  it.run_for(1500ms);
  auto links = link_pool(io_of(it.loop), {});
  auto link = links.make_link(it.client_address);
  auto request = [&](const char* id) {
    return concat("POST /once/1 HTTP/1.1\r\nHost: h\r\n",
                  "Fulmarpitch-Attempt-Id: ", id, "\r\nX-Api-Key: ", north_key,
                  "\r\nContent-Length: 0\r\n\r\n");
  };
  CHECK(run_exchange(it, *link, request("a1")) == 200);
  configure(it, 4, {{"north", {north_second_key}}});
  it.run_for(50ms);
  CHECK(link->is_open());
  CHECK(run_exchange(it, *link, request("a2")) == 401);
}

TEST_CASE("a stream goes on when its key is taken away") {
  auto& it = make_team_fixture();
  it.add_target([](const auto& head) {
    return scripted_answer{.bytes = stream_head(id_of(head)) + chunk(event(1)),
                           .pause = 600ms,
                           .rest = chunk(event(2)) + chunk(event(3)) +
                                   chunk(event(4)) + "0\r\n\r\n"};
  });
  it.run_for(1500ms);
  it.loop.after(200ms, [&] { configure(it, 4, {{"south", {south_key}}}); });
  auto answer = it.call(keyed(online("/once/1", "a1"), north_key));
  REQUIRE(answer.ok());
  CHECK(answer->body == whole_text());
  CHECK(status_of(it, online("/once/1", "a2"), north_key) == 401);
}

TEST_CASE("an unknown key is not refused for good while nobody can check it") {
  auto& it = make_team_fixture();
  it.add_target(whole);
  it.run_for(1500ms);
  it.store.set_fault(GENERATE(store_fault::down, store_fault::silent));
  auto began = event_loop::steady();
  auto answer = it.call(keyed(online("/once/1", "a1"), "unknown"));
  REQUIRE(answer.ok());
  CHECK(answer->status == 503);
  CHECK_FALSE(find_header(answer->headers, "Retry-After").empty());
  CHECK(event_loop::steady() - began < 2s);
  CHECK(status_of(it, online("/once/1", "a2"), north_key) == 200);
  CHECK(contains(metrics_of(it, "127.0.0.1"),
                 "fulmar_callers_refused_total{why=\"unconfirmed_key\"} 1\n"));
}

TEST_CASE("guessed keys cost the store a bounded number of calls") {
  auto& it = make_team_fixture();
  it.add_target(whole);
  it.run_for(1500ms);
  auto before = it.store.calls();
  auto began = event_loop::steady();
  auto refused = 0;
  for (auto n = 0; n < 100; ++n) {
    auto status =
        status_of(it, online("/once/1", concat("a", n)), concat("guess-", n));
    refused += status == 401 || status == 503 ? 1 : 0;
  }
  CHECK(refused == 100);
  auto took = event_loop::steady() - began;
  auto seconds = static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::seconds>(took).count());
  // Following four tables takes a few calls a second without them.
  CHECK(it.store.calls() - before < 10 + 12 * seconds);
}

TEST_CASE("no byte of a key leaves a daemon") {
  auto log = std::string();
  auto& it = make_team_fixture(true);
  it.add_target(whole);
  it.run_for(1500ms);
  {
    auto output = captured_output();
    CHECK(status_of(it, online("/once/1", "a1"), north_key) == 200);
    CHECK(status_of(it, online("/again/1", "a2"), south_key) == 200);
    CHECK(status_of(it, online("/open/1", "a3"), south_key) == 200);
    auto refused =
        it.call(keyed(online("/once/1", "a4"), "key-that-nobody-has"));
    REQUIRE(refused.ok());
    CHECK(refused->status == 401);
    CHECK_FALSE(contains(refused->body, "key-that-nobody-has"));
    auto body = boost::json::parse(job_body(100)).as_object();
    for (auto& item : body["requests"].as_array()) {
      auto& headers = item.as_object()["headers"].as_object();
      headers["x-api-key"] = north_key;
      headers["X-API-Key"] = south_key;
      headers["fulmarpitch-TENANT"] = "forged-name";
    }
    CHECK(status_of(it, job_request("j1", boost::json::serialize(body)),
                    north_key) == 202);
    it.until([&] { return results_with(it, "j1", north_key) == 2; });
    CHECK(results_with(it, "j1", north_key) == 2);
    // Both daemons pass a call on, one to the other.
    it.proxy->set(soak::link_fault::cut);
    it.run_for(2s);
    CHECK(results_with(it, "j1", north_second_key) == 2);
    CHECK(status_of(it, job_request("j2", boost::json::serialize(body)),
                    south_key) == 202);
    configure(it, 9,
              {{"north", {north_second_key}}, {"south", {"newest-key"}}});
    it.run_for(1500ms);
    CHECK(status_of(it, online("/once/1", "a5"), north_key) == 401);
    log = output.text();
  }
  CHECK(contains(log, "call_passed_on"));
  CHECK(contains(log, "caller_refused"));
  CHECK(contains(log, teams::digest_of_key("newest-key")));
  auto metrics = metrics_of(it, "127.0.0.1") + metrics_of(it, "127.0.0.2");
  CHECK(contains(metrics, "fulmar_team_keys 2\n"));
  auto stored = it.store.written();
  CHECK(contains(stored, "jobs/h/j1"));
  CHECK(contains(stored, "bodies/h/j2"));
  auto sent = received_bytes(it);
  CHECK(contains(sent, "Fulmarpitch-Tenant: north"));
  for (const auto& key :
       {north_key, north_second_key, south_key,
        std::string("key-that-nobody-has"), std::string("newest-key"),
        std::string("forged-name")}) {
    CAPTURE(key);
    CHECK_FALSE(contains(log, key));
    CHECK_FALSE(contains(metrics, key));
    CHECK_FALSE(contains(stored, key));
    CHECK_FALSE(contains(sent, key));
  }
}

TEST_CASE("changes of keys are logged by their digests") {
  auto& it = make_team_fixture();
  auto output = captured_output();
  configure(it, 4, {{"north", {north_key}}, {"south", {south_key, "added"}}});
  it.run_for(200ms);
  auto log = output.text();
  auto line = [&](const char* event, const char* team, const std::string& key) {
    return concat("\"change\":\"", event, "\",\"team\":\"", team,
                  "\",\"key_digest\":\"", teams::digest_of_key(key), "\"");
  };
  CHECK(contains(log, line("removed", "north", north_second_key)));
  CHECK(contains(log, line("added", "south", "added")));
  CHECK(contains(log, "\"teams\":2,\"keys\":3"));
}
