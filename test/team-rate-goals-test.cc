// The shares of what rates allow that are to be admitted: in calm, with hot
// teams, while daemons are cut off, and after a restart of all.

#include <catch2/catch.hpp>

#include "rate-play.h"

using namespace fulmar;
using namespace fulmar::teams;
using namespace fulmar::teams::play;
using namespace std::chrono_literals;

TEST_CASE("in calm nearly all that the rates allow is admitted") {
  auto play = rate_play({.seed = 3});
  play.when(10s, [&play] { play.reset_counts(); });
  play.run();
  CHECK(play.max_excess() <= 0);
  INFO(play.bytes_per_daemon_second() << " bytes a second");
  CHECK(play.admitted_share() >= 0.98);
}

TEST_CASE("hot teams are admitted up to their rates") {
  auto play = rate_play({.seed = 4});
  play.when(10s, [&play] {
    play.reset_counts();
    for (auto team : {0, 1, 8, 30, 60})
      play.heat(static_cast<std::size_t>(team), 6, 20s);
  });
  play.run();
  CHECK(play.max_excess() <= 0);
  CHECK(play.admitted_share() >= 0.98);
}

TEST_CASE("most is admitted while a third of the daemons is cut off") {
  auto keeps_clients = GENERATE(true, false);
  auto reaches_store = GENERATE(true, false);
  auto play = rate_play({.seed = 5});
  play.when(10s, [&] {
    for (auto n = std::size_t{0}; n < play.daemon_count(); n += 3)
      play.cut_off(n,
                   {.group = static_cast<int>(n) + 1,
                    .reaches_store = reaches_store,
                    .keeps_clients = keeps_clients},
                   12s);
    play.reset_counts();
  });
  auto share = 0.0;
  play.when(22s, [&] { share = play.admitted_share(); });
  play.run();
  CAPTURE(keeps_clients, reaches_store);
  CHECK(play.max_excess() <= 0);
  CHECK(share >= 0.90);
}

TEST_CASE("two windows after a restart of all most is admitted again") {
  auto play = rate_play({.seed = 6});
  play.when(10s, [&] {
    for (auto n = std::size_t{0}; n < play.daemon_count(); ++n)
      play.restart(n, span(play.uniform(0.8, 1.2)));
  });
  play.when(15s, [&play] { play.reset_counts(); });
  auto share = 0.0;
  play.when(20s, [&] { share = play.admitted_share(); });
  play.run();
  CHECK(play.max_excess() <= 0);
  CHECK(share >= 0.95);
}
