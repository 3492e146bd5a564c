#pragma once

/// \file
/// How far targets are trusted, by what requests met there: whom to leave
/// alone, and for how long.

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>

#include "fulmarpitch/core/types.h"

namespace fulmar::serving {

/// What a target did wrong.
enum class target_fault {
  /// It answered a request with a failure of its own.
  failed,
  /// A connection broke off, or bytes were no answer.
  broke_off,
  /// It takes no connection, or sends nothing: the next request would wait.
  silent,
};

inline constexpr std::array<named<target_fault>, 3> target_fault_names{{
    {target_fault::failed, "failed"},
    {target_fault::broke_off, "broke_off"},
    {target_fault::silent, "silent"},
}};

/// What a target may be given.
enum class trust {
  /// Nothing.
  none,
  /// Work that may run again, to see how it fares.
  trial,
  full,
};

/// What speaks against a target; times are on the steady clock.
struct target_doubt {
  /// The target gets no new work before this moment.
  instant avoid_until{};
  /// After that, only work that may run again goes there until this moment.
  instant trial_until{};
  /// Recent failures, less what successes made up for.
  double score = 0;
  instant last_failure{};
  /// The target finishes what it has and takes nothing new.
  bool leaving = false;
};

/// What is held against targets, by their keys.
using doubt_table = absl::flat_hash_map<std::uint64_t, target_doubt>;

/// How long a failing target is left alone.
struct avoidance_options {
  /// After the first failure; doubles with each. A single reset connection
  /// should cost little of the capacity.
  instant first = std::chrono::milliseconds(100);
  /// Silence counts as so many failures, since a request to a dark target is
  /// lost and a restart takes seconds.
  double silent_failures = 4;
  /// Longest avoidance: one target in doubt is tried again this often.
  instant longest = std::chrono::milliseconds(3200);
  /// A success leaves this share of the score: a target that fails two of five
  /// requests stays near 2.7.
  double kept_by_success = 0.75;
  /// From this score on, avoidance is followed by as long a time on trial; one
  /// failure alone is not.
  double least_trial_score = 1.5;
  /// A target without a failure for this long starts from nothing.
  instant forget = std::chrono::seconds(10);
};

/// Notes that a request failed because of the target.
/// \param it what is held against the target.
/// \param fault what it did.
/// \param others score that other daemons hold against it.
/// \param now the steady clock.
/// \param options how long to avoid it.
void note_failure(target_doubt& it, target_fault fault, double others,
                  instant now, const avoidance_options& options);

/// Notes that the target answered a request as it should.
void note_success(target_doubt& it, const avoidance_options& options);

/// Joins what several daemons hold against a target.
target_doubt join(const target_doubt& a, const target_doubt& b);

/// \return what the target may be given at a moment.
trust trust_at(const target_doubt& it, instant now);

}  // namespace fulmar::serving
