#include "fulmarpitch/config/watcher.h"

#include <algorithm>
#include <optional>

#include "fulmarpitch/core/errors.h"
#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

constexpr std::uint64_t per_mille = 1000;
constexpr std::uint64_t least_jitter_per_mille = 750;
constexpr std::uint64_t jitter_range_per_mille = 500;

/// The next number of a SplitMix64 sequence.
std::uint64_t next_random(std::uint64_t& state) {
  state += 0x9e3779b97f4a7c15U;
  auto value = state;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

/// A call under way; a newer one replaces it after the timeout.
struct pending_call {
  std::uint64_t number = 0;
  bool is_open = false;
  instant started{};
};

}  // namespace

struct config_watcher::state : std::enable_shared_from_this<state> {
  watcher_options options;
  watcher_links links;
  std::shared_ptr<const configuration> in_force;
  std::string bytes;
  std::uint64_t known = 0;
  /// The head row, as last read; names the snapshot in the object store.
  config_head head;
  std::uint64_t head_row_version = 0;
  std::map<std::string, std::uint64_t> peers;
  std::string last_peer;
  pending_call poll;
  pending_call store_fetch;
  pending_call peer_fetch;
  std::uint64_t calls = 0;
  std::optional<instant> started;
  instant now{};
  instant next_poll{};
  instant behind_since{};
  std::uint64_t refused = 0;
  std::vector<declaration_fault> faults;

  std::uint64_t version() const {
    return in_force == nullptr ? 0 : in_force->version;
  }
  bool is_behind() const { return known > version() && known != refused; }

  void tick(instant time) {
    now = std::max(now, time);
    if (!started) start();
    if (now >= next_poll && may_open(poll)) start_poll();
    if (!is_behind()) return;
    if (may_open(store_fetch)) fetch_from_store();
    if (may_open(peer_fetch)) fetch_from_peer();
  }

  void start() {
    started = now;
    next_poll = now;
  }

  bool may_open(const pending_call& call) const {
    return !call.is_open || now - call.started >= options.call_timeout;
  }

  std::uint64_t open(pending_call& call) {
    call = {++calls, true, now};
    return call.number;
  }

  /// A reply that comes after the timeout is still used, but closes nothing.
  static void close(pending_call& call, std::uint64_t number) {
    if (call.number == number) call.is_open = false;
  }

  void learn(std::uint64_t version_heard) {
    if (version_heard <= known) return;
    if (known <= version()) behind_since = now;
    known = version_heard;
  }

  void start_poll() {
    const auto jitter =
        least_jitter_per_mille +
        next_random(options.random_seed) % jitter_range_per_mille;
    const auto interval = in_force == nullptr ? options.start_poll_interval
                                              : options.poll_interval;
    next_poll = now + interval * jitter / per_mille;
    const auto number = open(poll);
    links.stores.tables.read(
        std::string(config_head_key),
        [me = shared_from_this(), number](const absl::StatusOr<table_row>& it) {
          close(me->poll, number);
          if (it.ok()) me->take_head(*it);
        });
  }

  void take_head(const table_row& row) {
    const auto read = parse_head(row);
    // A read that lags shows an older row, which says nothing new.
    if (!read.ok() || row.version < head_row_version) return;
    if (read->version < head.version) return;
    head = *read;
    head_row_version = row.version;
    learn(head.version);
    if (is_behind() && may_open(store_fetch)) fetch_from_store();
  }

  void fetch_from_store() {
    if (head.version != known) return;
    const auto number = open(store_fetch);
    links.stores.objects.get(
        head.snapshot, [me = shared_from_this(), number,
                        wanted = head](const absl::StatusOr<std::string>& it) {
          close(me->store_fetch, number);
          if (!it.ok()) return;
          if (const auto snapshot = verified_snapshot(wanted, *it);
              snapshot.ok()) {
            me->take_from_store(*snapshot, *it);
          }
        });
  }

