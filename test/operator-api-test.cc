#include "fulmarpitch/config/operator-api.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "sample-declarations.h"

namespace fulmar {
namespace {

struct bench {
  std::shared_ptr<memory_stores> state =
      make_memory_stores({.synchronous = true});
  config_stores stores = stores_over(state);
  config_watcher watcher{{.vm = "vm0"}, {.stores = stores}};
  operator_api api{
      .stores = stores,
      .in_force = [this] { return watcher.in_force(); },
      .snapshot = [this] { return watcher.snapshot_bytes(); },
      .vms = [this] { return std::vector{watcher.status(instant(0))}; },
      .first_key_hashes = {sha256_hex("first")},
  };

  http_response call(const std::string& method, const std::string& target,
                     const std::string& key, std::string body = {}) {
    auto answer = http_response{.status = 0};
    const auto request =
        http_request{.method = method,
                     .target = target,
                     .headers = {{"authorization", "Bearer " + key}},
                     .body = std::move(body)};
    answer_operator(api, request, instant(5),
                    [&](auto it) { answer = std::move(it); });
    return answer;
  }
};

std::string first_ticket(const std::string& author = "ann") {
  return to_json(
      ticket{1, author, difference({}, objects_of(sample_declarations()))});
}

TEST_CASE("the first key counts until a configuration is in force") {
  auto it = bench();
  CHECK(it.call("GET", "/operator/v1/state", "key-o").status == 401);
  CHECK(it.call("GET", "/operator/v1/state", "").status == 401);
  CHECK(it.call("GET", "/operator/v1/state", "first").status == 200);
  const auto body = first_ticket();
  CHECK(it.call("POST", "/operator/v1/tickets", "first", body).status == 201);
  it.watcher.tick(instant(0));
  CHECK(it.call("GET", "/operator/v1/state", "first").status == 401);
  CHECK(it.call("GET", "/operator/v1/state", "key-o").status == 200);
  // A caller's key opens nothing here.
  CHECK(it.call("GET", "/operator/v1/state", "key-0").status == 401);
}

TEST_CASE("each request is answered with its status and a typed body") {
  auto it = bench();
  it.call("POST", "/operator/v1/tickets", "first", first_ticket());
  it.watcher.tick(instant(0));
  struct request_case {
    std::string method;
    std::string path;
    std::string body;
    int status;
    std::string contains;
  };
  const auto cases = std::vector<request_case>{
      {"POST", "tickets", first_ticket(), 200, "already_accepted"},
      {"POST", "tickets", first_ticket("bob"), 409, "number_taken"},
      {"POST", "tickets", "{", 422, "malformed_json"},
      {"POST", "tickets", R"({"number": 2})", 422, "missing_field"},
      {"POST", "tickets",
       R"({"number": 2, "author": "a", "changes": [{"kind": "class",
           "name": "on", "base_version": 7, "body": null}]})",
       409, R"("ticket":1)"},
      {"POST", "tickets",
       R"({"number": 2, "author": "a", "changes": [{"kind": "class",
           "name": "on", "base_version": 1, "body": null}]})",
       422, "dangling_reference"},
      {"GET", "tickets", "", 200, R"("author":"ann")"},
      {"GET", "tickets?after=1", "", 200, R"("tickets":[])"},
      {"GET", "tickets?limit=0", "", 400, "bad_request"},
      {"GET", "tickets?after=x", "", 400, "bad_request"},
      {"GET", "tickets/1", "", 200, R"("version":1)"},
      {"GET", "tickets/2", "", 404, "not_found"},
      {"GET", "tickets/x", "", 400, "bad_request"},
      {"GET", "state", "", 200, R"("vm":"vm0")"},
      {"GET", "configuration", "", 200, R"("name":"c0")"},
      {"GET", "nothing", "", 404, "not_found"},
      {"DELETE", "state", "", 404, "not_found"},
  };
  for (const auto& row : cases) {
    CAPTURE(row.method, row.path);
    const auto answer =
        it.call(row.method, "/operator/v1/" + row.path, "key-o", row.body);
    CHECK(answer.status == row.status);
    CHECK_THAT(answer.body, Catch::Matchers::Contains(row.contains));
    auto ec = boost::system::error_code();
    boost::json::parse(answer.body, ec);
    CHECK_FALSE(ec);
  }
}

TEST_CASE("a store that is away is answered as unavailable") {
  auto it = bench();
  it.state->plan.outages = {{instant(0), instant::max()}};
  const auto answer =
      it.call("POST", "/operator/v1/tickets", "first", first_ticket());
  CHECK(answer.status == 503);
  CHECK_THAT(answer.body, Catch::Matchers::Contains("not_run"));
}

}  // namespace
}  // namespace fulmar
