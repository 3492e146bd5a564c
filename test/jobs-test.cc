#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/state/chunk-lease.h"
#include "store-bench.h"

namespace {

using namespace fulmar;
using namespace std::chrono_literals;

file_info upload_items(store_bench& it, std::uint64_t items) {
  auto upload = file_upload(
      it.stores, {.file_id = "f-1", .caller = "depot", .chunk_items = 2});
  for (std::uint64_t n = 0; n < items; ++n) {
    const auto line = concat(R"({"custom_id":"i)", n, R"(","body":{}})", '\n');
    REQUIRE(upload.feed(line).ok());
  }
  auto file = absl::StatusOr<file_info>();
  upload.finish(it.now, [&file](auto done) { file = std::move(done); });
  it.run(30s, upload);
  return file.value();
}

absl::StatusOr<job_created> create(store_bench& it, job_request request) {
  static auto calls = 0;
  request.transaction_id = concat("create-", calls++);
  return it.wait_for<job_created>(
      [&](auto done) { create_job(it.stores, request, done); });
}

job_info find(store_bench& it, const job_info& job) {
  return *it.wait_for<job_info>([&](auto done) {
    find_job(it.stores, job.caller, job.id, std::move(done));
  });
}

job_info cancel(store_bench& it, const job_info& job) {
  return *it.wait_for<job_info>([&](auto done) {
    cancel_job(it.stores, job.caller, job.id, "cancel", std::move(done));
  });
}

std::optional<chunk_candidate> search(store_bench& it, chunk_finder& finder) {
  return *it.wait_for<std::optional<chunk_candidate>>([&](auto done) {
    finder.next_chunk(
        it.now, [](const auto&) { return true; }, done);
  });
}

std::vector<item_result> run_items(const chunk_holder& holder) {
  auto out = std::vector<item_result>();
  for (const auto& item : *holder.items()) {
    out.push_back({.custom_id = item.custom_id,
                   .succeeded = item.custom_id != "i1",
                   .line = concat("by ", holder.candidate().chunk.fence, ' ',
                                  item.custom_id)});
  }
  return out;
}

std::string content(store_bench& it, const job_info& job, content_kind kind) {
  auto out = std::string();
  auto reader = job_content(it.stores, job, kind);
  while (true) {
    const auto part = it.wait_for<std::optional<std::string>>(
        [&](auto done) { reader.next(std::move(done)); });
    if (!part.value()) return out;
    out += **part;
  }
}

chunk_options options_of(const std::string& name) {
  return {.holder = name};
}

/// Takes chunks and commits them until there is no work.
void work_off(store_bench& it, const std::string& name) {
  auto finder = chunk_finder(it.stores, options_of(name));
  while (const auto found = search(it, finder)) {
    auto holder = chunk_holder(it.stores, options_of(name), *found, it.now);
    it.run(1s, holder);
    holder.finish(run_items(holder));
    it.run(1s, holder);
    REQUIRE(holder.current() == lease_state::committed);
  }
}

TEST_CASE("a job sent again is the same job") {
  auto it = store_bench();
  const auto file = upload_items(it, 5);
  const auto first = create(it, {.file = file, .due = 1h});
  REQUIRE(first.ok());
  CHECK_FALSE(first->existed);
  const auto again = create(it, {.file = file, .due = 2h});
  CHECK(again->existed);
  CHECK(again->job.id == first->job.id);
  CHECK(again->job.due == instant(1h));
  const auto keyed = create(it, {.file = file, .key = "k"});
  CHECK_FALSE(keyed->existed);
  CHECK(create(it, {.file = file, .key = "k"})->job.id == keyed->job.id);
  auto other = file;
  other.content_hash = "other";
  CHECK(code_of(create(it, {.file = other, .key = "k"}).status()) ==
        error_code::key_reused);
  other.caller = "another";
  CHECK_FALSE(create(it, {.file = other, .key = "k"})->existed);
  const auto listed = it.wait_for<std::vector<job_info>>(
      [&](auto done) { list_jobs(it.stores, "depot", "", 10, done); });
  CHECK(listed->size() == 2);
}

TEST_CASE("a job is acknowledged only when its row is there") {
  auto it = store_bench();
  const auto file = upload_items(it, 5);
  it.memory->plan.lose_reply_per_mille = 1000;
  const auto lost = create(it, {.file = file});
  CHECK(code_of(lost.status()) == error_code::store_unavailable);
  it.memory->plan = {};
  CHECK(create(it, {.file = file})->existed);
}

TEST_CASE("output and errors hold each item once") {
  auto it = store_bench();
  const auto job = create(it, {.file = upload_items(it, 5)})->job;
  work_off(it, "a");
  const auto found = find(it, job);
  CHECK(found.state == job_state::completed);
  CHECK(content(it, found, content_kind::output) ==
        "by 1 i0\nby 1 i2\nby 1 i3\nby 1 i4\n");
  CHECK(content(it, found, content_kind::errors) == "by 1 i1\n");
  const auto progress = it.wait_for<job_progress>(
      [&](auto done) { find_progress(it.stores, found, done); });
  CHECK(progress->completed == 4);
  CHECK(progress->failed == 1);
  CHECK(progress->final_chunks == 3);
  const auto early = it.wait_for<std::optional<std::string>>([&](auto done) {
    job_content(it.stores, job, content_kind::output).next(std::move(done));
  });
  CHECK(code_of(early.status()) == error_code::conflict);
}

TEST_CASE("a holder paused past its lease cannot commit") {
  auto it = store_bench();
  const auto job = create(it, {.file = upload_items(it, 2)})->job;
  auto finder = chunk_finder(it.stores, options_of("b"));
  const auto found = search(it, finder);
  auto paused = chunk_holder(it.stores, options_of("a"), *found, it.now);
  it.run(1s, paused);
  CHECK(paused.may_start(it.now));
  CHECK_FALSE(search(it, finder));
  it.run(61s);
  CHECK_FALSE(paused.may_start(it.now));
  work_off(it, "b");
  paused.finish(run_items(paused));
  it.run(5s, paused);
  CHECK(paused.current() == lease_state::lost);
  CHECK(content(it, find(it, job), content_kind::output) == "by 2 i0\n");
}

TEST_CASE("a lost holder's chunk is leased at once, and its commit fenced") {
  auto it = store_bench();
  const auto job = create(it, {.file = upload_items(it, 2)})->job;
  auto options = options_of("b");
  options.is_lost = [](const std::string& holder) { return holder == "a"; };
  auto finder = chunk_finder(it.stores, options);
  auto lost =
      chunk_holder(it.stores, options_of("a"), *search(it, finder), it.now);
  it.run(1s, lost);
  const auto found = search(it, finder);
  REQUIRE(found);
  auto next = chunk_holder(it.stores, options, *found, it.now);
  it.run(1s, next);
  REQUIRE(next.current() == lease_state::held);
  lost.finish(run_items(lost));
  it.run(5s, lost);
  CHECK(lost.current() == lease_state::lost);
  next.finish(run_items(next));
  it.run(1s, next);
  CHECK(next.current() == lease_state::committed);
  CHECK_FALSE(search(it, finder));
  CHECK(content(it, find(it, job), content_kind::output) == "by 2 i0\n");
}

TEST_CASE("a lease is renewed, handed back and taken over") {
  auto it = store_bench();
  create(it, {.file = upload_items(it, 2)}).value();
  auto finder = chunk_finder(it.stores, options_of("b"));
  auto holder =
      chunk_holder(it.stores, options_of("a"), *search(it, finder), it.now);
  it.run(150s, holder);
  CHECK(holder.may_start(it.now));
  CHECK_FALSE(search(it, finder));
  holder.hand_back();
  CHECK_FALSE(holder.may_start(it.now));
  it.run(1s, holder);
  CHECK(holder.current() == lease_state::returned);
  CHECK(search(it, finder)->chunk.fence == 1);
}

TEST_CASE("nothing of a cancelled job starts") {
  auto it = store_bench();
  const auto job = create(it, {.file = upload_items(it, 90)})->job;
  auto finder = chunk_finder(it.stores, options_of("b"));
  const auto late = search(it, finder);
  auto held =
      chunk_holder(it.stores, options_of("a"), *search(it, finder), it.now);
  it.run(1s, held);
  CHECK(cancel(it, job).state == job_state::cancelling);
  it.run(3s, held);
  CHECK(held.cancelled());
  CHECK_FALSE(held.may_start(it.now));
  auto refused = chunk_holder(it.stores, options_of("b"), *late, it.now);
  it.run(1s, refused);
  CHECK(refused.current() == lease_state::lost);
  CHECK_FALSE(search(it, finder));
  CHECK(find(it, job).state == job_state::cancelling);
  held.finish(run_items(held));
  it.run(1s, held);
  CHECK_FALSE(search(it, finder));
  const auto found = find(it, job);
  CHECK(found.state == job_state::cancelled);
  const auto errors = content(it, found, content_kind::errors);
  const auto output = content(it, found, content_kind::output);
  const auto lines = [](const std::string& text) {
    return std::count(text.begin(), text.end(), '\n');
  };
  CHECK(lines(errors) + lines(output) == 90);
  CHECK(lines(errors) >= 88);
}

TEST_CASE("results that do not match the items are refused") {
  auto it = store_bench();
  create(it, {.file = upload_items(it, 2)}).value();
  auto finder = chunk_finder(it.stores, options_of("a"));
  auto holder =
      chunk_holder(it.stores, options_of("a"), *search(it, finder), it.now);
  it.run(1s, holder);
  const auto whole = run_items(holder);
  const auto cases = std::vector<std::vector<item_result>>{
      {},
      {whole[0]},
      {whole[0], whole[0]},
      {whole[0], whole[1], whole[1]},
      {whole[0], {.custom_id = "other"}},
  };
  for (const auto& c : cases)
    CHECK_THROWS_AS(holder.finish(c), invariant_broken);
}

TEST_CASE("jobs are worked on in order of due time") {
  auto it = store_bench();
  const auto file = upload_items(it, 2);
  create(it, {.file = file, .key = "late", .due = 3h}).value();
  const auto soon = create(it, {.file = file, .key = "soon", .due = 1h});
  auto finder = chunk_finder(it.stores, options_of("a"));
  CHECK(search(it, finder)->job.id == soon->job.id);
}

TEST_CASE("a search reaches jobs behind many that have no free chunk") {
  auto it = store_bench();
  const auto file = upload_items(it, 2);
  auto holders = std::vector<chunk_holder>();
  auto finder = chunk_finder(it.stores, options_of("a"));
  constexpr auto jobs = 70;
  for (auto n = 0; n < jobs; ++n) {
    const auto due = instant(1h) * (n + 1);
    create(it, {.file = file, .key = concat(n), .due = due}).value();
  }
  for (auto n = 0; n < jobs; ++n) {
    auto found = search(it, finder);
    for (auto page = 0; page < 3 && !found; ++page)
      found = search(it, finder);
    REQUIRE(found);
    CHECK(found->job.due == instant(1h) * (n + 1));
    holders.emplace_back(
        it.stores, chunk_options{.holder = concat(n), .lease_length = 10h},
        *found, it.now);
    it.run(100ms, holders.back());
  }
  for (auto page = 0; page < 3; ++page)
    CHECK_FALSE(search(it, finder));
}

}  // namespace
