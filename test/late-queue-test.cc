#include "fulmarpitch/serving/late-queue.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <queue>
#include <vector>

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

constexpr auto slot_time = instant(800ms);

caller_time times_of(instant left, instant held = {}) {
  return {.goal = 300ms,
          .waited = 5s - left - held,
          .held = held,
          .left = left,
          .max_silence = 2s};
}

}  // namespace

TEST_CASE("a request that can meet its goal does not give way") {
  CHECK_FALSE(gives_way(times_of(5s), slot_time));
  CHECK_FALSE(gives_way(times_of(4800ms), slot_time));
  CHECK(gives_way(times_of(4700ms), slot_time));
  auto without_goal = times_of(3s);
  without_goal.goal = {};
  CHECK_FALSE(gives_way(without_goal, slot_time));
}

TEST_CASE("a late request is held only while its client waits") {
  CHECK(gives_way(times_of(4s, 1100ms), slot_time));
  CHECK_FALSE(gives_way(times_of(4s, 1200ms), slot_time));
  CHECK(gives_way(times_of(1700ms), slot_time));
  CHECK_FALSE(gives_way(times_of(1600ms), slot_time));
}

TEST_CASE("the time limit of first attempts is observed") {
  auto limit = observed_time_limit();
  CHECK(time_limit(limit) == 0s);
  note_time_limit(limit, 4s, 100s);
  CHECK(time_limit(limit) == 4s);
  note_time_limit(limit, 5s, 101s);
  note_time_limit(limit, 3s, 102s);
  CHECK(time_limit(limit) == 5s);

  SECTION("also while most requests are retries") {
    for (auto n = 0; n < 6; ++n)
      note_time_limit(limit, 3s, 103s);
    CHECK(time_limit(limit) == 5s);
  }
  SECTION("a few callers that wait longer do not count") {
    for (auto n = 0; n < 20; ++n)
      note_time_limit(limit, 5s, 103s);
    note_time_limit(limit, 60s, 103s);
    CHECK(time_limit(limit) == 5s);
  }
  SECTION("and kept for a further period") {
    note_time_limit(limit, 3s, 115s);
    CHECK(time_limit(limit) == 5s);
    note_time_limit(limit, 3s, 126s);
    CHECK(time_limit(limit) == 3s);
  }
  SECTION("and forgotten after a pause") {
    note_time_limit(limit, 3s, 140s);
    CHECK(time_limit(limit) == 3s);
  }
}

TEST_CASE("the arrival rate follows the last half second") {
  auto window = arrival_window();
  CHECK(arrival_rate(window, 10s) == 0);
  for (auto at = instant(10s); at < 10500ms; at += 10ms)
    note_arrival(window, at);
  CHECK(arrival_rate(window, 10490ms) == Approx(100).epsilon(0.05));
  CHECK(arrival_rate(window, 10740ms) == Approx(50).epsilon(0.05));
  CHECK(arrival_rate(window, 12s) == 0);
  CHECK(window.arrivals.size() <= 51);
}

TEST_CASE("late requests run on what new ones leave, and one always does") {
  CHECK(max_late_running(12, 0, slot_time) == 12);
  CHECK(max_late_running(12, 10, slot_time) == 4);
  CHECK(max_late_running(12, 15, slot_time) == 1);
  CHECK(max_late_running(0, 0, slot_time) == 1);
}

TEST_CASE("late requests start by deadline") {
  const auto line = stream_origin{.service = "s"};
  auto queue = late_queue();
  auto second = late_queue_entry(queue, line, 2s);
  auto first = late_queue_entry(queue, line, 1s);
  CHECK(first.is_first());
  CHECK_FALSE(second.is_first());
  first.start();
  CHECK(second.is_first());
  CHECK(count_running(queue, "s") == 1);
  {
    auto gone = late_queue_entry(queue, line, 500ms);
    CHECK_FALSE(second.is_first());
  }
  CHECK(second.is_first());
}

// A service or version without room would hold up all late requests, and all
// batch items with them.
TEST_CASE("late requests wait for those of their service and version only") {
  const auto line = stream_origin{.service = "s", .version = "v1"};
  const auto* service = GENERATE("s", "t");
  const auto* version = GENERATE("", "v2");
  CAPTURE(service, version);
  auto queue = late_queue();
  {
    auto blocked = late_queue_entry(queue, line, 1s);
    CHECK(services_waited_for(queue).contains("s"));
    CHECK_FALSE(services_waited_for(queue).contains("t"));
    auto other =
        late_queue_entry(queue, {.service = service, .version = version}, 2s);
    CHECK(other.is_first());
    CHECK(blocked.is_first());
    other.start();
    CHECK(count_running(queue, service) == 1);
  }
  CHECK(services_waited_for(queue).empty());
  CHECK(count_running(queue, service) == 0);
}

namespace {

/// A load after an outage: new requests and those that come back.
struct herd_play {
  std::uint32_t daemons = 4;
  std::size_t targets = 6;
  double fresh_per_second = 55;
  /// Arrivals per second after the peak has ended.
  double low_per_second = 12;
  instant peak_ends = 800ms;
  /// Requests that come back, spread over this time.
  int herd = 60;
  instant herd_spread = 800ms;
};

struct herd_counts {
  int fresh = 0;
  int fresh_in_time = 0;
  int old = 0;
  int old_served = 0;
};

/// Plays the daemons of one data centre, with fresh loads, before engines that
/// admit in order of arrival.
class herd_run {
 public:
  explicit herd_run(const herd_play& play)
      : play_(play), daemons_(play.daemons) {
    targets_.resize(play.targets);
  }

