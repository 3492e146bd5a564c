#include "fulmarpitch/core/shares.h"

#include <algorithm>
#include <utility>

#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/rendezvous.h"
#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

// A change is sent this often, since messages may be lost.
constexpr std::uint32_t sends_of_change = 2;
// A change of demand below this part of the limit waits for its turn.
constexpr std::uint32_t demand_divisor = 20;

template <typename Row>
void mark_changed(Row& row) {
  for (auto& [name, it] : row.peers)
    it.unsent = sends_of_change;
}

// What a holder should have of a limit, by its part of the demand. Spare
// capacity is split evenly.
std::int64_t entitled(std::int64_t limit, std::int64_t demand,
                      std::int64_t total_demand, std::int64_t holders) {
  if (total_demand <= limit) return demand + (limit - total_demand) / holders;
  return limit * demand / total_demand;
}

}  // namespace

std::uint64_t limit_key(std::string_view caller, limit_kind kind) {
  return stable_hash(concat(name_in(limit_kind_names, kind), '/', caller));
}

share_ledger::share_ledger(share_options options)
    : options_(std::move(options)) {
  std::sort(options_.holders.begin(), options_.holders.end());
}

void share_ledger::set_limit(std::uint64_t key, std::uint32_t limit,
                             std::uint64_t generation) {
  auto& row = limits_[key];
  if (!row.peers.empty() && generation <= row.generation) return;
  row = {.limit = limit, .generation = generation, .demand = row.demand};
  for (const auto& it : options_.holders) {
    if (it != options_.holder) row.peers[it];
  }
}

void share_ledger::set_demand(std::uint64_t key, std::uint32_t demand) {
  auto it = limits_.find(key);
  if (it == limits_.end()) return;
  auto& row = it->second;
  row.demand = demand;
  auto change =
      std::max(demand, row.told_demand) - std::min(demand, row.told_demand);
  if (change == 0 || change < row.limit / demand_divisor) return;
  row.told_demand = demand;
  mark_changed(row);
}

// The base shares of all holders add up to the limit; the holders that get the
// remainder differ from limit to limit.
std::uint32_t share_ledger::base(std::uint64_t key,
                                 const limit_row& row) const {
  const auto& holders = options_.holders;
  auto n = static_cast<std::uint32_t>(holders.size());
  if (n == 0) return row.limit;
  auto at = std::lower_bound(holders.begin(), holders.end(), options_.holder);
  auto place = static_cast<std::uint64_t>(at - holders.begin());
  auto turn = (place + key % n) % n;
  return row.limit / n + (turn < row.limit % n ? 1 : 0);
}

std::int64_t share_ledger::balance(std::uint64_t key,
                                   const limit_row& row) const {
  auto sum = static_cast<std::int64_t>(base(key, row));
  for (const auto& [name, it] : row.peers) {
    sum += static_cast<std::int64_t>(it.received);
    sum -= static_cast<std::int64_t>(it.granted);
  }
  return sum;
}

std::uint32_t share_ledger::share(std::uint64_t key) const {
  auto it = limits_.find(key);
  if (it == limits_.end()) return 0;
  const auto& row = it->second;
  auto held = std::max<std::int64_t>(0, balance(key, row));
  auto complete = std::all_of(row.peers.begin(), row.peers.end(),
                              [](const auto& p) { return p.second.heard; });
  auto most = complete ? row.limit : base(key, row);
  return static_cast<std::uint32_t>(std::min<std::int64_t>(held, most));
}

void share_ledger::move() {
  for (auto& [key, row] : limits_)
    move_limit(key, row);
}

void share_ledger::move_limit(std::uint64_t key, limit_row& row) {
  auto total = static_cast<std::int64_t>(row.demand);
  for (const auto& [name, it] : row.peers) {
    if (!it.heard) return;
    total += it.demand;
  }
  auto limit = static_cast<std::int64_t>(row.limit);
  auto holders = static_cast<std::int64_t>(row.peers.size()) + 1;
  auto own = balance(key, row);
  auto spare = own - entitled(limit, row.demand, total, holders);
  auto step = std::max<std::int64_t>(1, limit / options_.move_divisor);
  auto room = std::min(spare, step);

  peer_row* neediest = nullptr;
  auto deficit = std::int64_t{0};
  for (auto& [name, it] : row.peers) {
    auto on_its_way = static_cast<std::int64_t>(it.granted - it.acknowledged);
    auto lacks = std::min<std::int64_t>(
        entitled(limit, it.demand, total, holders), it.demand);
    lacks -= it.share + on_its_way;
    if (lacks <= deficit) continue;
    deficit = lacks;
    neediest = &it;
  }
  auto amount = std::min(room, deficit);
  if (neediest == nullptr || amount <= 0) return;
  neediest->granted += static_cast<std::uint64_t>(amount);
  mark_changed(row);
  ensure(balance(key, row) >= 0, invariant::limit_holds,
         "a holder granted more than it holds");
}

void share_ledger::add_entry(std::uint64_t key, limit_row& row,
                             share_message& message) {
  auto it = row.peers.find(message.to);
  if (it == row.peers.end()) return;
  auto& peer = it->second;
  if (peer.unsent > 0) --peer.unsent;
  message.entries.push_back({.key = key,
                             .generation = row.generation,
                             .granted = peer.granted,
                             .received = peer.received,
                             .demand = row.demand,
                             .share = share(key)});
}

share_message share_ledger::message_to(const std::string& holder) {
  auto message = share_message{.from = options_.holder,
                               .to = holder,
                               .start = options_.start,
                               .heard_start = starts_[holder]};
  for (auto& [key, row] : limits_) {
    if (message.entries.size() >= options_.entries_per_message) break;
    auto it = row.peers.find(holder);
    if (it != row.peers.end() && it->second.unsent > 0) {
      add_entry(key, row, message);
    }
  }
  auto& cursor = cursors_[holder];
  auto it = limits_.upper_bound(cursor);
  auto count = std::min(options_.refreshed_per_message, limits_.size());
  for (std::size_t i = 0; i < count; ++i, ++it) {
    if (it == limits_.end()) it = limits_.begin();
    cursor = it->first;
    add_entry(it->first, it->second, message);
  }
  return message;
}

void share_ledger::receive(const share_message& message) {
  if (message.to != options_.holder) return;
  auto& start = starts_[message.from];
  if (message.start < start) return;
  start = message.start;
  auto is_answer = message.heard_start == options_.start;
  for (const auto& it : message.entries) {
    auto found = limits_.find(it.key);
    if (found == limits_.end()) continue;
    auto& row = found->second;
    if (row.generation != it.generation) continue;
    auto peer = row.peers.find(message.from);
    if (peer == row.peers.end()) continue;
    auto& view = peer->second;
    if (it.granted > view.received) mark_changed(row);
    view.received = std::max(view.received, it.granted);
    view.acknowledged = std::max(view.acknowledged, it.received);
    // A predecessor of this holder may have granted what is not known here.
    view.granted = std::max(view.granted, it.received);
    view.demand = it.demand;
    view.share = it.share;
    view.heard = view.heard || is_answer;
  }
}

}  // namespace fulmar
