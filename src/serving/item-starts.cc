#include "fulmarpitch/serving/item-starts.h"

#include <utility>

namespace fulmar::serving {

int start_items(const job_runs& runs, instant now, instant store_now, int most,
                service_names held, const item_starter& starter) {
  auto started = 0;
  while (started < most) {
    auto options = item_order_options();
    if (!held.empty()) {
      options.accepts = [&](const job_run& run, const job_item& item) {
        return !held.contains(starter.service_of(run, item));
      };
    }
    auto next = next_item(runs, now, store_now, options);
    if (!next) break;
    auto result = starter.start(next->ref, item_reach::data_centre);
    if (result == item_start::no_room) {
      const auto& run = runs.at(next->ref.job);
      auto service =
          std::string(starter.service_of(run, run.items[next->ref.item]));
      options.only_urgent = true;
      options.accepts = [&](const job_run& of, const job_item& item) {
        return starter.service_of(of, item) == service;
      };
      auto urgent = next_item(runs, now, store_now, options);
      if (urgent) result = starter.start(urgent->ref, item_reach::anywhere);
      if (result == item_start::no_room) held.insert(std::move(service));
    }
    if (result == item_start::started) ++started;
  }
  return started;
}

}  // namespace fulmar::serving
