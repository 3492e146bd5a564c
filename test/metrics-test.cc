#include "fulmarpitch/daemon/metrics.h"

#include <catch2/catch.hpp>

#include "fulmarpitch/core/text.h"

using namespace fulmar;

namespace {

bool has_line(const std::string& text, const std::string& line) {
  return concat("\n", text).find(concat("\n", line, "\n")) != std::string::npos;
}

std::size_t count_of(const std::string& text, const std::string& part) {
  std::size_t out = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++out;
  }
  return out;
}

}  // namespace

TEST_CASE("histograms count by bucket, bounds included, and add up") {
  auto it = metrics();
  auto at = it.of("drivers", "north");
  for (auto ms : {1, 38, 39, 1400, 100000}) {
    it.observe(measure::first_token, at, std::chrono::milliseconds(ms));
  }
  it.observe_tokens(at, 300);
  auto text = it.text();
  auto name = std::string("fulmar_first_token_seconds");
  auto labels = std::string("class=\"drivers\",caller=\"north\"");
  auto bucket = [&](const char* bound, int n) {
    return concat(name, "_bucket{", labels, ",le=\"", bound, "\"} ", n);
  };
  CHECK(has_line(text, concat("# TYPE ", name, " histogram")));
  CHECK(has_line(text, bucket("0.001", 1)));
  CHECK(has_line(text, bucket("0.038", 2)));
  CHECK(has_line(text, bucket("0.06", 3)));
  CHECK(has_line(text, bucket("1.4", 4)));
  CHECK(has_line(text, bucket("60", 4)));
  CHECK(has_line(text, bucket("+Inf", 5)));
  CHECK(has_line(text, concat(name, "_sum{", labels, "} 101.478")));
  CHECK(has_line(text, concat(name, "_count{", labels, "} 5")));
  CHECK(has_line(text,
                 concat("fulmar_tokens_bucket{", labels, ",le=\"256\"} 0")));
  CHECK(has_line(text, concat("fulmar_tokens_sum{", labels, "} 300")));
  CHECK(count_of(text, "fulmar_queue_seconds_count") == 0);
}

TEST_CASE("counters stand for the process or for a class and caller") {
  auto it = metrics();
  it.add(counter::store_calls, 3);
  it.add(counter::sheds, 2, it.of("a", "x"));
  it.add(counter::sheds, 1, it.of("a", "x"));
  it.set_pending_results(7);
  auto text = it.text();
  CHECK(has_line(text, "fulmar_store_calls_total 3"));
  CHECK(has_line(text, "fulmar_sheds_total{class=\"a\",caller=\"x\"} 3"));
  CHECK(has_line(text, "fulmar_pending_results 7"));
}

TEST_CASE("callers beyond the bound share one series") {
  auto it = metrics({.max_series = 360});
  for (auto i = 0; i < 5000; ++i) {
    auto at = it.of("class", std::to_string(i));
    it.add(counter::retries, 1, at);
    CHECK(at <= 361);
  }
  auto text = it.text();
  CHECK(count_of(text, "fulmar_retries_total{") == 361);
  CHECK(has_line(
      text, "fulmar_retries_total{class=\"other\",caller=\"other\"} 4640"));
  CHECK(it.of("class", "7") == it.of("class", "7"));
}

TEST_CASE("labels can't break the text") {
  auto it = metrics();
  it.add(counter::sheds, 1, it.of("a\"b", "c\\d\ne"));
  CHECK(
      has_line(it.text(),
               "fulmar_sheds_total{class=\"a\\\"b\",caller=\"c\\\\d\\ne\"} 1"));
}
