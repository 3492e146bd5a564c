#include "fulmarpitch/daemon/pool-host.h"

#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "epoch-opening.h"
#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/order/log.h"
#include "wire.h"

namespace fulmar {
namespace {

/// Longest wait for a second member to keep a record before another is asked.
constexpr auto witness_wait = std::chrono::milliseconds(100);
/// Records that one tick may add besides one for each request.
constexpr std::size_t tick_room = 64;

struct request_context {
  std::string origin;
  std::string caller;
  std::string class_name;
  work_kind kind = work_kind::online;
  instant deadline{};
};

struct pool {
  std::string model;
  std::string name;
  std::shared_ptr<epoch_opening> opening;
  std::optional<sequencer> requests;
  std::optional<order_log> log;
  epoch_id epoch;
  bool provisional = false;
  std::uint64_t config_version = 0;
  std::uint64_t announced = 0;
  /// Events that wait for the epoch to open.
  std::vector<sequencer_event> early;
  std::map<std::string, request_context> contexts;
  std::set<std::string> origins;
  std::set<std::string> targets;
};

std::vector<std::uint8_t> to_bytes(const std::string& text) {
  return {text.begin(), text.end()};
}

const std::string& request_of(const sequencer_command& command) {
  return std::visit(
      [](const auto& it) -> const std::string& { return it.request_id; },
      command);
}

const std::string& origin_of(const sequencer_command& command) {
  return std::visit(
      [](const auto& it) -> const std::string& { return it.origin; }, command);
}

}  // namespace

struct pool_host::state : std::enable_shared_from_this<pool_host::state> {
  explicit state(pool_host_links host_links)
      : links(std::move(host_links)),
        incarnation(concat(links.self, "-", event_loop::now().count())) {}

  pool& open(const std::string& model);
  void take_opened(const std::string& model, const epoch_opened& result);
  void apply(const std::string& model, sequencer_event event);
  void configure(pool& it);
  void tick(pool& it, instant now);
  void carry_out(pool& it, const sequencer_command& command, instant now);
  void deliver(const std::string& model, const sequencer_command& command,
               const std::string& line);
  void ask_witness(const std::string& line, std::function<void()> then);
  void count(const sequencer_command& command);
  void announce_durable(pool& it);
  void tell_origins(const pool& it);
  void abandon(pool& it);
  void send_not_owner(const std::string& to, const std::string& model,
                      const std::string& request_id);
  std::string pool_name(const std::string& model) const {
    return concat(links.data_centre, ".", model);
  }

