#include <algorithm>
#include <utility>

#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/simulate/world.h"

namespace fulmar::simulate {
namespace {

/// Entries and the sequencer talk over connections: in order, without loss.
constexpr auto one_way = instant(std::chrono::milliseconds(5));
constexpr auto hand_over_time = instant(std::chrono::milliseconds(100));
constexpr auto least_run = instant(std::chrono::milliseconds(100));
constexpr auto longest_run = instant(std::chrono::seconds(3));
constexpr auto most_wait = instant(std::chrono::seconds(30));
constexpr auto leaving_grace = instant(std::chrono::seconds(3));
constexpr std::uint32_t slots_per_target = 5;
constexpr std::uint64_t target_loss_per_mille = 50;
constexpr std::string_view model_name = "m";
constexpr std::string_view class_name = "online";

std::string origin_of(const vm_life& life) {
  return concat(life.vm, '.', life.life);
}

vm_life life_of_origin(const std::string& origin) {
  return {std::stoul(origin), std::stoul(origin.substr(origin.find('.') + 1))};
}

target_info describe(const pool_target& target) {
  return {.name = target.name,
          .address = target.name,
          .data_centre = std::string(place),
          .models = {std::string(model_name)},
          .slots = slots_per_target,
          .leaving = target.leaving_since.has_value()};
}

pool_policy policy() {
  return {.classes = {{.name = std::string(class_name)}},
          .callers = {{.name = std::string(caller_name),
                       .class_name = std::string(class_name)}}};
}

/// Tells the sequencer that the entries believe in.
void tell(world& it, sequencer_event event) {
  const auto to = life_of(it.vms.at(it.pool_vm));
  after(it, one_way, [&it, to, event = std::move(event)] {
    const auto& pool = it.vms.at(to.vm).pool;
    if (lives(it, to) && pool) pool->apply(event, it.now);
  });
}

submit_event describe(const entry_request& request, const intent& want,
                      const vm_life& at) {
  auto out = submit_event();
  out.item = {.id = request.claimant,
              .caller = std::string(caller_name),
              .class_name = std::string(class_name),
              .model = std::string(model_name),
              .prompt_tokens = 100,
              .max_tokens = 100,
              .content_hash = want.number + 1,
              .arrival = request.submitted_at,
              .deadline = request.submitted_at + most_wait,
              .no_repeat = want.no_repeat};
  out.origin = origin_of(at);
  out.attempt = request.attempt;
  if (request.running) out.target = request.target;
  return out;
}

/// Submits again what an entry holds, to a new sequencer.
void submit_held(world& it) {
  for (auto& vm : it.vms) {
    if (!vm.alive) continue;
    for (const auto& [claimant, request] : vm.requests) {
      if (!request.submitted || request.finished) continue;
      tell(it, describe(request, it.intents.at(request.intent), life_of(vm)));
    }
  }
}

/// Finds a request that still runs this attempt.
entry_request* find_attempt(world& it, const vm_life& at,
                            const std::string& claimant,
                            std::uint32_t attempt) {
  if (!lives(it, at)) return nullptr;
  auto& requests = it.vms.at(at.vm).requests;
  const auto found = requests.find(claimant);
  if (found == requests.end()) return nullptr;
  auto& request = found->second;
  return request.running && request.attempt == attempt ? &request : nullptr;
}

void end_attempt(world& it, const vm_life& at, const std::string& claimant,
                 std::uint32_t attempt) {
  auto* const request = find_attempt(it, at, claimant, attempt);
  if (request == nullptr) return;
  request->running = false;
  const auto lost = chance(it, target_loss_per_mille);
  if (lost) count_fault(it, simulated_fault::target_lost);
  tell(it, finished_event{
               .request_id = claimant,
               .attempt = attempt,
               .end = lost ? attempt_end::failed : attempt_end::completed,
               .tokens_produced = lost ? 0U : 100U});
  if (!lost) finish(it, at, claimant, error_code::none, outcome::ran);
}

void check_target(const world& it, const std::string& name) {
  for (const auto& target : it.targets) {
    if (target.name != name || !target.leaving_since) continue;
    ensure(it.now <= *target.leaving_since + leaving_grace,
           invariant::leaving_gets_nothing, "a leaving target got a request");
  }
}

/// An admission reaches its entry. An attempt that the entry does not want
/// any more is given back.
void admit(world& it, const vm_life& at, const admit_command& command) {
  auto& requests = it.vms.at(at.vm).requests;
  const auto found = requests.find(command.request_id);
  if (found == requests.end() || found->second.finished) {
    return tell(it, finished_event{.request_id = command.request_id,
                                   .attempt = command.attempt,
                                   .end = attempt_end::cancelled});
  }
  auto& request = found->second;
  if (request.running || command.attempt <= request.attempt) return;
  request.running = true;
  request.attempt = command.attempt;
  request.target = command.chosen.target;
  check_target(it, request.target);
  auto& want = it.intents.at(request.intent);
  ++want.executions;
  ensure(!want.no_repeat || want.executions <= 1, invariant::at_most_once,
         "a no-repeat request left for a target twice");
  after(it, draw_span(it, least_run, longest_run),
        [&it, at, claimant = command.request_id, attempt = command.attempt] {
          end_attempt(it, at, claimant, attempt);
        });
}

/// A refusal is the request's result. Whether a lost holder had run a request
/// that was taken over is not known.
void refused(world& it, const vm_life& at, const refuse_command& command) {
  auto& requests = it.vms.at(at.vm).requests;
  const auto found = requests.find(command.request_id);
  if (found == requests.end() || found->second.finished) return;
  const auto& request = found->second;
  const auto not_run = command.what == outcome::not_run;
  ensure(!not_run || request.attempt == 0, invariant::not_run_is_true,
         "a request that left the VM was refused as not run");
  const auto what =
      not_run && request.taken_over ? outcome::unknown : command.what;
  finish(it, at, command.request_id, command.code, what);
}

/// Brings a command to its entry.
struct command_carrier {
  world& it;

