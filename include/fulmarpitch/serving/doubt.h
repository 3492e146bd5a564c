#pragma once

/// \file
/// Passive health of targets: which targets to avoid after failed requests, and
/// for how long.

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>

#include "fulmarpitch/core/types.h"

namespace fulmar::serving {

/// Kind of failure of a target.
enum class target_fault {
  /// It answered a request with an error of its own.
  failed,
  /// A connection closed early, or the response could not be parsed.
  broke_off,
  /// It accepts no connection or sends nothing, so that the next request would
  /// wait too.
  silent,
};

inline constexpr std::array<named<target_fault>, 3> target_fault_names{{
    {target_fault::failed, "failed"},
    {target_fault::broke_off, "broke_off"},
    {target_fault::silent, "silent"},
}};

/// Which work a target may receive.
enum class trust {
  none,
  /// Only work that can be retried, as a probe.
  trial,
  full,
};

/// Failure state of a target; times are on the steady clock.
struct target_health {
  /// The target gets no new work before this time.
  instant avoid_until{};
  /// From then until this time it gets only work that can be retried.
  instant trial_until{};
  /// Number of recent failures, decayed by successes.
  double score = 0;
  instant last_failure{};
  /// The target is draining: it finishes its requests and accepts no new ones.
  bool leaving = false;
};

/// Failure states by target key.
using target_health_table = absl::flat_hash_map<std::uint64_t, target_health>;

/// How long a failing target is avoided.
struct avoidance_options {
  /// Avoidance after the first failure; doubles with each further one. Short,
  /// because a single reset connection should cost little capacity.
  instant min_avoidance = std::chrono::milliseconds(100);
  /// Number of failures that a silent target counts as, since a request to an
  /// unreachable target is lost and a restart takes seconds.
  double silent_weight = 4;
  /// Maximum avoidance, and thus the interval of retries to a failing target.
  instant max_avoidance = std::chrono::milliseconds(3200);
  /// Factor by which a success reduces the score. The score of a target that
  /// fails two of five requests stays near 2.7.
  double success_decay = 0.75;
  /// From this score on, avoidance is followed by a trial period of the same
  /// length; a single failure stays below it.
  double min_trial_score = 1.5;
  /// The score restarts from zero after this long without a failure.
  instant score_reset_time = std::chrono::seconds(10);
};

/// Records a request failure caused by the target.
/// \param others sum of the scores reported by other daemons.
void note_failure(target_health& it, target_fault fault, double others,
                  instant now, const avoidance_options& options);

/// Records a request that the target answered correctly.
void note_success(target_health& it, const avoidance_options& options);

/// Merges the failure states of a target from two daemons.
target_health join(const target_health& a, const target_health& b);

/// \return which work the target may receive at the given time.
trust trust_at(const target_health& it, instant now);

}  // namespace fulmar::serving
