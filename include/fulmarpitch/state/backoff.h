#pragma once

/// \file
/// When a failed call to a store may be made again.

#include <algorithm>
#include <cstdint>
#include <random>

#include "fulmarpitch/core/types.h"

namespace fulmar {

/// Exponential backoff with jitter.
class backoff {
 public:
  /// \param first the span after the first failure, at least half of it.
  /// \param longest the bound of the span.
  /// \param seed of the jitter.
  backoff(instant first, instant longest, std::uint64_t seed)
      : first_(first), longest_(longest), random_(seed) {}

  /// Notes a failure.
  /// \param now the time of the failure.
  void failed(instant now) {
    const auto doublings = std::min(failures_++, std::uint32_t{20});
    const auto span = std::min(longest_, first_ * (1 << doublings));
    const auto half = span.count() / 2;
    const auto jitter = half == 0
                            ? 0
                            : static_cast<std::int64_t>(
                                  random_() % static_cast<std::uint64_t>(half));
    ready_at_ = now + instant(half + jitter);
  }

  /// Notes a success.
  void succeeded() {
    failures_ = 0;
    ready_at_ = instant{};
  }

  /// \param now the time.
  /// \return whether a call may be made.
  bool ready(instant now) const { return now >= ready_at_; }

 private:
  instant first_;
  instant longest_;
  std::mt19937_64 random_;
  std::uint32_t failures_ = 0;
  instant ready_at_{};
};

}  // namespace fulmar
