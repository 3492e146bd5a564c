// Plays load with crashing targets against the crash records of several
// daemons, in virtual time: requests whose prompts share a part that crashes
// every target, and crashes without a common cause.

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "fulmarpitch/serving/crash-book.h"

using namespace fulmar;
using namespace fulmar::serving;
using namespace std::chrono_literals;

namespace {

constexpr auto tick = instant(20ms);
constexpr auto run_time = instant(500ms);
constexpr auto restart_time = instant(2s);
/// From a crash to its row at the other daemons.
constexpr auto share_delay = instant(400ms);
constexpr auto slots = 8;

constexpr std::uint64_t first_part = 1;
constexpr std::uint64_t bad_part = 2;

struct play_options {
  int daemons = 12;
  int targets = 18;
  /// Requests per second.
  double sound_rate = 80;
  double bad_rate = 7;
  /// While requests with the bad part come.
  instant bad_from = 10s;
  instant bad_until = 40s;
  /// Position of the bad part.
  std::size_t bad_at = 1;
  /// Parts that only some sound requests share.
  std::uint64_t rare_parts = 200;
  /// Crashes per second that have no common cause.
  double other_crashes = 0;
  /// While no daemon learns of another's rows.
  instant away_from = 1000s;
  instant away_until = 1000s;
  instant length = 60s;
  unsigned seed = 1;
};

struct run {
  std::vector<std::uint64_t> parts;
  std::size_t daemon = 0;
  instant ends{};
  bool bad = false;
};

struct play_target {
  std::uint64_t start = 1;
  instant down_until{};
  std::vector<run> runs;
};

struct shared_event {
  crash_event event;
  std::size_t from = 0;
  instant arrives{};
};

struct play_result {
  std::vector<instant> bad_ends;
  std::vector<instant> bad_runs;
  /// Sound requests: when they came, and whether they began at once.
  std::vector<std::pair<instant, bool>> sound;
  /// Sound requests that were held.
  std::vector<instant> held;
  std::size_t rows = 0;
};

struct play {
  play_options options;
  std::mt19937 random{options.seed};
  std::vector<crash_registry> daemons =
      std::vector<crash_registry>(static_cast<std::size_t>(options.daemons));
  std::vector<play_target> targets =
      std::vector<play_target>(static_cast<std::size_t>(options.targets));
  std::deque<shared_event> events;
  play_result result;
  instant now{};

  bool happens(double per_second) {
    auto chance = per_second * std::chrono::duration<double>(tick).count();
    return std::uniform_real_distribution<double>()(random) < chance;
  }

  std::size_t pick(std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
  }

  bool is_away() const {
    return now >= options.away_from && now < options.away_until;
  }

  void share(std::size_t from, const crash_event& it) {
    note_event(daemons[from], it);
    ++result.rows;
    auto leaves = is_away() ? options.away_until : now;
    events.push_back(
        {.event = it, .from = from, .arrives = leaves + share_delay});
  }

  void deliver() {
    for (auto it = events.begin(); it != events.end();) {
      if (it->arrives > now) {
        ++it;
        continue;
      }
      for (auto n = std::size_t{0}; n < daemons.size(); ++n) {
        if (n != it->from) note_event(daemons[n], it->event);
      }
      it = events.erase(it);
    }
  }

  void crash(std::size_t number) {
    auto& it = targets[number];
    auto end = number * 1000 + it.start++;
    it.down_until = now + restart_time;
    for (const auto& run : it.runs) {
      auto& registry = daemons[run.daemon];
      for (auto part : parts_to_record(registry, run.parts, now))
        share(run.daemon, {.key = part, .number = end, .at = now});
    }
    it.runs.clear();
  }

