#pragma once

/// \file
/// Segments: objects that hold consecutive order records of one epoch. Each
/// names the segment before it by name and digest.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fulmarpitch/order/record.h"

namespace fulmar {

/// Every segment's name begins with this.
inline constexpr std::string_view segment_prefix = "order/";

/// An object as the object store holds it.
struct stored_segment {
  std::string name;
  std::string bytes;
};

/// A segment taken apart.
struct order_segment {
  std::string pool;
  epoch_id epoch;
  /// The range of numbers covered, holes included; segments tile an epoch.
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  segment_link previous;
  std::vector<std::string> lines;
};

/// Why bytes are no segment.
enum class segment_fault { no_header, wrong_header, wrong_count, torn };

inline constexpr std::array<named<segment_fault>, 4> segment_fault_names{{
    {segment_fault::no_header, "no_header"},
    {segment_fault::wrong_header, "wrong_header"},
    {segment_fault::wrong_count, "wrong_count"},
    {segment_fault::torn, "torn"},
}};

using decoded_segment = std::variant<order_segment, segment_fault>;

/// Names the folder of an epoch, with a trailing slash.
/// \param pool the pool; characters outside `[A-Za-z0-9._@-]` are escaped.
/// \param epoch the epoch.
/// \return the folder; folders of a pool sort by epoch number.
std::string epoch_folder(std::string_view pool, const epoch_id& epoch);

/// Names a segment. A successor that closes an epoch writes under the same
/// name as the old owner's next segment would, so that one of them is refused.
/// \param pool the pool.
/// \param epoch the epoch.
/// \param first the number of the first record.
/// \return the object's name.
std::string segment_name(std::string_view pool, const epoch_id& epoch,
                         std::uint64_t first);

/// Writes a segment: a header line, then one line for each record.
/// \param segment the segment; `lines` must not be empty.
/// \return name and bytes.
stored_segment encode_segment(const order_segment& segment);

/// Reads a segment; the records in it are not looked at.
/// \param bytes what `encode_segment` wrote.
/// \return the segment, or why the bytes are not one.
decoded_segment decode_segment(std::string_view bytes);

/// Makes the link that the next segment names.
/// \param segment a segment as stored.
/// \return its name and digest.
segment_link link_to(const stored_segment& segment);

}  // namespace fulmar
