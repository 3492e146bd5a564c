#include "request.h"

#include <absl/strings/numbers.h>

#include <algorithm>

#include "platform/names.h"

namespace fulmar::serving {
namespace {

/// Deadline of a request if neither the client nor the route sets a shorter
/// one.
constexpr auto max_request_time = std::chrono::seconds(60);
constexpr auto max_request_ms =
    std::int64_t{std::chrono::milliseconds(max_request_time).count()};

/// \return the longest time that a route allows a request.
instant max_time_of(const route& it) {
  return it.timeout.count() > 0
             ? std::min<instant>(it.timeout, max_request_time)
             : max_request_time;
}

/// \return how long the client says it will wait; empty if it does not say.
std::optional<instant> client_time_left(const online_request& it) {
  auto text =
      find_header(it.client->request().headers, platform::header::time_left);
  auto left_ms = std::int64_t{0};
  if (!absl::SimpleAtoi(std::string(text), &left_ms) || left_ms <= 0)
    return std::nullopt;
  return std::chrono::milliseconds(std::min(left_ms, max_request_ms));
}

/// \return how long the client waits for the first output.
instant max_silence_of(const online_request& it) {
  const auto& route = *it.matched_route;
  if (route.kind != route_kind::stream) return it.deadline - it.arrived;
  return std::min(route.max_silence, it.deadline - it.arrived);
}

}  // namespace

const crash_causes& causes_of(online_request& it) {
  if (!it.causes) it.causes = crash_causes_of(it.client->request());
  return *it.causes;
}

void set_times(front& in, online_request& it) {
  it.arrived = event_loop::steady();
  it.deadline = it.arrived + max_time_of(*it.matched_route);
  auto left = client_time_left(it);
  if (!left) return;
  it.deadline = std::min(it.deadline, it.arrived + *left);
  auto& limit = in.time_limits[it.matched_route->name];
  note_time_limit(limit, *left, it.arrived);
  it.waited = std::max(time_limit(limit) - *left, instant{});
}

caller_time time_of(const online_request& it) {
  auto now = event_loop::steady();
  return {.goal = it.matched_route->goal,
          .waited = it.waited,
          .held = now - it.arrived,
          .left = it.deadline - now,
          .max_silence = max_silence_of(it)};
}

bool is_late(const front& in, const online_request& it) {
  return it.runs == 0 && gives_way(time_of(it), in.slot_time);
}

void log_request(front& in, const online_request& it, std::string_view end) {
  auto now = event_loop::steady();
  auto since = [&](instant at) {
    return std::int64_t{(at - it.arrived).count()};
  };
  in.log.add(
      "request",
      {{"request_id", it.id},
       {"route", it.matched_route->name},
       {"team", it.caller != nullptr ? std::string_view(it.caller->name)
                                     : std::string_view()},
       {"end", end},
       {"target", it.to.id},
       {"software", it.to.version},
       {"begun_by", it.begun_by},
       {"origin", name_in(origin_source_names, it.origin_known)},
       {"placed", name_in(placement_reason_names, it.placed.reason)},
       {"online_there", std::uint64_t{it.load_seen.online}},
       {"batch_there", std::uint64_t{it.load_seen.batch}},
       {"load_age_us", std::int64_t{it.load_age.count()}},
       {"wait_us", std::int64_t{it.placed.wait.count()}},
       {"retry_after_us", std::int64_t{it.retry_after.count()}},
       {"time_left_us", std::int64_t{(it.deadline - it.arrived).count()}},
       {"waited_us", std::int64_t{it.waited.count()}},
       {"held_us", std::int64_t{it.held.count()}},
       {"runs", std::uint64_t{it.runs}},
       {"configuration", it.configuration->version},
       {"first_us", it.first_byte ? since(*it.first_byte) : std::int64_t{-1}},
       {"whole_us", since(now)}});
  in.metrics_registry.observe(
      measure::whole_time, in.metrics_registry.of(it.matched_route->name, ""),
      now - it.arrived);
}

}  // namespace fulmar::serving
