#include "fulmarpitch/teams/rate-bucket.h"

#include <catch2/catch.hpp>
#include <random>

using namespace fulmar;
using namespace fulmar::teams;
using namespace std::chrono_literals;

namespace {

constexpr auto bounds = rate_bounds{.window = 5s, .slack = 0.1, .excess = 20};

/// A bucket that drains 10 a second and holds 20.
rate_bucket empty_bucket() {
  return {.size = {.drain_per_second = 10, .capacity = 20},
          .level = 0,
          .split_level = 0};
}

int fill(rate_bucket& it) {
  auto n = 0;
  for (; has_room(it, 1); ++n)
    add_own(it);
  return n;
}

}  // namespace

TEST_CASE("a bucket never admits more than the bound, and the rate at least") {
  for (auto rate : {0.5, 1.0, 10.0, 160.0, 2000.0}) {
    auto limit = rate_limit{.requests_per_second = rate, .burst = rate};
    auto size = size_for(limit, bounds);
    CAPTURE(rate);
    CHECK(size.drain_per_second >= rate);
    CHECK(size.capacity >= rate);
    auto most = max_in_window(limit, bounds);
    CHECK(most == Approx(rate * 6 * 1.1 + 20));
    CHECK(size.drain_per_second * 5 + size.capacity < most);
  }
}

TEST_CASE("without an allowance the bucket is the rate and the burst") {
  auto size = size_for({.requests_per_second = 3, .burst = 7},
                       {.window = 5s, .slack = 0, .excess = 0});
  CHECK(size.drain_per_second == 3);
  CHECK(size.capacity == 7);
}

TEST_CASE("shares of data centres add up to the whole") {
  auto all = bucket_size{.drain_per_second = 10, .capacity = 9};
  auto sum = bucket_size();
  for (auto weight : {0.8, 0.15, 0.05, 0.0, 0.0, 0.0}) {
    auto share = share_of(all, weight, 6);
    CHECK(share.capacity >= 1);
    sum.drain_per_second += share.drain_per_second;
    sum.capacity += share.capacity;
  }
  CHECK(sum.drain_per_second == Approx(10));
  CHECK(sum.capacity == Approx(9));
  CHECK(share_of(all, 1.0 / 11, 11).capacity == Approx(9.0 / 11));
}

TEST_CASE("a bucket admits its capacity at once and then what drains") {
  auto it = empty_bucket();
  CHECK(fill(it) == 20);
  CHECK(time_until_room(it, 1) >= instant(100ms) - 1us);
  CHECK(time_until_room(it, 1) <= instant(100ms) + 1us);
  drain(it, 99ms);
  CHECK_FALSE(has_room(it, 1));
  drain(it, 501ms);
  CHECK(fill(it) == 5);
  drain(it, 100s);
  CHECK(fill(it) == 20);
}

TEST_CASE("what other members admit takes room, to a bounded degree") {
  auto it = empty_bucket();
  add_heard(it, 12);
  CHECK(fill(it) == 8);
  add_heard(it, 3);
  CHECK(it.level == Approx(1.15));
  add_heard(it, 1000);
  limit_level(it);
  CHECK(it.level == Approx(1.25));
}

TEST_CASE("groups that don't hear each other use the bucket once") {
  auto first = empty_bucket();
  for (auto n = 0; n < 8; ++n)
    add_own(first);
  auto second = first;
  change_part(first, 0.75);
  change_part(second, 0.25);
  CHECK(fill(first) == 9);
  CHECK(fill(second) == 3);
  drain(first, 2s);
  drain(second, 2s);
  CHECK(fill(first) + fill(second) == 20);

  SECTION("and join with what both admitted") {
    change_part(first, 1);
    add_heard(first, 3 + 5);
    CHECK_FALSE(has_room(first, 1));
  }
  SECTION("and join as soon as levels have drained") {
    drain(first, 10s);
    change_part(first, 1);
    CHECK(fill(first) == 20);
  }
  SECTION("a part of which nothing is known joins full") {
    drain(first, 10s);
    change_part(first, 1, 1.0);
    CHECK(fill(first) == 15);
  }
}

TEST_CASE("parts below one request admit it as often as is due") {
  auto random = std::mt19937_64(7);
  auto threshold = std::uniform_real_distribution<double>(0, 1);
  auto admitted = 0;
  for (auto n = 0; n < 2000; ++n) {
    auto it = empty_bucket();
    change_part(it, 0.01);
    if (!has_room(it, 1 - threshold(random))) continue;
    ++admitted;
    add_own(it);
    CHECK(time_until_room(it, 1) >= 10s - 1ms);
  }
  CHECK(admitted == Approx(2000 * 0.2).epsilon(0.1));
}

TEST_CASE("a bucket that holds nothing admits nothing") {
  auto it = empty_bucket();
  change_part(it, 0);
  CHECK_FALSE(has_room(it, 0.001));
  CHECK(time_until_room(it, 1) == instant::max());
  change_part(it, 1);
  change_share(it, {});
  CHECK_FALSE(has_room(it, 0.001));
}

TEST_CASE("a lower limit binds at once, a higher one adds room at once") {
  auto it = empty_bucket();
  fill(it);
  change_limit(it, {.drain_per_second = 2, .capacity = 4});
  CHECK_FALSE(has_room(it, 1));
  drain(it, 510ms);
  CHECK(fill(it) == 1);
  change_limit(it, {.drain_per_second = 20, .capacity = 40});
  CHECK(fill(it) == 36);
}

TEST_CASE("a share that moves is used once") {
  auto lowered = empty_bucket();
  fill(lowered);
  change_share(lowered, {.drain_per_second = 5, .capacity = 10});
  CHECK(lowered.level == Approx(2));
  auto raised = empty_bucket();
  for (auto n = 0; n < 15; ++n)
    add_own(raised);
  change_share(raised, {.drain_per_second = 15, .capacity = 30});
  CHECK(fill(raised) == 5);
  drain(raised, 10s);
  CHECK(fill(raised) == 30);
}
