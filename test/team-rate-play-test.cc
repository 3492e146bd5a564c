// Plays daemons that hold teams to their rates: no window ever exceeds the
// bound, and little below the rates is refused. FULMAR_RATE_SEEDS sets the
// number of random plays, FULMAR_RATE_FIRST_SEED the first of them.

#include <catch2/catch.hpp>
#include <cstdlib>

#include "rate-play.h"

using namespace fulmar;
using namespace fulmar::teams;
using namespace fulmar::teams::play;
using namespace std::chrono_literals;

namespace {

/// \return the first and the last seed.
std::pair<std::uint64_t, std::uint64_t> seeds_to_play() {
  constexpr std::uint64_t in_ci = 6;
  auto number = [](const char* name, std::uint64_t otherwise) {
    const auto* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
  };
  auto first = number("FULMAR_RATE_FIRST_SEED", 1);
  return {first, first - 1 + number("FULMAR_RATE_SEEDS", in_ci)};
}

/// Draws daemons, each with a probability.
std::vector<std::size_t> some_daemons(rate_play& play, double share) {
  auto out = std::vector<std::size_t>();
  for (auto n = std::size_t{0}; n < play.daemon_count(); ++n) {
    if (play.uniform(0, 1) < share) out.push_back(n);
  }
  return out;
}

cut random_cut(rate_play& play, int group) {
  auto both = play.uniform(0, 1) < 0.7;
  auto hears = play.uniform(0, 1) < 0.5;
  return {.group = group,
          .sends = both || hears,
          .hears = both || !hears,
          .reaches_store = play.uniform(0, 1) < 0.5,
          .keeps_clients = play.uniform(0, 1) < 0.7};
}

void random_kill(rate_play& play) {
  auto share = play.uniform(0, 1) < 0.2 ? 1 : play.uniform(0.02, 0.6);
  auto at_once = play.uniform(0, 1) < 0.5;
  play.note(concat("kills ", share, at_once ? " at once" : " within 3 s"));
  for (auto n : some_daemons(play, share)) {
    auto down = span(play.uniform(0.3, 3));
    play.after(at_once ? 0s : span(play.uniform(0, 3)),
               [&play, n, down] { play.restart(n, down); });
  }
}

void random_pause(rate_play& play) {
  auto time = span(play.uniform(0.1, 6));
  auto suspends = play.uniform(0, 1) < 0.5;
  auto share = play.uniform(0.02, 0.5);
  play.note(concat(suspends ? "suspends " : "stops ", share, " for ",
                   seconds(time), " s"));
  for (auto n : some_daemons(play, share))
    play.pause(n, time, suspends);
}

void random_cuts(rate_play& play) {
  auto time = span(play.uniform(0.1, 15));
  auto how = random_cut(play, 0);
  auto each_alone = play.uniform(0, 1) < 0.7;
  auto share = play.uniform(0.02, 0.5);
  play.note(concat("cuts off ", share, each_alone ? " each" : " in groups",
                   " for ", seconds(time), " s, sends ", how.sends, " hears ",
                   how.hears, " store ", how.reaches_store, " clients ",
                   how.keeps_clients));
  for (auto n : some_daemons(play, share)) {
    how.group = each_alone ? static_cast<int>(n) + 1 : 1;
    play.cut_off(n, how, time);
  }
}

void random_loss(rate_play& play) {
  auto loss = play.uniform(0.01, 0.4);
  auto late = play.uniform(0, 0.1);
  play.note(concat("loses ", loss, " and delays by up to ", late, " s"));
  play.set_loss(loss, span(late));
}

/// Draws a disruption and plays it now.
void disrupt(rate_play& play) {
  switch (play.below(9)) {
    case 0:
    case 1:
      return random_kill(play);
    case 2:
    case 3:
      return random_pause(play);
    case 4:
    case 5:
      return random_cuts(play);
    case 6:
      return random_loss(play);
    case 7:
      play.note("adds daemons");
      for (auto n = std::size_t{0}; n < 5; ++n)
        play.join(play.below(6));
      return;
    default:
      play.note("daemons leave");
      for (auto n : some_daemons(play, 0.3))
        play.leave(n, span(play.uniform(0.5, 2)));
  }
}

/// Heats large and small teams, and changes limits.
void vary_load(rate_play& play) {
  for (auto n = 0; n < 4; ++n) {
    auto team = n < 2 ? play.below(4) : play.below(71);
    auto factor = play.uniform(4, 7.5);
    auto time = span(play.uniform(4, 8));
    play.when(span(play.uniform(2, 30)),
              [&play, team, factor, time] { play.heat(team, factor, time); });
  }
  for (auto n = 0; n < 2; ++n) {
    auto team = play.below(20);
    auto factor = play.uniform(0, 1) < 0.5 ? 0.3 : 2.0;
    play.when(span(play.uniform(2, 30)),
              [&play, team, factor] { play.change_limit(team, factor); });
  }
}

}  // namespace

TEST_CASE("no window exceeds the bound whatever happens to the daemons") {
  auto worst = -1e9;
  auto [first, last] = seeds_to_play();
  for (auto seed = first; seed <= last; ++seed) {
    auto play = rate_play({.seed = seed});
    vary_load(play);
    auto disruptions = 2 + play.below(6);
    for (auto n = std::size_t{0}; n < disruptions; ++n)
      play.when(span(play.uniform(1, 32)), [&play] { disrupt(play); });
    play.run();
    INFO("seed " << seed << play.story());
    CHECK(play.max_excess() <= 0);
    worst = std::max(worst, play.max_excess());
  }
  WARN("least room that was left in a window: " << -worst << " requests");
}
