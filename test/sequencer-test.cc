#include "fulmarpitch/core/sequencer.h"

#include <catch2/catch.hpp>
#include <map>

#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/request-life.h"
#include "fulmarpitch/core/text.h"

using namespace fulmar;
using namespace std::chrono_literals;

namespace {

target_info make_target(const std::string& name, std::uint32_t slots = 4) {
  return {.name = name, .address = name + ":1", .slots = slots};
}

submit_event make_submit(const std::string& id, work_item item = {}) {
  item.id = id;
  if (item.caller.empty()) item.caller = "caller";
  if (item.class_name.empty()) item.class_name = "class";
  if (item.prompt_tokens == 0) item.prompt_tokens = 100;
  if (item.max_tokens == 0) item.max_tokens = 100;
  return {.item = std::move(item), .origin = "entry"};
}

/// A sequencer with its clock, and what it commanded by type.
struct bench {
  sequencer under_test{{.pool = "pool"}};
  instant now = 1s;
  std::uint64_t last_number = 0;
  std::vector<admit_command> admits;
  std::vector<refuse_command> refusals;
  std::vector<preempt_command> preemptions;
  std::vector<cancel_command> cancels;

  void keep(const admit_command& it) {
    CHECK(choose(it.inputs) == it.chosen);
    admits.push_back(it);
  }
  void keep(const refuse_command& it) { refusals.push_back(it); }
  void keep(const preempt_command& it) { preemptions.push_back(it); }
  void keep(const cancel_command& it) { cancels.push_back(it); }

  void apply(const sequencer_event& event) { under_test.apply(event, now); }

  void tick(instant step = 10ms) {
    now += step;
    for (const auto& command : under_test.tick(now)) {
      std::visit(
          [this](const auto& it) {
            CHECK(it.number == ++last_number);
            keep(it);
          },
          command);
    }
  }

  void end(const admit_command& it, attempt_end how,
           std::uint32_t tokens = 100) {
    apply(finished_event{.request_id = it.request_id,
                         .attempt = it.attempt,
                         .end = how,
                         .tokens_produced = tokens});
  }
};

}  // namespace

TEST_CASE("a request's life allows only the listed steps") {
  CHECK(next_state(life_state::queued, life_event::admit) ==
        life_state::running);
  CHECK(next_state(life_state::running, life_event::retry) == life_state::held);
  CHECK(next_state(life_state::held, life_event::release) ==
        life_state::queued);
  CHECK_FALSE(next_state(life_state::running, life_event::admit));
  CHECK_FALSE(next_state(life_state::queued, life_event::retry));
  for (const auto& [event, name] : life_event_names)
    CHECK_FALSE(next_state(life_state::done, event));
}

TEST_CASE("online goes before batch and an owed class before a higher one") {
  auto b = bench();
  b.apply(policy_event{
      {.config_version = 1,
       .classes = {{.name = "high", .rank = 0},
                   {.name = "low", .rank = 1, .guaranteed_percent = 40},
                   {.name = "jobs", .rank = 0, .kind = work_kind::batch}}}});
  for (auto i = 0; i < 20; ++i) {
    b.apply(make_submit(concat("j", i),
                        {.class_name = "jobs", .kind = work_kind::batch}));
    b.apply(make_submit(concat("l", i), {.class_name = "low"}));
    b.apply(make_submit(concat("h", i), {.class_name = "high"}));
  }
  b.apply(target_event{make_target("t", 20)});
  b.tick();
  REQUIRE(b.admits.size() == 20);
  auto count = std::map<std::string, int>();
  for (const auto& it : b.admits)
    ++count[it.chosen.class_name];
  CHECK(count["jobs"] == 0);
  CHECK(count["low"] == 8);
  CHECK(count["high"] == 12);
}

