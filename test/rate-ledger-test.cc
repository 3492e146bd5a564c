#include "fulmarpitch/teams/rate-ledger.h"

#include <catch2/catch.hpp>
#include <map>

#include "fulmarpitch/core/text.h"

using namespace fulmar;
using namespace fulmar::teams;
using namespace std::chrono_literals;

namespace {

const auto big =
    team{.name = "big", .rate = {.requests_per_second = 100, .burst = 100}};
const auto small =
    team{.name = "small", .rate = {.requests_per_second = 1, .burst = 1}};
const auto unlimited = team{.name = "unlimited"};

/// Daemons of one data centre that hear each other's reports at once, unless a
/// test cuts them off.
class data_centre {
 public:
  explicit data_centre(std::size_t n) : ledgers_(n) {
    for (auto& it : ledgers_) {
      it.incarnation =
          incarnation_of(static_cast<std::size_t>(&it - ledgers_.data()));
      it.bounds = {.window = 5s, .slack = 0.1, .excess = 20};
      apply_limits(it, {big, small, unlimited}, 0s);
    }
    // Levels fall, and all know each other.
    advance(20s);
  }

  rate_ledger& at(std::size_t n) { return ledgers_[n]; }
  instant now() const { return now_; }

  void cut_off(std::size_t n, bool is_cut = true) { cut_[n] = is_cut; }
  void restart(std::size_t n) {
    ++lives_[n];
    ledgers_[n] = {.bounds = ledgers_[n].bounds,
                   .incarnation = incarnation_of(n),
                   .began = now_,
                   .last_heard = now_,
                   .last_contact = now_};
    apply_limits(ledgers_[n], {big, small, unlimited}, now_);
  }

  void advance(instant time, bool store_reached = true) {
    for (auto until = now_ + time; now_ < until;) {
      now_ += 20ms;
      for (auto n = std::size_t{0}; n < ledgers_.size(); ++n) {
        observe_members(ledgers_[n], store_reached, now_);
        auto due = now_.count() % 240000 == 0;
        if (due || must_report(ledgers_[n], now_)) report(n);
      }
    }
  }

  void report(std::size_t n) {
    auto counts = take_counts(ledgers_[n], now_);
    auto unheard = unheard_members(ledgers_[n]);
    for (auto to = std::size_t{0}; to < ledgers_.size(); ++to) {
      if (to == n || cut_[n] || cut_[to]) continue;
      hear_member(ledgers_[to],
                  {.name = concat("vm-", n),
                   .incarnation = incarnation_of(n),
                   .informed = ledgers_[n].informed,
                   .counts = counts,
                   .unheard = unheard},
                  now_);
    }
  }

  /// Asks until a daemon refuses.
  /// \return how many requests it admitted.
  int fill(std::size_t n, const team& of = big) {
    auto admitted = 0;
    while (admit(ledgers_[n], team_key(of.name), now_).admitted)
      ++admitted;
    return admitted;
  }

 private:
  std::uint64_t incarnation_of(std::size_t n) {
    return 1000 * (n + 1) + lives_[n];
  }

  std::vector<rate_ledger> ledgers_;
  std::map<std::size_t, bool> cut_;
  std::map<std::size_t, std::uint64_t> lives_;
  instant now_{};
};

int capacity_of(const team& it) {
  auto size = size_for(it.rate, {.window = 5s, .slack = 0.1, .excess = 20});
  return static_cast<int>(size.capacity);
}

}  // namespace

TEST_CASE("members together admit what one daemon would") {
  auto all = data_centre(4);
  auto admitted = all.fill(0);
  CHECK(admitted == capacity_of(big));
  all.report(0);
  CHECK(all.fill(1) == 0);
  all.advance(1s);
  auto after = all.fill(1);
  CHECK(after == Approx(102).margin(4));
  all.report(1);
  CHECK(all.fill(2) == 0);
}