  pool_host_links links;
  std::string incarnation;
  std::uint64_t epochs_asked = 0;
  std::map<std::string, pool> pools;
  std::uint64_t last_witness = 0;
  std::map<std::uint64_t, std::function<void()>> witnessed;
  pool_host_counts counts;
  bool closed = false;
};

pool& pool_host::state::open(const std::string& model) {
  auto [found, is_new] = pools.try_emplace(model);
  auto& it = found->second;
  if (!is_new) return it;
  it.model = model;
  it.name = pool_name(model);
  auto self = std::weak_ptr(shared_from_this());
  it.opening = std::make_shared<epoch_opening>(
      epoch_opening_options{
          .links = links,
          .pool = it.name,
          .model = model,
          .incarnation = concat(incarnation, ".", ++epochs_asked)},
      [self, model](const epoch_opened& result) {
        if (auto to = self.lock()) to->take_opened(model, result);
      });
  it.opening->start();
  return it;
}

void pool_host::state::take_opened(const std::string& model,
                                   const epoch_opened& result) {
  auto found = pools.find(model);
  if (found == pools.end()) return;
  auto& it = found->second;
  it.opening.reset();
  if (!result.owned || closed) {
    abandon(it);
    return;
  }
  it.epoch = result.start.epoch;
  it.provisional = result.start.detail.provisional;
  auto objects = links.objects;
  auto append = [objects](std::string name, std::string bytes,
                          std::function<void(absl::Status)> done) {
    objects.put_if_absent(
        std::move(name), std::move(bytes),
        [done = std::move(done)](const absl::StatusOr<bool>& written) {
          if (!written.ok()) {
            done(written.status());
            return;
          }
          done(*written ? absl::OkStatus()
                        : make_error(error_code::conflict,
                                     "a successor closed the epoch"));
        });
  };
  it.log.emplace(order_log_options{.start = result.start}, append,
                 result.opened_at);
  it.requests.emplace(
      sequencer_options{.pool = model,
                        .region = links.region,
                        .last_number = result.start.first_number});
  ++counts.epochs_opened;
  configure(it);
  for (auto& event : std::exchange(it.early, {})) {
    it.requests->apply(event, event_loop::now());
  }
  LOG(INFO) << "opened epoch " << to_text(it.epoch) << " of pool " << it.name
            << (it.provisional ? " provisionally" : "");
}

void pool_host::state::configure(pool& it) {
  if (!it.requests) return;
  auto now = event_loop::now();
  auto policy = links.policy(it.model);
  it.config_version = policy.config_version;
  it.requests->apply(policy_event{std::move(policy)}, now);
  auto gone = std::exchange(it.targets, {});
  for (auto& target : links.targets(it.model)) {
    gone.erase(target.name);
    it.targets.insert(target.name);
    it.requests->apply(target_event{std::move(target)}, now);
  }
  for (const auto& name : gone) {
    it.requests->apply(target_gone_event{name}, now);
  }
}

void pool_host::state::apply(const std::string& model, sequencer_event event) {
  auto found = pools.find(model);
  if (found == pools.end()) return;
  auto& it = found->second;
  if (!it.requests) {
    it.early.push_back(std::move(event));
    return;
  }
  it.requests->apply(event, event_loop::now());
}

void pool_host::state::tick(pool& it, instant now) {
  if (!it.log) return;
  it.log->tick(now);
  if (it.log->fenced()) {
    LOG(WARNING) << "epoch " << to_text(it.epoch) << " of pool " << it.name
                 << " was closed by a successor";
    abandon(it);
    return;
  }
  announce_durable(it);
  auto needed = it.requests->queued() + it.requests->running() + tick_room;
  if (closed || it.log->room() < needed) return;
  for (const auto& command : it.requests->tick(now)) {
    carry_out(it, command, now);
  }
}

void pool_host::state::carry_out(pool& it, const sequencer_command& command,
                                 instant now) {
  count(command);
  const auto& id = request_of(command);
  const auto& known = it.contexts[id];
  auto record = it.log->append(command,
                               {.config_version = it.config_version,
                                .caller = known.caller,
                                .class_name = known.class_name},
                               now);
  if (std::holds_alternative<refuse_command>(command)) it.contexts.erase(id);
  if (!record.needs_witness) {
    deliver(it.model, command, record.line);
    return;
  }
  auto self = std::weak_ptr(shared_from_this());
  ask_witness(record.line,
              [self, model = it.model, command, line = record.line] {
                if (auto to = self.lock()) to->deliver(model, command, line);
              });
}

void pool_host::state::ask_witness(const std::string& line,
                                   std::function<void()> then) {
  auto others = links.members();
  std::erase(others, links.self);
  if (others.empty()) {
    then();
    return;
  }
  auto id = ++last_witness;
  witnessed[id] = std::move(then);
  auto out = wire::witnessT();
  out.id = id;
  out.record = to_bytes(line);
  links.peers->send(others[id % others.size()], std::move(out));
  auto self = std::weak_ptr(shared_from_this());
  links.loop->after(witness_wait, [self, id, line] {
    auto to = self.lock();
    if (!to) return;
    auto node = to->witnessed.extract(id);
    if (!node.empty()) to->ask_witness(line, std::move(node.mapped()));
  });
}

void pool_host::state::deliver(const std::string& model,
                               const sequencer_command& command,
                               const std::string& line) {
  const auto& to = origin_of(command);
  auto& peers = *links.peers;
  if (const auto* it = std::get_if<admit_command>(&command)) {
    auto out = wire::admitT();
    out.pool = model;
    out.request_id = it->request_id;
    out.attempt = it->attempt;
    out.target = it->chosen.target;
    out.address = it->address;
    out.record = to_bytes(line);
    peers.send(to, std::move(out));
  } else if (const auto* refusal = std::get_if<refuse_command>(&command)) {
    auto out = wire::refuseT();
    out.pool = model;
    out.request_id = refusal->request_id;
    out.code = static_cast<std::uint8_t>(refusal->code);
    out.what = static_cast<std::uint8_t>(refusal->what);
    out.retry_after = refusal->retry_after.count();
    out.record = to_bytes(line);
    peers.send(to, std::move(out));
  } else {
    const auto* preempt = std::get_if<preempt_command>(&command);
    const auto* cancel = std::get_if<cancel_command>(&command);
    auto out = wire::stop_attemptT();
    out.pool = model;
    out.request_id = request_of(command);
    out.attempt = preempt != nullptr ? preempt->attempt : cancel->attempt;
    out.preempted = preempt != nullptr;
    out.record = to_bytes(line);
    peers.send(to, std::move(out));
  }
}

void pool_host::state::count(const sequencer_command& command) {
  if (std::holds_alternative<admit_command>(command)) ++counts.admissions;
  if (std::holds_alternative<refuse_command>(command)) ++counts.refusals;
  if (std::holds_alternative<preempt_command>(command)) ++counts.preemptions;
  if (std::holds_alternative<cancel_command>(command)) ++counts.cancellations;
}

void pool_host::state::announce_durable(pool& it) {
  auto number = it.log->durable_number();
  if (number <= it.announced) return;
  it.announced = number;
  for (const auto& origin : it.origins) {
    auto out = wire::durableT();
    out.pool = it.name;
    out.epoch = to_text(it.epoch);
    out.number = number;
    links.peers->send(origin, std::move(out));
  }
}

void pool_host::state::send_not_owner(const std::string& to,
                                      const std::string& model,
                                      const std::string& request_id) {
  auto out = wire::not_ownerT();
  out.pool = model;
  out.request_id = request_id;
  out.owner = links.owner_of(model);
  links.peers->send(to, std::move(out));
}

void pool_host::state::tell_origins(const pool& it) {
  for (const auto& [id, known] : it.contexts) {
    send_not_owner(known.origin, it.model, id);
  }
}

void pool_host::state::abandon(pool& it) {
  tell_origins(it);
  auto model = it.model;
  links.loop->post([self = shared_from_this(), model] {
    auto found = self->pools.find(model);
    if (found == self->pools.end()) return;
    auto& log = found->second.log;
    if (!log || log->fenced()) self->pools.erase(found);
  });
}

pool_host::pool_host(pool_host_links links)
    : state_(std::make_shared<state>(std::move(links))) {}

pool_host::~pool_host() = default;

bool pool_host::take(const std::string& from, const wire::bodyUnion& body) {
  auto& s = *state_;
  if (const auto* it = body.Assubmit()) {
    auto owns = s.links.owner_of(it->pool) == s.links.self;
    if (s.closed || !it->item || !owns) {
      s.send_not_owner(from, it->pool, it->item ? it->item->id : "");
      return true;
    }
    auto& pool = s.open(it->pool);
    auto item = from_wire(*it->item);
    pool.contexts[item.id] = {from, item.caller, item.class_name, item.kind,
                              item.deadline};
    pool.origins.insert(from);
    s.apply(it->pool, submit_event{.item = std::move(item),
                                   .origin = from,
                                   .attempt = it->attempt,
                                   .target = it->target,
                                   .tokens_produced = it->tokens_produced});
    return true;
  }
  if (const auto* it = body.Ascancel()) {
    s.apply(it->pool, cancel_event{it->request_id});
    return true;
  }
  if (const auto* it = body.Asprogress()) {
    s.apply(it->pool, progress_event{it->request_id, it->tokens_produced});
    return true;
  }
  if (const auto* it = body.Asfinished()) {
    auto end = static_cast<attempt_end>(it->end);
    if (end == attempt_end::completed) {
      auto found = s.pools.find(it->pool);
      if (found != s.pools.end()) found->second.contexts.erase(it->request_id);
    }
    s.apply(it->pool, finished_event{
                          .request_id = it->request_id,
                          .attempt = it->attempt,
                          .end = end,
                          .tokens_produced = it->tokens_produced,
                          .first_token_after = instant(it->first_token_after)});
    return true;
  }
  if (const auto* it = body.Aswitness_ack()) {
    if (auto node = s.witnessed.extract(it->id)) node.mapped()();
    return true;
  }
  if (const auto* it = body.Asrecords()) {
    for (auto& [model, pool] : s.pools) {
      if (pool.opening)
        pool.opening->take_records(from, it->lines, it->complete);
    }
    return true;
  }
  return false;
}

void pool_host::configuration_changed() {
  for (auto& [model, it] : state_->pools)
    state_->configure(it);
}

void pool_host::member_dead(const std::string& name) {
  for (auto& [model, it] : state_->pools) {
    std::erase_if(it.contexts, [&](const auto& entry) {
      const auto& [id, known] = entry;
      if (known.origin != name) return false;
      if (known.kind != work_kind::batch) {
        state_->links.record_lost(id, known.caller, known.deadline);
      }
      return true;
    });
    it.origins.erase(name);
    state_->apply(model, origin_gone_event{name});
  }
}

std::optional<std::vector<std::string>> pool_host::surrender(
    const std::string& name, const epoch_id& epoch) {
  auto& pools = state_->pools;
  auto found = std::find_if(pools.begin(), pools.end(), [&](const auto& it) {
    return it.second.log && it.second.name == name && it.second.epoch == epoch;
  });
  if (found == pools.end()) return std::nullopt;
  auto lines = found->second.log->pending();
  LOG(INFO) << "surrendered epoch " << to_text(epoch) << " of pool " << name;
  state_->tell_origins(found->second);
  pools.erase(found);
  return lines;
}

void pool_host::tick() {
  auto now = event_loop::now();
  for (auto& [model, it] : state_->pools)
    state_->tick(it, now);
}

void pool_host::close() {
  state_->closed = true;
  for (auto& [model, it] : state_->pools) {
    if (!it.log) continue;
    it.log->close(event_loop::now());
    state_->tell_origins(it);
  }
}

bool pool_host::flushed() const {
  for (const auto& [model, it] : state_->pools) {
    if (it.log && !it.log->flushed() && !it.log->fenced()) return false;
  }
  return true;
}

std::vector<pool_status> pool_host::status() const {
  auto out = std::vector<pool_status>();
  for (const auto& [model, it] : state_->pools) {
    if (!it.log) continue;
    out.push_back({.pool = it.name,
                   .epoch = to_text(it.epoch),
                   .queued = it.requests->queued(),
                   .running = it.requests->running(),
                   .last_number = it.log->last_number(),
                   .durable_number = it.log->durable_number(),
                   .provisional = it.provisional});
  }
  return out;
}

const pool_host_counts& pool_host::counts() const {
  return state_->counts;
}

}  // namespace fulmar
