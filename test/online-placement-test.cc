#include <catch2/catch.hpp>

#include "fulmarpitch/serving/placement.h"

using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

constexpr auto home = distance::data_centre;
constexpr auto far = distance::other_region;

candidate at(distance away, std::uint32_t online, std::uint32_t batch,
             trust trusted = trust::full) {
  return {.load = {.online = online, .batch = batch},
          .slots = 8,
          .away = away,
          .trusted = trusted};
}

constexpr auto an_eighth = batch_reserve{.slots_per_reserved = 8};

}  // namespace

TEST_CASE("a request goes to the least loaded target with a free slot") {
  auto among = std::vector{at(home, 5, 0), at(home, 2, 1), at(far, 0, 0)};
  auto it = place_online(among, {});
  CHECK(it.target == 1);
  CHECK(it.reason == placement_reason::free_slot);
}

TEST_CASE("an open connection counts while there are slots to spare") {
  auto linked = at(home, 5, 0);
  linked.linked = true;
  CHECK(place_online(std::vector{at(home, 2, 1), linked}, {}).target == 1);
  linked.load.online = 6;
  CHECK(place_online(std::vector{at(home, 2, 1), linked}, {}).target == 0);
  CHECK(place_online(std::vector{at(home, 7, 0), linked}, {}).target == 1);
  auto far_linked = at(far, 0, 0);
  far_linked.linked = true;
  CHECK(place_online(std::vector{at(home, 7, 0), far_linked}, {}).target == 0);
}

TEST_CASE("batch at home gives way before a slot is lent from far") {
  auto among = std::vector{at(home, 4, 4), at(home, 3, 5), at(far, 0, 0)};
  auto it = place_online(among, {});
  CHECK(it.target == 1);
  CHECK(it.reason == placement_reason::batch_gives_way);
}

TEST_CASE("a full home borrows a slot from another region") {
  auto among = std::vector{at(home, 9, 0), at(far, 5, 0)};
  auto it = place_online(among, {});
  CHECK(it.target == 1);
  CHECK(it.reason == placement_reason::lent_slot);
}

TEST_CASE("a short queue at home goes before a slot elsewhere") {
  auto options = placement_options{.slot_time = 800ms, .max_home_wait = 100ms};
  auto one_waits = std::vector{at(home, 8, 0), at(far, 5, 0)};
  auto queued = place_online(one_waits, options);
  CHECK(queued.target == 0);
  CHECK(queued.reason == placement_reason::short_queue);
  auto two_wait = std::vector{at(home, 9, 0), at(far, 5, 0)};
  auto lent = place_online(two_wait, options);
  CHECK(lent.target == 1);
  CHECK(lent.reason == placement_reason::lent_slot);
  CHECK(placement_of({.goal = 300ms, .left = 5s}, 800ms).max_home_wait ==
        120ms);
}

TEST_CASE("a short queue is taken, a long one refused with a time to return") {
  auto options = placement_options{.slot_time = 800ms, .max_wait = 200ms};
  auto brief = std::vector{at(home, 9, 0), at(far, 8, 0)};
  auto queued = place_online(brief, options);
  CHECK(queued.target == 0);
  CHECK(queued.reason == placement_reason::short_queue);
  CHECK(queued.wait == 200ms);
  auto full = std::vector{at(home, 13, 0), at(far, 8, 0)};
  auto refused = place_online(full, options);
  CHECK_FALSE(refused.target);
  CHECK(refused.reason == placement_reason::would_be_late);
  CHECK(refused.wait == 600ms);
}

TEST_CASE("a doubtful target is used only when there is no other") {
  auto one = std::vector{at(home, 0, 0, trust::none), at(home, 7, 0)};
  CHECK(place_online(one, {}).target == 1);
  auto all =
      std::vector{at(home, 3, 0, trust::none), at(home, 1, 0, trust::none)};
  auto it = place_online(all, {});
  CHECK(it.target == 1);
  CHECK(it.reason == placement_reason::doubtful_only);
}

TEST_CASE("a target that was tried is not tried again") {
  auto tried = at(home, 0, 0);
  tried.tried = true;
  auto among = std::vector{tried};
  auto it = place_online(among, {});
  CHECK_FALSE(it.target);
  CHECK(it.reason == placement_reason::no_target);
}

TEST_CASE("batch takes only free slots of its own data centre") {
  auto among = std::vector{at(home, 4, 4), at(home, 6, 1), at(far, 0, 0)};
  CHECK(place_batch(among, {}) == 1);
  CHECK_FALSE(place_batch(among, an_eighth));
}

TEST_CASE("batch may use other data centres' slots while a third stays free") {
  auto among = std::vector{at(home, 4, 4), at(far, 5, 1), at(far, 0, 2),
                           at(distance::region, 3, 2)};
  auto reserve = an_eighth;
  CHECK_FALSE(place_batch(among, reserve));
  reserve.slots_per_reserved_away = 3;
  CHECK(place_batch(among, reserve) == 3);
  among[3].load.online = 4;
  CHECK(place_batch(among, reserve) == 2);
  among[2].trusted = trust::trial;
  CHECK_FALSE(place_batch(among, reserve));
  among[0].load.batch = 2;
  CHECK(place_batch(among, reserve) == 0);
}

