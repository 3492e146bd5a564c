#pragma once

/// \file
/// Rates, budgets and windows in virtual time.

#include <array>
#include <cstdint>
#include <optional>

#include "fulmarpitch/core/types.h"

namespace fulmar {

/// A token bucket that holds one second of its rate.
struct token_bucket {
  /// 0 means no limit.
  std::uint32_t per_second = 0;
  double tokens = 0;
  instant filled_at{};
};

/// Sets the rate; a bucket whose rate changes starts full.
void set_rate(token_bucket& bucket, std::uint32_t per_second, instant now);

/// Takes one token.
/// \return nothing on success, else the time until a token is there.
std::optional<instant> take(token_bucket& bucket, instant now);

/// Retries allowed per first attempt, in thousandths.
inline constexpr std::int64_t retry_permille = 100;

/// Most retries that can be saved up.
inline constexpr std::int64_t max_saved_retries = 200;

/// Retries allowed without any first attempt, in thousandths a second: what
/// was lost last must not wait for new traffic.
inline constexpr std::int64_t idle_retry_permille = 1000;

/// Bounds retries to a fraction of first attempts.
struct retry_budget {
  std::int64_t permille = 5000;
  instant filled_at{};
};

/// Earns for a first attempt.
void earn(retry_budget& budget);

/// Earns for the whole seconds that have passed.
void refill(retry_budget& budget, instant now);

/// Pays for a retry.
/// \return whether the budget allows it.
bool spend(retry_budget& budget);

/// A sum over the most recent seconds.
class sliding_sum {
 public:
  static constexpr std::size_t seconds = 10;

  void add(std::int64_t amount, instant now);
  std::int64_t sum(instant now) const;

 private:
  std::array<std::int64_t, seconds> sums_{};
  std::array<std::int64_t, seconds> stamps_{};
};

/// The highest of the values seen in the most recent seconds.
class sliding_peak {
 public:
  static constexpr std::size_t seconds = 60;

  void add(std::int64_t value, instant now);
  /// \param window how many seconds to look back, the current one included.
  std::int64_t peak(instant now, std::size_t window = seconds) const;

 private:
  std::array<std::int64_t, seconds> peaks_{};
  std::array<std::int64_t, seconds> stamps_{};
};

}  // namespace fulmar
