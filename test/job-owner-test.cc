#include "fulmarpitch/serving/job-owner.h"

#include <catch2/catch.hpp>

#include <array>
#include <cmath>
#include <deque>
#include <string>
#include <vector>

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

job_owner daemon(const std::string& name, const std::string& data_centre) {
  return {.name = name, .data_centre = data_centre};
}

void add_job(job_book& book, const std::string& id, const job_owner& owner,
             std::uint64_t tokens) {
  book.jobs[id] = {.id = id,
                   .host = "a.example",
                   .route = "r",
                   .items = 1,
                   .waiting_tokens = tokens,
                   .owner = owner};
}

const auto a1 = daemon("a1#1", "a");
const auto a2 = daemon("a2#1", "a");
const auto b1 = daemon("b1#1", "b");
const auto b2 = daemon("b2#1", "b");
const auto all = std::vector{a1, a2, b1, b2};
const auto even = data_centre_loads{{"a", {.slots = 48, .online = 20}},
                                    {"b", {.slots = 48, .online = 20}}};

}  // namespace

TEST_CASE("a job stays where it was submitted while the loads are alike") {
  auto book = job_book();
  CHECK(choose_owner(book, all, even, a1, 100) == a1);
  add_job(book, "j1", a1, 100);
  add_job(book, "j2", b1, 100);
  CHECK(choose_owner(book, all, even, a1, 100) == a1);
}

TEST_CASE("a job goes to the data centre that clears it first") {
  auto book = job_book();
  for (auto n = 0; n < 4; ++n)
    add_job(book, std::to_string(n), n % 2 == 0 ? a1 : a2, 100);

  SECTION("and there to the daemon with the least waiting work") {
    add_job(book, "b", b1, 50);
    CHECK(choose_owner(book, all, even, a1, 100) == b2);
  }
  SECTION("but not to one with few slots") {
    auto loads = even;
    loads["b"].slots = 8;
    CHECK(choose_owner(book, all, loads, a1, 100).data_centre == "a");
  }
  SECTION("but not to one that online requests fill") {
    auto loads = even;
    loads["b"].online = 48;
    CHECK(choose_owner(book, all, loads, a1, 100).data_centre == "a");
  }
  SECTION("but not to one without known loads") {
    auto loads = even;
    loads.erase("b");
    CHECK(choose_owner(book, all, loads, a1, 100).data_centre == "a");
  }
  SECTION("but not to one without a daemon that reaches the store") {
    auto here = std::vector{a1, a2};
    CHECK(choose_owner(book, here, even, a1, 100).data_centre == "a");
  }
  SECTION("finished and cancelled jobs do not count") {
    for (auto& [id, it] : book.jobs)
      it.ended = true;
    CHECK(choose_owner(book, all, even, a1, 100) == a1);
  }
}

TEST_CASE("a daemon with much waiting work leaves a job to its neighbour") {
  auto book = job_book();
  add_job(book, "j1", a1, 1000);
  add_job(book, "j2", b1, 1000);
  CHECK(choose_owner(book, all, even, a1, 100) == a2);
  CHECK(choose_owner(book, {}, even, a1, 100) == a1);
}

TEST_CASE("the mean load covers peaks and lows of any rhythm") {
  auto period = GENERATE(500ms, 2s, 5200ms, 7s);
  auto mean = data_centre_loads();
  for (auto at = instant(); at < 60s; at += 200ms) {
    auto peak = at % period < period / 2;
    auto now =
        data_centre_loads{{"a", {.slots = 48, .online = peak ? 40.0 : 10.0}}};
    update_mean_loads(mean, now, 200ms);
    if (at > 20s) CHECK(std::abs(mean["a"].online - 25) < 10);
  }
  update_mean_loads(mean, {{"a", {.slots = 8, .online = 8}}}, 200ms);
  CHECK(mean["a"].slots == 8);
  update_mean_loads(mean, {}, 200ms);
  CHECK(mean.empty());
}

