#include <algorithm>

#include "fulmarpitch/core/sequencer-state.h"

namespace fulmar::detail {
namespace {

// How far back an own count may explain a lagging report, in seconds.
constexpr std::size_t report_window = 8;

// So many losses within this time come from the machines, not from content.
constexpr std::size_t outage_losses = 3;
constexpr instant outage_time = std::chrono::seconds(2);

bool is_outage(sequencer_state& s, instant now) {
  std::erase_if(s.losses, [now](instant it) { return it + outage_time < now; });
  s.losses.push_back(now);
  return s.losses.size() >= outage_losses;
}

}  // namespace

target_id target_named(sequencer_state& s, const std::string& name) {
  auto [it, is_new] = s.target_by_name.try_emplace(
      name, static_cast<target_id>(s.targets.size()));
  if (is_new) {
    s.targets.emplace_back();
    s.targets.back().info.name = name;
  }
  return it->second;
}

void update_target(sequencer_state& s, const target_info& info, instant now) {
  auto id = target_named(s, info.name);
  auto& it = s.targets[id];
  if (it.is_lost) s.prefixes.reset(id, now);
  it.info = info;
  it.is_known = true;
  it.is_lost = false;
}

void lose_target(sequencer_state& s, const std::string& name, instant now) {
  auto id = target_named(s, name);
  if (!s.targets[id].running.empty()) blame_loss(s, id, now);
  auto running = s.targets[id].running;
  for (auto row : running)
    end_attempt(s, row, attempt_end::target_lost, now);
  auto& it = s.targets[id];
  it.is_known = false;
  it.is_lost = true;
  it.unaccounted = 0;
  it.prefill_until = {};
  s.prefixes.reset(id, now);
}

void apply_load(sequencer_state& s, const load_report_event& event,
                instant now) {
  auto found = s.target_by_name.find(event.target);
  if (found == s.target_by_name.end()) return;
  auto& it = s.targets[found->second];
  if (it.is_lost && event.measured_at > it.lost_at) it.is_lost = false;
  auto own = static_cast<std::uint32_t>(
      std::max(it.recent_running.peak(now, report_window),
               static_cast<std::int64_t>(it.running.size())));
  auto reported = event.running + event.queued;
  it.unaccounted = reported > own ? reported - own : 0;
}

void apply_cache(sequencer_state& s, const cache_event& event, instant now) {
  auto id = target_named(s, event.target);
  auto& it = s.targets[id];
  auto is_old = event.sequence <= it.cache_sequence && !event.reset;
  if (is_old) return;
  if (event.reset) s.prefixes.reset(id, now - instant(1));
  if (!event.reset && event.sequence != it.cache_sequence + 1)
    s.prefixes.gap(id, now);
  it.cache_sequence = event.sequence;
  s.prefixes.add(id, event.added, now);
  s.prefixes.remove(id, event.removed);
}

void blame_loss(sequencer_state& s, target_id target, instant now) {
  auto& it = s.targets[target];
  if (it.is_lost) return;
  it.is_lost = true;
  it.lost_at = now;
  if (is_outage(s, now)) return s.suspects.absolve();
  auto contents = std::vector<std::uint64_t>();
  for (auto row : it.running)
    contents.push_back(s.requests[row].item.content_hash);
  s.suspects.blame(contents, now);
}

}  // namespace fulmar::detail
