#include "fulmarpitch/serving/job-run.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>

#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/serving/slot-waits.h"

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

constexpr auto limits = store_limits();

job_run sample(const std::string& id = "j1", instant accepted = 0s) {
  auto row = job_row{.id = id,
                     .host = "h",
                     .route = "r",
                     .items = 3,
                     .waiting_tokens = 30,
                     .accepted = accepted,
                     .owner = {.name = "vm#1"},
                     .version = 4};
  auto items = std::vector<submitted_item>();
  for (const auto* it : {"a", "b", "c"})
    items.push_back({.id = it, .path = "/p", .tokens = 10});
  auto out = start_run(std::move(row), std::move(items));
  out.due_after = 18s;
  return out;
}

job_item& running(job_run& run, std::size_t item) {
  run.items[item].state = item_state::running;
  return run.items[item];
}

}  // namespace

TEST_CASE("items that can meet their deadline run before late ones") {
  auto runs = job_runs();
  runs.emplace("old", sample("old", 0s));
  runs.emplace("new", sample("new", 10s));
  auto early = next_item(runs, 0s, 5s);
  REQUIRE(early);
  CHECK(early->ref.job == "old");
  CHECK(early->in_time);
  auto later = next_item(runs, 0s, 15s);
  REQUIRE(later);
  CHECK(later->ref.job == "new");
  // With most of its output produced, the old job's item can still be in time.
  runs.at("old").items[1].progress.last_event = 200;
  auto nearly_done = next_item(runs, 0s, 15s);
  REQUIRE(nearly_done);
  CHECK(nearly_done->ref.job == "old");
  CHECK(nearly_done->ref.item == 1);
}

TEST_CASE("late items run when no other item waits") {
  auto runs = job_runs();
  runs.emplace("old", sample("old", 0s));
  auto it = next_item(runs, 0s, 60s);
  REQUIRE(it);
  CHECK_FALSE(it->in_time);
}

TEST_CASE("no item of an ended job runs") {
  auto runs = job_runs();
  runs.emplace("j1", sample());
  runs.at("j1").row.ended = true;
  CHECK_FALSE(next_item(runs, 0s, 0s));
}

TEST_CASE("the outcome of an attempt sets the item's state") {
  auto run = sample();
  auto& item = running(run, 0);
  SECTION("complete") {
    end_attempt(item, attempt_end::complete, true, 3, 0s);
    CHECK(item.state == item_state::finished);
    CHECK(item.end == item_end::done);
  }
  SECTION("impossible") {
    end_attempt(item, attempt_end::impossible, false, 3, 0s);
    CHECK(item.end == item_end::dead);
  }
  SECTION("failures up to the attempts of the route") {
    end_attempt(item, attempt_end::failed, false, 2, 0s);
    CHECK(item.state == item_state::waiting);
    CHECK(item.not_before == item_retry_options().failure_delay);
    end_attempt(item, attempt_end::failed, false, 2, 0s);
    CHECK(item.state == item_state::finished);
    CHECK(item.end == item_end::dead);
  }
  SECTION(
      "breaks without an event back off up to a bound, without a retry limit") {
    auto pause = instant();
    for (auto n = 0; n < 12; ++n) {
      item.state = item_state::running;
      end_attempt(item, attempt_end::broken, false, 1, 0s);
      CHECK(item.state == item_state::waiting);
      CHECK(item.not_before >= pause);
      pause = item.not_before;
    }
    CHECK(pause == item_retry_options().max_backoff);
  }
  SECTION("preemption and withdrawal from a queue do not count as failures") {
    auto end = GENERATE(attempt_end::preempted, attempt_end::queued);
    end_attempt(item, end, true, 1, 0s);
    CHECK(item.state == item_state::waiting);
    CHECK(item.progress.failures == 0);
    CHECK(item.not_before > 0s);
  }
}

