#include "fulmarpitch/core/membership.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "fulmarpitch/core/rendezvous.h"
#include "membership-table.h"

namespace fulmar {
namespace {

constexpr std::uint32_t max_health = 8;
// A change goes out this often on pings; from there the digests spread it.
constexpr std::uint32_t blind_sends = 2;
// Suspected members get this many pings of each four.
constexpr std::uint64_t suspect_turns = 3;
// Members that hear of an urgent change at once from each that learns of it.
constexpr std::size_t urgent_fanout = 4;
// Every so many periods a dead member or a seed is pinged too.
constexpr std::uint64_t reconnect_periods = 10;
// Without a call for so many periods this process was paused.
constexpr int pause_periods = 4;
constexpr membership_digest all_buckets = {~0ULL, ~0ULL, ~0ULL, ~0ULL};
// Most member records that mend differences, in a second.
constexpr std::size_t refreshes_per_second = 12;
constexpr std::size_t relayed_summaries = 2;
// One summary in this many goes to a seed in place of a known delegate.
constexpr std::uint64_t remote_seed_turns = 8;

// A ping that waits for its ack.
struct probe {
  std::string name;
  instant sent_at{};
  bool indirect = false;
};

// An ack that is passed on to the member that asked for it.
struct relay {
  std::string address;
  std::uint64_t sequence = 0;
  std::string target;
  instant sent_at{};
};

}  // namespace

struct membership::state {
  explicit state(membership_options given)
      : options(std::move(given)), random(options.random_seed) {
    self.name = options.name;
    self.peer_address = options.peer_address;
    self.http_address = options.http_address;
    self.start = options.start;
    self.incarnation = options.start;
    self_hash = stable_hash(self.name);
  }

  membership_options options;
  std::mt19937_64 random;
  member_record self;
  std::uint64_t self_hash = 0;
  std::uint32_t self_sent = 0;
  detail::member_table table;
  std::map<std::string, data_centre_summary> summaries;
  std::uint64_t highest_config = 0;
  std::uint32_t health = 0;
  std::uint64_t sequence = 0;
  std::uint64_t periods = 0;
  std::map<std::uint64_t, probe> probes;
  std::map<std::uint64_t, relay> relays;
  std::vector<std::string> round;
  std::deque<std::string> probe_next;
  std::set<std::string> invited;
  // Member records that may still go out by difference of the digests.
  std::size_t refresh_credit = refreshes_per_second;
  instant credited_at{};
  bool urgent = false;
  bool started = false;
  instant last_tick{};
  instant next_ping{};
  instant next_summary{};
  std::vector<membership_output> out;

  std::size_t pick(std::size_t n) { return random() % n; }

  membership_digest digest() const {
    auto digest = table.digest();
    detail::add_to_digest(digest, self_hash, self.incarnation * 2);
    return digest;
  }

  // Each change of the own record is a new incarnation.
  void change_self(bool pressing) {
    ++self.incarnation;
    if (pressing) self_sent = 0;
  }

  membership_message new_message(membership_message_kind kind) const {
    auto message = membership_message();
    message.kind = kind;
    message.from = self.name;
    message.data_centre = options.data_centre;
    message.incarnation = self.incarnation;
    message.digest = digest();
    message.highest_config_version = highest_config;
    return message;
  }

  detail::record_limit limit() const {
    return {.members = options.records_per_message,
            .targets = options.targets_per_message};
  }

  // Lets a receiver that is not believed to be up refute that.
  void add_accusation(membership_message& message, const std::string& name) {
    const auto* record = find(name);
    if (record == nullptr || record->state == member_state::up) return;
    message.members.push_back(*record);
  }

  // Adds what changed of late, for a receiver whose digest is not known.
  void add_updates(membership_message& message, const std::string& receiver) {
    add_accusation(message, receiver);
    if (self_sent < blind_sends) {
      detail::add_once(message.members, self);
      ++self_sent;
    }
    table.take_updates(limit(), blind_sends, message);
  }

  // Adds what the receiver may lack by the difference of the digests.
  void add_difference(membership_message& message, const std::string& receiver,
                      const membership_digest& difference) {
    add_accusation(message, receiver);
    if (detail::in_difference(difference, self_hash)) {
      detail::add_once(message.members, self);
    }
    auto most = limit();
    auto held = message.members.size();
    most.members = std::min(most.members, held + refresh_credit);
    table.take_refresh(most, difference, message);
    refresh_credit -= std::min(refresh_credit, message.members.size() - held);
  }

