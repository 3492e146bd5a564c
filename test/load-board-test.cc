#include "fulmarpitch/serving/load-board.h"

#include <catch2/catch.hpp>

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t target_key = 42;

load_report report(std::string name, std::uint64_t sequence,
                   target_load load = {}) {
  auto out = load_report{.name = std::move(name),
                         .data_centre = "dc",
                         .incarnation = 1,
                         .sequence = sequence};
  out.loads[target_key] = load;
  return out;
}

}  // namespace

TEST_CASE("loads of all daemons add up, and old reports do not count") {
  auto board = load_board{.data_centre = "dc"};
  board.own[target_key] = {.online = 1, .batch = 2};
  REQUIRE(take_report(board, report("b", 1, {.online = 3}), 0s));
  REQUIRE(take_report(board, report("c", 1, {.batch = 1}), 500ms));
  CHECK(load_of(board, target_key, 600ms).online == 4);
  CHECK(load_of(board, target_key, 600ms).batch == 3);
  CHECK(load_of(board, target_key, 1200ms).online == 1);
  CHECK(load_of(board, target_key, 1200ms).batch == 3);
}

TEST_CASE("reports that arrive out of order change nothing") {
  auto board = load_board{.data_centre = "dc"};
  REQUIRE(take_report(board, report("b", 5, {.online = 3}), 0s));
  CHECK_FALSE(take_report(board, report("b", 4, {.online = 9}), 1ms));
  CHECK(load_of(board, target_key, 2ms).online == 3);
}

TEST_CASE("of two lives of a daemon the younger one counts") {
  // Incarnations are random numbers and need not increase.
  auto first_life = GENERATE(std::uint64_t{3}, std::uint64_t{9});
  auto board = load_board{.data_centre = "dc"};
  auto before = report("b", 5, {.online = 3});
  before.incarnation = first_life;
  before.age = 60s;
  REQUIRE(take_report(board, before, 100s));
  auto restarted = report("b", 1);
  restarted.incarnation = 5;
  restarted.age = 20ms;
  CHECK(take_report(board, restarted, 101s));
  CHECK(load_of(board, target_key, 101s).online == 0);
  CHECK(live_incarnation(board, "b", 101s) == 5);

  // A report of the first incarnation arrives late.
  before.sequence = 6;
  before.age = 60500ms;
  CHECK_FALSE(take_report(board, before, 101500ms));
  CHECK(live_incarnation(board, "b", 101500ms) == 5);
  restarted.sequence = 2;
  restarted.age = 620ms;
  CHECK(take_report(board, restarted, 101600ms));
}

TEST_CASE(
    "a slow report does not make a daemon look younger than its next life") {
  auto board = load_board{.data_centre = "dc"};
  auto before = report("b", 1);
  before.age = 1s;
  REQUIRE(take_report(board, before, 10s));
  before.sequence = 2;
  before.age = 1200ms;
  // The report is delayed by a second.
  REQUIRE(take_report(board, before, 11200ms));
  auto restarted = report("b", 1);
  restarted.incarnation = 2;
  restarted.age = 1500ms;
  CHECK(take_report(board, restarted, 11300ms));
}

TEST_CASE("a member that is silent or leaving is not alive") {
  auto board = load_board{.data_centre = "dc"};
  take_report(board, report("b", 1), 0s);
  CHECK(live_incarnation(board, "b", board.options.member_expiry) == 1);
  CHECK_FALSE(live_incarnation(board, "b", board.options.member_expiry + 1us));
  auto leaving = report("b", 2);
  leaving.leaving = true;
  take_report(board, leaving, 0s);
  CHECK_FALSE(live_incarnation(board, "b", 0s));
  CHECK(live_members(board, "dc", 0s).empty());
  drop_silent_members(board, 60s);
  CHECK(board.members.empty());
}