TEST_CASE("an item whose targets crashed runs again once the faults are over") {
  // Results must be there after this much time without faults.
  constexpr auto calm_time = 5s;
  auto runs = job_runs();
  auto& run = runs.emplace("j1", sample()).first->second;
  auto crashes = GENERATE(1, 3, 5, 12);
  CAPTURE(crashes);
  auto now = instant(1s);
  for (auto n = 0; n < crashes; ++n) {
    now += 400ms;
    end_attempt(running(run, 0), attempt_end::broken, false, 1, now);
  }
  run.items[1].state = run.items[2].state = item_state::finished;
  auto next = next_item(runs, now + calm_time, now + calm_time);
  REQUIRE(next);
  CHECK(next->ref.item == 0);
}

TEST_CASE("an item counts withdrawals from queues since its last event") {
  auto run = sample();
  auto& item = running(run, 0);
  end_attempt(item, attempt_end::queued, false, 1, 0s);
  end_attempt(item, attempt_end::queued, false, 1, 0s);
  CHECK(item.cut_count == 2);
  end_attempt(item, attempt_end::preempted, true, 1, 0s);
  CHECK(item.cut_count == 0);
}

TEST_CASE("finished items are listed once, in one transaction") {
  auto run = sample();
  CHECK_FALSE(next_listing(run, limits, 0s));
  for (auto it : {2, 0}) {
    auto& item = running(run, static_cast<std::size_t>(it));
    item.progress = {.last_event = 1, .output = "out"};
    end_attempt(item, attempt_end::complete, true, 1, 0s);
  }
  auto first = next_listing(run, limits, 0s);
  REQUIRE(first);
  CHECK(first->row.listed == std::vector<std::uint32_t>{0, 2});
  CHECK(first->row.waiting_tokens == 10);
  REQUIRE(first->transaction.expected.size() == 1);
  CHECK(first->transaction.expected[0].version == 4);
  CHECK(first->transaction.writes.size() == 3);
  first->row.version = 5;
  CHECK(apply_row(run, first->row));
  CHECK(run.items[0].state == item_state::listed);
  CHECK_FALSE(next_listing(run, limits, 0s));
}

TEST_CASE("a listing and a save stay within the store's limits") {
  constexpr auto small = store_limits{.call_bytes = 2500};
  auto run = sample();
  for (auto it : {0, 1}) {
    auto& item = running(run, static_cast<std::size_t>(it));
    item.progress = {.last_event = 50, .output = std::string(800, 'x')};
  }
  auto save = next_save(run, 20, small);
  REQUIRE(save);
  CHECK(save->items.size() == 1);
  CHECK(check_limits(save->transaction, small).ok());
  for (auto it : {0, 1})
    end_attempt(run.items[static_cast<std::size_t>(it)], attempt_end::complete,
                true, 1, 0s);
  auto it = next_listing(run, small, 0s);
  REQUIRE(it);
  CHECK(it->row.listed.size() == 1);
  CHECK(check_limits(it->transaction, small).ok());
}

namespace {

/// A job of many items whose rows have the longest names and values.
job_run large_job(std::uint32_t items) {
  auto row = job_row{.id = std::string(180, 'j'),
                     .host = "h",
                     .route = "r",
                     .items = items,
                     .waiting_tokens = items,
                     .owner = {.name = "vm#1"},
                     .version = 4};
  auto submitted = std::vector<submitted_item>();
  for (auto n = std::uint32_t{0}; n < items; ++n)
    submitted.push_back({.id = std::to_string(n), .path = "/p", .tokens = 1});
  return start_run(std::move(row), std::move(submitted));
}

/// Lists all finished items as the store would.
/// \return the number of transactions.
std::size_t list_all(job_run& run, const store_limits& limits) {
  for (auto n = std::size_t{0};; ++n) {
    if (auto next = next_listing(run, limits, 0s)) {
      CHECK(check_limits(next->transaction, limits).ok());
      ++next->row.version;
      apply_row(run, next->row);
    } else if (auto save = next_output(run, limits, 0s)) {
      CHECK(check_limits(save->transaction, limits).ok());
      REQUIRE(save->pieces > run.items[save->item].stored_pieces);
      run.items[save->item].stored_pieces = save->pieces;
    } else {
      return n;
    }
  }
}

}  // namespace

