#include <algorithm>
#include <utility>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/simulate/world.h"

namespace fulmar::simulate {
namespace {

constexpr auto caller_timeout = instant(std::chrono::seconds(8));
constexpr auto come_back = instant(std::chrono::seconds(3));
constexpr auto claim_timeout = instant(std::chrono::seconds(2));
constexpr int claim_tries = 5;
constexpr std::uint64_t start_per_mille = 300;
constexpr std::uint64_t keyed_per_mille = 800;
constexpr std::uint64_t no_repeat_per_mille = 400;
constexpr std::uint64_t impatient_per_mille = 100;
constexpr std::size_t reserved_bytes = 256;

using claim_answer = std::function<void(std::optional<claim_outcome>)>;

void call(world& it, std::uint64_t number);

std::string body_of(std::uint64_t intent) {
  return concat("answer to ", intent);
}

/// A caller comes back when it was not answered, and now and then too early.
void watch_call(world& it, std::uint64_t number, std::uint32_t sends) {
  const auto early = chance(it, impatient_per_mille);
  after(it, early ? come_back : caller_timeout, [&it, number, sends] {
    auto& want = it.intents.at(number);
    if (want.settled || want.sends != sends) return;
    want.waits_at.reset();
    if (!want.keyed) {
      want.settled = true;
      return;
    }
    count_fault(it, simulated_fault::caller_resent);
    call(it, number);
  });
}

void retry_later(world& it, std::uint64_t number) {
  auto& want = it.intents.at(number);
  want.waits_at.reset();
  const auto sends = want.sends;
  after(it, come_back, [&it, number, sends] {
    const auto& same = it.intents.at(number);
    if (!same.settled && same.sends == sends) call(it, number);
  });
}

/// The answer of an entry reaches the caller.
void answer(world& it, const vm_life& from, std::uint64_t number,
            const result_record& record) {
  auto& want = it.intents.at(number);
  if (want.waits_at == from) want.waits_at.reset();
  want.ids.insert(record.request_id);
  ensure(!want.keyed || want.ids.size() == 1, invariant::one_result,
         "one key was answered with the results of two requests");
  const auto whole =
      record.code != error_code::none || record.body == body_of(number);
  ensure(whole, invariant::whole_answer, "a caller got another's answer");
  if (!want.answer) want.answer = record;
  want.settled = true;
}

/// Asks the recorder for a claim until it answers or patience ends.
struct claim_call {
  vm_life from;
  claim_record claim;
  claim_answer then;
  int tries = 0;
  bool settled = false;
};

void ask_recorder(world& it, const std::shared_ptr<claim_call>& ask) {
  const auto& to = it.vms.at(recorder_of(it, ask->from.vm));
  const auto reply = [&it, ask](const absl::StatusOr<claim_outcome>& out) {
    if (!out.ok()) return;
    send(it, ask->from, [ask, value = *out] {
      if (std::exchange(ask->settled, true)) return;
      ask->then(value);
    });
  };
  send(it, life_of(to), [&it, at = to.index, ask, reply] {
    const auto& writer = it.vms.at(at).writer;
    if (writer) (void)writer->claim(ask->claim, reply);
  });
}

void try_claim(world& it, const std::shared_ptr<claim_call>& ask) {
  if (ask->settled || !lives(it, ask->from)) return;
  if (++ask->tries > claim_tries) {
    ask->settled = true;
    return ask->then(std::nullopt);
  }
  ask_recorder(it, ask);
  after(it, claim_timeout, [&it, ask] { try_claim(it, ask); });
}

void claim(world& it, const vm_life& from, claim_record record,
           claim_answer then) {
  auto ask = std::make_shared<claim_call>();
  ask->from = from;
  ask->claim = std::move(record);
  ask->then = std::move(then);
  try_claim(it, ask);
}

/// Refuses a request that has not left the VM.
void refuse(world& it, const vm_life& at, const std::string& claimant) {
  auto& vm = it.vms.at(at.vm);
  const auto found = vm.requests.find(claimant);
  const auto number = found->second.intent;
  vm.requests.erase(found);
  vm.outbox.release(reserved_bytes);
  retry_later(it, number);
}

/// Runs a request that this entry owns.
void begin(world& it, const vm_life& at, const std::string& claimant) {
  const auto& request = it.vms.at(at.vm).requests.at(claimant);
  if (!it.intents.at(request.intent).no_repeat) {
    return submit(it, at, claimant);
  }
  const auto record = claim_record{
      .kind = claim_kind::started, .subject = request.id, .claimant = claimant};
  claim(it, at, record, [&it, at, claimant](const auto& out) {
    if (!out) return refuse(it, at, claimant);
    if (out->granted) return submit(it, at, claimant);
    finish(it, at, claimant, error_code::outcome_unknown, outcome::unknown);
  });
}

/// Claimants are spelt `vm.life.number`.
vm_life life_of_claimant(const std::string& claimant) {
  const auto dot = claimant.find('.');
  return {std::stoul(claimant), std::stoul(claimant.substr(dot + 1))};
}

/// Whether the holder of a claim may still give the request its result.
bool may_act(const world& it, const std::string& claimant) {
  const auto life = life_of_claimant(claimant);
  const auto& vm = it.vms.at(life.vm);
  if (lives(it, life)) return vm.requests.count(claimant) > 0;
  const auto last = vm.alive ? vm.life - 1 : vm.life;
  return life.life == last && it.now < vm.died + detection_time;
}

/// Finds a result that a VM of the data centre holds.
std::optional<result_record> find_held(const world& it, const std::string& id) {
  for (const auto& vm : it.vms) {
    if (!vm.alive) continue;
    if (const auto* found = vm.outbox.find(id)) return *found;
    if (!vm.writer) continue;
    if (const auto* found = vm.writer->find_pending(id)) return *found;
  }
  return std::nullopt;
}

void answer_again(world& it, const vm_life& at, const std::string& claimant,
                  const result_record& record) {
  auto& vm = it.vms.at(at.vm);
  const auto number = vm.requests.at(claimant).intent;
  vm.requests.erase(claimant);
  vm.outbox.release(reserved_bytes);
  answer(it, at, number, record);
}

/// Keeps a copy of a pending result, so that two VMs have it when the caller is
/// answered.
void adopt(world& it, const vm_life& at, const std::string& claimant,
           const result_record& record) {
  auto& vm = it.vms.at(at.vm);
  auto& request = vm.requests.at(claimant);
  request.id = record.request_id;
  request.finished = true;
  vm.outbox.add(record, reserved_bytes);
}

void take_over(world& it, const vm_life& at, const std::string& claimant,
               const std::string& id, const std::string& holder);

/// Another claimant holds the key: gives its result, waits for it, or takes the
/// request over from a holder that is lost. Who may act and what is held is
/// looked at before the stores: a result that is in neither is in the stores,
/// or nowhere.
void follow(world& it, const vm_life& at, const std::string& claimant,
            const std::string& id, const std::string& holder) {
  if (const auto held = find_held(it, id)) {
    return adopt(it, at, claimant, *held);
  }
  if (may_act(it, holder)) return refuse(it, at, claimant);
  find_result(it.stores, id, [&it, at, claimant, id, holder](const auto& out) {
    if (!lives(it, at)) return;
    if (out.ok()) return answer_again(it, at, claimant, *out);
    if (code_of(out.status()) != error_code::not_found) {
      return refuse(it, at, claimant);
    }
    take_over(it, at, claimant, id, holder);
  });
}

/// Only one claimant takes over from each holder.
void take_over(world& it, const vm_life& at, const std::string& claimant,
               const std::string& id, const std::string& holder) {
  const auto record = claim_record{.kind = claim_kind::key,
                                   .subject = concat(id, '#', holder),
                                   .claimant = claimant,
                                   .value = id};
  claim(it, at, record, [&it, at, claimant, id](const auto& out) {
    if (!out) return refuse(it, at, claimant);
    if (!out->granted) return follow(it, at, claimant, id, out->claimant);
    note(it, concat(claimant, " takes over ", id));
    auto& request = it.vms.at(at.vm).requests.at(claimant);
    request.id = id;
    request.taken_over = true;
    begin(it, at, claimant);
  });
}

void claim_key_of(world& it, const vm_life& at, const std::string& claimant) {
  const auto& request = it.vms.at(at.vm).requests.at(claimant);
  const auto record =
      claim_record{.kind = claim_kind::key,
                   .subject = concat(caller_name, '/', request.intent),
                   .claimant = claimant,
                   .value = request.id};
  claim(it, at, record, [&it, at, claimant](const auto& out) {
    if (!out) return refuse(it, at, claimant);
    if (out->granted) return begin(it, at, claimant);
    follow(it, at, claimant, out->value, out->claimant);
  });
}

/// A request arrives at an entry.
void accept(world& it, const vm_life& at, std::uint64_t number) {
  auto& vm = it.vms.at(at.vm);
  auto& want = it.intents.at(number);
  want.waits_at = at;
  if (vm.draining || !vm.outbox.reserve(reserved_bytes).ok()) {
    return retry_later(it, number);
  }
  const auto claimant = concat(at.vm, '.', at.life, '.', it.names_used++);
  vm.requests[claimant] = {.intent = number,
                           .id = make_request_id(place, it.now, it.random()),
                           .claimant = claimant};
  if (want.keyed) return claim_key_of(it, at, claimant);
  begin(it, at, claimant);
}

void call(world& it, std::uint64_t number) {
  auto& want = it.intents.at(number);
  ++want.sends;
  watch_call(it, number, want.sends);
  const auto& vm = it.vms.at(draw(it, it.vms.size()));
  if (vm.alive) accept(it, life_of(vm), number);
}

/// The recorder holds a result, or has recorded it: the caller gets it.
void answer_held(world& it, entry_vm& vm, const std::string& id,
                 const vm_life& copy) {
  for (auto& [claimant, request] : vm.requests) {
    if (request.id != id || !request.finished) continue;
    auto& copies = it.intents.at(request.intent).copies;
    copies.push_back(life_of(vm));
    copies.push_back(copy);
    if (request.answered) continue;
    const auto* const record = vm.outbox.find(id);
    if (record == nullptr) continue;
    request.answered = true;
    answer(it, life_of(vm), request.intent, *record);
  }
}

void result_recorded(world& it, entry_vm& vm, const std::string& id) {
  for (auto at = vm.requests.begin(); at != vm.requests.end();) {
    const auto done = at->second.id == id && at->second.finished;
    if (done) it.intents.at(at->second.intent).recorded = true;
    at = done ? vm.requests.erase(at) : std::next(at);
  }
  vm.outbox.acknowledged(id);
}

void record_result(world& it, const vm_life& from, const vm_life& to,
                   const result_record& record) {
  const auto id = record.request_id;
  const auto status =
      it.vms.at(to.vm).writer->record(record, [&it, from, to, id](const auto&) {
        send(it, from, [&it, from, to, id] {
          answer_held(it, it.vms.at(from.vm), id, to);
          result_recorded(it, it.vms.at(from.vm), id);
        });
      });
  if (!status.ok()) return;
  send(it, from, [&it, from, to, id] {
    auto& vm = it.vms.at(from.vm);
    vm.outbox.held(id);
    answer_held(it, vm, id, to);
  });
}

}  // namespace

void finish(world& it, const vm_life& at, const std::string& claimant,
            error_code code, outcome what) {
  auto& vm = it.vms.at(at.vm);
  auto& request = vm.requests.at(claimant);
  request.finished = true;
  const auto good = code == error_code::none;
  vm.outbox.add({.request_id = request.id,
                 .caller = std::string(caller_name),
                 .code = code,
                 .what = what,
                 .status = http_status(code),
                 .body = good ? body_of(request.intent) : "",
                 .finished = it.now},
                reserved_bytes);
}

void start_intents(world& it) {
  if (!it.accepting || draw(it, 1000) >= start_per_mille) return;
  const auto number = it.intents.size();
  it.intents[number] = {.number = number,
                        .keyed = draw(it, 1000) < keyed_per_mille,
                        .no_repeat = draw(it, 1000) < no_repeat_per_mille};
  call(it, number);
}

void run_entries(world& it) {
  for (auto& vm : it.vms) {
    if (!vm.alive) continue;
    const auto from = life_of(vm);
    const auto to = life_of(it.vms.at(recorder_of(it, vm.index)));
    for (auto& record : vm.outbox.take_due(it.now)) {
      send(it, to, [&it, from, to, record = std::move(record)] {
        if (it.vms.at(to.vm).writer) record_result(it, from, to, record);
      });
    }
    if (vm.writer) vm.writer->tick(it.now);
  }
}

void check_intents(world& it) {
  for (auto& [number, want] : it.intents) {
    ensure(want.settled, invariant::one_result, "a caller waits for ever");
    if (!want.answer) continue;
    const auto& told = *want.answer;
    auto read = absl::StatusOr<result_record>();
    find_result(it.stores, told.request_id,
                [&read](const auto& out) { read = out; });
    deliver(*it.memory, it.now);
    const auto kept = read.ok() && *read == told;
    want.excused = !kept && want.copies_lost;
    ensure(kept || want.excused, invariant::one_result,
           read.ok() ? "the stores hold another result than the caller got"
                     : "an answered request has no result in the stores");
    if (!read.ok()) continue;
    ensure(read->what != outcome::not_run || want.executions == 0,
           invariant::not_run_is_true, "a request that ran is called not run");
  }
}

}  // namespace fulmar::simulate
