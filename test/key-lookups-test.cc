#include "fulmarpitch/teams/key-lookups.h"

#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <vector>

using namespace fulmar;
using namespace fulmar::teams;
using namespace std::chrono_literals;

namespace {

constexpr auto start = instant(1000s);

key_question asking(std::uint64_t key, instant arrived) {
  return {.key = key, .version = 5, .arrived = arrived};
}

/// Runs a look-up that takes no time.
void look_up(key_lookups& in, lookup_end how, instant now) {
  begin_lookup(in, now);
  end_lookup(in, how);
}

}  // namespace

TEST_CASE("the first unknown key begins a look-up, later ones wait for it") {
  auto it = key_lookups();
  CHECK(plan_lookup(it, asking(1, start), start).step == lookup_step::begin);
  begin_lookup(it, start);
  auto later = plan_lookup(it, asking(2, start + 3ms), start + 3ms);
  CHECK(later.step == lookup_step::wait);
  CHECK(later.until == start + 203ms);
}

TEST_CASE("a look-up answers the requests that arrived before it began") {
  auto it = key_lookups();
  begin_lookup(it, start);
  auto before = asking(1, start);
  auto after = asking(2, start + 1ms);
  end_lookup(it, lookup_end::current);
  CHECK(plan_lookup(it, before, start + 8ms).step == lookup_step::refuse);
  auto plan = plan_lookup(it, after, start + 8ms);
  CHECK(plan.step == lookup_step::wait);
  CHECK(plan.until == start + 100ms);
  look_up(it, lookup_end::current, start + 100ms);
  CHECK(plan_lookup(it, after, start + 100ms).step == lookup_step::refuse);
}

TEST_CASE("nothing is refused as unknown while nobody can tell") {
  auto it = key_lookups();
  look_up(it, lookup_end::unconfirmed, start);
  auto plan = plan_lookup(it, asking(1, start), start + 90ms);
  CHECK(plan.step == lookup_step::give_up);
  CHECK(plan.retry_after >= 200ms);
  CHECK(plan.retry_after <= 1s);
}

TEST_CASE("a request is not kept waiting beyond its time") {
  auto it = key_lookups();
  begin_lookup(it, start);
  CHECK(plan_lookup(it, asking(1, start), start + 199ms).step ==
        lookup_step::wait);
  CHECK(plan_lookup(it, asking(1, start), start + 200ms).step ==
        lookup_step::give_up);
  end_lookup(it, lookup_end::current);
  for (auto n = 0; n < it.options.burst; ++n)
    look_up(it, lookup_end::current, start);
  auto now = start + 100ms;
  auto plan = plan_lookup(it, asking(2, now), now);
  CHECK(plan.step == lookup_step::give_up);
  CHECK(plan.retry_after == 900ms);
}

TEST_CASE("a remembered key is refused while its version is confirmed") {
  auto it = key_lookups();
  auto question = asking(1, start);
  look_up(it, lookup_end::current, start);
  remember_unknown(it, question);
  question.arrived = start + 1900ms;
  CHECK(plan_lookup(it, question, question.arrived).step ==
        lookup_step::refuse);
  SECTION("no longer than it is trusted") {
    question.arrived = start + 2s;
    CHECK(plan_lookup(it, question, question.arrived).step ==
          lookup_step::begin);
  }
  SECTION("for longer if the store is followed") {
    question.arrived = start + 60s;
    question.confirmed = start + 59s;
    CHECK(plan_lookup(it, question, question.arrived).step ==
          lookup_step::refuse);
  }
  SECTION("not in a newer version") {
    question.version = 6;
    CHECK(plan_lookup(it, question, question.arrived).step ==
          lookup_step::begin);
  }
  SECTION("not another key") {
    question.key = 2;
    CHECK(plan_lookup(it, question, question.arrived).step ==
          lookup_step::begin);
  }
  SECTION("not after the process stood still") {
    note_pause(it);
    CHECK(plan_lookup(it, question, question.arrived).step ==
          lookup_step::begin);
  }
}

TEST_CASE("after a few look-ups that bring nothing there is one a second") {
  auto it = key_lookups();
  auto how = lookup_end::unconfirmed;
  auto began = std::vector<instant>();
  auto run = [&](instant from, instant to) {
    began.clear();
    for (auto now = from; now < to; now += 1ms) {
      if (plan_lookup(it, asking(1, now), now).step != lookup_step::begin)
        continue;
      look_up(it, how, now);
      began.push_back(now - from);
    }
  };
  run(start, start + 20s);
  auto burst = static_cast<std::size_t>(it.options.burst);
  REQUIRE(began.size() > burst + 3);
  for (auto n = std::size_t{1}; n <= burst; ++n)
    CHECK(began[n] - began[n - 1] == 100ms);
  CHECK(began.size() <= burst + 20);
  for (auto n = burst + 2; n < began.size(); ++n)
    CHECK(began[n] - began[n - 1] == 1s);
  SECTION("and a few again after a quiet time") {
    run(start + 60s, start + 61s);
    CHECK(began.size() == burst + 1);
  }
  SECTION("those that bring a newer configuration do not count") {
    how = lookup_end::newer;
    run(start + 60s, start + 65s);
    CHECK(began.size() == 50);
  }
}

