#include "fulmarpitch/serving/crash-book.h"

#include <catch2/catch.hpp>
#include <limits>

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

TEST_CASE("a content key depends on method, path and body") {
  auto key = content_key("POST", "/a", "b");
  CHECK(key == content_key("POST", "/a", "b"));
  CHECK(key != content_key("PUT", "/a", "b"));
  CHECK(key != content_key("POST", "/a2", "b"));
  CHECK(key != content_key("POST", "/a", "b2"));
  CHECK(key != content_key("POST", "/ab", ""));
}

namespace {

constexpr std::uint64_t content = 7;

void end_target(crash_registry& registry, std::uint64_t number, instant at) {
  note_event(registry, {.key = content, .number = number, .at = at});
}

void end_three_targets(crash_registry& registry, instant at) {
  for (auto n = std::uint64_t{1}; n <= 3; ++n)
    end_target(registry, n, at);
}

run_permit::kind verdict(const crash_registry& registry, instant now) {
  return decide_run(registry, content, now).what;
}

}  // namespace

TEST_CASE("a content is held after three ends but not after two") {
  auto registry = crash_registry();
  end_target(registry, 1, 10s);
  end_target(registry, 2, 11s);
  CHECK(verdict(registry, 11s) == run_permit::kind::free);
  end_target(registry, 3, 12s);
  auto permit = decide_run(registry, content, 13s);
  CHECK(permit.what == run_permit::kind::held);
  CHECK(permit.retry_after == 12s + registry.options.trial_delays[0] - 13s);
}

TEST_CASE("an end that is recorded twice counts once") {
  auto registry = crash_registry();
  for (auto n = 0; n < 5; ++n)
    end_target(registry, 1, 10s);
  CHECK(verdict(registry, 10s) == run_permit::kind::free);
}

TEST_CASE("a content that keeps ending targets is granted two trials") {
  auto registry = crash_registry();
  end_three_targets(registry, 10s);
  auto ends = std::uint64_t{3};
  auto trials = std::uint32_t{0};
  for (auto now = instant(10s); now < 600s; now += 1s) {
    auto permit = decide_run(registry, content, now);
    if (permit.what != run_permit::kind::trial) continue;
    CHECK(permit.trial == trials);
    note_event(registry, {.key = content,
                          .kind = crash_event_kind::trial,
                          .number = trials++,
                          .at = now});
    CHECK(verdict(registry, now) == run_permit::kind::held);
    end_target(registry, ++ends, now);
  }
  CHECK(trials == 2);
  auto last = decide_run(registry, content, 600s);
  CHECK(last.what == run_permit::kind::held);
  CHECK(last.retry_after > 0s);
}

TEST_CASE("an answer clears a content for good") {
  auto registry = crash_registry();
  end_three_targets(registry, 10s);
  CHECK_FALSE(is_sound(registry, content));
  note_event(registry,
             {.key = content, .kind = crash_event_kind::sound, .at = 12s});
  CHECK(is_sound(registry, content));
  for (auto n = std::uint64_t{10}; n < 20; ++n)
    end_target(registry, n, 13s);
  CHECK(verdict(registry, 13s) == run_permit::kind::free);
}

TEST_CASE("records expire, those of held contents last") {
  auto registry = crash_registry();
  end_three_targets(registry, 10s);
  note_event(registry, {.key = 8, .number = 1, .at = 10s});
  auto later = 10s + registry.options.retention + 1s;
  CHECK(expire_records(registry, later) ==
        std::vector{crash_key({.key = 8, .number = 1})});
  CHECK(verdict(registry, later) != run_permit::kind::free);
  auto keys =
      expire_records(registry, 10s + registry.options.held_retention + 1s);
  CHECK(keys.size() == 3);
  CHECK(registry.records.empty());
}

