#include "fulmarpitch/serving/job-owner.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace fulmar::serving {
namespace {

/// Time constant of the moving averages.
constexpr auto averaging_time = std::chrono::duration<double>(5);

/// Tokens that wait at each owner and in each data centre.
struct waiting_work {
  absl::flat_hash_map<std::string, double> owners;
  absl::flat_hash_map<std::string, double> data_centres;
};

waiting_work sum_waiting(const job_book& book) {
  auto out = waiting_work();
  for (const auto& [id, it] : book.jobs) {
    if (!it.open()) continue;
    auto tokens = static_cast<double>(it.waiting_tokens);
    out.owners[it.owner.name] += tokens;
    out.data_centres[it.owner.data_centre] += tokens;
  }
  return out;
}

double value_of(const absl::flat_hash_map<std::string, double>& in,
                const std::string& key) {
  auto it = in.find(key);
  return it == in.end() ? 0 : it->second;
}

/// \return tokens for each slot that batch gets in a data centre, with a new
///     job; infinite if its loads are unknown.
double pressure(const waiting_work& waiting, const data_centre_loads& loads,
                const std::string& data_centre, double tokens,
                const job_owner_options& options) {
  auto it = loads.find(data_centre);
  if (it == loads.end() || it->second.slots <= 0)
    return std::numeric_limits<double>::infinity();
  const auto& load = it->second;
  auto batch_slots =
      std::max(load.slots - load.online, load.slots * options.min_batch_share);
  return (value_of(waiting.data_centres, data_centre) + tokens) / batch_slots;
}

}  // namespace

void update_mean_loads(data_centre_loads& mean,
                       const data_centre_loads& current, instant elapsed) {
  absl::erase_if(mean,
                 [&](const auto& it) { return !current.contains(it.first); });
  auto weight = std::min(1.0, elapsed / averaging_time);
  for (const auto& [name, load] : current) {
    auto [it, added] = mean.try_emplace(name, load);
    it->second.slots = load.slots;
    it->second.online += (load.online - it->second.online) * weight;
  }
}

job_owner choose_owner(const job_book& book, std::span<const job_owner> among,
                       const data_centre_loads& loads, const job_owner& self,
                       std::uint64_t tokens, const job_owner_options& options) {
  auto waiting = sum_waiting(book);
  auto pressure_in = [&](const std::string& data_centre) {
    return pressure(waiting, loads, data_centre, static_cast<double>(tokens),
                    options);
  };
  auto best = self.data_centre;
  auto limit = pressure_in(best) / options.min_gain;
  for (const auto& it : among) {
    auto value = pressure_in(it.data_centre);
    if (value >= limit) continue;
    limit = value;
    best = it.data_centre;
  }
  auto out = self;
  auto least = best == self.data_centre
                   ? value_of(waiting.owners, self.name) / options.min_gain -
                         static_cast<double>(tokens)
                   : std::numeric_limits<double>::infinity();
  for (const auto& it : among) {
    auto value = value_of(waiting.owners, it.name);
    if (it.data_centre != best || value >= least) continue;
    least = value;
    out = it;
  }
  return out;
}

}  // namespace fulmar::serving
