#pragma once

/// \file
/// Datagram encoding of load reports and summaries between serving daemons.

#include <optional>
#include <string>
#include <string_view>

#include "fulmarpitch/serving/load-board.h"

namespace fulmar::serving {

/// Largest datagram between daemons, in bytes; longer ones arrive truncated.
inline constexpr std::size_t max_datagram_bytes = std::size_t{16} * 1024;

/// A summary as sent: from its own data centre to members of another, or
/// forwarded among those members.
struct sent_summary {
  std::string sender_data_centre;
  /// IP address of the sender.
  std::string sender_address;
  load_summary summary;
};

/// Encodes a report as a datagram.
std::string encode_report(const load_report& it);

/// Decodes a report from a datagram.
/// \return nothing for bytes that are not a valid report.
std::optional<load_report> decode_report(std::string_view bytes);

/// Encodes a summary as a datagram.
std::string encode_summary(const sent_summary& it);

/// \return whether a datagram is a summary.
bool is_summary(std::string_view bytes);

/// Decodes a datagram.
/// \return nothing for bytes that are not a valid summary.
std::optional<sent_summary> decode_summary(std::string_view bytes);

}  // namespace fulmar::serving