  void send(const std::string& address, membership_message message) {
    out.emplace_back(send_output{address, std::move(message)});
  }

  void send_ping(const std::string& address, const std::string& name,
                 instant now) {
    auto message = new_message(membership_message_kind::ping);
    message.sequence = ++sequence;
    message.target = name;
    add_updates(message, name);
    if (!name.empty()) probes[sequence] = {.name = name, .sent_at = now};
    send(address, std::move(message));
  }

  const member_record* find(const std::string& name) const {
    auto it = table.members.find(name);
    return it == table.members.end() ? nullptr : &it->second.record;
  }

  std::vector<std::string> random_live(std::size_t count,
                                       const std::string& except) {
    auto names = table.names(false);
    std::erase(names, except);
    std::shuffle(names.begin(), names.end(), random);
    if (names.size() > count) names.resize(count);
    return names;
  }

  // ---- Receiving

  void merge(const member_record& record, instant now) {
    if (record.name == self.name) {
      refute(record);
      return;
    }
    auto leaving_before = find(record.name) && find(record.name)->leaving;
    auto changed = table.merge(record, now, out);
    if (changed && record.leaving && !leaving_before) urgent = true;
    raise_config(record.config_version);
  }

  void refute(const member_record& record) {
    auto newer = record.incarnation > self.incarnation;
    auto accused = record.incarnation == self.incarnation &&
                   (record.state != member_state::up || !(record == self));
    if (!newer && !accused) return;
    self.incarnation = record.incarnation;
    change_self(true);
    if (record.state != member_state::up) worsen_health();
  }

  void raise_config(std::uint64_t version) {
    if (version <= highest_config) return;
    highest_config = version;
    urgent = true;
  }

  void worsen_health() { health = std::min(health + 1, max_health); }

  void on_ping(const std::string& address, const membership_message& ping) {
    // The address may belong to another VM by now.
    if (!ping.target.empty() && ping.target != self.name) return;
    auto message = new_message(membership_message_kind::ack);
    message.sequence = ping.sequence;
    add_difference(message, ping.from,
                   detail::difference_of(ping.digest, message.digest));
    send(address, std::move(message));
  }

  void on_ping_request(const std::string& address,
                       const membership_message& request, instant now) {
    auto message = new_message(membership_message_kind::ping);
    message.sequence = ++sequence;
    message.target = request.target;
    relays[sequence] = {.address = address,
                        .sequence = request.sequence,
                        .target = request.target,
                        .sent_at = now};
    send(request.target_address, std::move(message));
  }

  // A suspected member that still answers gets more time to refute.
  void note_alive(const std::string& name, instant now) {
    auto it = table.members.find(name);
    if (it == table.members.end()) return;
    if (it->second.record.state == member_state::suspect) {
      it->second.changed_at = now;
    }
  }

  // The third leg of an exchange: what the answering member still lacks.
  void mend(const std::string& address, const membership_message& ack) {
    auto difference = detail::difference_of(ack.digest, digest());
    if (difference == membership_digest{}) return;
    auto message = new_message(membership_message_kind::update);
    add_difference(message, ack.from, difference);
    if (message.members.empty() && message.targets.empty()) return;
    send(address, std::move(message));
  }

  void on_ack(const std::string& address, const membership_message& ack,
              instant now) {
    if (auto it = relays.find(ack.sequence); it != relays.end()) {
      if (ack.from == it->second.target) pass_on(it->second);
      relays.erase(it);
      return;
    }
    if (ack.target.empty()) mend(address, ack);
    auto it = probes.find(ack.sequence);
    if (it == probes.end()) return;
    const auto& about = ack.target.empty() ? ack.from : ack.target;
    if (about != it->second.name) return;
    note_alive(about, now);
    probes.erase(it);
    if (health > 0) --health;
  }

  void pass_on(const relay& it) {
    auto message = new_message(membership_message_kind::ack);
    message.sequence = it.sequence;
    message.target = it.target;
    send(it.address, std::move(message));
  }