  template <typename Then>
  void carry(const std::string& origin, Then then) const {
    const auto at = life_of_origin(origin);
    after(it, one_way, [&w = it, at, then = std::move(then)] {
      if (lives(w, at)) then(w, at);
    });
  }

  void operator()(const admit_command& command) const {
    carry(command.origin,
          [command](world& w, const vm_life& at) { admit(w, at, command); });
  }

  void operator()(const refuse_command& command) const {
    carry(command.origin,
          [command](world& w, const vm_life& at) { refused(w, at, command); });
  }

  void operator()(const preempt_command& command) const {
    stop(command.origin, command.request_id, command.attempt,
         attempt_end::preempted);
  }

  void operator()(const cancel_command& command) const {
    stop(command.origin, command.request_id, command.attempt,
         attempt_end::cancelled);
  }

  void stop(const std::string& origin, const std::string& id,
            std::uint32_t attempt, attempt_end end) const {
    carry(origin, [id, attempt, end](world& w, const vm_life& at) {
      auto* const request = find_attempt(w, at, id, attempt);
      if (request == nullptr) return;
      request->running = false;
      tell(w, finished_event{.request_id = id, .attempt = attempt, .end = end});
    });
  }
};

std::uint64_t number_of(const sequencer_command& command) {
  return std::visit([](const auto& it) { return it.number; }, command);
}

}  // namespace

void submit(world& it, const vm_life& at, const std::string& claimant) {
  auto& request = it.vms.at(at.vm).requests.at(claimant);
  request.submitted = true;
  request.submitted_at = it.now;
  tell(it, describe(request, it.intents.at(request.intent), at));
}

void give_pool_role(world& it, std::size_t vm) {
  it.vms.at(it.pool_vm).pool.reset();
  it.pool_vm = vm;
  auto& pool = it.vms.at(vm).pool;
  pool = std::make_unique<sequencer>(
      sequencer_options{.pool = "m@dc-1",
                        .last_number = it.last_command,
                        .random_seed = it.random() | 1U});
  pool->apply(policy_event{policy()}, it.now);
  for (const auto& target : it.targets) {
    pool->apply(target_event{describe(target)}, it.now);
  }
  note(it, concat("vm ", vm, " sequences"));
  after(it, hand_over_time, [&it] { submit_held(it); });
}

void tell_origin_gone(world& it, const vm_life& life) {
  tell(it, origin_gone_event{origin_of(life)});
}

bool leave_target(world& it, std::size_t target) {
  auto& leaving = it.targets.at(target);
  if (leaving.leaving_since) return false;
  count_fault(it, simulated_fault::target_leaving);
  note(it, concat(leaving.name, " leaves"));
  leaving.leaving_since = it.now;
  tell(it, target_event{describe(leaving)});
  after(it, draw_span(it, leaving_grace, std::chrono::seconds(15)),
        [&it, target] {
          it.targets.at(target).leaving_since.reset();
          tell(it, target_event{describe(it.targets.at(target))});
        });
  return true;
}

void run_pool(world& it) {
  const auto& host = it.vms.at(it.pool_vm);
  if (!host.alive || !host.pool) return;
  for (const auto& command : host.pool->tick(it.now)) {
    ensure(number_of(command) == it.last_command + 1,
           invariant::order_has_no_gap, "the numbers of commands have a gap");
    it.last_command = number_of(command);
    std::visit(command_carrier{it}, command);
  }
}

}  // namespace fulmar::simulate
