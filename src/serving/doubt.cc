#include "fulmarpitch/serving/doubt.h"

#include <algorithm>

namespace fulmar::serving {
namespace {

/// Bounds the exponent so that the shift does not overflow.
constexpr int max_doublings = 8;

}  // namespace

void note_failure(target_health& it, target_fault fault, double others,
                  instant now, const avoidance_options& options) {
  if (now - it.last_failure > options.score_reset_time) it.score = 0;
  it.last_failure = now;
  it.score += fault == target_fault::silent ? options.silent_weight : 1;
  auto total = it.score + others;
  auto doublings = std::clamp(static_cast<int>(total) - 1, 0, max_doublings);
  auto pause =
      std::min(options.min_avoidance * (1 << doublings), options.max_avoidance);
  it.avoid_until = std::max(it.avoid_until, now + pause);
  if (total >= options.min_trial_score)
    it.trial_until = std::max(it.trial_until, it.avoid_until + pause);
}

void note_success(target_health& it, const avoidance_options& options) {
  it.score *= options.success_decay;
}

target_health join(const target_health& a, const target_health& b) {
  return {.avoid_until = std::max(a.avoid_until, b.avoid_until),
          .trial_until = std::max(a.trial_until, b.trial_until),
          .score = a.score + b.score,
          .last_failure = std::max(a.last_failure, b.last_failure),
          .leaving = a.leaving || b.leaving};
}

trust trust_at(const target_health& it, instant now) {
  if (it.leaving || now < it.avoid_until) return trust::none;
  return now < it.trial_until ? trust::trial : trust::full;
}

}  // namespace fulmar::serving
