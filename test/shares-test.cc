#include "fulmarpitch/core/shares.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <set>

#include "fulmarpitch/core/text.h"

using namespace fulmar;

namespace {

const auto key = limit_key("depot", limit_kind::concurrency);

// Holders that exchange messages over a network that loses, doubles and
// reorders them.
struct exchange {
  exchange(std::size_t n, std::uint32_t limit, std::uint64_t seed)
      : limit(limit), random(seed) {
    for (std::size_t i = 0; i < n; ++i)
      names.push_back(concat("pool-", i));
    for (const auto& it : names)
      ledgers.push_back(new_ledger(it));
  }

  share_ledger new_ledger(const std::string& name) {
    auto ledger =
        share_ledger({.holder = name, .start = ++starts, .holders = names});
    ledger.set_limit(key, limit, 1);
    return ledger;
  }

  void round(double loss) {
    auto chance = std::uniform_real_distribution<double>();
    for (std::size_t i = 0; i < names.size(); ++i) {
      ledgers[i].move();
      for (std::size_t j = 0; j < names.size(); ++j) {
        if (i == j || cut.contains(i) || cut.contains(j)) continue;
        if (chance(random) < loss) continue;
        queue.push_back(ledgers[i].message_to(names[j]));
        if (chance(random) < loss) queue.push_back(queue.back());
      }
    }
    std::shuffle(queue.begin(), queue.end(), random);
    auto late = static_cast<std::size_t>(loss * 20);
    while (queue.size() > late) {
      for (auto& it : ledgers)
        it.receive(queue.front());
      queue.pop_front();
    }
  }

  std::uint64_t sum() const {
    auto total = std::uint64_t{0};
    for (const auto& it : ledgers)
      total += it.share(key);
    return total;
  }

  std::uint32_t limit;
  std::uint64_t starts = 0;
  std::mt19937_64 random;
  std::vector<std::string> names;
  std::vector<share_ledger> ledgers;
  std::deque<share_message> queue;
  std::set<std::size_t> cut;
};

}  // namespace

TEST_CASE("the shares in force never exceed the limit") {
  rc::prop("loss, duplicates, reordering, cuts", [] {
    auto n = *rc::gen::inRange<std::size_t>(1, 12);
    auto limit = *rc::gen::inRange<std::uint32_t>(0, 500);
    auto it = exchange(n, limit, *rc::gen::arbitrary<std::uint64_t>());
    RC_ASSERT(it.sum() == limit);
    for (auto turn = 0; turn < 60; ++turn) {
      auto at = it.random() % n;
      it.ledgers[at].set_demand(key, it.random() % 300);
      if (it.random() % 10 == 0) it.cut.insert(it.random() % n);
      if (it.random() % 10 == 0) it.cut.clear();
      it.round(0.2);
      RC_ASSERT(it.sum() <= limit);
    }
  });
}

TEST_CASE("shares follow demand") {
  rc::prop("every holder gets its part", [] {
    auto n = *rc::gen::inRange<std::size_t>(2, 12);
    auto limit = *rc::gen::inRange<std::uint32_t>(1, 500);
    auto it = exchange(n, limit, *rc::gen::arbitrary<std::uint64_t>());
    auto demands = std::vector<std::uint64_t>();
    auto total = std::uint64_t{0};
    for (auto& ledger : it.ledgers) {
      demands.push_back(*rc::gen::inRange<std::uint32_t>(0, 200));
      ledger.set_demand(key, static_cast<std::uint32_t>(demands.back()));
      total += demands.back();
    }
    for (auto turn = 0; turn < 300; ++turn)
      it.round(0.1);
    for (auto turn = 0; turn < 3; ++turn)
      it.round(0);
    RC_ASSERT(it.sum() == limit);
    for (std::size_t i = 0; i < n; ++i) {
      auto due = total <= limit ? demands[i] : limit * demands[i] / total;
      RC_ASSERT(it.ledgers[i].share(key) >= due);
    }
  });
}

