#include "fulmarpitch/serving/job-takeover.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

job_row job_of(const std::string& owner, const std::string& data_centre) {
  return {.id = "j1",
          .host = "a.example",
          .route = "r",
          .items = 2,
          .owner = {.name = owner, .data_centre = data_centre}};
}

/// A daemon's load board in data centre a, fed with reports and summaries.
struct board_fixture {
  load_board board{.data_centre = "a"};
  std::uint64_t sequence = 0;

  void hear(const std::string& name, std::uint64_t incarnation, instant now,
            bool store_lost = false) {
    take_report(board,
                {.name = name,
                 .data_centre = "a",
                 .incarnation = incarnation,
                 .sequence = ++sequence,
                 .store_lost = store_lost},
                now);
  }

  void hear_far(const std::string& name, instant now, bool store_lost = false) {
    take_summary(board,
                 {.data_centre = "b",
                  .sequence = ++sequence,
                  .members = {{.name = name,
                               .incarnation = 1,
                               .store_lost = store_lost}}},
                 now);
  }
};

takeover_candidate daemon(const std::string& name, instant age = 60s) {
  return {.name = name, .data_centre = "a", .age = age};
}

}  // namespace

TEST_CASE("a restarted daemon takes its jobs back at once") {
  auto it = board_fixture();
  auto job = job_of("vm1#7", "a");
  CHECK(should_take_over(it.board, daemon("vm1", 0s), job, 10s));

  SECTION("unless they have ended") {
    job.ended = true;
    CHECK_FALSE(should_take_over(it.board, daemon("vm1", 0s), job, 10s));
  }
  SECTION("jobs of other owners wait for the settle time") {
    CHECK_FALSE(should_take_over(it.board, daemon("vm2", 2400ms), job, 10s));
    CHECK(should_take_over(it.board, daemon("vm2", 2500ms), job, 10s));
  }
}

TEST_CASE("a live owner keeps its job") {
  auto it = board_fixture();
  it.hear("vm1", 7, 10s);
  CHECK_FALSE(
      should_take_over(it.board, daemon("vm2"), job_of("vm1#7", "a"), 11s));
  // The last report is 1.7 s old.
  CHECK(
      should_take_over(it.board, daemon("vm2"), job_of("vm1#7", "a"), 11700ms));
}

TEST_CASE(
    "exactly one daemon of the data centre takes over from a lost owner") {
  auto names = std::vector<std::string>{"vm2", "vm3", "vm4"};
  auto takers = 0;
  for (const auto& self : names) {
    auto it = board_fixture();
    for (const auto& other : names) {
      if (other != self) it.hear(other, 1, 10s);
    }
    auto job = job_of("vm1#7", "a");
    if (should_take_over(it.board, daemon(self), job, 10s)) ++takers;
  }
  CHECK(takers == 1);
}

TEST_CASE("a job of a lost data centre goes to another data centre") {
  auto it = board_fixture();
  auto job = job_of("vm9#1", "b");
  it.hear_far("vm8", 10s);
  CHECK_FALSE(should_take_over(it.board, daemon("vm1"), job, 11s));
  CHECK_FALSE(should_take_over(it.board, daemon("vm1", 5900ms), job, 16s));
  CHECK(should_take_over(it.board, daemon("vm1", 6000ms), job, 16s));
}

// A daemon that cannot reach the store never takes a job over.
TEST_CASE("a job does not wait for a daemon without the store") {
  auto it = board_fixture();
  SECTION("of the owner's data centre") {
    for (const auto* other : {"vm2", "vm3", "vm4", "vm5", "vm6"})
      it.hear(other, 1, 10s, true);
    CHECK(should_take_over(it.board, daemon("vm7"), job_of("vm1#7", "a"), 10s));
  }
  SECTION("of another data centre") {
    it.hear_far("vm8", 10s, true);
    CHECK(should_take_over(it.board, daemon("vm7"), job_of("vm9#1", "b"), 11s));
  }
  SECTION("that considers it itself") {
    auto self = daemon("vm7");
    self.store_lost = true;
    CHECK_FALSE(should_take_over(it.board, self, job_of("vm1#7", "a"), 10s));
  }
}
