// End-to-end tests over loopback of a prompt part that crashes every target
// that begins to answer a request with it. No two of the requests are alike.

#include <catch2/catch.hpp>

#include "serving-fixture.h"

using namespace fulmar;
using namespace fulmar::serving_test;

namespace {

constexpr auto bad_part = std::string_view("badbadba");
constexpr auto prefix_header = std::string_view("Fulmarpitch-Prompt-Prefix: ");

bool has_bad_part(const std::string& head) {
  auto at = head.find(prefix_header);
  if (at == std::string::npos) return false;
  auto line = head.substr(at, head.find("\r\n", at) - at);
  return line.find(bad_part) != std::string::npos;
}

/// Crashes in the middle of its answer to a request with the bad part; serves
/// all other requests.
scripted_answer crash_on_bad_part(const std::string& head) {
  if (!has_bad_part(head)) return whole(head);
  return {.bytes = stream_head(id_of(head)) + chunk(event(1) + "id: 2\nda"),
          .close = true};
}

std::size_t bad_runs(const fixture& it) {
  auto out = std::size_t{0};
  for (const auto& target : it.targets) {
    for (const auto& head : target.heads) {
      if (has_bad_part(head)) ++out;
    }
  }
  return out;
}

/// Where the bad part stands among the parts that requests share.
enum class position { first, middle, behind_the_first };

/// \param n tells requests apart; all parts but the first and the bad one are
///     of the request alone.
std::string bad_parts(position where, int n) {
  auto other = concat(hex(1000 + n), ":40");
  auto last = concat(",", hex(9000 + n), ":250");
  auto bad = concat(bad_part, ":120");
  switch (where) {
    case position::first:
      return concat(bad, ",", other, last);
    case position::middle:
      return concat("f1:200,", other, ",", bad, ",c3:10", last);
    case position::behind_the_first:
      return concat("f1:200,", bad, last);
  }
  return {};
}

std::string sound_parts(int n) {
  return concat("f1:200,", hex(5000 + n), ":40,", hex(7000 + n), ":250");
}

struct prompt_caller {
  fixture& at;
  int sent = 0;

  absl::StatusOr<http_response> send(const std::string& parts,
                                     const std::string& path = "/once/") {
    ++sent;
    auto client = std::array{concat("127.0.0.1:", at.ports.client),
                             concat("127.0.0.2:", at.ports.client)};
    if (at.second) at.client_address = client[sent % client.size()];
    return at.call({.method = "POST",
                    .target = concat(path, sent),
                    .headers = {{"Fulmarpitch-Attempt-Id", concat("p", sent)},
                                {"Fulmarpitch-Deadline-Ms", "2500"},
                                {"Fulmarpitch-Model", "m"},
                                {"Fulmarpitch-Prompt-Prefix", parts}},
                    .body = concat("prompt ", sent)});
  }

  absl::StatusOr<http_response> send_bad(position where,
                                         const std::string& path = "/once/") {
    return send(bad_parts(where, sent), path);
  }

  bool serves_sound() {
    auto answer = send(sound_parts(sent));
    return answer.ok() && answer->body == whole_text();
  }
};

/// Time within which all daemons learn of the fifth end.
constexpr auto contact_time = 4s;
constexpr std::size_t ends_until_known = 5;
constexpr std::size_t most_later_runs = 3;

}  // namespace

TEST_CASE("a part that ended five targets reaches three more at most") {
  auto where =
      GENERATE(position::first, position::middle, position::behind_the_first);
  const auto* path = GENERATE("/once/", "/again/");
  auto targets = GENERATE(2, 5);
  CAPTURE(static_cast<int>(where), path, targets);
  auto& it = make_fixture();
  for (auto n = 0; n < targets; ++n)
    it.add_target(crash_on_bad_part);
  it.start(true);
  auto caller = prompt_caller{it};
  for (auto n = 0; n < 6; ++n)
    REQUIRE(caller.serves_sound());
  for (auto n = 0; bad_runs(it) < ends_until_known && n < 40; ++n) {
    (void)caller.send_bad(where, path);
    it.run_for(50ms);
  }
  it.run_for(contact_time);
  auto known = bad_runs(it);
  auto served = 0;
  constexpr auto rounds = 20;
  for (auto n = 0; n < rounds; ++n) {
    (void)caller.send_bad(where, path);
    if (caller.serves_sound()) ++served;
    it.run_for(50ms);
  }
  CHECK(bad_runs(it) <= known + most_later_runs);
  CHECK(served * 2 >= rounds);
}