  /// \return whether the request may run; a trial is claimed for it.
  bool is_allowed(std::size_t daemon, const std::vector<std::uint64_t>& parts) {
    auto trials = std::vector<crash_event>();
    for (auto part : parts) {
      auto permit = decide_run(daemons[daemon], part, now);
      if (permit.what == run_permit::kind::held) return false;
      if (permit.what != run_permit::kind::trial) continue;
      trials.push_back({.key = part,
                        .kind = crash_event_kind::trial,
                        .number = permit.trial,
                        .at = now});
    }
    for (const auto& it : trials) {
      auto claimed =
          std::any_of(events.begin(), events.end(), [&](const auto& other) {
            return crash_key(other.event) == crash_key(it);
          });
      if (claimed) return false;
      share(daemon, it);
    }
    return true;
  }

  void arrive(const std::vector<std::uint64_t>& parts, bool bad) {
    auto daemon = pick(daemons.size());
    auto allowed = is_allowed(daemon, parts);
    if (!allowed && !bad) result.held.push_back(now);
    auto first = pick(targets.size());
    auto begun = false;
    for (auto n = std::size_t{0}; allowed && !begun && n < targets.size();
         ++n) {
      auto& to = targets[(first + n) % targets.size()];
      if (to.down_until > now || to.runs.size() >= slots) continue;
      auto lasts = bad ? instant(60ms) : run_time;
      to.runs.push_back(
          {.parts = parts, .daemon = daemon, .ends = now + lasts, .bad = bad});
      begun = true;
      if (bad) result.bad_runs.push_back(now);
    }
    if (!bad) result.sound.emplace_back(now, begun);
  }

  void end_runs() {
    for (auto n = std::size_t{0}; n < targets.size(); ++n) {
      auto& runs = targets[n].runs;
      auto crashes = std::any_of(runs.begin(), runs.end(), [&](const auto& it) {
        return it.bad && it.ends <= now;
      });
      if (crashes) {
        result.bad_ends.push_back(now);
        crash(n);
      }
      for (const auto& it : runs) {
        if (it.ends > now) continue;
        for (auto part : it.parts) {
          if (note_part_answer(daemons[it.daemon], part, now))
            share(it.daemon,
                  {.key = part, .kind = crash_event_kind::answer, .at = now});
        }
      }
      std::erase_if(runs, [&](const auto& it) { return it.ends <= now; });
    }
  }

  play_result run_all() {
    for (; now < options.length; now += tick) {
      deliver();
      end_runs();
      if (happens(options.other_crashes)) crash(pick(targets.size()));
      auto rare = 100 + pick(options.rare_parts);
      for (auto n = 0; n < 4; ++n) {
        if (happens(options.sound_rate / 4))
          arrive({first_part, 100 + pick(options.rare_parts)}, false);
      }
      auto bad_time = now >= options.bad_from && now < options.bad_until;
      if (!bad_time || !happens(options.bad_rate)) continue;
      auto parts = std::vector<std::uint64_t>{first_part, rare};
      parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(options.bad_at),
                   bad_part);
      arrive(parts, true);
    }
    return std::move(result);
  }
};

/// Time after which every daemon knows of the crashes.
constexpr auto contact_time = 4s;
constexpr std::size_t ends_until_known = 5;
constexpr std::size_t most_later_runs = 3;

/// \return the share of sound requests in a span that began at once.
double begun_share(const play_result& it, instant from, instant until) {
  auto all = 0;
  auto begun = 0;
  for (const auto& [at, at_once] : it.sound) {
    if (at < from || at >= until) continue;
    ++all;
    begun += at_once ? 1 : 0;
  }
  return all == 0 ? 1 : static_cast<double>(begun) / all;
}

/// The moment from which the bounds hold: the fifth end, or the last one.
instant bound_from(const play_result& it) {
  REQUIRE_FALSE(it.bad_ends.empty());
  auto n = std::min(it.bad_ends.size(), ends_until_known);
  return it.bad_ends[n - 1];
}

std::size_t runs_after(const play_result& it, instant from) {
  return static_cast<std::size_t>(
      std::count_if(it.bad_runs.begin(), it.bad_runs.end(),
                    [&](auto at) { return at > from; }));
}

}  // namespace

