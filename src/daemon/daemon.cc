#include "fulmarpitch/daemon/daemon.h"

#include <glog/logging.h>

#include <map>
#include <optional>
#include <utility>

#include "fulmarpitch/config/operator-api.h"
#include "fulmarpitch/config/watcher.h"
#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/rendezvous.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/daemon/batch-runner.h"
#include "fulmarpitch/daemon/caller-api.h"
#include "fulmarpitch/daemon/entry.h"
#include "fulmarpitch/daemon/metrics.h"
#include "fulmarpitch/daemon/pool-host.h"
#include "fulmarpitch/daemon/roster.h"
#include "fulmarpitch/state/recorder.h"
#include "peer-calls.h"
#include "wire.h"

namespace fulmar {
namespace {

constexpr auto fast_period = std::chrono::milliseconds(5);
constexpr auto slow_period = std::chrono::milliseconds(50);
/// A sequencer's loss must be noticed while its callers still wait for a first
/// token; a wrong suspicion costs one change of epoch.
constexpr auto suspicion = std::chrono::milliseconds(1000);
constexpr auto shutdown_look = std::chrono::milliseconds(50);
/// Sightings older than any record that is not in the stores are dropped.
constexpr auto sighting_retention = std::chrono::hours(2);
constexpr auto takeover_margin = std::chrono::seconds(10);
constexpr std::string_view recorder_role = "recorder";

std::string address_of(const std::string& host, std::uint16_t port) {
  return concat(host, ":", port);
}

std::string unique_name(const std::string& vm) {
  return concat(
      vm, "-",
      hex(static_cast<std::uint64_t>(event_loop::now().count())).substr(4));
}

}  // namespace

struct entry_daemon::state : std::enable_shared_from_this<entry_daemon::state> {
  state(event_loop& event_loop, daemon_options daemon_options);

  void build();
  absl::Status start();
  void take(const std::string& from, const wire::envelopeT& message);
  bool take_for_member(const std::string& from, const wire::bodyUnion& body);
  void take_result(const std::string& from, const wire::record_resultT& it);
  void take_claim(const std::string& from, const wire::claimT& it);
  void give_records(const std::string& from, const wire::get_recordsT& it);
  void member_up(const member_record& it);
  void member_dead(const member_record& it);
  void roles_changed();
  void configuration_changed();
  std::string pool_owner(const std::string& pool) const;
  std::string recorder_owner() const;
  std::vector<std::string> live_members() const;
  std::vector<member_sighting> all_sightings() const;
  void record_lost(const std::string& id, const std::string& caller);
  void record_lost_after(const std::string& id, const std::string& caller,
                         instant deadline);
  std::vector<target_info> targets_of(const std::string& pool) const;
  void find_result(const std::string& id, callback<result_record> done);
  void find_lost(const std::string& id, const callback<result_record>& done);
  bool is_ready() const;
  bool is_drained() const;
  void log_leftovers() const;
  void drain(instant give_up_at, const std::function<void(bool)>& done);
  void tick_fast();
  void tick_slow();
  void serve_operator(const std::shared_ptr<http_exchange>& it);
  std::vector<watcher_status> vm_states() const;

