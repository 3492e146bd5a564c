#include "fulmarpitch/serving/crash-book.h"

#include <absl/strings/numbers.h>

#include <algorithm>

#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/rendezvous.h"
#include "fulmarpitch/core/text.h"

namespace fulmar::serving {
namespace {

constexpr char key_separator = '.';

bool is_held(const crash_registry& registry, const crash_record& it) {
  return !it.sound && it.ends.size() >= registry.options.hold_threshold;
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

/// Clamps the number, as a row in the store may hold any value.
void count_trial(crash_record& record, std::uint64_t number, std::size_t most) {
  auto count = std::min<std::uint64_t>(number, most - 1) + 1;
  record.trials = std::max(record.trials, static_cast<std::uint32_t>(count));
}

/// \return the store keys of all recorded events of a content.
std::vector<std::string> event_keys(std::uint64_t content,
                                    const crash_record& it) {
  auto out = std::vector<std::string>();
  for (auto number : it.ends)
    out.push_back(crash_key({.content = content, .number = number}));
  for (auto number = std::uint32_t{0}; number < it.trials; ++number) {
    out.push_back(crash_key({.content = content,
                             .kind = crash_event_kind::trial,
                             .number = number}));
  }
  if (it.sound) {
    out.push_back(
        crash_key({.content = content, .kind = crash_event_kind::sound}));
  }
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
  return concat(hex(it.content), ".", name_in(crash_event_kind_names, it.kind),
                ".", hex(it.number));
}

std::optional<crash_event> parse_crash_key(std::string_view key) {
  auto out = crash_event();
  auto content = split_field(key);
  auto kind = value_in(crash_event_kind_names, split_field(key));
  if (!kind || !parse_hex(content, out.content) || !parse_hex(key, out.number))
    return std::nullopt;
  out.kind = *kind;
  return out;
}

void note_event(crash_registry& registry, const crash_event& it) {
  if (!registry.records.contains(it.content)) evict_if_full(registry);
  auto& record = registry.records[it.content];
  record.last = std::max(record.last, it.at);
  switch (it.kind) {
    case crash_event_kind::end:
      record.ends.insert(it.number);
      break;
    case crash_event_kind::trial:
      count_trial(record, it.number, registry.options.trial_delays.size());
      break;
    case crash_event_kind::sound:
      record.sound = true;
      break;
  }
}

run_permit decide_run(const crash_registry& registry, std::uint64_t content,
                      instant now) {
  auto found = registry.records.find(content);
  if (found == registry.records.end()) return {};
  const auto& it = found->second;
  if (!is_held(registry, it) || has_expired(registry, it, now)) return {};
  const auto& pauses = registry.options.trial_delays;
  auto last_trial = it.trials >= pauses.size();
  auto pause = last_trial ? registry.options.held_retention : pauses[it.trials];
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
  absl::erase_if(registry.records, [&](const auto& row) {
    const auto& [content, it] = row;
    if (!has_expired(registry, it, now)) return false;
    for (auto& key : event_keys(content, it))
      out.push_back(std::move(key));
    return true;
  });
  return out;
}

}  // namespace fulmar::serving
