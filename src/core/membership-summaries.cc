#include <algorithm>
#include <set>
#include <utility>

#include "fulmarpitch/core/rendezvous.h"
#include "membership-state.h"

namespace fulmar {

std::vector<std::string> membership::state::live_names() const {
  auto names = table.names(false);
  names.push_back(self.name);
  return names;
}

std::vector<std::string> membership::state::delegate_names() const {
  auto names = live_names();
  return rendezvous_owners(options.data_centre, names, options.delegates);
}

bool membership::state::is_delegate() const {
  auto names = delegate_names();
  return std::find(names.begin(), names.end(), self.name) != names.end();
}

void membership::state::merge_summary(const data_centre_summary& summary) {
  raise_config(summary.config_version);
  auto& known = summaries[summary.data_centre];
  if (summary.version > known.version) known = summary;
}

const data_centre_summary& membership::state::own_summary() {
  auto& known = summaries[options.data_centre];
  auto fresh = data_centre_summary();
  fresh.data_centre = options.data_centre;
  fresh.version = known.version;
  fresh.config_version = highest_config;
  fresh.live_members = static_cast<std::uint32_t>(live_names().size());
  for (const auto& name : delegate_names()) {
    fresh.delegates.push_back(address_of(name));
  }
  if (!(fresh == known)) {
    known = fresh;
    ++known.version;
  }
  return known;
}

membership_message membership::state::summary_message(
    membership_message_kind kind, const std::string& receiver) {
  auto message = new_message(kind);
  message.summaries.push_back(own_summary());
  auto others = std::vector<const data_centre_summary*>();
  for (const auto& [name, it] : summaries) {
    if (name != options.data_centre && name != receiver) {
      others.push_back(&it);
    }
  }
  std::shuffle(others.begin(), others.end(), random);
  if (others.size() > detail::relayed_summaries)
    others.resize(detail::relayed_summaries);
  for (const auto* it : others)
    message.summaries.push_back(*it);
  return message;
}

void membership::state::on_summary(const std::string& address,
                                   const membership_message& from) {
  auto reply =
      summary_message(membership_message_kind::summary_reply, from.data_centre);
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
    send(address_of(name), std::move(message));
  }
}

void membership::state::send_summary() {
  auto choices = std::vector<std::pair<std::string, std::string>>();
  for (const auto& [name, it] : summaries) {
    if (name == options.data_centre || it.delegates.empty()) continue;
    choices.emplace_back(name, it.delegates[pick(it.delegates.size())]);
  }
  for (const auto& name : delegate_names()) {
    if (name == self.name) continue;
    choices.emplace_back(options.data_centre, address_of(name));
  }
  const auto& seeds = options.remote_seeds;
  auto use_seed = choices.size() < 2 || pick(detail::remote_seed_turns) == 0;
  if (use_seed && !seeds.empty()) {
    choices = {{std::string(), seeds[pick(seeds.size())]}};
  }
  if (choices.empty()) return;
  const auto& [name, address] = choices[pick(choices.size())];
  send(address, summary_message(membership_message_kind::summary, name));
}

}  // namespace fulmar
