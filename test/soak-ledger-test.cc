#include "fulmarpitch/soak/ledger.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace fulmar::soak;
using namespace std::chrono_literals;

namespace {

bool broke(const ledger& it, promise which) {
  return std::any_of(it.violations.begin(), it.violations.end(),
                     [&](const auto& row) { return row.which == which; });
}

ledger with_job() {
  auto out = ledger();
  out.jobs["j"] = {.items = {"a", "b"}, .accepted = true};
  out.job_of = {{"a", "j"}, {"b", "j"}};
  return out;
}

}  // namespace

TEST_CASE("a second run of a request that may run once is seen") {
  auto it = ledger();
  it.once.insert("r");
  note_run(it, "r", 0s, true);
  note_run(it, "again", 0s, true);
  note_run(it, "again", 0s, true);
  CHECK(it.violations.empty());
  note_run(it, "r", 0s, true);
  CHECK(broke(it, promise::runs_once));
}

TEST_CASE("a refusal is false whether the run comes before or after it") {
  auto before = ledger();
  note_run(before, "r", 0s, true);
  note_not_run(before, "r");
  CHECK(broke(before, promise::not_run_is_true));
  auto after = ledger();
  note_not_run(after, "r");
  CHECK(after.violations.empty());
  note_run(after, "r", 0s, true);
  CHECK(broke(after, promise::not_run_is_true));
}

TEST_CASE("positions stay, and no item stands twice") {
  auto it = with_job();
  note_results(it, "j", 0, {"b"});
  note_results(it, "j", 0, {"b", "a"});
  CHECK(it.violations.empty());
  check_end(it);
  CHECK(it.violations.empty());
  note_results(it, "j", 0, {"a"});
  CHECK(broke(it, promise::result_stays));
  auto twice = with_job();
  note_results(twice, "j", 0, {"a", "a"});
  CHECK(broke(twice, promise::one_result));
  auto foreign = with_job();
  note_results(foreign, "j", 0, {"x"});
  CHECK(broke(foreign, promise::one_result));
}

TEST_CASE("an item of an ended job may start only for a moment") {
  auto it = with_job();
  it.jobs["j"].ended = 10s;
  note_run(it, "a", 10s + end_slack, true);
  note_run(it, "a", 60s, false);
  CHECK(it.violations.empty());
  note_run(it, "a", 11s + end_slack, true);
  CHECK(broke(it, promise::ended_job_stops));
}

TEST_CASE("an accepted job must complete, a refused one must not run") {
  auto open = with_job();
  check_end(open);
  CHECK(broke(open, promise::job_completes));
  auto refused = with_job();
  refused.jobs["j"].accepted = false;
  check_end(refused);
  CHECK(refused.violations.empty());
  note_run(refused, "a", 0s, true);
  check_end(refused);
  CHECK(broke(refused, promise::not_run_is_true));
}

// A caller whose call to end a job was lost can't tell whether the job goes on.
TEST_CASE("a job must complete unless a call to end it took effect") {
  auto with_end = [](bool may_have_ended, bool is_ended) {
    auto it = with_job();
    it.jobs["j"].may_have_ended = may_have_ended;
    resolve_unknown_ends(it, [&](const auto&) { return is_ended; });
    check_end(it);
    return it;
  };
  CHECK_FALSE(broke(with_end(true, true), promise::job_completes));
  CHECK(broke(with_end(true, false), promise::job_completes));
  CHECK(broke(with_end(false, true), promise::job_completes));
}
