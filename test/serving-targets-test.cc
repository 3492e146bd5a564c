#include "fulmarpitch/serving/targets.h"

#include <catch2/catch.hpp>

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

target sample() {
  return {.id = "t1",
          .service = "s",
          .address = "10.0.0.1:80",
          .slots = 8,
          .started_ms = 5};
}

}  // namespace

TEST_CASE("a draining or replaced target gets no new work") {
  auto table = target_table();
  auto leaving = sample();
  leaving.leaving = true;
  list_target(table, leaving);
  CHECK(trust_in(*find_target(table, "t1"), {}, 0s) == trust::none);
  list_target(table, sample());
  CHECK(trust_in(*find_target(table, "t1"), {}, 0s) == trust::full);
  find_target(table, "t1")->seen.replaced = true;
  list_target(table, sample());
  CHECK(trust_in(*find_target(table, "t1"), {}, 0s) == trust::none);
}

TEST_CASE("a target that restarted under its id loses its observed state") {
  auto table = target_table();
  list_target(table, sample());
  auto* row = find_target(table, "t1");
  row->seen.replaced = true;
  note_failure(row->seen.doubt, target_fault::failed, 0, 0s, table.avoidance);
  auto again = sample();
  again.started_ms = 9;
  list_target(table, again);
  CHECK(trust_in(*find_target(table, "t1"), {}, 0s) == trust::full);
  drop_target(table, "t1");
  CHECK(find_target(table, "t1") == nullptr);
}

TEST_CASE("a target whose entry expired is kept for a while unless it drains") {
  auto table = target_table();
  list_target(table, {.id = "a"});
  list_target(table, {.id = "b"});
  list_target(table, {.id = "c", .leaving = true});
  for (const auto* id : {"a", "b", "c", "unknown"})
    schedule_removal(table, id, 5s);
  CHECK(find_target(table, "c") == nullptr);
  REQUIRE(find_target(table, "a") != nullptr);
  CHECK(trust_in(*find_target(table, "a"), {}, 4s) == trust::full);
  // A second call does not postpone the removal.
  schedule_removal(table, "a", 9s);
  list_target(table, {.id = "b"});
  CHECK(expire_targets(table, 4999ms).empty());
  CHECK(expire_targets(table, 5s) == std::vector<std::string>{"a"});
  CHECK(find_target(table, "a") == nullptr);
  CHECK(find_target(table, "b") != nullptr);
}

TEST_CASE("failure states of other daemons count as well") {
  auto table = target_table();
  list_target(table, sample());
  const auto& row = *find_target(table, "t1");
  auto others = target_health{.avoid_until = 2s, .trial_until = 3s};
  CHECK(trust_in(row, others, 1s) == trust::none);
  CHECK(trust_in(row, others, 2s) == trust::trial);
  CHECK(trust_in(row, others, 3s) == trust::full);
}

TEST_CASE("failing and draining targets are reported to other daemons") {
  auto table = target_table();
  list_target(table, {.id = "good"});
  list_target(table, {.id = "bad"});
  list_target(table, {.id = "leaving", .leaving = true});
  auto& bad = *find_target(table, "bad");
  note_failure(bad.seen.doubt, target_fault::silent, 0, 10s, table.avoidance);
  auto told = collect_target_health(table, 10s);
  REQUIRE(told.size() == 2);
  CHECK(told.at(bad.key).avoid_until == bad.seen.doubt.avoid_until - 10s);
  CHECK(told.at(bad.key).score == bad.seen.doubt.score);
  auto key = find_target(table, "leaving")->key;
  CHECK(told.at(key).avoid_until > 0s);
  CHECK(told.at(key).score == 0);
  CHECK(told.at(key).leaving);
  CHECK_FALSE(told.at(bad.key).leaving);
  CHECK(collect_target_health(table, 60s).size() == 1);
}

TEST_CASE("a target is found by its key until it is dropped") {
  auto table = target_table();
  list_target(table, {.id = "a"});
  auto key = find_target(table, "a")->key;
  REQUIRE(find_target(table, key) != nullptr);
  CHECK(find_target(table, key)->listed.id == "a");
  CHECK(find_target(table, key + 1) == nullptr);
  drop_target(table, "a");
  CHECK(find_target(table, key) == nullptr);
}

TEST_CASE("renewals of an entry are forwarded rarely, changes at once") {
  auto table = target_table();
  CHECK(must_forward(table, sample(), 0s));
  list_target(table, sample());
  CHECK(must_forward(table, sample(), 0s));
  note_forwarded(table, "t1", 1s);
  note_forwarded(table, "unknown", 1s);
  CHECK_FALSE(must_forward(table, sample(), 2s));
  CHECK(must_forward(table, sample(), 1s + forward_interval));

  SECTION("the target drains") {
    auto leaving = sample();
    leaving.leaving = true;
    CHECK(must_forward(table, leaving, 2s));
  }
  SECTION("the target restarted") {
    auto again = sample();
    again.started_ms = 9;
    CHECK(must_forward(table, again, 2s));
  }
  SECTION("the target is listed again after its entry expired") {
    schedule_removal(table, "t1", 4s);
    CHECK(must_forward(table, sample(), 2s));
  }
}

TEST_CASE("for thirty targets few entries a second are forwarded") {
  constexpr int targets = 30;
  constexpr auto heartbeat = 1200ms;
  constexpr auto minute = 60s;
  auto table = target_table();
  auto told = 0;
  for (auto now = instant(0s); now < minute; now += heartbeat) {
    for (auto n = 0; n < targets; ++n) {
      auto it = sample();
      it.id = "t" + std::to_string(n);
      if (must_forward(table, it, now)) {
        ++told;
        list_target(table, it);
        note_forwarded(table, it.id, now);
      }
    }
  }
  // Unfiltered it would be 30 every 1.2 s, 1,500 in total.
  CHECK(told <= targets * (minute / forward_interval));
}

TEST_CASE("a target that announces draining gets no work until it restarts") {
  auto table = target_table();
  list_target(table, sample());
  CHECK(note_leaving(table, "t1", 1s));
  CHECK_FALSE(note_leaving(table, "t1", 2s));
  CHECK_FALSE(note_leaving(table, "unknown", 2s));
  auto now_trusted = [&](instant now) {
    return trust_in(*find_target(table, "t1"), {}, now);
  };
  // The entry is not updated yet, or the store is unavailable.
  list_target(table, sample());
  CHECK(now_trusted(60s) == trust::none);
  CHECK(collect_target_health(table, 60s).size() == 1);

  SECTION("also when its entry expired and was listed again") {
    schedule_removal(table, "t1", 3s);
    CHECK(expire_targets(table, 3s).size() == 1);
    list_target(table, sample());
    CHECK(now_trusted(60s) == trust::none);
  }
  SECTION("the restarted target gets work") {
    auto again = sample();
    again.started_ms = 9;
    list_target(table, again);
    CHECK(now_trusted(60s) == trust::full);
  }
  SECTION("the announcement expires") {
    drop_target(table, "t1");
    expire_targets(table, 1h);
    CHECK(table.announcements.empty());
  }
}

TEST_CASE("a draining state reported by others holds while it is reported") {
  auto table = target_table();
  list_target(table, sample());
  const auto& row = *find_target(table, "t1");
  CHECK(trust_in(row, {.leaving = true}, 9s) == trust::none);
  CHECK(trust_in(row, {}, 9s) == trust::full);
}
