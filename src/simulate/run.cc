#include <algorithm>
#include <utility>

#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/simulate/world.h"

namespace fulmar::simulate {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t vm_count = 5;
constexpr std::size_t target_count = 3;
constexpr auto round_length = instant(60s);
constexpr auto longest_settling = instant(20min);
constexpr auto quiet_time = instant(40s);
constexpr std::uint32_t jobs_per_round = 3;

/// Rows whose conditions a run does without.
std::string_view dropped_prefix(safeguard without) {
  switch (without) {
    case safeguard::fencing:
      return "chunk/";
    case safeguard::started_record:
      return "started/";
    case safeguard::dedupe:
      return "key/";
    case safeguard::group_numbers:
      return "result-head/";
    case safeguard::job_state:
      return "job/";
    case safeguard::none:
      break;
  }
  return "";
}

/// Leaves out the conditions on some rows, as if the code did not ask for them.
table_store without_conditions(table_store inner, std::string_view prefix) {
  if (prefix.empty()) return inner;
  auto out = inner;
  out.commit = [inner, prefix](table_transaction transaction,
                               callback<commit_result> done) {
    auto& conditions = transaction.conditions;
    conditions.erase(std::remove_if(conditions.begin(), conditions.end(),
                                    [prefix](const auto& it) {
                                      return it.key.starts_with(prefix);
                                    }),
                     conditions.end());
    inner.commit(std::move(transaction), std::move(done));
  };
  return out;
}

store_fault_plan make_plan(std::uint64_t seed) {
  return {.seed = seed,
          .fail_before_per_mille = 20,
          .lose_reply_per_mille = 20,
          .late_effect_per_mille = 10,
          .least_delay = 1ms,
          .most_delay = 60ms};
}

world make_world(const simulation_options& options) {
  auto it = world();
  it.options = options;
  it.random.seed(options.seed);
  it.memory = make_memory_stores(make_plan(options.seed));
  it.stores = {without_conditions(make_table_store(it.memory),
                                  dropped_prefix(options.without)),
               make_object_store(it.memory)};
  it.vms.resize(vm_count);
  for (std::size_t n = 0; n < vm_count; ++n)
    it.vms[n].index = n;
  for (std::size_t n = 0; n < target_count; ++n) {
    it.targets.push_back({concat("target-", n), std::nullopt});
  }
  return it;
}

void tick(world& it) {
  it.now += tick_length;
  deliver(*it.memory, it.now);
  while (!it.events.empty() && it.events.begin()->first <= it.now) {
    const auto run = std::move(it.events.begin()->second);
    it.events.erase(it.events.begin());
    run();
  }
  run_vms(it);
  start_intents(it);
  run_entries(it);
  run_pool(it);
  run_jobs(it);
  run_workers(it);
}

std::size_t any_vm(world& it) {
  return draw(it, it.vms.size());
}

/// A VM that holds a chunk, so that a pause or a loss hits work.
std::size_t busy_vm(world& it) {
  const auto first = any_vm(it);
  for (std::size_t n = 0; n < it.vms.size(); ++n) {
    const auto at = (first + n) % it.vms.size();
    if (!it.vms[at].chunks.empty()) return at;
  }
  return first;
}

bool pause_worker(world& it) {
  auto& vm = it.vms.at(busy_vm(it));
  if (!vm.alive) return false;
  count_fault(it, simulated_fault::holder_paused);
  note(it, concat("the worker of vm ", vm.index, " is paused"));
  vm.paused_until = it.now + draw_span(it, 5s, 40s);
  return true;
}

bool split_view(world& it) {
  const auto vm = any_vm(it);
  if (!it.vms[vm].alive || it.vms[vm].draining) return false;
  if (vm == it.recorder_vm) return false;
  count_fault(it, simulated_fault::split_view);
  it.second_recorder_vm = vm;
  give_recorder_role(it, vm);
  after(it, draw_span(it, 2s, 15s), [&it] {
    it.second_recorder_vm.reset();
    for (auto& other : it.vms)
      other.outbox.recorder_changed();
  });
  return true;
}

bool store_outage(world& it) {
  count_fault(it, simulated_fault::store_outage);
  note(it, "the stores are down");
  const auto length = draw_span(it, 1s, 15s);
  it.memory->plan.outages = {{it.now, it.now + length}};
  return true;
}

bool slow_stores(world& it) {
  count_fault(it, simulated_fault::store_slow);
  note(it, "the stores are slow");
  it.memory->plan.most_delay = 3s;
  after(it, draw_span(it, 2s, 10s), [&it] {
    if (it.faulty) it.memory->plan.most_delay = 60ms;
  });
  return true;
}

/// Cancels a job, which may end before the cancellation reaches the store.
bool cancel_running_job(world& it) {
  for (auto& job : it.jobs) {
    const auto cancelled = job.wants_cancel || job.cancelled_at > instant{};
    if (!job.job || job.content || cancelled) continue;
    job.wants_cancel = true;
    return true;
  }
  return false;
}

/// Cancels a job as soon as it is accepted.
bool cancel_new_job(world& it) {
  for (auto& job : it.jobs) {
    if (job.job || job.wants_cancel) continue;
    job.wants_cancel = true;
    return true;
  }
  return false;
}

using fault = std::function<bool(world&)>;

bool kill_live_vm(world& it, std::size_t vm) {
  const auto lives = it.vms.at(vm).alive;
  kill_vm(it, vm);
  return lives;
}

/// Injects a fault as soon as there is something that it can hit.
void inject(world& it, const fault& run) {
  if (!it.faulty || run(it)) return;
  after(it, tick_length, [&it, run] { inject(it, run); });
}

/// Plans the faults of a round, each at its own moment, some of them together.
void plan_round(world& it) {
  const auto faults = std::vector<fault>{
      [](world& w) { return kill_live_vm(w, any_vm(w)); },
      [](world& w) { return kill_live_vm(w, busy_vm(w)); },
      [](world& w) { return kill_live_vm(w, w.recorder_vm); },
      [](world& w) { return kill_live_vm(w, w.pool_vm); },
      [](world& w) { return leave_target(w, draw(w, target_count)); },
      [](world& w) { return begin_shutdown(w, any_vm(w)); },
      pause_worker,
      pause_worker,
      split_view,
      split_view,
      store_outage,
      slow_stores,
      cancel_running_job,
      cancel_new_job,
  };
  for (const auto& run : faults) {
    after(it, draw_span(it, 0s, round_length), [&it, run] { inject(it, run); });
  }
  for (std::uint32_t n = 0; n < jobs_per_round; ++n) {
    after(it, draw_span(it, 0s, round_length), [&it] { start_job(it); });
  }
}

/// Ends all faults; what was accepted must now reach its end.
void heal(world& it) {
  it.faulty = false;
  it.accepting = false;
  it.second_recorder_vm.reset();
  it.memory->plan = {};
  for (auto& vm : it.vms)
    vm.outbox.recorder_changed();
}

void copy_store_faults(world& it) {
  const auto& counts = it.memory->counts;
  count_fault(it, simulated_fault::store_failed_before, counts.failed_before);
  count_fault(it, simulated_fault::store_reply_lost, counts.replies_lost);
  count_fault(it, simulated_fault::store_late_effect, counts.late_effects);
}

void run_to_the_end(world& it) {
  for (std::uint32_t n = 0; n < it.options.rounds; ++n) {
    plan_round(it);
    const auto end = it.now + round_length;
    while (it.now < end)
      tick(it);
  }
  heal(it);
  const auto last = it.now + longest_settling;
  while (!all_settled(it) && it.now < last)
    tick(it);
  // Paused holders come back and late effects arrive.
  for (const auto end = it.now + quiet_time; it.now < end;)
    tick(it);
  check_intents(it);
  check_jobs(it);
}

simulation_report make_report(world& it) {
  copy_store_faults(it);
  auto out = simulation_report{.faults = it.faults,
                               .requests = it.intents.size(),
                               .jobs = it.jobs.size(),
                               .store_writes = it.memory->counts.writes(),
                               .length = it.now};
  for (const auto& [number, want] : it.intents) {
    out.results += want.answer ? 1 : 0;
    out.copies_lost += want.excused ? 1 : 0;
  }
  for (const auto& job : it.jobs)
    out.items += job.items;
  return out;
}

}  // namespace

bool all_settled(const world& it) {
  const auto asked =
      std::all_of(it.intents.begin(), it.intents.end(),
                  [](const auto& entry) { return entry.second.settled; });
  const auto read =
      std::all_of(it.jobs.begin(), it.jobs.end(),
                  [](const auto& job) { return job.content.has_value(); });
  const auto idle =
      std::all_of(it.vms.begin(), it.vms.end(), [](const auto& vm) {
        return vm.outbox.size() == 0 && vm.requests.empty();
      });
  return asked && read && idle;
}

}  // namespace fulmar::simulate

namespace fulmar {

simulation_report run_simulation(const simulation_options& options) {
  auto it = simulate::make_world(options);
  const auto pending = pending_calls_scope(it.memory);
  simulate::give_recorder_role(it, 0);
  simulate::give_pool_role(it, 1);
  auto broken = std::string();
  try {
    simulate::run_to_the_end(it);
  } catch (const invariant_broken& error) {
    broken = error.what();
    for (const auto& line : it.trace)
      broken += concat('\n', line);
  }
  auto out = simulate::make_report(it);
  out.broken = std::move(broken);
  return out;
}

}  // namespace fulmar
