#pragma once

/// \file
/// Who sent a request, and which jobs it may use.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fulmarpitch/teams/team.h"

namespace fulmar::teams {

/// What another daemon found out about a caller before it passed a call on.
struct checked_caller {
  /// The team's name; empty for a caller without a team.
  std::string team;
  /// Version of the configuration in which it was found.
  std::uint64_t configuration = 0;
};

/// How a request names its sender.
struct caller_claim {
  /// From a client: the key, or an empty text.
  std::string_view key;
  /// From another daemon, in place of the key.
  std::optional<checked_caller> checked;
};

/// What a configuration tells about a caller.
enum class caller_state {
  /// There are no teams: callers are not told apart.
  unchecked,
  /// The request needs no key and belongs to no team.
  open,
  known,
  /// No team holds the key, or the claim is newer than the configuration.
  unknown,
};

struct found_caller {
  caller_state state = caller_state::unchecked;
  /// The team; null unless it is known.
  const team* by = nullptr;
};

/// Finds out who sent a request.
/// \param version the version of the configuration that holds the teams.
/// \param is_public a client's request needs no key.
found_caller find_caller(const team_directory& in, std::uint64_t version,
                         const caller_claim& claim, bool is_public);

/// The sender of a call on a job. Holds a copy, as a call may outlast a
/// configuration.
struct job_caller {
  /// False without teams: every caller may use every job.
  bool is_checked = false;
  /// The team's name; empty for a caller without a team.
  std::string team;
  /// Version of the configuration in which the caller was found.
  std::uint64_t configuration = 0;
};

/// \param version the version of the configuration in which it was found.
job_caller job_caller_of(const found_caller& it, std::uint64_t version);

/// Tells whether a caller may read, end and hand in a job. A job without a team
/// is everybody's.
/// \param team the job's team; empty if it has none.
bool may_use_job(const job_caller& caller, std::string_view team);

}  // namespace fulmar::teams
