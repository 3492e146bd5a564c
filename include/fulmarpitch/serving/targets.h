#pragma once

/// \file
/// Table of the targets listed by the platform, with their observed health.

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/serving/doubt.h"

namespace fulmar::serving {

/// One target as the platform lists it.
struct target {
  /// Id of one run of the target.
  std::string id;
  std::string service;
  /// IP address and port.
  std::string address;
  std::string data_centre;
  /// Version of its software; empty if the entry names none.
  std::string version;
  std::uint32_t slots = 1;
  /// The target is draining: it finishes its requests and accepts no new ones.
  bool leaving = false;
  /// Start time in milliseconds since the Unix epoch; 0 if unknown.
  std::uint64_t started_ms = 0;

  bool operator==(const target&) const = default;
};

/// State of a target as observed by this daemon.
struct observed_target_state {
  target_health doubt;
  /// Another target answers at the address; no work until the entry changes.
  bool replaced = false;
  /// The target announced that it is draining; no work until it restarts.
  bool leaving = false;
};

/// A target that announced that it is draining.
struct drain_announcement {
  std::uint64_t started_ms = 0;
  std::string address;
  /// Time of the announcement, on the steady clock.
  instant announced_at{};
};

/// A row of the table of targets.
struct target_row {
  target listed;
  /// `stable_hash` of the id; identifies the target in messages between
  /// daemons.
  std::uint64_t key = 0;
  observed_target_state seen;
  /// Set when the platform no longer lists the target, which may be only the
  /// effect of a store outage; the row is removed at this time.
  std::optional<instant> remove_at;
  /// When this daemon last forwarded the entry to its data centre.
  std::optional<instant> forwarded_at;
};

/// All known targets, by id.
struct target_table {
  absl::flat_hash_map<std::string, target_row> rows;
  /// Ids by target key.
  absl::flat_hash_map<std::uint64_t, std::string> ids;
  /// Targets that announced that they are draining, by id. Kept when their rows
  /// are removed, as the platform may list them again after an outage.
  absl::flat_hash_map<std::string, drain_announcement> announcements;
  avoidance_options avoidance;
};

/// Adds a target or replaces its entry. A target that restarted under the same
/// id loses its observed state.
void list_target(target_table& table, target listed);

/// Records that a target announced that it is draining; ignores an unknown id.
/// \return whether this was not known before.
bool note_leaving(target_table& table, const std::string& id, instant now);

/// An unchanged entry is forwarded again after this time, for daemons whose
/// copy differs.
inline constexpr auto forward_interval = std::chrono::seconds(5);

/// Decides whether an entry should be forwarded to the data centre. Targets
/// renew their entries about once a second, mostly without a change.
/// \param table the table before the entry is applied.
bool must_forward(const target_table& table, const target& listed, instant now);

/// Records that an entry was forwarded to the data centre; ignores an unknown
/// id.
void note_forwarded(target_table& table, const std::string& id, instant now);

/// Removes a target; ignores an unknown id.
void drop_target(target_table& table, const std::string& id);

/// Schedules the removal of a target that the platform no longer lists, as its
/// heartbeats may have been lost only because of a store outage. Removes a
/// draining target at once; ignores an unknown id.
/// \param until when the target is removed, unless it is listed again.
void schedule_removal(target_table& table, const std::string& id,
                      instant until);

/// Removes the targets whose removal is due, and old announcements of draining.
/// \return the ids of the removed targets.
std::vector<std::string> expire_targets(target_table& table, instant now);

/// \return whether a target is draining, by its entry or its announcement.
bool is_leaving(const target_row& it);

/// Finds a target.
/// \return the row, or null.
target_row* find_target(target_table& table, const std::string& id);
target_row* find_target(target_table& table, std::uint64_t key);

/// Collects the failure states to report to other daemons: targets that this
/// daemon avoids, and draining targets, for daemons that the platform's list
/// does not reach.
/// \return failure states by target key, with times relative to `now`.
target_health_table collect_target_health(const target_table& table,
                                          instant now);

/// \param others the merged failure state reported by other daemons.
/// \return which work the target may receive.
trust trust_in(const target_row& it, const target_health& others, instant now);

}  // namespace fulmar::serving