  event_loop& loop;
  daemon_options options;
  std::string name;
  std::unique_ptr<peer_network> peers;
  std::unique_ptr<peer_calls> calls;
  std::unique_ptr<roster> members;
  std::unique_ptr<recorder> results;
  metrics figures;
  std::unique_ptr<entry> requests;
  std::unique_ptr<pool_host> pools;
  std::unique_ptr<batch_runner> batches;
  std::unique_ptr<config_watcher> watcher;
  std::unique_ptr<caller_api> callers;
  operator_api operators;
  std::unique_ptr<http_server> caller_server;
  std::unique_ptr<http_server> operator_server;
  std::map<std::string, target_record> target_states;
  std::map<std::string, instant> sightings;
  std::string last_recorder;
  bool leaving = false;
  bool ended = false;
};

entry_daemon::state::state(event_loop& event_loop,
                           daemon_options daemon_options)
    : loop(event_loop),
      options(std::move(daemon_options)),
      name(unique_name(options.vm)) {}

void entry_daemon::state::build() {
  auto weak = std::weak_ptr(shared_from_this());
  peers = std::make_unique<peer_network>(
      loop,
      peer_options{.name = name,
                   .host = options.host,
                   .port = options.peer_port,
                   .secret = options.secret},
      [weak](const auto& from, const auto& message) {
        if (auto it = weak.lock()) it->take(from, message);
      },
      [weak](const auto& peer) {
        auto it = weak.lock();
        if (!it) return;
        it->requests->peer_lost(peer);
        it->calls->peer_lost(peer);
        it->members->members().hint_failing(peer);
        if (peer == it->recorder_owner()) it->requests->recorder_changed();
      });
  calls = std::make_unique<peer_calls>(loop, *peers);
  results = std::make_unique<recorder>(
      options.stores, recorder_options{.data_centre = options.data_centre,
                                       .name = name,
                                       .random_seed = stable_hash(name)});
  requests = std::make_unique<entry>(entry_links{
      .loop = &loop,
      .peers = peers.get(),
      .sequencer_of = [this](const auto& pool) { return pool_owner(pool); },
      .recorder = [this] { return recorder_owner(); },
      .figures = &figures});
  pools = std::make_unique<pool_host>(pool_host_links{
      .loop = &loop,
      .peers = peers.get(),
      .table = options.stores.table,
      .objects = options.stores.objects,
      .self = name,
      .data_centre = options.data_centre,
      .region = options.region,
      .owner_of = [this](const auto& pool) { return pool_owner(pool); },
      .members = [this] { return live_members(); },
      .sightings = [this] { return all_sightings(); },
      .record_lost =
          [this](const auto& id, const auto& caller, instant deadline) {
            record_lost_after(id, caller, deadline);
          },
      .policy =
          [this](const auto& pool) {
            auto it = watcher->in_force();
            return it ? policy_for(*it, pool) : pool_policy();
          },
      .targets = [this](const auto& pool) { return targets_of(pool); }});
  batches = std::make_unique<batch_runner>(
      batch_runner_options{.holder = name,
                           .data_centre = options.data_centre,
                           .random_seed = stable_hash(name)},
      batch_runner_links{.requests = requests.get(),
                         .stores = options.stores,
                         .in_force = [this] { return watcher->in_force(); },
                         .is_ready = [this] { return is_ready(); },
                         .is_lost =
                             [this](const auto& holder) {
                               auto it = members->members().member(holder);
                               return it && it->state == member_state::dead;
                             }});
  watcher = std::make_unique<config_watcher>(
      watcher_options{.vm = name, .random_seed = stable_hash(name)},
      watcher_links{
          .stores = {options.stores.table, options.stores.objects},
          .fetch_from_peer =
              [this](const auto& peer, auto done) {
                calls->get_snapshot(peer, std::move(done));
              },
          .on_change = [this](const auto&) { configuration_changed(); }});
  callers = std::make_unique<caller_api>(caller_api_links{
      .loop = &loop,
      .requests = requests.get(),
      .stores = options.stores,
      .self = name,
      .data_centre = options.data_centre,
      .in_force = [this] { return watcher->in_force(); },
      .claim =
          [this](const auto& claim, auto done) {
            calls->claim(recorder_owner(), claim, std::move(done));
          },
      .find_result = [this](const auto& id,
                            auto done) { find_result(id, std::move(done)); },
      .ask_holder =
          [this](const auto& holder, const auto& id, auto done) {
            calls->find_pending(holder, id, true, std::move(done));
          },
      .is_alive =
          [this](const auto& peer) {
            auto it = members->members().member(peer);
            return it && it->state != member_state::dead;
          },
      .is_ready = [this] { return is_ready(); }});
  operators = {.stores = {options.stores.table, options.stores.objects},
               .in_force = [this] { return watcher->in_force(); },
               .snapshot = [this] { return watcher->snapshot_bytes(); },
               .vms = [this] { return vm_states(); },
               .first_key_hashes = options.first_key_hashes};
}

absl::Status entry_daemon::state::start() {
  if (auto status = peers->start(); !status.ok()) return status;
  auto self = shared_from_this();
  caller_server = std::make_unique<http_server>(
      loop,
      http_server_options{.host = options.host, .port = options.caller_port},
      [this](const auto& it) { callers->serve(it); }, caller_api::streams_body);
  if (auto status = caller_server->start(); !status.ok()) return status;
  operator_server = std::make_unique<http_server>(
      loop,
      http_server_options{.host = options.host, .port = options.operator_port},
      [this](const auto& it) { serve_operator(it); });
  if (auto status = operator_server->start(); !status.ok()) return status;
  auto peer_address = address_of(options.host, peers->port());
  members = std::make_unique<roster>(
      loop,
      roster_options{.membership = {.name = name,
                                    .data_centre = options.data_centre,
                                    .peer_address = peer_address,
                                    .http_address = address_of(
                                        options.host, caller_server->port()),
                                    .start = static_cast<std::uint64_t>(
                                        event_loop::now().count()),
                                    .seeds = options.seeds,
                                    .remote_seeds = options.remote_seeds,
                                    .suspicion = suspicion,
                                    .random_seed = stable_hash(name)},
                     .host = options.host,
                     .port = peers->port(),
                     .secret = options.secret},
      roster_handlers{.on_up = [this](const auto& it) { member_up(it); },
                      .on_dead = [this](const auto& it) { member_dead(it); },
                      .on_roles_changed = [this] { roles_changed(); },
                      .on_target =
                          [this](const auto& it) {
                            target_states[it.name] = it;
                            configuration_changed();
                          }});
  if (auto status = members->start(); !status.ok()) return status;
  auto weak = std::weak_ptr(self);
  loop.every(fast_period, [weak] {
    if (auto it = weak.lock(); it && !it->ended) it->tick_fast();
  });
  loop.every(slow_period, [weak] {
    if (auto it = weak.lock(); it && !it->ended) it->tick_slow();
  });
  LOG(INFO) << "daemon " << name << " takes callers on "
            << address_of(options.host, caller_server->port())
            << ", operators on "
            << address_of(options.host, operator_server->port())
            << ", peers on " << peer_address;
  return absl::OkStatus();
}

void entry_daemon::state::take(const std::string& from,
                               const wire::envelopeT& message) {
  if (ended) return;
  const auto& body = message.body;
  if (requests->take(from, body)) return;
  if (pools->take(from, body)) return;
  if (calls->take(body)) return;
  if (take_for_member(from, body)) return;
  LOG(WARNING) << "peer " << from << " sent a message of unknown type "
               << static_cast<int>(body.type);
}

bool entry_daemon::state::take_for_member(const std::string& from,
                                          const wire::bodyUnion& body) {
  if (const auto* it = body.Asrecord_result()) {
    take_result(from, *it);
  } else if (const auto* claim = body.Asclaim()) {
    take_claim(from, *claim);
  } else if (const auto* records = body.Asget_records()) {
    give_records(from, *records);
  } else if (const auto* witness = body.Aswitness()) {
    auto line = std::string(witness->record.begin(), witness->record.end());
    if (!requests->records().take(line).ok()) return true;
    auto out = wire::witness_ackT();
    out.id = witness->id;
    peers->send(from, out);
  } else if (const auto* find = body.Asfind_pending()) {
    auto out = wire::found_pendingT();
    out.id = find->id;
    if (find->renounce) requests->renounce(find->request_id);
    out.running = requests->holds(find->request_id);
    const auto* found = results->find_pending(find->request_id);
    if (found == nullptr) found = requests->find_unrecorded(find->request_id);
    if (found != nullptr) {
      auto bytes = std::string();
      append_result(*found, bytes);
      out.found = true;
      out.body.assign(bytes.begin(), bytes.end());
    }
    peers->send(from, std::move(out));
  } else if (const auto* get = body.Asget_snapshot()) {
    auto out = wire::snapshotT();
    out.id = get->id;
    out.body = watcher->snapshot_bytes();
    peers->send(from, std::move(out));
  } else {
    return false;
  }
  return true;
}

void entry_daemon::state::take_result(const std::string& from,
                                      const wire::record_resultT& it) {
  auto ack = [this, from, id = it.id](bool recorded, error_code code) {
    auto out = wire::record_ackT();
    out.id = id;
    out.recorded = recorded;
    out.code = static_cast<std::uint8_t>(code);
    peers->send(from, out);
  };
  auto parsed = parse_results(std::string(it.body.begin(), it.body.end()));
  if (!parsed.ok() || parsed->size() != 1) {
    ack(false, error_code::bad_request);
    return;
  }
  auto weak = std::weak_ptr(shared_from_this());
  auto status =
      results->record(std::move(parsed->front()), [weak, ack](const auto& at) {
        if (weak.lock() && at.ok()) ack(true, error_code::none);
      });
  ack(false, code_of(status));
}

void entry_daemon::state::take_claim(const std::string& from,
                                     const wire::claimT& it) {
  auto weak = std::weak_ptr(shared_from_this());
  auto answer = [weak, from, id = it.id](const auto& got) {
    auto self = weak.lock();
    if (!self) return;
    auto out = wire::claim_ackT();
    out.id = id;
    out.code = static_cast<std::uint8_t>(code_of(got.status()));
    if (got.ok()) {
      out.granted = got->granted;
      out.claimant = got->claimant;
      out.value = got->value;
    }
    self->peers->send(from, std::move(out));
  };
  auto status = results->claim({.kind = static_cast<claim_kind>(it.kind),
                                .subject = it.subject,
                                .claimant = it.claimant,
                                .value = it.value},
                               answer);
  if (!status.ok()) answer(absl::StatusOr<claim_outcome>(status));
}

void entry_daemon::state::give_records(const std::string& from,
                                       const wire::get_recordsT& it) {
  auto epoch = epoch_from_text(it.epoch);
  if (!epoch) return;
  auto out = wire::recordsT();
  out.id = it.id;
  requests->records().seal(it.pool, *epoch);
  out.lines = requests->records().lines(it.pool, *epoch);
  if (auto pending = pools->surrender(it.pool, *epoch)) {
    out.complete = true;
    out.lines.insert(out.lines.end(), pending->begin(), pending->end());
  }
  peers->send(from, std::move(out));
}

void entry_daemon::state::member_up(const member_record& it) {
  if (it.name == name) return;
  peers->set_address(it.name, it.peer_address);
}

void entry_daemon::state::member_dead(const member_record& it) {
  if (it.name == name) return;
  LOG(WARNING) << "member " << it.name << " is lost";
  peers->forget(it.name);
  watcher->forget(it.name);
  requests->peer_lost(it.name);
  pools->member_dead(it.name);
}

void entry_daemon::state::roles_changed() {
  requests->sequencers_changed();
  auto now = recorder_owner();
  if (now != std::exchange(last_recorder, now)) requests->recorder_changed();
}

void entry_daemon::state::configuration_changed() {
  pools->configuration_changed();
}

std::string entry_daemon::state::pool_owner(const std::string& pool) const {
  return members ? members->owner_of(concat("pool/", pool)) : "";
}

std::string entry_daemon::state::recorder_owner() const {
  return members ? members->owner_of(std::string(recorder_role)) : "";
}

std::vector<std::string> entry_daemon::state::live_members() const {
  auto out = std::vector<std::string>();
  for (const auto& it : members->members().members()) {
    if (it.state != member_state::dead) out.push_back(it.name);
  }
  return out;
}

std::vector<member_sighting> entry_daemon::state::all_sightings() const {
  auto out = std::vector<member_sighting>();
  for (const auto& [name, at] : sightings)
    out.push_back({name, at});
  return out;
}

/// Another VM may take the request over until its deadline.
void entry_daemon::state::record_lost_after(const std::string& id,
                                            const std::string& caller,
                                            instant deadline) {
  auto wait = std::max(deadline - event_loop::now(), instant{});
  auto weak = std::weak_ptr(shared_from_this());
  loop.after(wait + takeover_margin, [weak, id, caller] {
    if (auto it = weak.lock(); it && !it->ended) it->record_lost(id, caller);
  });
}

void entry_daemon::state::record_lost(const std::string& id,
                                      const std::string& caller) {
  auto now = event_loop::now();
  auto record = result_record{
      .request_id = id,
      .caller = caller,
      .code = error_code::outcome_unknown,
      .what = outcome::unknown,
      .status = http_status(error_code::outcome_unknown),
      .body = error_body(error_code::outcome_unknown, outcome::unknown,
                         "the VM that held the request was lost"),
      .started = now,
      .finished = now};
  auto status = results->record(std::move(record), [](const auto&) {});
  if (!status.ok()) {
    LOG(ERROR) << "the outcome of " << id
               << " can't be recorded: " << status.message();
  }
}

std::vector<target_info> entry_daemon::state::targets_of(
    const std::string& pool) const {
  auto in_force = watcher->in_force();
  auto out = std::vector<target_info>();
  if (!in_force) return out;
  for (auto& it : targets_for(*in_force, pool)) {
    if (it.data_centre != options.data_centre) continue;
    auto found = target_states.find(it.name);
    auto state = found == target_states.end() ? target_state::serving
                                              : found->second.state;
    if (state == target_state::gone) continue;
    it.leaving = it.leaving || state == target_state::leaving;
    out.push_back(std::move(it));
  }
  return out;
}

void entry_daemon::state::find_result(const std::string& id,
                                      callback<result_record> done) {
  const auto* held = requests->find_unrecorded(id);
  if (held == nullptr) held = results->find_pending(id);
  if (held != nullptr) {
    done(*held);
    return;
  }
  auto in_stores = [this, id, done = std::move(done)](
                       const absl::StatusOr<held_answer>& pending) {
    if (pending.ok() && pending->result) {
      done(*pending->result);
      return;
    }
    auto look = [this, id, done](const absl::StatusOr<result_record>& got) {
      if (code_of(got.status()) == error_code::not_found) {
        find_lost(id, done);
        return;
      }
      done(got);
    };
    fulmar::find_result(options.stores, id, look);
  };
  calls->find_pending(recorder_owner(), id, false, std::move(in_stores));
}

void entry_daemon::state::find_lost(const std::string& id,
                                    const callback<result_record>& done) {
  auto claim =
      claim_record{.kind = claim_kind::started, .subject = id, .claimant = id};
  find_claim(options.stores, claim, [this, id, done](const auto& got) {
    auto is_lost = got.ok() && !live_members().empty();
    auto holder = is_lost ? members->members().member(got->value)
                          : std::optional<member_record>();
    if (!is_lost || (holder && holder->state != member_state::dead)) {
      done(make_error(error_code::not_found, "no such request"));
      return;
    }
    done(make_error(error_code::outcome_unknown,
                    "the VM that ran the request was lost", outcome::unknown));
  });
}

bool entry_daemon::state::is_ready() const {
  return !leaving && watcher->in_force() != nullptr;
}

void entry_daemon::state::tick_fast() {
  pools->tick();
  requests->tick();
  results->tick(event_loop::now());
}

void entry_daemon::state::tick_slow() {
  auto now = event_loop::now();
  auto& joined = members->members();
  for (const auto& it : joined.members()) {
    if (it.state == member_state::dead) continue;
    sightings[it.name] = now;
    if (it.name != name) watcher->heard(it.name, it.config_version, now);
  }
  std::erase_if(sightings, [now](const auto& it) {
    return now - it.second > sighting_retention;
  });
  watcher->tick(now);
  if (auto it = watcher->in_force()) joined.set_config_version(it->version);
  joined.set_ready(is_ready());
  batches->tick(now);
  callers->tick();
}

std::vector<watcher_status> entry_daemon::state::vm_states() const {
  auto now = event_loop::now();
  auto out = std::vector<watcher_status>{watcher->status(now)};
  for (const auto& it : members->members().members()) {
    if (it.name == name || it.state == member_state::dead) continue;
    out.push_back({.vm = it.name,
                   .version = it.config_version,
                   .known_version = out.front().known_version});
  }
  return out;
}

void entry_daemon::state::serve_operator(
    const std::shared_ptr<http_exchange>& it) {
  if (it->request().target == "/metrics") {
    figures.set_pending_results(requests->unrecorded() +
                                results->load().results);
    it->respond({.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                 .body = figures.text()});
    return;
  }
  if (!is_operator_path(it->request().target)) {
    it->respond({.status = http_status(error_code::not_found)});
    return;
  }
  answer_operator(
      operators, it->request(), event_loop::now(),
      [it](http_response answer) { it->respond(std::move(answer)); });
}

bool entry_daemon::state::is_drained() const {
  auto load = results->load();
  return requests->open() == 0 && requests->unrecorded() == 0 &&
         batches->open() == 0 && load.results == 0 && load.claims == 0;
}

void entry_daemon::state::log_leftovers() const {
  auto load = results->load();
  LOG(WARNING) << "left over: " << requests->open() << " requests, "
               << requests->unrecorded() << " unrecorded results, "
               << batches->open() << " chunks, " << load.results
               << " pending results, " << load.claims << " claims, order log "
               << (pools->flushed() ? "flushed" : "not flushed");
}

void entry_daemon::state::drain(instant give_up_at,
                                const std::function<void(bool)>& done) {
  auto late = event_loop::steady() > give_up_at;
  if (is_drained() || late) {
    pools->close();
    if (pools->flushed() || late) {
      auto clean = is_drained() && pools->flushed();
      if (!clean) log_leftovers();
      ended = true;
      done(clean);
      return;
    }
  }
  loop.after(shutdown_look, [self = shared_from_this(), give_up_at, done] {
    self->drain(give_up_at, done);
  });
}

entry_daemon::entry_daemon(event_loop& loop, daemon_options options)
    : state_(std::make_shared<state>(loop, std::move(options))) {
  state_->build();
}

entry_daemon::~entry_daemon() {
  state_->ended = true;
}

absl::Status entry_daemon::start() {
  return state_->start();
}

std::uint16_t entry_daemon::caller_port() const {
  return state_->caller_server->port();
}

std::uint16_t entry_daemon::operator_port() const {
  return state_->operator_server->port();
}

void entry_daemon::shut_down(std::function<void(bool clean)> done) {
  auto it = state_;
  if (it->leaving) return;
  it->leaving = true;
  it->members->members().set_leaving();
  it->batches->close();
  auto give_up_at = event_loop::steady() + it->options.shutdown_limit;
  it->loop.after(it->options.unready_wait,
                 [it, give_up_at, done = std::move(done)] {
                   it->caller_server->stop_accepting();
                   it->drain(give_up_at, done);
                 });
}

}  // namespace fulmar
