#pragma once

/// \file
/// Software versions of the targets of each service. What targets of two
/// versions write does not fit together, so a stream goes on only at targets of
/// the version that began it.

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/serving/targets.h"

namespace fulmar::serving {

/// The software that began a stream.
struct stream_origin {
  std::string service;
  /// Version of the target's software; empty if its entry names none.
  std::string version;

  bool operator==(const stream_origin&) const = default;

  template <typename Hash>
  // NOLINTNEXTLINE(readability-identifier-naming): absl looks for this name.
  friend Hash AbslHashValue(Hash state, const stream_origin& it) {
    return Hash::combine(std::move(state), it.service, it.version);
  }
};

/// \return the origin of the streams that a target begins.
stream_origin origin_of(const target& it);

/// \return whether a target is listed that may go on with a stream.
bool has_target_for(const target_table& table, const stream_origin& origin);

/// When targets of each service and version were listed last, on the steady
/// clock.
struct version_history {
  absl::flat_hash_map<stream_origin, instant> last_listed;
  /// When a target was last found to have joined and left unnoticed: any
  /// version may have served until then.
  std::optional<instant> unknown_left;
};

/// Records that targets were listed at a time; an earlier time than the known
/// one changes nothing.
void note_listed(version_history& history, const stream_origin& origin,
                 instant at);

/// Records the targets that are listed now.
void note_listed(version_history& history, const target_table& table,
                 instant now);

/// Records that a target left that was never listed here.
void note_unknown_left(version_history& history, instant now);

/// Bounds of the conclusions from a history.
struct version_bounds {
  /// Longest time between a client's first attempt and its last.
  instant resume_time{};
  /// How much older the list of targets may be at one daemon than at another
  /// that reaches the store: two polls and the time until a lost reader is
  /// replaced.
  instant max_list_lag = std::chrono::milliseconds(3000);
};

/// \return the version that began any stream of the service that a client may
///     resume now; nothing if there were several, none, or an unknown one.
std::optional<std::string> only_version(const version_history& history,
                                        std::string_view service,
                                        const version_bounds& bounds,
                                        instant now);

/// Decides whether a stream of the service that begins now has to be recorded,
/// as another daemon may not conclude its version. Their lists may differ by
/// the lag, so this holds for longer than `only_version` has no result.
bool must_record(const version_history& history, std::string_view service,
                 const version_bounds& bounds, instant now);

/// Removes the versions that were listed only before `from`.
void forget_versions(version_history& history, instant from);

}  // namespace fulmar::serving
