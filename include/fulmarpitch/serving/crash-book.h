#pragma once

/// \file
/// Records of what was running when targets ended: whole requests, and parts of
/// prompts that many requests share. Some requests or parts crash every target
/// that starts to run them, and come again at any daemon; others only happened
/// to be running when a target crashed. All daemons share these records through
/// the store.
///
/// A request is known to be sound once a target has answered it. A part stands
/// in requests that are otherwise not alike, so its record weighs ends against
/// answers: only ends after the last whole answer count.

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
  /// `content_key` of the request.
  std::uint64_t content = 0;
  /// `part_key` of each part of the prompt that other requests may share.
  std::vector<std::uint64_t> parts;
};

/// Kind of a recorded fact about a content or a part.
enum class crash_event_kind {
  /// A target ended while running it.
  end,
  /// A trial run was granted while it is held.
  trial,
  /// A target completed an answer to the content.
  sound,
  /// A target completed an answer to a request with the part.
  answer,
};

inline constexpr std::array<named<crash_event_kind>, 4> crash_event_kind_names{{
    {crash_event_kind::end, "end"},
    {crash_event_kind::trial, "trial"},
    {crash_event_kind::sound, "sound"},
    {crash_event_kind::answer, "answer"},
}};

/// One fact about a content or a part. A fact recorded twice counts once.
struct crash_event {
  /// `content_key` of the content or `part_key` of the part.
  std::uint64_t key = 0;
  crash_event_kind kind = crash_event_kind::end;
  /// Identifies an end, or is the zero-based trial index.
  std::uint64_t number = 0;
  /// Time of the event, on a clock chosen by the caller.
  instant at{};
};

/// \return the store key of an event's row.
std::string crash_key(const crash_event& it);

/// Parses the store key of an event's row.
/// \return the event without its time, or nothing if the key is malformed.
std::optional<crash_event> parse_crash_key(std::string_view key);

/// Thresholds and delays for holding contents and parts.
struct crash_options {
  /// Number of ends from which on a content or a part is held.
  std::size_t hold_threshold = 3;
  /// Delays before the trial runs that a held content or part is granted, as
  /// the crashes may have had another cause. No further trials are granted
  /// after these, unless the part is answered.
  std::array<instant, 2> trial_delays{std::chrono::seconds(2),
                                      std::chrono::seconds(30)};
  /// Retention of a content that is not held, after its last event.
  instant retention = suspicion_time;
  /// Retention of a held content, after its last event.
  instant held_retention = quarantine_time;
  /// Maximum number of records; a new one evicts the oldest.
  std::size_t max_records = 4096;
  /// A part that was answered within this time is not recorded when a target
  /// ends. If it crashes targets from now on, it is recorded once its answers
  /// have been missing for this long.
  instant recent_answer_time = std::chrono::seconds(2);
  /// Maximum number of parts whose last answers are remembered.
  std::size_t max_answered_parts = 8192;
  /// Maximum number of trials of a part, over all its answers.
  std::uint32_t max_trials = 64;
};

/// Recorded events of one content or part.
struct crash_record {
  /// Times of the recorded ends, on the steady clock, by their numbers.
  absl::flat_hash_map<std::uint64_t, instant> ends;
  /// Number of trials granted.
  std::uint32_t trials = 0;
  /// Trials granted before the last answer.
  std::uint32_t trials_before_answer = 0;
  bool sound = false;
  /// Time of the last answer to a request with the part, on the steady clock.
  std::optional<instant> answered;
  /// Time of the last event, on the steady clock.
  instant last{};
};

/// When requests with a part were last answered by targets. Holds the parts
/// answered last; half of them are dropped when it is full.
struct answered_parts {
  absl::flat_hash_map<std::uint64_t, instant> newer;
  absl::flat_hash_map<std::uint64_t, instant> older;
};

/// Records of all contents and parts that were running when targets ended.
struct crash_registry {
  absl::flat_hash_map<std::uint64_t, crash_record> records;
  /// Answers that this daemon has seen, also of parts without a record.
  answered_parts answered;
  crash_options options;
};

/// Records an event whose time is on the steady clock.
void note_event(crash_registry& registry, const crash_event& it);

/// Records that a target answered a request with a part.
/// \return whether the other daemons have to learn of it, because ends of the
///     part are recorded that counted until now.
bool note_part_answer(crash_registry& registry, std::uint64_t part,
                      instant now);

/// Selects the parts to record when a target ends while running a request:
/// those that were not answered just before.
std::vector<std::uint64_t> parts_to_record(
    const crash_registry& registry, const std::vector<std::uint64_t>& parts,
    instant now);

/// Decision on whether a content or a part may run.
struct run_permit {
  enum class kind { free, trial, held };

  kind what = kind::free;
  /// For a trial: its index, which only one daemon may claim.
  std::uint32_t trial = 0;
  /// When held: time until the next trial, or until the record expires.
  instant retry_after{};
};

/// Decides whether a content or a part may run now. An end does not count
/// against a part that was answered before if the target was also running a
/// part or content that is held and was never answered.
/// \param key of the content or of the part.
run_permit decide_run(const crash_registry& registry, std::uint64_t key,
                      instant now);

/// \return whether a target has answered the content, which shows that it does
///     not crash targets.
bool is_sound(const crash_registry& registry, std::uint64_t content);

/// Removes expired records, and ends that an answer has outlived.
/// \return the store keys of the removed events.
std::vector<std::string> expire_records(crash_registry& registry, instant now);

}  // namespace fulmar::serving