TEST_CASE("a part that crashes targets runs on no more than three of them") {
  auto daemons = GENERATE(1, 3, 12, 40);
  auto targets = GENERATE(2, 6, 18, 60);
  auto bad_at = GENERATE(0U, 1U, 2U);
  auto seed = GENERATE(1U, 2U, 3U);
  CAPTURE(daemons, targets, bad_at, seed);
  auto result = play({.options = {.daemons = daemons,
                                  .targets = targets,
                                  .sound_rate = targets * 5.0,
                                  .bad_at = bad_at,
                                  .seed = seed}})
                    .run_all();
  auto from = bound_from(result);
  CHECK(runs_after(result, from + contact_time) <= most_later_runs);
  auto outside = begun_share(result, 0s, 10s);
  CHECK(begun_share(result, from + 2 * contact_time, 40s) >= outside / 2);
}

TEST_CASE(
    "crashes of other causes do not clear the part that crashes targets") {
  auto daemons = GENERATE(3, 12);
  auto seed = GENERATE(1U, 2U, 3U);
  CAPTURE(daemons, seed);
  auto result =
      play({.options = {.daemons = daemons, .other_crashes = 3, .seed = seed}})
          .run_all();
  auto from = bound_from(result);
  CHECK(runs_after(result, from + contact_time) <= most_later_runs);
  auto outside = begun_share(result, 0s, 10s);
  CHECK(begun_share(result, from + 2 * contact_time, 40s) >= outside / 2);
}

TEST_CASE("sound requests go on where one part crashes all of few targets") {
  auto targets = GENERATE(1, 2, 3);
  auto daemons = GENERATE(1, 2, 12);
  auto bad_at = GENERATE(0U, 1U, 2U);
  auto seed = GENERATE(1U, 2U, 3U);
  CAPTURE(targets, daemons, bad_at, seed);
  auto result = play({.options = {.daemons = daemons,
                                  .targets = targets,
                                  .sound_rate = targets * 8.0,
                                  .bad_rate = 40,
                                  .bad_at = bad_at,
                                  .seed = seed}})
                    .run_all();
  auto from = bound_from(result);
  CHECK(runs_after(result, from + contact_time) <= most_later_runs);
  auto outside = begun_share(result, 0s, 10s);
  CHECK(begun_share(result, from + 2 * contact_time, 40s) >= outside / 2);
}

TEST_CASE("without sharing each daemon holds the part by itself") {
  auto seed = GENERATE(1U, 2U, 3U);
  CAPTURE(seed);
  constexpr auto daemons = 4U;
  auto result = play({.options = {.daemons = static_cast<int>(daemons),
                                  .away_from = 9s,
                                  .away_until = 30s,
                                  .seed = seed}})
                    .run_all();
  // Three ends and one trial at each daemon while it is by itself.
  CHECK(runs_after(result, 0s) <= std::size_t{daemons} * 5);
  CHECK(runs_after(result, 30s + contact_time) <= most_later_runs);
  auto outside = begun_share(result, 0s, 9s);
  CHECK(begun_share(result, 18s, 30s) >= outside / 2);
}

TEST_CASE("crashes without a common cause hold hardly any sound request") {
  auto daemons = GENERATE(1, 3, 12, 40);
  auto targets = GENERATE(2, 6, 18);
  auto away = GENERATE(false, true);
  auto rare_parts = GENERATE(as<std::uint64_t>(), 10, 200);
  auto seed = GENERATE(1U, 2U);
  CAPTURE(daemons, targets, away, rare_parts, seed);
  auto result = play({.options = {.daemons = daemons,
                                  .targets = targets,
                                  .sound_rate = targets * 5.0,
                                  .bad_rate = 0,
                                  .rare_parts = rare_parts,
                                  .other_crashes = targets * 0.1,
                                  .away_from = away ? 10s : 1000s,
                                  .away_until = away ? 40s : 1000s,
                                  .seed = seed}})
                    .run_all();
  auto all = static_cast<double>(result.sound.size());
  CHECK(static_cast<double>(result.held.size()) <= all * 0.02);
}