TEST_CASE("a bounded number of unknown keys is remembered") {
  auto it = key_lookups();
  for (auto n = std::uint64_t{0}; n < 5000; ++n) {
    auto question = asking(n, start);
    question.version = n % 3;
    remember_unknown(it, question);
  }
  CHECK(it.unknown.size() == it.options.max_remembered);
  CHECK(it.order.size() == it.options.max_remembered);
  CHECK(it.unknown.contains(4999));
}

namespace {

/// A daemon behind a store that takes a while to answer, and clients: most
/// guess keys, one uses a key that the operator adds meanwhile.
class play {
 public:
  struct request {
    std::uint64_t key = 0;
    instant arrived{};
  };

  instant latency = 5ms;
  /// Guessed keys in each millisecond.
  int guesses_per_ms = 1;
  /// How many different ones.
  std::uint64_t guessed_keys = 100'000;
  instant key_added = 20s;
  bool store_answers = true;

  int lookups = 0;
  int refused_guesses = 0;
  int given_up = 0;
  int refused_new_key = 0;
  std::optional<instant> served_new_key;

  void run(instant time) {
    for (now_ = start; now_ < start + time; now_ += 1ms)
      step();
  }

 private:
  static constexpr std::uint64_t new_key = 1;

  void step() {
    if (ends_at_ && now_ >= *ends_at_) end();
    for (auto n = 0; n < guesses_per_ms; ++n)
      waiting_.push_back({2 + guess_++ % guessed_keys, now_});
    auto added = now_ - start >= key_added;
    if (added && !served_new_key && !new_key_waits_ &&
        now_ >= new_key_returns_) {
      new_key_waits_ = true;
      waiting_.push_back({new_key, now_});
    }
    std::erase_if(waiting_, [&](const auto& it) { return answer(it); });
  }

  void end() {
    auto newer = store_answers && stored_at_begin_ > version_;
    if (newer) version_ = stored_at_begin_;
    end_lookup(lookups_, !store_answers ? lookup_end::unconfirmed
                         : newer        ? lookup_end::newer
                                        : lookup_end::current);
    ends_at_.reset();
  }

  /// \return whether the request was answered.
  bool answer(const request& it) {
    auto is_new = it.key == new_key;
    if (is_new && version_ == 2) {
      served_new_key = now_ - start;
      return true;
    }
    auto plan = plan_lookup(
        lookups_, {.key = it.key, .version = version_, .arrived = it.arrived},
        now_);
    if (plan.step == lookup_step::begin) {
      begin_lookup(lookups_, now_);
      ++lookups;
      stored_at_begin_ = now_ - start >= key_added ? 2 : 1;
      ends_at_ = now_ + latency;
      return false;
    }
    if (plan.step == lookup_step::wait) return false;
    auto refused = plan.step == lookup_step::refuse;
    if (refused)
      remember_unknown(lookups_, {.key = it.key, .version = version_});
    if (is_new) {
      refused_new_key += refused ? 1 : 0;
      new_key_waits_ = false;
      new_key_returns_ = now_ + plan.retry_after;
    } else {
      (refused ? refused_guesses : given_up) += 1;
    }
    return true;
  }

  key_lookups lookups_;
  std::vector<request> waiting_;
  std::uint64_t guess_ = 0;
  std::uint64_t version_ = 1;
  std::uint64_t stored_at_begin_ = 1;
  std::optional<instant> ends_at_;
  bool new_key_waits_ = false;
  instant new_key_returns_{};
  instant now_{};
};

}  // namespace

TEST_CASE("guessed keys cost one look-up a second, whatever their number") {
  auto it = play();
  it.run(30s);
  CHECK(it.lookups <= 30 + 9);
  CHECK(it.refused_new_key == 0);
  REQUIRE(it.served_new_key);
  CHECK(*it.served_new_key < it.key_added + 2s);
}

TEST_CASE("keys that were taken away are refused, without further look-ups") {
  auto it = play();
  it.guessed_keys = 20;
  it.key_added = 100s;
  it.run(30s);
  CHECK(it.lookups <= 30 + 9);
  CHECK(it.refused_guesses > 29'000);
}

TEST_CASE("without an answer of the store no key is refused as unknown") {
  auto it = play();
  it.store_answers = false;
  it.latency = 300ms;
  it.run(30s);
  CHECK(it.refused_guesses == 0);
  CHECK(it.refused_new_key == 0);
  CHECK(it.lookups <= 30 + 9);
}

TEST_CASE("a key that was just added is never refused as unknown") {
  rc::check([] {
    auto it = play();
    it.latency = 1ms * *rc::gen::inRange(1, 150);
    it.guesses_per_ms = *rc::gen::inRange(0, 3);
    it.guessed_keys = *rc::gen::element<std::uint64_t>(1, 10, 1'000'000);
    it.key_added = 1ms * *rc::gen::inRange(0, 3000);
    it.run(it.key_added + 5s);
    RC_ASSERT(it.refused_new_key == 0);
    RC_ASSERT(it.served_new_key.has_value());
    RC_ASSERT(*it.served_new_key <= it.key_added + 4s);
  });
}
