#include "fulmarpitch/teams/configuration-news.h"

#include <algorithm>

#include "fulmarpitch/core/rendezvous.h"

namespace fulmar::teams {
namespace {

bool is_expired(const configuration_news& in, const configuration_holder& it,
                instant now) {
  return now - it.heard > in.options.expiry;
}

/// Forgets the daemons that are silent or have nothing newer.
void drop_useless(configuration_news& in, std::uint64_t own, instant now) {
  absl::erase_if(in.holders, [&](const auto& it) {
    return it.second.version <= own || is_expired(in, it.second, now);
  });
}

/// Tells whether the store had time to bring a newer version.
bool store_is_late(const configuration_news& in, std::uint64_t own,
                   instant now) {
  return std::any_of(in.holders.begin(), in.holders.end(), [&](const auto& it) {
    return it.second.version > own &&
           now - it.second.first_heard >= in.options.store_delay;
  });
}

}  // namespace

void note_holder(configuration_news& in, const std::string& address,
                 std::uint64_t version, std::uint64_t own, instant now) {
  if (version <= own) {
    in.holders.erase(address);
    return;
  }
  if (!in.holders.contains(address) &&
      in.holders.size() >= in.options.max_holders) {
    drop_useless(in, own, now);
    if (in.holders.size() >= in.options.max_holders) return;
  }
  auto& row = in.holders[address];
  if (row.version != version) row = {.version = version, .first_heard = now};
  row.heard = now;
}

std::optional<std::string> choose_holder(const configuration_news& in,
                                         std::uint64_t own,
                                         std::string_view self, bool store_lost,
                                         instant now) {
  if (in.fetching || in.holders.empty()) return std::nullopt;
  if (!store_lost && !store_is_late(in, own, now)) return std::nullopt;
  const std::string* best = nullptr;
  auto newest = own;
  for (const auto& [address, it] : in.holders) {
    if (it.version <= own || is_expired(in, it, now) || now < it.retry_after)
      continue;
    auto is_better =
        best == nullptr || it.version > newest ||
        (it.version == newest &&
         rendezvous_weight(self, address) > rendezvous_weight(self, *best));
    if (!is_better) continue;
    best = &address;
    newest = it.version;
  }
  return best != nullptr ? std::optional(*best) : std::nullopt;
}

void end_fetch(configuration_news& in, const std::string& address,
               std::uint64_t own, instant now) {
  in.fetching = false;
  drop_useless(in, own, now);
  if (auto it = in.holders.find(address); it != in.holders.end())
    it->second.retry_after = now + in.options.retry_delay;
}

}  // namespace fulmar::teams