  /// A VM that has just started cannot tell an old head from the newest, so
  /// it asks the table service to confirm the row before it relies on it.
  void take_from_store(const config_snapshot& snapshot,
                       const std::string& text) {
    if (in_force != nullptr) return take(snapshot, text);
    const auto id = concat("confirm/", options.vm, "/", now.count(), "/",
                           hex(next_random(options.random_seed)));
    const auto number = open(store_fetch);
    links.stores.tables.commit(
        {.id = id,
         .conditions = {{std::string(config_head_key), head_row_version}}},
        [me = shared_from_this(), number, snapshot,
         text](const absl::StatusOr<commit_result>& it) {
          close(me->store_fetch, number);
          if (!it.ok()) return;
          if (it->committed) return me->take(snapshot, text);
          // The row has moved on, so a version above this one exists.
          me->learn(snapshot.version + 1);
        });
  }

  /// The next peer after the one asked last that has the version.
  std::optional<std::string> choose_peer() const {
    auto first = std::optional<std::string>();
    for (const auto& [peer, peer_version] : peers) {
      if (peer_version < known) continue;
      if (peer > last_peer) return peer;
      if (!first) first = peer;
    }
    return first;
  }

  void fetch_from_peer() {
    if (!links.fetch_from_peer) return;
    if (in_force == nullptr && now - *started < options.start_wait) return;
    const auto peer = choose_peer();
    if (!peer) return;
    last_peer = *peer;
    const auto number = open(peer_fetch);
    links.fetch_from_peer(*peer, [me = shared_from_this(), number](
                                     const absl::StatusOr<std::string>& it) {
      close(me->peer_fetch, number);
      if (it.ok()) me->take_from_peer(*it);
    });
  }

  void take_from_peer(const std::string& text) {
    const auto snapshot = parse_config_snapshot(text);
    if (!snapshot.ok()) return;
    const auto is_known = snapshot->version == head.version;
    if (is_known && sha256_hex(text) != head.digest) return;
    learn(snapshot->version);
    take(*snapshot, text);
  }

  /// A VM without a configuration may have had the highest known version
  /// before its restart, so it takes nothing lower.
  bool may_take(std::uint64_t offered) const {
    if (offered <= version() || offered == refused) return false;
    return in_force != nullptr || offered >= known;
  }

  void take(const config_snapshot& snapshot, const std::string& text) {
    if (!may_take(snapshot.version)) return;
    auto parsed = configuration_of(snapshot);
    if (!parsed.ok()) {
      refused = std::max(refused, snapshot.version);
      faults = std::move(parsed.faults);
      return;
    }
    put_in_force(std::move(parsed.value), text);
  }

  void put_in_force(configuration value, const std::string& text) {
    ensure(value.version > version(), invariant::config_never_reverts,
           "a configuration is replaced by an older one");
    in_force = std::make_shared<const configuration>(std::move(value));
    bytes = text;
    if (refused <= version()) faults.clear();
    if (links.on_change) links.on_change(*in_force);
  }
};

config_watcher::config_watcher(watcher_options options, watcher_links links)
    : state_(std::make_shared<state>()) {
  state_->options = std::move(options);
  state_->links = std::move(links);
}

void config_watcher::tick(instant now) {
  state_->tick(now);
}

void config_watcher::heard(const std::string& peer, std::uint64_t version,
                           instant now) {
  state_->now = std::max(state_->now, now);
  state_->peers[peer] = version;
  state_->learn(version);
}

void config_watcher::forget(const std::string& peer) {
  state_->peers.erase(peer);
}

std::shared_ptr<const configuration> config_watcher::in_force() const {
  return state_->in_force;
}

const std::string& config_watcher::snapshot_bytes() const {
  return state_->bytes;
}

watcher_status config_watcher::status(instant now) const {
  const auto& it = *state_;
  const auto is_current = it.known <= it.version();
  const auto is_refused = it.refused > it.version();
  auto fault = watcher_fault::none;
  if (!is_current) fault = watcher_fault::not_fetched;
  if (!is_current && is_refused) fault = watcher_fault::refused;
  return {
      .vm = it.options.vm,
      .version = it.version(),
      .known_version = std::max(it.known, it.version()),
      .lag = is_current ? instant{} : now - it.behind_since,
      .fault = fault,
      .refused_version = is_refused ? it.refused : 0,
      .faults = is_refused ? it.faults : std::vector<declaration_fault>{},
  };
}

}  // namespace fulmar
