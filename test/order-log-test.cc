#include "fulmarpitch/order/log.h"

#include <catch2/catch.hpp>

#include "fulmarpitch/core/invariant.h"
#include "order-fixture.h"

using namespace fulmar;
using namespace fulmar::order_test;

namespace {

const auto epoch = epoch_id{.number = 1, .incarnation = "a"};

/// A recorder whose answers the test gives.
struct slow_recorder {
  std::vector<stored_segment> sent;
  std::vector<std::function<void(absl::Status)>> answers;

  append_segment writer() {
    return [this](std::string name, std::string bytes,
                  std::function<void(absl::Status)> done) {
      sent.push_back({std::move(name), std::move(bytes)});
      answers.push_back(std::move(done));
    };
  }
};

order_log_options make_options(std::size_t window = 8) {
  return {.start = {.pool = pool, .epoch = epoch, .owner = "a"},
          .window = window,
          .limits = {.records = 3, .interval = instant(100)}};
}

appended_record admit(order_log& log, instant now, std::string origin = "e1") {
  return log.append(make_admit(log.last_number() + 1, std::move(origin)), {},
                    now);
}

}  // namespace

TEST_CASE("a segment is cut by count, by bytes or by time") {
  struct row {
    segment_limits limits;
    std::size_t admissions;
    instant now;
    std::size_t segments;
  };
  auto never = instant(std::chrono::hours(1));
  auto rows = std::vector<row>{
      {{.records = 3, .interval = never}, 1, instant(1), 0},
      {{.records = 3, .interval = never}, 2, instant(1), 1},
      {{.bytes = 10, .interval = never}, 0, instant(1), 1},
      {{.interval = instant(100)}, 1, instant(99), 0},
      {{.interval = instant(100)}, 1, instant(100), 1},
  };
  for (const auto& it : rows) {
    auto options = make_options(100);
    options.limits = it.limits;
    auto recorder = slow_recorder();
    auto log = order_log(options, recorder.writer(), instant(0));
    for (std::size_t i = 0; i < it.admissions; ++i)
      admit(log, instant(0));
    log.tick(it.now);
    CHECK(recorder.sent.size() == it.segments);
  }
}

TEST_CASE("a full window holds admissions back until a segment has landed") {
  auto recorder = slow_recorder();
  auto log = order_log(make_options(), recorder.writer(), instant(0));
  while (log.may_admit())
    admit(log, instant(0));
  CHECK(log.last_number() == 7);
  CHECK_THROWS_AS(admit(log, instant(0)), invariant_broken);
  log.tick(instant(1));
  log.tick(instant(2));
  REQUIRE(recorder.sent.size() == 1);
  CHECK(log.durable_number() == 0);
  recorder.answers[0]({});
  CHECK(log.durable_number() == 3);
  CHECK(log.pending().size() == 4);
  CHECK(log.room() == 3);
}

TEST_CASE("numbers that are not consecutive break an invariant") {
  auto recorder = slow_recorder();
  auto log = order_log(make_options(), recorder.writer(), instant(0));
  CHECK_THROWS_AS(log.append(make_admit(3, "e1"), {}, instant(0)),
                  invariant_broken);
}

TEST_CASE("a failed write is repeated with the very same bytes") {
  auto recorder = slow_recorder();
  auto log = order_log(make_options(), recorder.writer(), instant(0));
  admit(log, instant(0));
  log.tick(instant(100));
  recorder.answers[0](make_error(error_code::store_unavailable, "down"));
  admit(log, instant(101));
  log.tick(instant(102));
  CHECK(recorder.sent.size() == 1);
  log.tick(instant(200));
  REQUIRE(recorder.sent.size() == 2);
  CHECK(recorder.sent[0].name == recorder.sent[1].name);
  CHECK(recorder.sent[0].bytes == recorder.sent[1].bytes);
  CHECK_FALSE(log.fenced());
}

TEST_CASE("a name that holds other bytes fences the log for good") {
  auto recorder = slow_recorder();
  auto log = order_log(make_options(), recorder.writer(), instant(0));
  log.tick(instant(100));
  recorder.answers[0](make_error(error_code::conflict, "taken"));
  CHECK(log.fenced());
  CHECK_FALSE(log.may_admit());
  log.tick(instant(1000));
  CHECK(recorder.sent.size() == 1);
}

TEST_CASE("a closed log takes nothing more and writes the rest at once") {
  auto store = objects();
  auto log = order_log(make_options(), writer_to(store), instant(0));
  admit(log, instant(0));
  log.close(instant(1));
  CHECK_FALSE(log.may_admit());
  log.tick(instant(1));
  CHECK(log.flushed());
  CHECK(verdict_of(audit_of(store)) == audit_verdict::clean);
}

TEST_CASE("an answer that comes after the log is gone is harmless") {
  auto recorder = slow_recorder();
  {
    auto log = order_log(make_options(), recorder.writer(), instant(0));
    log.tick(instant(100));
  }
  REQUIRE(recorder.answers.size() == 1);
  recorder.answers[0]({});
}

TEST_CASE("records for the owner's own entry ask for a witness") {
  auto recorder = slow_recorder();
  auto log = order_log(make_options(), recorder.writer(), instant(0));
  CHECK(admit(log, instant(0), "a").needs_witness);
  CHECK_FALSE(admit(log, instant(0), "e1").needs_witness);
}

TEST_CASE("an entry holds records until they are announced as durable") {
  auto recorder = slow_recorder();
  auto log = order_log(make_options(), recorder.writer(), instant(0));
  auto held = held_records();
  CHECK(held.take(log.opening_line()).ok());
  auto second = admit(log, instant(0)).line;
  auto third = admit(log, instant(0)).line;
  CHECK(held.take(third).ok());
  CHECK(held.take(second).ok());
  CHECK(held.take(second).ok());
  CHECK(held.lines(pool, epoch) ==
        std::vector{log.opening_line(), second, third});
  CHECK(code_of(held.take("[]")) == error_code::bad_request);
  held.release(pool, epoch, 2);
  CHECK(held.lines(pool, epoch) == std::vector{third});
  held.seal(pool, epoch);
  CHECK(held.size() == 1);
  CHECK(code_of(held.take(admit(log, instant(0)).line)) ==
        error_code::conflict);
  held.closed(pool, epoch, 9);
  CHECK(held.size() == 0);
  CHECK(held.epochs(pool).empty());
  CHECK(code_of(held.take(second)) == error_code::conflict);
}
