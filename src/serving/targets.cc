#include "fulmarpitch/serving/targets.h"

#include <utility>

#include "fulmarpitch/core/rendezvous.h"

namespace fulmar::serving {
namespace {

/// Validity of a reported draining state: four report intervals.
constexpr auto drain_report_validity = std::chrono::milliseconds(1000);

/// Retention of announcements; a draining target may serve for minutes before
/// it ends.
constexpr auto announcement_retention = std::chrono::minutes(10);

/// \return whether this run of a target announced that it is draining.
bool announced_drain(const target_table& table, const target& it) {
  auto found = table.announcements.find(it.id);
  return found != table.announcements.end() &&
         found->second.started_ms == it.started_ms &&
         found->second.address == it.address;
}

}  // namespace

void list_target(target_table& table, target listed) {
  auto key = stable_hash(listed.id);
  auto [it, added] = table.rows.try_emplace(listed.id);
  auto& row = it->second;
  auto restarted = !added && (row.listed.started_ms != listed.started_ms ||
                              row.listed.address != listed.address ||
                              row.listed.version != listed.version);
  if (restarted) row.seen = {};
  row.key = key;
  table.ids[key] = listed.id;
  row.seen.leaving = announced_drain(table, listed);
  row.listed = std::move(listed);
  row.remove_at.reset();
}

bool note_leaving(target_table& table, const std::string& id, instant now) {
  auto* row = find_target(table, id);
  if (row == nullptr) return false;
  table.announcements[id] = {.started_ms = row->listed.started_ms,
                             .address = row->listed.address,
                             .announced_at = now};
  return !std::exchange(row->seen.leaving, true);
}

bool must_forward(const target_table& table, const target& listed,
                  instant now) {
  auto it = table.rows.find(listed.id);
  if (it == table.rows.end()) return true;
  const auto& row = it->second;
  return row.listed != listed || row.remove_at || !row.forwarded_at ||
         now - *row.forwarded_at >= forward_interval;
}

void note_forwarded(target_table& table, const std::string& id, instant now) {
  if (auto* row = find_target(table, id)) row->forwarded_at = now;
}

void drop_target(target_table& table, const std::string& id) {
  table.rows.erase(id);
  table.ids.erase(stable_hash(id));
}

void schedule_removal(target_table& table, const std::string& id,
                      instant until) {
  auto* row = find_target(table, id);
  if (row == nullptr) return;
  if (row->listed.leaving) {
    drop_target(table, id);
  } else if (!row->remove_at) {
    row->remove_at = until;
  }
}

std::vector<std::string> expire_targets(target_table& table, instant now) {
  auto out = std::vector<std::string>();
  for (const auto& [id, row] : table.rows) {
    if (row.remove_at && now >= *row.remove_at) out.push_back(id);
  }
  for (const auto& id : out)
    drop_target(table, id);
  absl::erase_if(table.announcements, [&](const auto& it) {
    return now - it.second.announced_at > announcement_retention;
  });
  return out;
}

bool is_leaving(const target_row& it) {
  return it.listed.leaving || it.seen.leaving;
}

target_row* find_target(target_table& table, const std::string& id) {
  auto it = table.rows.find(id);
  return it == table.rows.end() ? nullptr : &it->second;
}

target_row* find_target(target_table& table, std::uint64_t key) {
  auto it = table.ids.find(key);
  return it == table.ids.end() ? nullptr : find_target(table, it->second);
}

target_health_table collect_target_health(const target_table& table,
                                          instant now) {
  auto out = target_health_table();
  for (const auto& [id, row] : table.rows) {
    auto doubt = row.seen.doubt;
    if (is_leaving(row)) {
      out[row.key] = {.avoid_until = drain_report_validity, .leaving = true};
    } else if (trust_at(doubt, now) != trust::full) {
      doubt.avoid_until -= now;
      doubt.trial_until -= now;
      out[row.key] = doubt;
    }
  }
  return out;
}

trust trust_in(const target_row& it, const target_health& others, instant now) {
  if (is_leaving(it) || it.seen.replaced) return trust::none;
  return trust_at(join(it.seen.doubt, others), now);
}

}  // namespace fulmar::serving
