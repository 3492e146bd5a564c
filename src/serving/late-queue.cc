#include "fulmarpitch/serving/late-queue.h"

#include <algorithm>
#include <utility>

namespace fulmar::serving {
namespace {

constexpr auto observation_period = std::chrono::seconds(10);
constexpr auto time_limit_step = instant(std::chrono::milliseconds(20));
/// At least one in this many requests is a first attempt, also after an outage.
constexpr std::uint32_t requests_per_first_attempt = 10;

/// Period over which arrivals are counted: peaks begin and end within it.
constexpr auto rate_period = std::chrono::milliseconds(500);
/// Shortest period that gives a rate, after a start.
constexpr auto min_rate_period = std::chrono::milliseconds(100);

/// Prompt processing, the first step and the network round trip.
constexpr auto min_first_output = std::chrono::milliseconds(60);

}  // namespace

void note_time_limit(observed_time_limit& limit, instant left, instant now) {
  if (now - limit.began >= observation_period) {
    auto is_next = now - limit.began < 2 * observation_period;
    limit = {.before = is_next ? std::move(limit.recent) : time_limit_counts(),
             .began = now};
  }
  ++limit.recent.by_time[left - left % time_limit_step];
  ++limit.recent.all;
}

instant longest_time_limit(const observed_time_limit& limit) {
  auto out = instant();
  for (const auto* it : {&limit.recent.by_time, &limit.before.by_time}) {
    if (!it->empty()) out = std::max(out, it->begin()->first);
  }
  return out;
}

instant time_limit(const observed_time_limit& limit) {
  const auto& a = limit.recent.by_time;
  const auto& b = limit.before.by_time;
  auto all = limit.recent.all + limit.before.all;
  auto as_long = std::uint32_t{0};
  auto in_a = a.begin();
  auto in_b = b.begin();
  while (in_a != a.end() || in_b != b.end()) {
    auto from_a =
        in_b == b.end() || (in_a != a.end() && in_a->first >= in_b->first);
    const auto& [left, n] = from_a ? *in_a++ : *in_b++;
    as_long += n;
    if (as_long * requests_per_first_attempt >= all) return left;
  }
  return {};
}

bool gives_way(const caller_time& time, instant slot_time,
               const late_options& options) {
  auto late = time.goal.count() > 0 &&
              time.waited + time.held + min_first_output > time.goal;
  return late && time.held + options.min_left < time.max_silence &&
         time.left > slot_time + options.min_left;
}

void note_arrival(arrival_window& window, instant now) {
  if (window.began.count() == 0) window.began = now;
  window.arrivals.push_back(now);
  while (now - window.arrivals.front() > rate_period)
    window.arrivals.pop_front();
}

double arrival_rate(const arrival_window& window, instant now) {
  auto recent =
      std::count_if(window.arrivals.begin(), window.arrivals.end(),
                    [&](instant at) { return now - at <= rate_period; });
  auto period =
      std::clamp<instant>(now - window.began, min_rate_period, rate_period);
  return static_cast<double>(recent) /
         std::chrono::duration<double>(period).count();
}

std::uint32_t max_late_running(double slots, double rate, instant slot_time) {
  auto needed = rate * std::chrono::duration<double>(slot_time).count();
  return static_cast<std::uint32_t>(std::max(slots - needed, 1.0));
}

service_names services_waited_for(const late_queue& queue) {
  auto out = service_names();
  for (const auto& [line, requests] : queue.waiting)
    out.insert(line.service);
  return out;
}

std::uint32_t count_running(const late_queue& queue, std::string_view service) {
  auto it = queue.running.find(service);
  return it == queue.running.end() ? 0 : it->second;
}

late_queue_entry::late_queue_entry(late_queue& queue, stream_origin line,
                                   instant deadline)
    : queue_(queue),
      line_(std::move(line)),
      key_(deadline, ++queue.last_number) {
  queue_.waiting[line_].insert(key_);
}

late_queue_entry::~late_queue_entry() {
  if (!running_) {
    leave_line();
    return;
  }
  auto it = queue_.running.find(line_.service);
  if (--it->second == 0) queue_.running.erase(it);
}

void late_queue_entry::leave_line() {
  auto it = queue_.waiting.find(line_);
  it->second.erase(key_);
  if (it->second.empty()) queue_.waiting.erase(it);
}

void late_queue_entry::start() {
  if (running_) return;
  leave_line();
  ++queue_.running[line_.service];
  running_ = true;
}

bool late_queue_entry::is_first() const {
  auto it = queue_.waiting.find(line_);
  return it != queue_.waiting.end() && *it->second.begin() == key_;
}

}  // namespace fulmar::serving
