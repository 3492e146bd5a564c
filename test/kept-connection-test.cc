// End-to-end tests over loopback of targets that repeat an earlier refusal on a
// kept connection, or that refuse without saying that the request did not run.

#include <absl/strings/escaping.h>

#include <catch2/catch.hpp>
#include <map>

#include "serving-fixture.h"

using namespace fulmar;
using namespace fulmar::serving_test;

namespace {

std::string refusal(const std::string& status, const std::string& fields) {
  return concat("HTTP/1.1 ", status, "\r\n", fields,
                "Fulmarpitch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
}

std::string id_line(const std::string& id) {
  return concat("Fulmarpitch-Attempt-Id: ", id, "\r\n");
}

/// Refuses the first request of a target. Writes the refusal once more when it
/// runs the next one, in front of the answer.
scripted_target::script repeating(const std::string& status,
                                  const std::string& fields) {
  return [status, fields,
          n = std::make_shared<int>(0)](const std::string& head) {
    auto again = refusal(status, fields);
    if ((*n)++ == 0)
      return scripted_answer{.bytes = refusal(status, id_line(id_of(head)))};
    return scripted_answer{.bytes = again + whole(head).bytes};
  };
}

std::size_t runs_of(const fixture& it, const std::string& id) {
  auto out = std::size_t{0};
  for (const auto& target : it.targets) {
    for (const auto& head : target.heads) {
      if (id_of(head) == id) ++out;
    }
  }
  return out;
}

bool promises_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

TEST_CASE("an earlier refusal that is repeated does not refuse the next one") {
  const auto* status = GENERATE("503 Busy", "429 Busy", "421 Other");
  const auto* fields =
      GENERATE("", "Fulmarpitch-Attempt-Id: a1\r\n",
               "Fulmarpitch-Attempt-Id: \r\n", "Server-Leaving: 0\r\n");
  const auto* path = GENERATE("/once/1", "/again/1", "/slow/1");
  CAPTURE(status, fields, path);
  auto& it = make_fixture();
  it.add_target(repeating(status, fields));
  it.start();
  auto first = it.post(path, "a1");
  REQUIRE(first.ok());
  CHECK(first->status == 503);
  it.list_target(1, 7);
  it.run_for(800ms);
  auto second = it.post(path, "a2");
  if (second.ok()) CHECK_FALSE(promises_not_run(second->status));
  if (second.ok() && second->status == 200) CHECK(second->body == whole_text());
  if (std::string(path) == "/once/1") CHECK(runs_of(it, "a2") == 1);
}

TEST_CASE("a retry does not meet the close of a kept connection") {
  auto& it = make_fixture();
  // Closes each connection at its second request.
  for (auto n = 0; n < 2; ++n) {
    auto* target = &it.add_target({});
    target->answer =
        [target, runs = std::map<int, int>()](const std::string& head) mutable {
          if (++runs[target->connection] > 1)
            return scripted_answer{.close = true};
          auto out = whole(head);
          // Both targets are busy until each has a connection.
          if (id_of(head).starts_with("w")) out.delay = 100ms;
          return out;
        };
  }
  it.start();
  auto open = 2;
  for (const auto* id : {"w1", "w2"}) {
    fetch(
        it.loop,
        {.address = it.client_address,
         .request = {.method = "POST",
                     .target = "/again/1",
                     .headers = {{"Host", "h"}, {"Fulmarpitch-Attempt-Id", id}},
                     .body = "prompt"}},
        [&](const auto&) { --open; });
  }
  it.until([&] { return open == 0; });
  REQUIRE(it.targets[0].heads.size() == 1);
  REQUIRE(it.targets[1].heads.size() == 1);
  const auto* path = GENERATE("/again/1", "/slow/1");
  auto answer = it.post(path, "a1");
  REQUIRE(answer.ok());
  CHECK(answer->status == 200);
  CHECK(runs_of(it, "a1") == 2);
}

TEST_CASE("a repeated refusal of an item does not end its next run") {
  // The item comes again with its id, maybe on the connection of the refusal.
  auto refusals = std::map<int, std::string>();
  auto runs = 0;
  auto& it = make_fixture();
  auto* target = &it.add_target({});
  target->answer = [&](const std::string& head) {
    if (refusals.empty()) {
      auto text = refusal("503 Busy", id_line(id_of(head)));
      refusals[target->connection] = text;
      return scripted_answer{.bytes = text};
    }
    ++runs;
    return scripted_answer{.bytes = refusals[target->connection] +
                                    whole(head).bytes};
  };
  it.start();
  auto job = concat(
      R"({"requests":[{"id":"i1","path":"/jobs/1/i1","headers":{},"body":")",
      absl::Base64Escape("p"), R"(","tokens":10}]})");
  REQUIRE(it.post("/jobs/1", "j1", job)->status == 202);
  auto results = std::string();
  it.until([&] {
    auto answer = it.get("/v1/lots/j1?after=0");
    if (answer.ok()) results = answer->body;
    return results.find("done") != std::string::npos;
  });
  CHECK(results.find(R"("output":"d1\nd2\nd3\nd4")") != std::string::npos);
  CHECK(runs == 1);
}

TEST_CASE("a refusal that does not say so may have run") {
  const auto* status =
      GENERATE("503 Busy", "429 Busy", "408 Timeout", "500 Broken");
  const auto* path = GENERATE("/once/1", "/again/1", "/slow/1");
  CAPTURE(status, path);
  auto& it = make_fixture();
  for (auto n = 0; n < 3; ++n) {
    it.add_target([status](const std::string& head) {
      return scripted_answer{
          .bytes = concat("HTTP/1.1 ", status, "\r\n", id_line(id_of(head)),
                          "Fulmarpitch-Server-Stamp: stamp\r\n"
                          "Content-Length: 4\r\n\r\nbusy")};
    });
  }
  it.start();
  auto answer = it.post(path, "a1");
  REQUIRE(answer.ok());
  CHECK_FALSE(promises_not_run(answer->status));
  if (std::string(path) == "/once/1") CHECK(runs_of(it, "a1") == 1);
}
