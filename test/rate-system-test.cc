// Rates of teams at one daemon, without its servers.

#include "src/teams/rate-system.h"

#include <catch2/catch.hpp>

#include "fulmarpitch/net/event-loop.h"
#include "src/serving/reports.h"

using namespace fulmar;
using namespace fulmar::teams;
using namespace std::chrono_literals;

namespace {

const auto limited = team{.name = "limited \"a\"",
                          .rate = {.requests_per_second = 10, .burst = 5}};
const auto unlimited = team{.name = "unlimited"};

struct daemon_fixture {
  explicit daemon_fixture(const std::vector<team>& teams)
      : in(loop, {.name = "vm-0", .data_centre = "hall-a", .rate_excess = 20}) {
    in.reports = std::make_unique<serving::report_exchange>(in);
    auto next = std::make_shared<serving::served_configuration>();
    next->version = 1;
    next->teams.teams = teams;
    in.configuration = std::move(next);
    apply_rates(in);
    note_daemons_listed(in);
    for (auto& it : in.rates.teams)
      it.bucket.level = 0;
  }

  event_loop loop;
  serving::front in;
};

}  // namespace

TEST_CASE("a daemon refuses what exceeds a team's rate") {
  daemon_fixture it({limited, unlimited});
  auto most = max_in_window(limited.rate, it.in.rates.bounds);
  auto admitted = 0;
  auto refusal = std::optional<instant>();
  while (!refusal && admitted < most) {
    refusal = admit_request(it.in, limited);
    if (!refusal) ++admitted;
  }
  CHECK(admitted >= 5);
  REQUIRE(refusal);
  CHECK(*refusal >= 100ms);
  CHECK(*refusal <= 2s);
  for (auto n = 0; n < 1000; ++n)
    CHECK_FALSE(admit_request(it.in, unlimited));
}

TEST_CASE("metrics tell what was admitted and refused") {
  daemon_fixture it({limited, unlimited});
  while (!admit_request(it.in, limited)) {
  }
  auto text = rate_metrics(it.in);
  auto has = [&](const std::string& line) {
    return text.find(line) != std::string::npos;
  };
  CHECK(
      has("fulmar_team_requests_refused_total{team=\"limited "
          "\\\"a\\\"\"} 1\n"));
  CHECK(has("fulmar_team_requests_admitted_total{team="));
  CHECK(has("fulmar_rate_members{state=\"known\"} 1\n"));
  CHECK_FALSE(has("unlimited"));
}

TEST_CASE("without rates nothing is kept, sent or shown") {
  daemon_fixture it({unlimited});
  expect_daemon(it.in, "vm-1");
  auto report = serving::load_report{.name = "vm-2", .incarnation = 5};
  hear_report(it.in, report);
  observe_rates(it.in, event_loop::steady());
  CHECK(it.in.rates.members.empty());
  CHECK(rate_metrics(it.in).empty());
  CHECK(take_counts(it.in.rates, event_loop::steady()).empty());
}

TEST_CASE("members that were heard before the first rate are known") {
  daemon_fixture it({});
  auto now = event_loop::steady();
  it.in.board.members["vm-1"] = {
      .report = {.name = "vm-1", .data_centre = "hall-a", .incarnation = 3},
      .heard = now};
  auto next = std::make_shared<serving::served_configuration>();
  next->teams.teams = {limited};
  it.in.configuration = std::move(next);
  apply_rates(it.in);
  CHECK(count_members(it.in.rates).first == 2);
}

TEST_CASE("a request after a pause meets a daemon that counts as alone") {
  daemon_fixture it({limited});
  auto none = std::vector<team_count>();
  auto unheard = std::vector<std::uint64_t>();
  for (const auto* name : {"vm-1", "vm-2", "vm-3"}) {
    hear_member(
        it.in.rates,
        {.name = name, .incarnation = 1, .counts = none, .unheard = unheard},
        event_loop::steady());
  }
  CHECK(count_members(it.in.rates).first == 4);
  it.in.last_tick -= 3s;
  (void)admit_request(it.in, limited);
  CHECK(count_members(it.in.rates).first == 1);
  CHECK(it.in.rates.teams[0].bucket.part == Approx(0.25));
}
