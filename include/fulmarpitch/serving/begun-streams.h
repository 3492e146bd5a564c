#pragma once

/// \file
/// Streams that targets have begun, and the software that began each. A daemon
/// remembers those that it forwarded; while a service has several versions, it
/// also records them in the store, as clients may resume them at any daemon.

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/serving/store.h"
#include "fulmarpitch/serving/versions.h"

namespace fulmar::serving {

/// A stream that a target has begun.
struct begun_stream {
  stream_origin origin;
  /// When its first response head arrived, on the steady clock.
  instant at{};
};

/// The streams that this daemon knows, by the id of the client's attempt that
/// brought the first event.
struct begun_streams {
  absl::flat_hash_map<std::string, begun_stream> rows;
  /// Ids in the order in which the streams became known.
  std::deque<std::string> order;
  /// Ids of streams without a row in the store, oldest first.
  std::deque<std::string> unrecorded;
  /// The oldest streams are forgotten beyond this number.
  std::size_t max_rows = std::size_t{16} * 1024;
};

/// Remembers a stream; one that is known already is not changed.
void note_begun(begun_streams& streams, const std::string& id,
                const stream_origin& origin, instant now);

/// \return the stream's origin, or null if it is not known.
const stream_origin* find_origin(const begun_streams& streams,
                                 const std::string& id);

/// Takes the streams that are to be recorded in the store.
/// \param must_record whether the streams of a service have to be recorded.
/// \param max maximum number of streams.
std::vector<std::string> take_unrecorded(
    begun_streams& streams,
    const std::function<bool(const std::string& service)>& must_record,
    std::size_t max);

/// Returns streams that could not be recorded.
void put_back(begun_streams& streams, const std::vector<std::string>& ids);

/// Forgets the streams that began before a time.
void forget_streams(begun_streams& streams, instant before);

/// Table of the store with one row per recorded stream.
inline constexpr const char* begun_table = "begun_streams";

/// Partition of the rows about versions and begun streams.
inline constexpr const char* version_part = "versions";

/// Names the row of a stream.
row_name begun_row_name(const std::string& id);

/// A stream's row in the store.
struct recorded_stream {
  stream_origin origin;
  /// When the stream began, on the store's clock.
  instant at{};
};

std::string encode_begun(const recorded_stream& it);

/// \return the stream, or `bad_request` for a malformed row.
absl::StatusOr<recorded_stream> decode_begun(std::string_view value);

/// Table of the store with one row per service and version.
inline constexpr const char* version_table = "versions";

/// Names the row of a version.
row_name version_row_name(const stream_origin& origin);

/// A version's row in the store.
struct recorded_version {
  stream_origin origin;
  /// When its last target left, on the store's clock; empty while it is listed.
  std::optional<instant> left;
};

std::string encode_version(const recorded_version& it);

/// \return the version, or `bad_request` for a malformed row.
absl::StatusOr<recorded_version> decode_version(std::string_view value);

}  // namespace fulmar::serving
