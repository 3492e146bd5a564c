#include <algorithm>
#include <set>
#include <utility>

#include "fulmarpitch/core/rendezvous.h"
#include "membership-state.h"

namespace fulmar {

membership_digest membership::state::digest() const {
  auto digest = table.digest();
  detail::add_to_digest(digest, self_hash, self.incarnation * 2);
  return digest;
}

void membership::state::change_self(bool pressing) {
  ++self.incarnation;
  if (pressing) self_sent = 0;
}

membership_message membership::state::new_message(
    membership_message_kind kind) const {
  auto message = membership_message();
  message.kind = kind;
  message.from = self.name;
  message.data_centre = options.data_centre;
  message.incarnation = self.incarnation;
  message.digest = digest();
  message.highest_config_version = highest_config;
  return message;
}

detail::record_limit membership::state::limit() const {
  return {.members = options.records_per_message,
          .targets = options.targets_per_message};
}

void membership::state::add_accusation(membership_message& message,
                                       const std::string& name) {
  const auto* record = find(name);
  if (record == nullptr || record->state == member_state::up) return;
  message.members.push_back(*record);
}

void membership::state::add_updates(membership_message& message,
                                    const std::string& receiver) {
  add_accusation(message, receiver);
  if (self_sent < detail::blind_sends) {
    detail::add_once(message.members, self);
    ++self_sent;
  }
  table.take_updates(limit(), detail::blind_sends, message);
}

void membership::state::add_difference(membership_message& message,
                                       const std::string& receiver,
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

void membership::state::send(const std::string& address,
                             membership_message message) {
  out.emplace_back(send_output{address, std::move(message)});
}

void membership::state::send_ping(const std::string& address,
                                  const std::string& name, instant now) {
  auto message = new_message(membership_message_kind::ping);
  message.sequence = ++sequence;
  message.target = name;
  add_updates(message, name);
  if (!name.empty()) probes[sequence] = {.name = name, .sent_at = now};
  send(address, std::move(message));
}

const member_record* membership::state::find(const std::string& name) const {
  auto it = table.members.find(name);
  return it == table.members.end() ? nullptr : &it->second.record;
}

std::string membership::state::address_of(const std::string& name) const {
  if (name == self.name) return self.peer_address;
  const auto* record = find(name);
  return record == nullptr ? std::string() : record->peer_address;
}

std::vector<std::string> membership::state::random_live(
    std::size_t count, const std::string& except) {
  auto names = table.names(false);
  std::erase(names, except);
  std::shuffle(names.begin(), names.end(), random);
  if (names.size() > count) names.resize(count);
  return names;
}

void membership::state::merge(const member_record& record, instant now) {
  if (record.name == self.name) {
    refute(record);
    return;
  }
  auto leaving_before = find(record.name) && find(record.name)->leaving;
  auto changed = table.merge(record, now, out);
  if (changed && record.leaving && !leaving_before) urgent = true;
  raise_config(record.config_version);
}

void membership::state::refute(const member_record& record) {
  auto newer = record.incarnation > self.incarnation;
  auto accused = record.incarnation == self.incarnation &&
                 (record.state != member_state::up || !(record == self));
  if (!newer && !accused) return;
  self.incarnation = record.incarnation;
  change_self(true);
  if (record.state != member_state::up) worsen_health();
}

void membership::state::raise_config(std::uint64_t version) {
  if (version <= highest_config) return;
  highest_config = version;
  urgent = true;
}

void membership::state::on_ping(const std::string& address,
                                const membership_message& ping) {
  // The address may belong to another VM by now.
  if (!ping.target.empty() && ping.target != self.name) return;
  auto message = new_message(membership_message_kind::ack);
  message.sequence = ping.sequence;
  add_difference(message, ping.from,
                 detail::difference_of(ping.digest, message.digest));
  send(address, std::move(message));
}

void membership::state::on_ping_request(const std::string& address,
                                        const membership_message& request,
                                        instant now) {
  auto message = new_message(membership_message_kind::ping);
  message.sequence = ++sequence;
  message.target = request.target;
  relays[sequence] = {.address = address,
                      .sequence = request.sequence,
                      .target = request.target,
                      .sent_at = now};
  send(request.target_address, std::move(message));
}

void membership::state::note_alive(const std::string& name, instant now) {
  auto it = table.members.find(name);
  if (it == table.members.end()) return;
  if (it->second.record.state == member_state::suspect) {
    it->second.changed_at = now;
  }
}

void membership::state::mend(const std::string& address,
                             const membership_message& ack) {
  auto difference = detail::difference_of(ack.digest, digest());
  if (difference == membership_digest{}) return;
  auto message = new_message(membership_message_kind::update);
  add_difference(message, ack.from, difference);
  if (message.members.empty() && message.targets.empty()) return;
  send(address, std::move(message));
}

void membership::state::on_ack(const std::string& address,
                               const membership_message& ack, instant now) {
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

void membership::state::pass_on(const detail::relay& it) {
  auto message = new_message(membership_message_kind::ack);
  message.sequence = it.sequence;
  message.target = it.target;
  send(it.address, std::move(message));
}

void membership::state::receive(const std::string& address,
                                const membership_message& message,
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

}  // namespace fulmar
