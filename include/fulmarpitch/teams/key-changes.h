#pragma once

/// \file
/// What a new configuration changes in the keys of teams, for the log.

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/teams/team.h"

namespace fulmar::teams {

enum class key_event { added, removed, moved };

inline constexpr std::array<named<key_event>, 3> key_event_names{{
    {key_event::added, "added"},
    {key_event::removed, "removed"},
    {key_event::moved, "moved"},
}};

/// One key that another configuration treats in another way.
struct key_change {
  key_event event = key_event::added;
  /// The team that holds the key, or that held it if it was removed.
  std::string team;
  /// Names the key in the log.
  std::string key_digest;
};

/// Names a key without giving it away: the first 16 digits of its SHA-256.
std::string digest_of_key(std::string_view key);

/// Lists the keys that were added, removed, or moved to another team, by team
/// and digest.
std::vector<key_change> changes_of_keys(const team_directory& before,
                                        const team_directory& next);

}  // namespace fulmar::teams
