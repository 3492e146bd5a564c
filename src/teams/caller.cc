#include "fulmarpitch/teams/caller.h"

namespace fulmar::teams {
namespace {

found_caller found(const team* it) {
  return {.state = it != nullptr ? caller_state::known : caller_state::unknown,
          .by = it};
}

}  // namespace

found_caller find_caller(const team_directory& in, std::uint64_t version,
                         const caller_claim& claim, bool is_public) {
  const auto& checked = claim.checked;
  if (checked && checked->configuration > version)
    return {.state = caller_state::unknown};
  if (!in.requires_keys) return {.state = caller_state::unchecked};
  auto is_open = checked ? checked->team.empty() : is_public;
  if (is_open) return {.state = caller_state::open};
  return found(checked ? find_by_name(in, checked->team)
                       : find_by_key(in, claim.key));
}

job_caller job_caller_of(const found_caller& it, std::uint64_t version) {
  return {.is_checked = it.state != caller_state::unchecked,
          .team = it.by != nullptr ? it.by->name : std::string(),
          .configuration = version};
}

bool may_use_job(const job_caller& caller, std::string_view team) {
  return !caller.is_checked || team.empty() || team == caller.team;
}

}  // namespace fulmar::teams
