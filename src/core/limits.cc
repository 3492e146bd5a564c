#include "fulmarpitch/core/limits.h"

#include <algorithm>
#include <functional>

namespace fulmar {
namespace {

std::int64_t second_of(instant now) {
  return std::chrono::duration_cast<std::chrono::seconds>(now).count() + 1;
}

// Stamps start at 0, which is no second, so that empty cells are never read.
template <std::size_t N, typename Merge>
void put(std::array<std::int64_t, N>& values, std::array<std::int64_t, N>& at,
         std::int64_t value, instant now, Merge merge) {
  auto second = second_of(now);
  auto cell = static_cast<std::size_t>(second) % N;
  values[cell] = at[cell] == second ? merge(values[cell], value) : value;
  at[cell] = second;
}

bool is_recent(std::int64_t stamp, std::int64_t second, std::size_t seconds) {
  return stamp > 0 && stamp + static_cast<std::int64_t>(seconds) > second;
}

}  // namespace

void set_rate(token_bucket& bucket, std::uint32_t per_second, instant now) {
  if (bucket.per_second == per_second) return;
  bucket.per_second = per_second;
  bucket.tokens = per_second;
  bucket.filled_at = now;
}

std::optional<instant> take(token_bucket& bucket, instant now) {
  if (bucket.per_second == 0) return std::nullopt;
  auto rate = static_cast<double>(bucket.per_second);
  auto elapsed = std::chrono::duration<double>(now - bucket.filled_at).count();
  bucket.tokens = std::min(rate, bucket.tokens + elapsed * rate);
  bucket.filled_at = now;
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    return std::nullopt;
  }
  auto wait = std::chrono::duration<double>((1 - bucket.tokens) / rate);
  return std::chrono::duration_cast<instant>(wait) + instant(1);
}

void earn(retry_budget& budget) {
  budget.permille =
      std::min(budget.permille + retry_permille, max_saved_retries * 1000);
}

void refill(retry_budget& budget, instant now) {
  auto elapsed =
      std::chrono::floor<std::chrono::seconds>(now - budget.filled_at);
  if (elapsed.count() <= 0) return;
  budget.filled_at += elapsed;
  budget.permille =
      std::min(budget.permille + elapsed.count() * idle_retry_permille,
               std::max(budget.permille, idle_retry_permille));
}

bool spend(retry_budget& budget) {
  if (budget.permille < 1000) return false;
  budget.permille -= 1000;
  return true;
}

void sliding_sum::add(std::int64_t amount, instant now) {
  put(sums_, stamps_, amount, now, std::plus<>());
}

std::int64_t sliding_sum::sum(instant now) const {
  auto second = second_of(now);
  auto result = std::int64_t(0);
  for (std::size_t i = 0; i < seconds; ++i) {
    if (is_recent(stamps_[i], second, seconds)) result += sums_[i];
  }
  return result;
}

void sliding_peak::add(std::int64_t value, instant now) {
  put(peaks_, stamps_, value, now,
      [](std::int64_t a, std::int64_t b) { return std::max(a, b); });
}

std::int64_t sliding_peak::peak(instant now, std::size_t window) const {
  auto second = second_of(now);
  auto result = std::int64_t(0);
  for (std::size_t i = 0; i < seconds; ++i) {
    if (is_recent(stamps_[i], second, window))
      result = std::max(result, peaks_[i]);
  }
  return result;
}

}  // namespace fulmar
