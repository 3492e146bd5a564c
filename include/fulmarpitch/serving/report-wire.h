#pragma once

/// \file
/// What serving daemons tell each other of loads, as datagrams.

#include <optional>
#include <string>
#include <string_view>

#include "fulmarpitch/serving/load-board.h"

namespace fulmar::serving {

/// Largest datagram between daemons, in bytes; a longer one arrives cut off.
inline constexpr std::size_t max_datagram_bytes = std::size_t{16} * 1024;

/// A summary on its way: from its own data centre to members of another, or
/// passed on among those.
struct sent_summary {
  std::string sender_data_centre;
  /// IP address of the sender.
  std::string sender_address;
  load_summary summary;
};

/// Encodes a report as a datagram.
std::string encode_report(const load_report& it);

/// Decodes a datagram.
/// \return nothing for bytes that are no report.
std::optional<load_report> decode_report(std::string_view bytes);

/// Encodes a summary as a datagram.
std::string encode_summary(const sent_summary& it);

/// \return whether a datagram is a summary.
bool is_summary(std::string_view bytes);

/// Decodes a datagram.
/// \return nothing for bytes that are no summary.
std::optional<sent_summary> decode_summary(std::string_view bytes);

}  // namespace fulmar::serving