  void receive(const std::string& address, const membership_message& message,
               instant now) {
    raise_config(message.highest_config_version);
    for (const auto& it : message.summaries)
      merge_summary(it);
    if (message.kind == membership_message_kind::summary) {
      on_summary(address, message);
      return;
    }
    if (message.data_centre != options.data_centre) return;
    if (message.from == self.name) return;
    note_alive(message.from, now);
    for (const auto& it : message.members)
      merge(it, now);
    for (const auto& it : message.targets) {
      if (table.merge(it, out)) urgent = true;
    }
    switch (message.kind) {
      case membership_message_kind::ping:
        on_ping(address, message);
        break;
      case membership_message_kind::ack:
        on_ack(address, message, now);
        break;
      case membership_message_kind::ping_request:
        on_ping_request(address, message, now);
        break;
      default:
        break;
    }
  }

  // ---- Timers

  instant scaled(instant span) const { return span * (1 + health); }

  void after_pause(instant gap) {
    probes.clear();
    relays.clear();
    for (auto& [name, it] : table.members) {
      if (it.record.state == member_state::suspect) it.changed_at += gap;
    }
  }

  // Bounds what mending costs while everything changes at once.
  void refill_credit(instant now) {
    constexpr auto interval = instant(std::chrono::seconds(1)) /
                              static_cast<int>(refreshes_per_second);
    auto n = std::min<std::size_t>((now - credited_at) / interval,
                                   refreshes_per_second);
    if (n == 0) return;
    credited_at = now;
    refresh_credit = std::min(refresh_credit + n, refreshes_per_second);
  }

  void check_probes(instant now) {
    for (auto it = probes.begin(); it != probes.end();) {
      auto waited = now - it->second.sent_at;
      if (!it->second.indirect && waited >= scaled(options.ack_timeout)) {
        it->second.indirect = true;
        ask_others(it->first, it->second.name);
      }
      if (waited < scaled(options.ping_period)) {
        ++it;
        continue;
      }
      suspect(it->second.name, now);
      it = probes.erase(it);
    }
    std::erase_if(relays, [&](const auto& row) {
      return now - row.second.sent_at > scaled(options.ping_period);
    });
  }

  void ask_others(std::uint64_t probe_sequence, const std::string& name) {
    const auto* record = find(name);
    if (record == nullptr) return;
    for (const auto& helper : random_live(options.indirect_pings, name)) {
      auto message = new_message(membership_message_kind::ping_request);
      message.sequence = probe_sequence;
      message.target = name;
      message.target_address = record->peer_address;
      send(find(helper)->peer_address, std::move(message));
    }
  }

  void suspect(const std::string& name, instant now) {
    const auto* record = find(name);
    if (record == nullptr || record->state == member_state::dead) return;
    // A failed ping to a suspect tells nothing of this process.
    if (record->state != member_state::up) return;
    worsen_health();
    auto changed = *record;
    changed.state = member_state::suspect;
    table.merge(changed, now, out);
  }

  void check_suspects(instant now) {
    auto lapsed = std::vector<member_record>();
    for (const auto& [name, it] : table.members) {
      if (it.record.state != member_state::suspect) continue;
      if (now - it.changed_at < scaled(options.suspicion)) continue;
      lapsed.push_back(it.record);
    }
    for (auto& it : lapsed) {
      it.state = member_state::dead;
      table.merge(it, now, out);
    }
  }

  std::string random_suspect() {
    auto names = std::vector<std::string>();
    for (const auto& [name, it] : table.members) {
      if (it.record.state == member_state::suspect) names.push_back(name);
    }
    return names.empty() ? std::string() : names[pick(names.size())];
  }

  std::string next_member() {
    if (periods % 4 < suspect_turns) {
      if (auto name = random_suspect(); !name.empty()) return name;
    }
    while (!probe_next.empty()) {
      auto name = probe_next.front();
      probe_next.pop_front();
      if (const auto* it = find(name);
          it != nullptr && it->state != member_state::dead) {
        return name;
      }
    }
    for (auto turn = 0; turn < 2; ++turn) {
      while (!round.empty()) {
        auto name = round.back();
        round.pop_back();
        if (const auto* it = find(name);
            it != nullptr && it->state != member_state::dead) {
          return name;
        }
      }
      round = table.names(false);
      std::shuffle(round.begin(), round.end(), random);
    }
    return {};
  }

  void ping_next(instant now) {
    if (auto name = next_member(); !name.empty()) {
      send_ping(find(name)->peer_address, name, now);
    }
    auto alone = table.names(false).empty();
    if (alone || ++periods % reconnect_periods == 0) reconnect();
  }