TEST_CASE("exactly one daemon gives way, and for exactly the excess") {
  auto mine = load_board{.data_centre = "dc"};
  mine.own[target_key] = {.online = 1, .batch = 3};
  take_report(mine, report("b", 1, {.online = 4, .batch = 2}), 0s);
  auto theirs = load_board{.data_centre = "dc"};
  theirs.own[target_key] = {.online = 4, .batch = 2};
  take_report(theirs, report("a", 1, {.online = 1, .batch = 3}), 0s);
  CHECK(batch_to_yield(mine, "a", target_key, 8, 0s) == 2);
  CHECK(batch_to_yield(theirs, "b", target_key, 8, 0s) == 0);
  CHECK(batch_to_yield(mine, "a", target_key, 10, 0s) == 0);
}

TEST_CASE("on a tie the lower name gives way") {
  auto a = load_board{.data_centre = "dc"};
  a.own[target_key] = {.batch = 4};
  take_report(a, report("b", 1, {.online = 1, .batch = 4}), 0s);
  auto b = load_board{.data_centre = "dc"};
  b.own[target_key] = {.online = 1, .batch = 4};
  take_report(b, report("a", 1, {.batch = 4}), 0s);
  CHECK(batch_to_yield(a, "a", target_key, 8, 0s) == 1);
  CHECK(batch_to_yield(b, "b", target_key, 8, 0s) == 0);
}

TEST_CASE("no more gives way than there is") {
  auto board = load_board{.data_centre = "dc"};
  board.own[target_key] = {.online = 12, .batch = 1};
  CHECK(batch_to_yield(board, "a", target_key, 8, 0s) == 1);
}

namespace {

load_summary far_summary(std::uint64_t sequence, std::uint32_t online) {
  auto out = load_summary{.data_centre = "far",
                          .gatherer = 7,
                          .sequence = sequence,
                          .members = {{.name = "x", .incarnation = 3}}};
  out.loads[target_key] = {.online = online};
  return out;
}

}  // namespace

TEST_CASE("another data centre counts by its newest summary") {
  auto board = load_board{.data_centre = "dc"};
  CHECK(take_summary(board, far_summary(10, 5), 0s));
  CHECK_FALSE(take_summary(board, far_summary(9, 7), 1ms));
  CHECK(load_of(board, target_key, 1s).online == 5);
  CHECK(load_of(board, target_key, 3s).online == 0);
  CHECK(live_incarnation(board, "x", 3s) == 3);
  CHECK(live_members(board, "far", 3s) == std::vector<std::string>{"x"});
  CHECK_FALSE(live_incarnation(board, "x", 6s));
  auto own = far_summary(11, 1);
  own.data_centre = "dc";
  CHECK_FALSE(take_summary(board, own, 0s));
}

TEST_CASE("summaries of a new gatherer count at once") {
  auto board = load_board{.data_centre = "dc"};
  REQUIRE(take_summary(board, far_summary(500, 5), 0s));
  auto next = far_summary(1, 2);
  next.gatherer = 3;
  CHECK(take_summary(board, next, 100ms));
  CHECK(load_of(board, target_key, 100ms).online == 2);
  CHECK_FALSE(take_summary(board, next, 150ms));
  // The first gatherer may continue for a while; both send the same loads.
  CHECK(take_summary(board, far_summary(501, 6), 200ms));
  next.sequence = 2;
  CHECK(take_summary(board, next, 300ms));
}

TEST_CASE("a summary without members leaves the known ones") {
  auto board = load_board{.data_centre = "dc"};
  REQUIRE(take_summary(board, far_summary(1, 5), 0s));
  auto brief = far_summary(2, 6);
  brief.names_members = false;
  brief.members.clear();
  REQUIRE(take_summary(board, brief, 500ms));
  CHECK(load_of(board, target_key, 500ms).online == 6);
  CHECK(live_incarnation(board, "x", 500ms) == 3);
}

TEST_CASE(
    "the member with the least name gathers all loads of its data centre") {
  auto board = load_board{.data_centre = "dc"};
  board.own[target_key] = {.online = 1};
  take_report(board, report("b", 1, {.online = 2, .batch = 3}), 0s);
  CHECK(gathers(board, "a", 0s));
  CHECK_FALSE(gathers(board, "c", 0s));
  CHECK(gathers(board, "c", 2s));
  auto it = summarise(board, {.name = "a"}, 0s);
  CHECK(it.loads.at(target_key).online == 3);
  CHECK(it.loads.at(target_key).batch == 3);
  CHECK(it.members.size() == 2);
}

