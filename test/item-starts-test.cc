#include "fulmarpitch/serving/item-starts.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fulmarpitch/core/text.h"

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

constexpr auto due_after = instant(18s);
constexpr auto unlimited = 1000;

/// Jobs whose routes lead to one service each, and the room of the services.
struct start_fixture {
  job_runs runs;
  /// Free slots by service, in this data centre and in all.
  std::map<std::string, int, std::less<>> room;
  std::map<std::string, int, std::less<>> room_anywhere;
  std::vector<std::string> started;
  std::vector<std::string> started_away;
  int tries = 0;

  /// The route of a job has the name of its service.
  void add_job(const std::string& id, const std::string& service,
               instant accepted, std::uint32_t count) {
    auto row = job_row{.id = id,
                       .host = "h",
                       .route = service,
                       .items = count,
                       .accepted = accepted,
                       .owner = {.name = "vm#1"},
                       .version = 4};
    auto items = std::vector<submitted_item>();
    for (auto n = std::uint32_t{0}; n < count; ++n)
      items.push_back({.id = id + std::to_string(n), .path = "/p"});
    auto run = start_run(std::move(row), std::move(items));
    run.due_after = due_after;
    runs.emplace(id, std::move(run));
  }

  item_start start(const item_ref& ref, item_reach reach) {
    ++tries;
    auto& run = runs.at(ref.job);
    auto& item = run.items[ref.item];
    auto away = reach == item_reach::anywhere;
    auto& left = away ? room_anywhere[run.row.route] : room[run.row.route];
    if (left == 0) return item_start::no_room;
    --left;
    item.state = item_state::running;
    (away ? started_away : started).push_back(item.request.id);
    return item_start::started;
  }

  int run(instant store_now, int most = unlimited, service_names held = {}) {
    auto starter = item_starter{
        .service_of = [](const job_run& of, const job_item&)
            -> std::string_view { return of.row.route; },
        .start = [this](const item_ref& ref,
                        item_reach reach) { return start(ref, reach); }};
    return start_items(runs, 0s, store_now, most, std::move(held), starter);
  }
};

}  // namespace

// The items of a lost service are due first and used to end the search.
TEST_CASE("items of a service without room hold up no other service") {
  auto it = start_fixture{.room = {{"b", 4}, {"c", 1}}};
  it.add_job("a", "a", 0s, 10);
  it.add_job("b", "b", 1s, 3);
  it.add_job("c", "c", 2s, 3);
  CHECK(it.run(2s) == 4);
  CHECK(it.started == std::vector<std::string>{"b0", "b1", "b2", "c0"});
}

TEST_CASE("a service without room is tried once") {
  auto it = start_fixture();
  for (const auto* service : {"a", "b", ""})
    it.add_job(concat("job-", service), service, 0s, 100);
  CHECK(it.run(0s) == 0);
  CHECK(it.tries == 3);
}

TEST_CASE("items of one service start by deadline, up to the limit") {
  auto it = start_fixture{.room = {{"a", 10}}};
  it.add_job("late", "a", 5s, 2);
  it.add_job("early", "a", 0s, 2);
  CHECK(it.run(5s, 3) == 3);
  CHECK(it.started == std::vector<std::string>{"early0", "early1", "late0"});
}

TEST_CASE("urgent items start elsewhere, for each service by itself") {
  auto it = start_fixture{.room_anywhere = {{"a", 1}, {"b", 2}}};
  it.add_job("a", "a", 0s, 2);
  it.add_job("b", "b", 1s, 3);
  it.add_job("c", "b", 17s, 3);
  CHECK(it.run(12s) == 3);
  CHECK(it.started_away == std::vector<std::string>{"a0", "b0", "b1"});
}

TEST_CASE("services that are held start no items, and others do") {
  auto it =
      start_fixture{.room = {{"a", 5}, {"b", 5}}, .room_anywhere = {{"a", 5}}};
  it.add_job("a", "a", 0s, 2);
  it.add_job("b", "b", 1s, 2);
  CHECK(it.run(17s, unlimited, {"a"}) == 2);
  CHECK(it.started == std::vector<std::string>{"b0", "b1"});
  CHECK(it.started_away.empty());
}
