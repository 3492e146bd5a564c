#include "fulmarpitch/serving/feed.h"

#include <catch2/catch.hpp>

#include "fulmarpitch/serving/load-board.h"

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

stored_row row(const std::string& key, std::uint64_t version,
               std::string value = "v") {
  return {.name = {.table = "jobs", .part = "host", .key = key},
          .value = std::move(value),
          .version = version};
}

feed_page page(std::uint64_t after, std::uint64_t version,
               std::vector<stored_row> rows = {}) {
  return {.data_centre = "a",
          .table = "jobs",
          .after = after,
          .version = version,
          .rows = std::move(rows)};
}

std::vector<std::string> keys_of(const std::vector<stored_row>& rows) {
  auto out = std::vector<std::string>();
  for (const auto& it : rows)
    out.push_back(it.name.key);
  return out;
}

using keys = std::vector<std::string>;

constexpr auto datagram = std::size_t{16} * 1024;

}  // namespace

TEST_CASE("consecutive pages are accepted") {
  auto state = feed_state{.version = 10, .confirmed = 1s};
  auto rows = apply_forwarded(state, page(10, 12, {row("x", 12)}), 2s);
  CHECK(keys_of(rows) == keys{"x"});
  CHECK(state.version == 12);
  CHECK(state.confirmed == 2s);
  CHECK_FALSE(must_poll(state, false, 3s));

  SECTION("a page without changes confirms the version") {
    CHECK(apply_forwarded(state, page(12, 12), 3s).empty());
    CHECK_FALSE(must_poll(state, false, 4s));
  }
  SECTION("rows that were applied already are left out") {
    auto again = page(11, 14, {row("x", 12), row("y", 14)});
    CHECK(keys_of(apply_forwarded(state, again, 3s)) == keys{"y"});
  }
  SECTION("a late page reverts nothing") {
    CHECK(apply_forwarded(state, page(9, 11, {row("x", 11)}), 3s).empty());
    CHECK(state.version == 12);
  }
}

TEST_CASE("after a missed page the daemon reads from the store") {
  auto state = feed_state{.version = 10, .confirmed = 1s};
  CHECK(apply_forwarded(state, page(12, 13, {row("x", 13)}), 1s).empty());
  CHECK(state.version == 10);
  CHECK(must_poll(state, false, 1s));
  // Later pages do not hide the gap.
  CHECK(apply_forwarded(state, page(13, 14, {row("y", 14)}), 1s).empty());
  CHECK(must_poll(state, false, 1s));

  auto answer = row_page{.rows = {row("x", 13), row("y", 14)}, .version = 14};
  apply_reply(state, answer, 2s);
  CHECK(keys_of(answer.rows) == keys{"x", "y"});
  CHECK_FALSE(must_poll(state, false, 2s));
}

TEST_CASE("a reply from the store yields only rows not in earlier pages") {
  auto state = feed_state{.version = 10, .confirmed = 1s};
  apply_forwarded(state, page(10, 12, {row("x", 12)}), 1s);
  auto answer = row_page{.rows = {row("w", 11), row("x", 12)}, .version = 12};
  apply_reply(state, answer, 1s);
  CHECK(answer.rows.empty());
  CHECK(state.version == 12);
}

TEST_CASE("pages are ignored before the table was read") {
  auto state = feed_state();
  CHECK(apply_forwarded(state, page(0, 12, {row("x", 12)}), 1s).empty());
  CHECK(state.version == 0);
  CHECK(must_poll(state, false, 1s));
}

TEST_CASE("a daemon reads from the store when no pages arrive") {
  auto state = feed_state{.version = 10, .confirmed = 10s};
  CHECK_FALSE(must_poll(state, false, 11s));
  CHECK(must_poll(state, false, 11500ms));
  CHECK(must_poll(state, true, 10s));
}

TEST_CASE("a leaving target is known within 3 s when the reader is lost") {
  // Worst case: the last page arrives just before the target is marked. Then
  // the daemon checks every 0.1 s, and one store call may time out after 1.1 s.
  auto state = feed_state{.version = 10, .confirmed = 10s};
  auto now = instant(10s);
  while (!must_poll(state, false, now))
    now += 100ms;
  CHECK(now - 10s + 1100ms < 3s);
}

// The reader was lost with its power; a result that another daemon had shown
// 1.1 s before was said to be missing.
TEST_CASE(
    "after a second without pages a copy does not show that a row is absent") {
  auto state = feed_state{.version = 10, .confirmed = 10s};
  CHECK(shows_absence(state, 10s));
  CHECK(shows_absence(state, 10900ms));
  CHECK_FALSE(shows_absence(state, 10950ms));
  CHECK_FALSE(shows_absence(state, 11s));
}

