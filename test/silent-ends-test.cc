#include "fulmarpitch/serving/silent-ends.h"

#include <catch2/catch.hpp>

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

constexpr auto now = instant(100s);

target make_target(std::uint64_t started_ms = 1) {
  return {.id = "t",
          .service = "s",
          .address = "127.0.0.1:1",
          .data_centre = "dc",
          .started_ms = started_ms};
}

struct silence {
  target_table table;
  silent_ends ends;

  silence() {
    list_target(table, make_target());
    note_silence(ends,
                 {.request = "r", .to = make_target(), .at = instant(now)});
  }

  std::size_t ended(instant after) {
    return take_ended(ends, table, now + after).size();
  }
};

}  // namespace

TEST_CASE("a target that stays listed has not ended") {
  auto it = silence();
  CHECK(it.ended(0s) == 0);
  CHECK(it.ended(5s) == 0);
  CHECK(it.ends.waiting.size() == 1);
  CHECK(it.ended(5001ms) == 0);
  CHECK(it.ends.waiting.empty());
}

TEST_CASE("a silent target whose entry is removed has ended") {
  auto it = silence();
  drop_target(it.table, "t");
  CHECK(it.ended(3s) == 1);
  CHECK(it.ended(3s) == 0);
}

TEST_CASE("a silent target that starts again has ended") {
  auto it = silence();
  list_target(it.table, make_target(2));
  CHECK(it.ended(2s) == 1);
}

TEST_CASE("a silent target that leaves as planned has not ended") {
  auto it = silence();
  note_leaving(it.table, "t", now);
  CHECK(it.ended(1s) == 0);
  drop_target(it.table, "t");
  CHECK(it.ended(4s) == 0);
}

TEST_CASE("the silences that are remembered are bounded") {
  auto it = silent_ends();
  it.options.max_waiting = 2;
  CHECK_FALSE(note_silence(it, {.request = "r1"}));
  CHECK_FALSE(note_silence(it, {.request = "r2"}));
  CHECK(note_silence(it, {.request = "r3"}));
  CHECK(it.waiting.size() == 2);
  CHECK(it.waiting.front().request == "r2");
}
