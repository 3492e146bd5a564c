#include "fulmarpitch/serving/versions.h"

#include <algorithm>

namespace fulmar::serving {
namespace {

/// \return the version of a service if only one was listed at `from` or later.
std::optional<std::string> only_version_since(const version_history& history,
                                              std::string_view service,
                                              instant from) {
  if (history.unknown_left && *history.unknown_left >= from)
    return std::nullopt;
  auto out = std::optional<std::string>();
  for (const auto& [origin, at] : history.last_listed) {
    if (origin.service != service || at < from) continue;
    if (out) return std::nullopt;
    out = origin.version;
  }
  return out;
}

}  // namespace

stream_origin origin_of(const target& it) {
  return {.service = it.service, .version = it.version};
}

bool has_target_for(const target_table& table, const stream_origin& origin) {
  return std::any_of(table.rows.begin(), table.rows.end(), [&](const auto& it) {
    const auto& [id, row] = it;
    return !is_leaving(row) && !row.seen.replaced &&
           row.listed.version == origin.version &&
           row.listed.service == origin.service;
  });
}

void note_listed(version_history& history, const stream_origin& origin,
                 instant at) {
  auto [it, added] = history.last_listed.try_emplace(origin, at);
  if (!added) it->second = std::max(it->second, at);
}

void note_listed(version_history& history, const target_table& table,
                 instant now) {
  for (const auto& [id, row] : table.rows)
    note_listed(history, origin_of(row.listed), now);
}

void note_unknown_left(version_history& history, instant now) {
  history.unknown_left = now;
}

std::optional<std::string> only_version(const version_history& history,
                                        std::string_view service,
                                        const version_bounds& bounds,
                                        instant now) {
  return only_version_since(history, service,
                            now - bounds.resume_time - bounds.max_list_lag);
}

bool must_record(const version_history& history, std::string_view service,
                 const version_bounds& bounds, instant now) {
  auto from = now - bounds.resume_time - 2 * bounds.max_list_lag;
  return !only_version_since(history, service, from);
}

void forget_versions(version_history& history, instant from) {
  absl::erase_if(history.last_listed,
                 [&](const auto& it) { return it.second < from; });
}

}  // namespace fulmar::serving
