#pragma once

/// \file
/// Requests under which targets ended. Some requests crash each target that
/// begins to run them and are sent again, at any daemon; others were only there
/// when a target crashed. All daemons keep the same book, through the store.

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

/// Names what a request asks of a target. A request that is sent again has
/// another id and the same content.
/// \param method the HTTP method.
/// \param path the path, with its query.
/// \param body the whole body.
std::uint64_t content_key(std::string_view method, std::string_view path,
                          std::string_view body);

/// What can be known of a content.
enum class crash_event_kind {
  /// A target ended while it ran the content.
  end,
  /// A run was granted to a content that is held back.
  trial,
  /// A target answered the content.
  sound,
};

inline constexpr std::array<named<crash_event_kind>, 3> crash_event_kind_names{{
    {crash_event_kind::end, "end"},
    {crash_event_kind::trial, "trial"},
    {crash_event_kind::sound, "sound"},
}};

/// One fact about a content. The same fact may be noted twice.
struct crash_event {
  std::uint64_t content = 0;
  crash_event_kind kind = crash_event_kind::end;
  /// Tells the ends of one content apart, or counts its trials from 0.
  std::uint64_t number = 0;
  /// When it happened; the clock is the caller's.
  instant at{};
};

/// \return the key of an event's row in the store.
std::string crash_key(const crash_event& it);

/// Reads the key of a row.
/// \return the event without its time; nothing for a key of another form.
std::optional<crash_event> parse_crash_key(std::string_view key);

/// How contents are held back.
struct crash_options {
  /// Ends after which a content is held back.
  std::size_t most_ends = 3;
  /// Pauses before the runs that are granted all the same: the crashes may have
  /// had another cause. No more runs follow them.
  std::array<instant, 2> trial_pauses{std::chrono::seconds(2),
                                      std::chrono::seconds(30)};
  /// How long a content is remembered after its last event.
  instant memory = suspicion_time;
  /// How long a content that is held back is remembered.
  instant hold = quarantine_time;
  /// Contents that are remembered; the oldest is dropped for a new one.
  std::size_t max_records = 4096;
};

/// What is known of one content.
struct crash_record {
  /// The numbers of the ends.
  absl::flat_hash_set<std::uint64_t> ends;
  /// Trials that were granted.
  std::uint32_t trials = 0;
  bool sound = false;
  /// When the last end or trial happened, on the steady clock.
  instant last{};
};

/// All contents under which targets ended.
struct crash_book {
  absl::flat_hash_map<std::uint64_t, crash_record> records;
  crash_options options;
};

/// Notes an event, with its time on the steady clock.
void note_event(crash_book& book, const crash_event& it);

/// Whether a content may run.
struct run_permit {
  enum class kind { free, trial, held };

  kind what = kind::free;
  /// Of a trial: its number, which only one daemon may take.
  std::uint32_t trial = 0;
  /// Of a content that is held back: time until the next trial, or until the
  /// content is forgotten.
  instant retry_after{};
};

/// Tells whether a content may run now.
run_permit judge(const crash_book& book, std::uint64_t content, instant now);

/// Tells whether a target answered a content: it ends no targets.
bool is_sound(const crash_book& book, std::uint64_t content);

/// Forgets what has lapsed.
/// \return the keys of the rows of what was forgotten.
std::vector<std::string> forget_lapsed(crash_book& book, instant now);

}  // namespace fulmar::serving
