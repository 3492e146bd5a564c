#include "fulmarpitch/teams/refusals.h"

#include <utility>

namespace fulmar::teams {

std::optional<std::uint64_t> count_refusal(refusal_counts& in,
                                           refusal_reason why, instant now) {
  auto& row = in[static_cast<std::size_t>(why)];
  ++row.all;
  ++row.unlogged;
  if (row.logged && now - *row.logged < refusal_line_interval)
    return std::nullopt;
  row.logged = now;
  return std::exchange(row.unlogged, 0);
}

}  // namespace fulmar::teams