TEST_CASE("teams without a rate and unknown ones are not counted") {
  auto all = data_centre(2);
  for (auto n = 0; n < 1000; ++n) {
    CHECK(admit(all.at(0), team_key("unlimited"), all.now()).admitted);
    CHECK(admit(all.at(0), team_key("unheard of"), all.now()).admitted);
  }
  all.advance(1s);
  CHECK(take_counts(all.at(0), all.now() + 20s).empty());
  CHECK_FALSE(has_rates(rate_ledger()));
}

TEST_CASE("lost reports are made good by later ones") {
  auto all = data_centre(2);
  all.fill(0);
  all.cut_off(0);
  all.report(0);
  all.cut_off(0, false);
  all.advance(120ms);
  CHECK(all.fill(1) <= 12);
}

TEST_CASE("a change is in two reports, and then in one each second") {
  auto all = data_centre(2);
  auto& it = all.at(0);
  auto now = all.now() + 30s;
  take_counts(it, now);
  CHECK_FALSE(must_report(it, now));
  CHECK(take_counts(it, now).empty());
  admit(it, team_key("big"), now);
  admit(it, team_key("small"), now);
  CHECK(take_counts(it, now).size() == 2);
  CHECK_FALSE(must_report(it, now + 50ms));
  CHECK(must_report(it, now + 100ms));
  CHECK(take_counts(it, now + 100ms).size() == 2);
  CHECK(take_counts(it, now + 200ms).empty());
  CHECK(must_report(it, now + 1s));
  auto counts = take_counts(it, now + 1s);
  REQUIRE(counts.size() == 2);
  CHECK(counts.front().team == team_key("big"));
  CHECK(counts.front().admitted == 1);
  CHECK(counts.front().asked == 1);
  CHECK(counts.front().part == Approx(1));
  CHECK(take_counts(it, now + 2s).empty());
  CHECK(must_report(it, now + 11s));
  CHECK(take_counts(it, now + 11s).size() == 2);
}

TEST_CASE("a daemon that hears nobody uses its part only") {
  auto all = data_centre(4);
  all.cut_off(0);
  all.advance(200ms);
  auto [heard, known] = count_members(all.at(0));
  CHECK(known == 4);
  auto alone = all.fill(0);
  CHECK(alone == Approx(capacity_of(big) / 4).margin(1));
  all.advance(400ms);
  CHECK(all.fill(1) == Approx(capacity_of(big) * 3 / 4).margin(1));

  SECTION("while it is cut off") {
    all.report(1);
    all.advance(4s);
    CHECK(all.fill(0) <= capacity_of(big) / 4 + 1);
    CHECK(all.fill(2) <= capacity_of(big) * 3 / 4 + 1);
  }
  SECTION("and counts as much as before when it is heard again") {
    all.report(1);
    all.cut_off(0, false);
    all.advance(500ms);
    CHECK(count_members(all.at(0)).first == 4);
    CHECK(all.fill(0) <= 0.9 * 102);
    all.advance(5s);
    CHECK(all.fill(3) == capacity_of(big));
  }
}

TEST_CASE("a member that asks most has the greatest part") {
  auto all = data_centre(4);
  for (auto n = 0; n < 40; ++n) {
    admit(all.at(0), team_key("small"), all.now());
    all.advance(100ms);
  }
  all.cut_off(0);
  all.advance(500ms);
  const auto& row = all.at(0).teams[1];
  CHECK(row.name == "small");
  CHECK(row.bucket.part > 0.7);
  const auto& other = all.at(1).teams[1];
  CHECK(other.bucket.part + row.bucket.part == Approx(1).margin(0.02));
}

TEST_CASE("however the members fall apart their parts add up to one") {
  auto all = data_centre(5);
  all.advance(1s);
  auto first = GENERATE(1, 2, 3);
  for (auto n = 0; n < first; ++n)
    all.cut_off(static_cast<std::size_t>(n));
  all.advance(600ms);
  auto sum = all.at(4).teams[0].bucket.part;
  for (auto n = 0; n < first; ++n)
    sum += all.at(static_cast<std::size_t>(n)).teams[0].bucket.part;
  CHECK(sum == Approx(1).margin(0.02));
}

