#pragma once

/// \file
/// Change feeds of tables that every daemon replicates in full. One daemon of a
/// data centre reads the changes from the platform's store and forwards them to
/// the others, so that the load on the store does not grow with the number of
/// daemons. A daemon that misses a page, or receives none, reads from the store
/// itself.

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/serving/store.h"

namespace fulmar::serving {

/// Changes of a table between two versions of the store.
struct feed_page {
  std::string data_centre;
  std::string table;
  /// The page holds all changes after this version ...
  std::uint64_t after = 0;
  /// ... up to and including this one.
  std::uint64_t version = 0;
  /// Time since the end of the last store outage that the sender observed;
  /// empty if it observed none.
  std::optional<instant> outage_ended;
  std::vector<stored_row> rows;
};

/// Where a daemon gets the changes of a table from.
enum class feed_source {
  nobody_yet,
  /// This daemon reads for its data centre.
  for_all,
  /// Another daemon forwards the changes that it reads.
  passed_on,
  /// This daemon reads only for itself, as it missed a page or received none.
  for_itself,
};

inline constexpr std::array<named<feed_source>, 4> feed_source_names{{
    {feed_source::nobody_yet, "nobody_yet"},
    {feed_source::for_all, "for_all"},
    {feed_source::passed_on, "passed_on"},
    {feed_source::for_itself, "for_itself"},
}};

/// Replication progress of a table.
struct feed_state {
  /// All changes up to this version are applied; 0 before the first full read.
  std::uint64_t version = 0;
  /// Time at which the version was last confirmed as current, on the steady
  /// clock.
  instant confirmed{};
  /// A page was missed after this version.
  bool gap = false;
  feed_source source = feed_source::nobody_yet;
};

/// A table that was not confirmed for this long is read from the store. Readers
/// poll and forward at least once a second, and a draining target must get no
/// new work after 3 s.
inline constexpr auto feed_expiry = std::chrono::milliseconds(1400);

/// Time after which what one daemon told a client must be known to all.
inline constexpr auto settle_time = std::chrono::milliseconds(1000);

/// Part of the settle time that a page takes to arrive and an answer to leave.
inline constexpr auto settle_margin = std::chrono::milliseconds(100);

/// Decides whether a row that is not in the copy of a table does not exist, as
/// far as a client may know. Pages stop when the daemon that reads is lost.
bool shows_absence(const feed_state& it, instant now);

/// \param reads whether this daemon reads for its data centre.
/// \return whether this daemon should poll the store for changes.
bool must_poll(const feed_state& it, bool reads, instant now);

/// Records that the process stood still: what it reads next may be as old as
/// that pause, so the table is unconfirmed until the store is asked again.
void note_pause(feed_state& state);

/// Accepts a page forwarded by another daemon and advances the state. Behind a
/// gap or a pause it confirms nothing.
/// \return the new rows, in store order; none if a page before this one was
///     missed.
std::vector<stored_row> apply_forwarded(feed_state& state, feed_page page,
                                        instant now);

/// Accepts a page read from the store and advances the state.
/// \param page the changes, or the whole table on the first read; rows that
///     were applied already are removed from it.
/// \param is_current the store was asked after the process last stood still;
///     otherwise the page confirms nothing.
void apply_reply(feed_state& state, row_page& page, instant now,
                 bool is_current = true);

/// Encodes a page as datagrams. Rows of one version stay together.
/// \param max_bytes maximum size of a datagram.
/// \return the datagrams, ending before the first that would be too large.
std::vector<std::string> encode_feed(const feed_page& page,
                                     std::size_t max_bytes);

/// \return whether a datagram carries the identifier of a feed page.
bool is_feed(std::string_view bytes);

/// Decodes a datagram.
/// \return the page, or nothing if the bytes are not a valid page.
std::optional<feed_page> decode_feed(std::string_view bytes);

}  // namespace fulmar::serving
