#pragma once

/// \file
/// Counts the requests that are refused for their caller, and bounds the log
/// lines about them. Answers callers that send far more than they may: their
/// lines would crowd out all others.

#include <array>
#include <cstdint>
#include <optional>

#include "fulmarpitch/core/types.h"

namespace fulmar::teams {

/// Why a request is refused for its caller.
enum class refusal_reason {
  /// No team holds the key.
  unknown_key,
  /// The key is unknown here, and nobody could tell whether it is new.
  unconfirmed_key,
  /// The team has used up its rate.
  over_rate,
};

inline constexpr std::array<named<refusal_reason>, 3> refusal_reason_names{{
    {refusal_reason::unknown_key, "unknown_key"},
    {refusal_reason::unconfirmed_key, "unconfirmed_key"},
    {refusal_reason::over_rate, "over_rate"},
}};

/// Time from one log line about refusals for a reason to the next.
inline constexpr auto refusal_line_interval = std::chrono::milliseconds(100);

/// The refusals for one reason.
struct refusal_count {
  std::uint64_t all = 0;
  /// Since the last log line.
  std::uint64_t unlogged = 0;
  /// When the last log line was written, on the steady clock.
  std::optional<instant> logged;
};

using refusal_counts = std::array<refusal_count, refusal_reason_names.size()>;

/// Counts a refusal.
/// \param now current time on the steady clock.
/// \return the refusals that the next log line stands for; nothing if no line
///     is due.
std::optional<std::uint64_t> count_refusal(refusal_counts& in,
                                           refusal_reason why, instant now);

}  // namespace fulmar::teams
