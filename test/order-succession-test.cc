#include "fulmarpitch/order/succession.h"

#include <catch2/catch.hpp>

#include "order-fixture.h"

using namespace fulmar;
using namespace fulmar::order_test;

namespace {

constexpr std::size_t window = 8;
const auto epoch = epoch_id{.number = 1, .incarnation = "a"};

/// An epoch whose records 1 to 3 are in the store and 4 to 8 are not.
struct half_written {
  objects store;
  std::vector<std::string> lines;
  std::string opening;

  half_written() {
    auto log = order_log({.start = {.pool = pool, .epoch = epoch, .owner = "a"},
                          .window = window,
                          .limits = {.records = 3}},
                         writer_to(store), instant(0));
    opening = log.opening_line();
    lines.push_back(opening);
    for (std::uint64_t number = 2; number <= 8; ++number) {
      lines.push_back(
          log.append(make_admit(number, "e1"), {}, instant(1)).line);
      if (number == 3) log.tick(instant(1));
    }
  }

  close_inputs inputs(const std::vector<std::uint64_t>& numbers) const {
    auto out = close_inputs{.pool = pool,
                            .epoch = epoch,
                            .opening_line = opening,
                            .durable = stored(store, epoch),
                            .window = window,
                            .closer = "b",
                            .limits = {.records = 3}};
    for (auto it : numbers)
      out.collected.push_back(lines[it - 1]);
    return out;
  }

  audit_report audit(const epoch_end& end) {
    for (const auto& it : end.segments)
      CHECK(put_if_absent(store, it.name, it.bytes));
    return audit_of(store, {.window = window});
  }
};

/// A table service in memory that can lose calls and replies.
struct small_table {
  std::map<std::string, table_row> rows;
  std::map<std::string, commit_result> answered;
  bool down = false;
  bool lose_reply = false;

  commit_result apply(const table_transaction& it) {
    auto [at, is_new] = answered.try_emplace(it.id);
    if (!is_new) return at->second;
    for (const auto& one : it.conditions) {
      if (rows[one.key].version != one.version) {
        at->second.conflicts.push_back(one.key);
      }
    }
    at->second.committed = at->second.conflicts.empty();
    if (!at->second.committed) return at->second;
    for (const auto& one : it.writes) {
      rows[one.key].value = *one.value;
      ++rows[one.key].version;
    }
    return at->second;
  }

  table_store store() {
    auto away = make_error(error_code::store_unavailable, "down");
    return {.commit =
                [this, away](const table_transaction& it,
                             const callback<commit_result>& done) {
                  if (down) return done(away);
                  auto result = apply(it);
                  if (lose_reply) return done(away);
                  done(result);
                },
            .read =
                [this, away](const std::string& key,
                             const callback<table_row>& done) {
                  if (down) return done(away);
                  done(rows[key]);
                }};
  }
};

std::string opening(std::uint64_t number, const std::string& who,
                    bool provisional) {
  auto start = epoch_start();
  start.pool = pool;
  start.epoch = {.number = number, .incarnation = who};
  start.owner = who;
  start.detail.provisional = provisional;
  return encode_record(opening_record(start, instant(0)));
}

claim_result claim(small_table& table, const epoch_row& seen,
                   const std::string& line) {
  auto out = claim_result::taken;
  claim_epoch(table.store(), seen, line, [&](claim_result it) { out = it; });
  return out;
}

claim_result reconcile(small_table& table, const std::string& line) {
  auto out = claim_result::taken;
  reconcile_epoch(table.store(), line, [&](claim_result it) { out = it; });
  return out;
}

epoch_row seen(small_table& table) {
  auto out = epoch_row();
  read_epoch(table.store(), pool,
             [&](absl::StatusOr<epoch_row> it) { out = it.value(); });
  return out;
}

}  // namespace

TEST_CASE("an epoch is closed at the true end that the members know") {
  struct row {
    std::vector<std::uint64_t> collected;
    std::vector<std::string> silent;
    std::vector<record_hole> holes;
    std::uint64_t last;
    audit_verdict verdict;
  };
  auto rows = std::vector<row>{
      {{8, 4, 7, 5, 6, 5}, {}, {}, 9, audit_verdict::clean},
      {{}, {}, {}, 4, audit_verdict::clean},
      {{4, 7}, {}, {{5, 6, hole_kind::unsent}}, 8, audit_verdict::named_gaps},
      {{6, 7},
       {"e2"},
       {{4, 5, hole_kind::lost}, {8, 11, hole_kind::lost}},
       12,
       audit_verdict::named_gaps},
      {{}, {"e1"}, {{4, 11, hole_kind::lost}}, 12, audit_verdict::named_gaps},
  };
  for (const auto& it : rows) {
    auto world = half_written();
    auto inputs = world.inputs(it.collected);
    inputs.silent_members = it.silent;
    auto end = close_epoch(inputs, instant(9));
    REQUIRE(end.ok());
    CHECK(end->holes == it.holes);
    CHECK(end->last_number == it.last);
    auto report = world.audit(*end);
    CHECK(verdict_of(report) == it.verdict);
    CHECK(report.heads.at(0).hash == end->last_hash);
  }
}