TEST_CASE("a daemon that stood still spends its part until it hears others") {
  auto all = data_centre(4);
  all.fill(1);
  auto& it = all.at(0);
  note_pause(it, 3s, all.now());
  CHECK(all.fill(0) == Approx(capacity_of(big) / 4).margin(1));
  // What was sent before the pause does not show that the sender is heard.
  all.report(2);
  CHECK(count_members(it).first == 1);
  all.report(1);
  all.advance(400ms);
  CHECK(count_members(it).first == 4);
  CHECK(all.fill(0) == 0);
}

TEST_CASE("a daemon that starts spends what drains") {
  auto all = data_centre(3);
  all.restart(0);
  CHECK(all.fill(0) == 0);
  all.advance(500ms);
  CHECK(all.fill(0) <= 52);

  SECTION("and the others count it from its start") {
    all.report(0);
    all.advance(10s);
    all.fill(0);
    all.report(0);
    CHECK(all.fill(1) == 0);
  }
}

TEST_CASE("the part of a member that restarted silently joins full") {
  auto all = data_centre(2);
  all.cut_off(0);
  all.advance(1s);
  all.restart(0);
  all.cut_off(0, false);
  all.advance(240ms);
  CHECK(count_members(all.at(1)).first == 2);
  CHECK(all.fill(1) <= capacity_of(big) / 2 + 52);
}

TEST_CASE("silent members are forgotten after a while") {
  auto all = data_centre(3);
  SECTION("a lost one") {
    all.cut_off(0);
    all.advance(24s);
    CHECK(count_members(all.at(1)).second == 3);
    all.advance(2s);
    CHECK(count_members(all.at(1)).second == 2);
    CHECK(all.fill(1) == capacity_of(big));
  }
  SECTION("one that returns is known again") {
    all.cut_off(0);
    all.advance(30s);
    all.cut_off(0, false);
    all.advance(500ms);
    CHECK(count_members(all.at(1)) ==
          std::pair<std::size_t, std::size_t>(3, 3));
  }
}

TEST_CASE(
    "cut off from members and store a daemon stops before others forget") {
  auto all = data_centre(3);
  all.cut_off(0);
  all.advance(19s, false);
  CHECK(all.fill(0) > 0);
  all.advance(2s, false);
  CHECK(all.fill(0) == 0);
  CHECK(count_members(all.at(1)).second == 3);
  // The others are most of the members.
  all.advance(5s, false);
  CHECK(count_members(all.at(1)).second == 2);
  CHECK(count_members(all.at(0)).second == 3);
  all.cut_off(0, false);
  all.advance(5s, false);
  CHECK(all.fill(0) > 0);
}

TEST_CASE("a long pause counts towards that time") {
  auto all = data_centre(3);
  all.advance(1s, false);
  note_pause(all.at(0), 22s, all.now());
  CHECK(all.fill(0) == 0);
}

TEST_CASE("registered members count until it is known who is silent") {
  auto it = rate_ledger{.bounds = {.excess = 20}};
  apply_limits(it, {big}, 0s);
  for (auto n = 0; n < 9; ++n)
    expect_member(it, concat("vm-", n), 0s);
  note_members_listed(it, 0s);
  CHECK(it.teams[0].bucket.part == Approx(0.1));
  auto none = std::vector<team_count>();
  auto unheard = std::vector<std::uint64_t>();
  auto report = member_report{
      .name = "vm-0", .incarnation = 1, .counts = none, .unheard = unheard};
  hear_member(it, report, 100ms);
  CHECK(it.teams[0].bucket.part == Approx(0.2));
  observe_members(it, true, 200ms);
  CHECK(it.teams[0].bucket.part == Approx(0.2));

  SECTION("as long as they may be silent") {
    hear_member(it, report, 24900ms);
    observe_members(it, true, 25s);
    CHECK(it.teams[0].bucket.part == Approx(1));
  }
  SECTION("as a member says that knows them") {
    auto counts = std::vector{team_count{.team = team_key("big"), .part = 0.7}};
    auto informed = member_report{.name = "vm-1",
                                  .incarnation = 2,
                                  .informed = true,
                                  .counts = counts,
                                  .unheard = unheard};
    hear_member(it, informed, 300ms);
    observe_members(it, true, 320ms);
    CHECK(count_members(it).second == 3);
    CHECK(it.teams[0].bucket.part == Approx(0.7));
    counts.front().part = 0.9;
    hear_member(it, informed, 500ms);
    CHECK(it.teams[0].bucket.part == Approx(0.9));
    CHECK(it.informed);
  }
}

