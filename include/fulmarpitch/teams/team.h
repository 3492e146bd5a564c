#pragma once

/// \file
/// The operator's teams: who may send requests, with which keys, and how many.

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar::teams {

/// How many requests a team may send, at all daemons together.
struct rate_limit {
  /// Requests per second; 0 for no limit.
  double requests_per_second = 0;
  /// Requests that may come at once, in addition.
  double burst = 0;

  bool is_limited() const { return requests_per_second > 0; }

  bool operator==(const rate_limit&) const = default;
};

/// A team as the configuration states it.
struct team {
  std::string name;
  /// Goes before the priority of a route; lower values are served first.
  std::optional<std::uint32_t> priority;
  rate_limit rate;

  bool operator==(const team&) const = default;
};

/// The teams of a configuration and the holders of their keys.
struct team_directory {
  /// Whether requests need a key at all.
  bool requires_keys = false;
  std::vector<team> teams;
  /// Index in `teams` by key.
  absl::flat_hash_map<std::string, std::size_t> by_key;
};

/// Adds a team with its keys. A key that another team holds stays with it.
void add_team(team_directory& to, team it,
              const std::vector<std::string>& keys);

/// Finds the team that holds a key.
/// \return the team, or null if no team holds it.
const team* find_by_key(const team_directory& in, std::string_view key);

/// Finds a team by its name.
/// \return the team, or null if there is none.
const team* find_by_name(const team_directory& in, std::string_view name);

}  // namespace fulmar::teams