  herd_counts run() {
    auto returns = play_.herd_spread / play_.herd;
    auto next_fresh = instant();
    auto next_old = instant();
    for (; now_ < 8s; now_ += 5ms) {
      while (next_fresh <= now_ && next_fresh < 3s) {
        arrive({.arrived = next_fresh, .left = 5s});
        auto rate = next_fresh < play_.peak_ends ? play_.fresh_per_second
                                                 : play_.low_per_second;
        next_fresh += std::chrono::duration_cast<instant>(
            std::chrono::duration<double>(1 / rate));
      }
      while (next_old <= now_ && next_old < play_.herd_spread) {
        arrive({.arrived = next_old, .left = 3900ms});
        next_old += returns;
      }
      for (auto& it : targets_)
        advance(it);
      for (auto n = std::size_t{0}; n < daemons_.size(); ++n)
        start_held(n);
    }
    return counts_;
  }

 private:
  struct request {
    instant arrived{};
    /// Time left at the arrival.
    instant left{};
    std::size_t daemon = 0;

    bool is_old() const { return left < 5s; }
  };
  struct engine {
    std::vector<std::pair<instant, request>> running;
    std::deque<request> queue;
  };
  struct daemon_state {
    std::deque<request> held;
    std::uint32_t late_running = 0;
    arrival_window arrivals;
  };

  void arrive(request it) {
    it.daemon = ++arrivals_ % daemons_.size();
    ++(it.is_old() ? counts_.old : counts_.fresh);
    if (is_late(it)) {
      daemons_[it.daemon].held.push_back(it);
      return;
    }
    note_arrival(daemons_[it.daemon].arrivals, now_);
    if (auto to = place_online(candidates(), options(it)).target) send(it, *to);
  }

  bool is_late(const request& it) const {
    return gives_way(time_of(it), slot_time);
  }

  caller_time time_of(const request& it) const {
    auto held = now_ - it.arrived;
    return {.goal = 300ms,
            .waited = 5s - it.left,
            .held = held,
            .left = it.left - held,
            .max_silence = 4s};
  }

  placement_options options(const request& it) const {
    return placement_of(time_of(it), slot_time);
  }

  std::vector<candidate> candidates() const {
    auto out = std::vector<candidate>();
    for (const auto& it : targets_) {
      auto online =
          static_cast<std::uint32_t>(it.running.size() + it.queue.size());
      out.push_back({.load = {.online = online}, .slots = 8});
    }
    return out;
  }

  void start_held(std::size_t n) {
    auto& daemon = daemons_[n];
    while (!daemon.held.empty()) {
      auto it = daemon.held.front();
      auto late = is_late(it);
      auto share = 8.0 * static_cast<double>(play_.targets) / play_.daemons;
      auto most = max_late_running(share, arrival_rate(daemon.arrivals, now_),
                                   slot_time);
      if (late && daemon.late_running >= most) return;
      auto placed = late ? place_late(candidates(), options(it))
                         : place_online(candidates(), options(it));
      if (late && !placed.target) return;
      daemon.held.pop_front();
      if (!placed.target) continue;
      ++daemon.late_running;
      send(it, *placed.target);
    }
  }

  void send(const request& it, std::size_t to) {
    targets_[to].queue.push_back(it);
    advance(targets_[to]);
  }

  void advance(engine& it) {
    std::erase_if(it.running, [&](const auto& at) {
      if (at.first > now_) return false;
      if (at.second.is_old()) --daemons_[at.second.daemon].late_running;
      return true;
    });
    while (it.running.size() < 8 && !it.queue.empty()) {
      auto next = it.queue.front();
      it.queue.pop_front();
      it.running.emplace_back(now_ + slot_time, next);
      auto took = now_ - next.arrived + 35ms;
      if (!next.is_old() && took <= 300ms) ++counts_.fresh_in_time;
      if (next.is_old() && took + slot_time <= next.left) ++counts_.old_served;
    }
  }

  herd_play play_;
  std::vector<daemon_state> daemons_;
  std::vector<engine> targets_;
  herd_counts counts_;
  std::size_t arrivals_ = 0;
  instant now_{};
};

}  // namespace

// Without giving way, the requests that come back fill the engines' queues, and
// a third to a half of the new ones miss their goal.
TEST_CASE("after an outage new requests are in time and no other is lost") {
  auto play = GENERATE(herd_play{},
                       herd_play{.daemons = 12,
                                 .targets = 18,
                                 .fresh_per_second = 160,
                                 .low_per_second = 33,
                                 .herd = 170},
                       herd_play{.daemons = 3,
                                 .targets = 3,
                                 .fresh_per_second = 24,
                                 .low_per_second = 8,
                                 .peak_ends = 1500ms,
                                 .herd = 30},
                       herd_play{.targets = 12,
                                 .fresh_per_second = 60,
                                 .low_per_second = 60,
                                 .herd = 150});
  auto counts = herd_run(play).run();
  INFO("new " << counts.fresh << ", in time " << counts.fresh_in_time
              << "; back " << counts.old << ", served " << counts.old_served);
  CHECK(counts.fresh_in_time >= 0.95 * counts.fresh);
  CHECK(counts.old_served == counts.old);
}

TEST_CASE("the longest time limit counts however rare it is") {
  auto limit = observed_time_limit();
  CHECK(longest_time_limit(limit) == 0s);
  note_time_limit(limit, 9s, 100s);
  for (auto n = 0; n < 100; ++n)
    note_time_limit(limit, 2s, 101s);
  CHECK(time_limit(limit) == 2s);
  CHECK(longest_time_limit(limit) == 9s);
}
