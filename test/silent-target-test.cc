// End-to-end tests over loopback of sound targets that fall silent in the
// middle of a stream and go on.

#include <catch2/catch.hpp>

#include "serving-fixture.h"

using namespace fulmar;
using namespace fulmar::serving_test;

namespace {

/// Sends two events, is silent for longer than the daemon waits for targets
/// that may be passed over, and sends the rest.
scripted_answer pause_inside(const std::string& head) {
  auto out = stream_head(id_of(head));
  auto rest = std::string();
  for (auto n = first_event(head); n <= last_event; ++n)
    (n <= 2 ? out : rest) += chunk(event(n));
  return {.bytes = out, .pause = 1200ms, .rest = rest + "0\r\n\r\n"};
}

}  // namespace

TEST_CASE("a stream that no other target may continue waits for its target") {
  auto& it = make_fixture();
  it.add_target(pause_inside);
  it.start();
  auto answer = it.post("/again/1", "a1");
  REQUIRE(answer.ok());
  CHECK(answer->body == whole_text());
  CHECK(it.targets[0].heads.size() == 1);
}

TEST_CASE("a stream's last attempt waits for a silent target") {
  auto& it = make_fixture();
  auto break_off = [](const std::string& head) {
    return scripted_answer{.bytes = stream_head(id_of(head)) + chunk(event(1)),
                           .close = true};
  };
  auto script = [break_off,
                 n = std::make_shared<int>(0)](const std::string& head) {
    return (*n)++ == 0 ? break_off(head) : pause_inside(head);
  };
  it.add_target(script);
  it.add_target(script);
  it.add_target(script);
  it.start();
  auto answer = it.post("/again/1", "a1");
  REQUIRE(answer.ok());
  CHECK(answer->body == whole_text());
}

TEST_CASE("a stream whose other target is full waits for its silent target") {
  auto& it = make_fixture();
  auto runs_long = std::make_shared<int>(0);
  auto script = [runs_long](const std::string& head) {
    if (head.starts_with("POST /once/")) {
      ++*runs_long;
      return scripted_answer{.bytes = stream_head(id_of(head)),
                             .endless = chunk(": busy\n\n"),
                             .endless_interval = 100ms};
    }
    return head.find("Last-Event-Id") == std::string::npos
               ? pause_inside(head)
               : refuse_to_run(head);
  };
  it.add_target(script);
  it.add_target(script);
  for (const auto* id : {"t1", "t2"}) {
    auto& target = it.targets[id[1] - '1'];
    it.store.put(
        "servers", id,
        concat(R"({"service":"s","zone":"dc","slots":1,)",
               R"("state":"ready","addr":")", target.address(), R"("})"));
  }
  it.start();
  auto busy = start_call(
      it.loop,
      {.address = it.client_address,
       .request = {.method = "POST",
                   .target = "/once/1",
                   .headers = {{"Host", "h"}, {"Fulmarpitch-Attempt-Id", "b1"}},
                   .body = "prompt"}},
      {.on_end = [](const absl::Status&) {}});
  it.until([&] { return *runs_long == 1; });
  auto answer = it.post("/again/1", "a1");
  REQUIRE(answer.ok());
  CHECK(answer->body == whole_text());
  busy->cancel();
}

TEST_CASE("a stream goes on elsewhere while its target is silent") {
  auto& it = make_fixture();
  auto script = [n = std::make_shared<int>(0)](const std::string& head) {
    return (*n)++ == 0 ? pause_inside(head) : whole(head);
  };
  it.add_target(script);
  it.add_target(script);
  it.start();
  auto answer = it.post("/again/1", "a1");
  REQUIRE(answer.ok());
  CHECK(answer->body == whole_text());
  CHECK(it.targets[0].heads.size() + it.targets[1].heads.size() == 2);
}

namespace {

/// Breaks off the first request, and answers the next after a silence that is
/// longer than the daemon waits for targets that may be passed over.
scripted_target::script answer_late(instant silence) {
  return [silence, n = std::make_shared<int>(0)](const std::string& head) {
    if ((*n)++ == 0) return scripted_answer{.close = true};
    auto out = whole(head);
    if (head.starts_with("POST /slow/")) {
      out.bytes =
          concat("HTTP/1.1 200 OK\r\nFulmarpitch-Attempt-Id: ", id_of(head),
                 "\r\nFulmarpitch-Server-Stamp: s\r\n"
                 "Content-Length: 2\r\n\r\nok");
    }
    out.delay = silence;
    return out;
  };
}

}  // namespace

// Nothing else could answer it sooner, and a silent target may be sound.
TEST_CASE("a request's last attempt waits for a silent target") {
  auto& it = make_fixture();
  SECTION("that answers at once") {
    auto script = answer_late(2200ms);
    it.add_target(script);
    it.add_target(script);
    it.start();
    auto answer = it.post("/slow/1", "a1");
    REQUIRE(answer.ok());
    CHECK(answer->status == 200);
    CHECK(answer->body == "ok");
  }
  SECTION("that begins a stream") {
    auto script = answer_late(1200ms);
    it.add_target(script);
    it.add_target(script);
    it.start();
    auto answer = it.post("/again/1", "a1");
    REQUIRE(answer.ok());
    CHECK(answer->body == whole_text());
  }
}

namespace {

/// Sends the same content several times at once.
std::vector<absl::StatusOr<http_response>> post_at_once(
    fixture& it, int count, const std::string& path) {
  auto out = std::vector<absl::StatusOr<http_response>>();
  for (auto n = 0; n < count; ++n) {
    fetch(it.loop,
          {.address = it.client_address,
           .request = {.method = "POST",
                       .target = path,
                       .headers = {{"Host", "h"},
                                   {"Fulmarpitch-Attempt-Id", concat("a", n)}},
                       .body = "prompt"},
           .idle_timeout = 8s},
          [&out, &it, count](auto answer) {
            out.push_back(std::move(answer));
            if (out.size() == static_cast<std::size_t>(count)) it.loop.stop();
          });
  }
  it.loop.run();
  return out;
}

}  // namespace

// Silence is no sign that a request crashes targets: such requests were held
// back, and cut off if their answer had begun.
TEST_CASE("requests that find all targets silent are served") {
  auto& it = make_fixture();
  auto script = scripted_target::script(pause_inside);
  SECTION("before an answer begins") {
    script = [](const std::string& head) {
      auto out = whole(head);
      out.delay = 1200ms;
      return out;
    };
  }
  SECTION("in the middle of a stream") {}
  for (auto n = 0; n < 6; ++n)
    it.add_target(script);
  it.start();
  for (const auto& answer : post_at_once(it, 6, "/again/1")) {
    REQUIRE(answer.ok());
    CHECK(answer->status == 200);
    CHECK(answer->body == whole_text());
  }
}
