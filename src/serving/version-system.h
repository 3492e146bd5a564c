#pragma once

/// \file
/// Determines which software version began a stream that a client resumes. Any
/// daemon may be asked, also one that has just started, so what a daemon cannot
/// conclude from the list of targets is recorded in the store.

#include <array>
#include <string>

#include "front.h"
#include "fulmarpitch/serving/versions.h"

namespace fulmar::serving {

/// How the origin of a resumed stream is known.
enum class origin_source {
  unknown,
  /// This daemon forwarded the stream.
  remembered,
  /// Its row is in the store.
  recorded,
  /// Its service had one version since it may have begun.
  only_version,
};

inline constexpr std::array<named<origin_source>, 4> origin_source_names{{
    {origin_source::unknown, "unknown"},
    {origin_source::remembered, "remembered"},
    {origin_source::recorded, "recorded"},
    {origin_source::only_version, "only_version"},
}};

struct known_origin {
  origin_source source = origin_source::unknown;
  stream_origin origin;
};

/// Finds the software that began a stream.
/// \param id of the client's attempt that brought the stream's first event;
///     empty if the client does not name it.
/// \param service the service that the request goes to.
/// \return `unknown` if targets of several versions may have begun it.
task<known_origin> find_stream_origin(front& in, std::string id,
                                      std::string service);

/// Reads which versions the store has on record; retries until it answers.
task<void> read_versions(front& in);

/// Records that the versions of the listed targets serve now.
void observe_versions(front& in, instant now);

/// Starts writing changes of the listed versions, if this daemon reads the list
/// of targets for its data centre.
void write_versions(front& in, instant now);

/// Starts recording streams whose origin other daemons cannot conclude.
void write_begun_streams(front& in, instant now);

/// Removes rows of streams that no client can resume any more, if it is this
/// daemon's task.
void remove_begun_rows(front& in, instant now);

}  // namespace fulmar::serving