TEST_CASE("a daemon that reaches the store is looked for near by first") {
  auto board = load_board{.data_centre = "dc"};
  CHECK_FALSE(find_store_helper(board, 0, 0s));
  auto near = report("b", 1);
  near.address = "10.0.0.2";
  near.store_lost = true;
  REQUIRE(take_report(board, near, 0s));
  CHECK_FALSE(find_store_helper(board, 0, 0s));
  auto far = load_summary{.data_centre = "other", .sequence = 1};
  far.members = {{.name = "x", .address = "10.1.0.1", .store_lost = true},
                 {.name = "y", .address = "10.1.0.2"}};
  REQUIRE(take_summary(board, far, 0s));
  CHECK(find_store_helper(board, 0, 0s) == "10.1.0.2");
  CHECK(find_store_helper(board, 1, 0s) == "10.1.0.2");
  near.sequence = 2;
  near.store_lost = false;
  REQUIRE(take_report(board, near, 0s));
  CHECK(find_store_helper(board, 0, 0s) == "10.0.0.2");
  near.sequence = 3;
  near.leaving = true;
  REQUIRE(take_report(board, near, 0s));
  CHECK(find_store_helper(board, 0, 0s) == "10.1.0.2");
  CHECK_FALSE(find_store_helper(board, 0, 60s));
}

TEST_CASE("live daemons that reach the store are listed everywhere") {
  auto board = load_board{.data_centre = "dc"};
  CHECK(live_store_members(board, 0s).empty());
  REQUIRE(take_report(board, report("b", 1), 0s));
  auto cut_off = report("c", 1);
  cut_off.store_lost = true;
  REQUIRE(take_report(board, cut_off, 0s));
  auto far = load_summary{.data_centre = "other", .sequence = 1};
  far.members = {{.name = "x", .incarnation = 7, .store_lost = true},
                 {.name = "y", .incarnation = 8}};
  REQUIRE(take_summary(board, far, 0s));
  auto found = live_store_members(board, 0s);
  REQUIRE(found.size() == 2);
  CHECK(found[0].name == "b");
  CHECK(found[0].data_centre == "dc");
  CHECK(found[1].name == "y");
  CHECK(found[1].incarnation == 8);
  CHECK(found[1].data_centre == "other");
  CHECK(live_store_members(board, 3s).size() == 1);
  CHECK(live_store_members(board, 60s).empty());
}

TEST_CASE("what members hold against a target adds up and ages") {
  auto board = load_board{.data_centre = "dc"};
  auto first = report("b", 1);
  first.doubts[target_key] = {
      .avoid_until = 300ms, .trial_until = 400ms, .score = 2};
  auto second = report("c", 1);
  second.doubts[target_key] = {.avoid_until = 100ms, .score = 1};
  REQUIRE(take_report(board, first, 1s));
  REQUIRE(take_report(board, second, 1100ms));
  auto joint = doubt_of(board, target_key, 1200ms);
  CHECK(joint.avoid_until == 1300ms);
  CHECK(joint.trial_until == 1400ms);
  CHECK(joint.score == 3);
  CHECK(doubt_of(board, target_key + 1, 1200ms).score == 0);
  CHECK(doubt_of(board, target_key, 60s).score == 0);
}

TEST_CASE("silent members use slots unseen until they are forgotten") {
  auto board = load_board{.data_centre = "dc"};
  take_report(board, report("b", 1), 10s);
  take_report(board, report("c", 1), 10s);
  auto elsewhere = report("d", 1);
  elsewhere.data_centre = "dc2";
  take_report(board, elsewhere, 0s);
  CHECK(heard_share(board, 10s) == 1);
  take_report(board, report("c", 2), 12s);
  CHECK(heard_share(board, 12s) == Approx(2.0 / 3));
  take_report(board, report("c", 3), 18500ms);
  CHECK(heard_share(board, 18500ms) == 1);
  SECTION("one that said that it leaves does not") {
    auto leaving = report("c", 4);
    leaving.leaving = true;
    take_report(board, leaving, 18500ms);
    CHECK(heard_share(board, 20s) == 1);
  }
}

