#include "fulmarpitch/core/queues.h"

#include <algorithm>

namespace fulmar {

caller_id class_queue::caller(const std::string& name) {
  auto [it, is_new] =
      by_name_.try_emplace(name, static_cast<caller_id>(callers_.size()));
  if (is_new) callers_.push_back({.name = name, .virtual_tokens = floor_});
  return it->second;
}

void class_queue::set_limits(caller_id caller, std::uint32_t weight,
                             std::uint32_t concurrency) {
  unlist(caller);
  callers_[caller].weight = std::max<std::uint32_t>(weight, 1);
  callers_[caller].concurrency = concurrency;
  list(caller, false);
}

void class_queue::push(caller_id caller, queue_entry entry,
                       std::int64_t work_us) {
  auto& it = callers_[caller];
  auto was_idle = it.entries.empty();
  unlist(caller);
  it.entries.insert(entry);
  it.queued_us += work_us;
  work_us_ += work_us;
  ++size_;
  list(caller, was_idle);
}

void class_queue::erase(caller_id caller, queue_entry entry,
                        std::int64_t work_us) {
  unlist(caller);
  remove(callers_[caller], entry, work_us);
  list(caller, false);
}

void class_queue::take(caller_id caller, queue_entry entry,
                       std::int64_t work_us, std::int64_t tokens) {
  auto& it = callers_[caller];
  unlist(caller);
  remove(it, entry, work_us);
  add_tokens(it, tokens);
  ++it.running;
  list(caller, false);
}

void class_queue::remove(caller_row& it, queue_entry entry,
                         std::int64_t work_us) {
  if (it.entries.erase(entry) == 0) return;
  it.queued_us -= work_us;
  work_us_ -= work_us;
  --size_;
}

void class_queue::add_tokens(caller_row& it, std::int64_t tokens) {
  it.remainder += tokens;
  it.virtual_tokens += it.remainder / it.weight;
  it.remainder %= it.weight;
}

void class_queue::charge(caller_id caller, std::int64_t tokens) {
  unlist(caller);
  add_tokens(callers_[caller], tokens);
  list(caller, false);
}

void class_queue::add_running(caller_id caller, std::int32_t change) {
  auto& it = callers_[caller];
  auto was_listed = it.listed;
  unlist(caller);
  it.running += static_cast<std::uint32_t>(change);
  list(caller, !was_listed);
}

std::int64_t class_queue::work_ahead_us(caller_id caller) const {
  const auto& it = callers_[caller];
  auto own_weight = it.entries.empty() ? it.weight : 0;
  auto fair = it.queued_us * (weight_ + own_weight) / it.weight;
  return std::min(work_us_, fair);
}

std::vector<row_id> class_queue::heads(std::size_t limit) const {
  auto result = std::vector<row_id>();
  result.reserve(std::min(limit, active_.size()));
  for (const auto& key : active_) {
    if (result.size() == limit) break;
    result.push_back(std::get<queue_entry>(key).row);
  }
  return result;
}

class_queue::active_key class_queue::key_of(caller_id caller) const {
  const auto& it = callers_[caller];
  return {it.virtual_tokens, *it.entries.begin(), caller};
}

void class_queue::unlist(caller_id caller) {
  auto& it = callers_[caller];
  if (!it.listed) return;
  active_.erase(key_of(caller));
  weight_ -= it.weight;
  servable_ -= it.servable;
  it.listed = false;
}

// A caller that returns starts level with the others: credit is not saved up.
void class_queue::list(caller_id caller, bool returns) {
  auto& it = callers_[caller];
  if (it.entries.empty()) return;
  if (it.concurrency != 0 && it.running >= it.concurrency) return;
  if (!active_.empty()) floor_ = std::get<0>(*active_.begin());
  if (returns) it.virtual_tokens = std::max(it.virtual_tokens, floor_);
  active_.insert(key_of(caller));
  weight_ += it.weight;
  it.servable = it.entries.size();
  if (it.concurrency != 0) {
    auto room = std::size_t(it.concurrency - it.running);
    it.servable = std::min(it.servable, room);
  }
  servable_ += it.servable;
  it.listed = true;
}

}  // namespace fulmar
