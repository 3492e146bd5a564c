// Simulates the placement of online requests by many daemons of a data centre
// and counts the connections that they open.

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

#include "fulmarpitch/serving/placement.h"

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t daemons = 50;
constexpr std::size_t targets = 27;
constexpr std::uint32_t slots = 8;
constexpr auto request_time = 700ms;
constexpr auto link_idle_limit = 4s;
constexpr auto play_time = 60s;

/// A request in flight.
struct running {
  std::size_t daemon = 0;
  std::size_t target = 0;
  instant end{};
};

/// Close times of a daemon's idle connections to a target.
using idle_links = std::vector<instant>;

struct outcome {
  std::uint32_t arrivals = 0;
  std::uint32_t opened = 0;
  std::uint32_t beyond_slots = 0;
};

void finish_until(instant now, std::vector<running>& under_way,
                  std::vector<std::uint32_t>& load,
                  std::vector<std::vector<idle_links>>& idle) {
  std::erase_if(under_way, [&](const running& it) {
    if (it.end > now) return false;
    --load[it.target];
    idle[it.daemon][it.target].push_back(it.end + link_idle_limit);
    return true;
  });
}

/// \param per_second arrival rate over all daemons.
outcome play(double per_second) {
  auto random = std::mt19937_64(1);
  auto gap = std::exponential_distribution<double>(per_second);
  auto out = outcome();
  auto under_way = std::vector<running>();
  auto load = std::vector<std::uint32_t>(targets);
  auto idle = std::vector<std::vector<idle_links>>(
      daemons, std::vector<idle_links>(targets));
  auto now = 0.0;
  for (;;) {
    now += gap(random);
    auto at =
        std::chrono::duration_cast<instant>(std::chrono::duration<double>(now));
    if (at > play_time) return out;
    finish_until(at, under_way, load, idle);
    auto daemon = random() % daemons;
    auto among = std::vector<candidate>();
    for (auto n = std::size_t{0}; n < targets; ++n) {
      auto& links = idle[daemon][n];
      std::erase_if(links, [&](instant end) { return end <= at; });
      among.push_back({.load = {.online = load[n]},
                       .slots = slots,
                       .linked = !links.empty(),
                       .tie = random()});
    }
    auto placed = place_online(among, {});
    REQUIRE(placed.target);
    auto& links = idle[daemon][*placed.target];
    ++out.arrivals;
    if (links.empty()) {
      ++out.opened;
    } else {
      links.pop_back();
    }
    if (++load[*placed.target] > slots) ++out.beyond_slots;
    under_way.push_back(
        {.daemon = daemon, .target = *placed.target, .end = at + request_time});
  }
}

}  // namespace

TEST_CASE("fifty daemons open few connections and fill no target") {
  // Half of the slots are in use.
  auto it = play(targets * slots / 0.7 / 2);
  CHECK(it.arrivals > 5000);
  CHECK(it.opened * 10 < it.arrivals);
  CHECK(it.beyond_slots == 0);
}
