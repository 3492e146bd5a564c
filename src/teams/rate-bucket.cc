#include "fulmarpitch/teams/rate-bucket.h"

#include <algorithm>
#include <limits>

namespace fulmar::teams {
namespace {

/// Admissions that others have not heard of yet: the longest time in which they
/// may go unheard, a few requests to round up, and how much of the allowance
/// may be left to them.
constexpr double reserved_seconds = 0.45;
constexpr double reserved_requests = 4;
constexpr double max_reserved = 0.6;

/// How much of the remaining allowance adds to the drain; the rest adds to the
/// capacity.
constexpr double drained_allowance = 0.3;

/// How far lags of reports may raise the level over the capacity: a fraction,
/// or some requests if these are more.
constexpr double max_excess_level = 0.25;
constexpr double max_excess_requests = 2;

/// Tolerance of comparisons, in requests.
constexpr double tolerance = 1e-9;

double seconds(instant it) {
  return std::chrono::duration<double>(it).count();
}

double allowance_of(const rate_limit& limit, const rate_bounds& bounds) {
  auto granted =
      limit.requests_per_second * seconds(bounds.window) + limit.burst;
  return granted * bounds.slack + bounds.excess;
}

double usable_capacity(const rate_bucket& it) {
  return it.part * it.size.capacity;
}

/// \return how much of the level a request needs to fit.
double needed_level(const rate_bucket& it, double threshold) {
  auto cost = cost_of(it);
  return cost > 1 ? cost * threshold : cost;
}

/// \return how much the level falls in a second, whatever part is used.
double fall_per_second(const rate_bucket& it) {
  return it.size.capacity > 0 ? it.size.drain_per_second / it.size.capacity : 0;
}

}  // namespace

double max_in_window(const rate_limit& limit, const rate_bounds& bounds) {
  return limit.requests_per_second * seconds(bounds.window) + limit.burst +
         allowance_of(limit, bounds);
}

bucket_size size_for(const rate_limit& limit, const rate_bounds& bounds) {
  auto allowance = allowance_of(limit, bounds);
  auto reserved =
      std::min(reserved_requests + reserved_seconds * limit.requests_per_second,
               max_reserved * allowance);
  auto spare = allowance - reserved;
  return {
      .drain_per_second = limit.requests_per_second +
                          drained_allowance * spare / seconds(bounds.window),
      .capacity = limit.burst + (1 - drained_allowance) * spare};
}

bucket_size share_of(const bucket_size& all, double weight,
                     std::size_t data_centres) {
  auto each = all.capacity >= static_cast<double>(data_centres) ? 1.0 : 0.0;
  auto divided = all.capacity - each * static_cast<double>(data_centres);
  return {.drain_per_second = weight * all.drain_per_second,
          .capacity = each + weight * divided};
}

void drain(rate_bucket& it, instant now) {
  if (now <= it.at) return;
  auto fall = fall_per_second(it) * seconds(now - it.at);
  it.level = std::max(it.level - fall, 0.0);
  it.split_level = std::max(it.split_level - fall, 0.0);
  it.at = now;
}

double cost_of(const rate_bucket& it) {
  auto usable = usable_capacity(it);
  return usable > tolerance ? 1 / usable
                            : std::numeric_limits<double>::infinity();
}

bool has_room(const rate_bucket& it, double threshold) {
  return it.level + needed_level(it, threshold) <= 1 + tolerance;
}

instant time_until_room(const rate_bucket& it, double threshold) {
  auto missing = it.level + needed_level(it, threshold) - 1;
  if (missing <= 0) return {};
  auto fall = fall_per_second(it);
  constexpr auto most = std::chrono::hours(1);
  if (fall <= 0 ||
      missing / fall >= std::chrono::duration<double>(most).count())
    return instant::max();
  return std::chrono::duration_cast<instant>(
      std::chrono::duration<double>(missing / fall));
}

void add_own(rate_bucket& it) {
  it.level += cost_of(it);
}

void add_heard(rate_bucket& it, double requests) {
  if (requests > 0) it.level += requests * cost_of(it);
}

void limit_level(rate_bucket& it) {
  auto excess = std::max(max_excess_level, max_excess_requests * cost_of(it));
  it.level = std::min(it.level, 1 + excess);
}

void change_part(rate_bucket& it, double part,
                 std::optional<double> joined_level) {
  if (part < it.part) it.split_level = it.level;
  if (part > it.part) {
    auto joined = joined_level.value_or(it.split_level);
    it.level = (it.part * it.level + (part - it.part) * joined) / part;
  }
  it.part = part;
}

void change_limit(rate_bucket& it, const bucket_size& size) {
  auto factor = size.capacity > 0 ? it.size.capacity / size.capacity : 1;
  it.size = size;
  it.level = std::min(it.level * factor, 1.0);
  it.split_level = std::min(it.split_level * factor, 1.0);
}

void change_share(rate_bucket& it, const bucket_size& size) {
  auto before = it.size.capacity;
  auto after = size.capacity;
  it.size = size;
  for (auto* level : {&it.level, &it.split_level}) {
    if (after <= 0) {
      *level = 1;
    } else if (after > before) {
      *level = 1 - (1 - *level) * before / after;
    } else {
      *level *= before / after;
    }
  }
}

}  // namespace fulmar::teams