  // Pings one address that should be a member's but is not.
  void reconnect() {
    auto known = std::set<std::string>{self.peer_address};
    auto addresses = std::vector<std::string>();
    for (const auto& [name, it] : table.members) {
      known.insert(it.record.peer_address);
      if (it.record.state == member_state::dead) {
        addresses.push_back(it.record.peer_address);
      }
    }
    auto add_unknown = [&](const auto& list) {
      for (const auto& it : list) {
        if (!known.contains(it)) addresses.push_back(it);
      }
    };
    add_unknown(options.seeds);
    add_unknown(invited);
    if (addresses.empty()) return;
    auto address = addresses[pick(addresses.size())];
    auto name = std::string();
    for (const auto& [key, it] : table.members) {
      if (it.record.peer_address == address) name = key;
    }
    auto message = new_message(membership_message_kind::ping);
    message.sequence = ++sequence;
    add_difference(message, name, all_buckets);
    send(address, std::move(message));
  }

  void spread_urgent() {
    if (!urgent) return;
    urgent = false;
    for (const auto& name : random_live(urgent_fanout, {})) {
      auto message = new_message(membership_message_kind::update);
      add_updates(message, name);
      send(find(name)->peer_address, std::move(message));
    }
  }

  // ---- Data centres

  std::vector<std::string> live_names() const {
    auto names = table.names(false);
    names.push_back(self.name);
    return names;
  }

  std::vector<std::string> delegate_names() const {
    auto names = live_names();
    return rendezvous_owners(options.data_centre, names, options.delegates);
  }

  bool is_delegate() const {
    auto names = delegate_names();
    return std::find(names.begin(), names.end(), self.name) != names.end();
  }

  void merge_summary(const data_centre_summary& summary) {
    raise_config(summary.config_version);
    auto& known = summaries[summary.data_centre];
    if (summary.version > known.version) known = summary;
  }

  // Brings the own summary up to date under a version above any heard one.
  const data_centre_summary& own_summary() {
    auto& known = summaries[options.data_centre];
    auto fresh = data_centre_summary();
    fresh.data_centre = options.data_centre;
    fresh.version = known.version;
    fresh.config_version = highest_config;
    fresh.live_members = static_cast<std::uint32_t>(live_names().size());
    for (const auto& name : delegate_names()) {
      auto own = name == self.name;
      fresh.delegates.push_back(own ? self.peer_address
                                    : find(name)->peer_address);
    }
    if (!(fresh == known)) {
      known = fresh;
      ++known.version;
    }
    return known;
  }

  membership_message summary_message(membership_message_kind kind,
                                     const std::string& receiver) {
    auto message = new_message(kind);
    message.summaries.push_back(own_summary());
    auto others = std::vector<const data_centre_summary*>();
    for (const auto& [name, it] : summaries) {
      if (name != options.data_centre && name != receiver) {
        others.push_back(&it);
      }
    }
    std::shuffle(others.begin(), others.end(), random);
    if (others.size() > relayed_summaries) others.resize(relayed_summaries);
    for (const auto* it : others)
      message.summaries.push_back(*it);
    return message;
  }

  void on_summary(const std::string& address, const membership_message& from) {
    auto reply = summary_message(membership_message_kind::summary_reply,
                                 from.data_centre);
    // A new delegate learns the versions that its data centre has used.
    const auto& known = summaries[from.data_centre];
    if (from.data_centre != options.data_centre && !from.summaries.empty() &&
        known.version > from.summaries.front().version) {
      reply.summaries.push_back(known);
    }
    send(address, std::move(reply));
    if (is_delegate()) return;
    for (const auto& name : delegate_names()) {
      auto message = new_message(membership_message_kind::update);
      message.summaries = from.summaries;
      send(find(name)->peer_address, std::move(message));
    }
  }

  // The other data centres take turns at random, with the other delegates of
  // this one among them.
  void send_summary() {
    auto choices = std::vector<std::pair<std::string, std::string>>();
    for (const auto& [name, it] : summaries) {
      if (name == options.data_centre || it.delegates.empty()) continue;
      choices.emplace_back(name, it.delegates[pick(it.delegates.size())]);
    }
    for (const auto& name : delegate_names()) {
      if (name == self.name) continue;
      choices.emplace_back(options.data_centre, find(name)->peer_address);
    }
    const auto& seeds = options.remote_seeds;
    auto use_seed = choices.size() < 2 || pick(remote_seed_turns) == 0;
    if (use_seed && !seeds.empty()) {
      choices = {{std::string(), seeds[pick(seeds.size())]}};
    }
    if (choices.empty()) return;
    const auto& [name, address] = choices[pick(choices.size())];
    send(address, summary_message(membership_message_kind::summary, name));
  }