TEST_CASE("a full book evicts the oldest content that is not held") {
  auto registry = crash_registry{.options = {.max_records = 3}};
  end_three_targets(registry, 1s);
  note_event(registry, {.key = 8, .number = 1, .at = 2s});
  note_event(registry, {.key = 9, .number = 1, .at = 3s});
  note_event(registry, {.key = 10, .number = 1, .at = 4s});
  CHECK(registry.records.size() == 3);
  CHECK(registry.records.contains(content));
  CHECK_FALSE(registry.records.contains(8));
}

TEST_CASE("a row key round-trips its event") {
  auto kind = GENERATE(crash_event_kind::end, crash_event_kind::trial,
                       crash_event_kind::sound, crash_event_kind::answer);
  auto event = crash_event{.key = 77, .kind = kind, .number = 5};
  auto read = parse_crash_key(crash_key(event));
  REQUIRE(read);
  CHECK(read->key == 77);
  CHECK(read->kind == kind);
  CHECK(read->number == 5);
}

TEST_CASE("malformed row keys are rejected") {
  const auto* key =
      GENERATE("", "x", "..", "zz.end.1", "1.end", "1.end.", "1.ended.2",
               "1.end.2.3", "11112222333344445.end.1");
  CAPTURE(key);
  CHECK_FALSE(parse_crash_key(key));
}

TEST_CASE("a trial number from the store is clamped") {
  auto registry = crash_registry();
  note_event(registry, {.key = content,
                        .kind = crash_event_kind::trial,
                        .number = std::numeric_limits<std::uint64_t>::max(),
                        .at = 1s});
  CHECK(expire_records(registry, 1s + registry.options.retention + 1s).size() ==
        2);
}

namespace {

void answer_part(crash_registry& registry, instant at) {
  note_event(registry,
             {.key = content, .kind = crash_event_kind::answer, .at = at});
}

void grant_trial(crash_registry& registry, std::uint32_t number, instant at) {
  note_event(registry, {.key = content,
                        .kind = crash_event_kind::trial,
                        .number = number,
                        .at = at});
}

}  // namespace

TEST_CASE("a part key depends on the model and the part") {
  auto key = part_key("m", "a");
  CHECK(key == part_key("m", "a"));
  CHECK(key != part_key("n", "a"));
  CHECK(key != part_key("m", "b"));
}

TEST_CASE("only ends after the last answer count against a part") {
  auto registry = crash_registry();
  end_three_targets(registry, 10s);
  answer_part(registry, 11s);
  CHECK(verdict(registry, 11s) == run_permit::kind::free);
  end_target(registry, 4, 12s);
  end_target(registry, 5, 12s);
  // An earlier end that another daemon reports late.
  end_target(registry, 6, 10s);
  CHECK(verdict(registry, 12s) == run_permit::kind::free);
  end_target(registry, 7, 12s);
  CHECK(verdict(registry, 12s) == run_permit::kind::held);
}

TEST_CASE("an end that several daemons report counts from its first time") {
  auto registry = crash_registry();
  end_three_targets(registry, 10s);
  answer_part(registry, 11s);
  end_three_targets(registry, 12s);
  CHECK(verdict(registry, 12s) == run_permit::kind::free);
}

TEST_CASE("a part is granted its trials anew after each answer") {
  auto registry = crash_registry();
  auto now = instant(10s);
  auto number = std::uint64_t{100};
  for (auto trial = std::uint32_t{0}; trial < 10; ++trial) {
    for (auto n = 0; n < 3; ++n)
      end_target(registry, ++number, now);
    auto first = registry.options.trial_delays.front();
    CHECK(verdict(registry, now) == run_permit::kind::held);
    now += first;
    auto permit = decide_run(registry, content, now);
    REQUIRE(permit.what == run_permit::kind::trial);
    CHECK(permit.trial == trial);
    grant_trial(registry, permit.trial, now);
    CHECK(verdict(registry, now + first) == run_permit::kind::held);
    now += 1s;
    answer_part(registry, now);
    now += 1s;
  }
}