TEST_CASE("a daemon that does not know its members yet assumes many") {
  auto it = rate_ledger{.bounds = {.excess = 20}};
  apply_limits(it, {big}, 0s);
  CHECK(it.teams[0].bucket.part == Approx(1.0 / 16));
  observe_members(it, false, 1900ms);
  CHECK(it.teams[0].bucket.part == Approx(1.0 / 16));
  observe_members(it, false, 2s);
  CHECK(it.teams[0].bucket.part == Approx(1));
}

TEST_CASE("limits of a new configuration hold at once") {
  auto all = data_centre(2);
  all.fill(0);
  auto lowered = big;
  lowered.rate = {.requests_per_second = 10, .burst = 10};
  apply_limits(all.at(0), {lowered, small}, all.now());
  CHECK(all.fill(0) == 0);
  CHECK(all.at(0).teams[0].bucket.size.drain_per_second < 14);
  apply_limits(all.at(0), {big}, all.now());
  CHECK(all.fill(0) > 0);
  CHECK(all.at(0).teams.size() == 1);
  CHECK(admit(all.at(0), team_key("small"), all.now()).admitted);

  SECTION("a team that is added may send at once") {
    auto added = team{.name = "added", .rate = big.rate};
    apply_limits(all.at(0), {big, added}, all.now());
    CHECK(all.fill(0, added) == capacity_of(added));
    apply_limits(all.at(1), {big, added}, all.now());
    all.report(0);
    CHECK(all.fill(1, added) == 0);
  }
}

TEST_CASE("refused clients get places one behind the other") {
  auto all = data_centre(1);
  all.advance(2s);
  all.fill(0);
  auto last = instant();
  for (auto n = 0; n < 20; ++n) {
    auto it = admit(all.at(0), team_key("big"), all.now());
    CHECK_FALSE(it.admitted);
    CHECK(it.retry_after >= std::max<instant>(last, 100ms));
    CHECK(it.retry_after <= 400ms);
    last = it.retry_after;
  }
  CHECK(last >= 150ms);
  for (auto n = 0; n < 1000; ++n) {
    auto it = admit(all.at(0), team_key("big"), all.now());
    CHECK(it.retry_after <= 2s);
  }
  auto& row = all.at(0).teams[0];
  CHECK(row.refused == 1021);
  CHECK(row.admitted == static_cast<std::uint32_t>(capacity_of(big)));
}

TEST_CASE("the first refusal and the end of refusals are told apart") {
  auto all = data_centre(1);
  all.advance(2s);
  all.fill(0);
  auto again = admit(all.at(0), team_key("big"), all.now());
  CHECK_FALSE(again.first_refusal);
  CHECK(end_refusals(all.at(0), all.now() + 5s).empty());
  CHECK(end_refusals(all.at(0), all.now() + 6s).size() == 1);
  CHECK(end_refusals(all.at(0), all.now() + 6s).empty());
}

TEST_CASE("demand is counted over all members") {
  auto all = data_centre(2);
  for (auto n = 0; n < 200; ++n) {
    admit(all.at(0), team_key("big"), all.now());
    admit(all.at(1), team_key("big"), all.now());
    all.advance(100ms);
  }
  const auto& it = all.at(0);
  CHECK(demand_of(it.teams[0], it.timing, all.now()) ==
        Approx(20).epsilon(0.15));
  CHECK(demand_of(it.teams[1], it.timing, all.now()) == Approx(0).margin(0.1));
}