  void tick(instant now) {
    if (started && now - last_tick > options.ping_period * pause_periods) {
      after_pause(now - last_tick);
    }
    last_tick = now;
    refill_credit(now);
    if (!started) {
      started = true;
      // Members that start together must not ping together.
      next_ping = now + instant(pick(options.ping_period.count()));
      next_summary = now + instant(pick(options.summary_period.count()));
      reconnect();
    }
    check_probes(now);
    check_suspects(now);
    if (now >= next_ping) {
      next_ping = now + options.ping_period;
      table.forget_dead(now - options.dead_retention);
      ping_next(now);
    }
    if (now >= next_summary) {
      next_summary = now + options.summary_period;
      if (is_delegate()) send_summary();
    }
    spread_urgent();
  }
};

membership::membership(membership_options options)
    : state_(std::make_unique<state>(std::move(options))) {}
membership::~membership() = default;
membership::membership(membership&&) noexcept = default;
membership& membership::operator=(membership&&) noexcept = default;

void membership::receive(const std::string& from_address,
                         const membership_message& message, instant now) {
  state_->receive(from_address, message, now);
}

std::vector<membership_output> membership::tick(instant now) {
  state_->tick(now);
  return std::exchange(state_->out, {});
}

instant membership::next_timer() const {
  auto next = std::min(state_->next_ping, state_->next_summary);
  for (const auto& [sequence, it] : state_->probes) {
    auto wait =
        it.indirect ? state_->options.ping_period : state_->options.ack_timeout;
    next = std::min(next, it.sent_at + state_->scaled(wait));
  }
  return next;
}

std::vector<member_record> membership::members() const {
  auto rows = std::vector<member_record>{state_->self};
  for (const auto& [name, it] : state_->table.members) {
    rows.push_back(it.record);
  }
  std::sort(rows.begin(), rows.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  return rows;
}

std::vector<std::string> membership::role_members() const {
  auto names = std::vector<std::string>();
  for (const auto& it : members()) {
    auto usable = it.ready && !it.leaving && it.state != member_state::dead;
    if (usable) names.push_back(it.name);
  }
  return names;
}

std::optional<member_record> membership::member(const std::string& name) const {
  if (name == state_->self.name) return state_->self;
  const auto* it = state_->find(name);
  return it == nullptr ? std::nullopt : std::optional(*it);
}

std::vector<target_record> membership::targets() const {
  auto rows = std::vector<target_record>();
  for (const auto& [name, it] : state_->table.targets) {
    rows.push_back(it.record);
  }
  return rows;
}

std::vector<data_centre_summary> membership::summaries() const {
  auto rows = std::vector<data_centre_summary>();
  for (const auto& [name, it] : state_->summaries) {
    if (name != state_->options.data_centre) rows.push_back(it);
  }
  return rows;
}

bool membership::is_delegate() const {
  return state_->is_delegate();
}

std::uint64_t membership::highest_config_version() const {
  return state_->highest_config;
}

void membership::set_config_version(std::uint64_t version) {
  if (version <= state_->self.config_version) return;
  state_->self.config_version = version;
  state_->change_self(false);
  state_->raise_config(version);
}

void membership::set_ready(bool ready) {
  if (ready == state_->self.ready) return;
  state_->self.ready = ready;
  state_->change_self(true);
}

void membership::set_leaving() {
  if (state_->self.leaving) return;
  state_->self.leaving = true;
  state_->change_self(true);
  state_->urgent = true;
}

void membership::set_target(const target_record& target) {
  if (state_->table.merge(target, state_->out)) state_->urgent = true;
}

void membership::hint_platform_list(
    const std::vector<std::string>& peer_addresses) {
  auto listed =
      std::set<std::string>(peer_addresses.begin(), peer_addresses.end());
  for (const auto& [name, it] : state_->table.members) {
    if (!listed.contains(it.record.peer_address)) hint_failing(name);
  }
  state_->invited = std::move(listed);
}

void membership::hint_failing(const std::string& name) {
  auto& next = state_->probe_next;
  if (std::find(next.begin(), next.end(), name) == next.end()) {
    next.push_back(name);
  }
}

std::uint32_t membership::local_health() const {
  return state_->health;
}

}  // namespace fulmar
