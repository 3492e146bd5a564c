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
