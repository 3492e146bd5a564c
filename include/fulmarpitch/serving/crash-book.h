#pragma once

/// \file
/// Records of requests that were running when targets ended. Some requests
/// crash every target that starts to run them, and callers resend them to any
/// daemon; others only happened to be running when a target crashed. All
/// daemons share these records through the store.

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/core/suspects.h"
#include "fulmarpitch/core/types.h"

namespace fulmar::serving {

/// Hashes the content of a request. A resent request has a new id but the same
/// content.
/// \param path the path, including the query.
std::uint64_t content_key(std::string_view method, std::string_view path,
                          std::string_view body);

/// Hashes a part of a prompt.
/// \param model the model that reads the prompt; the same part may crash one
///     model and not another.
/// \param id the part's id.
std::uint64_t part_key(std::string_view model, std::string_view id);

/// What a request has that may crash targets, as keys of the crash records.
struct crash_causes {
  /// Key of the whole content.
  std::uint64_t content = 0;
  /// Keys of the prompt's parts that other requests may share.
  std::vector<std::uint64_t> parts;
};

/// Kind of a recorded fact about a content.
enum class crash_event_kind {
  /// A target ended while running the content.
  end,
  /// A trial run of a held content was granted.
  trial,
  /// A target completed an answer to the content.
  sound,
};

inline constexpr std::array<named<crash_event_kind>, 3> crash_event_kind_names{{
    {crash_event_kind::end, "end"},
    {crash_event_kind::trial, "trial"},
    {crash_event_kind::sound, "sound"},
}};

/// One fact about a content. A fact recorded twice counts once.
struct crash_event {
  std::uint64_t content = 0;
  crash_event_kind kind = crash_event_kind::end;
  /// Identifies an end of the content, or is the zero-based trial index.
  std::uint64_t number = 0;
  /// Time of the event, on a clock chosen by the caller.
  instant at{};
};

/// \return the store key of an event's row.
std::string crash_key(const crash_event& it);

/// Parses the store key of an event's row.
/// \return the event without its time, or nothing if the key is malformed.
std::optional<crash_event> parse_crash_key(std::string_view key);

/// Thresholds and delays for holding contents.
struct crash_options {
  /// Number of ends from which on a content is held.
  std::size_t hold_threshold = 3;
  /// Delays before the trial runs that a held content is granted, as the
  /// crashes may have had another cause. No further trials are granted after
  /// these.
  std::array<instant, 2> trial_delays{std::chrono::seconds(2),
                                      std::chrono::seconds(30)};
  /// Retention of a content that is not held, after its last event.
  instant retention = suspicion_time;
  /// Retention of a held content, after its last event.
  instant held_retention = quarantine_time;
  /// Maximum number of records; a new one evicts the oldest.
  std::size_t max_records = 4096;
};

/// Recorded events of one content.
struct crash_record {
  /// Numbers of the recorded ends.
  absl::flat_hash_set<std::uint64_t> ends;
  /// Number of trials granted.
  std::uint32_t trials = 0;
  bool sound = false;
  /// Time of the last event, on the steady clock.
  instant last{};
};

/// Records of all contents that were running when targets ended.
struct crash_registry {
  absl::flat_hash_map<std::uint64_t, crash_record> records;
  crash_options options;
};

/// Records an event whose time is on the steady clock.
void note_event(crash_registry& registry, const crash_event& it);

/// Decision on whether a content may run.
struct run_permit {
  enum class kind { free, trial, held };

  kind what = kind::free;
  /// For a trial: its index, which only one daemon may claim.
  std::uint32_t trial = 0;
  /// For a held content: time until the next trial, or until the record
  /// expires.
  instant retry_after{};
};

/// Decides whether a content may run now.
run_permit decide_run(const crash_registry& registry, std::uint64_t content,
                      instant now);

/// \return whether a target has answered the content, which shows that it does
///     not crash targets.
bool is_sound(const crash_registry& registry, std::uint64_t content);

/// Removes expired records.
/// \return the store keys of the events of the removed records.
std::vector<std::string> expire_records(crash_registry& registry, instant now);

}  // namespace fulmar::serving
