#include "fulmarpitch/teams/key-lookups.h"

#include <algorithm>

#include "fulmarpitch/core/invariant.h"

namespace fulmar::teams {
namespace {

bool is_remembered(const key_lookups& in, const key_question& it) {
  auto known = in.unknown.find(it.key);
  return known != in.unknown.end() && known->second == it.version;
}

/// \return when the version was last confirmed as the newest.
instant confirmed_at(const key_lookups& in, const key_question& it) {
  auto by_lookup = in.ended_began && in.last_end == lookup_end::current
                       ? *in.ended_began
                       : instant();
  return std::max(it.confirmed, by_lookup);
}

instant next_begin(const key_lookups& in) {
  const auto& options = in.options;
  auto by_rate = in.used_until - options.burst * options.mean_interval;
  if (!in.began) return by_rate;
  return std::max(*in.began + options.min_interval, by_rate);
}

lookup_plan give_up(const key_lookups& in, instant now) {
  return {.step = lookup_step::give_up,
          .retry_after =
              std::max(next_begin(in) - now, in.options.min_retry_after)};
}

}  // namespace

lookup_plan plan_lookup(const key_lookups& in, const key_question& it,
                        instant now) {
  const auto& options = in.options;
  if (is_remembered(in, it) && confirmed_at(in, it).count() > 0 &&
      now - confirmed_at(in, it) < options.trust_time)
    return {.step = lookup_step::refuse};
  if (in.ended_began && *in.ended_began >= it.arrived) {
    if (in.last_end == lookup_end::current)
      return {.step = lookup_step::refuse};
    if (in.last_end == lookup_end::unconfirmed) return give_up(in, now);
  }
  auto latest = it.arrived + options.max_wait;
  if (now >= latest) return give_up(in, now);
  if (in.under_way) return {.step = lookup_step::wait, .until = latest};
  auto next = next_begin(in);
  if (now >= next) return {.step = lookup_step::begin, .until = latest};
  if (next >= latest) return give_up(in, now);
  return {.step = lookup_step::wait, .until = next};
}

void begin_lookup(key_lookups& in, instant now) {
  ensure(!in.under_way, invariant::limit_holds,
         "two look-ups for unknown keys at a time");
  in.used_until = std::max(in.used_until, now) + in.options.mean_interval;
  in.under_way = true;
  in.began = now;
}

void end_lookup(key_lookups& in, lookup_end how) {
  in.under_way = false;
  in.ended_began = in.began;
  in.last_end = how;
  ++in.ends[static_cast<std::size_t>(how)];
  if (how == lookup_end::newer) in.used_until -= in.options.mean_interval;
}

void note_pause(key_lookups& in) {
  in.ended_began.reset();
}

void remember_unknown(key_lookups& in, const key_question& it) {
  auto [at, added] = in.unknown.insert_or_assign(it.key, it.version);
  if (!added) return;
  in.order.push_back(it.key);
  if (in.order.size() <= in.options.max_remembered) return;
  in.unknown.erase(in.order.front());
  in.order.pop_front();
}

}  // namespace fulmar::teams
