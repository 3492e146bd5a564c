#pragma once

/// \file
/// The targets that the platform lists, and what requests found out about them.

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
  /// Names one start of the target.
  std::string id;
  std::string service;
  /// IP address and port.
  std::string address;
  std::string data_centre;
  std::uint32_t slots = 1;
  /// The target finishes what it has and takes nothing new.
  bool leaving = false;
  /// Start of the target, in milliseconds since the Unix epoch; 0 if unknown.
  std::uint64_t started_ms = 0;

  bool operator==(const target&) const = default;
};

/// What this daemon saw of a target.
struct target_sight {
  target_doubt doubt;
  /// Another target answers at the address: no work until the list changes.
  bool replaced = false;
  /// The target said that it leaves: no work until it starts again.
  bool leaving = false;
};

/// A target that said that it leaves.
struct left_target {
  std::uint64_t started_ms = 0;
  std::string address;
  /// When it said so, on the steady clock.
  instant heard{};
};

/// A row of the table of targets.
struct target_row {
  target listed;
  /// `stable_hash` of the id; names the target between daemons.
  std::uint64_t key = 0;
  target_sight seen;
  /// The platform no longer lists the target, perhaps only because its store
  /// was away; it is dropped at this moment.
  std::optional<instant> lapses_at;
  /// When this daemon last told its data centre what is listed of the target.
  std::optional<instant> told;
};

/// All known targets by id.
struct target_table {
  absl::flat_hash_map<std::string, target_row> rows;
  /// Ids by the targets' keys.
  absl::flat_hash_map<std::uint64_t, std::string> ids;
  /// Targets that said that they leave, by id. Kept when their rows go, as the
  /// list may name them again after an outage.
  absl::flat_hash_map<std::string, left_target> left;
  avoidance_options avoidance;
};

/// Adds a target or replaces what is listed of it. A target that started
/// again under its id is treated as new.
void list_target(target_table& table, target listed);

/// Notes that a target said that it leaves; nothing for an unknown id.
/// \return whether that is news.
bool note_leaving(target_table& table, const std::string& id, instant now);

/// What is listed of a target is told again after this time, for daemons that
/// took it otherwise.
inline constexpr auto retell_period = std::chrono::seconds(5);

/// Tells whether the data centre should hear what is now listed of a target.
/// Targets renew their entries about once a second, mostly without a change.
/// \param table the table, which does not hold the change yet.
/// \param listed what is listed now.
/// \param now the steady clock.
bool is_news(const target_table& table, const target& listed, instant now);

/// Notes that the data centre was told of a target; nothing for an unknown id.
void note_told(target_table& table, const std::string& id, instant now);

/// Removes a target; does nothing for an unknown id.
void drop_target(target_table& table, const std::string& id);

/// Keeps a target that the platform no longer lists for a while, because it may
/// have missed its heartbeats only while the store was away. Removes one that
/// was leaving.
/// \param table the table.
/// \param id the target; may be unknown.
/// \param until when it is taken as gone, unless it is listed again.
void let_lapse(target_table& table, const std::string& id, instant until);

/// Removes the targets whose time is up, and forgets those that left long ago.
/// \return the ids of the removed ones.
std::vector<std::string> drop_lapsed(target_table& table, instant now);

/// \return whether a target takes nothing new, by its entry or its answers.
bool is_leaving(const target_row& it);

/// Finds a target.
/// \return the row, or null.
target_row* find_target(target_table& table, const std::string& id);
target_row* find_target(target_table& table, std::uint64_t key);

/// Gathers what other daemons should know: whom this one leaves alone, and
/// which targets are leaving, for those that the platform's list does not
/// reach.
/// \param table the targets.
/// \param now the steady clock.
/// \return doubts by the targets' keys; their times count from now.
doubt_table tell_doubts(const target_table& table, instant now);

/// \param it the target.
/// \param others what other daemons hold against it.
/// \param now the steady clock.
/// \return what the target may be given.
trust trust_in(const target_row& it, const target_doubt& others, instant now);

}  // namespace fulmar::serving
