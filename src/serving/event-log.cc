#include "fulmarpitch/serving/event-log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cerrno>

#include "fulmarpitch/net/event-loop.h"

namespace fulmar::serving {
namespace {

namespace json = boost::json;

constexpr double us_per_second = 1e6;

json::value to_json(const log_value& from) {
  return std::visit(
      [](const auto& it) -> json::value {
        using type = std::decay_t<decltype(it)>;
        if constexpr (std::is_same_v<type, std::string_view>) {
          return json::string_view(it.data(), it.size());
        } else {
          return it;
        }
      },
      from);
}

}  // namespace

std::string format_event(instant time, instant steady, std::string_view event,
                         std::initializer_list<log_field> fields) {
  auto out = json::object();
  out["time_us"] = time.count();
  out["steady_us"] = steady.count();
  out["event"] = json::string_view(event.data(), event.size());
  for (const auto& [name, value] : fields)
    out[json::string_view(name.data(), name.size())] = to_json(value);
  return json::serialize(out);
}

event_log::event_log(event_log_options options)
    : options_(options), tokens_(options.burst_lines) {
  // A full pipe must not block the daemon.
  auto flags = ::fcntl(options_.descriptor, F_GETFL);
  if (flags >= 0) ::fcntl(options_.descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool event_log::admit(instant now) {
  auto elapsed =
      static_cast<double>((now - last_refill_).count()) / us_per_second;
  last_refill_ = now;
  tokens_ = std::min<double>(options_.burst_lines,
                             tokens_ + elapsed * options_.lines_per_second);
  if (tokens_ < 1 || pending_.size() >= options_.max_pending_bytes) {
    ++dropped_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

void event_log::add(std::string_view event,
                    std::initializer_list<log_field> fields) {
  auto steady = event_loop::steady();
  if (!admit(steady)) return;
  auto now = event_loop::now();
  if (dropped_ > reported_dropped_) {
    pending_ +=
        format_event(now, steady, "log_lines_dropped", {{"total", dropped_}});
    pending_ += '\n';
    reported_dropped_ = dropped_;
  }
  pending_ += format_event(now, steady, event, fields);
  pending_ += '\n';
}

void event_log::flush() {
  while (!pending_.empty()) {
    auto n = ::write(options_.descriptor, pending_.data(), pending_.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return;
    pending_.erase(0, static_cast<std::size_t>(n));
  }
}

}  // namespace fulmar::serving
