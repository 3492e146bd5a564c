#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include "fulmarpitch/model/ways.h"

namespace fulmar::model {
namespace {

constexpr instant share_interval = std::chrono::seconds(1);

struct simple_target {
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t online = 0;
  std::uint32_t reported = 0;
  bool is_open = false;
};

struct simple_request {
  bool is_batch = false;
  std::uint32_t attempt = 0;
  std::uint32_t target = 0;
  std::uint32_t daemon = 0;
  bool is_running = false;
};

// One queue for each decider: a daemon, or the owner of a target.
struct simple_queue {
  std::deque<std::uint32_t> online;
  std::deque<std::uint32_t> batch;
  std::uint32_t running = 0;
  std::uint32_t share = 0;
};

class simple_decider {
 public:
  simple_decider(const simple_options& options, const world_options& world)
      : options_(options),
        random_(world.seed),
        targets_(world.engines),
        queues_(options.owner_per_target ? world.engines : options.daemons) {}

  void apply(const sequencer_event& event) {
    if (const auto* it = std::get_if<submit_event>(&event)) submit(*it);
    if (const auto* it = std::get_if<finished_event>(&event)) finish(*it);
    if (const auto* it = std::get_if<load_report_event>(&event))
      target(it->target).reported = it->running + it->queued;
    if (const auto* it = std::get_if<target_event>(&event)) {
      auto& each = target(it->target.name);
      each.slots = it->target.slots;
      each.is_open = !it->target.leaving;
    }
    if (const auto* it = std::get_if<target_gone_event>(&event))
      target(it->target).is_open = false;
  }

  std::vector<action> tick(instant now) {
    if (now >= shared_at_ + share_interval || shared_at_ == instant{})
      share_slots(now);
    auto result = std::vector<action>();
    for (std::uint32_t q = 0; q < queues_.size(); ++q) {
      while (serve(q, queues_[q].online, false, result)) {
      }
      while (serve(q, queues_[q].batch, true, result)) {
      }
    }
    return result;
  }

 private:
  simple_target& target(const std::string& name) {
    return targets_[std::stoul(name.substr(name.rfind('-') + 1))];
  }

  std::uint32_t any(std::size_t count) {
    return std::uniform_int_distribution<std::uint32_t>(
        0, static_cast<std::uint32_t>(count) - 1)(random_);
  }

  void submit(const submit_event& event) {
    auto n = static_cast<std::uint32_t>(std::stoul(event.item.id));
    auto q = any(queues_.size());
    if (options_.owner_per_target) {
      auto other = any(queues_.size());
      if (length(other) < length(q)) q = other;
    }
    requests_[n] = {.is_batch = event.item.kind == work_kind::batch,
                    .attempt = event.attempt,
                    .daemon = q};
    enqueue(n);
  }

  std::size_t length(std::uint32_t q) const {
    return queues_[q].online.size() + targets_[q].running;
  }

  void enqueue(std::uint32_t n) {
    auto& it = requests_[n];
    auto& queue = queues_[it.daemon];
    auto joins_online =
        !it.is_batch || options_.batch == batch_rule::like_online;
    (joins_online ? queue.online : queue.batch).push_back(n);
  }

  void finish(const finished_event& event) {
    auto n = static_cast<std::uint32_t>(std::stoul(event.request_id));
    auto& it = requests_[n];
    if (!it.is_running || it.attempt != event.attempt) return;
    it.is_running = false;
    auto& at = targets_[it.target];
    --at.running;
    if (!it.is_batch) --at.online;
    --queues_[it.daemon].running;
    if (event.end == attempt_end::target_lost) enqueue(n);
  }

  // Shares follow demand: what a daemon runs and has queued, and one more.
  void share_slots(instant now) {
    shared_at_ = now;
    auto slots = std::uint64_t(0);
    auto sum = std::uint64_t(0);
    for (const auto& it : targets_)
      slots += it.is_open ? it.slots : 0;
    auto demand_of = [](const simple_queue& it) {
      return it.running + it.online.size() + 1;
    };
    for (const auto& it : queues_)
      sum += demand_of(it);
    auto demand = std::max<std::uint64_t>(sum, 1);
    for (auto& it : queues_)
      it.share = static_cast<std::uint32_t>(slots * demand_of(it) / demand);
  }

  bool may_use(std::uint32_t t, bool is_batch) const {
    const auto& it = targets_[t];
    if (!it.is_open) return false;
    auto is_full = it.running >= it.slots;
    switch (options_.batch) {
      case batch_rule::like_online:
        return options_.queues_at_engine || !is_full;
      case batch_rule::own_targets:
        return !is_full && is_batch == (t % 2 == 1);
      case batch_rule::empty_target:
        return !is_full && (!is_batch || it.online == 0);
      case batch_rule::spare_slots:
        if (is_batch) return it.running + it.slots / 8 < it.slots;
        return options_.queues_at_engine || !is_full;
    }
    return false;
  }

  std::uint32_t load(std::uint32_t t) const {
    // A decider that is one of many sees the others by reports alone.
    return options_.where == placement::two_choices ? targets_[t].reported
                                                    : targets_[t].running;
  }

  std::optional<std::uint32_t> place(std::uint32_t q, bool is_batch) {
    auto open = std::vector<std::uint32_t>();
    for (std::uint32_t t = 0; t < targets_.size(); ++t) {
      if (options_.owner_per_target && t != q) continue;
      if (may_use(t, is_batch)) open.push_back(t);
    }
    if (open.empty()) return std::nullopt;
    if (options_.where == placement::random) return open[any(open.size())];
    auto by_load = [this](auto a, auto b) { return load(a) < load(b); };
    if (options_.where == placement::least_loaded)
      return *std::min_element(open.begin(), open.end(), by_load);
    auto a = open[any(open.size())];
    auto b = open[any(open.size())];
    return std::min(a, b, by_load);
  }

  bool serve(std::uint32_t q, std::deque<std::uint32_t>& from, bool is_batch,
             std::vector<action>& out) {
    auto& queue = queues_[q];
    if (from.empty()) return false;
    auto has_share = options_.daemons == 1 || options_.queues_at_engine ||
                     queue.running < queue.share;
    if (!has_share) return false;
    auto n = from.front();
    auto t = place(q, is_batch || requests_[n].is_batch);
    if (!t) return false;
    from.pop_front();
    auto& it = requests_[n];
    it.target = *t;
    it.is_running = true;
    ++it.attempt;
    ++queue.running;
    ++targets_[*t].running;
    if (!it.is_batch) ++targets_[*t].online;
    out.push_back({.request = n, .attempt = it.attempt, .target = *t});
    return true;
  }

  simple_options options_;
  std::mt19937_64 random_;
  instant shared_at_{};
  std::vector<simple_target> targets_;
  std::vector<simple_queue> queues_;
  std::map<std::uint32_t, simple_request> requests_;
};

}  // namespace

way simple_way(const simple_options& options, const world_options& world) {
  auto held = std::make_shared<simple_decider>(options, world);
  return {.name = options.name,
          .apply = [held](const sequencer_event& event,
                          instant) { held->apply(event); },
          .tick = [held](instant now) { return held->tick(now); }};
}

}  // namespace fulmar::model