namespace {

/// A load of jobs on three data centres.
struct job_play {
  /// Jobs per second submitted in each data centre.
  std::array<double, 3> jobs_per_second;
  /// Online load of each data centre at a peak and in a low.
  std::array<double, 3> peak;
  std::array<double, 3> low;
  instant period = 5200ms;
  instant peak_time = 2200ms;
  /// A data centre loses this many of its slots after a third of the play.
  double lost_slots = 0;
};

/// Plays jobs of ten items of 5.5 s on data centres with four daemons and 48
/// slots each. Items run earliest deadline first on the slots that online
/// requests leave.
/// \return the share of items that are done 18 s after their submission.
double share_in_time(const job_play& play) {
  constexpr auto step = instant(100ms);
  constexpr auto length = instant(60s);
  constexpr auto items = 10;
  constexpr auto item_time = instant(5500ms);
  constexpr auto due_after = instant(18s);
  constexpr std::uint64_t item_tokens = 2500;
  const auto names = std::array<std::string, 3>{"a", "b", "c"};
  struct item {
    instant due;
    instant left;
    std::string job;
  };
  auto book = job_book();
  auto waiting = std::array<std::deque<item>, 3>();
  auto owed = std::array<double, 3>();
  auto mean = data_centre_loads();
  auto among = std::vector<job_owner>();
  for (const auto& name : names) {
    for (auto n = 0; n < 4; ++n)
      among.push_back(daemon(name + std::to_string(n), name));
  }
  auto sent = 0;
  auto in_time = 0;
  for (auto now = instant(); now < length + due_after; now += step) {
    auto loads = data_centre_loads();
    for (auto dc = std::size_t{0}; dc < names.size(); ++dc) {
      auto lost = dc == 0 && now > length / 3 ? play.lost_slots : 0;
      auto at_peak = now % play.period < play.peak_time;
      loads[names[dc]] = {.slots = 48 - lost,
                          .online = at_peak ? play.peak[dc] : play.low[dc]};
    }
    update_mean_loads(mean, loads, step);
    for (auto dc = std::size_t{0}; dc < names.size() && now < length; ++dc) {
      owed[dc] += play.jobs_per_second[dc] * 0.1;
      if (owed[dc] < 1) continue;
      --owed[dc];
      auto id = std::to_string(sent);
      sent += items;
      auto owner =
          choose_owner(book, among, mean, among[dc * 4], items * item_tokens);
      add_job(book, id, owner, items * item_tokens);
      auto to = owner.data_centre[0] - 'a';
      for (auto n = 0; n < items; ++n)
        waiting[to].push_back(
            {.due = now + due_after, .left = item_time, .job = id});
    }
    for (auto dc = std::size_t{0}; dc < names.size(); ++dc) {
      const auto& load = loads[names[dc]];
      auto& queue = waiting[dc];
      auto slots = static_cast<std::size_t>(load.slots - load.online);
      for (auto n = std::size_t{0}; n < std::min(slots, queue.size()); ++n)
        queue[n].left -= step;
      for (auto it = queue.begin(); it != queue.end();) {
        if (it->left.count() > 0) {
          ++it;
          continue;
        }
        if (now <= it->due) ++in_time;
        book.jobs[it->job].waiting_tokens -= item_tokens;
        it = queue.erase(it);
      }
    }
  }
  return static_cast<double>(in_time) / sent;
}

}  // namespace

// Jobs stay late in one data centre while slots are free in the others, if each
// runs where it was submitted.
TEST_CASE("items are in time wherever their jobs were submitted") {
  auto play = GENERATE(job_play{.jobs_per_second = {1.1, 0, 0},
                                .peak = {40, 40, 40},
                                .low = {10, 10, 10}},
                       job_play{.jobs_per_second = {0.4, 0.3, 0.3},
                                .peak = {47, 40, 36},
                                .low = {10, 8, 7},
                                .lost_slots = 24},
                       job_play{.jobs_per_second = {0.2, 0.8, 0.1},
                                .peak = {30, 46, 30},
                                .low = {10, 30, 10},
                                .period = 1s,
                                .peak_time = 600ms},
                       job_play{.jobs_per_second = {0.3, 0.3, 0.7},
                                .peak = {20, 20, 40},
                                .low = {20, 20, 40},
                                .period = 11s});
  CHECK(share_in_time(play) > 0.99);
}
