// End-to-end tests over loopback of requests that crash every target that
// starts to run them.

#include <catch2/catch.hpp>

#include "serving-fixture.h"

using namespace fulmar;
using namespace fulmar::serving_test;

namespace {

/// Closes the connection on the crashing content, like a target that crashes;
/// serves all other requests.
scripted_target::script crashing() {
  return [](const std::string& head) {
    if (head.find(" /again/poison ") == std::string::npos) return whole(head);
    return scripted_answer{.close = true};
  };
}

/// Breaks off its first answers in the middle, and works afterwards.
scripted_target::script unlucky(int* ends_left) {
  return [ends_left](const std::string& head) {
    if ((*ends_left)-- <= 0) return whole(head);
    return scripted_answer{.bytes = stream_head(id_of(head)) + chunk(event(1)),
                           .close = true};
  };
}

std::size_t poison_runs(const fixture& it) {
  auto out = std::size_t{0};
  for (const auto& target : it.targets) {
    for (const auto& head : target.heads) {
      if (head.find(" /again/poison ") != std::string::npos) ++out;
    }
  }
  return out;
}

/// Time within which all daemons learn of the third end.
constexpr auto contact_time = 4s;

constexpr std::size_t ends_until_known = 3;
constexpr std::size_t most_retries = 3;

}  // namespace

TEST_CASE("a request that ended three targets is retried three times at most") {
  auto& it = make_fixture();
  for (auto n = 0; n < 4; ++n)
    it.add_target(crashing());
  it.start(true);
  auto addresses = std::array{concat("127.0.0.1:", it.ports.client),
                              concat("127.0.0.2:", it.ports.client)};
  auto sent = 0;
  auto send = [&] {
    it.client_address = addresses[sent % addresses.size()];
    (void)it.post("/again/poison", concat("p", ++sent));
  };
  while (poison_runs(it) < ends_until_known)
    send();
  it.run_for(contact_time);
  auto known = poison_runs(it);
  for (auto n = 0; n < 12; ++n) {
    send();
    it.run_for(100ms);
  }
  CHECK(poison_runs(it) <= known + most_retries);
}

TEST_CASE("a new daemon holds a request that ended three targets") {
  auto& it = make_fixture();
  for (auto n = 0; n < 4; ++n)
    it.add_target(crashing());
  it.start();
  for (auto n = 0; poison_runs(it) < ends_until_known; ++n)
    (void)it.post("/again/poison", concat("p", n));
  auto known = poison_runs(it);
  it.second = it.start_daemon("vm-2", "127.0.0.2", it.store.address());
  it.client_address = concat("127.0.0.2:", it.ports.client);
  it.run_for(500ms);
  auto answer = it.post("/again/poison", "late");
  REQUIRE(answer.ok());
  CHECK(answer->status == 503);
  CHECK_FALSE(find_header(answer->headers, "Retry-After").empty());
  CHECK(poison_runs(it) == known);
  auto other = it.post("/again/sound", "other");
  REQUIRE(other.ok());
  CHECK(other->body == whole_text());
}

TEST_CASE("a sound request running at three ends is served after a trial") {
  static auto ends_left = 3;
  auto& it = make_fixture();
  for (auto n = 0; n < 4; ++n)
    it.add_target(unlucky(&ends_left));
  it.start(true);
  for (auto n = 0; ends_left > 0; ++n)
    (void)it.post("/once/1", concat("a", n));
  auto held = it.post("/once/1", "held");
  REQUIRE(held.ok());
  CHECK(held->status == 503);
  auto answer = absl::StatusOr<http_response>(held);
  for (auto n = 0; answer.ok() && answer->status == 503 && n < 40; ++n) {
    it.run_for(100ms);
    answer = it.post("/once/1", concat("b", n));
  }
  REQUIRE(answer.ok());
  CHECK(answer->body == whole_text());
  // By now the other daemon has learned that the request is sound.
  it.client_address = concat("127.0.0.2:", it.ports.client);
  it.run_for(500ms);
  auto again = it.post("/once/1", "c");
  REQUIRE(again.ok());
  CHECK(again->body == whole_text());
}

TEST_CASE("without the store a request that ended three targets is held") {
  auto& it = make_fixture();
  for (auto n = 0; n < 4; ++n)
    it.add_target(crashing());
  it.start();
  it.store.set_fault(store_fault::down);
  for (auto n = 0; poison_runs(it) < ends_until_known; ++n)
    (void)it.post("/again/poison", concat("p", n));
  auto known = poison_runs(it);
  for (auto n = 0; n < 30; ++n) {
    (void)it.post("/again/poison", concat("q", n));
    it.run_for(100ms);
  }
  CHECK(poison_runs(it) == known);
}

namespace {

/// Says nothing any more on the crashing content, like a target whose VM is
/// lost.
scripted_answer go_dark(const std::string& head) {
  if (head.find(" /again/poison ") == std::string::npos) return whole(head);
  return {.silent = true};
}

}  // namespace

TEST_CASE(
    "a request under which targets went dark is held when they are gone") {
  auto& it = make_fixture();
  for (auto n = 0; n < 4; ++n)
    it.add_target(go_dark);
  it.start();
  auto lost = std::size_t{0};
  for (auto n = 0; lost < ends_until_known && n < 3; ++n) {
    (void)it.post("/again/poison", concat("p", n));
    lost = 0;
    for (auto t = std::size_t{0}; t < it.targets.size(); ++t) {
      if (it.targets[t].heads.empty()) continue;
      it.store.remove("servers", concat("t", t + 1));
      ++lost;
    }
  }
  REQUIRE(lost >= ends_until_known);
  auto& fresh = it.add_target(whole);
  it.run_for(1500ms);
  auto answer = it.post("/again/poison", "late");
  REQUIRE(answer.ok());
  CHECK(answer->status == 503);
  CHECK(fresh.heads.empty());
}

TEST_CASE("requests broken off by one run of a target count as one end") {
  static auto ends_left = 3;
  auto& it = make_fixture();
  it.add_target(unlucky(&ends_left));
  it.list_target(1, 5);
  it.start();
  for (auto n = 0; ends_left > 0; ++n)
    (void)it.post("/once/1", concat("a", n));
  auto answer = it.post("/once/1", "b");
  REQUIRE(answer.ok());
  CHECK(answer->body == whole_text());
}
