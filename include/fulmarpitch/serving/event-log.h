#pragma once

/// \file
/// Structured log lines on standard output: one JSON object a line. Writing
/// never blocks: lines beyond the bounds are dropped and counted.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "fulmarpitch/core/types.h"

namespace fulmar::serving {

/// A field's value.
using log_value =
    std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

/// A field; names are constants.
using log_field = std::pair<std::string_view, log_value>;

/// Bounds of the log.
struct event_log_options {
  int descriptor = 1;
  /// Lines a second, on average. Ten times the busiest daemon's ordinary rate.
  std::uint32_t lines_per_second = 300;
  /// Lines in a burst.
  std::uint32_t burst_lines = 900;
  /// Bytes kept while the reader is slow.
  std::size_t max_pending_bytes = std::size_t{128} * 1024;
};

/// Gathers lines; `flush` writes them.
class event_log {
 public:
  explicit event_log(event_log_options options);

  /// Adds one line.
  /// \param event what happened, a constant.
  /// \param fields the inputs and the outcome.
  void add(std::string_view event, std::initializer_list<log_field> fields);

  /// Writes what the reader takes, without waiting.
  void flush();

  /// \return lines dropped so far.
  std::uint64_t dropped() const { return dropped_; }

 private:
  bool admit(instant now);

  event_log_options options_;
  std::string pending_;
  double tokens_ = 0;
  instant refilled_{};
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_ = 0;
};

/// Writes one line as JSON, without a line end.
/// \param time the time of day, which may jump.
/// \param steady the steady clock, by which the lines of a process are ordered.
std::string format_event(instant time, instant steady, std::string_view event,
                         std::initializer_list<log_field> fields);

}  // namespace fulmar::serving
