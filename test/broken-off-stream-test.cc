// End-to-end tests over loopback of streams that a target breaks off without a
// broken framing: inside an event, or before the first one.

#include <absl/strings/escaping.h>

#include <catch2/catch.hpp>

#include "serving-fixture.h"

using namespace fulmar;
using namespace fulmar::serving_test;

namespace {

enum class framing { connection, chunks, length };

/// Responds with bytes of a stream in a framing that looks complete.
scripted_answer framed(const std::string& head, framing how,
                       const std::string& body) {
  auto out = concat("HTTP/1.1 200 OK\r\nFulmarpitch-Attempt-Id: ", id_of(head),
                    "\r\nFulmarpitch-Server-Stamp: stamp\r\n"
                    "Content-Type: text/event-stream\r\n");
  switch (how) {
    case framing::connection:
      out += concat("Connection: close\r\n\r\n", body);
      break;
    case framing::chunks:
      out += concat("Transfer-Encoding: chunked\r\n\r\n",
                    body.empty() ? std::string() : chunk(body), "0\r\n\r\n");
      break;
    case framing::length:
      out += concat("Content-Length: ", body.size(), "\r\n\r\n", body);
      break;
  }
  return {.bytes = out, .close = how == framing::connection};
}

std::string rest_of_stream(const std::string& head) {
  auto out = std::string();
  for (auto n = first_event(head); n <= last_event; ++n)
    out += event(n);
  return out;
}

/// Breaks off the first `breaks` streams behind `body`; the others are whole.
scripted_target::script breaking(framing how, const std::string& body,
                                 const std::shared_ptr<int>& breaks) {
  return [how, body, breaks](const std::string& head) {
    auto broken = (*breaks)-- > 0;
    return framed(head, how, broken ? body : rest_of_stream(head));
  };
}

/// What is left of a stream that ends inside its second event.
std::vector<std::string> ends_inside_event() {
  auto out = std::vector<std::string>();
  for (const auto* part : {"i", "id: 2", "id: 2\n", "id: 2\ndata: d",
                           "id: 2\ndata: d2\n", "id: 2\r\ndata: d2\r\n\r"})
    out.push_back(event(1) + part);
  return out;
}

auto any_framing() {
  return GENERATE(framing::connection, framing::chunks, framing::length);
}

std::string job_of_one_item() {
  return concat(
      R"({"requests":[{"id":"i1","path":"/jobs/1/i1","headers":{},"body":")",
      absl::Base64Escape("p"), R"(","tokens":10}]})");
}

std::string output_of_job(fixture& it) {
  REQUIRE(it.post("/jobs/1", "j1", job_of_one_item())->status == 202);
  auto results = std::string();
  it.until([&] {
    auto answer = it.get("/v1/lots/j1?after=0");
    if (answer.ok()) results = answer->body;
    return results.find("done") != std::string::npos;
  });
  return results;
}

constexpr auto whole_output = R"("output":"d1\nd2\nd3\nd4")";

}  // namespace

TEST_CASE("a whole stream reaches the client whole in any framing") {
  auto how = any_framing();
  auto& it = make_fixture();
  it.add_target(breaking(how, "", std::make_shared<int>(0)));
  it.start();
  auto answer = it.post("/once/1", "a1");
  REQUIRE(answer.ok());
  CHECK(answer->body == whole_text());
}

TEST_CASE("a stream that ends inside an event is not framed as complete") {
  auto how = any_framing();
  auto body = GENERATE(from_range(ends_inside_event()));
  CAPTURE(static_cast<int>(how), body);
  auto& it = make_fixture();
  it.add_target(breaking(how, body, std::make_shared<int>(1)));
  it.start();
  CHECK_FALSE(it.post("/once/1", "a1").ok());
}

TEST_CASE("a stream whose connection ends before an event is not complete") {
  auto& it = make_fixture();
  it.add_target(breaking(framing::connection, "", std::make_shared<int>(1)));
  it.start();
  CHECK_FALSE(it.post("/once/1", "a1").ok());
}

TEST_CASE("a resumable stream that ended inside an event goes on elsewhere") {
  auto how = any_framing();
  auto body = GENERATE(from_range(ends_inside_event()));
  CAPTURE(static_cast<int>(how), body);
  auto breaks = std::make_shared<int>(1);
  auto& it = make_fixture();
  it.add_target(breaking(how, body, breaks));
  it.add_target(breaking(how, body, breaks));
  it.start();
  auto answer = it.post("/again/1", "a1");
  REQUIRE(answer.ok());
  CHECK(answer->body == whole_text());
}

TEST_CASE("a resumed stream whose connection ends at once is not complete") {
  auto& it = make_fixture();
  auto script = [n = std::make_shared<int>(0)](const std::string& head) {
    auto first = (*n)++ == 0;
    return framed(head, framing::connection, first ? event(1) + "id: 2" : "");
  };
  it.add_target(script);
  it.add_target(script);
  it.start();
  CHECK_FALSE(it.post("/again/1", "a1").ok());
}

TEST_CASE("an item that ended inside an event is resumed") {
  auto how = any_framing();
  auto body = GENERATE(from_range(ends_inside_event()));
  CAPTURE(static_cast<int>(how), body);
  auto& it = make_fixture();
  it.add_target(breaking(how, body, std::make_shared<int>(1)));
  it.start();
  CHECK(output_of_job(it).find(whole_output) != std::string::npos);
}

TEST_CASE("a resumed item whose connection ends at once is not done") {
  auto& it = make_fixture();
  auto script = [n = std::make_shared<int>(0)](const std::string& head) {
    auto attempt = (*n)++;
    auto body = std::string();
    if (attempt == 0) body = event(1) + "id: 2";
    if (attempt > 1) body = rest_of_stream(head);
    return framed(head, framing::connection, body);
  };
  it.add_target(script);
  it.start();
  CHECK(output_of_job(it).find(whole_output) != std::string::npos);
}

TEST_CASE("an answer that is reset behind its head is not complete") {
  const auto* path = GENERATE("/once/1", "/slow/1");
  CAPTURE(path);
  auto& it = make_fixture();
  auto script = [](const std::string& head) {
    auto out = framed(head, framing::connection, event(1));
    out.reset = true;
    return out;
  };
  it.add_target(script);
  it.start();
  auto answer = it.post(path, "a1");
  CHECK((!answer.ok() || answer->status >= 500));
}
