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

void end_target(crash_book& book, std::uint64_t number, instant at) {
  note_event(book, {.content = content, .number = number, .at = at});
}

void end_three_targets(crash_book& book, instant at) {
  for (auto n = std::uint64_t{1}; n <= 3; ++n)
    end_target(book, n, at);
}

run_permit::kind verdict(const crash_book& book, instant now) {
  return judge(book, content, now).what;
}

}  // namespace

TEST_CASE("a content is held after three ends but not after two") {
  auto book = crash_book();
  end_target(book, 1, 10s);
  end_target(book, 2, 11s);
  CHECK(verdict(book, 11s) == run_permit::kind::free);
  end_target(book, 3, 12s);
  auto permit = judge(book, content, 13s);
  CHECK(permit.what == run_permit::kind::held);
  CHECK(permit.retry_after == 12s + book.options.trial_pauses[0] - 13s);
}

TEST_CASE("an end that is recorded twice counts once") {
  auto book = crash_book();
  for (auto n = 0; n < 5; ++n)
    end_target(book, 1, 10s);
  CHECK(verdict(book, 10s) == run_permit::kind::free);
}

TEST_CASE("a content that keeps ending targets is granted two trials") {
  auto book = crash_book();
  end_three_targets(book, 10s);
  auto ends = std::uint64_t{3};
  auto trials = std::uint32_t{0};
  for (auto now = instant(10s); now < 600s; now += 1s) {
    auto permit = judge(book, content, now);
    if (permit.what != run_permit::kind::trial) continue;
    CHECK(permit.trial == trials);
    note_event(book, {.content = content,
                      .kind = crash_event_kind::trial,
                      .number = trials++,
                      .at = now});
    CHECK(verdict(book, now) == run_permit::kind::held);
    end_target(book, ++ends, now);
  }
  CHECK(trials == 2);
  auto last = judge(book, content, 600s);
  CHECK(last.what == run_permit::kind::held);
  CHECK(last.retry_after > 0s);
}

TEST_CASE("an answer clears a content for good") {
  auto book = crash_book();
  end_three_targets(book, 10s);
  CHECK_FALSE(is_sound(book, content));
  note_event(book,
             {.content = content, .kind = crash_event_kind::sound, .at = 12s});
  CHECK(is_sound(book, content));
  for (auto n = std::uint64_t{10}; n < 20; ++n)
    end_target(book, n, 13s);
  CHECK(verdict(book, 13s) == run_permit::kind::free);
}

TEST_CASE("records expire, those of held contents last") {
  auto book = crash_book();
  end_three_targets(book, 10s);
  note_event(book, {.content = 8, .number = 1, .at = 10s});
  auto later = 10s + book.options.memory + 1s;
  CHECK(forget_lapsed(book, later) ==
        std::vector{crash_key({.content = 8, .number = 1})});
  CHECK(verdict(book, later) != run_permit::kind::free);
  auto keys = forget_lapsed(book, 10s + book.options.hold + 1s);
  CHECK(keys.size() == 3);
  CHECK(book.records.empty());
}

TEST_CASE("a full book evicts the oldest content that is not held") {
  auto book = crash_book{.options = {.max_records = 3}};
  end_three_targets(book, 1s);
  note_event(book, {.content = 8, .number = 1, .at = 2s});
  note_event(book, {.content = 9, .number = 1, .at = 3s});
  note_event(book, {.content = 10, .number = 1, .at = 4s});
  CHECK(book.records.size() == 3);
  CHECK(book.records.contains(content));
  CHECK_FALSE(book.records.contains(8));
}

TEST_CASE("a row key round-trips its event") {
  auto kind = GENERATE(crash_event_kind::end, crash_event_kind::trial,
                       crash_event_kind::sound);
  auto event = crash_event{.content = 77, .kind = kind, .number = 5};
  auto read = parse_crash_key(crash_key(event));
  REQUIRE(read);
  CHECK(read->content == 77);
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
  auto book = crash_book();
  note_event(book, {.content = content,
                    .kind = crash_event_kind::trial,
                    .number = std::numeric_limits<std::uint64_t>::max(),
                    .at = 1s});
  CHECK(forget_lapsed(book, 1s + book.options.memory + 1s).size() == 2);
}
