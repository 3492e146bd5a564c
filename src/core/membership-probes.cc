#include <algorithm>
#include <set>
#include <utility>

#include "fulmarpitch/core/rendezvous.h"
#include "membership-state.h"

namespace fulmar {

void membership::state::after_pause(instant gap) {
  probes.clear();
  relays.clear();
  for (auto& [name, it] : table.members) {
    if (it.record.state == member_state::suspect) it.changed_at += gap;
  }
}

void membership::state::refill_credit(instant now) {
  constexpr auto interval = instant(std::chrono::seconds(1)) /
                            static_cast<int>(detail::refreshes_per_second);
  auto n = std::min<std::size_t>((now - credited_at) / interval,
                                 detail::refreshes_per_second);
  if (n == 0) return;
  credited_at = now;
  refresh_credit = std::min(refresh_credit + n, detail::refreshes_per_second);
}

void membership::state::check_probes(instant now) {
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

void membership::state::ask_others(std::uint64_t probe_sequence,
                                   const std::string& name) {
  const auto* record = find(name);
  if (record == nullptr) return;
  for (const auto& helper : random_live(options.indirect_pings, name)) {
    auto message = new_message(membership_message_kind::ping_request);
    message.sequence = probe_sequence;
    message.target = name;
    message.target_address = record->peer_address;
    send(address_of(helper), std::move(message));
  }
}

void membership::state::suspect(const std::string& name, instant now) {
  const auto* record = find(name);
  if (record == nullptr || record->state == member_state::dead) return;
  // A failed ping to a suspect tells nothing of this process.
  if (record->state != member_state::up) return;
  worsen_health();
  auto changed = *record;
  changed.state = member_state::suspect;
  table.merge(changed, now, out);
}

void membership::state::check_suspects(instant now) {
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

std::string membership::state::random_suspect() {
  auto names = std::vector<std::string>();
  for (const auto& [name, it] : table.members) {
    if (it.record.state == member_state::suspect) names.push_back(name);
  }
  return names.empty() ? std::string() : names[pick(names.size())];
}

std::string membership::state::next_member() {
  if (periods % 4 < detail::suspect_turns) {
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

void membership::state::ping_next(instant now) {
  if (auto name = next_member(); !name.empty()) {
    send_ping(address_of(name), name, now);
  }
  auto alone = table.names(false).empty();
  if (alone || ++periods % detail::reconnect_periods == 0) reconnect();
}

void membership::state::reconnect() {
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
  add_difference(message, name, detail::all_buckets);
  send(address, std::move(message));
}

void membership::state::spread_urgent() {
  if (!urgent) return;
  urgent = false;
  for (const auto& name : random_live(detail::urgent_fanout, {})) {
    auto message = new_message(membership_message_kind::update);
    add_updates(message, name);
    send(address_of(name), std::move(message));
  }
}

void membership::state::tick(instant now) {
  if (started &&
      now - last_tick > options.ping_period * detail::pause_periods) {
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

}  // namespace fulmar
