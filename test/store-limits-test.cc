// Calls beyond the limits of the platform's store: the stand-in refuses them,
// and no daemon makes them.

#include <catch2/catch.hpp>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/net/link-pool.h"
#include "fulmarpitch/serving/begun-streams.h"
#include "job-calls.h"
#include "platform/store-client.h"

using namespace fulmar;
using namespace fulmar::serving;
using namespace fulmar::serving_test;

namespace {

/// A store client without limits of its own.
struct store_caller {
  event_loop loop;
  platform_store_fake fake;
  link_pool links{io_of(loop), {}};
  platform::store_call_counts counts;
  row_store store;

  explicit store_caller(platform_store_limits limits = {})
      : fake(loop, "127.0.0.1", limits) {
    REQUIRE(fake.start().ok());
    constexpr auto unlimited = store_limits{.entries = 1'000'000,
                                            .call_bytes = 1'000'000'000,
                                            .row_bytes = 1'000'000'000,
                                            .name_bytes = 1'000'000,
                                            .object_bytes = 1'000'000'000};
    store = platform::connect_store(
        links, {.address = fake.address(), .limits = unlimited}, counts);
  }

  template <typename T>
  T wait_for(task<T> work) {
    auto out = std::optional<T>();
    asio::co_spawn(io_of(loop), std::move(work),
                   [&](const std::exception_ptr& fault, T result) {
                     if (!fault) out = std::move(result);
                     loop.stop();
                   });
    loop.run();
    return std::move(*out);
  }
};

written_row row(const std::string& key, std::size_t bytes = 1,
                const std::string& part = "p") {
  return {.name = {.table = "t", .part = part, .key = key},
          .value = std::string(bytes, 'x')};
}

row_transaction rows(std::size_t count, std::size_t bytes = 1) {
  auto out = row_transaction();
  for (auto n = std::size_t{0}; n < count; ++n)
    out.writes.push_back(row(std::to_string(n), bytes));
  return out;
}

}  // namespace

TEST_CASE("the store's stand-in and the check refuse the same transactions") {
  struct limit_case {
    const char* name;
    row_transaction change;
    bool fits;
  };
  auto mixed = rows(98);
  mixed.expected.push_back({.name = row("x").name});
  mixed.removals.push_back(row("y").name);
  auto too_many = mixed;
  too_many.removals.push_back(row("z").name);
  auto long_key = row_transaction{.writes = {row(std::string(201, 'k'))}};
  auto it = GENERATE_COPY(values<limit_case>(
      {{"100 entries", mixed, true},
       {"101 entries", too_many, false},
       {"720 KB of values", rows(15, 48'000), true},
       {"768 KB of values", rows(16, 48'000), false},
       {"a key of 201 bytes", long_key, false},
       {"a key of 200 bytes", {.writes = {row(std::string(200, 'k'))}}, true},
       {"a value of 48 KB", rows(1, 49'152), true},
       {"a value of 70 KB", rows(1, 70'000), false}}));
  CAPTURE(it.name);
  CHECK(check_limits(it.change, {}).ok() == it.fits);
  auto at = store_caller();
  auto result = at.wait_for(at.store.commit(it.change));
  CHECK(result.ok() == it.fits);
  CHECK(at.fake.refused_calls() == (it.fits ? 0 : 1));
  if (!it.fits) CHECK(is_refusal(result.status()));
}

TEST_CASE("a transaction covers one part") {
  auto two_parts = rows(1);
  two_parts.writes.push_back(row("x", 1, "q"));
  CHECK(code_of(check_limits(two_parts, {})) == error_code::bad_request);
  auto at = store_caller();
  auto answer = absl::StatusOr<http_response>(absl::UnknownError("no answer"));
  fetch(at.loop,
        {.address = at.fake.address(),
         .request = {.method = "POST",
                     .target = "/v1/rows-tx",
                     .body = R"({"precondition":[],"remove":[],"setKeys":[
                       {"table":"t","part":"p","key":"a","value":""},
                       {"table":"t","part":"q","key":"b","value":""}]})"}},
        [&](auto result) {
          answer = std::move(result);
          at.loop.stop();
        });
  at.loop.run();
  REQUIRE(answer.ok());
  CHECK(answer->status == 400);
  CHECK(at.fake.refused_calls() == 1);
}

TEST_CASE("a client makes no call that the store would refuse") {
  auto at = store_caller();
  auto client = platform::connect_store(
      at.links, {.address = at.fake.address()}, at.counts);
  auto result = at.wait_for(client.commit(rows(101)));
  REQUIRE_FALSE(result.ok());
  CHECK(code_of(result.status()) == error_code::too_large);
  auto object = std::string(store_limits().object_bytes + 1, 'x');
  CHECK(code_of(at.wait_for(client.put_object("o", object))) ==
        error_code::too_large);
  CHECK(at.fake.calls() == 0);
}

TEST_CASE("a read ends at 1 MB, and objects are limited in size and in all") {
  auto at = store_caller({.object_bytes = 1000, .all_object_bytes = 1500});
  for (auto n = 0; n < 2; ++n) {
    auto change = row_transaction();
    for (auto it = 0; it < 15; ++it)
      change.writes.push_back(row(std::to_string(15 * n + it), 48'000));
    REQUIRE(at.wait_for(at.store.commit(change)).ok());
  }
  auto page = at.wait_for(at.store.read({.table = "t", .part = "p"}));
  REQUIRE(page.ok());
  CHECK(page->truncated);
  CHECK(page->rows.size() < 16);
  CHECK_FALSE(page->rows.empty());
  CHECK_FALSE(
      at.wait_for(at.store.put_object("a", std::string(1001, 'x'))).ok());
  CHECK(at.wait_for(at.store.put_object("a", std::string(1000, 'x'))).ok());
  CHECK_FALSE(
      at.wait_for(at.store.put_object("b", std::string(501, 'x'))).ok());
  CHECK(at.wait_for(at.store.drop_object("a")).ok());
  CHECK(at.wait_for(at.store.drop_object("a")).ok());
  CHECK(at.wait_for(at.store.put_object("b", std::string(501, 'x'))).ok());
}

TEST_CASE("calls beyond the store's rates are refused") {
  auto at = store_caller({.writes_per_second = 1});
  auto refused = 0;
  for (auto n = 0; n < 5; ++n) {
    if (!at.wait_for(at.store.commit(rows(1))).ok()) ++refused;
  }
  CHECK(refused >= 3);
}

// A job of up to 200 items may end at once after an outage.
TEST_CASE("all results that finish while the store is away are listed") {
  constexpr std::size_t items = 150;
  auto& it = make_fixture();
  for (auto n = 0; n < 20; ++n)
    it.add_target(whole);
  it.start();
  REQUIRE(it.post("/jobs/1", "j1", job_body(1, "prompt", items))->status ==
          202);
  it.store.set_fault(store_fault::down);
  auto finished = [&] {
    auto n = std::size_t{0};
    for (const auto& target : it.targets)
      n += target.heads.size();
    return n >= items;
  };
  it.until(finished);
  REQUIRE(finished());
  it.store.set_fault(store_fault::none);
  it.until([&] { return all_results(it, "j1").size() == items; });
  CHECK(all_results(it, "j1").size() == items);
  CHECK(it.store.refused_calls() == 0);
}

// The same transaction is built when maxWaitS passes for a whole job.
TEST_CASE("all items that can never be done are listed as dead") {
  constexpr std::size_t items = 200;
  auto& it = make_fixture();
  auto reject = [](const std::string& head) {
    return scripted_answer{
        .bytes =
            concat("HTTP/1.1 422 No\r\nFulmarpitch-Attempt-Id: ", id_of(head),
                   "\r\nFulmarpitch-Server-Stamp: s\r\n"
                   "Content-Length: 0\r\n\r\n")};
  };
  for (auto n = 0; n < 20; ++n)
    it.add_target(reject);
  it.start();
  REQUIRE(it.post("/jobs/1", "j1", job_body(1, "prompt", items))->status ==
          202);
  it.store.set_fault(store_fault::busy);
  it.run_for(2500ms);
  it.store.set_fault(store_fault::none);
  it.until([&] { return all_results(it, "j1").size() == items; });
  CHECK(all_results(it, "j1").size() == items);
  CHECK(it.store.refused_calls() == 0);
}

namespace {

/// \return an answer whose events hold a text of `bytes` in all.
scripted_answer long_answer(const std::string& head, std::size_t bytes) {
  auto out = stream_head(id_of(head));
  for (auto n = first_event(head); n <= last_event; ++n) {
    auto data = std::string(bytes / last_event, static_cast<char>('a' + n));
    out += chunk(concat("id: ", n, "\ndata: ", data, "\n\n"));
  }
  return {.bytes = out + "0\r\n\r\n"};
}

}  // namespace

TEST_CASE("an output that is longer than a row is listed whole") {
  constexpr std::size_t bytes = 200'000;
  auto& it = make_fixture();
  it.add_target([](const std::string& head) {
    return id_of(head) == "i2" ? long_answer(head, bytes) : whole(head);
  });
  it.start();
  REQUIRE(it.post("/jobs/1", "j1", job_body(1, "prompt", 3))->status == 202);
  it.until([&] { return all_results(it, "j1").size() == 3; });
  auto results = all_results(it, "j1");
  REQUIRE(results.size() == 3);
  for (const auto& row : results) {
    CHECK(row.at("state") == "done");
    auto size = row.at("output").as_string().size();
    if (row.at("id") == "i2") {
      CHECK(size == bytes + last_event - 1);
    } else {
      CHECK(row.at("output") == "d1\nd2\nd3\nd4");
    }
  }
  CHECK(it.store.refused_calls() == 0);
}

TEST_CASE("a job that the store can never keep is refused at once") {
  auto& it = make_fixture();
  it.add_target(whole);
  it.start();
  auto id = std::string(190, 'j');
  CHECK(it.post("/jobs/1", id, job_body(1))->status == 400);
  CHECK(it.store.refused_calls() == 0);
}

TEST_CASE("a job whose results could not be kept is refused at once") {
  auto& it = make_fixture();
  it.add_target(whole);
  it.start();
  auto body = boost::json::serialize(boost::json::object{
      {"requests",
       boost::json::array{boost::json::object{{"id", std::string(60'000, 'i')},
                                              {"path", "/jobs/1"},
                                              {"body", ""},
                                              {"tokens", 1}}}}});
  CHECK(it.post("/jobs/1", "j1", body)->status == 400);
  CHECK(it.store.refused_calls() == 0);
}

TEST_CASE("a large job that is submitted twice at once keeps its body") {
  auto& it = make_fixture();
  it.add_target(whole);
  it.start();
  auto prompt = std::string(400'000, 'p');
  auto statuses = std::vector<int>();
  for (auto n = 0; n < 2; ++n) {
    fetch(it.loop,
          {.address = it.client_address,
           .request = {.method = "POST",
                       .target = "/jobs/1",
                       .headers = {{"Host", "h"},
                                   {"Fulmarpitch-Attempt-Id", "j1"}},
                       .body = job_body(100, prompt)}},
          [&](auto answer) {
            statuses.push_back(answer.ok() ? answer->status : 0);
          });
  }
  it.until([&] { return statuses.size() == 2; });
  CHECK(statuses == std::vector{202, 202});
  it.until([&] { return it.store.objects() == 1; });
  CHECK(it.store.objects() == 1);
  it.until([&] { return all_results(it, "j1").size() == 2; });
  CHECK(it.get("/v1/items/j1?id=i1")->body == prompt);
}

TEST_CASE("the body of a job that is refused leaves no object") {
  auto& it = make_fixture();
  it.add_target(whole);
  it.start();
  auto prompt = std::string(400'000, 'p');
  CHECK(it.post("/jobs/1", "j1", job_body(900, prompt))->status == 429);
  it.until([&] { return it.store.objects() == 0; });
  CHECK(it.store.objects() == 0);
}

// One row that the store refuses must not keep back those of other requests.
TEST_CASE("a stream whose id is too long for a key holds up no other") {
  auto& it = make_fixture();
  it.add_target(whole, "v1");
  it.add_target(whole, "v2");
  it.start();
  REQUIRE(it.post("/again/1", std::string(300, 'a'))->status == 200);
  REQUIRE(it.post("/again/2", "a2")->status == 200);
  auto recorded = [&] {
    return !it.store.value(begun_table, version_part, "a2").empty();
  };
  it.until(recorded);
  CHECK(recorded());
  CHECK(it.store.refused_calls() == 0);
}
