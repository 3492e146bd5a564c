#include "fulmarpitch/core/membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "membership-state.h"

namespace fulmar {

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
