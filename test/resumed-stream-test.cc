// End-to-end tests over loopback of streams that break off and whose next
// target does not go on with them.

#include <absl/strings/escaping.h>

#include <catch2/catch.hpp>

#include "serving-fixture.h"

using namespace fulmar;
using namespace fulmar::serving_test;

namespace {

struct next_answer {
  const char* name;
  /// Status line and headers but for the request's id.
  std::string head;
  std::string body;
  /// The target closes the connection.
  bool close = false;
};

const auto signature = std::string("Fulmarpitch-Server-Stamp: stamp\r\n");
const auto chunked = std::string("Transfer-Encoding: chunked\r\n");

std::string length_of(const std::string& body) {
  return concat("Content-Length: ", body.size(), "\r\n");
}

/// Responses of a target that does not go on with a stream. Their texts would
/// show in the client's stream if they were taken for a part of it.
std::vector<next_answer> errors() {
  const auto text = std::string("error: busy\n\n");
  const auto events =
      std::string("id: 3\ndata: error\n\nid: 4\ndata: error\n\n");
  return {
      {"an error's text", "HTTP/1.1 500 Broken\r\n" + length_of(text), text},
      {"a signed error",
       "HTTP/1.1 500 Broken\r\n" + signature + length_of(text), text},
      {"an error with events",
       "HTTP/1.1 500 Broken\r\n" + signature + length_of(events), events},
      {"an error in chunks", "HTTP/1.1 502 Broken\r\n" + signature + chunked,
       chunk(events) + "0\r\n\r\n"},
      {"an error that ends with its connection",
       "HTTP/1.1 504 Late\r\n" + signature, events, true},
      {"a client error", "HTTP/1.1 404 None\r\n" + signature + length_of(text),
       text},
      {"a redirection",
       "HTTP/1.1 302 Found\r\n" + signature + length_of(events), events},
      {"a refusal that does not say so",
       "HTTP/1.1 503 Busy\r\n" + signature + length_of(text), text},
      {"a success without signature", "HTTP/1.1 200 OK\r\n" + length_of(events),
       events},
      {"a success that is no stream",
       "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + signature +
           length_of(text),
       text},
      {"a head that breaks off", "HTTP/1.1 500 Bro", "", true},
      {"bytes that are no answer", "error: busy\n\nid: 3\ndata: error\n\n", "",
       true},
      {"nothing", "", "", true},
  };
}

scripted_answer as_answer(const next_answer& it, const std::string& id) {
  auto has_head = it.head.ends_with("\r\n");
  auto end = has_head ? concat("Fulmarpitch-Attempt-Id: ", id, "\r\n\r\n")
                      : std::string();
  return {.bytes = it.head + end + it.body, .close = it.close};
}

}  // namespace

TEST_CASE("the answer of a target that does not resume is not in the stream") {
  auto next = GENERATE(from_range(errors()));
  CAPTURE(next.name);
  auto& it = make_fixture();
  auto script = [next, n = std::make_shared<int>(0)](const std::string& head) {
    if ((*n)++ > 0) return as_answer(next, id_of(head));
    return scripted_answer{.bytes = stream_head(id_of(head)) +
                                    chunk(event(1) + event(2) + "id: 3\nda"),
                           .close = true};
  };
  for (auto n = 0; n < 4; ++n)
    it.add_target(script);
  it.start();
  auto received = std::string();
  auto end = std::optional<absl::Status>();
  auto call =
      start_call(it.loop,
                 {.address = it.client_address,
                  .request = {.method = "POST",
                              .target = "/again/1",
                              .headers = {{"Host", "h"},
                                          {"Fulmarpitch-Attempt-Id", "a1"},
                                          {"Fulmarpitch-Deadline-Ms", "1500"}},
                              .body = "prompt"}},
                 {.on_head = {},
                  .on_data = [&](std::string_view piece) { received += piece; },
                  .on_end =
                      [&](const absl::Status& status) {
                        end = status;
                        it.loop.stop();
                      }});
  it.loop.run();
  REQUIRE(end);
  CHECK_FALSE(end->ok());
  CHECK(received == event(1) + event(2));
}

TEST_CASE("a refusal to resume is followed by the next target") {
  auto& it = make_fixture();
  auto script = [n = std::make_shared<int>(0)](const std::string& head) {
    auto attempt = (*n)++;
    if (attempt == 1) return refuse_to_run(head);
    if (attempt > 1) return whole(head);
    return scripted_answer{.bytes = stream_head(id_of(head)) +
                                    chunk(event(1) + event(2) + "id: 3\nda"),
                           .close = true};
  };
  for (auto n = 0; n < 3; ++n)
    it.add_target(script);
  it.start();
  auto answer = it.post("/again/1", "a1");
  REQUIRE(answer.ok());
  CHECK(answer->body == whole_text());
}

TEST_CASE("an item is not done by the answer of a target that did not resume") {
  auto next = GENERATE(from_range(errors()));
  CAPTURE(next.name);
  auto& it = make_fixture();
  it.add_target([next, n = 0](const std::string& head) mutable {
    auto attempt = n++;
    if (attempt == 1) return as_answer(next, id_of(head));
    if (attempt > 1) return whole(head);
    return scripted_answer{.bytes = stream_head(id_of(head)) +
                                    chunk(event(1) + event(2) + "id: 3\nda"),
                           .close = true};
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