// An outage of the store, or maxWaitS, ends all items of a job at once.
TEST_CASE("all results of a job that ends at once are listed") {
  constexpr std::uint32_t items = 200;
  auto run = large_job(items);
  SECTION("dead") {
    fail_waiting_items(run);
  }
  SECTION("done") {
    for (auto& it : run.items) {
      it.progress = {.last_event = 1, .output = std::string(9000, 'x')};
      end_attempt(it, attempt_end::complete, true, 1, 0s);
    }
  }
  CHECK(list_all(run, limits) >= 3);
  CHECK(run.row.listed.size() == items);
  CHECK(run.row.waiting_tokens == 0);
}

// Failures in an outage hold their items until they are saved.
TEST_CASE("all failures of a job are saved") {
  auto run = large_job(200);
  for (auto& it : run.items)
    end_attempt(it, attempt_end::failed, false, 6, 0s);
  auto saved = std::size_t{0};
  while (auto save = next_save(run, 20, limits)) {
    CHECK(check_limits(save->transaction, limits).ok());
    saved += save->items.size();
    mark_saved(run, *save);
  }
  CHECK(saved == run.items.size());
}

TEST_CASE("an output that is longer than a row is stored in pieces") {
  auto size = GENERATE(49'000, 49'152, 100'000, 899'999);
  auto run = sample();
  auto& item = running(run, 1);
  item.progress = {.last_event = 9,
                   .output = std::string(static_cast<std::size_t>(size), 'x')};
  end_attempt(item, attempt_end::complete, true, 1, 0s);
  auto& other = running(run, 2);
  other.progress = {.last_event = 1, .output = "y"};
  end_attempt(other, attempt_end::complete, true, 1, 0s);
  auto first = next_listing(run, limits, 0s);
  REQUIRE(first);
  if (size > 49'000) CHECK(first->row.listed == std::vector<std::uint32_t>{2});
  auto text = std::string();
  while (auto save = next_output(run, limits, 0s)) {
    for (const auto& it : save->transaction.writes)
      text += it.value;
    run.items[save->item].stored_pieces = save->pieces;
  }
  list_all(run, limits);
  CHECK(run.row.listed.size() == 2);
  if (size > 49'000) CHECK(text.size() == static_cast<std::size_t>(size));
}

TEST_CASE("a result that the store refuses holds up no others") {
  auto run = large_job(8);
  fail_waiting_items(run);
  constexpr std::uint32_t bad = 5;
  auto listed = std::size_t{0};
  for (auto n = 0; n < 20; ++n) {
    auto next = next_listing(run, limits, 0s);
    if (!next) break;
    auto from = next->row.listed.begin() +
                static_cast<std::ptrdiff_t>(run.row.listed.size());
    if (std::find(from, next->row.listed.end(), bad) !=
        next->row.listed.end()) {
      note_refusal(run, *next, 0s);
      continue;
    }
    ++next->row.version;
    apply_row(run, next->row);
    listed = run.row.listed.size();
  }
  CHECK(listed == 7);
  CHECK_FALSE(next_listing(run, limits, 9s));
  CHECK(next_listing(run, limits, 10s));
}

TEST_CASE("a failure that the store refuses to save holds up no others") {
  auto run = large_job(5);
  for (auto& it : run.items)
    end_attempt(it, attempt_end::failed, false, 6, 0s);
  auto is_bad = [](const progress_save& save) {
    return std::any_of(save.items.begin(), save.items.end(),
                       [](const auto& it) { return it.number == 3; });
  };
  for (auto n = 0; n < 20; ++n) {
    auto save = next_save(run, 20, limits);
    if (!save) break;
    if (is_bad(*save)) {
      note_refusal(run, *save);
    } else {
      mark_saved(run, *save);
    }
  }
  CHECK_FALSE(next_save(run, 20, limits));
}

TEST_CASE("an output that no result may hold is dropped, and its item waits") {
  auto run = sample();
  auto& item = running(run, 0);
  item.progress = {.last_event = 9, .output = "x", .failures = 1};
  end_attempt(item, attempt_end::too_long, true, 3, 0s);
  CHECK(item.state == item_state::waiting);
  CHECK(item.progress.last_event == 0);
  CHECK(item.progress.failures == 1);
  auto first = item.not_before;
  CHECK(first > 0s);
  end_attempt(running(run, 0), attempt_end::too_long, true, 3, 0s);
  CHECK(item.not_before > first);
}

TEST_CASE("output that is longer than a row is not saved, its failures are") {
  auto run = sample();
  auto& item = running(run, 0);
  item.progress = {.last_event = 500, .output = std::string(60'000, 'x')};
  CHECK_FALSE(next_save(run, 20, limits));
  item.progress.failures = 1;
  auto save = next_save(run, 20, limits);
  REQUIRE(save);
  auto kept = decode_progress(save->transaction.writes.at(0).value);
  REQUIRE(kept.ok());
  CHECK(kept->failures == 1);
  CHECK(kept->last_event == 0);
  CHECK(kept->output.empty());
}

TEST_CASE("a newer row with another owner or an ended job ends the run") {
  auto run = sample();
  auto row = run.row;
  row.version = 5;
  SECTION("own") {
    CHECK(apply_row(run, row));
  }
  SECTION("another owner") {
    row.owner.name = "vm#2";
    CHECK_FALSE(apply_row(run, row));
  }
  SECTION("ended") {
    row.ended = true;
    CHECK_FALSE(apply_row(run, row));
  }
  SECTION("older") {
    row.version = 3;
    row.ended = true;
    CHECK(apply_row(run, row));
  }
}

TEST_CASE("a change of a listed position violates an invariant") {
  auto run = sample();
  run.row.listed = {1};
  auto row = run.row;
  row.listed = {2};
  row.version = 9;
  CHECK_THROWS_AS(apply_row(run, row), invariant_broken);
}

TEST_CASE("output is saved after a minimum of new events") {
  auto run = sample();
  CHECK_FALSE(next_save(run, 20, limits));
  running(run, 0).progress = {.last_event = 19, .output = "x"};
  CHECK_FALSE(next_save(run, 20, limits));
  run.items[0].progress.last_event = 20;
  // Preempted items are saved, too.
  run.items[1].progress = {.last_event = 50, .output = "y"};
  auto save = next_save(run, 20, limits);
  REQUIRE(save);
  using saved = std::vector<progress_save::item>;
  CHECK(save->items == saved{{.number = 0, .last_event = 20},
                             {.number = 1, .last_event = 50}});
  REQUIRE(save->transaction.expected.size() == 1);
  CHECK(save->transaction.expected[0].name == job_row_name(run.row));
  CHECK(save->transaction.expected[0].version == run.row.version);
  REQUIRE(save->transaction.writes.size() == 2);
  CHECK(save->transaction.writes[0].name == progress_row_name(run.row, 0));
  auto kept = decode_progress(save->transaction.writes[1].value);
  REQUIRE(kept.ok());
  CHECK(kept->output == "y");
  CHECK(kept->last_event == 50);
  mark_saved(run, *save);
  CHECK_FALSE(next_save(run, 20, limits));
  // A minimum that is not reached prevents the save, whatever the output.
  run.items[1].progress.last_event = 90;
  CHECK_FALSE(
      next_save(run, std::numeric_limits<std::uint64_t>::max(), limits));
  CHECK(next_save(run, 20, limits));
}

TEST_CASE("finished items are listed, not saved, and a save has bounded size") {
  auto run = sample();
  for (auto& it : run.items)
    it.progress = {.last_event = 50, .output = std::string(100, 'x')};
  run.items[0].state = item_state::finished;
  auto save = next_save(run, 20, {.entries = 2});
  REQUIRE(save);
  REQUIRE(save->items.size() == 1);
  CHECK(save->items[0].number == 1);
  CHECK(has_item(run, item_state::finished));
  CHECK_FALSE(has_item(run, item_state::running));
}

TEST_CASE("items close to their deadline or late are urgent") {
  auto runs = job_runs();
  runs.emplace("j1", sample("j1", 0s));
  runs.emplace("j2", sample("j2", 10s));
  auto options = item_order_options{.only_urgent = true};
  // Due at 18 s; an item takes 4.9 s.
  CHECK_FALSE(next_item(runs, 0s, 9s, options));
  auto soon = next_item(runs, 0s, 9200ms, options);
  REQUIRE(soon);
  CHECK(soon->ref.job == "j1");
  auto late = next_item(runs, 0s, 17s, options);
  REQUIRE(late);
  CHECK(late->ref.job == "j1");
  CHECK_FALSE(late->in_time);
  // An item with output needs less time.
  runs.erase("j2");
  for (auto& it : runs.at("j1").items)
    it.progress.last_event = 100;
  CHECK_FALSE(next_item(runs, 0s, 9200ms, options));
}

TEST_CASE("a failed item waits until its failure is saved") {
  auto runs = job_runs();
  auto& run = runs.emplace("j1", sample()).first->second;
  run.items.resize(1);
  end_attempt(running(run, 0), attempt_end::failed, false, 6, 0s);
  CHECK_FALSE(next_item(runs, 5s, 5s));
  // Failures are saved regardless of the minimum number of events.
  auto save = next_save(run, std::numeric_limits<std::uint64_t>::max(), limits);
  REQUIRE(save);
  auto kept = decode_progress(save->transaction.writes.at(0).value);
  REQUIRE(kept.ok());
  CHECK(kept->failures == 1);
  mark_saved(run, *save);
  CHECK(next_item(runs, 5s, 5s));
  CHECK_FALSE(next_save(run, 20, limits));
}

TEST_CASE("a job that ends stops its items while a listing is in flight") {
  auto run = sample();
  run.listing = true;
  auto known = run.row;
  CHECK_FALSE(must_stop(run, known));
  known.version = run.row.version + 1;
  // The listing was committed; its response is outstanding.
  known.listed = {0};
  CHECK_FALSE(must_stop(run, known));

  SECTION("it was ended") {
    known.ended = true;
    CHECK(must_stop(run, known));
  }
  SECTION("another daemon owns it") {
    known.owner.name = "vm#2";
    CHECK(must_stop(run, known));
  }
  SECTION("an older row is ignored") {
    known.version = run.row.version - 1;
    known.ended = true;
    CHECK_FALSE(must_stop(run, known));
  }
}

TEST_CASE("an item that its version does not continue is stalled") {
  auto run = sample();
  auto& item = running(run, 0);
  end_attempt(item, attempt_end::broken, false, 3, 10s);
  CHECK_FALSE(is_stalled(item, 12999ms));
  CHECK(is_stalled(item, 13s));
  end_attempt(running(run, 0), attempt_end::preempted, false, 3, 12s);
  CHECK(is_stalled(item, 13s));
  end_attempt(running(run, 0), attempt_end::broken, true, 3, 13s);
  CHECK_FALSE(is_stalled(item, 20s));
}

TEST_CASE("an item that begins anew keeps its failures and is saved later") {
  auto run = sample();
  auto& item = run.items[1];
  item.progress = {.last_event = 50,
                   .output = "x",
                   .failures = 2,
                   .origin = {.service = "s", .version = "v1"}};
  item.saved_event = 40;
  item.saved_failures = 2;
  begin_anew(item);
  CHECK(item.progress.last_event == 0);
  CHECK(item.progress.output.empty());
  CHECK(item.progress.failures == 2);
  CHECK(item.progress.origin.service.empty());
  CHECK_FALSE(next_save(run, 20, limits));
  item.progress.last_event = 59;
  CHECK_FALSE(next_save(run, 20, limits));
  item.progress.last_event = 60;
  CHECK(next_save(run, 20, limits));
}

TEST_CASE("outputs of waiting items are limited in all") {
  auto runs = job_runs();
  auto& run = runs.emplace("j1", large_job(20)).first->second;
  auto sum = [&] {
    auto out = std::size_t{0};
    for (const auto& it : run.items)
      out += it.progress.output.size();
    return out;
  };
  for (auto n = std::size_t{0}; n < run.items.size(); ++n)
    run.items[n].progress = {.last_event = 1,
                             .output = std::string(60'000 + n, 'x')};
  run.items[0].state = item_state::running;
  run.items[1].state = item_state::finished;
  constexpr std::size_t most = 500'000;
  auto dropped = trim_outputs(runs, most);
  CHECK(dropped.size() == 12);
  CHECK(dropped.front() == "19");
  CHECK(sum() <= most);
  CHECK(run.items[0].progress.last_event == 1);
  CHECK(run.items[1].progress.last_event == 1);
  CHECK(trim_outputs(runs, most).empty());
  // Short outputs stay, however many there are.
  for (auto& it : run.items)
    it.progress = {.last_event = 1, .output = std::string(40'000, 'x')};
  CHECK(trim_outputs(runs, most).empty());
}

// A store may take rows that are longer than a call with one of them may be.
TEST_CASE("a result fits into a call, however long a row may be") {
  constexpr auto wide = store_limits{.row_bytes = 4'000'000};
  auto run = sample();
  for (auto it : {0, 1}) {
    auto& item = running(run, static_cast<std::size_t>(it));
    item.progress = {.last_event = 9, .output = std::string(899'999, 'x')};
    end_attempt(item, attempt_end::complete, true, 1, 0s);
  }
  list_all(run, wide);
  CHECK(run.row.listed.size() == 2);
  auto& last = running(run, 2);
  last.progress = {.last_event = 90, .output = std::string(899'999, 'x')};
  ++last.progress.failures;
  CHECK(next_save(run, 20, wide));
}

namespace {

/// Runs an item at sound targets that take some time to read its prompt, under
/// the limits on silence.
/// \return the runs until one was long enough; 0 if none of 20 was.
int runs_until_begun(instant reading_time) {
  auto run = sample();
  auto now = instant();
  constexpr auto max_runs = 20;
  for (auto n = 1; n <= max_runs; ++n) {
    auto& item = running(run, 0);
    auto cuts = item.cut_count;
    auto use = slot_use{.kind = work_kind::batch, .cut_count = cuts};
    auto silent = extended_limit(min_silence_timeout, cuts) <= reading_time;
    auto withdrawn =
        !plan_preemptions(std::vector{use}, reading_time).withdrawn.empty();
    auto stalled = is_stalled(instant(), reading_time, cuts);
    if (!silent && !withdrawn && !stalled) return n;
    auto end = withdrawn ? attempt_end::queued
               : silent  ? attempt_end::silent
                         : attempt_end::stalled;
    end_attempt(item, end, false, 6, now);
    now = item.not_before;
  }
  return 0;
}

}  // namespace

// An item used to get 0.7 s at most however often it was cut off: a prompt that
// takes a target longer to read was never run.
TEST_CASE("an item is run however long its prompt takes to read") {
  CHECK(runs_until_begun(35ms) == 1);
  CHECK(runs_until_begun(350ms) == 2);
  CHECK(runs_until_begun(2100ms) == 4);
  CHECK(runs_until_begun(20s) == 8);
  CHECK(runs_until_begun(60s) == 9);
}

TEST_CASE("runs that are cut off for silence extend the next one") {
  auto run = sample();
  auto& item = running(run, 0);
  auto end = GENERATE(attempt_end::silent, attempt_end::stalled);
  end_attempt(item, end, false, 6, 0s);
  CHECK(item.cut_count == 1);
  end_attempt(running(run, 0), end, false, 6, 0s);
  CHECK(item.cut_count == 2);
  end_attempt(running(run, 0), attempt_end::broken, true, 6, 0s);
  CHECK(item.cut_count == 0);
}
