#include <catch2/catch.hpp>
#include <random>

#include "fulmarpitch/core/orders.h"

using namespace fulmar;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

std::vector<placement_target> eight_targets() {
  auto targets = std::vector<placement_target>();
  for (auto i = 0; i < 8; ++i) {
    targets.push_back(
        {.name = "runner-" + std::to_string(i), .model = i < 4 ? "a" : "b"});
  }
  return targets;
}

// Carries moves out at once; returns how many there were.
int settle(std::vector<placement_target>& targets,
           const std::vector<model_demand>& demands, instant now) {
  auto moves = 0;
  while (auto order = place_models(demands, targets, {}, now)) {
    for (auto& it : targets) {
      if (it.name != order->target) continue;
      it.model = order->value;
      it.changed_at = now;
    }
    ++moves;
  }
  return moves;
}

}  // namespace

TEST_CASE("placement follows demand") {
  auto targets = eight_targets();
  auto moves = settle(targets, {{"a", 4500}, {"b", 500}}, minutes(60));
  CHECK(moves == 2);
}

TEST_CASE("demand that swings within the band moves nothing") {
  auto targets = eight_targets();
  auto random = std::mt19937_64(1);
  auto moves = 0;
  for (auto now = instant(minutes(60)); now < minutes(300);
       now += seconds(10)) {
    auto a = 2600.0 + static_cast<double>(random() % 700);
    moves += settle(targets, {{"a", a}, {"b", 6000 - a}}, now);
  }
  CHECK(moves == 0);
}

TEST_CASE("a target keeps its model for the hold time") {
  auto targets = eight_targets();
  for (auto& it : targets)
    it.changed_at = minutes(59);
  auto demands = std::vector<model_demand>{{"a", 4500}, {"b", 500}};
  CHECK(settle(targets, demands, minutes(60)) == 0);
  CHECK(settle(targets, demands, minutes(70)) == 2);
}

TEST_CASE("a model keeps its least targets, leaving ones are left alone") {
  auto targets = eight_targets();
  CHECK(settle(targets, {{"a", 90000}, {"b", 0, 2}}, minutes(60)) == 2);
  targets = eight_targets();
  for (auto& it : targets)
    it.leaving = it.model == "b";
  CHECK(settle(targets, {{"a", 90000}, {"b", 0}}, minutes(60)) == 0);
}

TEST_CASE("a new model gets a target") {
  auto targets = eight_targets();
  auto demands = std::vector<model_demand>{{"a", 100}, {"b", 100}, {"c", 50}};
  CHECK(settle(targets, demands, minutes(60)) == 1);
}
