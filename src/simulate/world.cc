#include "fulmarpitch/simulate/world.h"

#include <algorithm>
#include <utility>

#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/text.h"

namespace fulmar::simulate {
namespace {

constexpr std::size_t trace_length = 60;
constexpr auto least_way = instant(std::chrono::milliseconds(1));
constexpr auto longest_way = instant(std::chrono::milliseconds(200));
constexpr std::uint64_t message_loss_per_mille = 20;
constexpr auto restart_time = instant(std::chrono::seconds(5));

/// A result whose copies are all gone was not promised to outlive them.
void mark_lost_copies(world& it) {
  for (auto& [number, want] : it.intents) {
    if (want.copies.empty() || want.recorded) continue;
    const auto lost =
        std::none_of(want.copies.begin(), want.copies.end(),
                     [&it](const vm_life& copy) { return lives(it, copy); });
    want.copies_lost = want.copies_lost || lost;
  }
}

void count_cut_intents(world& it, const entry_vm& vm) {
  for (const auto& [id, request] : vm.requests) {
    count_fault(it, request.answered ? simulated_fault::killed_after_answer
                                     : simulated_fault::killed_before_answer);
  }
}

void end_life(world& it, entry_vm& vm) {
  vm.alive = false;
  vm.draining = false;
  vm.died = it.now;
  vm.returns = it.now + restart_time;
  vm.requests.clear();
  vm.writer.reset();
  vm.pool.reset();
  vm.finder.reset();
  vm.chunks.clear();
  vm.outbox = entry_outbox(entry_outbox_options{});
  vm.searching = false;
  vm.paused_until = {};
}

std::optional<std::size_t> some_live_vm(const world& it, std::size_t other) {
  for (const auto& vm : it.vms) {
    const auto usable = vm.alive && !vm.draining;
    if (usable && vm.index != other) return vm.index;
  }
  return std::nullopt;
}

/// Gives the sequencer's role to another VM, if there is one.
void move_pool(world& it) {
  if (const auto next = some_live_vm(it, it.pool_vm)) {
    give_pool_role(it, *next);
  }
}

void begin_life(world& it, entry_vm& vm) {
  ++vm.life;
  vm.alive = true;
  note(it, concat("vm ", vm.index, " starts life ", vm.life));
}

/// Ends a life that has nothing left to do.
void finish_shutdown(world& it, entry_vm& vm) {
  const auto idle =
      vm.requests.empty() && vm.outbox.size() == 0 && vm.chunks.empty() &&
      (!vm.writer ||
       (vm.writer->load().results == 0 && vm.writer->load().claims == 0));
  if (!idle) return;
  for (const auto& [number, want] : it.intents) {
    ensure(want.waits_at != life_of(vm), invariant::shutdown_cuts_nothing,
           "a caller waits at a VM that shut down");
  }
  note(it, concat("vm ", vm.index, " shut down"));
  end_life(it, vm);
}

}  // namespace

std::uint64_t draw(world& it, std::uint64_t bound) {
  return it.random() % bound;
}

bool chance(world& it, std::uint64_t per_mille) {
  return it.faulty && draw(it, 1000) < per_mille;
}

instant draw_span(world& it, instant least, instant most) {
  const auto width = static_cast<std::uint64_t>((most - least).count()) + 1;
  return least + instant(static_cast<std::int64_t>(draw(it, width)));
}

void note(world& it, const std::string& event) {
  it.trace.push_back(concat(it.now.count() / 1000, " ms: ", event));
  if (it.trace.size() > trace_length) it.trace.pop_front();
}

void count_fault(world& it, simulated_fault fault, std::uint64_t times) {
  it.faults.at(static_cast<std::size_t>(fault)) += times;
}

void after(world& it, instant delay, std::function<void()> run) {
  it.events.emplace(it.now + delay, std::move(run));
}

bool lives(const world& it, const vm_life& life) {
  const auto& vm = it.vms.at(life.vm);
  return vm.alive && vm.life == life.life;
}

vm_life life_of(const entry_vm& vm) {
  return {vm.index, vm.life};
}

void send(world& it, const vm_life& to, std::function<void()> run) {
  if (chance(it, message_loss_per_mille)) {
    return count_fault(it, simulated_fault::message_lost);
  }
  after(it, draw_span(it, least_way, longest_way),
        [&it, to, run = std::move(run)] {
          if (lives(it, to)) run();
        });
}

std::size_t recorder_of(const world& it, std::size_t vm) {
  const auto second = it.second_recorder_vm;
  return second && vm % 2 == 1 ? *second : it.recorder_vm;
}

void give_recorder_role(world& it, std::size_t vm) {
  auto& to = it.vms.at(vm);
  if (!to.writer) {
    const auto number = it.names_used++;
    to.writer = std::make_unique<recorder>(
        it.stores, recorder_options{.data_centre = std::string(place),
                                    .name = concat("recorder-", number),
                                    .random_seed = it.random()});
  }
  for (auto& other : it.vms)
    other.outbox.recorder_changed();
  note(it, concat("vm ", vm, " records"));
}

void kill_vm(world& it, std::size_t vm) {
  auto& lost = it.vms.at(vm);
  if (!lost.alive) return;
  if (lost.writer) count_fault(it, simulated_fault::recorder_lost);
  if (lost.pool) count_fault(it, simulated_fault::sequencer_lost);
  count_cut_intents(it, lost);
  note(it, concat("vm ", vm, " is lost"));
  after(it, detection_time,
        [&it, life = life_of(lost)] { tell_origin_gone(it, life); });
  end_life(it, lost);
  mark_lost_copies(it);
}

bool begin_shutdown(world& it, std::size_t vm) {
  auto& leaving = it.vms.at(vm);
  const auto next = some_live_vm(it, vm);
  if (!leaving.alive || leaving.draining || !next) return false;
  count_fault(it, simulated_fault::graceful_shutdown);
  note(it, concat("vm ", vm, " is asked to shut down"));
  leaving.draining = true;
  if (it.second_recorder_vm == vm) it.second_recorder_vm.reset();
  if (it.pool_vm == vm) move_pool(it);
  if (it.recorder_vm != vm) return true;
  it.recorder_vm = *next;
  give_recorder_role(it, *next);
  return true;
}

/// Gives roles away whose holder was lost, or came back without them.
void move_recorder(world& it) {
  const auto& holder = it.vms.at(it.recorder_vm);
  const auto lost = !holder.alive && it.now >= holder.died + detection_time;
  const auto restarted = holder.alive && !holder.writer;
  if (!lost && !restarted) return;
  const auto next = some_live_vm(it, it.recorder_vm);
  if (!next) return;
  it.recorder_vm = *next;
  give_recorder_role(it, *next);
}

void run_vms(world& it) {
  for (auto& vm : it.vms) {
    if (!vm.alive && it.now >= vm.returns) begin_life(it, vm);
    if (vm.alive && vm.draining) finish_shutdown(it, vm);
  }
  if (it.second_recorder_vm && !it.vms.at(*it.second_recorder_vm).alive) {
    it.second_recorder_vm.reset();
  }
  move_recorder(it);
  const auto& host = it.vms.at(it.pool_vm);
  const auto lost = !host.alive && it.now >= host.died + detection_time;
  if (lost || (host.alive && !host.pool)) move_pool(it);
}

}  // namespace fulmar::simulate