TEST_CASE("members that left since the last durable record are silent") {
  auto world = half_written();
  auto durable = stored(world.store, epoch);
  // The newest durable record was made at 1.
  auto sightings = std::vector<member_sighting>{{"a", instant(9)},
                                                {"gone-long", instant(-3)},
                                                {"gone-margin", instant(0)},
                                                {"gone-now", instant(1)},
                                                {"here", instant(9)}};
  auto answered = std::vector<std::string>{"a", "here"};
  CHECK(silent_members(durable, sightings, answered, instant(1)) ==
        std::vector<std::string>{"gone-margin", "gone-now"});
  CHECK(silent_members(durable, sightings, answered, instant(0)) ==
        std::vector<std::string>{"gone-now"});
  CHECK(silent_members({}, sightings, answered, instant(1)).size() == 3);
  auto inputs = world.inputs({});
  inputs.silent_members =
      silent_members(durable, sightings, answered, instant(1));
  auto end = close_epoch(inputs, instant(9));
  REQUIRE(end.ok());
  CHECK(verdict_of(world.audit(*end)) == audit_verdict::named_gaps);
}

TEST_CASE("an epoch of which nothing was written is closed by its opening") {
  auto world = half_written();
  auto inputs = world.inputs({2, 3});
  inputs.durable.clear();
  world.store.clear();
  auto end = close_epoch(inputs, instant(9));
  REQUIRE(end.ok());
  CHECK(end->last_number == 4);
  CHECK(verdict_of(world.audit(*end)) == audit_verdict::clean);
  inputs.opening_line.clear();
  auto missing = close_epoch(inputs, instant(9));
  CHECK(code_of(missing.status()) == error_code::not_found);
}

TEST_CASE("closing again changes nothing, and two closers can't both win") {
  auto world = half_written();
  auto mine = close_epoch(world.inputs({4, 5}), instant(9));
  auto other = close_epoch(world.inputs({4}), instant(10));
  REQUIRE((mine.ok() && other.ok()));
  CHECK(verdict_of(world.audit(*mine)) == audit_verdict::clean);
  const auto& late = other->segments.front();
  CHECK_FALSE(put_if_absent(world.store, late.name, late.bytes));
  auto again = close_epoch(world.inputs({4}), instant(11));
  REQUIRE(again.ok());
  CHECK(again->segments.empty());
  CHECK(again->last_hash == mine->last_hash);
  CHECK(again->last_segment == mine->last_segment);
}

TEST_CASE("lines that do not belong to the chain are rejected") {
  auto world = half_written();
  auto forged = std::get<order_record>(decode_record(world.lines[4]));
  forged.previous = sha256("other");
  auto stranger = std::get<order_record>(decode_record(world.lines[4]));
  stranger.epoch.incarnation.push_back('z');
  auto inputs = world.inputs({4, 5, 6});
  for (const auto& it :
       {encode_record(forged), encode_record(stranger), std::string("[]")})
    inputs.collected.insert(inputs.collected.begin(), it);
  auto end = close_epoch(inputs, instant(9));
  REQUIRE(end.ok());
  CHECK(end->rejected.size() == 3);
  CHECK(end->holes.empty());
  CHECK(verdict_of(world.audit(*end)) == audit_verdict::clean);
}

TEST_CASE("one of two claimants gets the pool, lost replies included") {
  auto table = small_table();
  auto row = seen(table);
  CHECK(row.version == 0);
  auto a = opening(1, "a", false);
  auto b = opening(1, "b", false);
  table.lose_reply = true;
  CHECK(claim(table, row, a) == claim_result::platform_away);
  table.lose_reply = false;
  CHECK(claim(table, row, b) == claim_result::taken);
  CHECK(claim(table, row, a) == claim_result::owned);
  CHECK(claim(table, seen(table), a) == claim_result::owned);
  CHECK(seen(table).version == 1);
}

TEST_CASE("a provisional epoch gives way to any epoch that is not older") {
  auto table = small_table();
  auto mine = opening(2, "b", true);
  table.down = true;
  CHECK(reconcile(table, mine) == claim_result::platform_away);
  table.down = false;
  auto key = epoch_row_key(pool);
  table.rows[key] = {key, opening(1, "a", false), 1};
  CHECK(reconcile(table, mine) == claim_result::owned);
  CHECK(reconcile(table, mine) == claim_result::owned);
  CHECK(reconcile(table, opening(2, "c", true)) == claim_result::taken);
  CHECK(reconcile(table, opening(1, "d", true)) == claim_result::taken);
  CHECK(seen(table).opening_line == mine);
}

TEST_CASE("two owners in a partition leave two chains and a named overlap") {
  auto world = half_written();
  auto start = epoch_start();
  start.pool = pool;
  start.epoch = {.number = 2, .incarnation = "b"};
  start.owner = "b";
  start.first_number = 5;
  start.detail = {.provisional = true, .predecessor = epoch};
  auto write = [&](const epoch_start& at, instant from, instant to) {
    auto log = order_log({.start = at}, writer_to(world.store), from);
    log.append(make_admit(at.first_number + 1, "e2"), {}, to);
    log.close(to);
    log.tick(to);
  };
  write(start, instant(1), instant(5));
  auto end = close_epoch(world.inputs({4, 5, 6, 7, 8}), instant(9));
  REQUIRE(end.ok());
  auto report = world.audit(*end);
  CHECK(verdict_of(report) == audit_verdict::named_gaps);
  CHECK(has(report, audit_fault::epochs_overlap));
  CHECK(has(report, audit_fault::provisional_epoch));
  // Without the word "provisional" the second owner is a fault.
  auto undeclared = half_written();
  for (const auto& it : end->segments)
    put_if_absent(undeclared.store, it.name, it.bytes);
  for (const auto* who : {"b", "c"}) {
    auto at = next_epoch(*end, epoch, pool, who, who);
    auto log =
        order_log({.start = at}, writer_to(undeclared.store), instant(9));
    log.close(instant(9));
    log.tick(instant(9));
  }
  auto forked = audit_of(undeclared.store);
  CHECK(verdict_of(forked) == audit_verdict::faults);
  CHECK(has(forked, audit_fault::epochs_forked));
}
