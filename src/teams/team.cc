#include "fulmarpitch/teams/team.h"

#include <algorithm>
#include <utility>

namespace fulmar::teams {

void add_team(team_directory& to, team it,
              const std::vector<std::string>& keys) {
  auto index = to.teams.size();
  to.teams.push_back(std::move(it));
  for (const auto& key : keys) {
    if (!key.empty()) to.by_key.try_emplace(key, index);
  }
}

const team* find_by_key(const team_directory& in, std::string_view key) {
  auto it = in.by_key.find(absl::string_view(key.data(), key.size()));
  return it == in.by_key.end() ? nullptr : &in.teams[it->second];
}

const team* find_by_name(const team_directory& in, std::string_view name) {
  auto it = std::find_if(in.teams.begin(), in.teams.end(),
                         [&](const auto& row) { return row.name == name; });
  return it == in.teams.end() ? nullptr : &*it;
}

}  // namespace fulmar::teams