TEST_CASE("a page round-trips through encoding") {
  auto from = page(10, 12, {row("x", 11), row("y", 12, "")});
  from.rows[1].removed = true;
  from.outage_ended = 1500ms;
  auto datagrams = encode_feed(from, datagram);
  REQUIRE(datagrams.size() == 1);
  REQUIRE(is_feed(datagrams[0]));
  auto to = decode_feed(datagrams[0]);
  REQUIRE(to);
  CHECK(to->data_centre == "a");
  CHECK(to->table == "jobs");
  CHECK(to->after == 10);
  CHECK(to->version == 12);
  CHECK(to->outage_ended == instant(1500ms));
  REQUIRE(to->rows.size() == 2);
  CHECK(to->rows[0].name == from.rows[0].name);
  CHECK(to->rows[0].value == "v");
  CHECK(to->rows[1].version == 12);
  CHECK(to->rows[1].removed);
  from.outage_ended.reset();
  CHECK_FALSE(decode_feed(encode_feed(from, datagram)[0])->outage_ended);
}

TEST_CASE("a long page is split into consecutive datagrams") {
  auto from = page(10, 60);
  for (auto it = std::uint64_t{11}; it <= 50; ++it) {
    // Two rows of one transaction.
    from.rows.push_back(
        row("x" + std::to_string(it), it, std::string(900, 'v')));
    from.rows.push_back(row("y" + std::to_string(it), it));
  }
  auto datagrams = encode_feed(from, datagram);
  CHECK(datagrams.size() > 2);
  auto state = feed_state{.version = 10};
  auto n = std::size_t{0};
  for (const auto& it : datagrams) {
    CHECK(it.size() <= datagram);
    auto part = decode_feed(it);
    REQUIRE(part);
    n += apply_forwarded(state, *part, 1s).size();
  }
  CHECK(n == 80);
  CHECK(state.version == 60);
  CHECK_FALSE(state.gap);

  SECTION("a lost datagram in the middle is detected") {
    auto other = feed_state{.version = 10};
    for (auto it = std::size_t{0}; it < datagrams.size(); ++it) {
      if (it != 1) apply_forwarded(other, *decode_feed(datagrams[it]), 1s);
    }
    CHECK(other.gap);
  }
}

TEST_CASE("a row too large for a datagram is read from the store") {
  auto from =
      page(10, 12, {row("x", 11), row("y", 12, std::string(20'000, 'v'))});
  auto state = feed_state{.version = 10, .confirmed = 1s};
  for (const auto& it : encode_feed(from, datagram))
    apply_forwarded(state, *decode_feed(it), 1s);
  CHECK(state.version == 11);
  apply_forwarded(state, page(12, 12), 1s);
  CHECK(must_poll(state, false, 1s));
}

TEST_CASE("malformed datagrams are rejected") {
  CHECK_FALSE(is_feed(""));
  CHECK_FALSE(is_feed("FEED"));
  CHECK_FALSE(decode_feed(std::string("\x08\0\0\0FEED\xff\xff\xff\xff", 12)));
  auto whole = encode_feed(page(1, 2, {row("x", 2)}), datagram)[0];
  for (auto n = std::size_t{0}; n < whole.size(); ++n) {
    // The last bytes are only padding.
    if (auto part = decode_feed(whole.substr(0, n)))
      CHECK(encode_feed(*part, datagram)[0] == whole);
  }
}

TEST_CASE("the first daemon that reaches the store reads for the others") {
  auto board = load_board{.data_centre = "a"};
  auto hear = [&](const std::string& name, bool store_lost, instant now) {
    take_report(board,
                {.name = name,
                 .data_centre = "a",
                 .incarnation = 1,
                 .sequence = static_cast<std::uint64_t>(now.count()),
                 .store_lost = store_lost},
                now);
  };
  hear("vm1", false, 10s);
  hear("vm2", false, 10s);
  CHECK(reads_for_others(board, "vm0", false, 10s));
  CHECK_FALSE(reads_for_others(board, "vm0", true, 10s));
  CHECK_FALSE(reads_for_others(board, "vm3", false, 10s));
  hear("vm1", true, 11s);
  hear("vm2", false, 11s);
  CHECK_FALSE(reads_for_others(board, "vm3", false, 11s));
  CHECK(reads_for_others(board, "vm11", false, 11s));
  // No report of either daemon is recent enough.
  CHECK(reads_for_others(board, "vm3", false, 13s));
}

// A daemon that stood still reads pages and answers that are as old as its
// pause.
TEST_CASE("what waited while the process stood still confirms nothing") {
  auto state = feed_state{.version = 10, .confirmed = 1s};
  note_pause(state);
  CHECK(must_poll(state, false, 1s));
  CHECK_FALSE(shows_absence(state, 1s));
  SECTION("a forwarded page") {
    auto rows = apply_forwarded(state, page(10, 12, {row("x", 12)}), 2s);
    CHECK(keys_of(rows) == keys{"x"});
  }
  SECTION("the answer to an earlier call") {
    auto answer = row_page{.rows = {row("x", 12)}, .version = 12};
    apply_reply(state, answer, 2s, false);
    CHECK(keys_of(answer.rows) == keys{"x"});
  }
  CHECK(state.version == 12);
  CHECK(must_poll(state, false, 2s));
  CHECK_FALSE(shows_absence(state, 2s));
  auto answer = row_page{.version = 12};
  apply_reply(state, answer, 3s);
  CHECK_FALSE(must_poll(state, false, 3s));
  CHECK(shows_absence(state, 3s));
}
