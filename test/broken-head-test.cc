// End-to-end tests over loopback of targets that close in the middle of the
// head of an answer.

#include <absl/strings/escaping.h>

#include <catch2/catch.hpp>

#include "job-calls.h"
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

namespace {

/// Heads that name the request, and are no answer to it.
std::vector<std::string> false_heads(const std::string& id) {
  const auto fields = concat("Fulmarpitch-Attempt-Id: ", id,
                             "\r\nFulmarpitch-Server-Stamp: stamp\r\n");
  const auto body = concat(fields, "Content-Length: 2\r\n\r\nok");
  return {"HTTP/1.1 000 Odd\r\n" + body,
          "HTTP/1.1 099 Odd\r\n" + body,
          "HTTP/1.1 101 Switching Protocols\r\n" + body,
          "HTTP/1.1 600 Odd\r\n" + body,
          "HTTP/1.1 000 Odd\r\n" + fields +
              "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1)) +
              "0\r\n\r\n",
          "HTTP/1.1 000 Odd\r\nFulmarpitch-Not-Run: 1\r\n" + body,
          "HTTP/1.1 200 OK\r\nX Y: 1\r\n" + body,
          "HTTP/1.1 200 OK\r\nX\001: 1\r\n" + body,
          "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: gzip\r\n\r\nok"};
}

constexpr auto false_head_count = 9;

}  // namespace

// The status 000 counted as a success, as it is less than 300.
TEST_CASE("a head that is no answer reaches no client") {
  auto which = GENERATE(range(0, false_head_count));
  const auto* path = GENERATE("/once/1", "/again/1", "/slow/1");
  CAPTURE(which, path);
  auto& it = make_fixture();
  auto& target = it.add_target([which](const std::string& head) {
    return scripted_answer{.bytes = false_heads(id_of(head)).at(which),
                           .close = true};
  });
  it.start();
  auto answer = it.post(path, "a1");
  REQUIRE(answer.ok());
  CHECK(answer->status >= 500);
  auto promises = answer->status == 503;
  CHECK_FALSE(promises);
  CHECK(find_header(answer->headers, "Fulmarpitch-Server-Stamp").empty());
  if (std::string_view(path) == "/once/1") CHECK(target.heads.size() == 1);
}

TEST_CASE("a stream needs the status 200") {
  const auto* status = GENERATE("204 No Content", "206 Partial Content");
  const auto* path = GENERATE("/once/1", "/again/1");
  CAPTURE(status, path);
  auto& it = make_fixture();
  it.add_target([status](const std::string& head) {
    return scripted_answer{
        .bytes = concat("HTTP/1.1 ", status,
                        "\r\nFulmarpitch-Attempt-Id: ", id_of(head),
                        "\r\nFulmarpitch-Server-Stamp: stamp\r\n\r\n"),
        .close = true};
  });
  it.start();
  auto answer = it.post(path, "a1");
  REQUIRE(answer.ok());
  CHECK(answer->status >= 500);
}

TEST_CASE("an item is neither done nor dead by an answer that is none") {
  struct false_answer {
    const char* status;
    /// Of these statuses, as many as of 500 make an item dead.
    std::size_t count;
  };
  auto [status, count] = GENERATE(values<false_answer>({{"000 Odd", 1},
                                                        {"101 Odd", 1},
                                                        {"204 No Content", 1},
                                                        {"302 Found", 4},
                                                        {"404 Not Found", 4}}));
  CAPTURE(status);
  auto& it = make_fixture();
  auto runs = std::size_t{0};
  it.add_target([&, status = status, count = count](const std::string& head) {
    if (++runs > count) return whole(head);
    auto fields = concat("Fulmarpitch-Attempt-Id: ", id_of(head),
                         "\r\nFulmarpitch-Server-Stamp: stamp\r\n");
    return scripted_answer{.bytes = concat("HTTP/1.1 ", status, "\r\n", fields,
                                           "Content-Length: 0\r\n\r\n"),
                           .close = true};
  });
  it.start();
  auto answer = it.call({.method = "POST",
                         .target = "/jobs/j1",
                         .headers = {{"Fulmarpitch-Attempt-Id", "j1"}},
                         .body = job_body(1, "prompt", 1)});
  REQUIRE(answer.ok());
  REQUIRE(answer->status == 202);
  // Each pause after a false answer is longer than the last.
  for (auto n = std::size_t{0}; n < count; ++n)
    it.until([&] { return listed(it, "j1") == 1; });
  auto results = all_results(it, "j1");
  REQUIRE(results.size() == 1);
  CHECK(results[0].at("state").as_string() == "done");
}
