#pragma once

/// \file
/// Histograms and counters for each class and caller, in bounded memory.

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "fulmarpitch/core/types.h"

namespace fulmar {

/// What the histograms measure; times are in seconds.
enum class measure {
  queue_time,
  first_token,
  between_tokens,
  whole_time,
  tokens
};

inline constexpr std::array<named<measure>, 5> measure_names{{
    {measure::queue_time, "queue_seconds"},
    {measure::first_token, "first_token_seconds"},
    {measure::between_tokens, "between_tokens_seconds"},
    {measure::whole_time, "request_seconds"},
    {measure::tokens, "tokens"},
}};

/// What is counted.
enum class counter {
  sheds,
  retries,
  preemptions,
  fencing_refusals,
  store_calls,
  cross_region_bytes,
};

inline constexpr std::array<named<counter>, 6> counter_names{{
    {counter::sheds, "sheds_total"},
    {counter::retries, "retries_total"},
    {counter::preemptions, "preemptions_total"},
    {counter::fencing_refusals, "fencing_refusals_total"},
    {counter::store_calls, "store_calls_total"},
    {counter::cross_region_bytes, "cross_region_bytes_total"},
}};

/// Bounds of the metrics.
struct metrics_options {
  /// Pairs of class and caller that get series of their own; all others share
  /// the caller `other`.
  std::size_t max_series = 360;
};

/// Escapes a text as the value of a label.
std::string escaped_label(std::string_view text);

/// The metrics of one daemon. Not for several threads.
class metrics {
 public:
  /// Where a class and caller's values stand; 0 stands for the whole process.
  using series = std::size_t;

  explicit metrics(metrics_options options = {});
  ~metrics();
  metrics(metrics&&) noexcept;
  metrics& operator=(metrics&&) noexcept;

  /// Finds or adds the series of a class and caller, in constant time.
  /// \param class_name the class.
  /// \param caller the caller.
  /// \return the series; valid as long as the metrics.
  series of(std::string_view class_name, std::string_view caller);

  /// Adds a time to a histogram, in constant time.
  void observe(measure what, series at, instant time);

  /// Adds a number of tokens to the histogram of tokens, in constant time.
  void observe_tokens(series at, std::uint64_t tokens);

  /// Adds to a counter, in constant time.
  /// \param what the counter.
  /// \param n how much to add.
  /// \param at the series; the whole process without one.
  void add(counter what, std::uint64_t n = 1, series at = 0);

  /// States how many results are not in the stores yet.
  void set_pending_results(std::uint64_t n);

  /// \return everything in the text format of Prometheus.
  std::string text() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace fulmar
