#include "fulmarpitch/teams/key-changes.h"

#include <algorithm>
#include <tuple>

#include "fulmarpitch/order/digest.h"

namespace fulmar::teams {
namespace {

constexpr std::size_t digest_digits = 16;

key_change change_of(key_event event, const std::string& team,
                     const std::string& key) {
  return {.event = event, .team = team, .key_digest = digest_of_key(key)};
}

}  // namespace

std::string digest_of_key(std::string_view key) {
  return to_text(sha256(key)).substr(0, digest_digits);
}

std::vector<key_change> changes_of_keys(const team_directory& before,
                                        const team_directory& next) {
  auto out = std::vector<key_change>();
  for (const auto& [key, index] : next.by_key) {
    const auto& team = next.teams[index].name;
    const auto* holder = find_by_key(before, key);
    if (holder == nullptr) {
      out.push_back(change_of(key_event::added, team, key));
    } else if (holder->name != team) {
      out.push_back(change_of(key_event::moved, team, key));
    }
  }
  for (const auto& [key, index] : before.by_key) {
    if (find_by_key(next, key) == nullptr)
      out.push_back(
          change_of(key_event::removed, before.teams[index].name, key));
  }
  auto order = [](const key_change& it) {
    return std::tie(it.team, it.key_digest);
  };
  std::sort(out.begin(), out.end(),
            [&](const auto& a, const auto& b) { return order(a) < order(b); });
  return out;
}

}  // namespace fulmar::teams
