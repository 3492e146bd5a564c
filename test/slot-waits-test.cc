#include "fulmarpitch/serving/slot-waits.h"

#include <catch2/catch.hpp>

#include "fulmarpitch/net/event-splitter.h"

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

constexpr instant now = 10s;

slot_use online(std::uint64_t target, instant waited) {
  return {.target = target, .sent = now - waited};
}

slot_use batch(std::uint64_t target, instant waited, bool has_output = true) {
  return {.target = target,
          .kind = work_kind::batch,
          .sent = now - waited,
          .has_output = has_output};
}

}  // namespace

TEST_CASE("a target counts as full when a request waits too long") {
  auto uses = std::vector{online(1, 151ms), online(2, 150ms),
                          batch(3, 301ms, false), batch(4, 300ms, false)};
  auto full = full_targets(uses, now);
  CHECK(full == absl::flat_hash_set<std::uint64_t>{1, 3});
}

TEST_CASE("a request that holds its slot does not wait") {
  auto holder = online(1, 5s);
  holder.has_output = true;
  auto uses = std::vector{holder, batch(1, 5s)};
  CHECK(full_targets(uses, now).empty());
  auto plan = plan_preemptions(uses, now);
  CHECK(plan.withdrawn.empty());
  CHECK(plan.preempted.empty());
}

TEST_CASE("a waiting online request preempts the newest item") {
  auto uses =
      std::vector{batch(1, 3s), batch(1, 2s), batch(2, 1s), online(1, 200ms)};
  auto plan = plan_preemptions(uses, now);
  CHECK(plan.preempted == std::vector<std::size_t>{1});
  CHECK(plan.preempting == std::vector<std::size_t>{3});
}

TEST_CASE("each waiting online request preempts a different item") {
  auto uses = std::vector{batch(1, 3s), batch(1, 2s), online(1, 200ms),
                          online(1, 200ms), online(1, 200ms)};
  auto plan = plan_preemptions(uses, now);
  CHECK(plan.preempted == std::vector<std::size_t>{1, 0});
  CHECK(plan.preempting == std::vector<std::size_t>{2, 3});
}

TEST_CASE("an online request preempts only one item") {
  auto waiting = online(1, 200ms);
  waiting.has_preempted = true;
  auto uses = std::vector{batch(1, 3s), waiting};
  CHECK(plan_preemptions(uses, now).preempted.empty());
}

TEST_CASE("the queue timeout of an item doubles with each run cut off") {
  auto again = batch(1, 500ms, false);
  again.cut_count = 1;
  CHECK(plan_preemptions(std::vector{again}, now).withdrawn.empty());
  again.sent = now - 601ms;
  CHECK(plan_preemptions(std::vector{again}, now).withdrawn.size() == 1);
  again.cut_count = 100;
  again.sent = now - 76'800ms;
  CHECK(plan_preemptions(std::vector{again}, now).withdrawn.empty());
  again.sent = now - 76'801ms;
  CHECK(plan_preemptions(std::vector{again}, now).withdrawn.size() == 1);
}

// Guards against online requests that wait behind an item for as long as its
// extended limit allows.
TEST_CASE("an item that online requests wait behind is withdrawn sooner") {
  auto item = batch(1, 4'801ms, false);
  item.cut_count = 8;
  auto withdrawn = [&](std::vector<slot_use> later) {
    later.insert(later.begin(), item);
    return plan_preemptions(later, now).withdrawn;
  };
  CHECK(withdrawn({online(1, 151ms)}) == std::vector<std::size_t>{0});
  CHECK(withdrawn({}).empty());
  CHECK(withdrawn({online(1, 150ms)}).empty());
  CHECK(withdrawn({online(2, 151ms)}).empty());
  auto holder = online(1, 151ms);
  holder.has_output = true;
  CHECK(withdrawn({holder, batch(1, 400ms)}).empty());
  item.sent = now - 4'800ms;
  CHECK(withdrawn({online(1, 151ms)}).empty());
}

TEST_CASE("an item does not wait for online requests sent before it") {
  auto item = batch(1, 4'801ms, false);
  item.cut_count = 8;
  auto uses = std::vector{online(1, 5s), item};
  CHECK(plan_preemptions(uses, now).withdrawn.empty());
}

TEST_CASE("the limit on a stream without events doubles, too") {
  CHECK(is_stalled(0s, 10'001ms));
  CHECK_FALSE(is_stalled(0s, 20s, 1));
  CHECK(is_stalled(0s, 20'001ms, 1));
}

TEST_CASE("an item in a target's queue is withdrawn, not preempted") {
  auto uses = std::vector{batch(1, 400ms, false), online(1, 200ms)};
  auto plan = plan_preemptions(uses, now);
  CHECK(plan.withdrawn == std::vector<std::size_t>{0});
  CHECK(plan.preempted.empty());
}

namespace {

/// Simulates one minute of a stream that delivers the pieces in turn, one every
/// `gap`.
/// \return whether the stream counts as stalled at any time.
bool stalls(const std::vector<std::string>& pieces, instant gap) {
  auto events = event_splitter();
  auto last_event = instant();
  auto n = std::size_t{0};
  for (auto at = gap; at <= 60s; at += gap) {
    if (is_stalled(last_event, at)) return true;
    events.feed(pieces[n++ % pieces.size()]);
    while (events.next())
      last_event = at;
  }
  return false;
}

}  // namespace

TEST_CASE("bytes without events stall a stream, slow complete events do not") {
  CHECK(stalls({"d", "a", "t", "a", ": x"}, 1s));
  CHECK(stalls({": still here\n"}, 3s));
  CHECK_FALSE(stalls({"id: 1\ndata: x\n\n"}, 9s));
  CHECK_FALSE(stalls({"id: 1\n", "data: x\n\n"}, 4s));
}