TEST_CASE("callers of a class share by tokens, weight and concurrency") {
  auto b = bench();
  b.apply(policy_event{
      {.config_version = 1,
       .classes = {{.name = "class"}},
       .callers = {{.name = "heavy", .class_name = "class", .weight = 2},
                   {.name = "narrow",
                    .class_name = "class",
                    .weight = 100,
                    .concurrency = 1}}}});
  for (auto i = 0; i < 100; ++i) {
    b.apply(make_submit(concat("h", i), {.caller = "heavy"}));
    b.apply(make_submit(concat("n", i), {.caller = "narrow"}));
    b.apply(make_submit(concat("p", i), {.caller = "plain"}));
    b.apply(make_submit(
        concat("q", i),
        {.caller = "big", .prompt_tokens = 350, .max_tokens = 100}));
  }
  b.apply(target_event{make_target("t", 72)});
  b.tick();
  auto count = std::map<std::string, int>();
  for (const auto& it : b.admits)
    ++count[it.chosen.caller];
  CHECK(count["narrow"] == 1);
  CHECK(std::abs(count["heavy"] - 2 * count["plain"]) <= 2);
  // 400 expected tokens a request against 150.
  CHECK(std::abs(count["plain"] * 150 - count["big"] * 400) <= 400);
}

TEST_CASE("an idle caller banks no credit") {
  auto b = bench();
  b.apply(target_event{make_target("t", 1)});
  for (auto i = 0; i < 10; ++i)
    b.apply(make_submit(concat("busy", i), {.caller = "busy"}));
  for (auto i = 0; i < 5; ++i) {
    b.tick();
    b.end(b.admits.back(), attempt_end::completed);
  }
  for (auto i = 0; i < 10; ++i)
    b.apply(make_submit(concat("new", i), {.caller = "new"}));
  auto before = b.admits.size();
  for (auto i = 0; i < 4; ++i) {
    b.tick();
    b.end(b.admits.back(), attempt_end::completed);
  }
  auto fresh = 0;
  for (auto i = before; i < b.admits.size(); ++i)
    fresh += b.admits[i].chosen.caller == "new" ? 1 : 0;
  CHECK(fresh <= 2);
}

TEST_CASE("refusals before an attempt say not run, with the reason") {
  auto b = bench();
  b.apply(policy_event{{.config_version = 1,
                        .classes = {{.name = "class"}},
                        .callers = {{.name = "limited",
                                     .class_name = "class",
                                     .requests_per_second = 1}}}});
  b.apply(make_submit("first", {.caller = "limited"}));
  b.apply(make_submit("second", {.caller = "limited"}));
  b.apply(make_submit("late", {.deadline = b.now}));
  b.apply(make_submit("expires", {.deadline = b.now + 20ms}));
  b.apply(make_submit("dropped"));
  b.apply(cancel_event{"dropped"});
  b.apply(quarantine_event{77});
  b.apply(make_submit("bad", {.content_hash = 77}));
  b.tick(1s);
  auto codes = std::map<std::string, error_code>();
  for (const auto& it : b.refusals) {
    codes[it.request_id] = it.code;
    CHECK(it.what == outcome::not_run);
  }
  CHECK(codes == std::map<std::string, error_code>{
                     {"second", error_code::rate_limited},
                     {"late", error_code::deadline_exceeded},
                     {"expires", error_code::deadline_exceeded},
                     {"dropped", error_code::cancelled},
                     {"bad", error_code::quarantined}});
  CHECK(b.refusals.front().retry_after > 0s);
  CHECK(b.under_test.queued() == 1);
}

TEST_CASE("work that cannot meet its deadline is refused at once") {
  auto b = bench();
  b.apply(target_event{make_target("t", 2)});
  for (auto i = 0; i < 50; ++i)
    b.apply(make_submit(concat("r", i), {.deadline = b.now + 5s}));
  b.tick();
  REQUIRE_FALSE(b.refusals.empty());
  CHECK(b.refusals.size() < 50 - 2);
  for (const auto& it : b.refusals) {
    CHECK(it.code == error_code::overloaded);
    CHECK(it.what == outcome::not_run);
    CHECK(it.retry_after >= 1s);
  }
}

