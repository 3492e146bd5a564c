#include "fulmarpitch/serving/crash-book.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/rendezvous.h"
#include "fulmarpitch/core/text.h"

namespace fulmar::serving {
namespace {

constexpr char key_separator = '.';

std::optional<instant> find_time(
    const absl::flat_hash_map<std::uint64_t, instant>& in, std::uint64_t key) {
  auto it = in.find(key);
  if (it == in.end()) return std::nullopt;
  return it->second;
}

/// \return when a request with the part was last answered, as seen by this
///     daemon; empty if it does not know of any.
std::optional<instant> last_seen_answer(const crash_registry& registry,
                                        std::uint64_t part) {
  // An empty optional compares less than any time.
  return std::max(find_time(registry.answered.newer, part),
                  find_time(registry.answered.older, part));
}

bool counts(const crash_record& it, instant end) {
  return !it.answered || end > *it.answered;
}

std::size_t count_ends(const crash_record& it) {
  return static_cast<std::size_t>(
      std::count_if(it.ends.begin(), it.ends.end(),
                    [&](const auto& end) { return counts(it, end.second); }));
}

bool is_held(const crash_registry& registry, const crash_record& it) {
  return !it.sound && count_ends(it) >= registry.options.hold_threshold;
}

/// \return whether an end of a target has a likelier cause than a part that was
///     answered before: something held that was never answered.
bool is_explained(const crash_registry& registry, std::uint64_t end) {
  return std::any_of(registry.records.begin(), registry.records.end(),
                     [&](const auto& it) {
                       const auto& record = it.second;
                       return !record.answered && record.ends.contains(end) &&
                              is_held(registry, record);
                     });
}

/// \return whether a record is held for ends that nothing else explains.
bool is_blamed(const crash_registry& registry, const crash_record& it) {
  if (!is_held(registry, it)) return false;
  if (!it.answered) return true;
  auto unexplained = [&](const auto& end) {
    return counts(it, end.second) && !is_explained(registry, end.first);
  };
  auto n = std::count_if(it.ends.begin(), it.ends.end(), unexplained);
  return static_cast<std::size_t>(n) >= registry.options.hold_threshold;
}

bool has_expired(const crash_registry& registry, const crash_record& it,
                 instant now) {
  auto kept = is_held(registry, it) ? registry.options.held_retention
                                    : registry.options.retention;
  return now - it.last > kept;
}

void evict_if_full(crash_registry& registry) {
  if (registry.records.size() < registry.options.max_records) return;
  auto held = [&](const auto& it) { return is_held(registry, it.second); };
  // A held content is evicted only if all contents are held.
  auto oldest =
      std::min_element(registry.records.begin(), registry.records.end(),
                       [&](const auto& a, const auto& b) {
                         return std::pair(held(a), a.second.last) <
                                std::pair(held(b), b.second.last);
                       });
  registry.records.erase(oldest);
}

/// Finds the record of a content or part; adds one if there is none.
crash_record& find_or_add(crash_registry& registry, std::uint64_t key) {
  if (!registry.records.contains(key)) evict_if_full(registry);
  auto [it, added] = registry.records.try_emplace(key);
  if (added) it->second.answered = last_seen_answer(registry, key);
  return it->second;
}

/// Clamps the number, as a row in the store may hold any value.
void count_trial(crash_record& record, std::uint64_t number,
                 const crash_options& options) {
  auto most = std::min<std::uint64_t>(
      record.trials_before_answer + options.trial_delays.size(),
      options.max_trials);
  auto count = std::min<std::uint64_t>(number, most - 1) + 1;
  record.trials = std::max(record.trials, static_cast<std::uint32_t>(count));
}

void take_answer(crash_record& record, instant at) {
  if (record.answered && at <= *record.answered) return;
  record.answered = at;
  record.trials_before_answer = record.trials;
}

/// \return the store keys of all recorded events of a content or part.
std::vector<std::string> event_keys(std::uint64_t key, const crash_record& it) {
  auto out = std::vector<std::string>();
  for (const auto& [number, at] : it.ends)
    out.push_back(crash_key({.key = key, .number = number}));
  for (auto number = std::uint32_t{0}; number < it.trials; ++number) {
    out.push_back(crash_key(
        {.key = key, .kind = crash_event_kind::trial, .number = number}));
  }
  if (it.sound) {
    out.push_back(crash_key({.key = key, .kind = crash_event_kind::sound}));
  }
  if (it.answered) {
    out.push_back(crash_key({.key = key, .kind = crash_event_kind::answer}));
  }
  return out;
}

/// Removes the ends that no longer count and are older than the retention.
/// \return their store keys.
std::vector<std::string> expire_ends(std::uint64_t key, crash_record& it,
                                     instant retention, instant now) {
  auto out = std::vector<std::string>();
  absl::erase_if(it.ends, [&](const auto& end) {
    if (counts(it, end.second) || now - end.second <= retention) return false;
    out.push_back(crash_key({.key = key, .number = end.first}));
    return true;
  });
  return out;
}

std::string_view split_field(std::string_view& text) {
  auto part = text.substr(0, text.find(key_separator));
  text.remove_prefix(std::min(text.size(), part.size() + 1));
  return part;
}

bool parse_hex(std::string_view text, std::uint64_t& out) {
  return absl::SimpleHexAtoi(absl::string_view(text.data(), text.size()), &out);
}

}  // namespace

std::uint64_t content_key(std::string_view method, std::string_view path,
                          std::string_view body) {
  return mix_hash(mix_hash(stable_hash(method), stable_hash(path)),
                  stable_hash(body));
}

std::uint64_t part_key(std::string_view model, std::string_view id) {
  return mix_hash(mix_hash(stable_hash("prompt part"), stable_hash(model)),
                  stable_hash(id));
}

std::string crash_key(const crash_event& it) {
  return concat(hex(it.key), ".", name_in(crash_event_kind_names, it.kind), ".",
                hex(it.number));
}

std::optional<crash_event> parse_crash_key(std::string_view key) {
  auto out = crash_event();
  auto content = split_field(key);
  auto kind = value_in(crash_event_kind_names, split_field(key));
  if (!kind || !parse_hex(content, out.key) || !parse_hex(key, out.number))
    return std::nullopt;
  out.kind = *kind;
  return out;
}

void note_event(crash_registry& registry, const crash_event& it) {
  auto& record = find_or_add(registry, it.key);
  record.last = std::max(record.last, it.at);
  switch (it.kind) {
    case crash_event_kind::end: {
      // Daemons see one end at different times; the first counts.
      auto& at = record.ends.try_emplace(it.number, it.at).first->second;
      at = std::min(at, it.at);
      break;
    }
    case crash_event_kind::trial:
      count_trial(record, it.number, registry.options);
      break;
    case crash_event_kind::sound:
      record.sound = true;
      break;
    case crash_event_kind::answer:
      take_answer(record, it.at);
      break;
  }
}

bool note_part_answer(crash_registry& registry, std::uint64_t part,
                      instant now) {
  auto& known = registry.answered;
  known.newer[part] = now;
  if (known.newer.size() >= registry.options.max_answered_parts / 2)
    known.older = std::exchange(known.newer, {});
  auto found = registry.records.find(part);
  if (found == registry.records.end()) return false;
  auto counted = count_ends(found->second) > 0;
  take_answer(found->second, now);
  return counted;
}

std::vector<std::uint64_t> parts_to_record(
    const crash_registry& registry, const std::vector<std::uint64_t>& parts,
    instant now) {
  auto out = std::vector<std::uint64_t>();
  for (auto it : parts) {
    auto answered = last_seen_answer(registry, it);
    if (answered && now - *answered <= registry.options.recent_answer_time)
      continue;
    out.push_back(it);
  }
  return out;
}

run_permit decide_run(const crash_registry& registry, std::uint64_t key,
                      instant now) {
  auto found = registry.records.find(key);
  if (found == registry.records.end()) return {};
  const auto& it = found->second;
  if (has_expired(registry, it, now) || !is_blamed(registry, it)) return {};
  const auto& pauses = registry.options.trial_delays;
  auto used = it.trials - it.trials_before_answer;
  auto last_trial =
      used >= pauses.size() || it.trials >= registry.options.max_trials;
  auto pause = last_trial ? registry.options.held_retention : pauses[used];
  auto wait = it.last + pause - now;
  if (wait > instant{} || last_trial) {
    return {.what = run_permit::kind::held,
            .retry_after = std::max(wait, instant{})};
  }
  return {.what = run_permit::kind::trial, .trial = it.trials};
}

bool is_sound(const crash_registry& registry, std::uint64_t content) {
  auto it = registry.records.find(content);
  return it != registry.records.end() && it->second.sound;
}

std::vector<std::string> expire_records(crash_registry& registry, instant now) {
  auto out = std::vector<std::string>();
  auto retention = registry.options.retention;
  absl::erase_if(registry.records, [&](auto& row) {
    auto& [key, it] = row;
    auto expired = has_expired(registry, it, now);
    auto keys =
        expired ? event_keys(key, it) : expire_ends(key, it, retention, now);
    std::move(keys.begin(), keys.end(), std::back_inserter(out));
    return expired;
  });
  auto is_old = [&](const auto& it) { return now - it.second > retention; };
  absl::erase_if(registry.answered.newer, is_old);
  absl::erase_if(registry.answered.older, is_old);
  return out;
}

}  // namespace fulmar::serving
