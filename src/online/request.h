#pragma once

/// \file
/// The state of one online request, its times and its log line.

#include <absl/container/flat_hash_set.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "src/serving/crash-system.h"
#include "src/serving/front.h"
#include "src/serving/version-system.h"

namespace fulmar::serving {

/// The state of one online request, from arrival to the last byte.
struct online_request {
  std::shared_ptr<http_exchange> client;
  std::shared_ptr<const served_configuration> configuration;
  const route* matched_route = nullptr;
  /// The team that sent it; null if the route needs none.
  const teams::team* caller = nullptr;
  std::string service;
  std::string id;
  std::string host;
  std::string fields;
  /// Keys of the request in the crash records; computed on first use.
  std::optional<crash_causes> causes;
  instant arrived{};
  instant deadline{};
  /// How long the client had waited before it sent this attempt.
  instant waited{};
  /// Set once the request was late.
  std::optional<late_queue_entry> late_entry;
  /// How long it was held here as it gave way to new requests.
  instant held{};
  std::optional<instant> first_byte;
  /// Targets that the request may have run on.
  std::uint32_t runs = 0;
  /// A trial run was granted, and no target has run it yet.
  bool holds_trial = false;
  absl::flat_hash_set<std::string> tried;
  std::uint64_t last_event = 0;
  /// The attempt that brought the first event of a stream that is resumed, or
  /// this one; empty if the client does not name it.
  std::string begun_by;
  /// Resumable streams: the software that began the stream.
  std::optional<stream_origin> origin;
  origin_source origin_known = origin_source::unknown;
  bool head_sent = false;
  bool client_gone = false;
  /// The attempt in flight, if any.
  live_attempt* attempt = nullptr;
  /// The last placement decision, for the log.
  placement placed;
  /// When the client may retry after a refusal.
  instant retry_after{};
  target_load load_seen;
  /// Slots of the fully trusted targets in this data centre.
  double local_slots = 0;
  /// Age of the oldest load report that the placement used.
  instant load_age{};
  /// The target of the last attempt.
  target to;
};

/// \return the keys of the request in the crash records.
const crash_causes& causes_of(online_request& it);

/// Sets the deadline of a request and how long its client has waited before.
void set_times(front& in, online_request& it);

/// \return the times of the request now, for its placement.
caller_time time_of(const online_request& it);

/// \return whether the request is late and gives way to new ones.
bool is_late(const front& in, const online_request& it);

/// Logs a request that has ended and counts its time.
/// \param end how it ended.
void log_request(front& in, const online_request& it, std::string_view end);

}  // namespace fulmar::serving