TEST_CASE("a target that leaves or is unknown gets nothing") {
  auto b = bench();
  auto leaving = make_target("a");
  leaving.leaving = true;
  b.apply(target_event{leaving});
  b.apply(load_report_event{.target = "b"});
  b.apply(make_submit("r"));
  b.tick();
  CHECK(b.admits.empty());
  b.apply(target_event{make_target("b")});
  b.tick(50ms);
  REQUIRE(b.admits.size() == 1);
  CHECK(b.admits[0].chosen.target == "b");
}

TEST_CASE("the end of an attempt decides what follows") {
  struct row {
    attempt_end end;
    bool no_repeat;
    bool is_retried;
    std::optional<error_code> refused;
    outcome what;
  };
  auto rows = std::vector<row>{
      {attempt_end::completed, false, false, {}, outcome::ran},
      {attempt_end::failed, false, true, {}, outcome::ran},
      {attempt_end::failed, true, false, error_code::attempt_failed,
       outcome::unknown},
      {attempt_end::target_lost, false, true, {}, outcome::ran},
      {attempt_end::target_lost, true, false, error_code::outcome_unknown,
       outcome::unknown},
      {attempt_end::preempted, false, true, {}, outcome::ran},
      {attempt_end::preempted, true, false, error_code::outcome_unknown,
       outcome::unknown},
      {attempt_end::cancelled, false, false, {}, outcome::ran},
  };
  for (const auto& [end, no_repeat, is_retried, refused, what] : rows) {
    auto b = bench();
    b.apply(target_event{make_target("a")});
    b.apply(target_event{make_target("b")});
    b.apply(make_submit("r", {.content_hash = 5, .no_repeat = no_repeat}));
    b.tick();
    REQUIRE(b.admits.size() == 1);
    b.end(b.admits[0], end);
    b.end(b.admits[0], end);
    b.tick(1s);
    INFO(name_in(attempt_end_names, end) << " no_repeat " << no_repeat);
    CHECK(b.admits.size() == (is_retried ? 2 : 1));
    REQUIRE(b.refusals.size() == (refused ? 1 : 0));
    if (refused) CHECK(b.refusals[0].code == *refused);
    if (refused) CHECK(b.refusals[0].what == what);
    if (is_retried) CHECK(b.admits[1].attempt == 2);
  }
}

TEST_CASE("a successor adopts a running attempt and starts no second one") {
  auto b = bench();
  b.apply(target_event{make_target("t")});
  auto again = make_submit("r", {.no_repeat = true});
  b.apply(again);
  again.attempt = 1;
  again.target = "t";
  b.apply(again);
  b.apply(again);
  b.tick();
  CHECK(b.admits.empty());
  CHECK(b.under_test.running() == 1);
  b.apply(finished_event{.request_id = "r", .attempt = 1});
  CHECK(b.under_test.running() == 0);
  auto ended = make_submit("s", {.no_repeat = true});
  ended.attempt = 1;
  b.apply(ended);
  b.tick();
  REQUIRE(b.refusals.size() == 1);
  CHECK(b.refusals[0].what == outcome::unknown);
}

TEST_CASE("a lost entry frees its slots") {
  auto b = bench();
  b.apply(target_event{make_target("t", 1)});
  b.apply(make_submit("a"));
  b.apply(make_submit("b"));
  b.tick();
  auto other = make_submit("c");
  other.origin = "other";
  b.apply(other);
  b.apply(origin_gone_event{"entry"});
  b.tick();
  REQUIRE(b.admits.size() == 2);
  CHECK(b.admits[1].request_id == "c");
  CHECK(b.under_test.queued() == 0);
}

