#include "fulmarpitch/serving/jobs.h"

#include <catch2/catch.hpp>

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

job_row sample() {
  return {.id = "j1",
          .host = "a.example",
          .route = "r",
          .items = 3,
          .waiting_tokens = 300,
          .accepted = 5s,
          .owner = {.name = "vm#7", .data_centre = "dc"},
          .listed = {2},
          .version = 9};
}

stored_row stored(const job_row& it) {
  return {
      .name = job_row_name(it), .value = encode_job(it), .version = it.version};
}

}  // namespace

TEST_CASE("a job's row reads back as it was written") {
  auto it = decode_job(stored(sample()));
  REQUIRE(it.ok());
  CHECK(it->id == "j1");
  CHECK(it->host == "a.example");
  CHECK(it->route == "r");
  CHECK(it->waiting_tokens == 300);
  CHECK(it->accepted == 5s);
  CHECK(it->owner == sample().owner);
  CHECK(it->listed == std::vector<std::uint32_t>{2});
  CHECK(it->version == 9);
  CHECK(it->open());
}

TEST_CASE("a malformed row is rejected") {
  auto text = GENERATE("", "[]", "{}", R"({"route":"r","items":2})",
                       R"({"route":"r","items":2,"listed":[2]})",
                       R"({"route":"r","items":2,"listed":["x"]})");
  CHECK_FALSE(decode_job({.name = {.key = "j"}, .value = text}).ok());
}

TEST_CASE("an older row never replaces a newer one") {
  auto book = job_book();
  auto newer = sample();
  newer.ended = true;
  newer.version = 12;
  CHECK(take_job_row(book, stored(newer)) == "j1");
  take_job_row(book, stored(sample()));
  REQUIRE(find_job(book, "j1") != nullptr);
  CHECK(find_job(book, "j1")->ended);
}

TEST_CASE("tokens of accepted jobs that are not in the book yet count") {
  auto book = job_book();
  take_job_row(book, stored(sample()));
  auto scope = quota_scope{.host = "a.example", .route = "r"};
  auto quota_counter = quota_counter_row_name(scope);
  take_job_row(book, {.name = quota_counter,
                      .value = encode_quota_counter(300),
                      .version = 9});
  auto judge = [&](std::uint64_t accepted, std::uint64_t tokens) {
    return judge_submission(book, "j2", scope, 1000, accepted, tokens);
  };
  CHECK(judge(300, 700) == submission_verdict::fits);
  CHECK(judge(300, 701) == submission_verdict::over_limit);
  CHECK(judge(500, 500) == submission_verdict::fits);
  CHECK(judge(500, 501) == submission_verdict::over_limit);
  CHECK(judge_submission(book, "j1", scope, 1, 300, 9) ==
        submission_verdict::known);
  CHECK(judge_submission(book, "j2", scope, 0, 300, 9999) ==
        submission_verdict::fits);
}

TEST_CASE("a limit counts the jobs of one team") {
  auto book = job_book();
  auto add = [&](const char* id, const char* team, std::uint64_t tokens) {
    auto job = sample();
    job.id = id;
    job.team = team;
    job.waiting_tokens = tokens;
    take_job_row(book, stored(job));
  };
  add("j1", "north", 300);
  add("j2", "south", 50);
  add("j3", "", 7);
  auto scope = [](std::optional<std::string> team) {
    return quota_scope{
        .host = "a.example", .route = "r", .team = std::move(team)};
  };
  CHECK(waiting_tokens(book, scope("north")) == 300);
  CHECK(waiting_tokens(book, scope("south")) == 50);
  CHECK(waiting_tokens(book, scope("")) == 7);
  CHECK(waiting_tokens(book, scope(std::nullopt)) == 357);
  auto judge = [&](const char* team) {
    return judge_submission(book, "j4", scope(team), 400, 0, 350);
  };
  CHECK(judge("north") == submission_verdict::over_limit);
  CHECK(judge("south") == submission_verdict::fits);
}

TEST_CASE("the quota counters of teams are kept apart") {
  auto row = [](const char* route, std::optional<std::string> team) {
    return quota_counter_row_name(
        {.host = "a.example", .route = route, .team = std::move(team)});
  };
  CHECK(row("r", std::nullopt).key == "gate/r");
  CHECK(row("r", "") == row("r", std::nullopt));
  CHECK_FALSE(row("r", "a:b") == row("r:a", "b"));
  CHECK_FALSE(row("r", "north") == row("r/north", std::nullopt));

  auto book = job_book();
  auto scope = quota_scope{.host = "a.example", .route = "r", .team = "n/s"};
  CHECK_FALSE(take_job_row(book, {.name = quota_counter_row_name(scope),
                                  .value = encode_quota_counter(70),
                                  .version = 9}));
  CHECK(book.jobs.empty());
  REQUIRE(book.quota_counters.contains(quota_counter_key(scope)));
  CHECK(book.quota_counters[quota_counter_key(scope)].accepted_tokens == 70);
  scope.team = "n";
  CHECK_FALSE(book.quota_counters.contains(quota_counter_key(scope)));
}

