#include "fulmarpitch/daemon/metrics.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdio>
#include <utility>
#include <vector>

#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

namespace acc = boost::accumulators;

constexpr std::string_view name_prefix = "fulmar_";
constexpr std::string_view overflow_caller = "other";

constexpr double us_per_second = 1e6;

struct time_bounds {
  /// Upper bounds in seconds; they hold the targets of 38 ms and 1.4 s.
  static constexpr std::array<double, 15> values{
      0.001, 0.005, 0.01, 0.02, 0.038, 0.06, 0.1, 0.25,
      0.5,   1,     1.4,  2.5,  5,     15,   60};
};

struct token_bounds {
  static constexpr std::array<double, 9> values{1,   4,    16,   64,   256,
                                                512, 1024, 4096, 16384};
};

/// Counts samples in fixed buckets, so that daemons' histograms can be added.
template <typename Bounds>
struct bucket_accumulator : acc::accumulator_base {
  using counts = std::array<std::uint64_t, Bounds::values.size() + 1>;
  using result_type = counts;

  explicit bucket_accumulator(acc::dont_care) {}

  template <typename Args>
  void operator()(const Args& args) {
    const auto& bounds = Bounds::values;
    auto it = std::lower_bound(bounds.begin(), bounds.end(), args[acc::sample]);
    ++counts_[static_cast<std::size_t>(it - bounds.begin())];
  }

  result_type result(acc::dont_care) const { return counts_; }

 private:
  counts counts_{};
};

template <typename Bounds>
struct bucket_tag : acc::depends_on<> {
  using impl = boost::mpl::always<bucket_accumulator<Bounds>>;
};

template <typename Bounds>
using histogram = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, bucket_tag<Bounds>>>;

/// A row of the table of series.
struct series_row {
  std::string labels;
  std::array<histogram<time_bounds>, measure_names.size() - 1> times;
  histogram<token_bounds> tokens;
  std::array<std::uint64_t, counter_names.size()> counters{};
};

std::string number(double value) {
  std::array<char, 32> buf{};
  auto n = std::snprintf(buf.data(), buf.size(), "%.10g", value);
  return {buf.data(), static_cast<std::size_t>(n)};
}

void write_type(std::string& out, std::string_view name,
                std::string_view type) {
  out += concat("# TYPE ", name_prefix, name, " ", type, "\n");
}

void write_value(std::string& out, std::string_view name,
                 const std::string& labels, const std::string& value) {
  out += concat(name_prefix, name, labels.empty() ? "" : "{", labels,
                labels.empty() ? "" : "}", " ", value, "\n");
}

template <typename Bounds>
void write_histogram(std::string& out, std::string_view name,
                     const std::string& labels, const histogram<Bounds>& from) {
  if (acc::count(from) == 0) return;
  auto buckets = acc::extract_result<bucket_tag<Bounds>>(from);
  auto separator = labels.empty() ? "" : ",";
  std::uint64_t below = 0;
  for (std::size_t i = 0; i < buckets.size(); ++i) {
    below += buckets[i];
    auto is_last = i == Bounds::values.size();
    auto bound = is_last ? std::string("+Inf") : number(Bounds::values[i]);
    write_value(out, concat(name, "_bucket"),
                concat(labels, separator, "le=\"", bound, "\""),
                std::to_string(below));
  }
  write_value(out, concat(name, "_sum"), labels, number(acc::sum(from)));
  write_value(out, concat(name, "_count"), labels,
              std::to_string(acc::count(from)));
}

}  // namespace

std::string escaped_label(std::string_view text) {
  auto out = std::string();
  for (auto it : text) {
    if (it == '\n') {
      out += "\\n";
      continue;
    }
    if (it == '"' || it == '\\') out += '\\';
    out += it;
  }
  return out;
}

struct metrics::state {
  metrics_options options;
  std::vector<series_row> rows;
  absl::flat_hash_map<std::string, series> by_labels;
  std::uint64_t pending_results = 0;
};

metrics::metrics(metrics_options options) : state_(std::make_unique<state>()) {
  state_->options = options;
  state_->rows.resize(1);
}

metrics::~metrics() = default;
metrics::metrics(metrics&&) noexcept = default;
metrics& metrics::operator=(metrics&&) noexcept = default;

metrics::series metrics::of(std::string_view class_name,
                            std::string_view caller) {
  auto labels = concat("class=\"", escaped_label(class_name), "\",caller=\"",
                       escaped_label(caller), "\"");
  auto& rows = state_->rows;
  auto it = state_->by_labels.find(labels);
  if (it != state_->by_labels.end()) return it->second;
  if (rows.size() > state_->options.max_series) {
    labels = concat("class=\"", overflow_caller, "\",caller=\"",
                    overflow_caller, "\"");
    it = state_->by_labels.find(labels);
    if (it != state_->by_labels.end()) return it->second;
  }
  state_->by_labels.emplace(labels, rows.size());
  rows.emplace_back().labels = std::move(labels);
  return rows.size() - 1;
}

void metrics::observe(measure what, series at, instant time) {
  auto seconds = static_cast<double>(time.count()) / us_per_second;
  state_->rows.at(at).times.at(static_cast<std::size_t>(what))(seconds);
}

void metrics::observe_tokens(series at, std::uint64_t tokens) {
  state_->rows.at(at).tokens(static_cast<double>(tokens));
}

void metrics::add(counter what, std::uint64_t n, series at) {
  state_->rows.at(at).counters.at(static_cast<std::size_t>(what)) += n;
}

void metrics::set_pending_results(std::uint64_t n) {
  state_->pending_results = n;
}

std::string metrics::text() const {
  auto out = std::string();
  for (const auto& [what, name] : measure_names) {
    write_type(out, name, "histogram");
    for (const auto& row : state_->rows) {
      if (what == measure::tokens) {
        write_histogram(out, name, row.labels, row.tokens);
      } else {
        auto at = static_cast<std::size_t>(what);
        write_histogram(out, name, row.labels, row.times.at(at));
      }
    }
  }
  for (const auto& [what, name] : counter_names) {
    write_type(out, name, "counter");
    for (const auto& row : state_->rows) {
      auto n = row.counters.at(static_cast<std::size_t>(what));
      if (n > 0) write_value(out, name, row.labels, std::to_string(n));
    }
  }
  write_type(out, "pending_results", "gauge");
  write_value(out, "pending_results", "",
              std::to_string(state_->pending_results));
  return out;
}

}  // namespace fulmar
