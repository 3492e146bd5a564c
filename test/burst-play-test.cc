// Simulates bursts that exceed the slots and checks the callers' outcomes.

#include <catch2/catch.hpp>
#include <deque>
#include <queue>

#include "fulmarpitch/serving/placement.h"
#include "fulmarpitch/serving/returns.h"

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

constexpr instant goal = 300ms;
constexpr instant caller_timeout = 5s;
constexpr instant slot_time = 750ms;
constexpr instant first_output = 35ms;
constexpr std::uint32_t slots = 8;

/// Clients abandon a stream without an event for longer than this.
constexpr instant max_stream_silence = 2s;

struct play_options {
  std::size_t targets = 4;
  double peak_per_second = 77;
  double low_per_second = 16;
  instant peak = 2400ms;
  instant low = 3400ms;
  int cycles = 6;
};

struct outcome_counts {
  int sent = 0;
  int in_time = 0;
  /// Refused first, and in time after the retry.
  int in_time_again = 0;
  int late = 0;
  int lost = 0;

  double share(int of) const { return static_cast<double>(of) / sent; }
};

/// A client's request; it is retried at most once.
struct caller {
  instant first{};
  /// Time of the last attempt.
  instant came{};
  bool returned = false;
};

struct event {
  instant at{};
  /// The arriving request; if unset, a request at the target completes.
  std::optional<caller> arrives;
  std::size_t target = 0;

  bool operator>(const event& it) const { return at > it.at; }
};

struct play_target {
  std::uint32_t running = 0;
  std::deque<caller> queue;
};

/// Simulated targets that admit in order of arrival, as engines do.
class play {
 public:
  explicit play(const play_options& options)
      : options_(options), targets_(options.targets) {}

  outcome_counts run() {
    add_arrivals();
    while (!events_.empty()) {
      auto it = events_.top();
      events_.pop();
      now_ = it.at;
      if (it.arrives) {
        arrive(*it.arrives);
      } else {
        end_slot(it.target);
      }
    }
    return counts_;
  }

 private:
  void add_arrivals() {
    auto at = instant();
    auto cycle = options_.peak + options_.low;
    while (at < cycle * options_.cycles) {
      events_.push({.at = at, .arrives = caller{.first = at, .came = at}});
      ++counts_.sent;
      auto rate = at % cycle < options_.peak ? options_.peak_per_second
                                             : options_.low_per_second;
      at += std::chrono::duration_cast<instant>(
          std::chrono::duration<double>(1 / rate));
    }
  }

  void arrive(const caller& it) {
    auto among = std::vector<candidate>();
    for (const auto& target : targets_) {
      auto online =
          target.running + static_cast<std::uint32_t>(target.queue.size());
      among.push_back({.load = {.online = online}, .slots = slots});
    }
    auto placed = place_online(
        among, placement_of({.goal = goal,
                             .waited = it.came - it.first,
                             .left = it.first + caller_timeout - now_},
                            slot_time));
    if (placed.target) {
      targets_[*placed.target].queue.push_back(it);
      fill(*placed.target);
    } else if (it.returned) {
      ++counts_.lost;
    } else {
      auto back =
          now_ + promise_return(
                     returns_,
                     {.wait = placed.wait,
                      .slot_time = slot_time,
                      .slots = static_cast<double>(slots * targets_.size())},
                     now_);
      events_.push({.at = back,
                    .arrives = caller{
                        .first = it.first, .came = back, .returned = true}});
    }
  }

  void fill(std::size_t n) {
    auto& target = targets_[n];
    while (target.running < slots && !target.queue.empty()) {
      begin(target.queue.front());
      target.queue.pop_front();
      ++target.running;
      events_.push({.at = now_ + slot_time, .target = n});
    }
  }

  void begin(const caller& it) {
    auto took = now_ + first_output - it.first;
    auto silence = now_ + first_output - it.came;
    if (took > caller_timeout - slot_time || silence > max_stream_silence) {
      ++counts_.lost;
    } else {
      auto& count = took <= goal      ? counts_.in_time
                    : silence <= goal ? counts_.in_time_again
                                      : counts_.late;
      ++count;
    }
  }

  void end_slot(std::size_t n) {
    --targets_[n].running;
    fill(n);
  }

  play_options options_;
  std::vector<play_target> targets_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  return_book returns_;
  instant now_{};
  outcome_counts counts_;
};

}  // namespace

TEST_CASE("no caller is lost in bursts that the lows can make up for") {
  auto options = GENERATE(play_options{}, play_options{.peak_per_second = 60},
                          play_options{.targets = 5},
                          play_options{.targets = 6, .peak_per_second = 110},
                          play_options{.targets = 7, .peak_per_second = 110});
  auto counts = play(options).run();
  INFO("in time " << counts.share(counts.in_time) << ", after a return "
                  << counts.share(counts.in_time_again) << ", late "
                  << counts.share(counts.late) << ", lost "
                  << counts.share(counts.lost));
  CHECK(counts.lost == 0);
  CHECK(counts.in_time + counts.in_time_again > counts.late);
}

TEST_CASE("a load that fits is served in time") {
  auto counts = play({.targets = 8, .peak_per_second = 77}).run();
  CHECK(counts.in_time == counts.sent);
}