TEST_CASE("batch leaves a share of a target's slots, none of a few slots") {
  auto among = std::vector{at(home, 3, 3)};
  CHECK(place_batch(among, an_eighth) == 0);
  among[0].load.batch = 4;
  CHECK_FALSE(place_batch(among, an_eighth));
  CHECK(place_batch(among, {.slots_per_reserved = 16}) == 0);
  among[0] = at(home, 0, 1);
  among[0].slots = 2;
  CHECK(place_batch(among, an_eighth) == 0);
}

TEST_CASE("a target on trial gets batch items, and requests only at the last") {
  auto on_trial = at(home, 0, 0, trust::trial);
  auto among = std::vector{on_trial, at(home, 4, 0), at(far, 0, 0)};
  CHECK(place_online(among, {}).target == 1);
  CHECK(place_batch(among, an_eighth) == 0);
  among[1].load.online = 9;
  CHECK(place_online(among, {}).target == 2);
  // Both the remote and the local target would exceed the latency goal.
  among[1].load.online = among[2].load.online = 30;
  auto last = place_online(among, {});
  CHECK(last.target == 0);
  CHECK(last.reason == placement_reason::on_trial);
  among[0].load.online = 8;
  CHECK(place_online(among, {}).reason == placement_reason::would_be_late);
  among[0].trusted = trust::none;
  among[0].load = {};
  CHECK_FALSE(place_batch(among, an_eighth));
}

TEST_CASE("a target whose slots others fill unseen is passed over") {
  auto unseen = at(home, 0, 0);
  unseen.found_full = true;
  auto among = std::vector{unseen, at(home, 7, 0)};
  CHECK(place_online(among, {}).target == 1);
  CHECK(place_batch(std::vector{unseen}, {}) == std::nullopt);
  SECTION("its queue is the last resort") {
    auto alone = std::vector{unseen, at(home, 9, 0)};
    auto it = place_online(alone, {.slot_time = 800ms, .max_wait = 200ms});
    CHECK(it.target == 0);
    CHECK(it.reason == placement_reason::short_queue);
    CHECK(it.wait == 100ms);
  }
}

TEST_CASE("batch leaves the slots of daemons that are not heard") {
  auto reserve = batch_reserve{.slots_per_reserved = 8, .heard_share = 0.5};
  auto among = std::vector{at(home, 1, 1)};
  CHECK(place_batch(among, reserve) == 0);
  among[0].load.batch = 2;
  CHECK_FALSE(place_batch(among, reserve));
  reserve.heard_share = 1;
  CHECK(place_batch(among, reserve) == 0);
}

TEST_CASE("a target elsewhere whose load is unknown is the last resort") {
  auto unknown = at(far, 0, 0);
  unknown.knowledge = load_knowledge::unreported;
  auto options = placement_options{.slot_time = 800ms, .max_wait = 200ms};
  auto brief = std::vector{at(home, 9, 0), unknown};
  CHECK(place_online(brief, options).target == 0);
  auto full = std::vector{at(home, 13, 0), unknown};
  CHECK(place_online(full, options).target == 1);
  auto anywhere =
      batch_reserve{.slots_per_reserved = 8, .slots_per_reserved_away = 3};
  CHECK_FALSE(place_batch(full, anywhere));
}

TEST_CASE("batch uses a few slots whose daemons have not reported for long") {
  auto anywhere =
      batch_reserve{.slots_per_reserved = 8, .slots_per_reserved_away = 3};
  auto among = std::vector{at(far, 0, 0)};
  among[0].knowledge = load_knowledge::abandoned;
  CHECK(place_batch(among, anywhere) == 0);
  among[0].load.batch = 1;
  CHECK(place_batch(among, anywhere) == 0);
  among[0].load.batch = 2;
  CHECK_FALSE(place_batch(among, anywhere));
  among[0] = at(far, 0, 0);
  among[0].knowledge = load_knowledge::abandoned;
  among[0].slots = 1;
  CHECK(place_batch(among, anywhere) == 0);
  CHECK_FALSE(place_batch(among, {.slots_per_reserved = 8}));
}

TEST_CASE("the last slots elsewhere are lent only when home has a long queue") {
  auto options = placement_options{.slot_time = 800ms, .max_wait = 200ms};
  auto brief = std::vector{at(home, 9, 0), at(far, 6, 0)};
  CHECK(place_online(brief, options).reason == placement_reason::short_queue);
  auto free = std::vector{at(home, 9, 0), at(far, 5, 0)};
  CHECK(place_online(free, options).reason == placement_reason::lent_slot);
  auto full = std::vector{at(home, 13, 0), at(far, 7, 0)};
  CHECK(place_online(full, options).reason == placement_reason::lent_slot);
  SECTION("and when home takes nothing") {
    auto doubtful = std::vector{at(home, 0, 0, trust::none), at(far, 7, 0)};
    CHECK(place_online(doubtful, options).target == 1);
  }
}

TEST_CASE("a request that came back may wait longer in a queue") {
  constexpr auto first = caller_time{.goal = 300ms, .left = 5s};
  auto back = first;
  back.waited = 300ms;
  back.left = 4700ms;
  CHECK(placement_of(first, 700ms).max_wait == 240ms);
  CHECK(placement_of(back, 700ms).max_wait == 600ms);
  SECTION("but not beyond its time") {
    back.left = 1s;
    CHECK(placement_of(back, 700ms).max_wait == 240ms);
  }
  SECTION("but not if its caller has hardly waited") {
    back.waited = 140ms;
    CHECK(placement_of(back, 700ms).max_wait == 240ms);
  }
}
