#pragma once

/// \file
/// Structured log on standard output: one JSON object per line. Writing never
/// blocks: lines beyond the limits are dropped and counted.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "fulmarpitch/core/types.h"

namespace fulmar::serving {

/// The value of a log field.
using log_value =
    std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

/// A field's name, a string literal, and its value.
using log_field = std::pair<std::string_view, log_value>;

/// Rate and buffer limits of the log.
struct event_log_options {
  int descriptor = 1;
  /// Average rate limit: ten times the normal rate of the busiest daemon.
  std::uint32_t lines_per_second = 300;
  /// Capacity of the rate limiter's token bucket.
  std::uint32_t burst_lines = 900;
  /// Limit on bytes buffered while the reader is slow.
  std::size_t max_pending_bytes = std::size_t{128} * 1024;
};

/// Buffers log lines; `flush` writes them to the descriptor.
class event_log {
 public:
  explicit event_log(event_log_options options);

  /// Buffers one line, or drops it when a limit is exceeded.
  /// \param event the event's name, a string literal.
  /// \param fields inputs and outcome of the event.
  void add(std::string_view event, std::initializer_list<log_field> fields);

  /// Writes as many buffered bytes as possible without blocking.
  void flush();

  /// \return the number of lines dropped so far.
  std::uint64_t dropped() const { return dropped_; }

 private:
  bool admit(instant now);

  event_log_options options_;
  std::string pending_;
  double tokens_ = 0;
  instant last_refill_{};
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
};

/// Formats one log line as JSON, without the line feed.
/// \param time the wall-clock time, which may jump.
/// \param steady the monotonic time, which orders the lines of one process.
std::string format_event(instant time, instant steady, std::string_view event,
                         std::initializer_list<log_field> fields);

}  // namespace fulmar::serving