TEST_CASE("a holder that is cut off keeps its share") {
  auto it = exchange(3, 90, 7);
  it.ledgers[0].set_demand(key, 60);
  for (auto turn = 0; turn < 50; ++turn)
    it.round(0);
  auto before = it.ledgers[0].share(key);
  CHECK(before >= 60);
  it.cut = {0};
  it.ledgers[0].set_demand(key, 0);
  it.ledgers[1].set_demand(key, 90);
  it.ledgers[2].set_demand(key, 90);
  for (auto turn = 0; turn < 50; ++turn) {
    it.round(0);
    CHECK(it.sum() <= 90);
  }
  // What it grants while cut off is heard when it heals.
  it.cut.clear();
  for (auto turn = 0; turn < 50; ++turn)
    it.round(0);
  CHECK(it.ledgers[0].share(key) == 0);
  CHECK(it.sum() == 90);
}

TEST_CASE("a lost holder exceeds the limit by its base share at most") {
  rc::prop("restarts without memory", [] {
    auto n = *rc::gen::inRange<std::size_t>(2, 12);
    auto limit = *rc::gen::inRange<std::uint32_t>(1, 500);
    auto it = exchange(n, limit, *rc::gen::arbitrary<std::uint64_t>());
    for (auto turn = 0; turn < 40; ++turn) {
      it.ledgers[it.random() % n].set_demand(key, it.random() % 300);
      it.round(0.2);
    }
    auto lost = it.random() % n;
    it.ledgers[lost] = it.new_ledger(it.names[lost]);
    auto bound = limit + limit / n + 1;
    RC_ASSERT(it.sum() <= bound);
    for (auto turn = 0; turn < 40; ++turn) {
      it.round(0.2);
      RC_ASSERT(it.sum() <= bound);
    }
    for (auto turn = 0; turn < 5; ++turn)
      it.round(0);
    RC_ASSERT(it.sum() <= limit);
  });
}

TEST_CASE("late grants of a lost holder are not taken") {
  auto it = exchange(2, 100, 1);
  it.ledgers[1].set_demand(key, 100);
  for (auto turn = 0; turn < 3; ++turn)
    it.round(0);
  it.ledgers[0].move();
  auto late = it.ledgers[0].message_to(it.names[1]);
  it.ledgers[0] = it.new_ledger(it.names[0]);
  it.ledgers[1].set_demand(key, 0);
  for (auto turn = 0; turn < 3; ++turn)
    it.round(0);
  CHECK(it.sum() == 100);
  it.ledgers[1].receive(late);
  CHECK(it.sum() == 100);
}

TEST_CASE("with many limits the ones that change go first") {
  auto names = std::vector<std::string>{"a", "b"};
  auto a = share_ledger({.holder = "a", .holders = names});
  auto b = share_ledger({.holder = "b", .holders = names});
  constexpr std::uint64_t limits = 720;
  for (std::uint64_t it = 1; it <= limits; ++it) {
    a.set_limit(it, 100, 1);
    b.set_limit(it, 100, 1);
  }
  auto round = [&] {
    b.receive(a.message_to("b"));
    a.receive(b.message_to("a"));
    a.move();
    b.move();
  };
  for (std::uint64_t it = 0; it < limits; ++it)
    round();
  CHECK(a.message_to("b").entries.size() == 4);
  a.set_demand(700, 90);
  for (auto i = 0; i < 10; ++i)
    round();
  CHECK(a.share(700) >= 90);
  CHECK(a.share(700) + b.share(700) <= 100);
}

TEST_CASE("messages of another generation or holder are ignored") {
  auto a = share_ledger({.holder = "a", .holders = {"a", "b"}});
  a.set_limit(key, 10, 2);
  auto entry = share_entry{.key = key, .generation = 1, .granted = 5};
  a.receive({.from = "b", .to = "a", .entries = {entry}});
  entry.generation = 2;
  a.receive({.from = "b", .to = "c", .entries = {entry}});
  a.receive({.from = "stranger", .to = "a", .entries = {entry}});
  CHECK(a.share(key) == 5);
  a.receive({.from = "b", .to = "a", .heard_start = 1, .entries = {entry}});
  CHECK(a.share(key) == 10);
  a.set_limit(key, 20, 1);
  CHECK(a.share(key) == 10);
  a.set_limit(key, 20, 3);
  CHECK(a.share(key) == 10);
}
