#include "fulmarpitch/state/recorder.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/state/entry-outbox.h"
#include "store-bench.h"

namespace {

using namespace fulmar;
using namespace std::chrono_literals;

result_record make_result(std::uint64_t n, std::string body = "{}",
                          instant start = {}) {
  return {.request_id = make_request_id("dc-1", start, n),
          .caller = "depot",
          .body = std::move(body)};
}

recorder make_recorder(const store_bench& it, const std::string& name) {
  return {it.stores, {.data_centre = "dc-1", .name = name}};
}

TEST_CASE("request ids are read back") {
  rc::prop("any parts", [](std::uint64_t unique, std::uint32_t minute) {
    const auto id =
        make_request_id("erie_west-1", std::chrono::minutes(minute), unique);
    RC_ASSERT(parse_request_id(id) ==
              (request_id_parts{"erie_west-1", minute, unique}));
  });
  for (const auto* text :
       {"", "req_", "req_1", "req_1_0", "req_1_00000000000000zz_dc",
        "req_x_0000000000000001_dc", "req_1_0000000000000001_",
        "req_1_0000000000000001dc", "job_1_0000000000000001_dc"}) {
    INFO(text);
    CHECK_FALSE(parse_request_id(text));
  }
}

TEST_CASE("results of any bytes are read back") {
  rc::prop("any body", [](const std::string& body, const std::string& more) {
    auto bytes = std::string();
    auto second = make_result(2, more, 70s);
    second.what = outcome::unknown;
    second.code = error_code::outcome_unknown;
    append_result(make_result(1, body), bytes);
    append_result(second, bytes);
    const auto read = parse_results(bytes);
    RC_ASSERT(read.ok());
    RC_ASSERT(*read == (std::vector{make_result(1, body), second}));
    bytes.pop_back();
    RC_ASSERT(code_of(parse_results(bytes).status()) == error_code::internal);
  });
}

TEST_CASE("a group of results costs two writes and is read by id") {
  auto it = store_bench();
  auto writer = make_recorder(it, "a");
  auto done = 0;
  for (std::uint64_t n = 0; n < 1000; ++n) {
    const auto start = instant(30s) * static_cast<int>(n % 4);
    const auto status = writer.record(make_result(n, concat(n), start),
                                      [&done](const auto&) { ++done; });
    REQUIRE(status.ok());
  }
  CHECK(writer.find_pending(make_result(7, "", 90s).request_id) != nullptr);
  it.run(2s, writer);
  CHECK(done == 1000);
  CHECK(it.memory->counts.writes() == 2);
  CHECK(writer.load().bytes == 0);
  CHECK(it.find(make_result(7, "", 90s).request_id)->body == "7");
  const auto missing = it.find(make_request_id("dc-1", 0s, 4711));
  CHECK(code_of(missing.status()) == error_code::not_found);
  CHECK(code_of(it.find("nothing").status()) == error_code::bad_request);
}

TEST_CASE("of two results of one id the first committed stays") {
  auto it = store_bench();
  auto first = make_recorder(it, "a");
  auto second = make_recorder(it, "b");
  REQUIRE(first.record(make_result(1, "first"), [](const auto&) {}).ok());
  it.run(1s, first);
  REQUIRE(second.record(make_result(1, "second"), [](const auto&) {}).ok());
  it.run(1s, second);
  CHECK(second.load().results == 0);
  CHECK(it.find(make_result(1).request_id)->body == "first");
}

TEST_CASE("a result is recorded from another data centre") {
  auto it = store_bench();
  auto home = make_recorder(it, "a");
  auto away = recorder(it.stores, {.data_centre = "dc-2", .name = "b"});
  const auto ignore = [](const auto&) {};
  REQUIRE(away.record(make_result(1, "away"), ignore).ok());
  const auto own = make_request_id("dc-2", {}, 1);
  REQUIRE(away.record({.request_id = own, .body = "own"}, ignore).ok());
  REQUIRE(home.record(make_result(2, "home"), ignore).ok());
  it.run(5s, away, home);
  CHECK(away.load().results == 0);
  REQUIRE(home.record(make_result(1, "late"), ignore).ok());
  it.run(5s, home);
  CHECK(it.find(make_result(1).request_id)->body == "away");
  CHECK(it.find(make_result(2).request_id)->body == "home");
  CHECK(it.find(own)->body == "own");
  CHECK(code_of(home.record({.request_id = "req"}, ignore)) ==
        error_code::bad_request);
}

TEST_CASE("a full recorder refuses and keeps what it has") {
  auto it = store_bench();
  auto writer = recorder(it.stores, {.data_centre = "dc-1",
                                     .name = "a",
                                     .most_pending = 3,
                                     .most_pending_bytes = 10});
  const auto ignore = [](const auto&) {};
  CHECK(writer.record(make_result(1, "12345"), ignore).ok());
  const auto large = writer.record(make_result(2, "123456"), ignore);
  CHECK(code_of(large) == error_code::overloaded);
  CHECK(outcome_of(large) == outcome::not_run);
  CHECK(writer.record(make_result(1, "12345"), ignore).ok());
  CHECK(writer.append_segment("s", "12345", ignore).ok());
  CHECK(writer.claim({.subject = "r"}, ignore).ok());
  CHECK(code_of(writer.claim({.subject = "q"}, ignore)) ==
        error_code::overloaded);
  it.run(1s, writer);
  CHECK(writer.load().bytes == 0);
  CHECK(it.memory->objects.at("s") == "12345");
}

TEST_CASE("a conflicting claim leaves the group, the rest commits") {
  auto it = store_bench();
  auto writer = make_recorder(it, "a");
  auto outcomes = std::map<std::string, claim_outcome>();
  const auto claim = [&](const std::string& subject, const std::string& who) {
    const auto key = concat(who, '/', subject);
    const auto status = writer.claim(
        {claim_kind::key, subject, who, concat("by ", who)},
        [&outcomes, key](const auto& out) { outcomes[key] = out.value(); });
    REQUIRE(status.ok());
  };
  claim("1", "x");
  claim("1", "y");
  it.run(1s, writer);
  for (const auto* subject : {"0", "1", "2"})
    claim(subject, "z");
  claim("1", "x");
  it.run(1s, writer);
  CHECK(outcomes.size() == 5);
  CHECK(outcomes.at("x/1").granted);
  CHECK_FALSE(outcomes.at("y/1").granted);
  CHECK(outcomes.at("y/1").value == "by x");
  CHECK(outcomes.at("z/0").granted);
  CHECK_FALSE(outcomes.at("z/1").granted);
  CHECK(outcomes.at("z/1").claimant == "x");
  CHECK(outcomes.at("z/2").granted);
  CHECK(writer.load().claims == 0);
}

/// Two recorders at once over lossy stores: everything ends in the stores, and
/// each claim has one holder.
void run_split_view(std::uint64_t seed) {
  auto it = store_bench({.seed = seed,
                         .fail_before_per_mille = 150,
                         .lose_reply_per_mille = 150,
                         .late_effect_per_mille = 100,
                         .most_delay = 200ms,
                         .outages = {{2s, 5s}}});
  auto first = make_recorder(it, "a");
  auto second = make_recorder(it, "b");
  auto granted = std::map<std::string, int>();
  auto answered = std::map<std::string, int>();
  auto recorded_count = 0;
  constexpr auto most = 60;
  for (std::uint64_t n = 0; n < most; ++n) {
    for (auto* writer : {&first, &second}) {
      const auto who = writer == &first ? "a" : "b";
      RC_ASSERT(writer
                    ->record(make_result(n, who),
                             [&](const auto& out) {
                               recorded_count += out.ok() ? 1 : 0;
                             })
                    .ok());
      const auto subject = concat(n);
      RC_ASSERT(writer
                    ->claim({.subject = subject, .claimant = who},
                            [&, subject](const auto& out) {
                              ++answered[subject];
                              granted[subject] += out->granted ? 1 : 0;
                            })
                    .ok());
    }
    it.run(100ms, first, second);
  }
  it.run(60s, first, second);
  RC_ASSERT(recorded_count == 2 * most);
  it.memory->plan = {};
  for (std::uint64_t n = 0; n < most; ++n) {
    RC_ASSERT(answered[concat(n)] == 2);
    RC_ASSERT(granted[concat(n)] == 1);
    const auto id = make_result(n).request_id;
    const auto once = it.find(id);
    RC_ASSERT(once.ok());
    RC_ASSERT(it.find(id)->body == once->body);
  }
}

TEST_CASE("two recorders at once are harmless") {
  rc::prop("split view", [](std::uint64_t seed) { run_split_view(seed); });
}

TEST_CASE("an outbox sends again until acknowledged") {
  auto box = entry_outbox({.most_records = 2, .most_bytes = 10});
  REQUIRE(box.reserve(8).ok());
  CHECK(code_of(box.reserve(3)) == error_code::overloaded);
  REQUIRE(box.reserve(2).ok());
  CHECK(code_of(box.reserve(0)) == error_code::overloaded);
  box.release(2);
  const auto id = make_result(1).request_id;
  box.add(make_result(1, "body"), 8);
  CHECK(box.bytes() == 4);
  CHECK(box.take_due(1s).size() == 1);
  CHECK(box.take_due(2s).empty());
  box.held(id);
  CHECK(box.take_due(11s).size() == 1);
  box.recorder_changed();
  CHECK(box.take_due(11s).size() == 1);
  CHECK(box.find(id)->body == "body");
  box.acknowledged(id);
  CHECK(box.size() == 0);
  CHECK(box.bytes() == 0);
  CHECK(box.take_due(1h).empty());
}

}  // namespace