TEST_CASE("batch gives way to online work and keeps what it produced") {
  auto b = bench();
  auto target = make_target("t", 8);
  target.can_resume = true;
  b.apply(target_event{target});
  for (auto i = 0; i < 20; ++i)
    b.apply(make_submit(concat("j", i),
                        {.kind = work_kind::batch, .prompt_tokens = 10}));
  for (auto i = 0; i < 40; ++i)
    b.tick();
  CHECK(b.admits.size() == 8);
  for (auto i = 0; i < 8; ++i)
    b.apply(make_submit(concat("o", i)));
  b.tick();
  CHECK(b.preemptions.size() == 8);
  b.tick();
  CHECK(b.preemptions.size() == 8);
  for (const auto& it : b.preemptions)
    b.apply(finished_event{.request_id = it.request_id,
                           .attempt = it.attempt,
                           .end = attempt_end::preempted,
                           .tokens_produced = 40});
  b.tick();
  CHECK(b.admits.size() == 16);
  CHECK(b.admits.back().chosen.class_name == "class");
  CHECK(b.refusals.empty());
}

TEST_CASE("content that crashes two targets is found, neighbours go on") {
  auto b = bench();
  for (const auto* name : {"a", "b", "c", "d"})
    b.apply(target_event{make_target(name, 8)});
  for (std::uint64_t i = 0; i < 24; ++i)
    b.apply(make_submit(concat("r", i), {.content_hash = 100 + i}));
  auto lost = 0;
  auto next = std::size_t(0);
  for (auto round = 0;
       round < 400 && b.under_test.running() + b.under_test.queued() > 0;
       ++round) {
    b.tick();
    auto end = b.admits.size();
    auto crashed = std::string();
    for (auto i = next; i < end; ++i) {
      if (b.admits[i].request_id == "r5") crashed = b.admits[i].chosen.target;
    }
    if (!crashed.empty()) {
      ++lost;
      b.apply(target_gone_event{crashed});
    }
    for (; next < end; ++next) {
      if (b.admits[next].chosen.target != crashed)
        b.end(b.admits[next], attempt_end::completed);
    }
  }
  b.tick();
  CHECK(lost == 2);
  REQUIRE(b.refusals.size() == 1);
  CHECK(b.refusals[0].request_id == "r5");
  CHECK(b.refusals[0].code == error_code::quarantined);
  CHECK(b.refusals[0].content_hash == 105);
  b.apply(make_submit("again", {.content_hash = 105}));
  b.tick();
  CHECK(b.refusals.size() == 2);
}

TEST_CASE("retries stay within their budget") {
  auto b = bench();
  for (auto i = 0; i < 20; ++i)
    b.apply(target_event{make_target(concat("t", i), 80)});
  for (auto i = 0; i < 800; ++i)
    b.apply(make_submit(concat("r", i)));
  b.tick();
  auto first = b.admits.size();
  for (auto i = 0; i < 10; ++i)
    b.apply(target_gone_event{concat("t", i)});
  auto next = first;
  for (auto i = 0; i < 100; ++i) {
    b.tick(100ms);
    for (; next < b.admits.size(); ++next)
      b.end(b.admits[next], attempt_end::completed);
  }
  CHECK(first == 800);
  CHECK(b.admits.size() > first);
  // A tenth of the first attempts, the initial 5, and one for each second.
  CHECK(b.admits.size() - first <= first / 10 + 5 + 10);
  CHECK(b.under_test.queued() > 0);
}

TEST_CASE("batch does not take the memory that online work waits for") {
  auto b = bench();
  auto target = make_target("t", 8);
  target.kv_tokens = 1000;
  b.apply(target_event{target});
  b.apply(make_submit("first", {.prompt_tokens = 500}));
  b.apply(make_submit("waits", {.prompt_tokens = 500}));
  b.apply(make_submit(
      "small",
      {.kind = work_kind::batch, .prompt_tokens = 50, .max_tokens = 50}));
  b.tick();
  b.tick(1s);
  REQUIRE(b.admits.size() == 1);
  b.end(b.admits[0], attempt_end::completed);
  b.tick(1s);
  CHECK(b.admits.size() == 3);
}
