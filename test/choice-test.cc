#include "fulmarpitch/core/choice.h"

#include <catch2/catch.hpp>

using namespace fulmar;

namespace {

class_candidate make_class(const std::string& name, std::uint32_t rank,
                           work_kind kind, std::int64_t owed = 0) {
  return {.name = name,
          .rank = rank,
          .kind = kind,
          .owed_tokens = owed,
          .callers = {{.caller = name + "-caller", .request_id = name}}};
}

}  // namespace

TEST_CASE("the class rule goes by owed tokens, then order, batch last") {
  auto batch = make_class("batch", 0, work_kind::batch, 900);
  auto first = make_class("first", 1, work_kind::online);
  auto second = make_class("second", 2, work_kind::online);
  auto owed = make_class("owed", 3, work_kind::online, 5);
  struct row {
    std::vector<class_candidate> classes;
    std::string expected;
    choice_rule rule;
  };
  auto rows = std::vector<row>{
      {{batch}, "batch", choice_rule::only_class},
      {{batch, second}, "second", choice_rule::class_order},
      {{second, first, batch}, "first", choice_rule::class_order},
      {{second, first, owed}, "owed", choice_rule::owed_share},
  };
  for (const auto& [classes, expected, rule] : rows) {
    auto got = choose({.classes = classes, .targets = {{.target = "t"}}});
    REQUIRE(got);
    CHECK(got->request_id == expected);
    CHECK(got->rule == rule);
  }
}

TEST_CASE("callers of a class go by tokens served, batch then by deadline") {
  auto callers = std::vector<caller_candidate>{
      {.caller = "a", .virtual_tokens = 9, .arrival_number = 1},
      {.caller = "b",
       .virtual_tokens = 4,
       .deadline = instant(20),
       .arrival_number = 2},
      {.caller = "c",
       .virtual_tokens = 4,
       .deadline = instant(10),
       .arrival_number = 3}};
  CHECK(choose_caller(work_kind::online, callers) == 1u);
  CHECK(choose_caller(work_kind::batch, callers) == 2u);
  CHECK_FALSE(choose_caller(work_kind::batch, {}));
}

TEST_CASE("no choice is made without a class or a target that may be used") {
  auto blocked = make_class("batch", 0, work_kind::batch);
  blocked.may_admit = false;
  auto open = make_class("online", 0, work_kind::online);
  CHECK_FALSE(choose({.classes = {blocked}, .targets = {{.target = "t"}}}));
  CHECK_FALSE(choose({.classes = {open}, .targets = {}}));
  CHECK_FALSE(choose(
      {.classes = {open}, .targets = {{.target = "t", .may_admit = false}}}));
  auto got = choose({.classes = {open},
                     .targets = {{.target = "b", .cost_us = 2},
                                 {.target = "a", .cost_us = 2},
                                 {.target = "c", .cost_us = 1}}});
  REQUIRE(got);
  CHECK(got->target == "c");
}