TEST_CASE("loads elsewhere are known for as long as a summary counts") {
  auto board = load_board{.data_centre = "dc", .began = 10s};
  auto at = [&](instant now) { return load_knowledge_of(board, "dc2", now); };
  CHECK(load_knowledge_of(board, "dc", 10s) == load_knowledge::reported);
  CHECK(at(10s) == load_knowledge::unreported);
  take_summary(board, {.data_centre = "dc2", .sequence = 1}, 10s);
  CHECK(at(11s) == load_knowledge::reported);
  CHECK(at(12s) == load_knowledge::unreported);
}

TEST_CASE("a data centre does not stay unreported for ever") {
  auto board = load_board{.data_centre = "dc", .began = 10s};
  auto at = [&](instant now) { return load_knowledge_of(board, "dc2", now); };
  SECTION("that has never sent a summary") {
    CHECK(at(18s) == load_knowledge::unreported);
    CHECK(at(18001ms) == load_knowledge::abandoned);
  }
  SECTION("whose summaries have stopped") {
    take_summary(board, {.data_centre = "dc2", .sequence = 1}, 30s);
    CHECK(at(38s) == load_knowledge::unreported);
    CHECK(at(38001ms) == load_knowledge::abandoned);
    drop_silent_members(board, 60s);
    CHECK(at(60s) == load_knowledge::abandoned);
    SECTION("and begin again") {
      take_summary(board, {.data_centre = "dc2", .gatherer = 2, .sequence = 1},
                   61s);
      CHECK(at(61s) == load_knowledge::reported);
    }
  }
}

TEST_CASE("a target's answer stands in for daemons that do not report") {
  auto board = load_board{.data_centre = "dc"};
  auto load = target_load{.batch = 2};
  CHECK(apply_answer(board, target_key, load, 1s) ==
        load_knowledge::unreported);
  board.answers[target_key] = {.heard = 1s};
  CHECK(apply_answer(board, target_key, load, 1s) == load_knowledge::abandoned);
  CHECK(load.total() == 2);
  board.answers[target_key].unreported = 5;
  CHECK(apply_answer(board, target_key, load, 1s) == load_knowledge::reported);
  CHECK(load.online == 5);
  CHECK(load.batch == 2);
  SECTION("until it is too old") {
    auto late = 1s + board.options.answer_expiry + 1us;
    CHECK(apply_answer(board, target_key, load, late) ==
          load_knowledge::unreported);
    drop_silent_members(board, late);
    CHECK(board.answers.empty());
  }
}

TEST_CASE("one pass over the reports finds what each look at a target finds") {
  auto board = load_board{.data_centre = "dc"};
  board.own[1] = {.online = 1, .batch = 2};
  for (auto n = std::uint64_t{0}; n < 50; ++n) {
    auto it = report(std::to_string(n), 1);
    it.loads[n % 7] = {.online = 1, .batch = static_cast<std::uint32_t>(n)};
    it.doubts[n % 5] = {
        .avoid_until = n * 10ms, .score = 1, .leaving = n % 10 == 3};
    // Some reports are older than the expiry.
    take_report(board, it, n * 50ms);
  }
  auto far = far_summary(1, 5);
  far.loads[3] = {.online = 4};
  take_summary(board, far, 2400ms);
  auto now = instant(2500ms);
  auto loads = all_loads(board, now);
  auto doubts = all_doubts(board, now);
  for (auto target = std::uint64_t{0}; target < 50; ++target) {
    CHECK(loads[target].online == load_of(board, target, now).online);
    CHECK(loads[target].batch == load_of(board, target, now).batch);
    auto one = doubt_of(board, target, now);
    CHECK(doubts[target].avoid_until == one.avoid_until);
    CHECK(doubts[target].score == one.score);
    CHECK(doubts[target].leaving == one.leaving);
  }
}
