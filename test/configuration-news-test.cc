#include "fulmarpitch/teams/configuration-news.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "fulmarpitch/core/text.h"

using namespace fulmar;
using namespace fulmar::teams;
using namespace std::chrono_literals;

namespace {

constexpr auto start = instant(1000s);
constexpr std::uint64_t own = 4;

std::optional<std::string> choose(const configuration_news& in, instant now,
                                  bool store_lost = false) {
  return choose_holder(in, own, "vm-1", store_lost, now);
}

}  // namespace

TEST_CASE("the store has time to bring a version that others have") {
  auto it = configuration_news();
  note_holder(it, "10.0.0.2", 6, own, start);
  CHECK_FALSE(choose(it, start + 299ms));
  CHECK(choose(it, start + 300ms) == "10.0.0.2");
  CHECK(choose(it, start, true) == "10.0.0.2");
  SECTION("counted from the first who had it") {
    note_holder(it, "10.0.0.2", 6, own, start + 250ms);
    note_holder(it, "10.0.0.3", 7, own, start + 290ms);
    CHECK(choose(it, start + 300ms) == "10.0.0.3");
  }
  SECTION("and is not needed for what is in force") {
    CHECK_FALSE(choose_holder(it, 6, "vm-1", true, start + 1s));
    note_holder(it, "10.0.0.2", 4, own, start + 1s);
    CHECK(it.holders.empty());
  }
}

TEST_CASE("a daemon that gave nothing newer is left alone for a while") {
  auto it = configuration_news();
  note_holder(it, "10.0.0.2", 6, own, start);
  it.fetching = true;
  CHECK_FALSE(choose(it, start + 1s));
  end_fetch(it, "10.0.0.2", own, start + 1s);
  CHECK_FALSE(it.fetching);
  note_holder(it, "10.0.0.2", 6, own, start + 1500ms);
  CHECK_FALSE(choose(it, start + 1999ms));
  CHECK(choose(it, start + 2s) == "10.0.0.2");
  SECTION("while another one is asked") {
    note_holder(it, "10.0.0.3", 6, own, start + 1500ms);
    CHECK(choose(it, start + 1999ms) == "10.0.0.3");
  }
  SECTION("unless it is silent") {
    CHECK_FALSE(choose(it, start + 7s));
  }
}

TEST_CASE("daemons that ask spread over those that have the configuration") {
  auto it = configuration_news();
  for (auto n = 0; n < 6; ++n)
    note_holder(it, concat("10.0.0.", n), 6, own, start);
  auto asked = std::map<std::string, int>();
  for (auto n = 0; n < 300; ++n)
    ++asked[*choose_holder(it, own, concat("vm-", n), true, start)];
  CHECK(asked.size() == 6);
  for (const auto& [address, n] : asked)
    CHECK(n < 100);
}

TEST_CASE("a bounded number of daemons is kept") {
  auto it = configuration_news();
  for (auto n = 0; n < 500; ++n)
    note_holder(it, concat("10.0.0.", n), 6, own, start);
  CHECK(it.holders.size() == it.options.max_holders);
  // Silent ones make room.
  note_holder(it, "10.1.0.1", 6, own, start + 6s);
  CHECK(it.holders.size() == 1);
}

namespace {

/// Daemons of two data centres that report to each other; the store serves only
/// some of them.
class play {
 public:
  struct daemon {
    std::string name;
    int data_centre = 0;
    bool has_store = true;
    std::uint64_t version = 1;
    configuration_news news;
    std::vector<instant> applied;
  };

  /// \param dark tells whether the store turns away the daemon of this number.
  template <typename Dark>
  explicit play(int per_data_centre, Dark dark) {
    for (auto n = 0; n < 2 * per_data_centre; ++n) {
      daemons_.push_back({.name = concat("10.0.0.", n),
                          .data_centre = n / per_data_centre,
                          .has_store = !dark(n)});
    }
  }

  /// The operator changes the configuration; reports pass for a while.
  void change(instant time) {
    ++stored_;
    auto until = now_ + time;
    for (; now_ < until; now_ += 10ms)
      step();
  }

  bool all_have(std::uint64_t version) const {
    return std::all_of(daemons_.begin(), daemons_.end(),
                       [&](const auto& it) { return it.version == version; });
  }

  int fetches = 0;

 private:
  void step() {
    auto tick = now_.count() / 10'000;
    for (auto& it : daemons_) {
      if (it.has_store) it.version = stored_;
    }
    if (tick % 25 == 0) report();
    if (tick % 50 == 0) summarise();
    if (tick % 25 == 5) fetch();
  }

  void report() {
    for (auto& from : daemons_) {
      for (auto& to : daemons_) {
        if (from.data_centre == to.data_centre && from.name != to.name)
          note_holder(to.news, from.name, from.version, to.version, now_);
      }
    }
  }

  /// The first of each data centre tells one daemon of the other.
  void summarise() {
    auto half = daemons_.size() / 2;
    auto turn = static_cast<std::size_t>(now_ / 500ms) % half;
    auto send = [&](const daemon& from, daemon& to) {
      note_holder(to.news, from.name, from.version, to.version, now_);
    };
    send(daemons_[0], daemons_[half + turn]);
    send(daemons_[half], daemons_[turn]);
  }

  void fetch() {
    for (auto& it : daemons_) {
      auto from =
          choose_holder(it.news, it.version, it.name, !it.has_store, now_);
      if (!from) continue;
      ++fetches;
      for (const auto& other : daemons_) {
        if (other.name == *from && other.version > it.version)
          it.version = other.version;
      }
      end_fetch(it.news, *from, it.version, now_);
    }
  }

  std::vector<daemon> daemons_;
  std::uint64_t stored_ = 1;
  instant now_ = start;
};

}  // namespace

TEST_CASE("news passes by the daemons that the store turns away") {
  SECTION("a third of them") {
    auto it = play(15, [](int n) { return n % 3 == 1; });
    for (auto version = 2; version < 8; ++version) {
      it.change(1s);
      CHECK(it.all_have(version));
    }
    CHECK(it.fetches == 6 * 10);
  }
  SECTION("a whole data centre") {
    auto it = play(15, [](int n) { return n >= 15; });
    it.change(2s);
    CHECK(it.all_have(2));
    CHECK(it.fetches == 15);
  }
  SECTION("nothing is fetched where the store serves all") {
    auto it = play(15, [](int) { return false; });
    it.change(2s);
    CHECK(it.all_have(2));
    CHECK(it.fetches == 0);
  }
}
