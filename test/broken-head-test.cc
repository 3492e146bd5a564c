// End-to-end tests over loopback of targets that close in the middle of the
// head of an answer.

#include <absl/strings/escaping.h>

#include <catch2/catch.hpp>

#include "serving-fixture.h"

using namespace fulmar;
using namespace fulmar::serving_test;

namespace {

/// Beginnings of a head, up to its last empty line.
std::vector<std::string> broken_heads(const std::string& id) {
  const auto status = std::string("HTTP/1.1 200 OK\r\n");
  const auto fields = concat("Fulmarpitch-Attempt-Id: ", id,
                             "\r\nFulmarpitch-Server-Stamp: stamp\r\n");
  const auto length = std::string("Content-Length: 40\r\n");
  return {"H",
          "HTTP/1.1 2",
          "HTTP/1.1 200",
          "HTTP/1.1 200 OK",
          "HTTP/1.1 200 OK\r",
          status,
          status + "Fulmarpitch-Att",
          status + fields.substr(0, fields.size() - 3),
          status + fields,
          status + fields + "\r",
          status + fields + length,
          status + fields + length + "\r",
          status + fields + "Transfer-Encoding: chunked\r\n",
          status + fields + "Content-Type: text/event-stream\r\n\r"};
}

constexpr auto head_count = 14;

scripted_target::script break_head(int which) {
  return [which](const std::string& head) {
    return scripted_answer{.bytes = broken_heads(id_of(head)).at(which),
                           .close = true};
  };
}

}  // namespace

TEST_CASE("a head that breaks off is no answer") {
  auto which = GENERATE(range(0, head_count));
  const auto* path = GENERATE("/once/1", "/again/1", "/slow/1");
  CAPTURE(which, path);
  auto& it = make_fixture();
  auto& target = it.add_target(break_head(which));
  it.start();
  auto answer = it.post(path, "a1");
  REQUIRE(answer.ok());
  CHECK(answer->status >= 500);
  auto promises = answer->status == 503;
  CHECK_FALSE(promises);
  CHECK_FALSE(target.heads.empty());
  if (std::string_view(path) == "/once/1") CHECK(target.heads.size() == 1);
}

TEST_CASE("a stream does not end with a head that breaks off") {
  auto which = GENERATE(range(0, head_count));
  CAPTURE(which);
  auto& it = make_fixture();
  auto script = [which, n = std::make_shared<int>(0)](const std::string& head) {
    if ((*n)++ > 0) return break_head(which)(head);
    return scripted_answer{.bytes = stream_head(id_of(head)) + chunk(event(1)),
                           .close = true};
  };
  it.add_target(script);
  it.add_target(script);
  it.start();
  CHECK_FALSE(it.post("/again/1", "a1").ok());
}

TEST_CASE("an item is not done by a head that breaks off") {
  auto which = GENERATE(range(0, head_count));
  CAPTURE(which);
  auto& it = make_fixture();
  it.add_target([which, n = 0](const std::string& head) mutable {
    return n++ == 0 ? break_head(which)(head) : whole(head);
  });
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
}
