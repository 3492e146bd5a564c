#include "fulmarpitch/core/suspects.h"

namespace fulmar {

std::optional<std::uint64_t> suspect_table::blame(
    const std::vector<std::uint64_t>& contents, instant now) {
  auto culprit = std::optional<std::uint64_t>();
  auto suspects = 0;
  for (auto it : contents) {
    if (!is_suspect(it, now) || culprit == it) continue;
    culprit = it;
    ++suspects;
  }
  if (suspects == 1) {
    quarantine(*culprit, now);
    return culprit;
  }
  for (auto it : contents) {
    if (it != 0) suspect_until_[it] = now + suspicion_time;
  }
  return std::nullopt;
}

void suspect_table::clear(std::uint64_t content) {
  suspect_until_.erase(content);
}

void suspect_table::quarantine(std::uint64_t content, instant now) {
  if (content == 0) return;
  suspect_until_.erase(content);
  quarantined_until_[content] = now + quarantine_time;
}

bool suspect_table::is_suspect(std::uint64_t content, instant now) const {
  auto it = suspect_until_.find(content);
  return it != suspect_until_.end() && it->second > now;
}

bool suspect_table::is_quarantined(std::uint64_t content, instant now) const {
  auto it = quarantined_until_.find(content);
  return it != quarantined_until_.end() && it->second > now;
}

void suspect_table::sweep(instant now) {
  auto has_lapsed = [now](const auto& it) { return it.second <= now; };
  absl::erase_if(suspect_until_, has_lapsed);
  absl::erase_if(quarantined_until_, has_lapsed);
}

}  // namespace fulmar
