#include "fulmarpitch/model/figures.h"

#include <algorithm>
#include <map>

namespace fulmar::model {
namespace {

constexpr std::int64_t gap_bin_us = 250;

double to_ms(instant it) {
  return static_cast<double>(it.count()) / 1000;
}

double quantile(std::vector<double>& values, double q) {
  if (values.empty()) return 0;
  auto at = static_cast<std::size_t>(q * static_cast<double>(values.size()));
  at = std::min(at, values.size() - 1);
  auto place = values.begin() + static_cast<std::ptrdiff_t>(at);
  std::nth_element(values.begin(), place, values.end());
  return *place;
}

double gap_quantile(const run_tally& tally, double q) {
  auto total = std::uint64_t(0);
  for (auto n : tally.gaps)
    total += n;
  auto left = static_cast<double>(total) * q;
  for (std::size_t i = 0; i < tally.gaps.size(); ++i) {
    left -= static_cast<double>(tally.gaps[i]);
    if (left <= 0 && total > 0)
      return to_ms(instant(gap_bin_us * static_cast<std::int64_t>(i + 1)));
  }
  return 0;
}

// Finished work in full, running work by what it has produced.
double tokens_of(const request_log& it) {
  if (it.first_token_at == instant{}) return 0;
  return it.item.prompt_tokens + it.produced;
}

double jain_index(const std::map<std::string, double>& served) {
  auto sum = 0.0;
  auto squares = 0.0;
  for (const auto& [caller, tokens] : served) {
    sum += tokens;
    squares += tokens * tokens;
  }
  auto n = static_cast<double>(served.size());
  return squares == 0 ? 0 : sum * sum / (n * squares);
}

void add_online(run_figures& out, const request_log& it,
                std::vector<double>& first_tokens) {
  ++out.online_sent;
  out.online_refused += it.is_refused ? 1 : 0;
  out.online_tokens += tokens_of(it);
  if (it.first_token_at != instant{})
    first_tokens.push_back(to_ms(it.first_token_at - it.item.arrival));
  if (it.done_at == instant{}) return;
  ++out.online_done;
  if (it.done_at <= it.item.deadline) out.goodput += 1;
}

}  // namespace

void run_tally::add_gap(instant gap) {
  auto bin = static_cast<std::size_t>(gap.count() / gap_bin_us);
  ++gaps[std::min(bin, gaps.size() - 1)];
}

run_figures figures_of(const world_options& options,
                       const std::vector<request_log>& requests,
                       const std::vector<engine>& engines,
                       const run_tally& tally) {
  auto out = run_figures{.gap_p95 = gap_quantile(tally, 0.95),
                         .give_way = to_ms(tally.give_way),
                         .preemptions = tally.preemptions,
                         .targets_lost = tally.targets_lost,
                         .first_attempts = tally.first_attempts,
                         .retries = tally.retries,
                         .leaving_ms = to_ms(tally.leaving),
                         .double_runs = tally.double_runs};
  auto first_tokens = std::vector<double>();
  auto served = std::map<std::string, double>();
  for (const auto& it : requests) {
    if (it.item.kind == work_kind::batch) {
      out.batch_tokens += tokens_of(it);
      continue;
    }
    add_online(out, it, first_tokens);
    served[it.item.caller] += tokens_of(it);
  }
  out.ttft_p50 = quantile(first_tokens, 0.5);
  out.ttft_p99 = quantile(first_tokens, 0.99);
  out.goodput /= std::chrono::duration<double>(options.duration).count();
  out.jain_index = jain_index(served);
  auto seen = 0.0;
  auto cached = 0.0;
  for (const auto& it : engines) {
    seen += static_cast<double>(it.prompt_tokens_seen);
    cached += static_cast<double>(it.prompt_tokens_cached);
    for (const auto& each : it.running) {
      auto is_batch = requests[each.request].item.kind == work_kind::batch;
      (is_batch ? out.batch_tokens : out.online_tokens) += each.produced;
    }
  }
  out.prefix_hit_rate = seen == 0 ? 0 : cached / seen;
  return out;
}

}  // namespace fulmar::model
