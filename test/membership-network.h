#pragma once

/// \file
/// A lossy datagram network in virtual time, for tests of membership.

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fulmarpitch/core/membership.h"
#include "fulmarpitch/core/text.h"

namespace fulmar {

struct network_options {
  double loss = 0;
  double duplicates = 0;
  instant min_delay = std::chrono::microseconds(300);
  instant max_delay = std::chrono::milliseconds(2);
  std::uint64_t seed = 1;
};

struct network_node {
  membership_options options;
  std::unique_ptr<membership> process;
  instant paused_until{};
  instant extra_delay{};
  std::uint64_t bytes_sent = 0;
  std::vector<membership_output> changes;
};

class membership_network {
 public:
  static constexpr instant step = std::chrono::milliseconds(10);

  explicit membership_network(network_options options)
      : options(options), random(options.seed) {}

  network_node& start(membership_options given) {
    auto address = given.peer_address;
    given.random_seed = random();
    auto& node = nodes[address];
    node.options = given;
    node.process = std::make_unique<membership>(given);
    node.process->set_ready(true);
    return node;
  }

  // Adds a data centre whose first two members are its seeds.
  std::vector<std::string> add_data_centre(const std::string& name,
                                           std::size_t members,
                                           membership_options base = {}) {
    auto addresses = std::vector<std::string>();
    for (std::size_t i = 0; i < members; ++i) {
      addresses.push_back(concat(name, "-", padded(i, 3), ":7946"));
    }
    for (std::size_t i = 0; i < members; ++i) {
      base.name = concat(name, "-vm-", padded(i, 3));
      base.data_centre = name;
      base.peer_address = addresses[i];
      base.http_address = concat("10.0.0.", i, ":8080");
      base.seeds = {addresses[0], addresses[1 % members]};
      start(base);
    }
    return addresses;
  }

  void crash(const std::string& address) { nodes[address].process.reset(); }

  void restart(const std::string& address) {
    auto given = nodes[address].options;
    given.start = given.start + 1'000'000;
    start(given);
  }

  void run(instant span) {
    for (auto end = now + span; now < end;) {
      now += step;
      deliver();
      for (auto& [address, node] : nodes)
        tick(address, node);
    }
  }

  // Whether every process sees exactly the running ones alive.
  bool agreed() const {
    for (const auto& [address, node] : nodes) {
      if (node.process && !agrees(*node.process, node.options.data_centre)) {
        return false;
      }
    }
    return true;
  }

  std::size_t knowing(const std::string& target, target_state state) const {
    auto n = std::size_t{0};
    for (const auto& [address, node] : nodes) {
      if (!node.process) continue;
      for (const auto& it : node.process->targets()) {
        n += it.name == target && it.state == state ? 1 : 0;
      }
    }
    return n;
  }

  template <typename Change>
  std::size_t count_changes() const {
    auto n = std::size_t{0};
    for (const auto& [address, node] : nodes) {
      for (const auto& it : node.changes) {
        n += std::holds_alternative<Change>(it) ? 1 : 0;
      }
    }
    return n;
  }

  void forget_changes() {
    for (auto& [address, node] : nodes)
      node.changes.clear();
  }

  network_options options;
  std::mt19937_64 random;
  instant now{};
  std::map<std::string, network_node> nodes;
  // Datagrams from the first address to the second are lost.
  std::set<std::pair<std::string, std::string>> cuts;

 private:
  struct datagram {
    std::string from;
    std::string to;
    membership_message message;
  };

  bool agrees(const membership& process, const std::string& name) const {
    for (const auto& [address, node] : nodes) {
      if (node.options.data_centre != name) continue;
      auto record = process.member(node.options.name);
      auto seen = record && record->state != member_state::dead;
      if (seen != (node.process != nullptr)) return false;
      if (seen && record->start != node.options.start) return false;
    }
    return true;
  }

  bool chance(double p) {
    return std::uniform_real_distribution<double>()(random) < p;
  }

  void tick(const std::string& address, network_node& node) {
    if (!node.process || now < node.paused_until) return;
    for (auto& it : node.process->tick(now)) {
      if (auto* out = std::get_if<send_output>(&it)) {
        node.bytes_sent += wire_bytes(out->message);
        send(address, *out);
      } else {
        node.changes.push_back(std::move(it));
      }
    }
  }

  void send(const std::string& from, const send_output& out) {
    if (cuts.contains({from, out.to_address}) || chance(options.loss)) return;
    auto copies = chance(options.duplicates) ? 2 : 1;
    for (auto i = 0; i < copies; ++i) {
      auto delay = std::uniform_int_distribution<std::int64_t>(
          options.min_delay.count(), options.max_delay.count())(random);
      auto extra = nodes[from].extra_delay;
      if (auto it = nodes.find(out.to_address); it != nodes.end()) {
        extra += it->second.extra_delay;
      }
      queue_.emplace(now + instant(delay) + extra,
                     datagram{from, out.to_address, out.message});
    }
  }

  void deliver() {
    while (!queue_.empty() && queue_.begin()->first <= now) {
      auto it = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      auto to = nodes.find(it.to);
      if (to == nodes.end() || !to->second.process) continue;
      if (now < to->second.paused_until) {
        queue_.emplace(to->second.paused_until, std::move(it));
        continue;
      }
      to->second.process->receive(it.from, it.message, now);
      tick(it.to, to->second);
    }
  }

  std::multimap<instant, datagram> queue_;
};

}  // namespace fulmar