TEST_CASE("an acceptance near the limit orders the jobs of its team") {
  auto job = sample();
  job.team = "north";
  auto it = acceptance(job, job_book::quota_counter(), 300, "body", 10);
  CHECK(it.writes[1].name ==
        quota_counter_row_name(
            {.host = job.host, .route = job.route, .team = "north"}));
  CHECK(decode_job({.name = it.writes[0].name, .value = it.writes[0].value})
            ->team == "north");
}

TEST_CASE("a row without a team is written as before") {
  CHECK(encode_job(sample()).find("team") == std::string::npos);
}

TEST_CASE("ended jobs have no waiting tokens") {
  auto book = job_book();
  auto ended = sample();
  ended.ended = true;
  take_job_row(book, stored(ended));
  CHECK(waiting_tokens(book, {.host = "a.example", .route = "r"}) == 0);
}

TEST_CASE("an acceptance requires a new job and an unchanged quota counter") {
  auto job = sample();
  auto it = acceptance(
      job, job_book::quota_counter{.accepted_tokens = 50, .version = 4}, 300,
      std::string(25, 'x'), 10);
  REQUIRE(it.expected.size() == 2);
  CHECK(it.expected[0].name == job_row_name(job));
  CHECK(it.expected[0].version == 0);
  CHECK(it.expected[1].version == 4);
  REQUIRE(it.writes.size() == 5);
  CHECK(it.writes[1].value == "350");
  CHECK(it.writes[2].value.size() + it.writes[3].value.size() +
            it.writes[4].value.size() ==
        25);
  for (const auto& row : it.writes)
    CHECK(row.name.part == job.host);
}

TEST_CASE("only expired jobs are removed, in transactions of bounded size") {
  auto job = sample();
  CHECK_FALSE(is_expired(job, 1000s, 120s));
  job.ended = true;
  CHECK_FALSE(is_expired(job, 5s + 120s, 120s));
  CHECK(is_expired(job, 5s + 151s, 120s));
  auto few = removal(job, {result_row_name(job, 0)});
  CHECK(few.removals.size() == 2);
  CHECK(few.removals.back() == job_row_name(job));
  CHECK(few.expected.front().version == job.version);
  auto many = removal(job, std::vector<row_name>(300, result_row_name(job, 1)));
  CHECK(many.removals.size() + many.expected.size() < 100);
  CHECK_FALSE(many.removals.back() == job_row_name(job));
  // A page of long rows ends early; the job's own row goes with the last.
  auto page = removal(job, {result_row_name(job, 0)}, false);
  CHECK(page.removals.size() == 1);
}

TEST_CASE("a result names the pieces of a long output") {
  auto it = decode_result(encode_result(
      {.id = "i1", .end = item_end::done, .pieces = 3, .item = 17}));
  REQUIRE(it.ok());
  CHECK(it->pieces == 3);
  CHECK(it->item == 17);
  CHECK(it->output.empty());
  const auto* malformed = GENERATE("done 3\ni1\n", "done 3 x\ni1\n",
                                   "done -1 2\ni1\n", "done 1 2 3\ni1\n");
  CHECK_FALSE(decode_result(malformed).ok());
  auto range = output_rows_of(sample(), 17);
  auto row = output_row_name(sample(), 17, 2);
  CHECK(row.key >= range.from);
  CHECK(row.key < range.to);
  CHECK(output_row_name(sample(), 18, 0).key >= range.to);
}

TEST_CASE(
    "results and progress decode as encoded; malformed text is rejected") {
  auto result = decode_result(
      encode_result({.id = "i1", .end = item_end::done, .output = "a\nb"}));
  REQUIRE(result.ok());
  CHECK(result->id == "i1");
  CHECK(result->output == "a\nb");
  CHECK_FALSE(decode_result("done").ok());
  CHECK_FALSE(decode_result("maybe\ni\nx").ok());
  auto progress = decode_progress(
      encode_progress({.last_event = 7, .output = "x\ny", .failures = 2}));
  REQUIRE(progress.ok());
  CHECK(progress->last_event == 7);
  CHECK(progress->failures == 2);
  CHECK(progress->output == "x\ny");
  CHECK_FALSE(decode_progress("x\ny").ok());
}

TEST_CASE("progress keeps the version that produced it") {
  auto origin = stream_origin{.service = "s 1", .version = "v/1 \n%"};
  auto it = decode_progress(
      encode_progress({.last_event = 1, .output = "x", .origin = origin}));
  REQUIRE(it.ok());
  CHECK(it->origin == origin);
  auto earlier = decode_progress("7 2\nx");
  REQUIRE(earlier.ok());
  CHECK(earlier->last_event == 7);
  CHECK(earlier->origin == stream_origin());
  CHECK_FALSE(decode_progress("7 2 s\nx").ok());
  CHECK_FALSE(decode_progress("7 2 % v\nx").ok());
}

// One submission may drop its object while another of the job is accepted.
TEST_CASE("submissions of a job have objects of their own") {
  CHECK(body_object_name("j1", 7, 1) != body_object_name("j1", 7, 2));
  CHECK(body_object_name("j1", 7, 1) != body_object_name("j1", 8, 1));
}
