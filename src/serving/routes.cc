#include "fulmarpitch/serving/routes.h"

#include <algorithm>

namespace fulmar::serving {

const route* match_route(const served_configuration& in, std::string_view host,
                         std::string_view path) {
  const route* best = nullptr;
  for (const auto& it : in.routes) {
    if (it.host != host || !path.starts_with(it.path_prefix)) continue;
    if (best == nullptr || it.path_prefix.size() > best->path_prefix.size())
      best = &it;
  }
  return best;
}

const route* find_route(const served_configuration& in, std::string_view name) {
  auto it = std::find_if(in.routes.begin(), in.routes.end(),
                         [&](const auto& row) { return row.name == name; });
  return it == in.routes.end() ? nullptr : &*it;
}

bool has_public_jobs(const served_configuration& in, std::string_view host) {
  return std::any_of(in.routes.begin(), in.routes.end(), [&](const auto& it) {
    return it.is_public && it.kind == route_kind::batch && it.host == host;
  });
}

std::string_view pick_service(const route& from, std::uint64_t key) {
  auto total = std::uint64_t{0};
  for (const auto& it : from.shares)
    total += it.weight;
  if (total == 0) return {};
  auto at = key % total;
  for (const auto& it : from.shares) {
    if (at < it.weight) return it.service;
    at -= it.weight;
  }
  return from.shares.back().service;
}

bool moves_resumable_routes(const served_configuration& before,
                            const served_configuration& next) {
  return std::any_of(
      next.routes.begin(), next.routes.end(), [&](const auto& it) {
        const auto* known = find_route(before, it.name);
        return it.resumable && known != nullptr && known->shares != it.shares;
      });
}

bool leads_to(const route& from, std::string_view service) {
  return std::any_of(
      from.shares.begin(), from.shares.end(),
      [&](const auto& it) { return it.weight > 0 && it.service == service; });
}

const service* find_service(const served_configuration& in,
                            std::string_view name) {
  auto it = std::find_if(in.services.begin(), in.services.end(),
                         [&](const auto& row) { return row.name == name; });
  return it == in.services.end() ? nullptr : &*it;
}

}  // namespace fulmar::serving
