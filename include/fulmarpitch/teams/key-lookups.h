#pragma once

/// \file
/// Decides when an unknown key is worth a look for a newer configuration.
/// Answers callers that guess keys or go on with a key that was taken away:
/// what they cost the store does not grow with their number, and callers with a
/// key that was just added are not refused for them.

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "fulmarpitch/core/types.h"

namespace fulmar::teams {

/// Bounds on what unknown keys may cost.
struct lookup_options {
  /// Least time from the beginning of a look-up to that of the next.
  instant min_interval = std::chrono::milliseconds(100);
  /// Mean time between look-ups that bring nothing new.
  instant mean_interval = std::chrono::milliseconds(1000);
  /// Look-ups beyond the mean that may follow a quiet time.
  int burst = 8;
  /// A request waits no longer; well below the latency goals of 300 ms and
  /// more, and longer than a look-up takes through a daemon of another region.
  instant max_wait = std::chrono::milliseconds(200);
  /// Most requests that wait at a time.
  std::size_t max_waiting = 64;
  /// A version that was confirmed to be the newest is taken to be so for keys
  /// that were unknown in it before. Following the store confirms it each
  /// second.
  instant trust_time = std::chrono::milliseconds(2000);
  /// Most unknown keys that are remembered.
  std::size_t max_remembered = 512;
  /// Least time after which a client that was not served may return.
  instant min_retry_after = std::chrono::milliseconds(250);
};

/// How a look-up ended.
enum class lookup_end {
  /// The configuration is the newest.
  current,
  /// A newer configuration is in force now.
  newer,
  /// Neither the store nor another daemon could tell.
  unconfirmed,
};

inline constexpr std::array<named<lookup_end>, 3> lookup_end_names{{
    {lookup_end::current, "current"},
    {lookup_end::newer, "newer"},
    {lookup_end::unconfirmed, "unconfirmed"},
}};

/// The look-ups of a daemon, and the keys that were unknown.
struct key_lookups {
  lookup_options options;
  bool under_way = false;
  /// When the last look-up began, on the steady clock; nothing before the
  /// first.
  std::optional<instant> began;
  /// Until when the look-ups so far use up the mean rate, on the steady clock.
  instant used_until{};
  /// When the last look-up that ended had begun, and its end.
  std::optional<instant> ended_began;
  lookup_end last_end = lookup_end::unconfirmed;
  std::array<std::uint64_t, lookup_end_names.size()> ends{};
  /// Requests that wait.
  std::size_t waiting = 0;
  /// Hashes of keys that were unknown in a version when it was the newest.
  absl::flat_hash_map<std::uint64_t, std::uint64_t> unknown;
  /// The same hashes in the order in which they are forgotten.
  std::deque<std::uint64_t> order;
};

/// A request with an unknown key.
struct key_question {
  /// A hash of the key.
  std::uint64_t key = 0;
  /// Version of the configuration that does not hold it.
  std::uint64_t version = 0;
  /// When the version was last confirmed as the newest by following the store,
  /// on the steady clock.
  instant confirmed{};
  instant arrived{};
};

/// What to do about a request with an unknown key.
enum class lookup_step {
  /// The key is unknown in the newest configuration.
  refuse,
  /// Begin a look-up, then wait.
  begin,
  wait,
  /// Nobody could tell in time whether the configuration is the newest.
  give_up,
};

struct lookup_plan {
  lookup_step step = lookup_step::give_up;
  /// When to ask again if no look-up ended before.
  instant until{};
  /// When the client may return after `give_up`.
  instant retry_after{};
};

/// Decides what to do about a request with an unknown key. The end of a look-up
/// counts for the requests that arrived before it began.
/// \param now current time on the steady clock.
lookup_plan plan_lookup(const key_lookups& in, const key_question& it,
                        instant now);

/// Records that a look-up begins.
void begin_lookup(key_lookups& in, instant now);

/// Records how the look-up under way ended.
void end_lookup(key_lookups& in, lookup_end how);

/// Records that the process stood still: what was confirmed before may be as
/// old as that pause.
void note_pause(key_lookups& in);

/// Remembers that a key is unknown in the newest configuration.
void remember_unknown(key_lookups& in, const key_question& it);

}  // namespace fulmar::teams