TEST_CASE("the trials of a part are bounded over all its answers") {
  auto registry = crash_registry{.options = {.max_trials = 3}};
  auto now = instant(10s);
  auto trials = 0;
  for (auto n = 0; n < 10; ++n) {
    end_target(registry, 1000 + n, now);
    end_target(registry, 2000 + n, now);
    end_target(registry, 3000 + n, now);
    now += registry.options.trial_delays.front();
    auto permit = decide_run(registry, content, now);
    if (permit.what == run_permit::kind::trial) {
      ++trials;
      grant_trial(registry, permit.trial, now);
    }
    answer_part(registry, now + 1s);
    now += 2s;
  }
  CHECK(trials == 3);
}

TEST_CASE("a part that was answered just before is not recorded") {
  auto registry = crash_registry();
  CHECK_FALSE(note_part_answer(registry, 1, 10s));
  CHECK_FALSE(note_part_answer(registry, 2, 11s));
  auto recent = registry.options.recent_answer_time;
  CHECK(parts_to_record(registry, {1, 2, 3}, 10s + recent) ==
        std::vector<std::uint64_t>{3});
  CHECK(parts_to_record(registry, {1, 2, 3}, 11s + recent) ==
        std::vector<std::uint64_t>{1, 3});
}

TEST_CASE("an answer is shared only if ends counted until then") {
  auto registry = crash_registry();
  end_target(registry, 1, 10s);
  CHECK(note_part_answer(registry, content, 11s));
  CHECK_FALSE(note_part_answer(registry, content, 12s));
  end_target(registry, 2, 13s);
  CHECK(note_part_answer(registry, content, 14s));
}

TEST_CASE("ends of a part with an explanation do not hold an answered part") {
  constexpr std::uint64_t bad_part = 8;
  auto registry = crash_registry();
  note_part_answer(registry, content, 9s);
  end_three_targets(registry, 12s);
  CHECK(verdict(registry, 12s) == run_permit::kind::held);
  for (auto n = std::uint64_t{1}; n <= 3; ++n)
    note_event(registry, {.key = bad_part, .number = n, .at = 12s});
  CHECK(verdict(registry, 12s) == run_permit::kind::free);
  CHECK(decide_run(registry, bad_part, 12s).what == run_permit::kind::held);
  for (auto n = std::uint64_t{11}; n <= 13; ++n)
    end_target(registry, n, 13s);
  CHECK(verdict(registry, 13s) == run_permit::kind::held);
}

TEST_CASE("a part that was never answered is held though another explains it") {
  constexpr std::uint64_t other_part = 8;
  auto registry = crash_registry();
  end_three_targets(registry, 12s);
  for (auto n = std::uint64_t{1}; n <= 3; ++n)
    note_event(registry, {.key = other_part, .number = n, .at = 12s});
  CHECK(verdict(registry, 12s) == run_permit::kind::held);
  CHECK(decide_run(registry, other_part, 12s).what == run_permit::kind::held);
}

TEST_CASE("the parts whose answers are remembered are bounded and expire") {
  auto registry = crash_registry{.options = {.max_answered_parts = 10}};
  for (auto n = std::uint64_t{0}; n < 1000; ++n) {
    note_part_answer(registry, n, 10s);
    CHECK(registry.answered.newer.size() + registry.answered.older.size() <=
          10);
  }
  CHECK(parts_to_record(registry, {999}, 10s).empty());
  expire_records(registry, 10s + registry.options.retention + 1s);
  CHECK(registry.answered.newer.size() + registry.answered.older.size() == 0);
}

TEST_CASE("ends that an answer has outlived are removed from a kept record") {
  auto registry = crash_registry();
  end_three_targets(registry, 10s);
  answer_part(registry, 11s);
  auto later = 10s + registry.options.retention + 500ms;
  CHECK(expire_records(registry, later).size() == 3);
  CHECK(registry.records.contains(content));
  CHECK(registry.records.at(content).ends.empty());
}
