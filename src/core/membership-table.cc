#include "membership-table.h"

#include <algorithm>
#include <tuple>

#include "fulmarpitch/core/rendezvous.h"

namespace fulmar::detail {
namespace {

constexpr std::uint64_t bucket_mask = 0xffff;
constexpr std::uint64_t bucket_bits = 16;
constexpr std::uint64_t buckets_per_word = 4;

// Where the bucket of a name stands in a digest.
struct bucket_place {
  std::size_t word = 0;
  std::uint64_t shift = 0;
};

bucket_place place_of(std::uint64_t name_hash) {
  constexpr auto buckets =
      std::tuple_size_v<membership_digest> * buckets_per_word;
  auto bucket = name_hash % buckets;
  return {.word = bucket / buckets_per_word,
          .shift = bucket % buckets_per_word * bucket_bits};
}

// Visits up to `limit` rows that pass the filter, after the cursor and on from
// the start when the end is reached.
template <typename Table, typename Filter, typename Visit>
void take_turns(const Table& table, std::string& cursor, std::size_t limit,
                Filter filter, Visit visit) {
  auto it = table.upper_bound(cursor);
  for (std::size_t i = 0; i < table.size() && limit > 0; ++i, ++it) {
    if (it == table.end()) it = table.begin();
    if (!filter(it->second)) continue;
    visit(it->second);
    cursor = it->first;
    --limit;
  }
}

template <typename Table>
auto least_sent(Table& table, std::uint32_t max_sent) {
  auto rows = std::vector<typename Table::mapped_type*>();
  for (auto& [name, entry] : table) {
    if (entry.sent < max_sent) rows.push_back(&entry);
  }
  std::stable_sort(rows.begin(), rows.end(),
                   [](auto* a, auto* b) { return a->sent < b->sent; });
  return rows;
}

// Changes of a payload alone are left to the digests.
bool is_pressing(const member_record& before, const member_record& after) {
  return before.state != after.state || before.start != after.start ||
         before.leaving != after.leaving;
}

}  // namespace

void add_to_digest(membership_digest& digest, std::uint64_t name_hash,
                   std::uint64_t version) {
  constexpr auto golden_ratio = 0x9e3779b97f4a7c15ULL;
  auto x = name_hash ^ (version * golden_ratio);
  x ^= x >> 32U;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 29U;
  auto at = place_of(name_hash);
  digest[at.word] ^= (x & bucket_mask) << at.shift;
}

bool in_difference(const membership_digest& difference,
                   std::uint64_t name_hash) {
  auto at = place_of(name_hash);
  return ((difference[at.word] >> at.shift) & bucket_mask) != 0;
}

membership_digest difference_of(const membership_digest& a,
                                const membership_digest& b) {
  auto out = a;
  for (std::size_t i = 0; i < out.size(); ++i)
    out[i] ^= b[i];
  return out;
}

void add_once(std::vector<member_record>& records,
              const member_record& record) {
  for (const auto& it : records) {
    if (it.name == record.name) return;
  }
  records.push_back(record);
}

bool member_table::merge(const member_record& record, instant now,
                         outputs& out) {
  auto it = members.find(record.name);
  if (it == members.end()) {
    // A dead stranger is no news, and would come back after it was forgotten.
    if (record.state == member_state::dead) return false;
    auto& entry = members[record.name];
    entry.name_hash = stable_hash(record.name);
    entry.record.state = member_state::dead;
    replace(entry, record, now, out);
    return true;
  }
  auto& entry = it->second;
  if (record.incarnation < entry.record.incarnation) return false;
  if (record.incarnation == entry.record.incarnation &&
      record.state <= entry.record.state) {
    return false;
  }
  replace(entry, record, now, out);
  return true;
}

void member_table::replace(member_entry& entry, const member_record& record,
                           instant now, outputs& out) {
  auto before = entry.record;
  entry.record = record;
  if (is_pressing(before, record)) entry.sent = 0;
  if (before.state != record.state) entry.changed_at = now;
  if (record.state == member_state::dead) {
    if (before.state != member_state::dead) {
      out.emplace_back(member_dead_output{record});
    }
    return;
  }
  auto known = !before.name.empty();
  auto restarted = known && before.start != record.start;
  if (before.state != record.state || restarted) {
    if (record.state == member_state::up || restarted ||
        before.state == member_state::dead) {
      out.emplace_back(member_up_output{record, restarted});
    }
    if (record.state == member_state::suspect) {
      out.emplace_back(member_suspect_output{record});
    }
  }
  auto was_leaving = known && before.leaving && !restarted;
  if (record.leaving && !was_leaving) {
    out.emplace_back(member_leaving_output{record});
  }
}

bool member_table::merge(const target_record& record, outputs& out) {
  auto it = targets.find(record.name);
  if (it != targets.end() && record.version <= it->second.record.version) {
    return false;
  }
  if (it == targets.end()) {
    it = targets.emplace(record.name, target_entry()).first;
    it->second.name_hash = stable_hash(record.name);
  }
  it->second.record = record;
  it->second.sent = 0;
  out.emplace_back(target_state_output{record});
  if (targets.size() > max_target_records) drop_oldest_target();
  return true;
}

void member_table::drop_oldest_target() {
  auto oldest = std::min_element(
      targets.begin(), targets.end(), [](const auto& a, const auto& b) {
        return a.second.record.version < b.second.record.version;
      });
  targets.erase(oldest);
}

void member_table::take_updates(const record_limit& limit,
                                std::uint32_t max_sent,
                                membership_message& message) {
  for (auto* it : least_sent(targets, max_sent)) {
    if (message.targets.size() >= limit.targets) break;
    message.targets.push_back(it->record);
    ++it->sent;
  }
  for (auto* it : least_sent(members, max_sent)) {
    if (message.members.size() >= limit.members) break;
    add_once(message.members, it->record);
    ++it->sent;
  }
}

void member_table::take_refresh(const record_limit& limit,
                                const membership_digest& difference,
                                membership_message& message) {
  auto room = [](std::size_t most, std::size_t used) {
    return most - std::min(most, used);
  };
  auto filter = [&](const auto& it) {
    return in_difference(difference, it.name_hash);
  };
  take_turns(
      members, member_cursor_, room(limit.members, message.members.size()),
      filter,
      [&](const member_entry& it) { add_once(message.members, it.record); });
  take_turns(
      targets, target_cursor_, room(limit.targets, message.targets.size()),
      filter,
      [&](const target_entry& it) { message.targets.push_back(it.record); });
}

membership_digest member_table::digest() const {
  auto digest = membership_digest();
  for (const auto& [name, it] : members) {
    if (it.record.state == member_state::dead) continue;
    auto suspect = it.record.state == member_state::suspect ? 1U : 0U;
    add_to_digest(digest, it.name_hash, it.record.incarnation * 2 + suspect);
  }
  for (const auto& [name, it] : targets) {
    add_to_digest(digest, it.name_hash, it.record.version);
  }
  return digest;
}

void member_table::forget_dead(instant before) {
  std::erase_if(members, [before](const auto& row) {
    return row.second.record.state == member_state::dead &&
           row.second.changed_at < before;
  });
}

std::vector<std::string> member_table::names(bool dead) const {
  auto out = std::vector<std::string>();
  for (const auto& [name, it] : members) {
    if ((it.record.state == member_state::dead) == dead) out.push_back(name);
  }
  return out;
}

}  // namespace fulmar::detail
