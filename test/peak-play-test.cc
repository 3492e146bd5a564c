// Simulates peaks that come to all data centres at once, with loads of the
// other data centres that are half a second old, and counts late callers.

#include <catch2/catch.hpp>

#include <array>
#include <deque>
#include <random>
#include <vector>

#include "fulmarpitch/serving/placement.h"

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

constexpr instant goal = 300ms;
constexpr instant slot_time = 800ms;
constexpr instant first_output = 20ms;
constexpr instant far_round_trip = 60ms;
constexpr instant report_interval = 500ms;
constexpr instant length = 30s;
constexpr std::size_t data_centres = 3;

struct peak_play {
  std::size_t targets = 6;
  double peak_per_second = 55;
  double low_per_second = 12;
  instant period = 5200ms;
  instant peak = 2200ms;
  /// Whether a short queue at home goes before a slot elsewhere.
  bool queue_first = true;
};

struct engine {
  std::vector<instant> ends;
  /// Time at which each waiting request counts as late.
  std::deque<instant> latest_starts;

  std::uint32_t online() const {
    return static_cast<std::uint32_t>(ends.size() + latest_starts.size());
  }
};

/// \return the number of late callers.
int count_late(const peak_play& play, unsigned seed) {
  auto random = std::mt19937(seed);
  auto chance = std::uniform_real_distribution<double>(0, 1);
  auto engines = std::array<std::vector<engine>, data_centres>();
  auto reported = std::array<std::vector<std::uint32_t>, data_centres>();
  for (auto dc = std::size_t{0}; dc < data_centres; ++dc) {
    engines[dc].resize(play.targets);
    reported[dc].resize(play.targets);
  }
  auto late = 0;
  constexpr auto step = instant(5ms);
  for (auto now = instant(); now < length; now += step) {
    for (auto dc = std::size_t{0}; dc < data_centres; ++dc) {
      for (auto n = std::size_t{0}; n < play.targets; ++n) {
        auto& it = engines[dc][n];
        std::erase_if(it.ends, [&](instant end) { return end <= now; });
        while (it.ends.size() < 8 && !it.latest_starts.empty()) {
          if (now > it.latest_starts.front()) ++late;
          it.latest_starts.pop_front();
          it.ends.push_back(now + slot_time);
        }
        if (now % report_interval < step) reported[dc][n] = it.online();
      }
    }
    auto rate = now % play.period < play.peak ? play.peak_per_second
                                              : play.low_per_second;
    for (auto home = std::size_t{0}; home < data_centres; ++home) {
      if (chance(random) > rate * 0.005) continue;
      auto among = std::vector<candidate>();
      for (auto dc = std::size_t{0}; dc < data_centres; ++dc) {
        for (auto n = std::size_t{0}; n < play.targets; ++n) {
          auto is_home = dc == home;
          among.push_back(
              {.load = {.online = is_home ? engines[dc][n].online()
                                          : reported[dc][n]},
               .slots = 8,
               .away = is_home ? distance::data_centre : distance::other_region,
               .tie = random()});
        }
      }
      auto options = placement_of({.goal = goal, .left = 5s}, slot_time);
      if (!play.queue_first) options.max_home_wait = -1us;
      auto to = place_online(among, options).target;
      if (!to) {
        ++late;
        continue;
      }
      auto dc = *to / play.targets;
      auto trip = dc == home ? instant() : far_round_trip;
      engines[dc][*to % play.targets].latest_starts.push_back(
          now + goal - first_output - trip);
    }
  }
  return late;
}

}  // namespace

TEST_CASE("in peaks everywhere a short queue at home serves more in time") {
  auto play = GENERATE(
      peak_play{}, peak_play{.peak_per_second = 60},
      peak_play{.targets = 12, .peak_per_second = 118},
      peak_play{.targets = 3, .peak_per_second = 28, .period = 9s, .peak = 5s});
  auto with = 0;
  auto without = 0;
  for (auto seed = 1U; seed <= 5; ++seed) {
    with += count_late(play, seed);
    play.queue_first = false;
    without += count_late(play, seed);
    play.queue_first = true;
  }
  INFO("late " << with << ", with slots elsewhere first " << without);
  CHECK(with < without);
}
