#pragma once

/// \file
/// Tables that every daemon knows in full. One daemon of a data centre reads
/// their changes from the platform's store and passes them on to the others,
/// so that the store's load does not grow with the daemons. Whoever misses a
/// page, or hears none, reads from the store itself.

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
  /// All changes later than this version are in the page ...
  std::uint64_t after = 0;
  /// ... up to this one.
  std::uint64_t version = 0;
  /// Time since the store's last outage as the sender saw it; nothing when it
  /// saw none.
  std::optional<instant> outage_ended;
  std::vector<stored_row> rows;
};

/// Who reads a table's changes for a daemon.
enum class feed_source {
  nobody_yet,
  /// This daemon reads for its data centre.
  for_all,
  /// Another one passes on what it read.
  passed_on,
  /// This daemon reads for itself alone: it missed a page or heard none.
  for_itself,
};

inline constexpr std::array<named<feed_source>, 4> feed_source_names{{
    {feed_source::nobody_yet, "nobody_yet"},
    {feed_source::for_all, "for_all"},
    {feed_source::passed_on, "passed_on"},
    {feed_source::for_itself, "for_itself"},
}};

/// How far a daemon knows a table.
struct feed_state {
  /// All changes up to this version are known; 0 before the table was read.
  std::uint64_t version = 0;
  /// When that was last confirmed, on the steady clock.
  instant confirmed{};
  /// Changes in between were missed.
  bool gap = false;
  feed_source source = feed_source::nobody_yet;
};

/// A table that nobody confirmed for this long is read from the store. Readers
/// ask and tell each second at the latest, and a leaving target must be left
/// alone after 3 s.
inline constexpr auto feed_expiry = std::chrono::milliseconds(1400);

/// \param it how far the table is known.
/// \param reads whether this daemon reads for its data centre.
/// \param now the steady clock.
/// \return whether this daemon should ask the store for changes.
bool must_read(const feed_state& it, bool reads, instant now);

/// Takes a page that another daemon passed on.
/// \param state how far the table is known; moved on.
/// \param page the page.
/// \param now the steady clock.
/// \return the rows that were not known, in the store's order; none when a page
///     before this one was missed.
std::vector<stored_row> take_passed_on(feed_state& state, feed_page page,
                                       instant now);

/// Takes an answer of the store: what changed in the table, or all of it when
/// nothing was known.
/// \param state how far the table is known; moved on.
/// \param page the answer; loses the rows that were known already.
/// \param now the steady clock.
void take_answer(feed_state& state, row_page& page, instant now);

/// Splits a page into datagrams. Rows of one version stay together.
/// \param page the page.
/// \param max_bytes most bytes of a datagram.
/// \return the datagrams; those after one that would be too large are left out.
std::vector<std::string> encode_feed(const feed_page& page,
                                     std::size_t max_bytes);

/// \return whether a datagram is a page.
bool is_feed(std::string_view bytes);

/// Decodes a datagram.
/// \return nothing for bytes that are no page.
std::optional<feed_page> decode_feed(std::string_view bytes);

}  // namespace fulmar::serving