TEST_CASE("a new daemon holds a part that ended targets") {
  auto& it = make_fixture();
  for (auto n = 0; n < 4; ++n)
    it.add_target(crash_on_bad_part);
  it.start();
  auto caller = prompt_caller{it};
  for (auto n = 0; bad_runs(it) < ends_until_known && n < 40; ++n)
    (void)caller.send_bad(position::middle);
  auto known = bad_runs(it);
  it.second = it.start_daemon("vm-2", "127.0.0.2", it.store.address());
  it.run_for(500ms);
  it.client_address = concat("127.0.0.2:", it.ports.client);
  for (auto n = 0; n < 6; ++n)
    (void)it.call({.method = "POST",
                   .target = concat("/once/late", n),
                   .headers = {{"Fulmarpitch-Attempt-Id", concat("late", n)},
                               {"Fulmarpitch-Model", "m"},
                               {"Fulmarpitch-Prompt-Prefix",
                                bad_parts(position::middle, 300 + n)}}});
  CHECK(bad_runs(it) <= known + 1);
}

TEST_CASE("without the store a part that ended targets is held") {
  auto& it = make_fixture();
  for (auto n = 0; n < 4; ++n)
    it.add_target(crash_on_bad_part);
  it.start();
  auto caller = prompt_caller{it};
  for (auto n = 0; n < 6; ++n)
    REQUIRE(caller.serves_sound());
  it.store.set_fault(store_fault::down);
  it.run_for(200ms);
  for (auto n = 0; bad_runs(it) < ends_until_known && n < 40; ++n) {
    (void)caller.send_bad(position::middle);
    it.run_for(50ms);
  }
  auto known = bad_runs(it);
  auto served = 0;
  constexpr auto rounds = 20;
  for (auto n = 0; n < rounds; ++n) {
    (void)caller.send_bad(position::middle);
    if (caller.serves_sound()) ++served;
    it.run_for(100ms);
  }
  CHECK(bad_runs(it) <= known + most_later_runs);
  CHECK(served * 2 >= rounds);
}

TEST_CASE(
    "crashes without a common cause do not hold the part that all share") {
  static auto ends_left = 0;
  auto store_away = GENERATE(false, true);
  CAPTURE(store_away);
  auto& it = make_fixture();
  for (auto n = 0; n < 4; ++n) {
    it.add_target([](const std::string& head) {
      if (ends_left-- <= 0) return whole(head);
      return scripted_answer{
          .bytes = stream_head(id_of(head)) + chunk(event(1) + "id: 2\nda"),
          .close = true};
    });
  }
  it.start(true);
  auto caller = prompt_caller{it};
  for (auto n = 0; n < 6; ++n)
    REQUIRE(caller.serves_sound());
  if (store_away) it.store.set_fault(store_fault::down);
  for (auto round = 0; round < 8; ++round) {
    ends_left = 2;
    (void)caller.send(sound_parts(caller.sent));
    (void)caller.send(sound_parts(caller.sent));
    ends_left = 0;
    it.run_for(300ms);
    CHECK(caller.serves_sound());
    CHECK(caller.serves_sound());
  }
}

TEST_CASE("a sound part that is held without the store is tried") {
  static auto ends_left = 3;
  auto& it = make_fixture();
  for (auto n = 0; n < 4; ++n) {
    it.add_target([](const std::string& head) {
      if (!has_bad_part(head) || ends_left-- <= 0) return whole(head);
      return scripted_answer{
          .bytes = stream_head(id_of(head)) + chunk(event(1)), .close = true};
    });
  }
  it.start();
  auto caller = prompt_caller{it};
  it.store.set_fault(store_fault::down);
  for (auto n = 0; ends_left > 0 && n < 20; ++n) {
    (void)caller.send_bad(position::first);
    it.run_for(50ms);
  }
  auto held = caller.send_bad(position::first);
  REQUIRE(held.ok());
  CHECK(held->status == 503);
  CHECK_FALSE(find_header(held->headers, "Retry-After").empty());
  auto answer = absl::StatusOr<http_response>(held);
  for (auto n = 0; answer.ok() && answer->status == 503 && n < 40; ++n) {
    it.run_for(100ms);
    answer = caller.send_bad(position::first);
  }
  REQUIRE(answer.ok());
  CHECK(answer->body == whole_text());
}
